// Asks every database of a service for its role, term and position: whether somebody leads already, and what
// an earlier call to the platform may still do.
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
  // The database that leads the newest term of those that answered.
  struct Leader {
    InstanceId id;
    std::uint64_t term = 0;
    bool is_former_primary = false;  // it, or its heir, leads on and was not promoted since
  };

  std::optional<Leader> find_leader() const;
  bool was_promoted(const InstanceId& id, std::uint64_t term) const;
  void accept_leader(const Leader& lead);
  void retry_call(const PromoteCall& call);

  Pause& pause_;
  Promotion& promotion_;
};

}  // namespace pebblespindle::failover
