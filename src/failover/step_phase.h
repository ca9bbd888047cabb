// Base of the phases of a failover (survey, pause, promotion): the context of the current event, and helpers
// to change the step and to request actions.
#pragma once
#include <optional>

#include "failover/log_holders.h"
#include "failover/operation.h"

namespace pebblespindle::failover {

// The context of one event. The phases append to `actions` what the controller has to do, in this order.
struct StepContext {
  const ServiceView& view;
  const Environment& environment;
  Operation& operation;
  std::vector<Action>& actions;
};

class StepPhase {
 protected:
  explicit StepPhase(const StepContext& context);

  void request(Action action);
  void enter(Step step);
  // Starts another attempt, beginning with the survey, after a delay.
  void retry_after(Millis pause);
  void query_all(const std::vector<LogHolder>& holders, const std::string& statement);
  void submit(const PrimaryAssignment& assignment, const FailoverRecord& record, Step step);
  void reset();
  void log(const std::string& text);
  // The instance if it is registered, or has departed and no other database continues its log.
  std::optional<Instance> find_instance(const InstanceId& id) const;
  std::vector<PromoteCall> pending_calls() const;
  bool has_unknown_calls() const;
  bool may_be_superseded() const;
  std::string new_record_id() const;
  FailoverRecord record_of_unanswered_calls() const;
  // Records what the replies show of liveness and positions. Returns true if they reveal a log holder that
  // was not queried: a database that has restarted under a new ID.
  bool record_replies();
  std::uint64_t newest_term() const;

  const ServiceView& view_;
  const Environment& environment_;
  Operation& operation_;

 private:
  std::vector<Action>& actions_;
};

}  // namespace pebblespindle::failover
