#include "failover/departed_tracker.h"

#include <algorithm>

#include "failover/constants.h"
#include "failover/log_holders.h"

namespace pebblespindle::failover {

bool DepartedTracker::has_ended(const DepartedInstance& departed, Instant now, Millis drain_ms) const {
  return has_departed_process_ended(departed, liveness_.of(departed.instance.id), now, drain_ms);
}

void DepartedTracker::clear() {
  watches_.clear();
  liveness_.forget_all();
}

// First asks the departed databases whether they still run. Once some have ended, asks the primary for the
// end of its log, and in later rounds the replicas, until one of them has reached that position.
void DepartedTracker::tick(const ServiceView& view, Instant now, Millis drain_ms) {
  if (view.departed.empty() || view.assignment.suspended) {
    watches_.erase(view.service);
    return;
  }
  Watch& watch = watches_[view.service];
  if (watch.awaited > 0 || now < watch.next_at) return;
  watch.next_at = now + kDepartedCheckIntervalMs;
  watch.round = ++last_round_;
  forget_continued(view);
  if (watch.primary_position) return query_replicas(view, watch);
  watch.ended.clear();
  for (auto& departed : view.departed)
    if (departed.replacement.empty() && has_ended(departed, now, drain_ms))
      watch.ended.push_back(departed.instance.id);
  if (!watch.ended.empty()) query_primary(view, watch);
  query_departed(view, watch, now);
}

// Forgets departed databases whose log is continued by a newly registered database at the same address. The
// assigned primary is kept until another database has replaced it.
void DepartedTracker::forget_continued(const ServiceView& view) {
  for (auto& departed : view.departed) {
    const bool continued = !departed.replacement.empty() && departed.instance.id != view.assignment.primary;
    if (continued) forget_(departed.instance.id);
  }
}

void DepartedTracker::query_departed(const ServiceView& view, Watch& watch, Instant now) {
  for (auto& departed : view.departed) {
    const InstanceId id = departed.instance.id;
    if (!departed.replacement.empty() || std::count(watch.ended.begin(), watch.ended.end(), id) > 0) continue;
    ++watch.awaited;
    query_(departed.instance, "INFO",
           [this, service = view.service, round = watch.round, id, now](const DatabaseReply& reply) {
             liveness_.on_reply(now, id, reply);
             auto it = watches_.find(service);
             if (it != watches_.end() && it->second.round == round) --it->second.awaited;
           });
  }
}

void DepartedTracker::query_primary(const ServiceView& view, Watch& watch) {
  const Instance* primary = view.find_registered(view.assignment.primary);
  if (!primary) return;
  ++watch.awaited;
  query_(*primary, "INFO",
         [this, service = view.service, round = watch.round,
          term = view.assignment.term](const DatabaseReply& reply) {
           auto it = watches_.find(service);
           if (it == watches_.end() || it->second.round != round) return;
           --it->second.awaited;
           const bool leads =
               reply.kind == DatabaseReply::Kind::kRow && reply.info.primary && reply.info.term >= term;
           if (leads) it->second.primary_position = reply.info.received;
         });
}

void DepartedTracker::query_replicas(const ServiceView& view, Watch& watch) {
  for (auto& replica : view.registered) {
    if (replica.id == view.assignment.primary) continue;
    ++watch.awaited;
    query_(replica, "INFO", [this, service = view.service, round = watch.round](const DatabaseReply& reply) {
      auto it = watches_.find(service);
      if (it == watches_.end() || it->second.round != round) return;
      Watch& latest = it->second;
      --latest.awaited;
      const bool covers = reply.kind == DatabaseReply::Kind::kRow && latest.primary_position &&
                          reply.info.received >= *latest.primary_position;
      if (!covers) return;
      for (auto& id : std::exchange(latest.ended, {})) {
        forget_(id);
        liveness_.forget(id);
      }
      latest.primary_position.reset();
    });
  }
}

}  // namespace pebblespindle::failover
