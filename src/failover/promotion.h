// The promote phase of a failover. The promote call is written to the failover record before the platform is
// called; the successor itself has to confirm that it leads; and it is announced as primary only while no
// call for another database may still take effect.
#pragma once
#include "failover/step_phase.h"

namespace pebblespindle::failover {

class Promotion : private StepPhase {
 public:
  explicit Promotion(const StepContext& context) : StepPhase(context) {}

  // Writes the next promote call into the failover record. on_recorded() then calls the platform.
  void record(const InstanceId& successor);
  void on_recorded(bool committed);
  void on_answered(const PromoteAnswered& answered);
  // The database has reported in a heartbeat that it is primary.
  void on_primary_reported(const InstanceId& id);
  void confirm_successor();
  void on_confirmed();

  // Both end the suspension of the service: announce() with a new primary, abandon() with the former one.
  void announce(const InstanceId& primary, std::uint64_t term);
  void abandon();
  void on_announced();
};

}  // namespace pebblespindle::failover
