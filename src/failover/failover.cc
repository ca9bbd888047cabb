#include "failover/failover.h"

#include <algorithm>

#include "base/exception_barrier.h"
#include "config/commands.h"
#include "failover/constants.h"

namespace pebblespindle::failover {

Failover::Failover(const StateTable& state, FailoverCallbacks callbacks, Millis drain_ms)
    : state_(state),
      callbacks_(std::move(callbacks)),
      drain_ms_(drain_ms),
      departed_tracker_(
          callbacks_.query,
          [this](const InstanceId& id) { callbacks_.submit(forget_departed(id), [](const Status&) {}); }),
      releases_(callbacks_.query, [this](const std::string& service) { finish_release(service); }) {}

// --- state

const ClusterState& Failover::cluster() {
  cluster_.update_from(state_);
  return cluster_;
}

ServiceView Failover::view_of(const std::string& service) {
  return read_service_view(state_, cluster(), service);
}

Environment Failover::environment_of(const ServiceView& view) const {
  return {now_, callbacks_.is_leader(), callbacks_.fencing_token(),
          callbacks_.acknowledged_by_all_nodes(view.assignment_sequence), drain_ms_};
}

bool Failover::is_under_way() const {
  return std::any_of(operations_.begin(), operations_.end(),
                     [](auto& entry) { return entry.second.step != Step::kIdle; });
}

// --- running operations

void Failover::on_heartbeat(Instant now, const Instance& instance) {
  now_ = now;
  auto it = operations_.find(instance.service);
  const bool awaited = it != operations_.end() && it->second.step == Step::kAwaitingPrimary;
  if (awaited && instance.primary && callbacks_.is_leader())
    handle(instance.service, PrimaryReported{instance.id});
}

void Failover::tick(Instant now) {
  now_ = now;
  cluster();
  if (const std::uint64_t token = callbacks_.fencing_token(); token != token_) {
    token_ = token;  // another controller may have held the duty since the last tick
    operations_.clear();
    releases_.clear();
  }
  if (!callbacks_.is_leader()) return;  // operations are kept: after a view change the duty returns shortly
  const auto assignments = cluster().primaries();
  std::set<std::string> departed_from;
  if (cluster().departed_instances().empty()) departed_tracker_.clear();
  for (auto& [id, departed] : cluster().departed_instances()) departed_from.insert(departed.instance.service);
  for (auto& [service, assignment] : assignments)
    run_guarded(Boundary::kTimer, [&, &service = service, &assignment = assignment] {
      advance(service, assignment);
      run_maintenance(service, departed_from.count(service) > 0);
    });
}

void Failover::advance(const std::string& service, const PrimaryAssignment& assignment) {
  const Operation& operation = operations_[service];
  if (operation.step != Step::kIdle || assignment.suspended) return handle(service, Tick{});
  if (now_ >= operation.retry_at) consider_failover(service, assignment);
}

// The work outside of failovers: releases paused databases and tracks departed ones.
void Failover::run_maintenance(const std::string& service, bool any_departed) {
  const PrimaryAssignment* assignment = cluster().primary_of(service);
  const bool releasing = assignment && !assignment->suspended && assignment->releasing;
  if (!releasing) releases_.forget(service);
  if (!releasing && !any_departed) return;
  const ServiceView view = view_of(service);
  if (releasing) releases_.tick(view, now_);
  departed_tracker_.tick(view, now_, drain_ms_);
}

void Failover::finish_release(const std::string& service) {
  const ServiceView view = view_of(service);
  if (view.assignment.suspended || !view.assignment.releasing) return;
  PrimaryAssignment next = view.assignment;
  next.releasing = false;
  callbacks_.submit(encode(UpdateFailover{service, view.assignment_value, encode_primary(next),
                                          view.record_value, view.record_value}),
                    [](const Status&) {});
}

void Failover::handle(const std::string& service, const Event& event) {
  const ServiceView view = view_of(service);
  const Environment environment = environment_of(view);
  auto actions = StepMachine(view, environment, operations_[service]).handle(event);
  for (auto& action : actions) execute(service, action);
}

void Failover::execute(const std::string& service, const Action& action) {
  if (auto* line = std::get_if<LogLine>(&action)) return callbacks_.log_event(line->text);
  if (auto* wanted = std::get_if<Query>(&action)) return query(service, *wanted);
  if (auto* wanted = std::get_if<Submit>(&action)) return submit(service, *wanted);
  if (auto* wanted = std::get_if<CallPlatform>(&action)) return call_platform(service, *wanted);
  suspicions_.clear_all();
  run_maintenance(service, false);
}

void Failover::query(const std::string& service, const Query& wanted) {
  callbacks_.query(wanted.to, wanted.statement,
                   [this, service, round = wanted.round, id = wanted.to.id](const DatabaseReply& reply) {
                     handle(service, Reply{round, id, reply});
                   });
}

void Failover::submit(const std::string& service, const Submit& wanted) {
  callbacks_.submit(wanted.command, [this, service, round = wanted.round](const Status& status) {
    handle(service, Submitted{round, status.is_ok()});
  });
}

void Failover::call_platform(const std::string& service, const CallPlatform& wanted) {
  callbacks_.promote(service, wanted.successor,
                     [this, service, call = wanted.call_number](PromoteOutcome outcome) {
                       handle(service, PromoteAnswered{call, outcome});
                     });
}

// --- whether a failover is due

void Failover::begin(const std::string& service, bool planned, const std::string& reason) {
  handle(service, Begin{planned, reason});
}

void Failover::consider_failover(const std::string& service, const PrimaryAssignment& assignment) {
  if (consider_departed_primary(service, assignment)) return;
  const Instance* known = cluster().instance(assignment.primary);
  if (!known) return;
  const Instance primary = *known;
  const auto& all = cluster().instances_of(service);
  const auto is_other = [&](auto* other) { return other->id != primary.id; };
  // If all other databases are draining, one of them still replaces a dead primary: only while it runs can
  // its log be passed on to a database that remains.
  if (std::none_of(all.begin(), all.end(), is_other)) return;
  const bool has_successor =
      std::any_of(all.begin(), all.end(), [&](auto* other) { return is_other(other) && !other->draining; });
  if (has_successor && primary.draining && may_hand_over(service))
    return begin(service, true, "the primary is leaving");
  if (has_successor && is_slow(service, primary.id) && may_hand_over(service)) {
    last_slow_hand_over_[service] = now_;
    return begin(service, true, "the primary is slow");
  }
  if (suspicions_.should_query(now_, primary.id)) query_suspect(service, primary);
  consider_other_leader(service, assignment);
}

// False while an earlier promote call may still take effect: if it names the current primary, it could make
// that database primary again after it has handed over.
bool Failover::may_hand_over(const std::string& service) {
  const FailoverRecord* record = cluster().failover_of(service);
  if (!record || record->calls.empty()) return true;
  const ServiceView view = view_of(service);
  Operation& operation = operations_[service];
  for (auto& call : view.record.calls) operation.call_seen_at.emplace(call.number, now_);
  return pending_calls(view, environment_of(view), operation).empty();
}

// Returns true if the primary has departed, so that no other reason for a failover has to be considered.
bool Failover::consider_departed_primary(const std::string& service, const PrimaryAssignment& assignment) {
  if (cluster().instance(assignment.primary)) return false;
  const auto& all = cluster().instances_of(service);
  const bool has_successor =
      std::any_of(all.begin(), all.end(), [](auto* other) { return !other->draining; });
  // A primary that has announced its shutdown but still runs can report what it has committed, so the
  // failover is planned.
  auto departed = cluster().departed_instances().find(assignment.primary);
  const bool still_runs = departed != cluster().departed_instances().end() &&
                          !departed_tracker_.has_ended(departed->second, now_, drain_ms_);
  if (still_runs && !may_hand_over(service)) return true;
  if (!all.empty() && (has_successor || !still_runs)) begin(service, still_runs, "the primary has left");
  return true;
}

bool Failover::is_slow(const std::string& service, const InstanceId& primary) {
  auto last = last_slow_hand_over_.find(service);
  if (last != last_slow_hand_over_.end() && now_ < last->second + kSlowHandOverIntervalMs) return false;
  return suspicions_.nodes_agree_slow(now_, primary, callbacks_.node_count());
}

void Failover::query_suspect(const std::string& service, const Instance& primary) {
  suspicions_.on_query_sent(primary.id);
  callbacks_.query(primary, "INFO", [this, service, id = primary.id](const DatabaseReply& reply) {
    on_suspect_reply(service, id, reply);
  });
}

void Failover::on_suspect_reply(const std::string& service, const InstanceId& primary,
                                const DatabaseReply& reply) {
  suspicions_.on_query_ended(primary);
  const bool answers = reply.kind == DatabaseReply::Kind::kRow || reply.kind == DatabaseReply::Kind::kError;
  if (answers) return suspicions_.on_query_answered(now_, primary);
  // Silence towards this controller may be due to a faulty link, so it counts only while nodes of two zones
  // miss the database's replies as well.
  const bool silent = reply.kind == DatabaseReply::Kind::kSilent;
  if (silent && suspicions_.zones_missing_replies(now_, primary) < 2) return;
  suspicions_.clear(primary);
  const PrimaryAssignment* current = cluster().primary_of(service);
  if (current && !current->suspended && current->primary == primary && callbacks_.is_leader())
    begin(service, false, silent ? "the primary is silent" : "the primary refuses connections");
}

// A database that reports itself as primary without being the assigned one was promoted by a call whose
// outcome no controller learned. The assigned primary refuses all writes by then.
void Failover::consider_other_leader(const std::string& service, const PrimaryAssignment& assignment) {
  const auto& all = cluster().instances_of(service);
  auto other = std::find_if(all.begin(), all.end(), [&](auto* instance) {
    return instance->primary && instance->id != assignment.primary;
  });
  if (other == all.end()) return;
  Instant& asked_at = other_leader_queried_at_[service];
  if (asked_at != 0 && now_ < asked_at + kOtherLeaderQueryIntervalMs) return;
  asked_at = now_;
  callbacks_.query(**other, "INFO", [this, service, id = (*other)->id](const DatabaseReply& reply) {
    on_other_leader(service, id, reply);
  });
}

void Failover::on_other_leader(const std::string& service, const InstanceId& other,
                               const DatabaseReply& reply) {
  const PrimaryAssignment* current = cluster().primary_of(service);
  if (!current || current->suspended || current->primary == other || !callbacks_.is_leader()) return;
  const bool leads = reply.kind == DatabaseReply::Kind::kRow && reply.info.primary;
  // The assignment of a service's first primary has no term (0); logs begin with term 1.
  if (leads && reply.info.term > std::max<std::uint64_t>(current->term, 1))
    begin(service, false, "another database leads a higher term");
}

}  // namespace pebblespindle::failover
