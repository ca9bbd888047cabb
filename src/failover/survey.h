// The survey phase of a failover: asks every database of the service for its role, term and log position, to
// learn whether one of them leads already and whether an earlier promote call may still take effect.
#pragma once
#include "failover/pause.h"
#include "failover/promotion.h"

namespace pebblespindle::failover {

class Survey : private StepPhase {
 public:
  Survey(const StepContext& context, Pause& pause, Promotion& promotion)
      : StepPhase(context), pause_(pause), promotion_(promotion) {}

  void begin();
  void on_replies();

 private:
  // The database that leads the newest term among those that replied.
  struct Leader {
    InstanceId id;
    std::uint64_t term = 0;
    bool is_former_primary = false;  // the former primary, or its restarted process, has led all along
  };

  std::optional<Leader> find_leader() const;
  bool was_promoted(const InstanceId& id, std::uint64_t term) const;
  void accept_leader(const Leader& lead);
  void retry_call(const PromoteCall& call);

  Pause& pause_;
  Promotion& promotion_;
};

}  // namespace pebblespindle::failover
