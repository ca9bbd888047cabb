// Sessions: what clients say, and what they are told.
#include "pooler/engine.h"

#include <algorithm>

#include "membership/constants.h"
#include "net/constants.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {
using sql_protocol::Verb;

Engine::Session* Engine::find(SessionId id) {
  auto it = sessions_.find(id);
  return it == sessions_.end() ? nullptr : &it->second;
}

Engine::Server* Engine::server(ConnId id) {
  auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

void Engine::client_open(SessionId id) {
  sessions_[id].id = id;
}

void Engine::client_line(SessionId id, std::string_view line) {
  Session* s = find(id);
  if (!s || s->closing) return;
  if (!s->greeted) {
    auto rest = line;
    if (sql_protocol::take(rest) != "CONNECT") {
      port_.to_client(id, sql_protocol::error("MALFORMED", "CONNECT comes first"));
      return drop(id);
    }
    s->host = std::string(sql_protocol::take(rest));
    s->key = std::string(rest);
    if (sessions_.size() > std::size_t(kMaxSessions)) {
      port_.to_client(id, sql_protocol::error("CONNLIMIT", "too many sessions here"));
      return drop(id);
    }
    if (cluster_.has_configuration() && lease_until_ > 0) return greet(id);
    // Just started: which databases there are is not known yet, or no primary may be asked.
    unfed_.push_back(id);
    s->greeted = s->busy = true;
    s->rest = timers_.at(now_ + kInitialFeedWaitMs, [this, id] {
      Session* x = find(id);
      if (!x) return;
      x->rest = 0;
      if (cluster_.has_configuration()) return greet(id);
      port_.to_client(
          id, sql_protocol::error("THROTTLED", "retry-after-ms=" + std::to_string(kInitialFeedWaitMs) +
                                                   " this node has just started"));
      drop(id);
    });
    return;
  }
  s->lines.push_back({std::string(line), !taking_});
  s->ahead += line.size();
  run_lines(id);
}

void Engine::client_read(SessionId id) {
  end_if_answered(id);
}

void Engine::greet(SessionId id) {
  Session* s = find(id);
  if (!s) return;
  timers_.cancel(s->rest);
  std::erase(unfed_, id);  // once: a second greeting would be an answer to nothing
  if (!cluster_.route(s->host)) {
    auto [code, text] = no_route(s->host);
    port_.to_client(id, sql_protocol::error(code, text));
    return drop(id);
  }
  s->route = cluster_.route(s->host);
  bool known = admit_key(*s);
  s->route = nullptr;
  if (!known) {
    port_.to_client(
        id, leased() ? sql_protocol::error("DENIED", "the key is not known")
                     : sql_protocol::error("THROTTLED", "retry-after-ms=" + std::to_string(kNodeRenewalMs) +
                                                            " this node has no news"));
    return drop(id);
  }
  s->greeted = true;
  s->busy = false;
  port_.to_client(id, sql_protocol::idle('I', "-"));
  pump(*s);
}

// Who asks, as the configuration stands now; false: the route wants a key, and this one is nobody's.
bool Engine::admit_key(Session& s) {
  s.tenant.clear();
  s.paid = false;
  if (cluster_.configuration().tenants.empty() || s.route->is_public) return true;
  const Tenant* t = cluster_.tenant_with_key(s.key);
  if (t) s.tenant = t->name;
  return t != nullptr;
}

// Whether a route is missing or has not been heard of: without a lease, or behind the change it names, this
// node cannot tell, and says only that nothing was done.
std::pair<std::string, std::string> Engine::no_route(const std::string& host) const {
  if (leased()) return {"NODATABASE", host};
  return {"THROTTLED", "retry-after-ms=" + std::to_string(kNodeRenewalMs) + " this node has no news"};
}

void Engine::client_too_long(SessionId id) {
  if (!find(id)) return;
  port_.to_client(id, sql_protocol::error("TOOLARGE", "a message holds at most 1 MiB"));
  drop(id);
}

bool Engine::pressed(SessionId id) const {
  auto it = sessions_.find(id);
  return it != sessions_.end() &&
         (it->second.lines.size() > kBacklogLines || it->second.ahead > kBackpressureBytes);
}

void Engine::client_closed(SessionId id) {
  Session* s = find(id);
  if (s) drop(id);
}

// Ends a session from this side or after its client has gone. Whatever runs for it ends at the database
// first.
void Engine::drop(SessionId id) {
  Session* s = find(id);
  if (!s) return;
  end_work(*s);
  timers_.cancel(s->rest);
  std::erase(unfed_, id);
  ConnId conn = s->conn;
  sessions_.erase(id);
  port_.end_client(id);
  if (Server* c = server(conn)) orphan(*c);
}

// A connection whose session has no more use for it: it ends what it does, within a bound, and goes back.
void Engine::orphan(Server& c) {
  c.session = 0;
  if (c.stage == Server::Stage::kIdle) {
    if (c.in_tx) return next_step(c);
    return give_back(c);
  }
  c.script.clear();
  timers_.cancel(c.timer);
  c.timer = timers_.at(now_ + kAbandonedStatementMs, [this, id = c.id] { server_down(id, false, false); });
}

void Engine::pump(Session& session) {
  const SessionId id = session.id;
  run_lines(id);
  end_if_answered(id);
}

// Until one of them has to wait for a database.
void Engine::run_lines(SessionId id) {
  for (Session* s = find(id); s && !s->busy && !s->closing && !s->lines.empty(); s = find(id)) {
    const QueuedLine line = std::move(s->lines.front());
    s->lines.pop_front();
    s->ahead -= line.text.size();
    handle(*s, line.text, line.late);
  }
}

// A node that ends closes its sessions once they have their last answer.
void Engine::end_if_answered(SessionId id) {
  const Session* s = find(id);
  if (!s || s->busy || !s->lines.empty()) return;
  if (!taking_ || (closing_idle_ && s->state == 'I')) drop(id);
}

void Engine::handle(Session& s, std::string_view line, bool late) {
  auto word = sql_protocol::take(line);
  if (word == "CLOSE") return drop(s.id);
  if (word != "QUERY") return fail(s, "MALFORMED", "not a message of a session");
  auto id = sql_protocol::take(line);
  auto st = sql_protocol::parse_statement(line);
  if (id.empty() || st.verb == Verb::kBad) return fail(s, "MALFORMED", "not a statement");
  if (s.state == 'E') {
    if (st.verb == Verb::kRollback) {
      end_transaction(s, 'I');
      return answer(s, "COMPLETE -\r\n");
    }
    if (st.verb == Verb::kCommit) {
      end_transaction(s, 'I');
      return answer(s, sql_protocol::error("ABORTED", "the transaction had failed and is rolled back"));
    }
    return fail(s, "MALFORMED", "the transaction has failed; end it first");
  }
  if (late && st.verb != Verb::kRollback) return refuse_late(s, st.verb);
  switch (st.verb) {
    case Verb::kBegin: {
      if (s.state == 'T') return fail(s, "MALFORMED", "a transaction is open");
      s.route = cluster_.route(s.host);
      if (!s.route) return fail_unrouted(s);
      if (!admit_key(s)) return fail(s, "DENIED", "the key is not known");
      s.state = 'T';
      s.tx_read_only = st.read_only;
      s.tx_touched = s.tx_wrote = s.tx_lost = false;
      return answer(s, "COMPLETE -\r\n");  // a database sees it with the first statement
    }
    case Verb::kRollback:
      if (s.state != 'T') return fail(s, "MALFORMED", "no transaction is open");
      end_transaction(s, 'I');
      return answer(s, "COMPLETE -\r\n");
    case Verb::kCommit:
      if (s.state != 'T') return fail(s, "MALFORMED", "no transaction is open");
      return begin_work(s, id, line, st);
    case Verb::kConfigure:
    case Verb::kPrepare:
    case Verb::kRelease:
      return local_statement(s, st);
    default:
      return begin_work(s, id, line, st);
  }
}

// A statement that came too late to be run here. Nothing of it, nor of its transaction, is kept.
void Engine::refuse_late(Session& s, Verb verb) {
  if (s.state != 'T')
    return fail(s, "THROTTLED", "retry-after-ms=" + std::to_string(kEndingRetryMs) + " this node is ending");
  end_transaction(s, verb == Verb::kCommit ? 'I' : 'E');
  answer(s, sql_protocol::error("ABORTED", "this node is ending; nothing of the transaction is kept"));
}

void Engine::local_statement(Session& s, const sql_protocol::Statement& st) {
  std::string name(st.name);
  bool room = s.values.size() + s.prepared.size() < kMaxSessionValues;
  auto value = s.values.find(name);
  auto shape = s.prepared.find(name);
  bool configure = st.verb == Verb::kConfigure,
       fresh = configure ? value == s.values.end() : shape == s.prepared.end();
  std::size_t old = fresh ? 0 : name.size() + (configure ? value->second.size() : shape->second.shape.size());
  if (st.verb == Verb::kRelease) {
    if (fresh) return fail(s, "NOTFOUND", name);
    s.kept -= old;
    s.prepared.erase(shape);
    return answer(s, "COMPLETE -\r\n");
  }
  std::size_t kept = s.kept - old + name.size() + st.rest.size();
  if ((fresh && !room) || kept > kMaxSessionBytes)
    return fail(s, "MALFORMED", "too many values or prepared names in one session");
  s.kept = kept;
  if (configure)
    s.values[name] = std::string(st.rest);
  else
    s.prepared[name] = {st.read_only, std::string(st.rest)};
  answer(s, "COMPLETE -\r\n");
}

void Engine::answer(Session& s, std::string body) {
  body += sql_protocol::idle(s.state, "-");
  timers_.cancel(s.rest);
  if (s.state != 'I') {
    s.rest = timers_.at(now_ + cluster_.configuration().limits.transaction_idle_ms, [this, id = s.id] {
      if (Session* x = find(id)) {
        x->rest = 0;
        lose_transaction(*x);
      }
    });
  }
  port_.to_client(s.id, std::move(body));
}

void Engine::fail(Session& s, std::string_view code, std::string_view text) {
  if (s.state == 'T') {
    // A failed statement fails its transaction; the database's side of it is rolled back at once.
    end_transaction(s, 'E');
  }
  answer(s, sql_protocol::error(code, text));
}

void Engine::fail_unrouted(Session& s) {
  auto [code, text] = no_route(s.host);
  fail(s, code, text);
}

// The transaction is over here; what is left of it at a database is rolled back.
void Engine::end_transaction(Session& s, char state) {
  s.state = state;
  s.tx_lost = false;
  if (state == 'I') s.route = nullptr;
  ConnId conn = s.conn;
  s.conn = 0;
  if (Server* c = server(conn)) orphan(*c);
}

// Rests too long, or its database has gone: the next statement learns of it.
void Engine::lose_transaction(Session& s) {
  if (s.busy || s.state != 'T') return;
  end_transaction(s, 'T');
  s.tx_lost = true;
}

void Engine::begin_work(Session& s, std::string_view id, std::string_view text,
                        const sql_protocol::Statement& st) {
  if (s.tx_lost) {
    bool commit = st.verb == Verb::kCommit;
    end_transaction(s, commit ? 'I' : 'E');
    return answer(s, sql_protocol::error("ABORTED", "the transaction was ended and nothing of it is kept"));
  }
  Work w;
  w.read = st.verb == Verb::kFetch;
  if (st.verb == Verb::kExecute) {
    auto p = s.prepared.find(std::string(st.name));
    if (p == s.prepared.end()) return fail(s, "NOTFOUND", st.name);
    w.read = p->second.read;
    w.prepared_key = p->second.shape;
    w.execute_rest = std::string(st.rest);
  }
  if (s.state == 'I') {
    s.route = cluster_.route(s.host);
    if (!s.route) return fail_unrouted(s);
    if (!admit_key(s)) return fail(s, "DENIED", "the key is not known");
    s.tx_touched = s.tx_wrote = false;
  }
  ++routes_seen_[s.route->name].asked;
  w.active = true;
  w.id = std::string(id);
  w.text = std::string(text);
  w.verb = st.verb;
  w.began = now_;
  w.deadline = now_ + s.route->timeout_ms;
  s.work = std::move(w);
  s.busy = true;
  timers_.cancel(s.rest);
  SessionId sid = s.id;
  s.work.timer = timers_.at(s.work.deadline, [this, sid] {
    if (Session* x = find(sid)) {
      x->work.timer = 0;
      on_deadline(sid);
    }
  });
  pay(sid);
}

// An operation is counted once, with its first statement that goes to a database.
void Engine::pay(SessionId id) {
  Session& s = *find(id);
  auto it = cluster_.configuration().tenants.find(s.tenant);
  bool limited =
      it != cluster_.configuration().tenants.end() && (it->second.rate_per_s > 0 || it->second.burst > 0);
  if (s.paid || !limited) return attempt(id);
  auto r = quota_client_.take(now_, s.tenant);
  if (r.want > 0) port_.pay(s.tenant, r.want);
  if (r.paid) {
    s.paid = true;
    return attempt(id);
  }
  if (r.exhausted) return refuse(s, "THROTTLED", "the tenant is at its limit");
  s.work.unpaid = s.tenant;
  unpaid_[s.tenant].push_back(id);
  s.work.wait = timers_.at(hold_limit(s), [this, id] {
    if (Session* x = find(id)) {
      x->work.wait = 0;
      refuse(*x, "THROTTLED", "the tenant is at its limit");
    }
  });
}

void Engine::paid(const std::string& tenant, const quota::Holder& from, quota::Rights sum) {
  quota_client_.paid(now_, tenant, from, sum);
  auto waiting = std::exchange(unpaid_[tenant], {});
  unpaid_.erase(tenant);
  for (auto id : waiting) {
    Session* s = find(id);
    if (!s || s->work.unpaid != tenant) continue;
    s->work.unpaid.clear();
    timers_.cancel(s->work.wait);
    pay(id);
  }
}

// Forgets the statement under way: its timers, and its places in queues.
void Engine::end_work(Session& s) {
  Work& w = s.work;
  timers_.cancel(w.timer);
  timers_.cancel(w.patience);
  timers_.cancel(w.wait);
  if (!w.queued_at.empty()) std::erase(pools_[w.queued_at].waiting, s.id);
  if (!w.held_for.empty()) std::erase(held_[w.held_for], s.id);
  if (!w.unpaid.empty()) std::erase(unpaid_[w.unpaid], s.id);
  if (!w.position_of.empty()) std::erase(waiting_for_position_[w.position_of], s.id);
  s.work = Work{};
  s.busy = false;
}

void Engine::leave() {
  leaving_ = true;
}

void Engine::close_idle() {
  closing_idle_ = true;
  close_resting();
}

void Engine::close_resting() {
  std::vector<SessionId> idle;
  for (auto& [id, s] : sessions_)
    if (!s.busy && s.state == 'I' && s.lines.empty()) idle.push_back(id);
  for (auto id : idle) drop(id);
}

Engine::Activity Engine::activity(Millis since) const {
  Activity activity;
  activity.sessions = sessions_.size();
  for (auto& [id, session] : sessions_) {
    if (session.state == 'T') ++activity.in_transaction;
    if (!session.work.active) continue;
    ++(session.work.sent ? activity.at_database : activity.waiting);
    if (session.work.began > since) ++activity.begun_since;
  }
  return activity;
}

void Engine::stop_taking() {
  taking_ = false;
  std::vector<SessionId> idle;
  for (auto& [id, session] : sessions_)
    if (!session.busy) idle.push_back(id);
  for (auto id : idle) drop(id);
}

void Engine::give_up() {
  taking_ = false;
  std::vector<SessionId> all;
  for (auto& [id, session] : sessions_) {
    for (auto& line : session.lines) line.late = true;
    all.push_back(id);
  }
  for (auto id : all) {
    Session* session = find(id);
    if (session && session->work.active) break_off(*session, "this node is ending");
    drop(id);
  }
}

}  // namespace pebblespindle::pooler
