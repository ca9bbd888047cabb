// A failover of one service as the controller that holds the duty works on it: the part that may be lost with
// the process. What must not be lost stands in the replicated state (config/failover_record.h).
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/json_schema.h"
#include "failover/process_liveness.h"
#include "failover/promote_outcome.h"
#include "failover/service_view.h"

namespace pebblespindle::failover {

enum class Step {
  kIdle,
  kSuspending,       // until the suspension is committed
  kWaitingForNodes,  // until all nodes know of it; also the pause before another attempt
  kSurveying,
  kPausing,
  kRecording,  // until the next promote stands in the record
  kPromoting,
  kAwaitingPrimary,  // until the promoted database tells that it leads
  kAnnouncing,
};

struct Operation {
  Step step = Step::kIdle;
  Instant entered_at = 0, retry_at = 0, suspended_at = 0;
  std::uint64_t round = 0;       // answers of earlier rounds are dropped
  std::set<InstanceId> awaited;  // who has not answered yet in this round
  std::map<InstanceId, DatabaseReply> replies;
  std::uint64_t term = 0;                             // the newest that is known
  std::map<InstanceId, Position> received_positions;  // by replicas, as they told
  Position primary_committed;         // where a living primary stood once nobody was told of commits any more
  int unknown_position_attempts = 0;  // attempts in which a primary said to be alive did not tell that
  int pause_retries = 0;              // in this attempt, to those that did not run it
  int replicas_behind_attempts = 0;   // attempts in which the others lacked what the primary has
  bool primary_follows = false;       // the former primary told that it does not lead any more
  bool primary_log_needed = false;    // its log alone can bring what another has taken along
  InstanceId successor;
  std::uint64_t call_number = 0;    // the number of the newest promote of this process
  bool retry_promote = false;       // the platform had no room for the last one
  bool successor_reported = false;  // it has told that it leads
  // Departed ones that had ended before the successor was chosen: it has all of theirs that was acknowledged.
  std::vector<InstanceId> covered_by_successor;
  // Kept from one failover of the service to the next:
  ProcessLivenessTable liveness;
  std::set<std::uint64_t> accepted_calls, refused_calls;
  std::map<std::uint64_t, Instant> call_seen_at;
};

// --- what happens to an operation

struct Tick {};
struct Begin {
  bool planned = false;
  std::string reason;
};
struct Reply {
  std::uint64_t round = 0;
  InstanceId id;
  DatabaseReply reply;
};
// committed: else it may be written or not, now or later.
struct Submitted {
  std::uint64_t round = 0;
  bool committed = false;
};
struct PromoteAnswered {
  std::uint64_t call_number = 0;
  PromoteOutcome outcome = PromoteOutcome::kUnknown;
};
struct PrimaryReported {
  InstanceId id;
};
using Event = std::variant<Tick, Begin, Reply, Submitted, PromoteAnswered, PrimaryReported>;

// --- what it wants done

struct Query {
  Instance to;
  std::string statement;
  std::uint64_t round = 0;
};
struct Submit {
  Json command;
  std::uint64_t round = 0;
};
struct CallPlatform {
  std::uint64_t call_number = 0;
  InstanceId successor;
};
struct LogLine {
  std::string text;
};
struct Finished {};  // the service has a primary again
using Action = std::variant<Query, Submit, CallPlatform, LogLine, Finished>;

}  // namespace pebblespindle::failover
