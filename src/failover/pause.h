// The pause phase of a failover: stops replication on all replicas, and chooses the successor among them once
// every log that may hold an acknowledged commit is known.
#pragma once
#include "failover/promotion.h"

namespace pebblespindle::failover {

class Pause : private StepPhase {
 public:
  Pause(const StepContext& context, Promotion& promotion) : StepPhase(context), promotion_(promotion) {}

  void begin();
  void on_replies();
  // Makes a database that leads become a replica.
  void step_down(const InstanceId& id);

 private:
  bool retry_failed_pauses();
  bool wait_for_missing_logs(const LogSurvey& logs);
  Millis max_log_wait() const;
  void resume_replicas(const std::vector<LogHolder>& replicas);
  const LogHolder& choose_successor(const LogSurvey& logs) const;

  Promotion& promotion_;
};

}  // namespace pebblespindle::failover
