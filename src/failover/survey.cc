#include "failover/survey.h"

#include <algorithm>

#include "failover/constants.h"
#include "failover/describe.h"

namespace pebblespindle::failover {

void Survey::begin() {
  enter(Step::kSurveying);
  // A position from an earlier attempt is outdated if the primary has died since: replicas may have received
  // more.
  operation_.primary_committed = {};
  const InstanceId& primary = view_.assignment.primary;
  // If the primary is believed to be alive (a planned failover), its reply is waited for, because the
  // successor needs everything that it has committed. If it may be dead, it is queried but not waited for:
  // whatever it has acknowledged is on a replica, except if that replica has ended since
  // (primary_log_needed).
  const bool wait_for_primary = view_.assignment.planned && pending_calls().empty() && !has_unknown_calls() &&
                                operation_.unknown_position_attempts < kMaxUnknownPositionAttempts;
  std::vector<LogHolder> waited_for;
  std::optional<Instance> not_waited_for;
  for (auto& holder : log_holders(view_, operation_)) {
    const bool is_primary = holder.instance.id == primary;
    if (is_primary && !wait_for_primary && !operation_.primary_log_needed)
      not_waited_for = holder.instance;
    else if (is_primary || !wait_for_primary || holder.kind == LogHolder::Kind::kRegistered)
      waited_for.push_back(holder);
  }
  if (waited_for.empty()) return retry_after(kFailoverRetryMs);
  query_all(waited_for, "INFO");
  if (not_waited_for) request(Query{*not_waited_for, "INFO", operation_.round});
}

// Whether the database, which leads `term`, was promoted after the current assignment was written.
bool Survey::was_promoted(const InstanceId& id, std::uint64_t term) const {
  if (view_.assignment.term > 0) return term > view_.assignment.term;
  const bool continues_primary =
      id == view_.assignment.primary || continues_primary_log(view_, operation_, id);
  return !continues_primary ||
         std::any_of(view_.record.calls.begin(), view_.record.calls.end(),
                     [&](auto& call) { return call.successor == id && term > call.term; });
}

// A database that leads an older term than the newest one known has been replaced without noticing, and does
// not count as the leader.
std::optional<Survey::Leader> Survey::find_leader() const {
  Leader leader;
  std::uint64_t newest = view_.assignment.term;
  for (auto& [id, reply] : operation_.replies) {
    if (!reply.is_row()) continue;
    newest = std::max({newest, reply.info.term, reply.info.received.term});
    if (reply.info.primary && reply.info.term > leader.term) {
      leader.id = id;
      leader.term = reply.info.term;
    }
  }
  if (leader.id.empty() || leader.term < newest) return std::nullopt;
  leader.is_former_primary = !was_promoted(leader.id, leader.term);
  return leader;
}

void Survey::on_replies() {
  if (!view_.assignment.suspended) return enter(Step::kIdle);
  log("surveyed: replies=" + describe(operation_.replies));
  if (record_replies()) return retry_after(0);
  const auto leader = find_leader();
  const auto calls = pending_calls();
  const bool former_primary_leads = leader && leader->is_former_primary;
  const bool primary_alive = former_primary_leads && leader->id == view_.assignment.primary;
  const bool only_calls_of_leader = std::all_of(
      calls.begin(), calls.end(), [&](auto& call) { return leader && call.successor == leader->id; });
  if (leader && only_calls_of_leader && !former_primary_leads) return accept_leader(*leader);
  if (!calls.empty())
    return primary_alive && only_calls_of_leader ? promotion_.abandon() : retry_call(calls.back());
  operation_.term = newest_term();
  if (operation_.term == 0) return retry_after(kFailoverRetryMs);  // no reply named a term
  if (former_primary_leads && may_be_superseded()) return pause_.step_down(leader->id);
  if (former_primary_leads && !primary_alive) return accept_leader(*leader);
  if (!primary_alive && view_.assignment.planned && !has_unknown_calls() &&
      ++operation_.unknown_position_attempts < kMaxUnknownPositionAttempts)
    return retry_after(kFailoverRetryMs);
  // A primary that has announced its shutdown is replaced even if the failover began for another reason.
  const bool has_departed = !view_.find_registered(view_.assignment.primary);
  if (primary_alive && !view_.assignment.planned && !has_departed) return promotion_.abandon();
  const auto former_reply = operation_.replies.find(view_.assignment.primary);
  const bool answers = former_reply != operation_.replies.end() && former_reply->second.is_row();
  operation_.primary_follows = answers && !primary_alive;
  if (primary_alive) operation_.primary_committed = former_reply->second.info.received;
  pause_.begin();
}

void Survey::accept_leader(const Leader& leader) {
  if (find_instance(leader.id)) return promotion_.announce(leader.id, leader.term);
  log("waits: the leading database has not registered itself, id=" + leader.id.value);
  retry_after(kFailoverRetryMs);
}

// While an earlier promote call may still take effect, only the database that it names may be promoted.
void Survey::retry_call(const PromoteCall& call) {
  const auto reply = operation_.replies.find(call.successor);
  if (reply != operation_.replies.end() && reply->second.is_row()) {
    operation_.term = newest_term();
    return promotion_.record(call.successor);
  }
  log("waits: a promote may still take effect, successor=" + call.successor.value +
      " token=" + std::to_string(call.fencing_token));
  retry_after(kFailoverRetryMs);
}

}  // namespace pebblespindle::failover
