// Who may hold a commit that was acknowledged, and whether enough of their logs are known to promote one.
//
// Invariant: a database leaves this set only when its process has ended and its log is known to be covered,
// continued by another database, or needless because the primary's own log is at hand. Time alone removes
// none.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "failover/operation.h"

namespace pebblespindle::failover {

struct LogHolder {
  enum class Kind {
    kRegistered,
    kDeparted,      // has announced its end, and may serve on
    kUnregistered,  // answers at the address of another, whose log it continues
  };
  Instance instance;
  Kind kind = Kind::kRegistered;
  bool required = true;  // nothing is promoted without its answer
};

// The databases to be asked, the former primary among them.
std::vector<LogHolder> log_holders(const ServiceView& view, const Operation& operation);

// Whether that database goes on with the former primary's log under another ID.
bool continues_primary_log(const ServiceView& view, const Operation& operation, const InstanceId& id);

struct LogSurvey {
  std::vector<LogHolder> reachable;  // those that told where their logs end; never the living primary
  std::optional<Position> newest_position;
  std::vector<InstanceId> unreachable;  // out of reach, and may hold more
  std::vector<InstanceId> uncovered;    // ended, with a log that none of the reachable ones is known to cover
  bool has_primary_log = false;         // the former primary, or its heir, is among the reachable ones
};

LogSurvey survey_logs(const ServiceView& view, const Environment& environment, const Operation& operation);

// Whether nothing runs any more under the ID of a database that has left.
bool has_departed_process_ended(const DepartedInstance& departed, const ProcessLiveness& liveness,
                                Instant now, Millis drain_ms);

// The departed databases of which nothing runs any more.
std::vector<InstanceId> ended_departed(const ServiceView& view, const Environment& environment,
                                       const Operation& operation);

// The calls of the record that may still take effect.
std::vector<PromoteCall> pending_calls(const ServiceView& view, const Environment& environment,
                                       const Operation& operation);

}  // namespace pebblespindle::failover
