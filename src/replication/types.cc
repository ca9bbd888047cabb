#include "replication/types.h"

namespace pebblespindle::replication {

ReplicaId new_replica_id(const std::string& host, std::uint64_t incarnation) {
  static const char* const hex_digits = "0123456789abcdef";
  ReplicaId identity = host + '~';
  for (int i = 0; i < 8; ++i) identity += hex_digits[(incarnation >> (4 * i)) & 15];
  return identity;
}

std::string host_of(const ReplicaId& replica) {
  return replica.substr(0, replica.find('~'));
}

}  // namespace pebblespindle::replication
