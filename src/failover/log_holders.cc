#include "failover/log_holders.h"

#include <algorithm>

#include "failover/constants.h"

namespace pebblespindle::failover {
namespace {

using Kind = LogHolder::Kind;

// Restarts at one address that are followed; more than happen in practice, and a bound on the search
constexpr int kMaxReplacements = 8;

struct Replacement {
  InstanceId id;                    // the database that runs at the address
  bool of_another_service = false;  // that database does not belong to this service
};

// The database that now runs at the address of the given one; nullopt if no other was found there.
std::optional<Replacement> replacement_of(const Operation& operation, const InstanceId& id) {
  InstanceId current = id;
  for (int hop = 0; hop < kMaxReplacements; ++hop) {
    const InstanceId& next = operation.liveness.of(current).replaced_by;
    if (next.empty()) break;
    // The query named this database's own ID and this service, yet the database rejected it as addressed to
    // another: so it belongs to another service.
    if (next == current) return Replacement{current, true};
    current = next;
  }
  if (current == id) return std::nullopt;
  return Replacement{current, false};
}

bool continues_log(const Instance& former) {
  return !former.draining;  // a database that shuts down in an orderly way doesn't come back with its log
}

// The database that has replaced `former` at its address, if it has not registered itself yet.
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
  kMayReturn,  // it may reply later, and may hold commits that no other log has
  kContinued,  // another database at the same address continues its log
  kEnded,      // its process has ended, and no database is known to continue its log
};

Absence absence_of(const ServiceView& view, const Environment& environment, const Operation& operation,
                   const LogHolder& holder) {
  const ProcessLiveness& liveness = operation.liveness.of(holder.instance.id);
  if (holder.kind == Kind::kDeparted) {
    const DepartedInstance* departed = view.find_departed(holder.instance.id);
    return has_departed_process_ended(*departed, liveness, environment.now, environment.drain_ms)
               ? Absence::kEnded
               : Absence::kMayReturn;
  }
  const auto replacement = replacement_of(operation, holder.instance.id);
  if (!replacement) return Absence::kMayReturn;
  // The database that replaced an unregistered one is a log holder itself.
  if (holder.kind == Kind::kUnregistered) return Absence::kContinued;
  const bool continued = !replacement->of_another_service && continues_log(holder.instance);
  return continued ? Absence::kContinued : Absence::kEnded;
}

}  // namespace

bool continues_primary_log(const ServiceView& view, const Operation& operation, const InstanceId& id) {
  const InstanceId& primary = view.assignment.primary;
  const DepartedInstance* departed = view.find_departed(primary);
  if (departed && departed->replacement == id) return true;
  const auto replacement = replacement_of(operation, primary);
  const Instance* registered = view.find_registered(primary);
  return replacement && replacement->id == id && registered && continues_log(*registered);
}

bool has_departed_process_ended(const DepartedInstance& departed, const ProcessLiveness& liveness,
                                Instant now, Millis drain_ms) {
  if (!departed.replacement.empty() || liveness.has_ended()) return true;
  if (!liveness.silent_since) return false;
  // A database that was draining ends when it departs. One that was not draining keeps running for up to
  // drain_ms, and may be silent only because it can't be reached.
  const Millis required_silence = kDepartedSilenceMs + (departed.instance.draining ? 0 : drain_ms);
  return now >= *liveness.silent_since + required_silence;
}

std::vector<LogHolder> log_holders(const ServiceView& view, const Operation& operation) {
  std::vector<LogHolder> holders;
  for (auto& instance : view.registered) holders.push_back({instance, Kind::kRegistered});
  for (auto& departed : view.departed) {
    const bool is_primary = departed.instance.id == view.assignment.primary;
    if (!departed.replacement.empty() || (!operation.primary_committed.none() && !is_primary)) continue;
    holders.push_back({departed.instance, Kind::kDeparted});
    holders.back().instance.draining = true;
  }
  const std::size_t known_count = holders.size();
  for (std::size_t i = 0; i < known_count; ++i) {
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
      if (absence == Absence::kMayReturn && holder.required) survey.unreachable.push_back(id);
      if (absence == Absence::kEnded) ended.push_back(id);
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
    // A database gets a new ID when it restarts, so a call that names the former ID has no effect.
    const DepartedInstance* departed = view.find_departed(call.successor);
    const bool may_run = view.find_registered(call.successor) || (departed && departed->replacement.empty());
    if (!may_run || operation.liveness.of(call.successor).has_ended()) continue;
    open.push_back(call);
  }
  return open;
}

}  // namespace pebblespindle::failover
