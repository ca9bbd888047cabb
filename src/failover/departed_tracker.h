// Watches the databases of one service that have left, until their logs are needed no more.
//
// One that has left may still receive, and count for what is acknowledged, until its process has ended. Then
// what it had received is covered once a replica that is registered has all that the primary had at a later
// moment: the database is forgotten. Until then it stays in the replicated state, and every failover minds
// it.
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
  // Looks at the service now and then; not while its primary is being replaced.
  void tick(const ServiceView& view, Instant now, Millis drain_ms);
  // Nobody is left to be watched.
  void clear();
  // Whether nothing runs under that ID any more, as far as is known here.
  bool has_ended(const DepartedInstance& departed, Instant now, Millis drain_ms) const;

 private:
  struct Watch {
    Instant next_at = 0;
    std::size_t awaited = 0;
    std::uint64_t round = 0;
    std::optional<Position> primary_position;  // at a moment after the processes had ended
    std::vector<InstanceId> ended;             // at that moment
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
