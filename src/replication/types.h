// Basic types of the replication protocol.
#pragma once
#include <cstdint>
#include <string>

#include "base/types.h"

namespace pebblespindle::replication {

// The identity of a replica: its host, followed by a random suffix if the replica started on an empty disk
// after the bootstrap ("10.1.0.4~9f31"). A replica that loses its disk thus loses its identity and its vote.
using ReplicaId = std::string;
ReplicaId new_replica_id(const std::string& host, std::uint64_t incarnation);
std::string host_of(const ReplicaId& replica);

using ViewNumber = std::uint64_t;
// The number of the view in which the present head became head; also the fencing token that is sent to the
// databases.
using TermNumber = std::uint64_t;
using ProposalNumber = std::uint64_t;
// Numbers the requests of one process. It starts at a random number, so that a reply to a former process
// matches no request.
using RequestId = std::uint64_t;

// Upper bound of numbers in messages: far above any count, and the sum of two does not overflow.
constexpr std::uint64_t kMaxWireNumber = 1ull << 62;

}  // namespace pebblespindle::replication
