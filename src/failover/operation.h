// The progress of one service's failover in the memory of the controller that holds the failover duty. It is
// lost when that process ends; what must survive is in the replicated state (config/failover_record.h).
//
// Also the events that the step machine handles and the actions that it requests.
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
  kSuspending,       // until the suspension of the service is committed
  kWaitingForNodes,  // until all nodes know of the suspension; also the delay before another attempt
  kSurveying,
  kPausing,
  kRecording,        // until the next promote call is committed to the failover record
  kPromoting,        // until the platform has answered the call
  kAwaitingPrimary,  // until the promoted database reports that it leads
  kAnnouncing,       // confirming the successor, and until the end of the suspension is committed
};

struct Operation {
  Step step = Step::kIdle;
  Instant entered_at = 0, retry_at = 0, suspended_at = 0;
  std::uint64_t round = 0;       // replies to earlier rounds are ignored
  std::set<InstanceId> awaited;  // databases whose replies are outstanding in this round
  std::map<InstanceId, DatabaseReply> replies;
  std::uint64_t term = 0;                             // the newest term known
  std::map<InstanceId, Position> received_positions;  // of replicas, as they reported them
  Position primary_committed;  // log end of a leading primary, read after nodes had stopped reporting commits
  int unknown_position_attempts = 0;  // attempts in which a primary that is believed alive did not report it
  int pause_retries = 0;              // in this attempt, to databases that replied with an error
  int replicas_behind_attempts = 0;   // attempts in which replicas lacked commits of the primary
  bool primary_follows = false;       // the former primary replied that it no longer leads
  bool primary_log_needed = false;  // a database has ended with commits that may be only in the primary's log
  InstanceId successor;
  std::uint64_t call_number = 0;    // number of this process's latest promote call
  bool retry_promote = false;       // the platform throttled the latest call
  bool successor_reported = false;  // it has reported in a heartbeat that it leads
  // Departed databases that had ended before the successor was chosen: its log has every acknowledged commit
  // of theirs.
  std::vector<InstanceId> covered_by_successor;
  // Kept from one failover of the service to the next, for calls that are still in the failover record:
  ProcessLivenessTable liveness;
  std::set<std::uint64_t> accepted_calls, refused_calls;
  std::map<std::uint64_t, Instant> call_seen_at;
};

// --- events

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
// The outcome of a submitted command. If not `committed`, the command may still be committed now or later.
struct Submitted {
  std::uint64_t round = 0;
  bool committed = false;
};
struct PromoteAnswered {
  std::uint64_t call_number = 0;
  PromoteOutcome outcome = PromoteOutcome::kUnknown;
};
// A heartbeat in which the database says that it is primary.
struct PrimaryReported {
  InstanceId id;
};
using Event = std::variant<Tick, Begin, Reply, Submitted, PromoteAnswered, PrimaryReported>;

// --- actions

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
