// Routing: which database may run a statement, when to wait, when to refuse; and the pools.
#include <algorithm>

#include "net/constants.h"
#include "pooler/constants.h"
#include "pooler/engine.h"

namespace pebblespindle::pooler {

// --- the control state ---------------------------------------------------------

void Engine::apply_update(std::uint64_t sequence, std::vector<Row> rows, bool is_snapshot) {
  if (is_snapshot) rows = cluster_.diff_to_snapshot(sequence, std::move(rows));
  auto leads_before = std::map<std::string, PrimaryAssignment>();
  for (auto& [name, spec] : cluster_.configuration().services)
    if (auto* lead = cluster_.primary_of(name)) leads_before[name] = *lead;
  std::uint64_t before = cluster_.sequence();
  if (!cluster_.apply(sequence, rows)) return;
  for (auto& r : rows) {
    if (r.key.starts_with("i/")) {
      InstanceId id{r.key.substr(2)};
      const Instance* i = cluster_.instance(id);
      auto p = pools_.find(id);
      if (i && i->draining) {
        if (!pools_[id].drain_since) pools_[id].drain_since = drain_start();
      } else if (!i && p != pools_.end()) {
        std::vector<ConnectionId> idle = p->second.idle;
        for (auto c : idle) discard_connection(c, true);
        reroute_waiting(id);
      }
    } else if (r.key.starts_with("s/")) {
      std::string service = r.key.substr(2);
      const PrimaryAssignment* lead = cluster_.primary_of(service);
      if (!lead) continue;
      if (!lead->suspended) {
        suspended_since_.erase(service);
        auto old = leads_before.find(service);
        if (old != leads_before.end() && old->second.primary != lead->primary)
          unblock_database(lead->primary);
        resume_waiting_for_primary(service);
        continue;
      }
      if (suspended_since_.count(service)) continue;
      if (suspended_since_.empty()) sequence_before_suspension_ = before;
      suspended_since_[service] = now_;
      auto end_open = [this, service, primary = lead->primary, planned = lead->planned] {
        std::vector<ConnectionId> conns;
        for (auto& [cid, c] : connections_)
          if (c.instance == primary) conns.push_back(cid);
        for (auto cid : conns) {
          Connection* c = find_connection(cid);
          if (!c) continue;
          Session* s = find_session(c->session);
          if (planned) {
            // A statement under way ends by itself: once the replicas are held nothing more can be committed.
            if (s && !s->busy && s->state == 'T') discard_transaction(*s);
          } else {
            on_connection_lost(cid, false, false);
          }
        }
        if (!planned) block_database(primary);
        auto it = suspended_since_.find(service);
        if (it != suspended_since_.end()) it->second = -1;  // done with
      };
      if (lead->planned)
        timers_.at(now_ + kHandOverDrainMs, end_open);
      else
        end_open();
    }
  }
  note_state_known();
}

// The earliest moment at which a database that is heard of as draining now can have been acknowledged as
// that: this node last knew the newest state before it. A node that has just started cannot know when it was.
Millis Engine::drain_start() const {
  return state_known_at_ ? std::min(now_, *state_known_at_) : now_ - drain_ms_;
}

// A lease says which state was the newest when it was asked for.
void Engine::note_state_known() {
  if (lease_until_ > 0 && cluster_.sequence() >= lease_sequence_)
    state_known_at_ = std::max(state_known_at_.value_or(0), lease_until_ - kNodeLeaseMs);
}

std::uint64_t Engine::acknowledged_sequence() const {
  for (auto& [service, since] : suspended_since_) {
    if (since < 0) continue;
    const PrimaryAssignment* lead = cluster_.primary_of(service);
    if (!lead) continue;
    for (auto& [id, c] : connections_)
      if (c.instance == lead->primary && c.session != 0) return sequence_before_suspension_;
  }
  return cluster_.sequence();
}

void Engine::extend_lease(Millis until, std::uint64_t sequence, std::size_t node_count) {
  bool had = has_lease();
  lease_until_ = std::max(lease_until_, until);
  lease_sequence_ = sequence;
  node_count_ = std::max<std::size_t>(1, node_count);
  note_state_known();
  rest_closed_without_lease_ = false;
  if (cluster_.has_configuration())
    for (auto id : std::exchange(waiting_for_state_, {})) complete_connect(id);
  if (had || !has_lease()) return;
  std::vector<std::string> services;
  for (auto& [service, q] : waiting_for_primary_) services.push_back(service);
  for (auto& s : services) resume_waiting_for_primary(s);
}

// --- choosing ----------------------------------------------------------------------

bool Engine::usable(const Instance& i) const {
  auto p = pools_.find(i.id);
  if (p == pools_.end()) return true;
  const auto& since = p->second.drain_since;
  if (since && now_ >= *since + drain_ms_ - kDrainMarginMs) return false;
  return !p->second.blocked;
}

Engine::RoutingDecision Engine::choose_primary(const std::string& service) {
  RoutingDecision c;
  c.kind = RoutingDecision::Kind::kAwaitPrimary;
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  if (!lead || lead->suspended || !has_lease()) return c;
  const Instance* i = cluster_.instance(lead->primary);
  if (!i || !usable(*i)) return c;
  c.kind = RoutingDecision::Kind::kSend;
  c.instance = lead->primary;
  c.as_primary = true;
  return c;
}

// The paper's check before an update goes out: the primary must not be behind what the session has seen.
// A primary holds all that replicas of its own term show, so only a newer term can put it behind.
bool Engine::may_send_update(Session& s, const InstanceId& primary) {
  if (s.vector_service != s.route->service) return true;
  auto& v = pools_[primary].vector;
  if (v.empty() || s.vector <= v) return true;
  if (s.vector.newest().term > v.newest().term) return false;
  v.raise(s.vector.newest());
  return true;
}

// Whether a commit of this database may be passed on as kept: not once its suspension is acknowledged from
// here, for from then on another may be promoted without it.
bool Engine::may_confirm_commits(const std::string& service, const InstanceId& id) const {
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  if (!lead || lead->primary != id) return false;
  auto s = suspended_since_.find(service);
  return !lead->suspended || (s != suspended_since_.end() && s->second >= 0);
}

// What this database takes for a statement of the route, of late; 0 when that is not known.
double Engine::recent_latency(const InstanceId& id, const std::string& route) const {
  auto p = pools_.find(id);
  if (p == pools_.end()) return 0;
  auto lead = p->second.latency.find(route);
  return lead == p->second.latency.end() || now_ - lead->second.at > kLatencyTtlMs ? 0 : lead->second.mean;
}

void Engine::check_primary_latency() {
  for (auto& [name, spec] : cluster_.configuration().services) {
    const PrimaryAssignment* lead = cluster_.primary_of(name);
    auto p = lead ? pools_.find(lead->primary) : pools_.end();
    if (p != pools_.end() && p->second.primary_latency.close_window() && !lead->suspended)
      callbacks_.report_slow_primary(lead->primary);
  }
}

Engine::RoutingDecision Engine::choose_database(Session& s) {
  const Route& route = *s.route;
  bool tx = s.state == 'T';
  bool read_only = tx ? s.tx_read_only : s.statement.read;
  if (route.type == RouteType::kPrimary || !read_only) {
    RoutingDecision c = choose_primary(route.service);
    if (c.kind == RoutingDecision::Kind::kSend && !may_send_update(s, c.instance))
      c.kind = RoutingDecision::Kind::kAwaitPrimary;
    return c;
  }
  RoutingDecision primary = choose_primary(route.service);
  auto bound = freshness_[route.service].bound(now_, route.max_staleness_ms);
  if (!bound && !s.statement.position_requested && should_request_position(route.service, primary)) {
    RoutingDecision sound;
    sound.kind = RoutingDecision::Kind::kAwaitPosition;
    return sound;
  }
  if (!bound) return primary;  // its answer is the next observation
  Position required_position = *bound;
  if (route.type == RouteType::kReadYourWrites) {
    if (s.vector_service != route.service) {
      // A session starts with the node's vector: that of the replica at home, else none.
      s.vector = LVector();
      s.vector_service = route.service;
      for (auto* i : cluster_.instances_of(route.service))
        if (i->zone == zone_ && pools_.count(i->id)) s.vector = pools_[i->id].vector;
    }
    required_position = std::max(required_position, s.vector.newest());
  }
  const PrimaryAssignment* lead = cluster_.primary_of(route.service);
  double quickest = 0;
  for (auto* i : cluster_.instances_of(route.service)) {
    double ms = usable(*i) ? recent_latency(i->id, route.name) : 0;
    if (ms > 0 && (quickest == 0 || ms < quickest)) quickest = ms;
  }
  const Instance* best = nullptr;
  long best_cost = 0;
  for (auto* instance : cluster_.instances_of(route.service)) {
    const Instance& i = *instance;
    const InstanceId& id = i.id;
    if (!usable(i)) continue;
    if (std::find(s.statement.tried.begin(), s.statement.tried.end(), id) != s.statement.tried.end())
      continue;
    bool leads = lead && lead->primary == id;
    if (leads && primary.kind != RoutingDecision::Kind::kSend) continue;
    auto& pool = pools_[id];
    bool behind = !leads && now_ < pool.lagging_until && pool.vector.newest() < required_position;
    long cost = (i.zone == zone_ ? 0 : 20) + (leads ? 5 : 0) + (i.draining ? 40 : 0) + (behind ? 60 : 0) +
                long(std::min<std::size_t>(pool.waiting.size(), 20)) * 4;
    double ms = recent_latency(id, route.name);
    if (now_ < pool.avoid_until) cost += 50;  // it fails more than it may: the last one is used all the same
    if (ms > quickest * kLatencyAvoidFactor && ms > quickest + kLatencyAvoidMs) cost += 30;
    if (behind && primary.kind == RoutingDecision::Kind::kSend && !leads) continue;
    if (!best || cost < best_cost) best = &i, best_cost = cost;
  }
  if (!best) return primary;
  RoutingDecision c;
  c.kind = RoutingDecision::Kind::kSend;
  c.instance = best->id;
  c.as_primary = lead && lead->primary == best->id;
  if (!c.as_primary) c.required_position = required_position;
  return c;
}

void Engine::route_statement(SessionId id) {
  Session* s = find_session(id);
  if (!s || !s->statement.active) return;
  if (s->conn) {
    if (Connection* c = find_connection(s->conn)) return dispatch(*s, *c);
    s->conn = 0;
  }
  RoutingDecision c = choose_database(*s);
  if (c.kind == RoutingDecision::Kind::kSend) {
    s->statement.required_position = c.required_position;
    s->statement.as_primary = c.as_primary;
    return acquire_connection(*s, c.instance);
  }
  if (c.kind == RoutingDecision::Kind::kAwaitPrimary) return await_primary(*s, s->route->service);
  if (c.kind == RoutingDecision::Kind::kAwaitPosition) return await_position(*s, s->route->service);
  refuse_statement(*s, c.code, c.text);
}

Millis Engine::wait_limit(const Session& s) const {
  return std::min(s.statement.started_at + std::max<Millis>(s.route->latency_target_ms / 4, 1),
                  s.statement.deadline);
}

void Engine::await_primary(Session& s, const std::string& service) {
  Millis until = wait_limit(s);
  if (now_ >= until) return refuse_statement(s, "THROTTLED", "the primary is being replaced");
  s.statement.awaits_primary_of = service;
  waiting_for_primary_[service].push_back(s.id);
  timers_.cancel(s.statement.wait_timer);
  s.statement.wait_timer = timers_.at(until, [this, id = s.id] {
    if (Session* x = find_session(id)) {
      x->statement.wait_timer = 0;
      refuse_statement(*x, "THROTTLED", "the primary is being replaced");
    }
  });
}

void Engine::resume_waiting_for_primary(const std::string& service) {
  auto q = std::move(waiting_for_primary_[service]);
  waiting_for_primary_.erase(service);
  for (auto id : q) {
    Session* s = find_session(id);
    if (!s) continue;
    s->statement.awaits_primary_of.clear();
    timers_.cancel(s->statement.wait_timer);
  }
  for (auto id : q) route_statement(id);
}

// Refuses a statement that has not run, with a promise and a time to come back.
void Engine::refuse_statement(Session& s, const std::string& code, const std::string& why) {
  clear_statement(s);
  SessionId id = s.id;
  if (s.route) ++route_counts_[s.route->name].refused;
  bool astray = s.route && is_primary_unreachable(s.route->service);
  fail_statement(s, code,
                 "retry-after-ms=" + std::to_string(s.route ? s.route->latency_target_ms : 100) + " " + why);
  Session* x = find_session(id);
  if (!x) return;
  if (astray && x->state == 'I') return close_session(id);  // it comes back to a node that can serve it
  resume_session(*x);
}

// This node alone has no way to the primary: no core gives it a lease, or the primary that others go to
// does not answer here.
bool Engine::is_primary_unreachable(const std::string& service) const {
  if (lease_until_ > 0 && !has_lease() && now_ >= lease_until_) return true;
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  auto p = lead && !lead->suspended ? pools_.find(lead->primary) : pools_.end();
  return p != pools_.end() && p->second.blocked && now_ >= p->second.blocked_since + kPrimaryUnreachableMs;
}

bool Engine::ready() const {
  return cluster_.has_configuration() && !shutting_down_ &&
         (lease_until_ == 0 || now_ < lease_until_ + kReadyAfterLeaseEndMs);
}

// --- pools ----------------------------------------------------------------------------

// How many connections to a database fall to each node; below one, not all nodes can keep one.
double Engine::fair_share(const InstanceId& id) const {
  const Instance* i = cluster_.instance(id);
  if (!i) return 0;
  auto it = cluster_.configuration().services.find(i->service);
  int cap = it == cluster_.configuration().services.end() ? 16 : it->second.max_connections;
  return double(std::max(1, cap - kReservedConnections)) / double(node_count_);
}

// Where connections are scarce a node may open a few, but keeps at most one: what all nodes use at one moment
// is far below the cap.
std::size_t Engine::connection_share(const InstanceId& id) const {
  double fair = fair_share(id);
  if (fair == 0) return 0;
  return fair < kScarceConnectionsPerNode ? kMaxScarceConnections : std::size_t(fair);
}

// How long an unused connection is kept. Most databases are asked by few of the nodes, so that all may keep
// theirs. One that has turned a connection away is asked by more than it has room for: then as many nodes as
// fit, by lot, keep theirs, and the others let go at once.
Millis Engine::idle_timeout(const InstanceId& id, const Pool& p) const {
  double fair = fair_share(id);
  if (fair >= kScarceConnectionsPerNode || now_ >= p.limit_reported_until) return kIdleConnectionTimeoutMs;
  std::uint64_t x = std::hash<std::string>()(id.value) ^ (node_seed_ * 0x9e3779b97f4a7c15ull);
  x = (x ^ (x >> 29)) * 0xbf58476d1ce4e5b9ull;
  double drawn = double((x ^ (x >> 32)) >> 11) / double(1ull << 53);
  return drawn < kKeptConnectionShare * fair ? kIdleConnectionTimeoutMs : 0;
}

void Engine::close_idle_connections() {
  if (!rest_closed_without_lease_ && cluster_.has_configuration() && !shutting_down_ && !ready()) {
    rest_closed_without_lease_ = true;  // once in each time without a lease
    close_resting_sessions();
  }
  for (auto& [id, p] : pools_) {
    if (p.idle.empty()) continue;
    Millis kept = idle_timeout(id, p);
    std::vector<ConnectionId> old;
    for (auto c : p.idle)
      if (Connection* x = find_connection(c); x && now_ - x->idle_since >= kept) old.push_back(c);
    for (auto c : old) discard_connection(c, true);
  }
}

// Towards a database a connection is a tenant's: it serves no other.
const std::string& Engine::connection_owner(const Session& s) {
  static const std::string nobody = "pooler";
  return s.tenant.empty() ? nobody : s.tenant;
}

void Engine::acquire_connection(Session& s, const InstanceId& id) {
  Pool& p = pools_[id];
  if (!p.idle.empty() && p.waiting.empty()) {
    // One that carries the session's values already saves a round trip; the newest is the warmest.
    std::size_t best = p.idle.size();
    for (std::size_t i = p.idle.size(); i-- > 0;) {
      Connection* c = find_connection(p.idle[i]);
      if (!c || c->owner != connection_owner(s)) continue;
      if (best == p.idle.size()) best = i;
      if (!c->values_unknown && c->values == s.values) {
        best = i;
        break;
      }
    }
    if (best < p.idle.size()) {
      ConnectionId cid = p.idle[best];
      p.idle.erase(p.idle.begin() + std::ptrdiff_t(best));
      Connection* c = find_connection(cid);
      c->session = s.id;
      s.conn = cid;
      return dispatch(s, *c);
    }
  }
  s.statement.queued_for = id;
  p.waiting.push_back(s.id);
  open_or_evict(id);
  timers_.cancel(s.statement.wait_timer);
  s.statement.wait_timer =
      timers_.at(std::min(s.statement.started_at + s.route->latency_target_ms / 4, s.statement.deadline),
                 [this, sid = s.id] {
                   Session* x = find_session(sid);
                   if (!x) return;
                   x->statement.wait_timer = 0;
                   std::erase(pools_[x->statement.queued_for].waiting, sid);
                   x->statement.queued_for = {};
                   refuse_statement(*x, "THROTTLED", "no connection to the database is free");
                 });
}

// For those who wait a connection is opened; where there are enough, one that rests for somebody else gives
// way.
void Engine::open_or_evict(const InstanceId& id) {
  Pool& p = pools_[id];
  if (p.opening >= p.waiting.size() || now_ < p.limit_until) return;
  if (p.total < connection_share(id))
    start_connection(id);
  else if (!p.idle.empty() && !p.blocked)
    discard_connection(p.idle.front(), true);  // which opens one
}

void Engine::start_connection(const InstanceId& id) {
  const Instance* i = cluster_.instance(id);
  if (!i) return;
  Pool& p = pools_[id];
  Connection c;
  const Session* first = p.opening < p.waiting.size() ? find_session(p.waiting[p.opening]) : nullptr;
  c.owner = first ? connection_owner(*first) : "pooler";
  c.id = ++last_conn_;
  c.instance = id;
  c.service = i->service;
  c.opened = now_;
  ++p.total;
  ++p.opening;
  c.timer = timers_.at(now_ + kServerConnectMs, [this, cid = c.id] { on_connection_lost(cid, false, true); });
  ConnectionId cid = c.id;
  connections_.emplace(cid, std::move(c));
  callbacks_.open_connection(cid, i->address);
}

void Engine::on_connection_up(ConnectionId id) {
  Connection* c = find_connection(id);
  if (!c) return;
  c->up = true;
  callbacks_.send_to_database(id,
                              "CONNECT " + c->service + " " + c->owner + " " + c->instance.value + "\r\n");
}

void Engine::assign_idle_connections(const InstanceId& id) {
  Pool& p = pools_[id];
  // Those who wait take their turns, each with the newest connection that is theirs.
  for (std::size_t turn = 0; turn < p.waiting.size() && !p.idle.empty();) {
    SessionId sid = p.waiting[turn];
    Session* s = find_session(sid);
    if (!s) {
      p.waiting.erase(p.waiting.begin() + std::ptrdiff_t(turn));
      continue;
    }
    auto mine = std::find_if(p.idle.rbegin(), p.idle.rend(), [&](ConnectionId c) {
      return find_connection(c)->owner == connection_owner(*s);
    });
    if (mine == p.idle.rend()) {
      ++turn;
      continue;
    }
    ConnectionId cid = *mine;
    p.idle.erase(std::next(mine).base());
    p.waiting.erase(p.waiting.begin() + std::ptrdiff_t(turn));
    s->statement.queued_for = {};
    timers_.cancel(s->statement.wait_timer);
    Connection* c = find_connection(cid);
    c->session = sid;
    s->conn = cid;
    dispatch(*s, *c);
  }
  if (!p.waiting.empty() && !p.idle.empty()) open_or_evict(id);
}

void Engine::return_connection(Connection& c) {
  c.session = 0;
  c.stage = Connection::Stage::kIdle;
  c.in_tx = false;
  c.idle_since = now_;
  Pool& p = pools_[c.instance];
  InstanceId id = c.instance;
  bool surplus = p.waiting.empty() && fair_share(id) < kScarceConnectionsPerNode &&
                 (!p.idle.empty() || idle_timeout(id, p) == 0);
  if (!cluster_.instance(id) || p.total > connection_share(id) || surplus)
    return discard_connection(c.id, true);
  p.idle.push_back(c.id);
  assign_idle_connections(id);
}

void Engine::discard_connection(ConnectionId id, bool orderly) {
  Connection* c = find_connection(id);
  if (!c) return;
  Pool& p = pools_[c->instance];
  std::erase(p.idle, id);
  if (p.total > 0) --p.total;
  if (!c->established && p.opening > 0) --p.opening;
  timers_.cancel(c->timer);
  InstanceId instance = c->instance;
  connections_.erase(id);
  callbacks_.close_connection(id, orderly);
  if (p.opening < p.waiting.size() && p.total < connection_share(instance) && now_ >= p.limit_until &&
      !p.blocked)
    start_connection(instance);
}

// The database takes no more connections for now; those who wait get theirs in a moment, if one is free.
void Engine::on_connection_limit(const InstanceId& id) {
  Pool& p = pools_[id];
  if (now_ < p.limit_until) return;
  p.limit_until = now_ + kConnectionLimitPauseMs;
  if (now_ >= p.limit_reported_until) {
    note_connection_limit(id);
    callbacks_.report_connection_limit(id);
  }
  timers_.at(p.limit_until, [this, id] {
    Pool& x = pools_[id];
    if (x.opening < x.waiting.size() && x.total < connection_share(id) && !x.blocked) start_connection(id);
  });
}

// Those who wait for this database look around anew.
void Engine::reroute_waiting(const InstanceId& id) {
  auto q = std::move(pools_[id].waiting);
  pools_[id].waiting.clear();
  for (auto sid : q) {
    Session* s = find_session(sid);
    if (!s) continue;
    s->statement.queued_for = {};
    timers_.cancel(s->statement.wait_timer);
  }
  for (auto sid : q) route_statement(sid);
}

void Engine::on_connection_lost(ConnectionId id, bool refused, bool silent) {
  Connection* c = find_connection(id);
  if (!c) return;
  Pool& p = pools_[c->instance];
  InstanceId instance = c->instance;
  bool established = c->established;
  Session* s = find_session(c->session);
  bool in_flight = s && s->busy && s->conn == id && c->stage != Connection::Stage::kIdle;
  bool sent = in_flight && s->statement.sent;
  if (sent) record_result(instance, false, now_ - s->statement.sent_at);
  if (!established) {
    p.reported_failing = true;
    callbacks_.report_failure(instance, refused && !silent ? EngineCallbacks::FailureKind::kConnectionRefused
                                                           : EngineCallbacks::FailureKind::kNoAnswers);
    extend_block(instance);
  }
  SessionId sid = s ? s->id : 0;
  discard_connection(id, false);
  s = find_session(sid);
  if (s && s->conn == id) {
    s->conn = 0;
    if (in_flight)
      on_statement_lost(*s, sent);
    else if (s->state == 'T')
      s->tx_lost = true;
  }
  if (!established) reroute_waiting(instance);
}

// Sends no session there until a trial connection has come up; trials are spaced further and further.
void Engine::block_database(const InstanceId& id) {
  Pool& p = pools_[id];
  if (p.blocked) return;
  p.blocked = true;
  if (p.probe_delay == 0) p.blocked_since = now_;
  p.probe_delay = p.probe_delay == 0 ? kFirstProbeDelayMs : std::min(p.probe_delay * 2, kMaxProbeIntervalMs);
  std::vector<ConnectionId> idle = p.idle;
  for (auto c : idle) discard_connection(c, false);
  timers_.at(now_ + p.probe_delay, [this, id] { probe_database(id); });
  reroute_waiting(id);
}

// A trial connection has failed, or the first one: the next trial comes after a longer pause.
void Engine::extend_block(const InstanceId& id) {
  pools_[id].blocked = false;
  block_database(id);
}

void Engine::probe_database(const InstanceId& id) {
  Pool& p = pools_[id];
  if (!p.blocked || !cluster_.instance(id)) return;
  start_connection(id);
}

void Engine::unblock_database(const InstanceId& id) {
  Pool& p = pools_[id];
  p.blocked = false;
  p.probe_delay = 0;
  p.timeouts_in_a_row = 0;
  if (const Instance* i = cluster_.instance(id)) resume_waiting_for_primary(i->service);
}

}  // namespace pebblespindle::pooler
