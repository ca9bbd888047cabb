// Determines which databases may hold an acknowledged commit, and whether enough of their logs are known to
// promote one of them.
//
// Invariant: a database is dropped from this set only when its process has ended and its log is known to be
// covered by that of another database, continued by another database, or unnecessary because the primary's
// own log is available. Elapsed time alone never drops one.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "failover/operation.h"

namespace pebblespindle::failover {

struct LogHolder {
  enum class Kind {
    kRegistered,
    kDeparted,      // has announced its shutdown, but may still be running
    kUnregistered,  // runs at the address of another database, whose log it continues, but isn't registered
  };
  Instance instance;
  Kind kind = Kind::kRegistered;
  bool required = true;  // no database is promoted before this one has replied
};

// The databases that a failover has to query, including the former primary.
std::vector<LogHolder> log_holders(const ServiceView& view, const Operation& operation);

// Whether the database with this ID is the former primary restarted under another ID, with the same log.
bool continues_primary_log(const ServiceView& view, const Operation& operation, const InstanceId& id);

struct LogSurvey {
  // Those that replied with the end of their logs; never includes a primary that leads.
  std::vector<LogHolder> reachable;
  std::optional<Position> newest_position;
  std::vector<InstanceId> unreachable;  // did not reply, and may hold commits that no other log has
  std::vector<InstanceId> uncovered;    // ended, with a log that no reachable database is known to cover
  bool has_primary_log = false;         // the former primary, or its restarted process, is reachable
};

LogSurvey survey_logs(const ServiceView& view, const Environment& environment, const Operation& operation);

// Whether the process of a departed database is known to have ended.
bool has_departed_process_ended(const DepartedInstance& departed, const ProcessLiveness& liveness,
                                Instant now, Millis drain_ms);

// The departed databases whose processes are known to have ended.
std::vector<InstanceId> ended_departed(const ServiceView& view, const Environment& environment,
                                       const Operation& operation);

// The promote calls in the failover record that may still take effect.
std::vector<PromoteCall> pending_calls(const ServiceView& view, const Environment& environment,
                                       const Operation& operation);

}  // namespace pebblespindle::failover
