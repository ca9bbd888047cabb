// The databases, the control plane and the faults of the session simulation.
#include "pooler/session_cluster.h"

#include <cstdlib>

#include "config/config_delivery.h"

namespace pebblespindle::test {
namespace {

bool means_not_run(const std::string& code) {  // the error codes for which the protocol guarantees it
  return code == "THROTTLED" || code == "NOTFOUND" || code == "LAGGING" || code == "READONLY";
}

}  // namespace

SessionSimulation::SessionSimulation(std::uint32_t seed, SessionFaultRates faults)
    : rng_(seed), faults_(faults) {
  std::string routes;
  for (auto* route_type : {"primary", "bounded"})
    routes +=
        std::string(routes.empty() ? "" : ",") + R"({"Name":")" + route_type + R"(","Hostname":")" +
        route_type + R"(","RouteType":")" + route_type +
        R"(","TimeoutMs":800,"TargetLatencyMs":200,"TargetService":"s","MaxAttempts":3,"stale_ms":400})";
  const std::string body =
      R"({"Revision":1,"Routes":[)" + routes + R"(],"Services":[{"Name":"s","MaxConnections":9}],
    "Tenants":[{"Name":"ann","ApiKeys":["ka"]},{"Name":"bob","ApiKeys":["kb"],"RatePerS":500,"BurstLimit":50}],"Limits":{"TransactionIdleMs":300}})";
  feed(put_configuration(0, body));
  for (int i = 0; i < 3; ++i) {
    databases_.push_back({"db" + std::to_string(i), 0, 1, chance(0.5)});
    feed(put_instance(instance(i)));
  }
  if (const Row* row = controller_state_.find(primary_key("s"));
      !row || !decode_primary(row->value) || decode_primary(row->value)->suspended)
    feed(assign_primary("s", row ? row->value : "", PrimaryAssignment{{"db0"}, false, false, 1, false}));
  for (int i = 0; i < 9; ++i) {
    Client client;
    client.index = i;
    client.tenant = i % 3 ? "ann" : "bob";
    clients_.push_back(client);
  }
  start_pooler();
}

Instance SessionSimulation::instance(int db) const {
  return {{databases_[std::size_t(db)].name},
          "s",
          "z" + std::to_string(db),
          {"10.0.0.1", std::uint16_t(1000 + db)},
          4,
          false,
          db == primary_,
          std::uint64_t(now_)};
}

void SessionSimulation::grant() {
  engine_->note_controller_clock(incarnation_, now_);
  engine_->extend_lease(now_ + 950, controller_state_.last_sequence(), 1);
}

void SessionSimulation::request_quota(const std::string& tenant, quota::Rights want) {
  if (chance(faults_.lost * 5)) return;
  later(1 + pick(20), [this, tenant, want, incarnation = incarnation_] {
    if (incarnation == incarnation_)
      engine_->on_quota_granted(tenant, "core",
                                granted_quota_[tenant] += chance(faults_.refuse * 5) ? 0 : want);
  });
}

void SessionSimulation::request_position(const std::string& service) {
  if (chance(faults_.lost * 5)) return;
  later(1 + pick(20), [this, service, requested_at = now_, incarnation = incarnation_] {
    if (incarnation != incarnation_) return;
    engine_->on_position_reply(service, requested_at - 50,
                               chance(0.8) ? std::optional(Position{1, 1}) : std::nullopt);
  });
}

void SessionSimulation::feed(const Json& update) {
  auto validated = validate_command(controller_state_, update);
  ASSERT_TRUE(validated.status.is_ok());
  std::uint64_t sequence = controller_state_.last_sequence() + 1;
  for (auto& row : validated.rows) row.sequence = sequence, controller_state_.put(row);
  if (engine_) feed_engine();
}

void SessionSimulation::feed_engine() {
  if (agent_cache_.sequence() >= controller_state_.last_sequence()) return;
  for (auto& line : encode_update_lines(agent_cache_.sequence(), controller_state_.last_sequence(),
                                        controller_state_.rows_after(agent_cache_.sequence()))) {
    auto taken = agent_cache_.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1));
    if (taken.forward.empty()) continue;
    Json message = Json::parse(taken.forward);
    engine_->apply_update(message["k"], *decode_rows(message["r"]), message.value("whole", false));
  }
}

// Restarts the pooler: its connections end at both sides; statements in flight may or may not have run.
void SessionSimulation::start_pooler() {
  for (auto& [id, connection] : connections_)
    while (!connection.lost && !connection.unread.empty() && chance(0.8)) {
      std::string line = std::move(connection.unread.front());
      connection.unread.pop_front();
      connection.open = false;
      run(id, line);
    }
  ++incarnation_;
  connections_.clear();
  for (auto& client : clients_) reset_client(client);
  engine_.reset();
  timers_ = std::make_unique<TimerQueue>();
  engine_ = std::make_unique<pooler::Engine>(*this, *timers_, "z1", 7000, rng_());
  engine_->set_time(now_);
  agent_cache_ = StateCache();
  granted_quota_.clear();
  shutting_down_ = false;
  feed_engine();
  grant();
}

void SessionSimulation::step() {
  ++now_;
  engine_->set_time(now_);
  while (!events_.empty() && events_.top().at <= now_) {
    auto action = events_.top().action;
    events_.pop();
    action();
  }
  timers_->run(now_);
  for (auto& client : clients_) step_client(client);
  if (now_ % 300 == 0 && now_ >= lapse_until_) grant();
  if (now_ % 250 == 0) engine_->close_idle_connections();
  if (chance(faults_.lapse)) lapse_until_ = now_ + 1500;
  if (chance(faults_.stall)) databases_[std::size_t(pick(3))].stalled_until = now_ + 20 + pick(1500);
  if (chance(faults_.reset) && !connections_.empty()) {
    auto it = std::next(connections_.begin(), pick(int(connections_.size())));
    int db = it->second.db;
    bool all = chance(0.2);  // the whole database
    std::vector<pooler::ConnectionId> ids;
    for (auto& [id, connection] : connections_)
      if (all ? connection.db == db : id == it->first) ids.push_back(id);
    for (auto id : ids) reset_connection(id);
  }
  if (chance(faults_.stray) && !connections_.empty()) {  // an answer without a request
    auto it = std::next(connections_.begin(), pick(int(connections_.size())));
    if (it->second.open && it->second.pending_answers == 0) {
      pooler::ConnectionId id = it->first;
      for (auto* line : {"DATAROW r", "COMPLETE stray", "IDLE I 1.1"})
        if (!chance(0.3)) engine_->on_database_line(id, line);
      engine_->on_database_read_end(id);
    }
  }
  if (chance(faults_.agent)) {  // the restarted agent gets the whole state
    agent_cache_ = StateCache();
    feed_engine();
  }
  if (!shutting_down_ && chance(faults_.pooler)) {
    if (chance(0.5)) return start_pooler();
    shutting_down_ = true;  // an orderly shutdown
    engine_->begin_shutdown();
    engine_->close_idle_sessions();
    later(100 + pick(300), [this, incarnation = incarnation_] {
      if (incarnation == incarnation_) engine_->stop_accepting_statements();
    });
    later(430, [this, incarnation = incarnation_] {
      if (incarnation == incarnation_) engine_->abort_sessions();
    });
    later(450, [this, incarnation = incarnation_] {
      if (incarnation == incarnation_) start_pooler();
    });
  }
  if (removed_replica_ >= 0 && (faults_.leave == 0 || chance(0.005))) {
    feed(put_instance(instance(std::exchange(removed_replica_, -1))));
  } else if (removed_replica_ < 0 && !suspended_ && chance(faults_.leave)) {
    removed_replica_ = (primary_ + 1 + pick(2)) % 3;
    feed(remove_instance({databases_[std::size_t(removed_replica_)].name}));
  }
  promote();
}

void SessionSimulation::promote() {
  const std::string expected(controller_state_.find(primary_key("s"))->value);
  if (!suspended_ && chance(faults_.promote)) {
    suspended_ = true;
    suspended_at_ = now_;
    feed(assign_primary("s", expected,
                        PrimaryAssignment{{databases_[std::size_t(primary_)].name},
                                          true,
                                          chance(0.5),
                                          databases_[std::size_t(primary_)].term,
                                          false}));
  } else if (suspended_ && (now_ > suspended_at_ + 1100 ||
                            (now_ > suspended_at_ + 50 &&
                             engine_->acknowledged_sequence() == controller_state_.last_sequence()))) {
    suspended_ = false;
    std::uint64_t term = databases_[std::size_t(primary_)].term + 1;
    int next = (primary_ + 1 + pick(2)) % 3;
    primary_ = next == removed_replica_ ? 3 - next - primary_ : next;
    databases_[std::size_t(primary_)].term = term;
    feed(assign_primary(
        "s", expected,
        PrimaryAssignment{{databases_[std::size_t(primary_)].name}, false, false, term, false}));
  }
}

void SessionSimulation::stop_faults() {
  faults_ = {};
  lapse_until_ = 0;
  for (auto& database : databases_) database.stalled_until = 0;
}

void SessionSimulation::check_recovery() {
  int before = served;
  for (int i = 0; i < 1700; ++i) step();
  EXPECT_GT(served, before + 30) << "too few statements served after the faults have stopped";
  for (auto& client : clients_) {
    if (client.open) engine_->on_client_closed(client.session);
    reset_client(client);
    client.next = now_ + 100000;
  }
  for (int i = 0; i < 1300; ++i) step();
  EXPECT_EQ(engine_->session_count(), 0u);
  for (auto& [id, connection] : connections_)
    EXPECT_TRUE(!connection.open || (connection.pending_answers == 0 && connection.state == 'I'))
        << "an unused connection has a pending answer or an open transaction";
}

// --- the databases -------------------------------------------------------------------

void SessionSimulation::open_connection(pooler::ConnectionId id, const Endpoint& at) {
  auto& connection = connections_[id];
  connection.db = at.port - 1000;
  connection.pending_answers = 1;
  later(1 + pick(3), [this, id, incarnation = incarnation_] {
    if (incarnation == incarnation_ && connections_[id].open) engine_->on_connection_up(id);
  });
}

void SessionSimulation::send_to_database(pooler::ConnectionId id, std::string bytes) {
  auto& connection = connections_[id];
  EXPECT_TRUE(connection.open) << "written to a connection that was closed";
  for (auto& line : split(bytes)) {
    std::string_view rest = line;
    if (sql_protocol::take(rest) == "QUERY") {
      ++connection.pending_answers;
      EXPECT_EQ(connection.pending_answers, 1) << "a second statement before the first is answered";
      std::string statement_id(sql_protocol::take(rest));
      if (statement_id != "-") {
        auto sent = statements_.find(statement_id);
        ASSERT_TRUE(sent != statements_.end()) << "UNASKED: " << line;
        if (sent->second.write || sent->second.commit) {
          EXPECT_TRUE(sent->second.not_run)
              << "TWICE: " << line << " is written again, and may have run where it was written first";
          EXPECT_FALSE(refused_as_not_run_.count(statement_id))
              << "sent again after it was reported as not run: " << line;
          sent->second.not_run = false;
        }
      }
    }
    Millis delay = 1 + pick(2);
    later(delay, [this, id, incarnation = incarnation_, line] {
      if (incarnation != incarnation_ || connections_[id].lost) return;
      connections_[id].unread.push_back(line);
      read_at_database(id);
    });
  }
}

void SessionSimulation::close_connection(pooler::ConnectionId id, bool orderly) {
  auto& connection = connections_[id];
  if (!connection.open) return;
  connection.open = false;
  if (!orderly && chance(0.4)) {  // lines that the database has not read are lost
    connection.lost = true;
    return;
  }
  later(3, [this, id, incarnation = incarnation_] {
    if (incarnation != incarnation_ || connections_[id].lost) return;
    connections_[id].unread.push_back("CLOSE");
    read_at_database(id);
  });
}

void SessionSimulation::reset_connection(pooler::ConnectionId id) {
  auto& connection = connections_[id];
  if (!connection.open) return;
  if (chance(0.5)) {
    connection.lost = true;
  } else {
    later(3, [this, id, incarnation = incarnation_] {
      if (incarnation == incarnation_ && !connections_[id].lost)
        connections_[id].unread.push_back("CLOSE"), read_at_database(id);
    });
  }
  later(pick(3), [this, id, incarnation = incarnation_] {
    if (incarnation != incarnation_ || !connections_[id].open) return;
    engine_->on_connection_lost(id, false, false);
    EXPECT_FALSE(connections_[id].open);
  });
}

void SessionSimulation::read_at_database(pooler::ConnectionId id) {
  auto& connection = connections_[id];
  Millis stall_end = databases_[std::size_t(connection.db)].stalled_until;
  if (stall_end > now_)
    return later(stall_end - now_, [this, id, incarnation = incarnation_] {
      if (incarnation == incarnation_) read_at_database(id);
    });
  while (!connection.lost && !connection.unread.empty()) {
    std::string line = std::move(connection.unread.front());
    connection.unread.pop_front();
    run(id, line);
  }
}

void SessionSimulation::run(pooler::ConnectionId id, const std::string& line) {
  auto& connection = connections_[id];
  std::string_view rest = line;
  auto word = sql_protocol::take(rest);
  if (word == "CONNECT") {
    EXPECT_EQ(sql_protocol::take(rest), "s");
    connection.tenant = std::string(sql_protocol::take(rest));
    if (!chance(faults_.refuse)) return reply(id, {"IDLE I 1.1"}, "", "");
    return reply(id, {"STMTERR CONNLIMIT full"}, "", "");
  }
  if (word != "QUERY") {
    connection.lost = true;  // an open transaction is rolled back
    return;
  }
  Database& database = databases_[std::size_t(connection.db)];
  const std::string statement_id(sql_protocol::take(rest));
  std::string code;
  bool wrote = false;
  std::string body = statement(connection, database, statement_id, rest, code, wrote);
  std::vector<std::string> lines = split(body);
  if (!code.empty()) {
    if (connection.state == 'T') connection.state = 'E';
    lines = {"STMTERR " + code + " x"};
  }
  lines.push_back(std::string("IDLE ") + connection.state + " " + std::to_string(database.term) + "." +
                  std::to_string(commits + 1));
  reply(id, std::move(lines), statement_id, code);
}

std::string SessionSimulation::statement(DatabaseConnection& connection, Database& database,
                                         const std::string& statement_id, std::string_view text,
                                         std::string& code, bool& wrote) {
  const bool is_primary = &database == &databases_[std::size_t(primary_)];
  if (text.starts_with("WAITFOR ")) {
    sql_protocol::take(text);
    sql_protocol::take(text);
  }
  auto parsed = sql_protocol::parse_statement(text);
  if (connection.state == 'E' && parsed.verb != sql_protocol::Verb::kRollback) return code = "MALFORMED", "";
  auto end_transaction = [&] {
    if (database.rollback_reverts_values)
      connection.values = connection.values_before, connection.prepared = connection.prepared_before;
    connection.state = 'I';
    connection.writes.clear();
    connection.transaction = 0;
  };
  if (statement_id == "-") {
    if (chance(faults_.refuse)) return code = "THROTTLED", "";
    if (text == "RESET") connection.values.clear(), connection.prepared.clear();
    if (parsed.verb == sql_protocol::Verb::kConfigure)
      connection.values[std::string(parsed.name)] = std::string(parsed.rest);
    if (parsed.verb == sql_protocol::Verb::kPrepare)
      connection.prepared[std::string(parsed.name)] = std::string(parsed.rest);
    if (parsed.verb == sql_protocol::Verb::kRollback) end_transaction();
    if (parsed.verb == sql_protocol::Verb::kBegin) {
      EXPECT_EQ(connection.state, 'I');
      if (!is_primary && !parsed.read_only) return code = "READONLY", "";
      connection.state = 'T';
      connection.values_before = connection.values;
      connection.prepared_before = connection.prepared;
      connection.writes.clear();
      connection.transaction = 0;
    }
    return "COMPLETE -\r\n";
  }
  const SentStatement& sent = statements_.at(statement_id);
  EXPECT_TRUE(sent.runs) << "UNASKED: " << text;
  EXPECT_EQ(connection.tenant, clients_[std::size_t(sent.client)].tenant) << "a connection of another tenant";
  if (sent.shape.empty()) {
    EXPECT_EQ(std::string(text), sent.text) << "UNASKED: the text was changed";
  } else {
    EXPECT_EQ(connection.prepared[std::string(parsed.name)], sent.shape)
        << "PINNED: a prepared name of another shape";
  }
  EXPECT_EQ(connection.values, sent.values) << "PINNED: other session values for " << sent.text;
  EXPECT_EQ(connection.state == 'T', sent.transaction != 0) << "PINNED: outside its transaction";
  if (sent.transaction && connection.transaction == 0) connection.transaction = sent.transaction;
  EXPECT_EQ(connection.transaction, sent.transaction) << "PINNED: in another transaction";
  if (chance(faults_.refuse))
    return code = chance(0.5) ? "THROTTLED" : sent.write ? "EXECFAILED" : "LAGGING", "";
  if (sent.write && !is_primary) return code = "READONLY", "";
  std::vector<std::string> rows;
  if (sent.commit) {
    auto writes = connection.writes;
    if (!writes.empty() && !is_primary) return code = "READONLY", "";
    connection.state = 'I';
    connection.writes.clear();
    connection.transaction = 0;
    commit(writes);
  } else if (sent.write) {
    if (connection.state == 'T')
      connection.writes.push_back(statement_id);
    else
      commit({statement_id});
  } else {
    for (int i = pick(4); i > 0; --i) rows.push_back("r" + std::to_string(++last_run_));
  }
  wrote = sent.write;
  if (chance(faults_.refuse) && !sent.transaction)
    return code = "TIMEOUT", "";  // it has run, at least in part
  const std::string stamp = "st" + std::to_string(++last_run_);
  executions_[stamp] = {statement_id, rows};
  std::string body;
  for (auto& row : rows) body += "DATAROW " + row + "\r\n";
  return body + "COMPLETE " + stamp + "\r\n";
}

void SessionSimulation::commit(const std::vector<std::string>& writes) {
  ++commits;
  for (auto& write : writes) {
    EXPECT_TRUE(committed_.insert(write).second) << "TWICE: " << write;
    EXPECT_FALSE(refused_as_not_run_.count(write))
        << "REFUSED: " << write << " is committed after it was reported as not run";
  }
}

// Sends an answer, with faults: it may be late, lost, truncated, duplicated, followed by other lines, or
// invalid.
void SessionSimulation::reply(pooler::ConnectionId id, std::vector<std::string> lines,
                              const std::string& statement_id, const std::string& code) {
  if (!connections_[id].open) return;
  std::size_t answer_size = lines.size();
  if (!statement_id.empty() && chance(faults_.invalid)) {
    switch (pick(4)) {
      case 0:  // the end of one answer behind the end of another
        lines.insert(lines.end() - 1, "DATAROW other");
        break;
      case 1:
        lines.insert(lines.end() - 1, "COMPLETE other");
        break;
      case 2:  // no outcome
        lines.erase(lines.end() - 2);
        break;
      default:
        if (!code.empty())
          lines.back() = "IDLE X -";
        else if (statement_id != "-" && chance(0.5))
          lines[lines.size() - 2] = "COMPLETE -";
        else
          lines.back()[5] = lines.back()[5] == 'I' ? 'T' : 'I';
    }
    answer_size = lines.size();
  } else if (chance(faults_.duplicate)) {
    auto duplicate_lines = lines;
    lines.insert(lines.end(), duplicate_lines.begin(), duplicate_lines.end());
  } else if (chance(faults_.trailing)) {
    const char* tails[] = {"DATAROW r", "COMPLETE st", "STMTERR THROTTLED x", "IDLE I 1.1", "HUM", ""};
    lines.push_back(tails[pick(6)]);
  } else if (chance(faults_.truncated)) {
    lines.resize(std::size_t(pick(int(lines.size()))));
    deliver(id, lines, statement_id, "", 0);
    return later(6, [this, id, incarnation = incarnation_] {
      if (incarnation == incarnation_) reset_connection(id);
    });
  }
  deliver(id, std::move(lines), statement_id, code, answer_size);
}

void SessionSimulation::deliver(pooler::ConnectionId id, std::vector<std::string> lines,
                                const std::string& statement_id, const std::string& code,
                                std::size_t answer_size) {
  auto& connection = connections_[id];
  if (chance(faults_.lost)) {
    if (chance(0.3)) return;
    connection.last_sent = std::max(connection.last_sent, now_ + 100 + pick(2500));
  }
  connection.last_sent = std::max(connection.last_sent, now_ + 1 + pick(4));
  // A read may end anywhere before the end of the answer; lines behind the answer come in the same read as
  // its end.
  std::size_t cut = chance(0.3) && answer_size > 1 ? std::size_t(pick(int(answer_size))) : 0;
  auto pass_on = [this, id, incarnation = incarnation_, statement_id, code, answer_size](
                     std::vector<std::string> part, bool last) {
    if (incarnation != incarnation_ || !connections_[id].open) return;
    if (last && answer_size > 0) {
      --connections_[id].pending_answers;
      if (means_not_run(code)) statements_[statement_id].not_run = true;
    }
    for (auto& line : part)
      if (connections_[id].open) engine_->on_database_line(id, line);
    if (connections_[id].open) engine_->on_database_read_end(id);
  };
  std::vector<std::string> first_part(lines.begin(),
                                      lines.begin() + std::ptrdiff_t(std::min(cut, lines.size())));
  lines.erase(lines.begin(), lines.begin() + std::ptrdiff_t(first_part.size()));
  if (!first_part.empty())
    later(connection.last_sent - now_, [pass_on, first_part] { pass_on(first_part, false); });
  connection.last_sent += first_part.empty() ? 0 : pick(3);
  later(connection.last_sent - now_, [pass_on, lines] { pass_on(lines, true); });
}

}  // namespace pebblespindle::test
