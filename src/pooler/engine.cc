// Sessions: what clients say, and what they are told.
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
  Session* s = find_session(id);
  if (!s || s->closing) return;
  if (!s->connect_received) {
    auto rest = line;
    if (sql_protocol::take(rest) != "CONNECT") {
      callbacks_.send_to_client(id, sql_protocol::error("MALFORMED", "CONNECT comes first"));
      return close_session(id);
    }
    s->host = std::string(sql_protocol::take(rest));
    s->key = std::string(rest);
    if (sessions_.size() > std::size_t(kMaxSessions)) {
      callbacks_.send_to_client(id, sql_protocol::error("CONNLIMIT", "too many sessions here"));
      return close_session(id);
    }
    if (cluster_.has_configuration() && lease_until_ > 0) return complete_connect(id);
    // Just started: which databases there are is not known yet, or no primary may be asked.
    waiting_for_state_.push_back(id);
    s->connect_received = s->busy = true;
    s->rest_timer = timers_.at(now_ + kInitialFeedWaitMs, [this, id] {
      Session* x = find_session(id);
      if (!x) return;
      x->rest_timer = 0;
      if (cluster_.has_configuration()) return complete_connect(id);
      callbacks_.send_to_client(
          id, sql_protocol::error("THROTTLED", "retry-after-ms=" + std::to_string(kInitialFeedWaitMs) +
                                                   " this node has just started"));
      close_session(id);
    });
    return;
  }
  s->lines.push_back({std::string(line), !accepting_statements_});
  s->queued_bytes += line.size();
  process_lines(id);
}

void Engine::on_client_read_end(SessionId id) {
  close_if_done(id);
}

void Engine::complete_connect(SessionId id) {
  Session* s = find_session(id);
  if (!s) return;
  timers_.cancel(s->rest_timer);
  std::erase(waiting_for_state_, id);  // once: a second greeting would be an answer to nothing
  if (!cluster_.route(s->host)) {
    auto [code, text] = no_route_error(s->host);
    callbacks_.send_to_client(id, sql_protocol::error(code, text));
    return close_session(id);
  }
  s->route = cluster_.route(s->host);
  bool known = authorize(*s);
  s->route = nullptr;
  if (!known) {
    callbacks_.send_to_client(
        id, has_lease()
                ? sql_protocol::error("DENIED", "the key is not known")
                : sql_protocol::error("THROTTLED", "retry-after-ms=" + std::to_string(kNodeRenewalMs) +
                                                       " this node has no news"));
    return close_session(id);
  }
  s->connect_received = true;
  s->busy = false;
  callbacks_.send_to_client(id, sql_protocol::idle('I', "-"));
  resume_session(*s);
}

// Who asks, as the configuration stands now; false: the route wants a key, and this one is nobody's.
bool Engine::authorize(Session& s) {
  s.tenant.clear();
  s.charged = false;
  if (cluster_.configuration().tenants.empty() || s.route->is_public) return true;
  const Tenant* t = cluster_.tenant_with_key(s.key);
  if (t) s.tenant = t->name;
  return t != nullptr;
}

// Whether a route is missing or has not been heard of: without a lease, or behind the change it names, this
// node cannot tell, and says only that nothing was done.
std::pair<std::string, std::string> Engine::no_route_error(const std::string& host) const {
  if (has_lease()) return {"NODATABASE", host};
  return {"THROTTLED", "retry-after-ms=" + std::to_string(kNodeRenewalMs) + " this node has no news"};
}

void Engine::on_client_line_too_long(SessionId id) {
  if (!find_session(id)) return;
  callbacks_.send_to_client(id, sql_protocol::error("TOOLARGE", "a message holds at most 1 MiB"));
  close_session(id);
}

bool Engine::has_backlog(SessionId id) const {
  auto it = sessions_.find(id);
  return it != sessions_.end() &&
         (it->second.lines.size() > kBacklogLines || it->second.queued_bytes > kBackpressureBytes);
}

void Engine::on_client_closed(SessionId id) {
  Session* s = find_session(id);
  if (s) close_session(id);
}

// Ends a session from this side or after its client has gone. Whatever runs for it ends at the database
// first.
void Engine::close_session(SessionId id) {
  Session* s = find_session(id);
  if (!s) return;
  clear_statement(*s);
  timers_.cancel(s->rest_timer);
  std::erase(waiting_for_state_, id);
  ConnectionId conn = s->conn;
  sessions_.erase(id);
  callbacks_.close_client(id);
  if (Connection* c = find_connection(conn)) detach_connection(*c);
}

// A connection whose session has no more use for it: it ends what it does, within a bound, and goes back.
void Engine::detach_connection(Connection& c) {
  c.session = 0;
  if (c.stage == Connection::Stage::kIdle) {
    if (c.in_tx) return send_next_step(c);
    return return_connection(c);
  }
  c.setup_steps.clear();
  timers_.cancel(c.timer);
  c.timer = timers_.at(now_ + kAbandonedStatementTimeoutMs,
                       [this, id = c.id] { on_connection_lost(id, false, false); });
}

void Engine::resume_session(Session& session) {
  const SessionId id = session.id;
  process_lines(id);
  close_if_done(id);
}

// Until one of them has to wait for a database.
void Engine::process_lines(SessionId id) {
  for (Session* s = find_session(id); s && !s->busy && !s->closing && !s->lines.empty();
       s = find_session(id)) {
    const QueuedLine line = std::move(s->lines.front());
    s->lines.pop_front();
    s->queued_bytes -= line.text.size();
    handle_line(*s, line.text, line.late);
  }
}

// A node that ends closes its sessions once they have their last answer.
void Engine::close_if_done(SessionId id) {
  const Session* s = find_session(id);
  if (!s || s->busy || !s->lines.empty()) return;
  if (!accepting_statements_ || (closing_idle_ && s->state == 'I')) close_session(id);
}

void Engine::handle_line(Session& s, std::string_view line, bool late) {
  auto word = sql_protocol::take(line);
  if (word == "CLOSE") return close_session(s.id);
  if (word != "QUERY") return fail_statement(s, "MALFORMED", "not a message of a session");
  auto id = sql_protocol::take(line);
  auto st = sql_protocol::parse_statement(line);
  if (id.empty() || st.verb == Verb::kBad) return fail_statement(s, "MALFORMED", "not a statement");
  if (s.state == 'E') {
    if (st.verb == Verb::kRollback) {
      end_transaction(s, 'I');
      return send_answer(s, "COMPLETE -\r\n");
    }
    if (st.verb == Verb::kCommit) {
      end_transaction(s, 'I');
      return send_answer(s, sql_protocol::error("ABORTED", "the transaction had failed and is rolled back"));
    }
    return fail_statement(s, "MALFORMED", "the transaction has failed; end it first");
  }
  if (late && st.verb != Verb::kRollback) return refuse_late(s, st.verb);
  switch (st.verb) {
    case Verb::kBegin: {
      if (s.state == 'T') return fail_statement(s, "MALFORMED", "a transaction is open");
      s.route = cluster_.route(s.host);
      if (!s.route) return fail_no_route(s);
      if (!authorize(s)) return fail_statement(s, "DENIED", "the key is not known");
      s.state = 'T';
      s.tx_read_only = st.read_only;
      s.tx_answered = s.tx_wrote = s.tx_lost = false;
      return send_answer(s, "COMPLETE -\r\n");  // a database sees it with the first statement
    }
    case Verb::kRollback:
      if (s.state != 'T') return fail_statement(s, "MALFORMED", "no transaction is open");
      end_transaction(s, 'I');
      return send_answer(s, "COMPLETE -\r\n");
    case Verb::kCommit:
      if (s.state != 'T') return fail_statement(s, "MALFORMED", "no transaction is open");
      return start_statement(s, id, line, st);
    case Verb::kConfigure:
    case Verb::kPrepare:
    case Verb::kRelease:
      return handle_local_statement(s, st);
    default:
      return start_statement(s, id, line, st);
  }
}

// A statement that came too late to be run here. Nothing of it, nor of its transaction, is kept.
void Engine::refuse_late(Session& s, Verb verb) {
  if (s.state != 'T')
    return fail_statement(s, "THROTTLED",
                          "retry-after-ms=" + std::to_string(kShutdownRetryMs) + " this node is ending");
  end_transaction(s, verb == Verb::kCommit ? 'I' : 'E');
  send_answer(s, sql_protocol::error("ABORTED", "this node is ending; nothing of the transaction is kept"));
}

void Engine::handle_local_statement(Session& s, const sql_protocol::Statement& st) {
  std::string name(st.name);
  bool room = s.values.size() + s.prepared.size() < kMaxSessionValues;
  auto value = s.values.find(name);
  auto shape = s.prepared.find(name);
  bool configure = st.verb == Verb::kConfigure,
       fresh = configure ? value == s.values.end() : shape == s.prepared.end();
  std::size_t old = fresh ? 0 : name.size() + (configure ? value->second.size() : shape->second.shape.size());
  if (st.verb == Verb::kRelease) {
    if (fresh) return fail_statement(s, "NOTFOUND", name);
    s.stored_bytes -= old;
    s.prepared.erase(shape);
    return send_answer(s, "COMPLETE -\r\n");
  }
  std::size_t kept = s.stored_bytes - old + name.size() + st.rest.size();
  if ((fresh && !room) || kept > kMaxSessionBytes)
    return fail_statement(s, "MALFORMED", "too many values or prepared names in one session");
  s.stored_bytes = kept;
  if (configure)
    s.values[name] = std::string(st.rest);
  else
    s.prepared[name] = {st.read_only, std::string(st.rest)};
  send_answer(s, "COMPLETE -\r\n");
}

void Engine::send_answer(Session& s, std::string body) {
  body += sql_protocol::idle(s.state, "-");
  timers_.cancel(s.rest_timer);
  if (s.state != 'I') {
    s.rest_timer =
        timers_.at(now_ + cluster_.configuration().limits.transaction_idle_timeout_ms, [this, id = s.id] {
          if (Session* x = find_session(id)) {
            x->rest_timer = 0;
            discard_transaction(*x);
          }
        });
  }
  callbacks_.send_to_client(s.id, std::move(body));
}

void Engine::fail_statement(Session& s, std::string_view code, std::string_view text) {
  if (s.state == 'T') {
    // A failed statement fails its transaction; the database's side of it is rolled back at once.
    end_transaction(s, 'E');
  }
  send_answer(s, sql_protocol::error(code, text));
}

void Engine::fail_no_route(Session& s) {
  auto [code, text] = no_route_error(s.host);
  fail_statement(s, code, text);
}

// The transaction is over here; what is left of it at a database is rolled back.
void Engine::end_transaction(Session& s, char state) {
  s.state = state;
  s.tx_lost = false;
  if (state == 'I') s.route = nullptr;
  ConnectionId conn = s.conn;
  s.conn = 0;
  if (Connection* c = find_connection(conn)) detach_connection(*c);
}

// Rests too long, or its database has gone: the next statement learns of it.
void Engine::discard_transaction(Session& s) {
  if (s.busy || s.state != 'T') return;
  end_transaction(s, 'T');
  s.tx_lost = true;
}

void Engine::start_statement(Session& s, std::string_view id, std::string_view text,
                             const sql_protocol::Statement& st) {
  if (s.tx_lost) {
    bool commit = st.verb == Verb::kCommit;
    end_transaction(s, commit ? 'I' : 'E');
    return send_answer(s,
                       sql_protocol::error("ABORTED", "the transaction was ended and nothing of it is kept"));
  }
  StatementState w;
  w.read = st.verb == Verb::kFetch;
  if (st.verb == Verb::kExecute) {
    auto p = s.prepared.find(std::string(st.name));
    if (p == s.prepared.end()) return fail_statement(s, "NOTFOUND", st.name);
    w.read = p->second.read;
    w.prepared_shape = p->second.shape;
    w.execute_arguments = std::string(st.rest);
  }
  if (s.state == 'I') {
    s.route = cluster_.route(s.host);
    if (!s.route) return fail_no_route(s);
    if (!authorize(s)) return fail_statement(s, "DENIED", "the key is not known");
    s.tx_answered = s.tx_wrote = false;
  }
  ++route_counts_[s.route->name].requests;
  w.active = true;
  w.id = std::string(id);
  w.text = std::string(text);
  w.verb = st.verb;
  w.started_at = now_;
  w.deadline = now_ + s.route->timeout_ms;
  s.statement = std::move(w);
  s.busy = true;
  timers_.cancel(s.rest_timer);
  SessionId sid = s.id;
  s.statement.deadline_timer = timers_.at(s.statement.deadline, [this, sid] {
    if (Session* x = find_session(sid)) {
      x->statement.deadline_timer = 0;
      on_deadline(sid);
    }
  });
  charge_quota(sid);
}

// An operation is counted once, with its first statement that goes to a database.
void Engine::charge_quota(SessionId id) {
  Session& s = *find_session(id);
  auto it = cluster_.configuration().tenants.find(s.tenant);
  bool limited =
      it != cluster_.configuration().tenants.end() && (it->second.rate_per_s > 0 || it->second.burst > 0);
  if (s.charged || !limited) return route_statement(id);
  auto r = quota_client_.try_acquire(now_, s.tenant);
  if (r.request_amount > 0) callbacks_.request_quota(s.tenant, r.request_amount);
  if (r.acquired) {
    s.charged = true;
    return route_statement(id);
  }
  if (r.exhausted) return refuse_statement(s, "THROTTLED", "the tenant is at its limit");
  s.statement.awaits_quota_of = s.tenant;
  waiting_for_quota_[s.tenant].push_back(id);
  s.statement.wait_timer = timers_.at(wait_limit(s), [this, id] {
    if (Session* x = find_session(id)) {
      x->statement.wait_timer = 0;
      refuse_statement(*x, "THROTTLED", "the tenant is at its limit");
    }
  });
}

void Engine::on_quota_granted(const std::string& tenant, const quota::HolderId& from, quota::Rights sum) {
  quota_client_.on_transfer(now_, tenant, from, sum);
  auto waiting = std::exchange(waiting_for_quota_[tenant], {});
  waiting_for_quota_.erase(tenant);
  for (auto id : waiting) {
    Session* s = find_session(id);
    if (!s || s->statement.awaits_quota_of != tenant) continue;
    s->statement.awaits_quota_of.clear();
    timers_.cancel(s->statement.wait_timer);
    charge_quota(id);
  }
}

// Forgets the statement under way: its timers, and its places in queues.
void Engine::clear_statement(Session& s) {
  StatementState& w = s.statement;
  timers_.cancel(w.deadline_timer);
  timers_.cancel(w.soft_timer);
  timers_.cancel(w.wait_timer);
  if (!w.queued_for.empty()) std::erase(pools_[w.queued_for].waiting, s.id);
  if (!w.awaits_primary_of.empty()) std::erase(waiting_for_primary_[w.awaits_primary_of], s.id);
  if (!w.awaits_quota_of.empty()) std::erase(waiting_for_quota_[w.awaits_quota_of], s.id);
  if (!w.awaits_position_of.empty()) std::erase(waiting_for_position_[w.awaits_position_of], s.id);
  s.statement = StatementState{};
  s.busy = false;
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
