// The steps of one failover, as a function of what is known and what happens: no I/O, no clock, no state of
// its own. The exhaustive check (tests/failover) drives it as the controller does.
//
// Suspend the service in the replicated state; wait until every node with a lease has acknowledged that, or
// its lease has ended, so that nobody is told of a commit any more; survey the databases (survey.h); pause
// all that receive (pause.h); write the promote into the record, call the platform, learn that the successor
// leads, announce it (promotion.h).
//
// Invariants:
// - Nothing is promoted while a log that may hold an acknowledged commit is unknown (log_holders.h), and
// nothing
//   below what a living primary had committed.
// - A call stands in the record before it is made. While one may still take effect, nobody but its successor
// is
//   promoted, and nobody but its successor is announced.
#pragma once
#include "failover/survey.h"

namespace pebblespindle::failover {

class StepMachine : private StepPhase {
 public:
  // view and around are as of this event; operation is what this controller remembers.
  StepMachine(const ServiceView& view, const Environment& environment, Operation& operation);
  StepMachine(const StepMachine&) = delete;
  StepMachine& operator=(const StepMachine&) = delete;
  ~StepMachine() = default;
  // What is to be done, in this order.
  std::vector<Action> handle(const Event& event);

 private:
  void on(const Tick&);
  void on(const Begin& begin);
  void on(const Reply& reply);
  void on(const Submitted& submitted);
  void on(const PromoteAnswered& answered);
  void on(const PrimaryReported& reported);

  void take_over();
  void on_suspended(bool committed);

  std::vector<Action> requested_actions_;
  Promotion promotion_;
  Pause pause_;
  Survey survey_;
};

}  // namespace pebblespindle::failover
