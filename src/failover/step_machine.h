// The steps of one failover as a function of the replicated state, the controller's memory and an event. It
// does no I/O, reads no clock and keeps no state of its own, so that the model check in tests/failover can
// drive it as the controller does.
//
// The steps:
// 1. Suspend the service in the replicated state, and wait until every node has acknowledged that or its
//    lease has ended. From then on nodes report no commit to clients.
// 2. Query all databases (survey.h).
// 3. Pause replication on all replicas and choose the successor (pause.h).
// 4. Write the promote call to the failover record, call the platform, wait until the successor confirms
//    that it leads, and announce it as primary (promotion.h).
//
// Invariants:
// - No database is promoted while a log that may hold an acknowledged commit is unknown (log_holders.h), and
//   none whose log ends before what a living primary had committed.
// - A promote call is in the record before it is made. While a call may still take effect, only the database
//   that it names may be promoted or announced.
#pragma once
#include "failover/survey.h"

namespace pebblespindle::failover {

class StepMachine : private StepPhase {
 public:
  // view and environment: as of the event to be handled. operation: this controller's memory of the failover.
  StepMachine(const ServiceView& view, const Environment& environment, Operation& operation);
  StepMachine(const StepMachine&) = delete;
  StepMachine& operator=(const StepMachine&) = delete;
  ~StepMachine() = default;
  // Returns what the controller has to do, in this order.
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
