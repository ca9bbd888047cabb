// Execution: statements on server connections, their answers, and what follows when none comes.
#include <algorithm>

#include "net/constants.h"
#include "pooler/constants.h"
#include "pooler/engine.h"

namespace pebblespindle::pooler {
using sql_protocol::Verb;

namespace {

constexpr int kTimeIsOver = 1 << 20;  // attempts: more than any route allows

bool not_run(std::string_view code) {
  return code == "THROTTLED" || code == "LAGGING" || code == "READONLY" || code == "WRONGNODE" ||
         code == "CONNLIMIT" || code == "NOTFOUND";
}

}  // namespace

// Brings the connection to what the session needs, then sends the statement.
void Engine::dispatch(Session& s, Server& c) {
  Work& w = s.work;
  ++w.attempts;
  w.sent = false;
  w.sent_at = now_;
  w.rows.clear();
  c.script.clear();
  if (!c.in_tx) {
    bool extra = c.values_unsure || c.prepared.size() > kMaxPreparedPerConnection;
    for (auto& [name, value] : c.values) extra = extra || !s.values.count(name);
    if (extra) {
      c.script.emplace_back("RESET");
      c.values.clear();
      c.prepared.clear();
    }
  }
  for (auto& [name, value] : s.values) {
    auto it = c.values.find(name);
    if (it == c.values.end() || it->second != value)
      c.script.push_back(std::string("CONFIGURE ").append(name).append(" ").append(value));
  }
  if (!w.prepared_key.empty() && !c.prepared.count(w.prepared_key)) {
    // A name never stands for another shape, also not once the list has grown too long and starts anew.
    if (shape_names_.size() >= kMaxPreparedNames) shape_names_.clear();
    auto [it, fresh] = shape_names_.emplace(w.prepared_key, last_shape_ + 1);
    if (fresh) ++last_shape_;
    c.script.push_back("PREPARE p" + std::to_string(it->second) + " " + w.prepared_key);
  }
  if (s.state == 'T' && !c.in_tx) {
    std::string begin = s.tx_read_only ? "BEGIN FETCH" : "BEGIN";
    if (!w.require.none()) begin = "WAITFOR " + w.require.text() + " " + begin;
    c.script.push_back(begin);
  }
  timers_.cancel(w.patience);
  w.warned = false;
  w.patience = timers_.at(now_ + patience(c.instance, s), [this, id = s.id] {
    if (Session* x = find(id)) {
      x->work.patience = 0;
      on_patience(id);
    }
  });
  next_step(c);
}

// How long an answer of this database may take before it is missed.
Millis Engine::patience(const InstanceId& id, const Session& s) const {
  auto p = pools_.find(id);
  if (p == pools_.end()) return kInitialHedgeDelayMs;
  auto w = p->second.worst.find(s.route->name);
  if (w == p->second.worst.end()) return kInitialHedgeDelayMs;
  return std::max<Millis>(kMinHedgeDelayMs, Millis(kHedgeFactor * w->second));
}

// Sends what comes next on this connection: a setup statement, the client's statement, or a rollback.
void Engine::next_step(Server& c) {
  c.error_code.clear();
  c.error_text.clear();
  c.stamp.clear();
  c.completed = false;
  c.asked = now_;
  Session* s = find(c.session);
  if (!s) {
    if (!c.in_tx) return give_back(c);
    c.stage = Server::Stage::kCleanup;
    timers_.cancel(c.timer);
    c.timer = timers_.at(now_ + kServerConnectMs, [this, id = c.id] { server_down(id, false, false); });
    return port_.to_server(c.id, sql_protocol::query("-", "ROLLBACK"));
  }
  if (!c.script.empty()) {
    c.stage = Server::Stage::kSetup;
    return port_.to_server(c.id, sql_protocol::query("-", c.script.front()));
  }
  Work& w = s->work;
  if (w.by_lead && !(s->state == 'T' && s->tx_touched) && !(leased() && leads(c.service, c.instance))) {
    // The right to ask this one has ended while the statement waited: it has not run, and looks around anew.
    SessionId id = s->id;
    --w.attempts;
    timers_.cancel(w.patience);
    s->conn = c.session = 0;
    next_step(c);
    return attempt(id);
  }
  c.stage = Server::Stage::kStatement;
  std::string text = w.text;
  if (w.verb == Verb::kExecute) text = "EXECUTE " + c.prepared[w.prepared_key] + " " + w.execute_rest;
  if (s->state != 'T' && w.read && !w.require.none()) text = "WAITFOR " + w.require.text() + " " + text;
  w.sent = true;
  w.sent_at = now_;
  const PrimaryAssignment* l = cluster_.primary_of(c.service);
  c.observing = leased() && l && !l->suspended && l->primary == c.instance;
  if (!w.read && w.verb != Verb::kCommit) s->tx_wrote = true;
  port_.to_server(c.id, sql_protocol::query(w.id, text));
}

void Engine::server_line(ConnId id, std::string_view line) {
  Server* c = server(id);
  if (!c) return;
  auto rest = line;
  auto word = sql_protocol::take(rest);
  Pool& p = pools_[c->instance];
  p.last_answer = now_;
  if (p.suspected) {
    p.suspected = false;
    port_.cleared(c->instance);
  }
  if (!c->greeted) {
    InstanceId instance = c->instance;
    auto ready = word == "IDLE" ? sql_protocol::parse_idle(rest) : std::nullopt;
    if (ready && ready->state == 'I') {
      c->greeted = c->answered = true;
      timers_.cancel(c->timer);
      if (p.opening > 0) --p.opening;
      if (p.closed_off || p.trial_pause != 0) {
        ConnId cid = c->id;
        reopen(instance);
        c = server(cid);
        if (!c) return;
      }
      if (ready->position) p.vector.raise(*ready->position);
      return give_back(*c);
    }
    auto code = sql_protocol::take(rest);
    const bool is_full = word == "STMTERR" && code == "CONNLIMIT";
    if (is_full) limit(instance);
    if (!is_full || p.closed_off) close_off_longer(instance);
    drop_server(id, false);
    if (p.total == p.opening) redo_waiting(instance);
    return;
  }
  if (!hear_answer(*c, word, line, rest)) server_down(id, false, false);  // not understood
}

// A line of an answer. False: it is none, or it has no place there. Answers carry no name of what they
// answer, so all that tells whose they are is their order: a connection whose order is in doubt serves nobody
// any more.
bool Engine::hear_answer(Server& c, std::string_view word, std::string_view line, std::string_view rest) {
  if (c.stage == Server::Stage::kIdle || c.answered) return false;  // nothing is asked, or it cannot be meant
  const bool decided = c.completed || !c.error_code.empty();
  if (word == "DATAROW") {
    if (decided || c.stage != Server::Stage::kStatement) return false;
    Session* s = find(c.session);
    if (!s) return true;
    s->work.rows.append(line).append("\r\n");
    return s->work.rows.size() <= kMaxAnswerBytes;
  }
  if (word == "COMPLETE") {
    if (decided) return false;
    c.completed = true;
    c.stamp = std::string(rest);
    return true;
  }
  if (word == "STMTERR") {
    if (decided) return false;
    c.error_code = std::string(sql_protocol::take(rest));
    c.error_text = std::string(rest);
    return !c.error_code.empty();
  }
  auto idle = word == "IDLE" ? sql_protocol::parse_idle(rest) : std::nullopt;
  if (!idle || !decided) return false;
  c.answered = true;  // what stands behind it in the same read was written before anything else was asked
  return step_done(c, *idle);
}

void Engine::server_read(ConnId id) {
  if (Server* c = server(id)) c->answered = false;
}

// False: the answer does not fit what was asked.
bool Engine::step_done(Server& c, const sql_protocol::Idle& idle) {
  const bool was_in_tx = c.in_tx;
  if (!fits(c, idle.state)) return false;
  Pool& p = pools_[c.instance];
  p.silent = 0;
  if (idle.position) p.vector.raise(*idle.position);
  c.in_tx = idle.state != 'I';
  if (c.stage == Server::Stage::kCleanup) {
    timers_.cancel(c.timer);
    // Values and names that were set inside of what is rolled back may be gone or not.
    if (std::exchange(c.tx_configured, false)) c.values_unsure = true;
    return give_back(c), true;
  }
  if (!find(c.session)) timers_.cancel(c.timer);
  if (c.stage == Server::Stage::kStatement) return statement_done(c, idle), true;
  // setup
  if (!c.error_code.empty()) return setup_failed(c, idle.state), true;
  if (!find(c.session)) {
    c.values_unsure = true;
    if (was_in_tx) c.tx_configured = true;
    return next_step(c), true;
  }
  std::string text = std::move(c.script.front());
  c.script.pop_front();
  auto st = sql_protocol::parse_statement(text);
  if (st.verb == Verb::kConfigure) {
    c.values[std::string(st.name)] = std::string(st.rest);
    if (c.in_tx) c.tx_configured = true;
  } else if (st.verb == Verb::kPrepare) {
    c.prepared[std::string(st.rest)] = std::string(st.name);
    if (c.in_tx) c.tx_configured = true;
  } else if (text == "RESET") {
    c.values_unsure = false;
  }
  return next_step(c), true;
}

// Whether this end of an answer can be that of what was asked. A success leaves the transaction open or not
// as the statement has it, and one that the client is told of bears a stamp.
bool Engine::fits(const Server& c, char state) const {
  if (c.stage == Server::Stage::kCleanup) return state == 'I';
  if (!c.completed) return true;
  if (c.stage == Server::Stage::kSetup) {
    // Of a client that has gone the statement is not known any more: what follows puts all of it in order.
    if (c.script.empty()) return true;
    bool begin = c.script.front().ends_with("BEGIN") || c.script.front().ends_with("BEGIN FETCH");
    return (state == 'T') == (begin || c.in_tx) && state != 'E';
  }
  if (c.stamp.empty() || c.stamp == "-") return false;
  auto s = sessions_.find(c.session);
  if (s == sessions_.end()) return true;
  bool open = s->second.state == 'T' && s->second.work.verb != Verb::kCommit;
  return state == (open ? 'T' : 'I');
}

// A setup statement met an error: the client's statement has not run.
void Engine::setup_failed(Server& c, char) {
  Session* s = find(c.session);
  std::string code = c.error_code;
  InstanceId instance = c.instance;
  Pool& p = pools_[instance];
  if (code == "LAGGING") p.lagging_until = now_ + kLaggingAvoidMs;
  bool begin = !c.script.empty() && c.script.front().find("BEGIN") != std::string::npos;
  c.session = 0;
  if (s) s->conn = 0;
  if (begin && !c.in_tx)
    give_back(c);
  else
    drop_server(c.id, false);
  if (!s) return;
  s->work.tried.push_back(instance);
  work_lost(*s, false);
}

void Engine::statement_done(Server& c, const sql_protocol::Idle& idle) {
  Pool& p = pools_[c.instance];
  Session* s = find(c.session);
  if (!s) {
    if (!c.in_tx) {
      if (c.tx_configured) c.values_unsure = true;
      c.tx_configured = false;
      return give_back(c);
    }
    c.values_unsure = true;
    return next_step(c);
  }
  Work& w = s->work;
  met(c.instance, c.error_code != "EXECFAILED" && c.error_code != "TIMEOUT", now_ - w.sent_at);
  if (s->route->type == RouteType::kPrimary && c.error_code != "THROTTLED") p.pace.answered(now_ - w.sent_at);
  auto& latency = p.latency[s->route->name];
  double took = double(now_ - w.sent_at);
  bool old = now_ - latency.at > kLatencyForgetMs;
  latency = {old ? took : latency.mean + (took - latency.mean) * kLatencyWeight, now_};
  double& worst = p.worst[s->route->name];
  worst = std::max(double(now_ - w.sent_at), worst * kWorstLatencyDecay);
  if (idle.position) {
    if (c.observing) {
      fresh_[c.service].observe(w.sent_at, *idle.position);
      met_positions_[c.service] = {w.sent_at, *idle.position};
    }
    if (c.error_code.empty()) {  // a result: replaced by the executing database's, as the paper has it
      s->vector = LVector(*idle.position);
      s->vector_service = c.service;
    }
  }
  bool wrote = w.verb == Verb::kCommit ? s->tx_wrote : !w.read && s->state != 'T';
  if (wrote && c.error_code.empty() && !leads(c.service, c.instance)) return server_down(c.id, false, false);
  std::string code = std::move(c.error_code), text = std::move(c.error_text);
  bool tx = s->state == 'T';
  bool movable = !tx || !s->tx_touched;
  bool again = not_run(code) || (code == "EXECFAILED" && w.read);  // a read that failed may run elsewhere
  if (!code.empty() && again && movable && may_retry(*s)) {
    if (code == "LAGGING") p.lagging_until = now_ + kLaggingAvoidMs;
    if (code == "NOTFOUND") c.prepared.clear(), c.values_unsure = true;
    if (code != "NOTFOUND") w.tried.push_back(c.instance);
    if (tx && !w.read) s->tx_wrote = false;
    s->conn = 0;
    c.session = 0;
    SessionId sid = s->id;
    if (c.in_tx)
      next_step(c);
    else
      give_back(c);
    return attempt(sid);
  }
  std::string body;
  auto& seen = routes_seen_[s->route->name];
  if (!code.empty())
    ++seen.failed;
  else if (now_ - w.began > s->route->latency_target_ms)
    ++seen.late;
  if (code.empty()) {
    body = std::move(w.rows);
    body.append("COMPLETE ").append(c.stamp).append("\r\n");
    s->tx_touched = true;
  } else {
    if (code == "LAGGING") p.lagging_until = now_ + kLaggingAvoidMs;
    body = sql_protocol::error(code, text);
  }
  char state = tx ? idle.state : 'I';
  if (!code.empty() && state == 'T') state = 'E';  // whatever went wrong in it, nothing of it will be kept
  end_work(*s);
  SessionId sid = s->id;
  if (c.tx_configured && idle.state != 'T') {
    if (!code.empty() || idle.state == 'E') c.values_unsure = true;
    c.tx_configured = false;
  }
  if (state == 'T') {
    c.stage = Server::Stage::kIdle;
    s->state = 'T';
  } else {
    s->state = state;
    s->conn = 0;
    if (state == 'I') s->route = nullptr;
    c.session = 0;
    c.stage = Server::Stage::kIdle;
  }
  answer(*s, std::move(body));
  if (state == 'T') {
    const PrimaryAssignment* l = cluster_.primary_of(c.service);
    if (l && l->suspended && suspended_since_.count(c.service) && suspended_since_[c.service] < 0 &&
        l->primary == c.instance)
      lose_transaction(*s);
  } else if (c.in_tx) {
    next_step(c);
  } else {
    give_back(c);  // it may be closed: it is not looked at any more
  }
  if (Session* x = find(sid)) pump(*x);
}

bool Engine::may_retry(const Session& s) const {
  return s.work.attempts < s.route->max_attempts && now_ < s.work.deadline;
}

// The connection under the statement is gone, or the statement could not be offered.
void Engine::work_lost(Session& s, bool sent) {
  Work& w = s.work;
  bool tx = s.state == 'T';
  bool movable = !tx || !s.tx_touched;
  timers_.cancel(w.patience);
  if ((!sent || w.read) && movable && may_retry(s)) return attempt(s.id);
  SessionId id = s.id;
  Verb verb = w.verb;
  if (s.route) ++routes_seen_[s.route->name].failed;
  bool unsure = sent && (verb == Verb::kCommit ? s.tx_wrote : !tx && !w.read);
  end_work(s);
  if (unsure) {
    s.state = 'I';
    s.route = nullptr;
    answer(s, sql_protocol::error("UNKNOWN", "the database gave no answer; the write may be kept or not"));
  } else if (tx) {
    end_transaction(s, verb == Verb::kCommit ? 'I' : 'E');
    answer(s, sql_protocol::error("ABORTED", "the database was lost and nothing of the transaction is kept"));
  } else {
    fail(s, "THROTTLED",
         "retry-after-ms=" + std::to_string(s.route ? s.route->latency_target_ms / 2 : 50) +
             " no database could run it");
  }
  if (Session* x = find(id)) pump(*x);
}

// No answer for much longer than usual.
void Engine::on_patience(SessionId id) {
  Session* s = find(id);
  if (!s || !s->work.active || !s->conn) return;
  Server* c = server(s->conn);
  if (!c) return;
  Pool& p = pools_[c->instance];
  Work& w = s->work;
  InstanceId instance = c->instance;
  bool silent = p.last_answer < w.sent_at && ++p.silent >= kSilencesUntilReport;
  // Where this node asks seldom, its next request is far off: others have met it as well.
  bool seldom = p.last_answer < w.sent_at - kRarelyUsedMs;
  if (silent || seldom) {
    p.suspected = true;
    port_.suspect(instance, silent ? Port::Trouble::kSilent : Port::Trouble::kOneMissed);
  }
  bool tx = s->state == 'T';
  bool movable = !tx || !s->tx_touched;
  bool elsewhere = w.read && movable && may_retry(*s);
  if (!elsewhere && !w.warned) {
    w.warned = true;
    w.patience = timers_.at(now_ + 2 * patience(instance, *s), [this, id] {
      if (Session* x = find(id)) {
        x->work.patience = 0;
        on_patience(id);
      }
    });
    if (silent) close_off(instance);
    return;
  }
  if (tx && w.verb != Verb::kCommit && !elsewhere) {
    // Its COMMIT has not been asked for, so closing the connection undoes it: the client may begin anew.
    ConnId conn = s->conn;
    s->conn = 0;
    drop_server(conn, false);
    w.attempts = kTimeIsOver;
    return work_lost(*s, true);
  }
  if (!elsewhere) return;
  // A read may run twice: try it elsewhere, or there again on another connection.
  if (p.last_answer < w.sent_at) met(instance, false, now_ - w.sent_at);
  ConnId conn = s->conn;
  s->conn = 0;
  c->session = 0;
  drop_server(conn, false);
  if (silent) close_off(instance);
  const PrimaryAssignment* l = cluster_.primary_of(s->route->service);
  if (!l || l->primary != instance) w.tried.push_back(instance);
  attempt(id);
}

void Engine::on_deadline(SessionId id) {
  Session* s = find(id);
  if (!s || !s->work.active) return;
  Server* c = server(s->conn);
  if (c && s->work.sent) met(c->instance, false, now_ - s->work.sent_at);
  if (c && pools_[c->instance].last_answer < s->work.sent_at) {
    pools_[c->instance].suspected = true;
    port_.suspect(c->instance, Port::Trouble::kSilent);
  }
  break_off(*s, "no database could run it in time");
}

// Ends the statement under way, wherever it is, and tells the client what is known of it.
void Engine::break_off(Session& s, std::string_view why_not_sent) {
  const SessionId id = s.id;
  const bool sent = s.work.sent && s.conn;
  drop_server(std::exchange(s.conn, 0), false);
  Session* session = find(id);  // closing a connection may give others their turn
  if (!session || !session->work.active) return;
  if (!sent) return refuse(*session, "THROTTLED", std::string(why_not_sent));
  session->work.attempts = kTimeIsOver;
  work_lost(*session, true);
}

}  // namespace pebblespindle::pooler
