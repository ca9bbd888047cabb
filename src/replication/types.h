// Names and numbers of the replication protocol.
#pragma once
#include <cstdint>
#include <string>

#include "base/types.h"

namespace pebblespindle::replication {

// The identity of a replica: its host, and for one that started on an empty disk after the first start also a
// mark drawn then ("10.1.0.4~9f31"). A disk that is lost takes the identity, and its vote, with it.
using ReplicaId = std::string;
ReplicaId new_replica_id(const std::string& host, std::uint64_t incarnation);
std::string host_of(const ReplicaId& replica);

using ViewNumber = std::uint64_t;
// The view since which the present head has been the head; also its fencing token towards the databases.
using TermNumber = std::uint64_t;
using ProposalNumber = std::uint64_t;
// Counts requests of one process; starts at a random number, so that those of a former process are not met.
using RequestId = std::uint64_t;

// Numbers in messages are bounded: no count comes near it, and sums of two do not overflow.
constexpr std::uint64_t kMaxWireNumber = 1ull << 62;

}  // namespace pebblespindle::replication
