// Passive health checks: judges each database by the results of real requests. Reads avoid a database that
// fails too many of them, and failures and slow answers are reported to the controller.
#include <algorithm>

#include "health/constants.h"
#include "pooler/constants.h"
#include "pooler/engine.h"

namespace pebblespindle::pooler {

void Engine::record_result(const InstanceId& id, bool good, Millis took) {
  Pool& pool = pools_[id];
  ++pool.window.requests;
  pool.window.total_ms += took;
  pool.failure_rate += ((good ? 0.0 : 1.0) - pool.failure_rate) * kFailureRateWeight;
  if (good) return;
  ++pool.window.failures;
  if (pool.failure_rate < kMaxFailureRate || now_ < pool.avoid_until) return;
  // A database that fails again soon after its last ejection is ejected for twice as long.
  bool again = now_ < pool.avoid_until + kMaxEjectionMs;
  pool.avoid_duration =
      again && pool.avoid_duration > 0 ? std::min(2 * pool.avoid_duration, kMaxEjectionMs) : kFirstEjectionMs;
  pool.avoid_until = now_ + pool.avoid_duration;
  pool.failure_rate = kMaxFailureRate / 2;  // two failures in a row after the ejection then bring on the next
}

// A node that rarely uses a service does not know the position of its primary, but the controller may know it
// from other nodes. Requesting it is worthwhile when a replica in this zone could serve the read in place of
// a primary in another zone, or when any replica could serve it because the primary is unavailable or at its
// connection limit.
bool Engine::should_request_position(const std::string& service, const RoutingDecision& primary) const {
  if (controller_incarnation_ == 0) return false;
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  auto pool = lead ? pools_.find(lead->primary) : pools_.end();
  bool any = primary.kind != RoutingDecision::Kind::kSend ||
             (pool != pools_.end() && now_ < pool->second.limit_reported_until);
  bool near = false;
  for (auto* instance : cluster_.instances_of(service)) {
    if (!usable(*instance) || instance->draining) continue;
    bool leads = lead && lead->primary == instance->id;
    if (leads && instance->zone == zone_ && primary.kind == RoutingDecision::Kind::kSend) return false;
    near = near || (!leads && (any || instance->zone == zone_));
  }
  return near;
}

void Engine::await_position(Session& session, const std::string& service) {
  session.statement.position_requested = true;
  session.statement.awaits_position_of = service;
  auto& queue = waiting_for_position_[service];
  queue.push_back(session.id);
  timers_.cancel(session.statement.wait_timer);
  session.statement.wait_timer = timers_.at(
      std::min(now_ + kPositionQueryTimeoutMs, session.statement.deadline), [this, service, id = session.id] {
        Session* live_session = find_session(id);
        if (!live_session) return;
        live_session->statement.wait_timer = 0;
        live_session->statement.awaits_position_of.clear();
        std::erase(waiting_for_position_[service], id);
        route_statement(id);
      });
  if (queue.size() == 1) callbacks_.request_position(service);
}

void Engine::on_position_reply(const std::string& service, Millis requested_at,
                               std::optional<Position> position) {
  if (position) freshness_[service].observe(requested_at, *position);
  auto queue = std::exchange(waiting_for_position_[service], {});
  waiting_for_position_.erase(service);
  for (auto id : queue)
    if (Session* session = find_session(id)) {
      session->statement.awaits_position_of.clear();
      timers_.cancel(session->statement.wait_timer);
    }
  for (auto id : queue) route_statement(id);
}

Json Engine::take_observed_positions() {
  auto observed = std::exchange(observed_positions_, {});
  if (observed.empty() || controller_incarnation_ == 0) return {};
  Json positions = Json::array();
  for (auto& [service, entry] : observed)
    positions.push_back(
        Json::array({service, entry.position.text(), entry.requested_at + controller_clock_offset_}));
  return {{"life", controller_incarnation_}, {"p", positions}};
}

Json Engine::take_health_report() {
  Json databases = Json::array(), routes = Json::array();
  auto mean = [this](const InstanceId& id) {
    auto pool = pools_.find(id);
    return pool == pools_.end() || pool->second.window.requests < kMinRequestsInReport
               ? Millis(-1)
               : pool->second.window.total_ms / pool->second.window.requests;
  };
  for (auto& [id, pool] : pools_) {
    const Instance* instance = cluster_.instance(id);
    if (!instance) continue;
    Millis best = -1, mine = mean(id);
    for (auto* peer : cluster_.instances_of(instance->service))
      if (Millis m = mean(peer->id); m >= 0 && (best < 0 || m < best)) best = m;
    bool slow = mine >= 0 && double(mine) > double(best) * kLatencyAvoidFactor + kLatencyAvoidMs;
    // A single failure is reported too: with little traffic each node sees few of them, and the controller
    // adds up the reports of all nodes before it acts.
    if (pool.blocked || slow || pool.window.failures > 0)
      databases.push_back(Json::array(
          {id.value, pool.window.requests, pool.window.failures,
           pool.window.requests > 0 ? pool.window.total_ms / pool.window.requests : 0, int(pool.blocked)}));
  }
  for (auto& [id, pool] : pools_) pool.window = {};
  for (auto& [name, r] : route_counts_)
    if (r.requests >= kMinRequestsInReport && (r.refused + r.failed + r.late) * 10 >= r.requests)
      routes.push_back(Json::array({name, r.requests, r.refused, r.failed, r.late}));
  route_counts_.clear();
  if (databases.empty() && routes.empty()) return {};
  return {{"t", "sight"}, {"d", databases}, {"r", routes}};
}

}  // namespace pebblespindle::pooler
