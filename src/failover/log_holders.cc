#include "failover/log_holders.h"

#include <algorithm>

#include "failover/constants.h"

namespace pebblespindle::failover {
namespace {

using Kind = LogHolder::Kind;

// More at one address, one after the other, than any run of restarts makes
constexpr int kMaxReplacements = 8;

struct Replacement {
  InstanceId id;                    // who answers at the address
  bool of_another_service = false;  // it is none of this service's databases
};

// Who answers at the address of a database now; none where nobody else was met there.
std::optional<Replacement> replacement_of(const Operation& operation, const InstanceId& id) {
  InstanceId current = id;
  for (int hop = 0; hop < kMaxReplacements; ++hop) {
    const InstanceId& next = operation.liveness.of(current).replaced_by;
    if (next.empty()) break;
    // It was asked by its own ID and by this service's name: the name is what it does not know.
    if (next == current) return Replacement{current, true};
    current = next;
  }
  if (current == id) return std::nullopt;
  return Replacement{current, false};
}

bool continues_log(const Instance& former) {
  return !former.draining;  // one that was leaving takes its log along
}

// A database at another's address that has not registered itself yet.
std::optional<LogHolder> unregistered_replacement(const ServiceView& view, const Operation& operation,
                                                  const Instance& former) {
  const auto replacement = replacement_of(operation, former.id);
  if (!replacement || replacement->of_another_service) return std::nullopt;
  if (view.find_registered(replacement->id) || view.find_departed(replacement->id)) return std::nullopt;
  LogHolder holder{former, Kind::kUnregistered};
  holder.instance.id = replacement->id;
  holder.instance.primary = false;
  holder.required = former.id != view.assignment.primary;
  return holder;
}

enum class Absence {
  kAwaited,    // it may answer later, and may hold more
  kContinued,  // the log is another member's
  kTakenAlong,
};

Absence absence_of(const ServiceView& view, const Environment& environment, const Operation& operation,
                   const LogHolder& holder) {
  const ProcessLiveness& liveness = operation.liveness.of(holder.instance.id);
  if (holder.kind == Kind::kDeparted) {
    const DepartedInstance* departed = view.find_departed(holder.instance.id);
    return has_departed_process_ended(*departed, liveness, environment.now, environment.drain_ms)
               ? Absence::kTakenAlong
               : Absence::kAwaited;
  }
  const auto replacement = replacement_of(operation, holder.instance.id);
  if (!replacement) return Absence::kAwaited;
  if (holder.kind == Kind::kUnregistered) return Absence::kContinued;  // whoever replaced it is asked itself
  const bool continued = !replacement->of_another_service && continues_log(holder.instance);
  return continued ? Absence::kContinued : Absence::kTakenAlong;
}

}  // namespace

bool continues_primary_log(const ServiceView& view, const Operation& operation, const InstanceId& id) {
  const InstanceId& primary = view.assignment.primary;
  const DepartedInstance* departed = view.find_departed(primary);
  if (departed && departed->heir == id) return true;
  const auto replacement = replacement_of(operation, primary);
  const Instance* registered = view.find_registered(primary);
  return replacement && replacement->id == id && registered && continues_log(*registered);
}

bool has_departed_process_ended(const DepartedInstance& departed, const ProcessLiveness& liveness,
                                Instant now, Millis drain_ms) {
  if (!departed.heir.empty() || liveness.has_ended()) return true;
  if (!liveness.silent_since) return false;
  // One that was draining ends as it leaves; one that was not serves on for a while, and may be out of reach.
  const Millis patience = kDepartedSilenceMs + (departed.instance.draining ? 0 : drain_ms);
  return now >= *liveness.silent_since + patience;
}

std::vector<LogHolder> log_holders(const ServiceView& view, const Operation& operation) {
  std::vector<LogHolder> holders;
  for (auto& instance : view.registered) holders.push_back({instance, Kind::kRegistered});
  for (auto& departed : view.departed) {
    const bool is_primary = departed.instance.id == view.assignment.primary;
    if (!departed.heir.empty() || (!operation.primary_committed.none() && !is_primary)) continue;
    holders.push_back({departed.instance, Kind::kDeparted});
    holders.back().instance.draining = true;
  }
  const std::size_t known = holders.size();
  for (std::size_t i = 0; i < known; ++i) {
    auto replacement = unregistered_replacement(view, operation, holders[i].instance);
    if (replacement) holders.push_back(*replacement);
  }
  return holders;
}

LogSurvey survey_logs(const ServiceView& view, const Environment& environment, const Operation& operation) {
  LogSurvey survey;
  std::vector<InstanceId> ended;
  for (auto& holder : log_holders(view, operation)) {
    const InstanceId& id = holder.instance.id;
    if (id == view.assignment.primary && !operation.primary_follows) continue;
    auto reply = operation.replies.find(id);
    if (reply == operation.replies.end() || reply->second.kind != DatabaseReply::Kind::kRow) {
      const Absence absence = absence_of(view, environment, operation, holder);
      if (absence == Absence::kAwaited && holder.required) survey.unreachable.push_back(id);
      if (absence == Absence::kTakenAlong) ended.push_back(id);
      continue;
    }
    survey.reachable.push_back(holder);
    const Position& received = reply->second.info.received;
    if (!survey.newest_position || received > *survey.newest_position) survey.newest_position = received;
    if (id == view.assignment.primary || continues_primary_log(view, operation, id))
      survey.has_primary_log = true;
  }
  for (auto& id : ended) {
    auto known = operation.received_positions.find(id);
    const bool covered = known != operation.received_positions.end() && survey.newest_position &&
                         known->second <= *survey.newest_position;
    if (!covered) survey.uncovered.push_back(id);
  }
  return survey;
}

std::vector<InstanceId> ended_departed(const ServiceView& view, const Environment& environment,
                                       const Operation& operation) {
  std::vector<InstanceId> ended;
  for (auto& departed : view.departed) {
    const InstanceId& id = departed.instance.id;
    if (has_departed_process_ended(departed, operation.liveness.of(id), environment.now,
                                   environment.drain_ms))
      ended.push_back(id);
  }
  return ended;
}

std::vector<PromoteCall> pending_calls(const ServiceView& view, const Environment& environment,
                                       const Operation& operation) {
  std::vector<PromoteCall> open;
  for (auto& call : view.record.calls) {
    if (operation.refused_calls.count(call.number) > 0) continue;
    auto seen = operation.call_seen_at.find(call.number);
    if (seen != operation.call_seen_at.end() && environment.now >= seen->second + kPromoteExpiryMs) continue;
    // A database that starts anew has another ID: a call that names the former one has no effect.
    const DepartedInstance* departed = view.find_departed(call.successor);
    const bool may_run = view.find_registered(call.successor) || (departed && departed->heir.empty());
    if (!may_run || operation.liveness.of(call.successor).has_ended()) continue;
    open.push_back(call);
  }
  return open;
}

}  // namespace pebblespindle::failover
