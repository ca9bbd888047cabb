#include "failover/pause.h"

#include <algorithm>

#include "failover/constants.h"
#include "failover/describe.h"
#include "membership/constants.h"

namespace pebblespindle::failover {

void Pause::begin() {
  std::vector<LogHolder> receiving;
  std::vector<LogHolder> superseded;
  for (auto& holder : log_holders(view_, operation_)) {
    if (holder.instance.id == view_.assignment.primary && !operation_.primary_follows) continue;
    receiving.push_back(holder);
    auto reply = operation_.replies.find(holder.instance.id);
    if (reply != operation_.replies.end() && reply->second.info.primary) superseded.push_back(holder);
  }
  if (receiving.empty()) return retry_after(kFailoverRetryMs);
  // Databases that still lead an older term are stepped down first; the next attempt pauses them.
  enter(Step::kPausing);
  operation_.pause_retries = 0;
  if (superseded.empty()) return query_all(receiving, "PAUSE " + std::to_string(operation_.term + 1));
  enter(Step::kWaitingForNodes);
  operation_.retry_at = environment_.now + 4 * kPlatformTimeoutMs;
  query_all(superseded, "STEPDOWN " + std::to_string(operation_.term));
}

void Pause::on_replies() {
  if (!view_.assignment.suspended) return enter(Step::kIdle);
  log("paused: replies=" + describe(operation_.replies));
  if (record_replies()) return retry_after(0);
  if (retry_failed_pauses()) return;
  const LogSurvey logs = survey_logs(view_, environment_, operation_);
  const Instance* former_primary = view_.find_registered(view_.assignment.primary);
  const bool primary_leads = !operation_.primary_committed.none();
  const bool primary_remains = primary_leads && former_primary && !former_primary->draining;
  if (!logs.unreachable.empty() && primary_remains) return promotion_.abandon();
  if (wait_for_missing_logs(logs)) return;
  if (*logs.newest_position < operation_.primary_committed) {
    // A database that is not among the log holders has received commits that the primary acknowledged. The
    // replicas have to receive these commits from the primary before one of them can be promoted.
    log("waits: replicas at " + logs.newest_position->text() + ", primary at " +
        operation_.primary_committed.text());
    if (++operation_.replicas_behind_attempts > kMaxReplicasBehindAttempts)
      return step_down(view_.assignment.primary);
    return resume_replicas(logs.reachable);
  }
  const LogHolder& successor = choose_successor(logs);
  if (successor.kind == LogHolder::Kind::kUnregistered) {
    log("waits: the database with the newest log has not registered itself, id=" +
        successor.instance.id.value);
    return retry_after(kFailoverRetryMs);
  }
  const bool another_remains = std::any_of(logs.reachable.begin(), logs.reachable.end(),
                                           [](auto& replica) { return !replica.instance.draining; });
  // A successor that shuts down soon is a poor choice while the primary still leads: the replicas receive
  // again for a moment, so that one that stays catches up.
  if (successor.instance.draining && primary_leads && another_remains) return resume_replicas(logs.reachable);
  operation_.covered_by_successor = ended_departed(view_, environment_, operation_);
  promotion_.record(successor.instance.id);
}

// Sends PAUSE again to the databases that replied with an error; the others stay paused meanwhile. Returns
// whether any replies are outstanding.
bool Pause::retry_failed_pauses() {
  if (++operation_.pause_retries > kMaxPauseRetries) return false;
  for (auto& holder : log_holders(view_, operation_)) {
    auto reply = operation_.replies.find(holder.instance.id);
    if (reply == operation_.replies.end() || reply->second.kind != DatabaseReply::Kind::kError) continue;
    operation_.awaited.insert(holder.instance.id);
    request(Query{holder.instance, "PAUSE " + std::to_string(operation_.term + 1), operation_.round});
  }
  return !operation_.awaited.empty();
}

// Schedules another attempt and returns true while the logs are not known well enough for a promote: an
// unreachable log may hold acknowledged commits.
bool Pause::wait_for_missing_logs(const LogSurvey& logs) {
  const auto wait_for = [this](const std::string& what) {
    log("waits: " + what);
    retry_after(kFailoverRetryMs);
    return true;
  };
  if (logs.reachable.empty()) return wait_for("no replica answers");
  if (!view_.has_sync_replicas) return false;
  if (!logs.unreachable.empty()) {
    const auto reply = operation_.replies.find(logs.unreachable.front());
    return wait_for(reply == operation_.replies.end() ? logs.unreachable.front().value + ":not asked"
                                                      : describe(reply->first, reply->second));
  }
  if (logs.uncovered.empty() || logs.has_primary_log || !operation_.primary_committed.none()) return false;
  const std::string id = logs.uncovered.front().value;
  if (environment_.now >= operation_.suspended_at + max_log_wait()) {
    log("gives up waiting: acknowledged commits may be lost, id=" + id);
    return false;
  }
  operation_.primary_log_needed = true;
  return wait_for("the log of a departed database or of the former primary is needed, id=" + id);
}

// A primary that has crashed comes back with its log; one that has shut down in an orderly way does not.
Millis Pause::max_log_wait() const {
  const DepartedInstance* departed = view_.find_departed(view_.assignment.primary);
  const bool shut_down_in_order =
      departed && departed->replacement.empty() &&
      has_departed_process_ended(*departed, operation_.liveness.of(departed->instance.id), environment_.now,
                                 environment_.drain_ms);
  return shut_down_in_order ? kReplacementLogWaitMs : kUncoveredLogWaitMs;
}

// Replicating again is safe: while the service is suspended, nodes report no commit to clients as kept, so
// nothing new is acknowledged.
void Pause::resume_replicas(const std::vector<LogHolder>& replicas) {
  enter(Step::kWaitingForNodes);
  operation_.retry_at = environment_.now + 4 * kPlatformTimeoutMs;
  query_all(replicas, "CONTINUE");
}

// Used when the replicas do not catch up with a primary that leads, or when that primary may have been
// superseded. As a replica, it takes part in the choice of the successor with the newest log.
void Pause::step_down(const InstanceId& id) {
  std::vector<LogHolder> leading;
  for (auto& holder : log_holders(view_, operation_))
    if (holder.instance.id == id) leading.push_back(holder);
  if (leading.empty()) return retry_after(kFailoverRetryMs);
  operation_.replicas_behind_attempts = 0;
  enter(Step::kWaitingForNodes);
  operation_.retry_at = environment_.now + 4 * kPlatformTimeoutMs;
  query_all(leading, "STEPDOWN " + std::to_string(operation_.term + 1));
}

// Among the databases with the newest log position, prefers a registered one, then one that is not draining,
// then the one with the smallest replication lag.
const LogHolder& Pause::choose_successor(const LogSurvey& logs) const {
  const auto rank = [&](const LogHolder& holder) {
    const auto& info = operation_.replies.at(holder.instance.id).info;
    return std::tuple(info.received != *logs.newest_position, holder.kind == LogHolder::Kind::kUnregistered,
                      holder.instance.draining, info.lag_ms);
  };
  return *std::min_element(logs.reachable.begin(), logs.reachable.end(),
                           [&](auto& one, auto& other) { return rank(one) < rank(other); });
}

}  // namespace pebblespindle::failover
