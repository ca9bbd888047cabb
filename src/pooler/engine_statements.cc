// Execution of statements on database connections: setup, answers, timeouts and retries.
#include <algorithm>

#include "net/constants.h"
#include "pooler/constants.h"
#include "pooler/engine.h"

namespace pebblespindle::pooler {
using sql_protocol::Verb;

namespace {

constexpr int kNoMoreAttempts = 1 << 20;  // attempts; more than any route allows, which rules out a retry

bool not_run(std::string_view code) {
  return code == "THROTTLED" || code == "LAGGING" || code == "READONLY" || code == "WRONGNODE" ||
         code == "CONNLIMIT" || code == "NOTFOUND";
}

}  // namespace

// Sets up the connection with the values, prepared statement and transaction of the session, then sends the
// statement.
void Engine::dispatch(Session& session, Connection& connection) {
  StatementState& statement = session.statement;
  ++statement.attempts;
  statement.sent = false;
  statement.sent_at = now_;
  statement.rows.clear();
  connection.setup_steps.clear();
  if (!connection.in_tx) {
    bool extra = connection.values_unknown || connection.prepared.size() > kMaxPreparedPerConnection;
    for (auto& [name, value] : connection.values) extra = extra || !session.values.count(name);
    if (extra) {
      connection.setup_steps.push_back(SetupStep::reset());
      connection.values.clear();
      connection.prepared.clear();
    }
  }
  for (auto& [name, value] : session.values) {
    auto it = connection.values.find(name);
    if (it == connection.values.end() || it->second != value)
      connection.setup_steps.push_back(SetupStep::configure(name, value));
  }
  if (!statement.prepared_shape.empty() && !connection.prepared.count(statement.prepared_shape)) {
    // Numbers go on after the list was cleared, so that a name never stands for two prepared statements.
    if (shape_names_.size() >= kMaxPreparedNames) shape_names_.clear();
    auto [it, fresh] = shape_names_.emplace(statement.prepared_shape, last_shape_number_ + 1);
    if (fresh) ++last_shape_number_;
    connection.setup_steps.push_back(
        SetupStep::prepare("p" + std::to_string(it->second), statement.prepared_shape));
  }
  if (session.state == 'T' && !connection.in_tx) {
    std::string begin = session.tx_read_only ? "BEGIN FETCH" : "BEGIN";
    if (!statement.required_position.none())
      begin = "WAITFOR " + statement.required_position.text() + " " + begin;
    connection.setup_steps.push_back(SetupStep::begin(begin));
  }
  timers_.cancel(statement.soft_timer);
  statement.soft_timeout_extended = false;
  statement.soft_timer =
      timers_.at(now_ + soft_timeout(connection.instance, session), [this, id = session.id] {
        if (Session* live_session = find_session(id)) {
          live_session->statement.soft_timer = 0;
          on_soft_timeout(id);
        }
      });
  send_next_step(connection);
}

// How long an answer of this database may take, in ms, before a read is retried elsewhere.
Millis Engine::soft_timeout(const InstanceId& id, const Session& session) const {
  auto pool = pools_.find(id);
  if (pool == pools_.end()) return kInitialSoftTimeoutMs;
  auto slowest = pool->second.slowest.find(session.route->name);
  if (slowest == pool->second.slowest.end()) return kInitialSoftTimeoutMs;
  return std::max<Millis>(kMinSoftTimeoutMs, Millis(kSoftTimeoutFactor * slowest->second));
}

// Sends what comes next on this connection: a setup statement, the client's statement, or a rollback.
void Engine::send_next_step(Connection& connection) {
  connection.error_code.clear();
  connection.error_text.clear();
  connection.stamp.clear();
  connection.completed = false;
  connection.step_sent_at = now_;
  Session* session = find_session(connection.session);
  if (!session) {
    if (!connection.in_tx) return return_connection(connection);
    connection.stage = Connection::Stage::kCleanup;
    timers_.cancel(connection.timer);
    connection.timer = timers_.at(now_ + kServerConnectMs,
                                  [this, id = connection.id] { on_connection_lost(id, false, false); });
    return callbacks_.send_to_database(connection.id, sql_protocol::query("-", "ROLLBACK"));
  }
  if (!connection.setup_steps.empty()) {
    connection.stage = Connection::Stage::kSetup;
    return callbacks_.send_to_database(connection.id,
                                       sql_protocol::query("-", connection.setup_steps.front().text));
  }
  StatementState& statement = session->statement;
  if (statement.as_primary && !(session->state == 'T' && session->tx_answered) &&
      !(has_lease() && may_confirm_commits(connection.service, connection.instance))) {
    // The lease or the role of the primary ended while the statement waited. It has not run and is routed
    // again.
    SessionId id = session->id;
    --statement.attempts;
    timers_.cancel(statement.soft_timer);
    session->conn = connection.session = 0;
    send_next_step(connection);
    return route_statement(id);
  }
  connection.stage = Connection::Stage::kStatement;
  std::string text = statement.text;
  if (statement.verb == Verb::kExecute)
    text = "EXECUTE " + connection.prepared[statement.prepared_shape] + " " + statement.execute_arguments;
  if (session->state != 'T' && statement.read && !statement.required_position.none())
    text = "WAITFOR " + statement.required_position.text() + " " + text;
  statement.sent = true;
  statement.sent_at = now_;
  const PrimaryAssignment* lead = cluster_.primary_of(connection.service);
  connection.observes_position =
      has_lease() && lead && !lead->suspended && lead->primary == connection.instance;
  if (!statement.read && statement.verb != Verb::kCommit) session->tx_wrote = true;
  callbacks_.send_to_database(connection.id, sql_protocol::query(statement.id, text));
}

void Engine::on_database_line(ConnectionId id, std::string_view line) {
  Connection* connection = find_connection(id);
  if (!connection) return;
  auto rest = line;
  auto word = sql_protocol::take(rest);
  Pool& pool = pools_[connection->instance];
  pool.last_answer = now_;
  if (pool.reported_failing) {
    pool.reported_failing = false;
    callbacks_.report_recovered(connection->instance);
  }
  if (!connection->established) {
    InstanceId instance = connection->instance;
    auto ready = word == "IDLE" ? sql_protocol::parse_idle(rest) : std::nullopt;
    if (ready && ready->state == 'I') {
      connection->established = connection->answered = true;
      timers_.cancel(connection->timer);
      if (pool.opening > 0) --pool.opening;
      if (pool.blocked || pool.probe_delay != 0) {
        ConnectionId cid = connection->id;
        unblock_database(instance);
        connection = find_connection(cid);
        if (!connection) return;
      }
      if (ready->position) pool.vector.raise(*ready->position);
      return return_connection(*connection);
    }
    auto code = sql_protocol::take(rest);
    const bool is_full = word == "STMTERR" && code == "CONNLIMIT";
    if (is_full) on_connection_limit(instance);
    if (!is_full || pool.blocked) extend_block(instance);
    discard_connection(id, false);
    if (pool.total == pool.opening) reroute_waiting(instance);
    return;
  }
  if (!handle_answer_line(*connection, word, line, rest))
    on_connection_lost(id, false, false);  // protocol violation
}

// Handles one line of an answer. Returns false if the line is not valid at this point, and the caller then
// closes the connection. Answers do not name their statement and are matched by order alone, so that a
// connection whose order is in doubt must not be reused.
bool Engine::handle_answer_line(Connection& connection, std::string_view word, std::string_view line,
                                std::string_view rest) {
  if (connection.stage == Connection::Stage::kIdle || connection.answered)
    return false;  // no statement is open, or the answer is over
  const bool decided = connection.completed || !connection.error_code.empty();
  if (word == "DATAROW") {
    if (decided || connection.stage != Connection::Stage::kStatement) return false;
    Session* session = find_session(connection.session);
    if (!session) return true;
    session->statement.rows.append(line).append("\r\n");
    return session->statement.rows.size() <= kMaxAnswerBytes;
  }
  if (word == "COMPLETE") {
    if (decided) return false;
    connection.completed = true;
    connection.stamp = std::string(rest);
    return true;
  }
  if (word == "STMTERR") {
    if (decided) return false;
    connection.error_code = std::string(sql_protocol::take(rest));
    connection.error_text = std::string(rest);
    return !connection.error_code.empty();
  }
  auto idle = word == "IDLE" ? sql_protocol::parse_idle(rest) : std::nullopt;
  if (!idle || !decided) return false;
  connection.answered = true;  // the rest of this read was written before the next statement was sent
  return finish_step(connection, *idle);
}

void Engine::on_database_read_end(ConnectionId id) {
  if (Connection* connection = find_connection(id)) connection->answered = false;
}

// Handles the end of an answer. Returns false if the answer does not fit the statement.
bool Engine::finish_step(Connection& connection, const sql_protocol::Idle& idle) {
  const bool was_in_tx = connection.in_tx;
  if (!is_expected_state(connection, idle.state)) return false;
  Pool& pool = pools_[connection.instance];
  pool.timeouts_in_a_row = 0;
  if (idle.position) pool.vector.raise(*idle.position);
  connection.in_tx = idle.state != 'I';
  if (connection.stage == Connection::Stage::kCleanup) {
    timers_.cancel(connection.timer);
    // A rollback may or may not undo the values and prepared statements set in its transaction.
    if (std::exchange(connection.tx_configured, false)) connection.values_unknown = true;
    return return_connection(connection), true;
  }
  if (!find_session(connection.session)) timers_.cancel(connection.timer);
  if (connection.stage == Connection::Stage::kStatement) return finish_statement(connection, idle), true;
  // setup
  if (!connection.error_code.empty()) return on_setup_error(connection, idle.state), true;
  if (!find_session(connection.session)) {
    connection.values_unknown = true;
    if (was_in_tx) connection.tx_configured = true;
    return send_next_step(connection), true;
  }
  const SetupStep step = std::move(connection.setup_steps.front());
  connection.setup_steps.pop_front();
  record_setup(connection, step);
  return send_next_step(connection), true;
}

// Notes what a setup statement that succeeded has changed on its connection.
void Engine::record_setup(Connection& connection, const SetupStep& step) {
  switch (step.kind) {
    case SetupStep::Kind::kReset:
      connection.values_unknown = false;
      return;
    case SetupStep::Kind::kConfigure:
      connection.values[step.name] = step.value;
      break;
    case SetupStep::Kind::kPrepare:
      connection.prepared[step.value] = step.name;
      break;
    case SetupStep::Kind::kBegin:
      return;
  }
  if (connection.in_tx) connection.tx_configured = true;
}

// Whether the transaction state at the end of an answer fits the statement. A success leaves a transaction
// open or not as the statement demands, and the success of a client's statement carries a stamp.
bool Engine::is_expected_state(const Connection& connection, char state) const {
  if (connection.stage == Connection::Stage::kCleanup) return state == 'I';
  if (!connection.completed) return true;
  if (connection.stage == Connection::Stage::kSetup) {
    // The client has gone and its setup steps are cleared: the cleanup that follows restores the connection.
    if (connection.setup_steps.empty()) return true;
    const bool begin = connection.setup_steps.front().kind == SetupStep::Kind::kBegin;
    return (state == 'T') == (begin || connection.in_tx) && state != 'E';
  }
  if (connection.stamp.empty() || connection.stamp == "-") return false;
  auto session = sessions_.find(connection.session);
  if (session == sessions_.end()) return true;
  bool open = session->second.state == 'T' && session->second.statement.verb != Verb::kCommit;
  return state == (open ? 'T' : 'I');
}

// A setup statement failed, so that the client's statement has not run.
void Engine::on_setup_error(Connection& connection, char) {
  Session* session = find_session(connection.session);
  std::string code = connection.error_code;
  InstanceId instance = connection.instance;
  Pool& pool = pools_[instance];
  if (code == "LAGGING") pool.lagging_until = now_ + kLaggingAvoidMs;
  const bool begin =
      !connection.setup_steps.empty() && connection.setup_steps.front().kind == SetupStep::Kind::kBegin;
  connection.session = 0;
  if (session) session->conn = 0;
  if (begin && !connection.in_tx)
    return_connection(connection);
  else
    discard_connection(connection.id, false);
  if (!session) return;
  session->statement.tried.push_back(instance);
  on_statement_lost(*session, false);
}

void Engine::finish_statement(Connection& connection, const sql_protocol::Idle& idle) {
  Pool& pool = pools_[connection.instance];
  Session* session = find_session(connection.session);
  if (!session) {
    if (!connection.in_tx) {
      if (connection.tx_configured) connection.values_unknown = true;
      connection.tx_configured = false;
      return return_connection(connection);
    }
    connection.values_unknown = true;
    return send_next_step(connection);
  }
  StatementState& statement = session->statement;
  record_result(connection.instance,
                connection.error_code != "EXECFAILED" && connection.error_code != "TIMEOUT",
                now_ - statement.sent_at);
  if (session->route->type == RouteType::kPrimary && connection.error_code != "THROTTLED")
    pool.primary_latency.record(now_ - statement.sent_at);
  auto& latency = pool.latency[session->route->name];
  double took = double(now_ - statement.sent_at);
  bool old = now_ - latency.at > kLatencyTtlMs;
  latency = {old ? took : latency.mean + (took - latency.mean) * kLatencyWeight, now_};
  double& slowest = pool.slowest[session->route->name];
  slowest = std::max(double(now_ - statement.sent_at), slowest * kWorstLatencyDecay);
  if (idle.position) {
    if (connection.observes_position) {
      freshness_[connection.service].observe(statement.sent_at, *idle.position);
      observed_positions_[connection.service] = {statement.sent_at, *idle.position};
    }
    // As in the L-vector paper, a result replaces the session's vector by that of its database.
    if (connection.error_code.empty()) {
      session->vector = LVector(*idle.position);
      session->vector_service = connection.service;
    }
  }
  bool wrote = statement.verb == Verb::kCommit ? session->tx_wrote : !statement.read && session->state != 'T';
  if (wrote && connection.error_code.empty() && !may_confirm_commits(connection.service, connection.instance))
    return on_connection_lost(connection.id, false, false);
  std::string code = std::move(connection.error_code), text = std::move(connection.error_text);
  bool in_transaction = session->state == 'T';
  bool movable = !in_transaction || !session->tx_answered;
  bool again = not_run(code) || (code == "EXECFAILED" && statement.read);  // a failed read may run elsewhere
  if (!code.empty() && again && movable && may_retry(*session)) {
    if (code == "LAGGING") pool.lagging_until = now_ + kLaggingAvoidMs;
    if (code == "NOTFOUND") connection.prepared.clear(), connection.values_unknown = true;
    if (code != "NOTFOUND") statement.tried.push_back(connection.instance);
    if (in_transaction && !statement.read) session->tx_wrote = false;
    session->conn = 0;
    connection.session = 0;
    SessionId sid = session->id;
    if (connection.in_tx)
      send_next_step(connection);
    else
      return_connection(connection);
    return route_statement(sid);
  }
  std::string body;
  auto& seen = route_counts_[session->route->name];
  if (!code.empty())
    ++seen.failed;
  else if (now_ - statement.started_at > session->route->latency_target_ms)
    ++seen.late;
  if (code.empty()) {
    body = std::move(statement.rows);
    body.append("COMPLETE ").append(connection.stamp).append("\r\n");
    session->tx_answered = true;
  } else {
    if (code == "LAGGING") pool.lagging_until = now_ + kLaggingAvoidMs;
    body = sql_protocol::error(code, text);
  }
  char state = in_transaction ? idle.state : 'I';
  if (!code.empty() && state == 'T') state = 'E';  // after any error nothing of the transaction is kept
  clear_statement(*session);
  SessionId sid = session->id;
  if (connection.tx_configured && idle.state != 'T') {
    if (!code.empty() || idle.state == 'E') connection.values_unknown = true;
    connection.tx_configured = false;
  }
  if (state == 'T') {
    connection.stage = Connection::Stage::kIdle;
    session->state = 'T';
  } else {
    session->state = state;
    session->conn = 0;
    if (state == 'I') session->route = nullptr;
    connection.session = 0;
    connection.stage = Connection::Stage::kIdle;
  }
  send_answer(*session, std::move(body));
  if (state == 'T') {
    const PrimaryAssignment* lead = cluster_.primary_of(connection.service);
    if (lead && lead->suspended && suspended_since_.count(connection.service) &&
        suspended_since_[connection.service] < 0 && lead->primary == connection.instance)
      discard_transaction(*session);
  } else if (connection.in_tx) {
    send_next_step(connection);
  } else {
    return_connection(connection);  // may close the connection: `connection` is not used afterwards
  }
  if (Session* live_session = find_session(sid)) resume_session(*live_session);
}

bool Engine::may_retry(const Session& session) const {
  return session.statement.attempts < session.route->max_attempts && now_ < session.statement.deadline;
}

// The connection of the statement is gone, or the statement could not be sent: retries it or answers the
// client.
void Engine::on_statement_lost(Session& session, bool sent) {
  StatementState& statement = session.statement;
  bool in_transaction = session.state == 'T';
  bool movable = !in_transaction || !session.tx_answered;
  timers_.cancel(statement.soft_timer);
  if ((!sent || statement.read) && movable && may_retry(session)) return route_statement(session.id);
  SessionId id = session.id;
  Verb verb = statement.verb;
  if (session.route) ++route_counts_[session.route->name].failed;
  bool unsure = sent && (verb == Verb::kCommit ? session.tx_wrote : !in_transaction && !statement.read);
  clear_statement(session);
  if (unsure) {
    session.state = 'I';
    session.route = nullptr;
    send_answer(session,
                sql_protocol::error("UNKNOWN", "the database gave no answer; the write may be kept or not"));
  } else if (in_transaction) {
    end_transaction(session, verb == Verb::kCommit ? 'I' : 'E');
    send_answer(session, sql_protocol::error("ABORTED",
                                             "the database was lost and nothing of the transaction is kept"));
  } else {
    fail_statement(
        session, "THROTTLED",
        "retry-after-ms=" + std::to_string(session.route ? session.route->latency_target_ms / 2 : 50) +
            " no database could run it");
  }
  if (Session* live_session = find_session(id)) resume_session(*live_session);
}

// An answer takes much longer than usual: a read is retried elsewhere, a write is left to run for a while.
void Engine::on_soft_timeout(SessionId id) {
  Session* session = find_session(id);
  if (!session || !session->statement.active || !session->conn) return;
  Connection* connection = find_connection(session->conn);
  if (!connection) return;
  Pool& pool = pools_[connection->instance];
  StatementState& statement = session->statement;
  InstanceId instance = connection->instance;
  bool silent = pool.last_answer < statement.sent_at && ++pool.timeouts_in_a_row >= kTimeoutsUntilReport;
  // A rarely used database is reported after one missed answer: this node's next request may be far off, and
  // the controller combines the reports of several nodes.
  bool seldom = pool.last_answer < statement.sent_at - kRarelyUsedAfterMs;
  if (silent || seldom) {
    pool.reported_failing = true;
    callbacks_.report_failure(instance, silent ? EngineCallbacks::FailureKind::kNoAnswers
                                               : EngineCallbacks::FailureKind::kSingleTimeout);
  }
  bool in_transaction = session->state == 'T';
  bool movable = !in_transaction || !session->tx_answered;
  bool elsewhere = statement.read && movable && may_retry(*session);
  if (!elsewhere && !statement.soft_timeout_extended) {
    statement.soft_timeout_extended = true;
    statement.soft_timer = timers_.at(now_ + 2 * soft_timeout(instance, *session), [this, id] {
      if (Session* live_session = find_session(id)) {
        live_session->statement.soft_timer = 0;
        on_soft_timeout(id);
      }
    });
    if (silent) block_database(instance);
    return;
  }
  if (in_transaction && statement.verb != Verb::kCommit && !elsewhere) {
    // COMMIT has not been sent, so closing the connection rolls the transaction back and the client may retry
    // it.
    ConnectionId conn = session->conn;
    session->conn = 0;
    discard_connection(conn, false);
    statement.attempts = kNoMoreAttempts;
    return on_statement_lost(*session, true);
  }
  if (!elsewhere) return;
  // A read may run twice: it is tried at another database, or at the same one on another connection.
  if (pool.last_answer < statement.sent_at) record_result(instance, false, now_ - statement.sent_at);
  ConnectionId conn = session->conn;
  session->conn = 0;
  connection->session = 0;
  discard_connection(conn, false);
  if (silent) block_database(instance);
  const PrimaryAssignment* lead = cluster_.primary_of(session->route->service);
  if (!lead || lead->primary != instance) statement.tried.push_back(instance);
  route_statement(id);
}

void Engine::on_deadline(SessionId id) {
  Session* session = find_session(id);
  if (!session || !session->statement.active) return;
  Connection* connection = find_connection(session->conn);
  if (connection && session->statement.sent)
    record_result(connection->instance, false, now_ - session->statement.sent_at);
  if (connection && pools_[connection->instance].last_answer < session->statement.sent_at) {
    pools_[connection->instance].reported_failing = true;
    callbacks_.report_failure(connection->instance, EngineCallbacks::FailureKind::kNoAnswers);
  }
  abort_statement(*session, "no database could run it in time");
}

// Ends the current statement, wherever it is, and answers the client with what is known of its outcome.
void Engine::abort_statement(Session& session, std::string_view why_not_sent) {
  const SessionId id = session.id;
  const bool sent = session.statement.sent && session.conn;
  discard_connection(std::exchange(session.conn, 0), false);
  Session* live_session = find_session(id);  // discarding a connection may run other sessions
  if (!live_session || !live_session->statement.active) return;
  if (!sent) return refuse_statement(*live_session, "THROTTLED", std::string(why_not_sent));
  live_session->statement.attempts = kNoMoreAttempts;
  on_statement_lost(*live_session, true);
}

}  // namespace pebblespindle::pooler
