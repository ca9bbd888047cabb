#include "sidecar/outbound.h"

#include <charconv>
#include <cmath>

#include "membership/constants.h"
#include "sidecar/constants.h"
#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

namespace {

// The whole number at the start of a field; fractions of a millisecond do not count.
std::optional<Millis> millis_of(const std::string* field) {
  if (!field) return std::nullopt;
  Millis v = 0;
  auto r = std::from_chars(field->data(), field->data() + field->size(), v);
  if (r.ec != std::errc() || v < 0) return std::nullopt;
  return v;
}

}  // namespace

Outbound::Outbound(OutboundPort& port, TimerQueue& timers, const ClusterState& cluster, Options options)
    : port_(port),
      timers_(timers),
      cluster_(cluster),
      options_(std::move(options)),
      budget_(options_.retry_ratio, options_.retry_window_ms),
      rng_(options_.seed) {}

Outbound::Work* Outbound::find(CallId id) {
  auto it = works_.find(id);
  return it == works_.end() ? nullptr : &it->second;
}

std::string Outbound::draw(const Route& r) {
  if (r.weighted_targets.empty()) return r.service;
  int sum = 0;
  for (auto& [service, weight] : r.weighted_targets) sum += weight;
  int n = int(rng_() % std::uint32_t(std::max(1, sum)));
  for (auto& [service, weight] : r.weighted_targets)
    if ((n -= weight) < 0) return service;
  return r.weighted_targets.front().service;
}

void Outbound::start_call(CallId id, Call c) {
  if (!accepting_) return port_.answer(id, local_reply(503, kRetryAfterMs));
  if (!cluster_.has_configuration()) return port_.answer(id, local_reply(503, kNodeRenewalMs));
  const std::string* host = find_field(c.fields, "Host");
  if (!host || c.target.empty() || c.target.front() != '/') return port_.answer(id, local_reply(400));
  auto path = std::string_view(c.target).substr(0, c.target.find('?'));
  auto route = cluster_.route(host->substr(0, host->find(':')), path);
  // A node without news cannot tell a route that is missing from one it has not heard of.
  if (!route) return port_.answer(id, state_current_ ? local_reply(404) : local_reply(503, kNodeRenewalMs));
  Work& w = works_[id];
  w.route = route;
  w.service = draw(*route);
  w.safe = route->type == RouteType::kIdempotent;
  w.began = now_;
  Millis left = route->timeout_ms;
  if (auto told = millis_of(find_field(c.fields, kDeadlineField))) left = std::min(left, *told);
  w.deadline = now_ + std::max<Millis>(1, left - kReturnPathMs);
  w.call = std::move(c);
  w.timer = timers_.at(w.deadline, [this, id] {
    Work* x = find(id);
    if (!x) return;
    x->timer = 0;
    withdraw(*x);
    finish(id, x->may_run > 0 ? local_reply(504) : local_reply(503, kRetryAfterMs));
  });
  if (w.safe) {
    auto u = usual_.find(route->name);
    double most = double(route->latency_target_ms) * kHedgeTargetShare;
    double patience = u == usual_.end() ? most : u->second.mean + kHedgeDeviations * u->second.deviation;
    w.hedge = timers_.at(now_ + std::max<Millis>(kMinHedgeDelayMs, Millis(patience)), [this, id] {
      if (Work* x = find(id)) {
        x->hedge = 0;
        on_hedge(id);
      }
    });
  }
  next(id, false);
}

void Outbound::client_gone(CallId id) {
  Work* w = find(id);
  if (w) finish(id, {});
}

// --- choice -----------------------------------------------------------------

double Outbound::load(const Instance& i, const Peer& p) const {
  double cap = std::max(1, i.capacity);
  double fresh = std::exp2(-double(now_ - p.told_at) / kLoadHalfLifeMs);
  double running = p.told * fresh + kAssumedUtilization * cap * (1 - fresh) + p.since * fresh;
  running = std::max(running, double(p.flying));
  double cost = (running + 1) / cap + p.ill * kFailureCost;
  if (i.zone != options_.zone) cost += kOtherZoneCost;
  return cost;
}

// Has a link made where none is up. Nobody waits for that as long as others are up: a machine that has gone
// would look idle, and be sent everything. Nor where it has failed before: until a link is up, such a machine
// counts as gone.
bool Outbound::has_link(const Endpoint& at, Link link) {
  if (port_.is_linked(at)) {
    unreachable_.erase(at);
    return link == Link::kUp;
  }
  const auto failed = unreachable_.find(at);
  if (failed != unreachable_.end() && now_ < failed->second.until) return false;
  port_.connect(at);
  return link == Link::kFirstAttempt && failed == unreachable_.end();
}

// As it last told, and as long as that holds.
bool Outbound::may_have_room(const Work& w, const InstanceId& id, Room room) {
  const Peer& peer = peers_[id];
  const auto refused = peer.no_room_until.find(w.route->name);
  if (refused != peer.no_room_until.end() && now_ < refused->second) return false;
  return room == Room::kWaiting || (now_ >= peer.full_until && w.full.count(id) == 0);
}

const Instance* Outbound::choose(const Work& w, Room room, Link link) {
  std::vector<const Instance*> home, away;
  for (auto* i : cluster_.instances_of(w.service)) {
    if (i->draining || w.tried.count(i->id) || !may_have_room(w, i->id, room)) continue;
    if (now_ < peers_[i->id].away.until || shutting_down_peers_.count(i->address)) continue;
    if (!has_link(i->address, link)) continue;
    (i->zone == options_.zone ? home : away).push_back(i);
  }
  return choose_among(home, away);
}

// The least loaded of a few at home and a few elsewhere: few, so that not all nodes choose the same.
const Instance* Outbound::choose_among(std::vector<const Instance*>& home,
                                       std::vector<const Instance*>& away) {
  const Instance* best = nullptr;
  double best_load = 0;
  for (auto* list : {&home, &away}) {
    for (std::size_t n = 0; n < std::min(list->size(), kCandidatesPerZone); ++n) {
      std::swap((*list)[n], (*list)[n + rng_() % (list->size() - n)]);
      double l = load(*(*list)[n], peers_[(*list)[n]->id]);
      if (!best || l < best_load) best = (*list)[n], best_load = l;
    }
  }
  return best;
}

Millis Outbound::wait_until(const Work& w) const {
  return std::min(w.deadline, w.began + Millis(double(w.route->latency_target_ms) * kMaxQueueShare));
}

void Outbound::next(CallId id, bool wait) {
  Work* w = find(id);
  if (!w) return;
  wait = wait || int(w->full.size()) >= kMaxFullRefusals || is_crowded(*w);
  const Instance* i = choose(*w, Room::kFree, Link::kUp);
  if (!i) {  // all are full, or gone
    wait = true;
    i = choose(*w, Room::kWaiting, Link::kUp);
  }
  if (!i) i = choose(*w, Room::kWaiting, Link::kFirstAttempt);
  if (wait && now_ >= wait_until(*w)) i = nullptr;  // it has waited as long as it may
  if (!may_ask_another(*w)) i = nullptr;
  if (!i) {
    if (w->open.empty()) refuse(id);
    return;
  }
  send(id, *i, wait);
}

void Outbound::send(CallId id, const Instance& i, bool wait) {
  Work& w = *find(id);
  Peer& p = peers_[i.id];
  ++p.since;
  ++p.flying;
  ++w.reached;
  ++w.may_run;
  std::uint64_t n = ++last_attempt_;
  attempts_[n] = {id, i.id, i.address, now_};
  w.open.insert(n);
  w.tried.insert(i.id);
  Json m{{"t", "q"},
         {"n", n},
         {"i", i.id.value},
         {"m", w.call.method},
         {"u", w.call.target},
         {"h", fields_to_json(w.call.fields)},
         {"b", w.call.body},
         {"d", w.deadline - now_},
         {"w", wait ? wait_until(w) - now_ : 0},
         {"a", w.began + w.route->latency_target_ms - now_},
         {"p", w.route->priority},
         {"s", w.safe},
         {"c", options_.caller}};
  port_.offer(i.address, m);
}

// --- outcomes -----------------------------------------------------------------

void Outbound::told(const InstanceId& id, const Json& l) {
  if (!l.is_array() || l.size() != 4) return;
  for (auto& v : l)
    if (!v.is_number_unsigned() && !v.is_number_integer()) return;
  Peer& p = peers_[id];
  p.queued = l[1].get<double>();
  p.told = l[0].get<double>() + p.queued;
  p.ill = l[3].get<double>() / 100.0;
  p.told_at = now_;
  p.since = 0;
  p.away.pause = 0;
}

// With others waiting there it stays full for longer.
void Outbound::note_full(Peer& peer) {
  const double ttl_ms = double(kFullReportTtlMs) * (1 + peer.queued);
  peer.full_until = now_ + Millis(std::clamp(ttl_ms, double(kFullReportTtlMs), double(kMaxFullReportTtlMs)));
}

void Outbound::note_no_room(const Work& w, const InstanceId& id) {
  const auto has_passed = [this](auto& until) { return until.second <= now_; };
  const Millis until = now_ + kNoRoomTtlMs;
  for (auto* by_route : {&peers_[id].no_room_until, &crowded_until_}) {
    std::erase_if(*by_route, has_passed);  // routes come and go
    (*by_route)[w.route->name] = until;
  }
}

// Requests of its route were refused for want of room a moment ago: to ask one after the other for a free
// slot would only fill the links.
bool Outbound::is_crowded(const Work& w) const {
  const auto crowded = crowded_until_.find(w.route->name);
  return crowded != crowded_until_.end() && now_ < crowded->second;
}

void Outbound::over(std::uint64_t attempt, Attempt& a) {
  if (Work* w = find(a.call)) w->open.erase(attempt);
  auto& p = peers_[a.instance];
  if (p.flying > 0) --p.flying;
}

void Outbound::handle_frame(const Endpoint& from, const Json& m) {
  auto it = attempts_.find(unsigned_field(m, "n"));
  // A number alone could be of another life, or another's at an address that has changed hands.
  if (it == attempts_.end() || !(it->second.at == from)) return;
  const std::string t = text_field(m, "t");
  if (t != "no" && t != "fail" && t != "a") return;
  Attempt a = it->second;
  const std::uint64_t n = it->first;
  if (m.contains("l")) told(a.instance, m["l"]);
  Work* w = find(a.call);
  over(n, a);
  attempts_.erase(it);
  if (!w) return;
  CallId id = a.call;
  if (t == "no") {  // it never came near the database
    --w->reached;
    --w->may_run;
    const std::string why = text_field(m, "y");
    if (why == "full") {
      note_full(peers_[a.instance]);
      if (bool_field(m, "w")) {  // it has waited as long as it may, or would have to
        note_no_room(*w, a.instance);
        if (w->open.empty()) refuse(id);
        return;
      }
      w->full.insert(a.instance);
      w->tried.erase(a.instance);
    } else {
      leave_alone(a.instance);
    }
    if (!w->open.empty()) return;
    return next(id, false);
  }
  if (!std::exchange(w->counted, true)) budget_.count_first_attempt(now_);
  if (t == "fail") return failed(id);
  Reply r{int(clamped_field(m, "s", 0, 0, 999)), text_field(m, "b"), fields_from_json(m.value("h", Json()))};
  if (bool_field(m, "x")) --w->may_run;  // the database's own promise that it has not run
  // To a client these are promises, which this database has not given; below 200 or above 599 is no answer.
  const bool promise = r.status == 408 || r.status == 421 || r.status == 429 || r.status == 503;
  if (bool_field(m, "x") || promise || r.status < 200 || r.status > 599) return failed(id);
  if (r.status >= 500 && r.status != 504 && w->safe) {
    if (may_ask_another(*w) && spend(*w)) return next(id, false);
    if (!w->open.empty()) return;
  }
  if (r.status < 400) {
    auto& u = usual_[w->route->name];
    double took = double(now_ - w->began);
    u.mean = u.mean == 0 ? took : u.mean + (took - u.mean) * kResponseTimeWeight;
    u.deviation =
        u.deviation == 0 ? took : u.deviation + (std::abs(took - u.mean) - u.deviation) * kResponseTimeWeight;
  }
  finish(id, std::move(r));
}

// The one rule for a second database: only what may run twice, or has not run at the first.
bool Outbound::may_ask_another(const Work& w) const {
  return (w.safe || w.may_run == 0) && w.reached < w.route->max_attempts && now_ < w.deadline;
}

// One database has failed it.
void Outbound::failed(CallId id) {
  Work* w = find(id);
  if (!w || !w->open.empty()) return;  // another one still works on it
  if (may_ask_another(*w) && (w->reached == 0 || spend(*w))) return next(id, false);
  refuse(id);
}

// One more database, out of the budget.
bool Outbound::spend(Work& w) {
  if (!std::exchange(w.counted, true)) budget_.count_first_attempt(now_);
  return budget_.try_spend(now_);
}

void Outbound::Backoff::extend(Millis now) {
  pause = std::clamp(pause * 2, kFirstPeerBackoffMs, kMaxPeerBackoffMs);
  until = now + pause;
}

void Outbound::leave_alone(const InstanceId& id) {
  peers_[id].away.extend(now_);
}

void Outbound::refuse(CallId id) {
  Work* w = find(id);
  if (w->may_run > 0) return finish(id, local_reply(502));
  finish(id, local_reply(503, kRetryAfterMs));
}

// An answer is missed: a second database is asked, and the first to answer counts.
void Outbound::on_hedge(CallId id) {
  Work* w = find(id);
  if (!w || w->hedged || w->reached == 0 || !may_ask_another(*w)) return;
  if (!spend(*w)) return;
  w->hedged = true;
  next(id, false);
}

// Takes back what has no outcome. What had not left has not run, and will not.
void Outbound::withdraw(Work& w) {
  for (auto n : std::exchange(w.open, {})) {
    auto it = attempts_.find(n);
    if (it == attempts_.end()) continue;
    if (port_.withdraw(it->second.at, n)) --w.reached, --w.may_run;
    auto& p = peers_[it->second.instance];
    if (p.flying > 0) --p.flying;
    attempts_.erase(it);
  }
}

void Outbound::finish(CallId id, Reply r) {
  Work* w = find(id);
  timers_.cancel(w->timer);
  timers_.cancel(w->hedge);
  withdraw(*w);
  works_.erase(id);
  if (r.status != 0) port_.answer(id, std::move(r));
}

void Outbound::fail_pending() {
  accepting_ = false;
  std::vector<CallId> open;
  for (auto& [id, work] : works_) open.push_back(id);
  for (auto id : open) {
    withdraw(works_[id]);
    refuse(id);
  }
}

void Outbound::link_down(const Endpoint& at, bool sent) {
  shutting_down_peers_.erase(at);
  unreachable_[at].extend(now_);
  std::vector<std::uint64_t> lost;
  for (auto& [n, a] : attempts_)
    if (a.at == at) lost.push_back(n);
  for (auto n : lost) {
    auto it = attempts_.find(n);
    if (it == attempts_.end()) continue;
    Attempt a = it->second;
    over(n, a);
    attempts_.erase(it);
    Work* w = find(a.call);
    if (!w) continue;
    if (!sent) --w->reached, --w->may_run;
    failed(a.call);
  }
}

}  // namespace pebblespindle::sidecar
