// What a controller tells of itself and of the fleet (GET /status). Sums first, and by name what is out of
// the ordinary: with hundreds of nodes the rest tells nothing. docs/operating.md says what each field means.
#pragma once
#include "base/json_schema.h"
#include "config/cluster_state.h"
#include "controller/event_log.h"
#include "health/outlier_detector.h"
#include "membership/node_leases.h"
#include "membership/position_cache.h"
#include "quota/quota_allocator.h"
#include "replication/replica.h"
#include "settings/settings.h"

namespace pebblespindle {

class StatusReport {
 public:
  struct Sources {
    const Settings& settings;
    const replication::Replica& replica;
    const NodeLeases& node_leases;
    const OutlierDetector& outlier_detector;
    const quota::QuotaAllocator& quota_allocator;
    const EventLog& events;
  };
  StatusReport(const Sources& sources, Instant now);

  // verbose: every node, database and service by name.
  Json document(bool verbose) const;

 private:
  Json view() const;
  Json nodes(bool verbose) const;
  Json databases(bool verbose) const;
  Json services(bool verbose) const;
  Json events() const;

  const Sources& sources_;
  const Instant now_;
  ClusterState cluster_;
};

}  // namespace pebblespindle
