// What this node meets at each database, judged by the results of real requests: reads avoid a database that
// fails more than its peers, and the core is told what is out of the ordinary.
#include <algorithm>

#include "health/constants.h"
#include "pooler/constants.h"
#include "pooler/engine.h"

namespace pebblespindle::pooler {

void Engine::record_result(const InstanceId& id, bool good, Millis took) {
  Pool& p = pools_[id];
  ++p.window.requests;
  p.window.total_ms += took;
  p.failure_rate += ((good ? 0.0 : 1.0) - p.failure_rate) * kFailureRateWeight;
  if (good) return;
  ++p.window.failures;
  if (p.failure_rate < kMaxFailureRate || now_ < p.avoid_until) return;
  // Each time it fails again soon after its trial, it is left alone for longer.
  bool again = now_ < p.avoid_until + kMaxEjectionMs;
  p.avoid_duration =
      again && p.avoid_duration > 0 ? std::min(2 * p.avoid_duration, kMaxEjectionMs) : kFirstEjectionMs;
  p.avoid_until = now_ + p.avoid_duration;
  p.failure_rate = kMaxFailureRate / 2;  // one more failure on trial is enough
}

// Where this node asks a service too seldom to know how far its primary stands, others of its core know:
// worth a question when a replica at home could serve the read instead of a primary elsewhere, or any replica
// instead of a primary that is gone or has more callers than places.
bool Engine::should_request_position(const std::string& service, const RoutingDecision& primary) const {
  if (controller_incarnation_ == 0) return false;
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  auto p = lead ? pools_.find(lead->primary) : pools_.end();
  bool any = primary.kind != RoutingDecision::Kind::kSend ||
             (p != pools_.end() && now_ < p->second.limit_reported_until);
  bool near = false;
  for (auto* i : cluster_.instances_of(service)) {
    if (!usable(*i) || i->draining) continue;
    bool leads = lead && lead->primary == i->id;
    if (leads && i->zone == zone_ && primary.kind == RoutingDecision::Kind::kSend) return false;
    near = near || (!leads && (any || i->zone == zone_));
  }
  return near;
}

void Engine::await_position(Session& s, const std::string& service) {
  s.statement.position_requested = true;
  s.statement.awaits_position_of = service;
  auto& q = waiting_for_position_[service];
  q.push_back(s.id);
  timers_.cancel(s.statement.wait_timer);
  s.statement.wait_timer =
      timers_.at(std::min(now_ + kPositionQueryTimeoutMs, s.statement.deadline), [this, service, id = s.id] {
        Session* x = find_session(id);
        if (!x) return;
        x->statement.wait_timer = 0;
        x->statement.awaits_position_of.clear();
        std::erase(waiting_for_position_[service], id);
        route_statement(id);
      });
  if (q.size() == 1) callbacks_.request_position(service);
}

void Engine::on_position_reply(const std::string& service, Millis requested_at,
                               std::optional<Position> position) {
  if (position) freshness_[service].observe(requested_at, *position);
  auto q = std::exchange(waiting_for_position_[service], {});
  waiting_for_position_.erase(service);
  for (auto id : q)
    if (Session* s = find_session(id)) {
      s->statement.awaits_position_of.clear();
      timers_.cancel(s->statement.wait_timer);
    }
  for (auto id : q) route_statement(id);
}

Json Engine::take_observed_positions() {
  auto met = std::exchange(observed_positions_, {});
  if (met.empty() || controller_incarnation_ == 0) return {};
  Json p = Json::array();
  for (auto& [service, s] : met)
    p.push_back(Json::array({service, s.position.text(), s.requested_at + controller_clock_offset_}));
  return {{"life", controller_incarnation_}, {"p", p}};
}

Json Engine::take_health_report() {
  Json databases = Json::array(), routes = Json::array();
  auto mean = [this](const InstanceId& id) {
    auto p = pools_.find(id);
    return p == pools_.end() || p->second.window.requests < kMinRequestsInReport
               ? Millis(-1)
               : p->second.window.total_ms / p->second.window.requests;
  };
  for (auto& [id, p] : pools_) {
    const Instance* i = cluster_.instance(id);
    if (!i) continue;
    Millis best = -1, mine = mean(id);
    for (auto* peer : cluster_.instances_of(i->service))
      if (Millis m = mean(peer->id); m >= 0 && (best < 0 || m < best)) best = m;
    bool slow = mine >= 0 && double(mine) > double(best) * kLatencyAvoidFactor + kLatencyAvoidMs;
    // Where traffic is thin each node meets little: the core puts it together before it judges.
    if (p.blocked || slow || p.window.failures > 0)
      databases.push_back(
          Json::array({id.value, p.window.requests, p.window.failures,
                       p.window.requests > 0 ? p.window.total_ms / p.window.requests : 0, int(p.blocked)}));
  }
  for (auto& [id, p] : pools_) p.window = {};
  for (auto& [name, r] : route_counts_)
    if (r.requests >= kMinRequestsInReport && (r.refused + r.failed + r.late) * 10 >= r.requests)
      routes.push_back(Json::array({name, r.requests, r.refused, r.failed, r.late}));
  route_counts_.clear();
  if (databases.empty() && routes.empty()) return {};
  return {{"t", "sight"}, {"d", databases}, {"r", routes}};
}

}  // namespace pebblespindle::pooler
