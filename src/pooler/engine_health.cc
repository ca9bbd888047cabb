// What this node meets at each database, judged by the results of real requests: reads avoid a database that
// fails more than its peers, and the core is told what is out of the ordinary.
#include <algorithm>

#include "health/constants.h"
#include "pooler/constants.h"
#include "pooler/engine.h"

namespace pebblespindle::pooler {

void Engine::met(const InstanceId& id, bool good, Millis took) {
  Pool& p = pools_[id];
  ++p.seen.asked;
  p.seen.ms += took;
  p.trouble += ((good ? 0.0 : 1.0) - p.trouble) * kFailureShareWeight;
  if (good) return;
  ++p.seen.bad;
  if (p.trouble < kMaxFailureShare || now_ < p.avoid_until) return;
  // Each time it fails again soon after its trial, it is left alone for longer.
  bool again = now_ < p.avoid_until + kMaxEjectionMs;
  p.avoid_pause = again && p.avoid_pause > 0 ? std::min(2 * p.avoid_pause, kMaxEjectionMs) : kFirstEjectionMs;
  p.avoid_until = now_ + p.avoid_pause;
  p.trouble = kMaxFailureShare / 2;  // one more failure on trial is enough
}

// Where this node asks a service too seldom to know how far its primary stands, others of its core know:
// worth a question when a replica at home could serve the read instead of a primary elsewhere, or any replica
// instead of a primary that is gone or has more callers than places.
bool Engine::worth_asking_position(const std::string& service, const Choice& primary) const {
  if (core_life_ == 0) return false;
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  auto p = lead ? pools_.find(lead->primary) : pools_.end();
  bool any = primary.kind != Choice::Kind::kGo || (p != pools_.end() && now_ < p->second.tight_until);
  bool near = false;
  for (auto* i : cluster_.instances_of(service)) {
    if (!usable(*i) || i->draining) continue;
    bool leads = lead && lead->primary == i->id;
    if (leads && i->zone == zone_ && primary.kind == Choice::Kind::kGo) return false;
    near = near || (!leads && (any || i->zone == zone_));
  }
  return near;
}

void Engine::sound(Session& s, const std::string& service) {
  s.work.position_asked = true;
  s.work.position_of = service;
  auto& q = waiting_for_position_[service];
  q.push_back(s.id);
  timers_.cancel(s.work.wait);
  s.work.wait =
      timers_.at(std::min(now_ + kPositionQueryTimeoutMs, s.work.deadline), [this, service, id = s.id] {
        Session* x = find(id);
        if (!x) return;
        x->work.wait = 0;
        x->work.position_of.clear();
        std::erase(waiting_for_position_[service], id);
        attempt(id);
      });
  if (q.size() == 1) port_.sound(service);
}

void Engine::position_asked(const std::string& service, Millis asked, std::optional<Position> position) {
  if (position) fresh_[service].observe(asked, *position);
  auto q = std::exchange(waiting_for_position_[service], {});
  waiting_for_position_.erase(service);
  for (auto id : q)
    if (Session* s = find(id)) {
      s->work.position_of.clear();
      timers_.cancel(s->work.wait);
    }
  for (auto id : q) attempt(id);
}

Json Engine::take_positions() {
  auto met = std::exchange(met_positions_, {});
  if (met.empty() || core_life_ == 0) return {};
  Json p = Json::array();
  for (auto& [service, s] : met)
    p.push_back(Json::array({service, s.position.text(), s.asked + core_ahead_}));
  return {{"life", core_life_}, {"p", p}};
}

Json Engine::take_sights() {
  Json databases = Json::array(), routes = Json::array();
  auto mean = [this](const InstanceId& id) {
    auto p = pools_.find(id);
    return p == pools_.end() || p->second.seen.asked < kMinRequestsInReport
               ? Millis(-1)
               : p->second.seen.ms / p->second.seen.asked;
  };
  for (auto& [id, p] : pools_) {
    const Instance* i = cluster_.instance(id);
    if (!i) continue;
    Millis best = -1, mine = mean(id);
    for (auto* peer : cluster_.instances_of(i->service))
      if (Millis m = mean(peer->id); m >= 0 && (best < 0 || m < best)) best = m;
    bool slow = mine >= 0 && double(mine) > double(best) * kLatencyAvoidFactor + kLatencyAvoidMs;
    // Where traffic is thin each node meets little: the core puts it together before it judges.
    if (p.closed_off || slow || p.seen.bad > 0)
      databases.push_back(Json::array({id.value, p.seen.asked, p.seen.bad,
                                       p.seen.asked > 0 ? p.seen.ms / p.seen.asked : 0, int(p.closed_off)}));
  }
  for (auto& [id, p] : pools_) p.seen = {};
  for (auto& [name, r] : routes_seen_)
    if (r.asked >= kMinRequestsInReport && (r.refused + r.failed + r.late) * 10 >= r.asked)
      routes.push_back(Json::array({name, r.asked, r.refused, r.failed, r.late}));
  routes_seen_.clear();
  if (databases.empty() && routes.empty()) return {};
  return {{"t", "sight"}, {"d", databases}, {"r", routes}};
}

}  // namespace pebblespindle::pooler
