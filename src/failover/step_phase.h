// What the phases of a failover share: what they know, what they remember, and how they ask for something to
// be done.
#pragma once
#include <optional>

#include "failover/log_holders.h"
#include "failover/operation.h"

namespace pebblespindle::failover {

// Everything is as of one event; actions collects what is to be done, in this order.
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
  // Another attempt, from the survey on.
  void retry_after(Millis pause);
  void query_all(const std::vector<LogHolder>& holders, const std::string& statement);
  void submit(const PrimaryAssignment& assignment, const FailoverRecord& record, Step step);
  void reset();
  void log(const std::string& text);
  // Registered, or departed and not continued by another.
  std::optional<Instance> find_instance(const InstanceId& id) const;
  std::vector<PromoteCall> pending_calls() const;
  bool has_unknown_calls() const;
  bool may_be_superseded() const;
  std::string new_record_id() const;
  FailoverRecord record_of_unanswered_calls() const;
  // True when somebody was met that was not asked: a database under a new ID.
  bool record_replies();
  std::uint64_t newest_term() const;

  const ServiceView& view_;
  const Environment& environment_;
  Operation& operation_;

 private:
  std::vector<Action>& actions_;
};

}  // namespace pebblespindle::failover
