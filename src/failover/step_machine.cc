#include "failover/step_machine.h"

#include "base/clock.h"
#include "failover/constants.h"
#include "membership/constants.h"

namespace pebblespindle::failover {

StepMachine::StepMachine(const ServiceView& view, const Environment& environment, Operation& operation)
    : StepPhase({view, environment, operation, requested_actions_}),
      promotion_({view, environment, operation, requested_actions_}),
      pause_({view, environment, operation, requested_actions_}, promotion_),
      survey_({view, environment, operation, requested_actions_}, pause_, promotion_) {
  for (auto& call : view.record.calls) operation.call_seen_at.emplace(call.number, environment.now);
}

std::vector<Action> StepMachine::handle(const Event& event) {
  std::visit([this](auto& typed) { on(typed); }, event);
  return std::move(requested_actions_);
}

void StepMachine::on(const Tick&) {
  switch (operation_.step) {
    case Step::kIdle:
      if (view_.assignment.suspended && environment_.now >= operation_.retry_at) take_over();
      return;
    case Step::kWaitingForNodes: {
      if (environment_.now < operation_.retry_at) return;
      // The controllers that grant leases had stored the suspension when it was committed, so every lease
      // that was granted without it has ended after this time.
      const bool leases_ended =
          environment_.now >= operation_.suspended_at + kNodeLeaseMs + 2 * kClockDriftMarginMs;
      if (!leases_ended && !environment_.nodes_acknowledged) return;
      return operation_.retry_promote ? promotion_.record(operation_.successor) : survey_.begin();
    }
    case Step::kPromoting:
      if (environment_.now >= operation_.entered_at + kPlatformTimeoutMs) enter(Step::kAwaitingPrimary);
      return;
    case Step::kAwaitingPrimary:
      if (operation_.successor_reported || environment_.now >= operation_.entered_at + kPromoteCheckMs)
        promotion_.confirm_successor();
      return;
    case Step::kSuspending:
      return;
    case Step::kSurveying:
    case Step::kPausing:
    case Step::kRecording:
    case Step::kAnnouncing:
      // A reply or callback is overdue.
      if (environment_.now > operation_.entered_at + 4 * kPlatformTimeoutMs) retry_after(kFailoverRetryMs);
      return;
  }
}

void StepMachine::on(const Reply& reply) {
  if (reply.round != operation_.round) return;
  operation_.replies[reply.id] = reply.reply;
  if (operation_.awaited.erase(reply.id) == 0 || !operation_.awaited.empty()) return;
  switch (operation_.step) {
    case Step::kSurveying:
      return survey_.on_replies();
    case Step::kPausing:
      return pause_.on_replies();
    case Step::kAnnouncing:
      return promotion_.on_confirmed();
    default:
      return retry_after(kFailoverRetryMs);  // CONTINUE or STEPDOWN
  }
}

void StepMachine::on(const Submitted& submitted) {
  if (submitted.round != operation_.round) return;
  switch (operation_.step) {
    case Step::kSuspending:
      return on_suspended(submitted.committed);
    case Step::kRecording:
      return promotion_.on_recorded(submitted.committed);
    case Step::kAnnouncing:
      return promotion_.on_announced();
    default:
      return;
  }
}

void StepMachine::on(const PromoteAnswered& answered) {
  promotion_.on_answered(answered);
}

void StepMachine::on(const PrimaryReported& reported) {
  promotion_.on_primary_reported(reported.id);
}

void StepMachine::on(const Begin& begin) {
  const FailoverRecord record{new_record_id(), begin.reason, environment_.token, pending_calls(), false};
  PrimaryAssignment next = view_.assignment;
  next.suspended = true;
  next.releasing = false;
  next.planned = begin.planned;
  reset();
  request(LogLine{"failover begins: " + begin.reason + ", primary=" + next.primary.value +
                  " failover=" + record.id + " service=" + view_.service});
  submit(next, record, Step::kSuspending);
}

void StepMachine::on_suspended(bool committed) {
  if (!committed || !view_.assignment.suspended) {
    operation_.retry_at = environment_.now + kFailoverRetryMs;
    return enter(Step::kIdle);
  }
  operation_.suspended_at = environment_.now;
  enter(Step::kWaitingForNodes);
  on(Tick{});
}

// Continues a failover that another controller, or this one before a restart, has begun. The failover record
// shows how far it came. Once this controller's token is committed to the record, every change on which the
// record is based is committed as well.
void StepMachine::take_over() {
  std::string calls;
  for (auto& call : pending_calls())
    calls +=
        (calls.empty() ? "" : ",") + call.successor.value + "/token" + std::to_string(call.fencing_token);
  log("continues: token=" + std::to_string(environment_.token) + " primary=" +
      view_.assignment.primary.value + " reason=" + view_.record.reason + " open_promotes=" + calls);
  FailoverRecord record = view_.record;
  if (record.id.empty()) record = {new_record_id(), "begun by a build without records", 0, {}, true};
  record.fencing_token = environment_.token;
  submit(view_.assignment, record, Step::kSuspending);
}

}  // namespace pebblespindle::failover
