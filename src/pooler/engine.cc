// The client side of the engine: sessions, transactions and the answers that clients get.
#include "pooler/engine.h"

#include <algorithm>

#include "membership/constants.h"
#include "net/constants.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {
using sql_protocol::Verb;

Engine::Session* Engine::find_session(SessionId id) {
  auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : &it->second;
}

Engine::Connection* Engine::find_connection(ConnectionId id) {
  auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

void Engine::on_client_connected(SessionId id) {
  sessions_[id].id = id;
}

void Engine::on_client_line(SessionId id, std::string_view line) {
  Session* session = find_session(id);
  if (!session || session->closing) return;
  if (!session->connect_received) {
    auto rest = line;
    if (sql_protocol::take(rest) != "CONNECT") {
      callbacks_.send_to_client(id, sql_protocol::error("MALFORMED", "CONNECT comes first"));
      return close_session(id);
    }
    session->host = std::string(sql_protocol::take(rest));
    session->key = std::string(rest);
    if (sessions_.size() > std::size_t(kMaxSessions)) {
      callbacks_.send_to_client(id, sql_protocol::error("CONNLIMIT", "too many sessions here"));
      return close_session(id);
    }
    if (cluster_.has_configuration() && lease_until_ > 0) return complete_connect(id);
    // This node has just started and has no configuration yet, or no lease with which to use a primary.
    waiting_for_state_.push_back(id);
    session->connect_received = session->busy = true;
    session->rest_timer = timers_.at(now_ + kInitialFeedWaitMs, [this, id] {
      Session* live_session = find_session(id);
      if (!live_session) return;
      live_session->rest_timer = 0;
      if (cluster_.has_configuration()) return complete_connect(id);
      callbacks_.send_to_client(
          id, sql_protocol::error("THROTTLED", "retry-after-ms=" + std::to_string(kInitialFeedWaitMs) +
                                                   " this node has just started"));
      close_session(id);
    });
    return;
  }
  session->lines.push_back({std::string(line), !accepting_statements_});
  session->queued_bytes += line.size();
  process_lines(id);
}

void Engine::on_client_read_end(SessionId id) {
  close_if_done(id);
}

void Engine::complete_connect(SessionId id) {
  Session* session = find_session(id);
  if (!session) return;
  timers_.cancel(session->rest_timer);
  std::erase(waiting_for_state_, id);  // a second IDLE would be an answer without a request
  if (!cluster_.route(session->host)) {
    auto [code, text] = no_route_error(session->host);
    callbacks_.send_to_client(id, sql_protocol::error(code, text));
    return close_session(id);
  }
  session->route = cluster_.route(session->host);
  bool known = authorize(*session);
  session->route = nullptr;
  if (!known) {
    callbacks_.send_to_client(
        id, has_lease()
                ? sql_protocol::error("DENIED", "the key is not known")
                : sql_protocol::error("THROTTLED", "retry-after-ms=" + std::to_string(kNodeRenewalMs) +
                                                       " this node has no news"));
    return close_session(id);
  }
  session->connect_received = true;
  session->busy = false;
  callbacks_.send_to_client(id, sql_protocol::idle('I', "-"));
  resume_session(*session);
}

// Sets the session's tenant by its key, in the current configuration. Returns false if the route requires a
// key and no tenant has this one.
bool Engine::authorize(Session& session) {
  session.tenant.clear();
  session.charged = false;
  if (cluster_.configuration().tenants.empty() || session.route->is_public) return true;
  const Tenant* tenant = cluster_.tenant_with_key(session.key);
  if (tenant) session.tenant = tenant->name;
  return tenant != nullptr;
}

// The error for a host without a route. Without a valid lease the configuration here may be old, so that the
// route may exist: the client is then only told that nothing was done and to retry.
std::pair<std::string, std::string> Engine::no_route_error(const std::string& host) const {
  if (has_lease()) return {"NODATABASE", host};
  return {"THROTTLED", "retry-after-ms=" + std::to_string(kNodeRenewalMs) + " this node has no news"};
}

// Refuses a message that exceeds the limit and ends the session. Behind a statement that is still at work
// there is no answer: it would be taken for that statement's.
void Engine::on_client_line_too_long(SessionId id) {
  Session* session = find_session(id);
  if (!session) return;
  const char* const why = "a message holds at most 1 MiB";
  if (!session->connect_received)
    callbacks_.send_to_client(id, sql_protocol::error("MALFORMED", why));
  else if (!session->busy && session->lines.empty())
    fail_statement(*session, "MALFORMED", why);
  close_session(id);
}

void Engine::on_client_failed(SessionId id) {
  Session* session = find_session(id);
  if (!session) return;
  const char* const why = "internal error";
  if (session->statement.active)
    abort_statement(*session, why);
  else if (session->connect_received)
    fail_statement(*session, "UNKNOWN", why);
  close_session(id);
}

bool Engine::has_backlog(SessionId id) const {
  auto it = sessions_.find(id);
  return it != sessions_.end() &&
         (it->second.lines.size() > kBacklogLines || it->second.queued_bytes > kBackpressureBytes);
}

void Engine::on_client_closed(SessionId id) {
  Session* session = find_session(id);
  if (session) close_session(id);
}

// Ends a session, from this side or because its client has gone. A statement that is running for it ends at
// the database before the connection is reused.
void Engine::close_session(SessionId id) {
  Session* session = find_session(id);
  if (!session) return;
  clear_statement(*session);
  timers_.cancel(session->rest_timer);
  std::erase(waiting_for_state_, id);
  ConnectionId conn = session->conn;
  sessions_.erase(id);
  callbacks_.close_client(id);
  if (Connection* connection = find_connection(conn)) detach_connection(*connection);
}

// Separates a connection from its session. The connection finishes its current step, within a time limit, and
// returns to the pool.
void Engine::detach_connection(Connection& connection) {
  connection.session = 0;
  if (connection.stage == Connection::Stage::kIdle) {
    if (connection.in_tx) return send_next_step(connection);
    return return_connection(connection);
  }
  connection.setup_steps.clear();
  timers_.cancel(connection.timer);
  connection.timer = timers_.at(now_ + kAbandonedStatementTimeoutMs,
                                [this, id = connection.id] { on_connection_lost(id, false, false); });
}

void Engine::resume_session(Session& session) {
  const SessionId id = session.id;
  process_lines(id);
  close_if_done(id);
}

// Handles queued lines until one of them has to wait for a database.
void Engine::process_lines(SessionId id) {
  for (Session* session = find_session(id);
       session && !session->busy && !session->closing && !session->lines.empty();
       session = find_session(id)) {
    const QueuedLine line = std::move(session->lines.front());
    session->lines.pop_front();
    session->queued_bytes -= line.text.size();
    handle_line(*session, line.text, line.late);
  }
}

// During a shutdown, closes a session once it has its last answer.
void Engine::close_if_done(SessionId id) {
  const Session* session = find_session(id);
  if (!session || session->busy || !session->lines.empty()) return;
  if (!accepting_statements_ || (closing_idle_ && session->state == 'I')) close_session(id);
}

void Engine::handle_line(Session& session, std::string_view line, bool late) {
  auto word = sql_protocol::take(line);
  if (word == "CLOSE") return close_session(session.id);
  if (word != "QUERY") return fail_statement(session, "MALFORMED", "not a message of a session");
  auto id = sql_protocol::take(line);
  auto parsed = sql_protocol::parse_statement(line);
  if (id.empty() || parsed.verb == Verb::kBad) return fail_statement(session, "MALFORMED", "not a statement");
  if (session.state == 'E') {
    if (parsed.verb == Verb::kRollback) {
      end_transaction(session, 'I');
      return send_answer(session, "COMPLETE -\r\n");
    }
    if (parsed.verb == Verb::kCommit) {
      end_transaction(session, 'I');
      return send_answer(session,
                         sql_protocol::error("ABORTED", "the transaction had failed and is rolled back"));
    }
    return fail_statement(session, "MALFORMED", "the transaction has failed; end it first");
  }
  if (late && parsed.verb != Verb::kRollback) return refuse_late(session, parsed.verb);
  switch (parsed.verb) {
    case Verb::kBegin: {
      if (session.state == 'T') return fail_statement(session, "MALFORMED", "a transaction is open");
      session.route = cluster_.route(session.host);
      if (!session.route) return fail_no_route(session);
      if (!authorize(session)) return fail_statement(session, "DENIED", "the key is not known");
      session.state = 'T';
      session.tx_read_only = parsed.read_only;
      session.tx_answered = session.tx_wrote = session.tx_lost = false;
      return send_answer(session, "COMPLETE -\r\n");  // sent to a database with the first statement
    }
    case Verb::kRollback:
      if (session.state != 'T') return fail_statement(session, "MALFORMED", "no transaction is open");
      end_transaction(session, 'I');
      return send_answer(session, "COMPLETE -\r\n");
    case Verb::kCommit:
      if (session.state != 'T') return fail_statement(session, "MALFORMED", "no transaction is open");
      return start_statement(session, id, line, parsed);
    case Verb::kConfigure:
    case Verb::kPrepare:
    case Verb::kRelease:
      return handle_local_statement(session, parsed);
    default:
      return start_statement(session, id, line, parsed);
  }
}

// Refuses a statement that arrived after this node stopped accepting them. Nothing of the statement or of its
// transaction is kept.
void Engine::refuse_late(Session& session, Verb verb) {
  if (session.state != 'T')
    return fail_statement(session, "THROTTLED",
                          "retry-after-ms=" + std::to_string(kShutdownRetryMs) + " this node is ending");
  end_transaction(session, verb == Verb::kCommit ? 'I' : 'E');
  send_answer(session,
              sql_protocol::error("ABORTED", "this node is ending; nothing of the transaction is kept"));
}

void Engine::handle_local_statement(Session& session, const sql_protocol::Statement& parsed) {
  std::string name(parsed.name);
  bool room = session.values.size() + session.prepared.size() < kMaxSessionValues;
  auto value = session.values.find(name);
  auto shape = session.prepared.find(name);
  bool configure = parsed.verb == Verb::kConfigure,
       fresh = configure ? value == session.values.end() : shape == session.prepared.end();
  std::size_t old = fresh ? 0 : name.size() + (configure ? value->second.size() : shape->second.shape.size());
  if (parsed.verb == Verb::kRelease) {
    if (fresh) return fail_statement(session, "NOTFOUND", name);
    session.stored_bytes -= old;
    session.prepared.erase(shape);
    return send_answer(session, "COMPLETE -\r\n");
  }
  std::size_t kept = session.stored_bytes - old + name.size() + parsed.rest.size();
  if ((fresh && !room) || kept > kMaxSessionBytes)
    return fail_statement(session, "MALFORMED", "too many values or prepared names in one session");
  session.stored_bytes = kept;
  if (configure)
    session.values[name] = std::string(parsed.rest);
  else
    session.prepared[name] = {parsed.read_only, std::string(parsed.rest)};
  send_answer(session, "COMPLETE -\r\n");
}

void Engine::send_answer(Session& session, std::string body) {
  body += sql_protocol::idle(session.state, "-");
  timers_.cancel(session.rest_timer);
  if (session.state != 'I') {
    session.rest_timer = timers_.at(now_ + cluster_.configuration().limits.transaction_idle_timeout_ms,
                                    [this, id = session.id] {
                                      if (Session* live_session = find_session(id)) {
                                        live_session->rest_timer = 0;
                                        discard_transaction(*live_session);
                                      }
                                    });
  }
  callbacks_.send_to_client(session.id, std::move(body));
}

void Engine::fail_statement(Session& session, std::string_view code, std::string_view text) {
  if (session.state == 'T') {
    // A failed statement fails its transaction, which is rolled back at the database at once.
    end_transaction(session, 'E');
  }
  send_answer(session, sql_protocol::error(code, text));
}

void Engine::fail_no_route(Session& session) {
  auto [code, text] = no_route_error(session.host);
  fail_statement(session, code, text);
}

// Ends the transaction for the session; if it is still open at a database, it is rolled back there.
void Engine::end_transaction(Session& session, char state) {
  session.state = state;
  session.tx_lost = false;
  if (state == 'I') session.route = nullptr;
  ConnectionId conn = session.conn;
  session.conn = 0;
  if (Connection* connection = find_connection(conn)) detach_connection(*connection);
}

// Ends the transaction of an idle session, because it was idle for too long or its database is gone. The next
// statement of the session gets the error.
void Engine::discard_transaction(Session& session) {
  if (session.busy || session.state != 'T') return;
  end_transaction(session, 'T');
  session.tx_lost = true;
}

void Engine::start_statement(Session& session, std::string_view id, std::string_view text,
                             const sql_protocol::Statement& parsed) {
  if (session.tx_lost) {
    bool commit = parsed.verb == Verb::kCommit;
    end_transaction(session, commit ? 'I' : 'E');
    return send_answer(session,
                       sql_protocol::error("ABORTED", "the transaction was ended and nothing of it is kept"));
  }
  StatementState statement;
  statement.read = parsed.verb == Verb::kFetch;
  if (parsed.verb == Verb::kExecute) {
    auto prepared = session.prepared.find(std::string(parsed.name));
    if (prepared == session.prepared.end()) return fail_statement(session, "NOTFOUND", parsed.name);
    statement.read = prepared->second.read;
    statement.prepared_shape = prepared->second.shape;
    statement.execute_arguments = std::string(parsed.rest);
  }
  if (session.state == 'I') {
    session.route = cluster_.route(session.host);
    if (!session.route) return fail_no_route(session);
    if (!authorize(session)) return fail_statement(session, "DENIED", "the key is not known");
    session.tx_answered = session.tx_wrote = false;
  }
  ++route_counts_[session.route->name].requests;
  statement.active = true;
  statement.id = std::string(id);
  statement.text = std::string(text);
  statement.verb = parsed.verb;
  statement.started_at = now_;
  statement.deadline = now_ + session.route->timeout_ms;
  session.statement = std::move(statement);
  session.busy = true;
  timers_.cancel(session.rest_timer);
  SessionId sid = session.id;
  session.statement.deadline_timer = timers_.at(session.statement.deadline, [this, sid] {
    if (Session* live_session = find_session(sid)) {
      live_session->statement.deadline_timer = 0;
      on_deadline(sid);
    }
  });
  charge_quota(sid);
}

// Charges an operation to its tenant once, with its first statement that goes to a database.
void Engine::charge_quota(SessionId id) {
  Session& session = *find_session(id);
  auto it = cluster_.configuration().tenants.find(session.tenant);
  bool limited =
      it != cluster_.configuration().tenants.end() && (it->second.rate_per_s > 0 || it->second.burst > 0);
  if (session.charged || !limited) return route_statement(id);
  auto quota = quota_client_.try_acquire(now_, session.tenant);
  if (quota.request_amount > 0) callbacks_.request_quota(session.tenant, quota.request_amount);
  if (quota.acquired) {
    session.charged = true;
    return route_statement(id);
  }
  if (quota.exhausted) return refuse_statement(session, "THROTTLED", "the tenant is at its limit");
  session.statement.awaits_quota_of = session.tenant;
  waiting_for_quota_[session.tenant].push_back(id);
  session.statement.wait_timer = timers_.at(wait_limit(session), [this, id] {
    if (Session* live_session = find_session(id)) {
      live_session->statement.wait_timer = 0;
      refuse_statement(*live_session, "THROTTLED", "the tenant is at its limit");
    }
  });
}

void Engine::on_quota_granted(const std::string& tenant, const quota::HolderId& from, quota::Rights sum) {
  quota_client_.on_transfer(now_, tenant, from, sum);
  auto waiting = std::exchange(waiting_for_quota_[tenant], {});
  waiting_for_quota_.erase(tenant);
  for (auto id : waiting) {
    Session* session = find_session(id);
    if (!session || session->statement.awaits_quota_of != tenant) continue;
    session->statement.awaits_quota_of.clear();
    timers_.cancel(session->statement.wait_timer);
    charge_quota(id);
  }
}

// Clears the current statement with its timers and its places in queues.
void Engine::clear_statement(Session& session) {
  StatementState& statement = session.statement;
  timers_.cancel(statement.deadline_timer);
  timers_.cancel(statement.soft_timer);
  timers_.cancel(statement.wait_timer);
  if (!statement.queued_for.empty()) std::erase(pools_[statement.queued_for].waiting, session.id);
  if (!statement.awaits_primary_of.empty())
    std::erase(waiting_for_primary_[statement.awaits_primary_of], session.id);
  if (!statement.awaits_quota_of.empty())
    std::erase(waiting_for_quota_[statement.awaits_quota_of], session.id);
  if (!statement.awaits_position_of.empty())
    std::erase(waiting_for_position_[statement.awaits_position_of], session.id);
  session.statement = StatementState{};
  session.busy = false;
}

void Engine::begin_shutdown() {
  shutting_down_ = true;
}

void Engine::close_idle_sessions() {
  closing_idle_ = true;
  close_resting_sessions();
}

void Engine::close_resting_sessions() {
  std::vector<SessionId> idle;
  for (auto& [id, s] : sessions_)
    if (!s.busy && s.state == 'I' && s.lines.empty()) idle.push_back(id);
  for (auto id : idle) close_session(id);
}

Engine::Activity Engine::activity(Millis since) const {
  Activity activity;
  activity.sessions = sessions_.size();
  for (auto& [id, session] : sessions_) {
    if (session.state == 'T') ++activity.in_transaction;
    if (!session.statement.active) continue;
    ++(session.statement.sent ? activity.at_database : activity.waiting);
    if (session.statement.started_at > since) ++activity.begun_since;
  }
  return activity;
}

void Engine::stop_accepting_statements() {
  accepting_statements_ = false;
  std::vector<SessionId> idle;
  for (auto& [id, session] : sessions_)
    if (!session.busy) idle.push_back(id);
  for (auto id : idle) close_session(id);
}

void Engine::abort_sessions() {
  accepting_statements_ = false;
  std::vector<SessionId> all;
  for (auto& [id, session] : sessions_) {
    for (auto& line : session.lines) line.late = true;
    all.push_back(id);
  }
  for (auto id : all) {
    Session* session = find_session(id);
    if (session && session->statement.active) abort_statement(*session, "this node is ending");
    close_session(id);
  }
}

}  // namespace pebblespindle::pooler
