#include "failover/step_phase.h"

#include <algorithm>

#include "config/commands.h"
#include "config/state_rows.h"

namespace pebblespindle::failover {

StepPhase::StepPhase(const StepContext& context)
    : view_(context.view),
      environment_(context.environment),
      operation_(context.operation),
      actions_(context.actions) {}

void StepPhase::request(Action action) {
  actions_.push_back(std::move(action));
}

void StepPhase::enter(Step step) {
  operation_.step = step;
  operation_.entered_at = environment_.now;
  operation_.awaited.clear();
  ++operation_.round;
}

void StepPhase::retry_after(Millis pause) {
  enter(Step::kWaitingForNodes);
  operation_.retry_at = environment_.now + pause;
}

void StepPhase::query_all(const std::vector<LogHolder>& holders, const std::string& statement) {
  operation_.replies.clear();
  for (auto& holder : holders) operation_.awaited.insert(holder.instance.id);
  for (auto& holder : holders) request(Query{holder.instance, statement, operation_.round});
}

void StepPhase::submit(const PrimaryAssignment& assignment, const FailoverRecord& record, Step step) {
  enter(step);
  const UpdateFailover update{view_.service, view_.assignment_value, encode_primary(assignment),
                              view_.record_value, record.id.empty() ? "" : encode_failover(record)};
  request(Submit{encode(update), operation_.round});
}

// Clears the operation, except for what is known of the promote calls that are still in the failover record
// and of the databases that they name.
void StepPhase::reset() {
  Operation next;
  next.round = operation_.round + 1;
  for (auto& call : view_.record.calls) {
    next.call_seen_at[call.number] = operation_.call_seen_at[call.number];
    if (operation_.accepted_calls.count(call.number) > 0) next.accepted_calls.insert(call.number);
    if (operation_.refused_calls.count(call.number) > 0) next.refused_calls.insert(call.number);
    next.liveness.copy(operation_.liveness, call.successor);
  }
  operation_ = std::move(next);
}

void StepPhase::log(const std::string& text) {
  request(LogLine{"failover " + text + ", failover=" + view_.record.id + " service=" + view_.service});
}

std::optional<Instance> StepPhase::find_instance(const InstanceId& id) const {
  if (const Instance* registered = view_.find_registered(id)) return *registered;
  const DepartedInstance* departed = view_.find_departed(id);
  return departed && departed->replacement.empty() ? std::optional(departed->instance) : std::nullopt;
}

std::vector<PromoteCall> StepPhase::pending_calls() const {
  return failover::pending_calls(view_, environment_, operation_);
}

// True if a version of the controller that kept no failover records began this failover: it may have made
// promote calls that are not in the record.
bool StepPhase::has_unknown_calls() const {
  return view_.record.id.empty() || view_.record.earlier_calls_unknown;
}

std::string StepPhase::new_record_id() const {
  return std::to_string(environment_.token) + "." + std::to_string(view_.state_sequence);
}

// Whether another database may have led a higher term for a while. Replicas that have learned of that term no
// longer replicate from the former primary.
bool StepPhase::may_be_superseded() const {
  const auto may_have_led = [this](const PromoteCall& call) {
    return call.successor != view_.assignment.primary && operation_.refused_calls.count(call.number) == 0;
  };
  return has_unknown_calls() ||
         std::any_of(view_.record.calls.begin(), view_.record.calls.end(), may_have_led);
}

// The record to keep after the failover: calls without an answer stay in it. They have no effect while the
// database that they name leads, but may take effect after it has been replaced.
FailoverRecord StepPhase::record_of_unanswered_calls() const {
  FailoverRecord record = view_.record;
  record.calls = pending_calls();
  std::erase_if(record.calls, [&](auto& call) { return operation_.accepted_calls.count(call.number) > 0; });
  return record.calls.empty() ? FailoverRecord{} : record;
}

bool StepPhase::record_replies() {
  const std::size_t before = log_holders(view_, operation_).size();
  for (auto& [id, reply] : operation_.replies) {
    operation_.liveness.on_reply(environment_.now, id, reply);
    if (!reply.is_row() || reply.info.primary) continue;
    Position& received = operation_.received_positions[id];
    received = std::max(received, reply.info.received);
  }
  return log_holders(view_, operation_).size() > before;
}

std::uint64_t StepPhase::newest_term() const {
  std::uint64_t newest = view_.assignment.term;
  for (auto& [id, reply] : operation_.replies)
    if (reply.is_row())
      newest = std::max({newest, reply.info.term, reply.info.received.term, reply.info.held});
  return newest;
}

}  // namespace pebblespindle::failover
