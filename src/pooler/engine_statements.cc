// Execution: statements on server connections, their answers, and what follows when none comes.
#include <algorithm>

#include "net/constants.h"
#include "pooler/constants.h"
#include "pooler/engine.h"

namespace pebblespindle::pooler {
using sql_protocol::Verb;

namespace {

constexpr int kNoMoreAttempts = 1 << 20;  // attempts: more than any route allows

bool not_run(std::string_view code) {
  return code == "THROTTLED" || code == "LAGGING" || code == "READONLY" || code == "WRONGNODE" ||
         code == "CONNLIMIT" || code == "NOTFOUND";
}

}  // namespace

// Brings the connection to what the session needs, then sends the statement.
void Engine::dispatch(Session& s, Connection& c) {
  StatementState& w = s.statement;
  ++w.attempts;
  w.sent = false;
  w.sent_at = now_;
  w.rows.clear();
  c.setup_steps.clear();
  if (!c.in_tx) {
    bool extra = c.values_unknown || c.prepared.size() > kMaxPreparedPerConnection;
    for (auto& [name, value] : c.values) extra = extra || !s.values.count(name);
    if (extra) {
      c.setup_steps.emplace_back("RESET");
      c.values.clear();
      c.prepared.clear();
    }
  }
  for (auto& [name, value] : s.values) {
    auto it = c.values.find(name);
    if (it == c.values.end() || it->second != value)
      c.setup_steps.push_back(std::string("CONFIGURE ").append(name).append(" ").append(value));
  }
  if (!w.prepared_shape.empty() && !c.prepared.count(w.prepared_shape)) {
    // A name never stands for another shape, also not once the list has grown too long and starts anew.
    if (shape_names_.size() >= kMaxPreparedNames) shape_names_.clear();
    auto [it, fresh] = shape_names_.emplace(w.prepared_shape, last_shape_number_ + 1);
    if (fresh) ++last_shape_number_;
    c.setup_steps.push_back("PREPARE p" + std::to_string(it->second) + " " + w.prepared_shape);
  }
  if (s.state == 'T' && !c.in_tx) {
    std::string begin = s.tx_read_only ? "BEGIN FETCH" : "BEGIN";
    if (!w.required_position.none()) begin = "WAITFOR " + w.required_position.text() + " " + begin;
    c.setup_steps.push_back(begin);
  }
  timers_.cancel(w.soft_timer);
  w.soft_timeout_extended = false;
  w.soft_timer = timers_.at(now_ + soft_timeout(c.instance, s), [this, id = s.id] {
    if (Session* x = find_session(id)) {
      x->statement.soft_timer = 0;
      on_soft_timeout(id);
    }
  });
  send_next_step(c);
}

// How long an answer of this database may take before it is missed.
Millis Engine::soft_timeout(const InstanceId& id, const Session& s) const {
  auto p = pools_.find(id);
  if (p == pools_.end()) return kInitialSoftTimeoutMs;
  auto w = p->second.slowest.find(s.route->name);
  if (w == p->second.slowest.end()) return kInitialSoftTimeoutMs;
  return std::max<Millis>(kMinSoftTimeoutMs, Millis(kSoftTimeoutFactor * w->second));
}

// Sends what comes next on this connection: a setup statement, the client's statement, or a rollback.
void Engine::send_next_step(Connection& c) {
  c.error_code.clear();
  c.error_text.clear();
  c.stamp.clear();
  c.completed = false;
  c.step_sent_at = now_;
  Session* s = find_session(c.session);
  if (!s) {
    if (!c.in_tx) return return_connection(c);
    c.stage = Connection::Stage::kCleanup;
    timers_.cancel(c.timer);
    c.timer =
        timers_.at(now_ + kServerConnectMs, [this, id = c.id] { on_connection_lost(id, false, false); });
    return callbacks_.send_to_database(c.id, sql_protocol::query("-", "ROLLBACK"));
  }
  if (!c.setup_steps.empty()) {
    c.stage = Connection::Stage::kSetup;
    return callbacks_.send_to_database(c.id, sql_protocol::query("-", c.setup_steps.front()));
  }
  StatementState& w = s->statement;
  if (w.as_primary && !(s->state == 'T' && s->tx_answered) &&
      !(has_lease() && may_confirm_commits(c.service, c.instance))) {
    // The right to ask this one has ended while the statement waited: it has not run, and looks around anew.
    SessionId id = s->id;
    --w.attempts;
    timers_.cancel(w.soft_timer);
    s->conn = c.session = 0;
    send_next_step(c);
    return route_statement(id);
  }
  c.stage = Connection::Stage::kStatement;
  std::string text = w.text;
  if (w.verb == Verb::kExecute) text = "EXECUTE " + c.prepared[w.prepared_shape] + " " + w.execute_arguments;
  if (s->state != 'T' && w.read && !w.required_position.none())
    text = "WAITFOR " + w.required_position.text() + " " + text;
  w.sent = true;
  w.sent_at = now_;
  const PrimaryAssignment* l = cluster_.primary_of(c.service);
  c.observes_position = has_lease() && l && !l->suspended && l->primary == c.instance;
  if (!w.read && w.verb != Verb::kCommit) s->tx_wrote = true;
  callbacks_.send_to_database(c.id, sql_protocol::query(w.id, text));
}

void Engine::on_database_line(ConnectionId id, std::string_view line) {
  Connection* c = find_connection(id);
  if (!c) return;
  auto rest = line;
  auto word = sql_protocol::take(rest);
  Pool& p = pools_[c->instance];
  p.last_answer = now_;
  if (p.reported_failing) {
    p.reported_failing = false;
    callbacks_.report_recovered(c->instance);
  }
  if (!c->established) {
    InstanceId instance = c->instance;
    auto ready = word == "IDLE" ? sql_protocol::parse_idle(rest) : std::nullopt;
    if (ready && ready->state == 'I') {
      c->established = c->answered = true;
      timers_.cancel(c->timer);
      if (p.opening > 0) --p.opening;
      if (p.blocked || p.probe_delay != 0) {
        ConnectionId cid = c->id;
        unblock_database(instance);
        c = find_connection(cid);
        if (!c) return;
      }
      if (ready->position) p.vector.raise(*ready->position);
      return return_connection(*c);
    }
    auto code = sql_protocol::take(rest);
    const bool is_full = word == "STMTERR" && code == "CONNLIMIT";
    if (is_full) on_connection_limit(instance);
    if (!is_full || p.blocked) extend_block(instance);
    discard_connection(id, false);
    if (p.total == p.opening) reroute_waiting(instance);
    return;
  }
  if (!handle_answer_line(*c, word, line, rest)) on_connection_lost(id, false, false);  // not understood
}

// A line of an answer. False: it is none, or it has no place there. Answers carry no name of what they
// answer, so all that tells whose they are is their order: a connection whose order is in doubt serves nobody
// any more.
bool Engine::handle_answer_line(Connection& c, std::string_view word, std::string_view line,
                                std::string_view rest) {
  if (c.stage == Connection::Stage::kIdle || c.answered)
    return false;  // nothing is asked, or it cannot be meant
  const bool decided = c.completed || !c.error_code.empty();
  if (word == "DATAROW") {
    if (decided || c.stage != Connection::Stage::kStatement) return false;
    Session* s = find_session(c.session);
    if (!s) return true;
    s->statement.rows.append(line).append("\r\n");
    return s->statement.rows.size() <= kMaxAnswerBytes;
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
  return finish_step(c, *idle);
}

void Engine::on_database_read_end(ConnectionId id) {
  if (Connection* c = find_connection(id)) c->answered = false;
}

// False: the answer does not fit what was asked.
bool Engine::finish_step(Connection& c, const sql_protocol::Idle& idle) {
  const bool was_in_tx = c.in_tx;
  if (!is_expected_state(c, idle.state)) return false;
  Pool& p = pools_[c.instance];
  p.timeouts_in_a_row = 0;
  if (idle.position) p.vector.raise(*idle.position);
  c.in_tx = idle.state != 'I';
  if (c.stage == Connection::Stage::kCleanup) {
    timers_.cancel(c.timer);
    // Values and names that were set inside of what is rolled back may be gone or not.
    if (std::exchange(c.tx_configured, false)) c.values_unknown = true;
    return return_connection(c), true;
  }
  if (!find_session(c.session)) timers_.cancel(c.timer);
  if (c.stage == Connection::Stage::kStatement) return finish_statement(c, idle), true;
  // setup
  if (!c.error_code.empty()) return on_setup_error(c, idle.state), true;
  if (!find_session(c.session)) {
    c.values_unknown = true;
    if (was_in_tx) c.tx_configured = true;
    return send_next_step(c), true;
  }
  std::string text = std::move(c.setup_steps.front());
  c.setup_steps.pop_front();
  auto st = sql_protocol::parse_statement(text);
  if (st.verb == Verb::kConfigure) {
    c.values[std::string(st.name)] = std::string(st.rest);
    if (c.in_tx) c.tx_configured = true;
  } else if (st.verb == Verb::kPrepare) {
    c.prepared[std::string(st.rest)] = std::string(st.name);
    if (c.in_tx) c.tx_configured = true;
  } else if (text == "RESET") {
    c.values_unknown = false;
  }
  return send_next_step(c), true;
}

// Whether this end of an answer can be that of what was asked. A success leaves the transaction open or not
// as the statement has it, and one that the client is told of bears a stamp.
bool Engine::is_expected_state(const Connection& c, char state) const {
  if (c.stage == Connection::Stage::kCleanup) return state == 'I';
  if (!c.completed) return true;
  if (c.stage == Connection::Stage::kSetup) {
    // Of a client that has gone the statement is not known any more: what follows puts all of it in order.
    if (c.setup_steps.empty()) return true;
    bool begin = c.setup_steps.front().ends_with("BEGIN") || c.setup_steps.front().ends_with("BEGIN FETCH");
    return (state == 'T') == (begin || c.in_tx) && state != 'E';
  }
  if (c.stamp.empty() || c.stamp == "-") return false;
  auto s = sessions_.find(c.session);
  if (s == sessions_.end()) return true;
  bool open = s->second.state == 'T' && s->second.statement.verb != Verb::kCommit;
  return state == (open ? 'T' : 'I');
}

// A setup statement met an error: the client's statement has not run.
void Engine::on_setup_error(Connection& c, char) {
  Session* s = find_session(c.session);
  std::string code = c.error_code;
  InstanceId instance = c.instance;
  Pool& p = pools_[instance];
  if (code == "LAGGING") p.lagging_until = now_ + kLaggingAvoidMs;
  bool begin = !c.setup_steps.empty() && c.setup_steps.front().find("BEGIN") != std::string::npos;
  c.session = 0;
  if (s) s->conn = 0;
  if (begin && !c.in_tx)
    return_connection(c);
  else
    discard_connection(c.id, false);
  if (!s) return;
  s->statement.tried.push_back(instance);
  on_statement_lost(*s, false);
}

void Engine::finish_statement(Connection& c, const sql_protocol::Idle& idle) {
  Pool& p = pools_[c.instance];
  Session* s = find_session(c.session);
  if (!s) {
    if (!c.in_tx) {
      if (c.tx_configured) c.values_unknown = true;
      c.tx_configured = false;
      return return_connection(c);
    }
    c.values_unknown = true;
    return send_next_step(c);
  }
  StatementState& w = s->statement;
  record_result(c.instance, c.error_code != "EXECFAILED" && c.error_code != "TIMEOUT", now_ - w.sent_at);
  if (s->route->type == RouteType::kPrimary && c.error_code != "THROTTLED")
    p.primary_latency.record(now_ - w.sent_at);
  auto& latency = p.latency[s->route->name];
  double took = double(now_ - w.sent_at);
  bool old = now_ - latency.at > kLatencyTtlMs;
  latency = {old ? took : latency.mean + (took - latency.mean) * kLatencyWeight, now_};
  double& slowest = p.slowest[s->route->name];
  slowest = std::max(double(now_ - w.sent_at), slowest * kWorstLatencyDecay);
  if (idle.position) {
    if (c.observes_position) {
      freshness_[c.service].observe(w.sent_at, *idle.position);
      observed_positions_[c.service] = {w.sent_at, *idle.position};
    }
    if (c.error_code.empty()) {  // a result: replaced by the executing database's, as the paper has it
      s->vector = LVector(*idle.position);
      s->vector_service = c.service;
    }
  }
  bool wrote = w.verb == Verb::kCommit ? s->tx_wrote : !w.read && s->state != 'T';
  if (wrote && c.error_code.empty() && !may_confirm_commits(c.service, c.instance))
    return on_connection_lost(c.id, false, false);
  std::string code = std::move(c.error_code), text = std::move(c.error_text);
  bool tx = s->state == 'T';
  bool movable = !tx || !s->tx_answered;
  bool again = not_run(code) || (code == "EXECFAILED" && w.read);  // a read that failed may run elsewhere
  if (!code.empty() && again && movable && may_retry(*s)) {
    if (code == "LAGGING") p.lagging_until = now_ + kLaggingAvoidMs;
    if (code == "NOTFOUND") c.prepared.clear(), c.values_unknown = true;
    if (code != "NOTFOUND") w.tried.push_back(c.instance);
    if (tx && !w.read) s->tx_wrote = false;
    s->conn = 0;
    c.session = 0;
    SessionId sid = s->id;
    if (c.in_tx)
      send_next_step(c);
    else
      return_connection(c);
    return route_statement(sid);
  }
  std::string body;
  auto& seen = route_counts_[s->route->name];
  if (!code.empty())
    ++seen.failed;
  else if (now_ - w.started_at > s->route->latency_target_ms)
    ++seen.late;
  if (code.empty()) {
    body = std::move(w.rows);
    body.append("COMPLETE ").append(c.stamp).append("\r\n");
    s->tx_answered = true;
  } else {
    if (code == "LAGGING") p.lagging_until = now_ + kLaggingAvoidMs;
    body = sql_protocol::error(code, text);
  }
  char state = tx ? idle.state : 'I';
  if (!code.empty() && state == 'T') state = 'E';  // whatever went wrong in it, nothing of it will be kept
  clear_statement(*s);
  SessionId sid = s->id;
  if (c.tx_configured && idle.state != 'T') {
    if (!code.empty() || idle.state == 'E') c.values_unknown = true;
    c.tx_configured = false;
  }
  if (state == 'T') {
    c.stage = Connection::Stage::kIdle;
    s->state = 'T';
  } else {
    s->state = state;
    s->conn = 0;
    if (state == 'I') s->route = nullptr;
    c.session = 0;
    c.stage = Connection::Stage::kIdle;
  }
  send_answer(*s, std::move(body));
  if (state == 'T') {
    const PrimaryAssignment* l = cluster_.primary_of(c.service);
    if (l && l->suspended && suspended_since_.count(c.service) && suspended_since_[c.service] < 0 &&
        l->primary == c.instance)
      discard_transaction(*s);
  } else if (c.in_tx) {
    send_next_step(c);
  } else {
    return_connection(c);  // it may be closed: it is not looked at any more
  }
  if (Session* x = find_session(sid)) resume_session(*x);
}

bool Engine::may_retry(const Session& s) const {
  return s.statement.attempts < s.route->max_attempts && now_ < s.statement.deadline;
}

// The connection under the statement is gone, or the statement could not be offered.
void Engine::on_statement_lost(Session& s, bool sent) {
  StatementState& w = s.statement;
  bool tx = s.state == 'T';
  bool movable = !tx || !s.tx_answered;
  timers_.cancel(w.soft_timer);
  if ((!sent || w.read) && movable && may_retry(s)) return route_statement(s.id);
  SessionId id = s.id;
  Verb verb = w.verb;
  if (s.route) ++route_counts_[s.route->name].failed;
  bool unsure = sent && (verb == Verb::kCommit ? s.tx_wrote : !tx && !w.read);
  clear_statement(s);
  if (unsure) {
    s.state = 'I';
    s.route = nullptr;
    send_answer(s,
                sql_protocol::error("UNKNOWN", "the database gave no answer; the write may be kept or not"));
  } else if (tx) {
    end_transaction(s, verb == Verb::kCommit ? 'I' : 'E');
    send_answer(
        s, sql_protocol::error("ABORTED", "the database was lost and nothing of the transaction is kept"));
  } else {
    fail_statement(s, "THROTTLED",
                   "retry-after-ms=" + std::to_string(s.route ? s.route->latency_target_ms / 2 : 50) +
                       " no database could run it");
  }
  if (Session* x = find_session(id)) resume_session(*x);
}

// No answer for much longer than usual.
void Engine::on_soft_timeout(SessionId id) {
  Session* s = find_session(id);
  if (!s || !s->statement.active || !s->conn) return;
  Connection* c = find_connection(s->conn);
  if (!c) return;
  Pool& p = pools_[c->instance];
  StatementState& w = s->statement;
  InstanceId instance = c->instance;
  bool silent = p.last_answer < w.sent_at && ++p.timeouts_in_a_row >= kTimeoutsUntilReport;
  // Where this node asks seldom, its next request is far off: others have met it as well.
  bool seldom = p.last_answer < w.sent_at - kRarelyUsedAfterMs;
  if (silent || seldom) {
    p.reported_failing = true;
    callbacks_.report_failure(instance, silent ? EngineCallbacks::FailureKind::kNoAnswers
                                               : EngineCallbacks::FailureKind::kSingleTimeout);
  }
  bool tx = s->state == 'T';
  bool movable = !tx || !s->tx_answered;
  bool elsewhere = w.read && movable && may_retry(*s);
  if (!elsewhere && !w.soft_timeout_extended) {
    w.soft_timeout_extended = true;
    w.soft_timer = timers_.at(now_ + 2 * soft_timeout(instance, *s), [this, id] {
      if (Session* x = find_session(id)) {
        x->statement.soft_timer = 0;
        on_soft_timeout(id);
      }
    });
    if (silent) block_database(instance);
    return;
  }
  if (tx && w.verb != Verb::kCommit && !elsewhere) {
    // Its COMMIT has not been asked for, so closing the connection undoes it: the client may begin anew.
    ConnectionId conn = s->conn;
    s->conn = 0;
    discard_connection(conn, false);
    w.attempts = kNoMoreAttempts;
    return on_statement_lost(*s, true);
  }
  if (!elsewhere) return;
  // A read may run twice: try it elsewhere, or there again on another connection.
  if (p.last_answer < w.sent_at) record_result(instance, false, now_ - w.sent_at);
  ConnectionId conn = s->conn;
  s->conn = 0;
  c->session = 0;
  discard_connection(conn, false);
  if (silent) block_database(instance);
  const PrimaryAssignment* l = cluster_.primary_of(s->route->service);
  if (!l || l->primary != instance) w.tried.push_back(instance);
  route_statement(id);
}

void Engine::on_deadline(SessionId id) {
  Session* s = find_session(id);
  if (!s || !s->statement.active) return;
  Connection* c = find_connection(s->conn);
  if (c && s->statement.sent) record_result(c->instance, false, now_ - s->statement.sent_at);
  if (c && pools_[c->instance].last_answer < s->statement.sent_at) {
    pools_[c->instance].reported_failing = true;
    callbacks_.report_failure(c->instance, EngineCallbacks::FailureKind::kNoAnswers);
  }
  abort_statement(*s, "no database could run it in time");
}

// Ends the statement under way, wherever it is, and tells the client what is known of it.
void Engine::abort_statement(Session& s, std::string_view why_not_sent) {
  const SessionId id = s.id;
  const bool sent = s.statement.sent && s.conn;
  discard_connection(std::exchange(s.conn, 0), false);
  Session* session = find_session(id);  // closing a connection may give others their turn
  if (!session || !session->statement.active) return;
  if (!sent) return refuse_statement(*session, "THROTTLED", std::string(why_not_sent));
  session->statement.attempts = kNoMoreAttempts;
  on_statement_lost(*session, true);
}

}  // namespace pebblespindle::pooler
