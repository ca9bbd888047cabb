#include "failover/promotion.h"

#include <algorithm>

#include "base/clock.h"
#include "config/commands.h"
#include "failover/constants.h"
#include "failover/describe.h"
#include "membership/constants.h"

namespace pebblespindle::failover {

void Promotion::record(const InstanceId& successor) {
  FailoverRecord record = view_.record;
  record.fencing_token = environment_.token;
  record.calls = pending_calls();
  operation_.successor = successor;
  operation_.retry_promote = false;
  operation_.call_number = view_.state_sequence + 1;
  record.calls.push_back({operation_.call_number, successor, environment_.token, operation_.term});
  submit(view_.assignment, record, Step::kRecording);
}

void Promotion::on_recorded(bool committed) {
  if (!committed) return retry_after(kFailoverRetryMs);
  const auto& calls = view_.record.calls;
  const bool recorded = std::any_of(calls.begin(), calls.end(), [&](auto& call) {
    return call.number == operation_.call_number && call.successor == operation_.successor &&
           call.fencing_token == environment_.token;
  });
  if (!recorded || !view_.assignment.suspended || !environment_.is_leader)
    return retry_after(kFailoverRetryMs);
  enter(Step::kPromoting);
  operation_.successor_reported = false;
  log("promotes: successor=" + operation_.successor.value + " token=" + std::to_string(environment_.token) +
      " call=" + std::to_string(operation_.call_number) + " replies=" + describe(operation_.replies));
  request(CallPlatform{operation_.call_number, operation_.successor});
}

void Promotion::on_answered(const PromoteAnswered& answered) {
  log("promote answered: call=" + std::to_string(answered.call_number) +
      " outcome=" + describe(answered.outcome));
  const bool had_no_effect = answered.outcome == PromoteOutcome::kRefused ||
                             answered.outcome == PromoteOutcome::kThrottled ||
                             answered.outcome == PromoteOutcome::kNotSent;
  if (had_no_effect) operation_.refused_calls.insert(answered.call_number);
  if (answered.outcome == PromoteOutcome::kAccepted) operation_.accepted_calls.insert(answered.call_number);
  const bool is_awaited = operation_.call_number == answered.call_number &&
                          (operation_.step == Step::kPromoting || operation_.step == Step::kAwaitingPrimary);
  if (!is_awaited) return;
  if (answered.outcome == PromoteOutcome::kAccepted) {
    if (operation_.step == Step::kPromoting) enter(Step::kAwaitingPrimary);
    return;
  }
  const bool retry_soon =
      answered.outcome == PromoteOutcome::kThrottled || answered.outcome == PromoteOutcome::kUnknown;
  retry_after(retry_soon ? kPromoteRetryMs : kFailoverRetryMs);
  operation_.retry_promote = answered.outcome == PromoteOutcome::kThrottled;
}

void Promotion::on_primary_reported(const InstanceId& id) {
  if (operation_.step != Step::kAwaitingPrimary || operation_.successor != id) return;
  operation_.successor_reported = true;
  confirm_successor();
}

void Promotion::confirm_successor() {
  const auto successor = find_instance(operation_.successor);
  if (!successor) return retry_after(kFailoverRetryMs);
  enter(Step::kAnnouncing);
  query_all({{*successor}}, "INFO");
}

void Promotion::on_confirmed() {
  const DatabaseReply& reply = operation_.replies[operation_.successor];
  const auto calls = pending_calls();
  const bool only_calls_of_successor = std::all_of(
      calls.begin(), calls.end(), [&](auto& call) { return call.successor == operation_.successor; });
  if (reply.is_row() && reply.info.primary && only_calls_of_successor)
    return announce(operation_.successor, reply.info.term);
  operation_.liveness.on_reply(environment_.now, operation_.successor, reply);
  retry_after(kFailoverRetryMs);
}

void Promotion::announce(const InstanceId& primary, std::uint64_t term) {
  log("ends: primary=" + primary.value + " term=" + std::to_string(term));
  submit(PrimaryAssignment{primary, false, false, term, true}, record_of_unanswered_calls(),
         Step::kAnnouncing);
}

// The former primary answers after all: it stays primary, and the replicas are resumed.
void Promotion::abandon() {
  log("abandoned: the primary answers, primary=" + view_.assignment.primary.value);
  PrimaryAssignment next = view_.assignment;
  next.suspended = next.planned = false;
  next.releasing = true;
  submit(next, record_of_unanswered_calls(), Step::kAnnouncing);
}

void Promotion::on_announced() {
  if (view_.assignment.suspended) return retry_after(kFailoverRetryMs);
  const bool successor_leads = view_.assignment.primary == operation_.successor;
  const auto covered = std::exchange(operation_.covered_by_successor, {});
  reset();
  operation_.retry_at = environment_.now + kFailoverRetryMs;
  for (auto& id : covered)
    if (successor_leads) request(Submit{forget_departed(id), operation_.round});
  request(Finished{});
}

}  // namespace pebblespindle::failover
