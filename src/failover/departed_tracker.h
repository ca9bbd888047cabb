// Tracks departed databases (those that are no longer registered) until their logs are no longer needed.
//
// Until its process has ended, a departed database may still receive commits and thereby cause them to be
// acknowledged. After that, its log is no longer needed once a registered replica has everything that the
// primary had at some moment after the process ended: then the departed database is removed from the
// replicated state. Until then every failover of the service takes it into account.
#pragma once
#include <functional>
#include <map>
#include <optional>

#include "failover/operation.h"

namespace pebblespindle::failover {

class DepartedTracker {
 public:
  using Forget = std::function<void(const InstanceId&)>;

  DepartedTracker(QueryDatabase query, Forget forget)
      : query_(std::move(query)), forget_(std::move(forget)) {}
  // Runs the next round of queries if it is due. Does nothing while the service's primary is being replaced.
  void tick(const ServiceView& view, Instant now, Millis drain_ms);
  // Forgets everything; called when no service has a departed database.
  void clear();
  // Whether the process of the departed database is known to have ended.
  bool has_ended(const DepartedInstance& departed, Instant now, Millis drain_ms) const;

 private:
  struct Watch {
    Instant next_at = 0;
    std::size_t awaited = 0;  // replies that are outstanding in this round
    std::uint64_t round = 0;  // replies to earlier rounds are ignored
    // Where the primary's log ended at some moment after all processes in `ended` had ended.
    std::optional<Position> primary_position;
    std::vector<InstanceId> ended;
  };
  void query_departed(const ServiceView& view, Watch& watch, Instant now);
  void query_primary(const ServiceView& view, Watch& watch);
  void query_replicas(const ServiceView& view, Watch& watch);
  void forget_continued(const ServiceView& view);

  QueryDatabase query_;
  Forget forget_;
  std::map<std::string, Watch> watches_;  // by service
  ProcessLivenessTable liveness_;
  std::uint64_t last_round_ = 0;
};

}  // namespace pebblespindle::failover
