// The promote of a failover: it stands in the record before the platform is called, is confirmed by the
// successor itself, and is announced only while no other call may still take effect.
#pragma once
#include "failover/step_phase.h"

namespace pebblespindle::failover {

class Promotion : private StepPhase {
 public:
  explicit Promotion(const StepContext& context) : StepPhase(context) {}

  // Writes the next promote into the record; on_recorded calls the platform.
  void record(const InstanceId& successor);
  void on_recorded(bool committed);
  void on_answered(const PromoteAnswered& answered);
  // The database told by itself that it leads.
  void on_primary_reported(const InstanceId& id);
  void confirm_successor();
  void on_confirmed();

  // The service goes on: with this primary, or with the one that it had.
  void announce(const InstanceId& primary, std::uint64_t term);
  void abandon();
  void on_announced();
};

}  // namespace pebblespindle::failover
