// Routing: which database may run a statement, when the statement waits and when it is refused; and the
// connection pools.
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
  for (auto& row : rows) {
    if (row.key.starts_with("i/")) {
      InstanceId id{row.key.substr(2)};
      const Instance* instance = cluster_.instance(id);
      auto pool = pools_.find(id);
      if (instance && instance->draining) {
        if (!pools_[id].drain_since) pools_[id].drain_since = drain_start();
      } else if (!instance && pool != pools_.end()) {
        std::vector<ConnectionId> idle = pool->second.idle;
        for (auto connection : idle) discard_connection(connection, true);
        reroute_waiting(id);
      }
    } else if (row.key.starts_with("s/")) {
      std::string service = row.key.substr(2);
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
        for (auto& [cid, connection] : connections_)
          if (connection.instance == primary) conns.push_back(cid);
        for (auto cid : conns) {
          Connection* connection = find_connection(cid);
          if (!connection) continue;
          Session* session = find_session(connection->session);
          if (planned) {
            // A running statement needs no action: once the replicas stop acknowledging to the old primary,
            // nothing more can be committed there.
            if (session && !session->busy && session->state == 'T') discard_transaction(*session);
          } else {
            on_connection_lost(cid, false, false);
          }
        }
        if (!planned) block_database(primary);
        auto it = suspended_since_.find(service);
        if (it != suspended_since_.end()) it->second = -1;  // handled
      };
      if (lead->planned)
        timers_.at(now_ + kHandOverDrainMs, end_open);
      else
        end_open();
    }
  }
  note_state_known();
}

// The earliest time at which the draining of a database, of which this node learns now, can have been
// acknowledged: the time at which this node last had the newest state. A node that has just started cannot
// know it, and takes DrainMs as used up.
Millis Engine::drain_start() const {
  return state_known_at_ ? std::min(now_, *state_known_at_) : now_ - drain_ms_;
}

// A lease names the state that was the newest when the lease was requested.
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
  for (auto& service_name : services) resume_waiting_for_primary(service_name);
}

// --- choosing ----------------------------------------------------------------------

bool Engine::usable(const Instance& instance) const {
  auto pool = pools_.find(instance.id);
  if (pool == pools_.end()) return true;
  const auto& since = pool->second.drain_since;
  if (since && now_ >= *since + drain_ms_ - kDrainMarginMs) return false;
  return !pool->second.blocked;
}

Engine::RoutingDecision Engine::choose_primary(const std::string& service) {
  RoutingDecision decision;
  decision.kind = RoutingDecision::Kind::kAwaitPrimary;
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  if (!lead || lead->suspended || !has_lease()) return decision;
  const Instance* instance = cluster_.instance(lead->primary);
  if (!instance || !usable(*instance)) return decision;
  decision.kind = RoutingDecision::Kind::kSend;
  decision.instance = lead->primary;
  decision.as_primary = true;
  return decision;
}

// The check of the L-vector paper before an update is sent: the primary must not be behind what the session
// has seen. A primary contains everything that replicas of its own term have, so only a newer term can put it
// behind.
bool Engine::may_send_update(Session& session, const InstanceId& primary) {
  if (session.vector_service != session.route->service) return true;
  auto& primary_vector = pools_[primary].vector;
  if (primary_vector.empty() || session.vector <= primary_vector) return true;
  if (session.vector.newest().term > primary_vector.newest().term) return false;
  primary_vector.raise(session.vector.newest());
  return true;
}

// Whether a commit at this database may be confirmed to the client. Once this node has acknowledged the
// database's suspension it may not, because another primary may be promoted without that commit.
bool Engine::may_confirm_commits(const std::string& service, const InstanceId& id) const {
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  if (!lead || lead->primary != id) return false;
  auto suspended = suspended_since_.find(service);
  return !lead->suspended || (suspended != suspended_since_.end() && suspended->second >= 0);
}

// The recent mean latency of this database for the route, in ms; 0 when it is not known.
double Engine::recent_latency(const InstanceId& id, const std::string& route) const {
  auto pool = pools_.find(id);
  if (pool == pools_.end()) return 0;
  auto latency = pool->second.latency.find(route);
  return latency == pool->second.latency.end() || now_ - latency->second.at > kLatencyTtlMs
             ? 0
             : latency->second.mean;
}

void Engine::check_primary_latency() {
  for (auto& [name, spec] : cluster_.configuration().services) {
    const PrimaryAssignment* lead = cluster_.primary_of(name);
    auto pool = lead ? pools_.find(lead->primary) : pools_.end();
    if (pool != pools_.end() && pool->second.primary_latency.close_window() && !lead->suspended)
      callbacks_.report_slow_primary(lead->primary);
  }
}

Engine::RoutingDecision Engine::choose_database(Session& session) {
  const Route& route = *session.route;
  bool tx = session.state == 'T';
  bool read_only = tx ? session.tx_read_only : session.statement.read;
  if (route.type == RouteType::kPrimary || !read_only) {
    RoutingDecision decision = choose_primary(route.service);
    if (decision.kind == RoutingDecision::Kind::kSend && !may_send_update(session, decision.instance))
      decision.kind = RoutingDecision::Kind::kAwaitPrimary;
    return decision;
  }
  RoutingDecision primary = choose_primary(route.service);
  auto bound = freshness_[route.service].bound(now_, route.max_staleness_ms);
  if (!bound && !session.statement.position_requested && should_request_position(route.service, primary)) {
    RoutingDecision await_decision;
    await_decision.kind = RoutingDecision::Kind::kAwaitPosition;
    return await_decision;
  }
  if (!bound) return primary;  // whose answer gives the next position
  Position required_position = *bound;
  if (route.type == RouteType::kReadYourWrites) {
    if (session.vector_service != route.service) {
      // A session starts with the vector of the replica in this node's zone, or with an empty one.
      session.vector = LVector();
      session.vector_service = route.service;
      for (auto* candidate : cluster_.instances_of(route.service))
        if (candidate->zone == zone_ && pools_.count(candidate->id))
          session.vector = pools_[candidate->id].vector;
    }
    required_position = std::max(required_position, session.vector.newest());
  }
  const PrimaryAssignment* lead = cluster_.primary_of(route.service);
  double fastest = 0;
  for (auto* candidate : cluster_.instances_of(route.service)) {
    double ms = usable(*candidate) ? recent_latency(candidate->id, route.name) : 0;
    if (ms > 0 && (fastest == 0 || ms < fastest)) fastest = ms;
  }
  const Instance* best = nullptr;
  long best_cost = 0;
  // The candidate with the lowest cost gets the statement.
  for (auto* instance : cluster_.instances_of(route.service)) {
    const Instance& candidate = *instance;
    const InstanceId& id = candidate.id;
    if (!usable(candidate)) continue;
    if (std::find(session.statement.tried.begin(), session.statement.tried.end(), id) !=
        session.statement.tried.end())
      continue;
    bool leads = lead && lead->primary == id;
    if (leads && primary.kind != RoutingDecision::Kind::kSend) continue;
    auto& pool = pools_[id];
    bool behind = !leads && now_ < pool.lagging_until && pool.vector.newest() < required_position;
    long cost = (candidate.zone == zone_ ? 0 : 20) + (leads ? 5 : 0) + (candidate.draining ? 40 : 0) +
                (behind ? 60 : 0) + long(std::min<std::size_t>(pool.waiting.size(), 20)) * 4;
    double ms = recent_latency(id, route.name);
    if (now_ < pool.avoid_until) cost += 50;  // ejected, but used if no other is left
    if (ms > fastest * kLatencyAvoidFactor && ms > fastest + kLatencyAvoidMs) cost += 30;
    if (behind && primary.kind == RoutingDecision::Kind::kSend && !leads) continue;
    if (!best || cost < best_cost) best = &candidate, best_cost = cost;
  }
  if (!best) return primary;
  RoutingDecision decision;
  decision.kind = RoutingDecision::Kind::kSend;
  decision.instance = best->id;
  decision.as_primary = lead && lead->primary == best->id;
  if (!decision.as_primary) decision.required_position = required_position;
  return decision;
}

void Engine::route_statement(SessionId id) {
  Session* session = find_session(id);
  if (!session || !session->statement.active) return;
  if (session->conn) {
    if (Connection* connection = find_connection(session->conn)) return dispatch(*session, *connection);
    session->conn = 0;
  }
  RoutingDecision decision = choose_database(*session);
  if (decision.kind == RoutingDecision::Kind::kSend) {
    session->statement.required_position = decision.required_position;
    session->statement.as_primary = decision.as_primary;
    return acquire_connection(*session, decision.instance);
  }
  if (decision.kind == RoutingDecision::Kind::kAwaitPrimary)
    return await_primary(*session, session->route->service);
  if (decision.kind == RoutingDecision::Kind::kAwaitPosition)
    return await_position(*session, session->route->service);
  refuse_statement(*session, decision.code, decision.text);
}

Millis Engine::wait_limit(const Session& session) const {
  return std::min(session.statement.started_at + std::max<Millis>(session.route->latency_target_ms / 4, 1),
                  session.statement.deadline);
}

void Engine::await_primary(Session& session, const std::string& service) {
  Millis until = wait_limit(session);
  if (now_ >= until) return refuse_statement(session, "THROTTLED", "the primary is being replaced");
  session.statement.awaits_primary_of = service;
  waiting_for_primary_[service].push_back(session.id);
  timers_.cancel(session.statement.wait_timer);
  session.statement.wait_timer = timers_.at(until, [this, id = session.id] {
    if (Session* live_session = find_session(id)) {
      live_session->statement.wait_timer = 0;
      refuse_statement(*live_session, "THROTTLED", "the primary is being replaced");
    }
  });
}

void Engine::resume_waiting_for_primary(const std::string& service) {
  auto queue = std::move(waiting_for_primary_[service]);
  waiting_for_primary_.erase(service);
  for (auto id : queue) {
    Session* session = find_session(id);
    if (!session) continue;
    session->statement.awaits_primary_of.clear();
    timers_.cancel(session->statement.wait_timer);
  }
  for (auto id : queue) route_statement(id);
}

// Refuses a statement that has not run. The error promises that nothing of it is kept, and names a time to
// retry.
void Engine::refuse_statement(Session& session, const std::string& code, const std::string& why) {
  clear_statement(session);
  SessionId id = session.id;
  if (session.route) ++route_counts_[session.route->name].refused;
  bool astray = session.route && is_primary_unreachable(session.route->service);
  fail_statement(
      session, code,
      "retry-after-ms=" + std::to_string(session.route ? session.route->latency_target_ms : 100) + " " + why);
  Session* live_session = find_session(id);
  if (!live_session) return;
  if (astray && live_session->state == 'I')
    return close_session(id);  // the client connects again, to a node that can serve it
  resume_session(*live_session);
}

// Whether only this node lacks access to the primary: its lease has ended, or the current primary has long
// been unreachable from here.
bool Engine::is_primary_unreachable(const std::string& service) const {
  if (lease_until_ > 0 && !has_lease() && now_ >= lease_until_) return true;
  const PrimaryAssignment* lead = cluster_.primary_of(service);
  auto pool = lead && !lead->suspended ? pools_.find(lead->primary) : pools_.end();
  return pool != pools_.end() && pool->second.blocked &&
         now_ >= pool->second.blocked_since + kPrimaryUnreachableMs;
}

bool Engine::ready() const {
  return cluster_.has_configuration() && !shutting_down_ &&
         (lease_until_ == 0 || now_ < lease_until_ + kReadyAfterLeaseEndMs);
}

// --- pools ----------------------------------------------------------------------------

// The number of connections to a database that each node gets; if it is below 1, not every node can keep one.
double Engine::fair_share(const InstanceId& id) const {
  const Instance* instance = cluster_.instance(id);
  if (!instance) return 0;
  auto it = cluster_.configuration().services.find(instance->service);
  int cap = it == cluster_.configuration().services.end() ? 16 : it->second.max_connections;
  return double(std::max(1, cap - kReservedConnections)) / double(node_count_);
}

// The most connections this node opens to a database. Where they are scarce a node may open a few but keeps
// at most one while idle: all nodes together use far fewer at any one time than the limit.
std::size_t Engine::connection_share(const InstanceId& id) const {
  double fair = fair_share(id);
  if (fair == 0) return 0;
  return fair < kScarceConnectionsPerNode ? kMaxScarceConnections : std::size_t(fair);
}

// How long an idle connection is kept, in ms. Most databases are used by few of the nodes, so that all of
// them may keep theirs. A database that has refused a connection is used by more nodes than it has
// connections for: then a random subset of nodes that fits keeps its idle connections, and the others close
// them at once.
Millis Engine::idle_timeout(const InstanceId& id, const Pool& pool) const {
  double fair = fair_share(id);
  if (fair >= kScarceConnectionsPerNode || now_ >= pool.limit_reported_until) return kIdleConnectionTimeoutMs;
  std::uint64_t x = std::hash<std::string>()(id.value) ^ (node_seed_ * 0x9e3779b97f4a7c15ull);
  x = (x ^ (x >> 29)) * 0xbf58476d1ce4e5b9ull;
  double drawn = double((x ^ (x >> 32)) >> 11) / double(1ull << 53);
  return drawn < kKeptConnectionShare * fair ? kIdleConnectionTimeoutMs : 0;
}

void Engine::close_idle_connections() {
  if (!rest_closed_without_lease_ && cluster_.has_configuration() && !shutting_down_ && !ready()) {
    rest_closed_without_lease_ = true;  // once per loss of the lease
    close_resting_sessions();
  }
  for (auto& [id, pool] : pools_) {
    if (pool.idle.empty()) continue;
    Millis kept = idle_timeout(id, pool);
    std::vector<ConnectionId> old;
    for (auto connection_id : pool.idle)
      if (Connection* connection = find_connection(connection_id);
          connection && now_ - connection->idle_since >= kept)
        old.push_back(connection_id);
    for (auto connection_id : old) discard_connection(connection_id, true);
  }
}

// The user name under which a connection is opened at a database. A tenant's connection serves no other
// tenant.
const std::string& Engine::connection_owner(const Session& session) {
  static const std::string nobody = "pooler";
  return session.tenant.empty() ? nobody : session.tenant;
}

void Engine::acquire_connection(Session& session, const InstanceId& id) {
  Pool& pool = pools_[id];
  if (!pool.idle.empty() && pool.waiting.empty()) {
    // Prefers a connection that already has the session's values, which saves a round trip, otherwise the one
    // used last.
    std::size_t best = pool.idle.size();
    for (std::size_t i = pool.idle.size(); i-- > 0;) {
      Connection* connection = find_connection(pool.idle[i]);
      if (!connection || connection->owner != connection_owner(session)) continue;
      if (best == pool.idle.size()) best = i;
      if (!connection->values_unknown && connection->values == session.values) {
        best = i;
        break;
      }
    }
    if (best < pool.idle.size()) {
      ConnectionId cid = pool.idle[best];
      pool.idle.erase(pool.idle.begin() + std::ptrdiff_t(best));
      Connection* connection = find_connection(cid);
      connection->session = session.id;
      session.conn = cid;
      return dispatch(session, *connection);
    }
  }
  session.statement.queued_for = id;
  pool.waiting.push_back(session.id);
  open_or_evict(id);
  timers_.cancel(session.statement.wait_timer);
  session.statement.wait_timer =
      timers_.at(std::min(session.statement.started_at + session.route->latency_target_ms / 4,
                          session.statement.deadline),
                 [this, sid = session.id] {
                   Session* live_session = find_session(sid);
                   if (!live_session) return;
                   live_session->statement.wait_timer = 0;
                   std::erase(pools_[live_session->statement.queued_for].waiting, sid);
                   live_session->statement.queued_for = {};
                   refuse_statement(*live_session, "THROTTLED", "no connection to the database is free");
                 });
}

// Opens a connection for the waiting sessions; at the limit, closes an idle connection of another tenant to
// make room.
void Engine::open_or_evict(const InstanceId& id) {
  Pool& pool = pools_[id];
  if (pool.opening >= pool.waiting.size() || now_ < pool.limit_until) return;
  if (pool.total < connection_share(id))
    start_connection(id);
  else if (!pool.idle.empty() && !pool.blocked)
    discard_connection(pool.idle.front(), true);  // which opens a new one
}

void Engine::start_connection(const InstanceId& id) {
  const Instance* instance = cluster_.instance(id);
  if (!instance) return;
  Pool& pool = pools_[id];
  Connection connection;
  const Session* first =
      pool.opening < pool.waiting.size() ? find_session(pool.waiting[pool.opening]) : nullptr;
  connection.owner = first ? connection_owner(*first) : "pooler";
  connection.id = ++last_conn_;
  connection.instance = id;
  connection.service = instance->service;
  connection.opened = now_;
  ++pool.total;
  ++pool.opening;
  connection.timer = timers_.at(now_ + kServerConnectMs,
                                [this, cid = connection.id] { on_connection_lost(cid, false, true); });
  ConnectionId cid = connection.id;
  connections_.emplace(cid, std::move(connection));
  callbacks_.open_connection(cid, instance->address);
}

void Engine::on_connection_up(ConnectionId id) {
  Connection* connection = find_connection(id);
  if (!connection) return;
  connection->up = true;
  callbacks_.send_to_database(id, "CONNECT " + connection->service + " " + connection->owner + " " +
                                      connection->instance.value + "\r\n");
}

void Engine::assign_idle_connections(const InstanceId& id) {
  Pool& pool = pools_[id];
  // Waiting sessions are served in order, each with the most recently used connection of its owner.
  for (std::size_t turn = 0; turn < pool.waiting.size() && !pool.idle.empty();) {
    SessionId sid = pool.waiting[turn];
    Session* session = find_session(sid);
    if (!session) {
      pool.waiting.erase(pool.waiting.begin() + std::ptrdiff_t(turn));
      continue;
    }
    auto mine = std::find_if(pool.idle.rbegin(), pool.idle.rend(), [&](ConnectionId connection) {
      return find_connection(connection)->owner == connection_owner(*session);
    });
    if (mine == pool.idle.rend()) {
      ++turn;
      continue;
    }
    ConnectionId cid = *mine;
    pool.idle.erase(std::next(mine).base());
    pool.waiting.erase(pool.waiting.begin() + std::ptrdiff_t(turn));
    session->statement.queued_for = {};
    timers_.cancel(session->statement.wait_timer);
    Connection* connection = find_connection(cid);
    connection->session = sid;
    session->conn = cid;
    dispatch(*session, *connection);
  }
  if (!pool.waiting.empty() && !pool.idle.empty()) open_or_evict(id);
}

void Engine::return_connection(Connection& connection) {
  connection.session = 0;
  connection.stage = Connection::Stage::kIdle;
  connection.in_tx = false;
  connection.idle_since = now_;
  Pool& pool = pools_[connection.instance];
  InstanceId id = connection.instance;
  bool surplus = pool.waiting.empty() && fair_share(id) < kScarceConnectionsPerNode &&
                 (!pool.idle.empty() || idle_timeout(id, pool) == 0);
  if (!cluster_.instance(id) || pool.total > connection_share(id) || surplus)
    return discard_connection(connection.id, true);
  pool.idle.push_back(connection.id);
  assign_idle_connections(id);
}

void Engine::discard_connection(ConnectionId id, bool orderly) {
  Connection* connection = find_connection(id);
  if (!connection) return;
  Pool& pool = pools_[connection->instance];
  std::erase(pool.idle, id);
  if (pool.total > 0) --pool.total;
  if (!connection->established && pool.opening > 0) --pool.opening;
  timers_.cancel(connection->timer);
  InstanceId instance = connection->instance;
  connections_.erase(id);
  callbacks_.close_connection(id, orderly);
  if (pool.opening < pool.waiting.size() && pool.total < connection_share(instance) &&
      now_ >= pool.limit_until && !pool.blocked)
    start_connection(instance);
}

// The database has refused a connection with CONNLIMIT: no more are opened for a moment, after which the
// waiting sessions get another try.
void Engine::on_connection_limit(const InstanceId& id) {
  Pool& pool = pools_[id];
  if (now_ < pool.limit_until) return;
  pool.limit_until = now_ + kConnectionLimitPauseMs;
  if (now_ >= pool.limit_reported_until) {
    note_connection_limit(id);
    callbacks_.report_connection_limit(id);
  }
  timers_.at(pool.limit_until, [this, id] {
    Pool& current = pools_[id];
    if (current.opening < current.waiting.size() && current.total < connection_share(id) && !current.blocked)
      start_connection(id);
  });
}

// Routes the sessions that wait for this database again.
void Engine::reroute_waiting(const InstanceId& id) {
  auto queue = std::move(pools_[id].waiting);
  pools_[id].waiting.clear();
  for (auto sid : queue) {
    Session* session = find_session(sid);
    if (!session) continue;
    session->statement.queued_for = {};
    timers_.cancel(session->statement.wait_timer);
  }
  for (auto sid : queue) route_statement(sid);
}

void Engine::on_connection_lost(ConnectionId id, bool refused, bool silent) {
  Connection* connection = find_connection(id);
  if (!connection) return;
  Pool& pool = pools_[connection->instance];
  InstanceId instance = connection->instance;
  bool established = connection->established;
  Session* session = find_session(connection->session);
  bool in_flight =
      session && session->busy && session->conn == id && connection->stage != Connection::Stage::kIdle;
  bool sent = in_flight && session->statement.sent;
  if (sent) record_result(instance, false, now_ - session->statement.sent_at);
  if (!established) {
    pool.reported_failing = true;
    callbacks_.report_failure(instance, refused && !silent ? EngineCallbacks::FailureKind::kConnectionRefused
                                                           : EngineCallbacks::FailureKind::kNoAnswers);
    extend_block(instance);
  }
  SessionId sid = session ? session->id : 0;
  discard_connection(id, false);
  session = find_session(sid);
  if (session && session->conn == id) {
    session->conn = 0;
    if (in_flight)
      on_statement_lost(*session, sent);
    else if (session->state == 'T')
      session->tx_lost = true;
  }
  if (!established) reroute_waiting(instance);
}

// Sends no sessions to the database until a probe connection has come up; the probe interval doubles each
// time.
void Engine::block_database(const InstanceId& id) {
  Pool& pool = pools_[id];
  if (pool.blocked) return;
  pool.blocked = true;
  if (pool.probe_delay == 0) pool.blocked_since = now_;
  pool.probe_delay =
      pool.probe_delay == 0 ? kFirstProbeDelayMs : std::min(pool.probe_delay * 2, kMaxProbeIntervalMs);
  std::vector<ConnectionId> idle = pool.idle;
  for (auto c : idle) discard_connection(c, false);
  timers_.at(now_ + pool.probe_delay, [this, id] { probe_database(id); });
  reroute_waiting(id);
}

// Called when a probe or any new connection has failed: blocks the database until the next probe, which comes
// after a longer interval.
void Engine::extend_block(const InstanceId& id) {
  pools_[id].blocked = false;
  block_database(id);
}

void Engine::probe_database(const InstanceId& id) {
  Pool& pool = pools_[id];
  if (!pool.blocked || !cluster_.instance(id)) return;
  start_connection(id);
}

void Engine::unblock_database(const InstanceId& id) {
  Pool& pool = pools_[id];
  pool.blocked = false;
  pool.probe_delay = 0;
  pool.timeouts_in_a_row = 0;
  if (const Instance* instance = cluster_.instance(id)) resume_waiting_for_primary(instance->service);
}

}  // namespace pebblespindle::pooler
