#include "pooler/engine_cluster.h"

namespace pebblespindle::test {

// Handles a line at a database and checks it against the rules.
void EngineSimulation::database_receives(ConnectionId id, std::string_view line) {
  auto& connection = connections[id];
  auto& database = databases[connection.db];
  auto word = sql_protocol::take(line);
  if (word == "CONNECT") return reply(id, sql_protocol::idle('I', log_of(database, true).text()));
  if (word != "QUERY") return;
  std::string query_id(sql_protocol::take(line)), error;
  std::string body = run_statement(connection, database, query_id, line, error);
  if (!error.empty()) {
    body = sql_protocol::error(error, "x");
    if (connection.state == 'T') connection.state = 'E';
  }
  reply(id, body + sql_protocol::idle(connection.state, log_of(database, true).text()));
}

std::string EngineSimulation::run_statement(DatabaseConnection& connection, Database& database,
                                            const std::string& query_id, std::string_view text,
                                            std::string& error) {
  const std::string done = "COMPLETE -\r\n";
  // A former primary accepts writes until it learns of its successor.
  bool accepts_writes = &database == &databases[primary] || !database.replicating;
  if (text.starts_with("WAITFOR ")) {
    sql_protocol::take(text);
    auto position = Position::parse(sql_protocol::take(text));
    EXPECT_TRUE(position);
    if (log_of(database, true) < *position) return error = "LAGGING", "";
  }
  auto statement = sql_protocol::parse_statement(text);
  if (text == "RESET") {
    connection.values.clear();
    connection.prepared.clear();
    return done;
  }
  if (query_id == "-") {
    if (statement.verb == sql_protocol::Verb::kConfigure)
      connection.values[std::string(statement.name)] = std::string(statement.rest);
    if (statement.verb == sql_protocol::Verb::kPrepare)
      connection.prepared[std::string(statement.name)] = std::string(statement.rest);
    if (statement.verb == sql_protocol::Verb::kBegin) {
      EXPECT_EQ(connection.state, 'I');
      if (!accepts_writes && !statement.read_only) return error = "READONLY", "";
      connection.state = 'T';
      connection.tx_client = -1;
      connection.tx_read_only = statement.read_only;
      connection.tx_writes.clear();
    }
    if (statement.verb == sql_protocol::Verb::kRollback) connection.state = 'I';
    return done;
  }
  auto found = sent_statements.find(query_id);
  if (found == sent_statements.end()) {
    ADD_FAILURE() << "UNASKED: " << query_id;
    return done;
  }
  const SentStatement& sent = found->second;
  if (connection.state == 'E') return error = "MALFORMED", "";
  if (chance(faults.throttle)) return error = "THROTTLED", "";
  if (!sent.shape.empty()) {
    EXPECT_EQ(connection.prepared[std::string(statement.name)], sent.shape)
        << "PINNED: the prepared name stands for another statement";
    EXPECT_TRUE(sent.text.ends_with(std::string(statement.rest))) << "UNASKED: " << text;
  } else {
    EXPECT_EQ(std::string(text), sent.text) << "UNASKED: the text was changed";
  }
  EXPECT_EQ(connection.values, sent.values) << "PINNED: the session values differ from the client's";
  EXPECT_EQ(connection.state == 'T', sent.tx != 0) << "PINNED: the statement runs outside its transaction";
  if (sent.tx) {
    if (connection.tx_client < 0) connection.tx_client = sent.client, connection.tx = sent.tx;
    EXPECT_EQ(connection.tx_client, sent.client)
        << "PINNED: the statement runs in the transaction of another client";
    EXPECT_EQ(connection.tx, sent.tx) << "PINNED: the statement runs in another transaction";
  }
  if (sent.write && !accepts_writes) return error = "READONLY", "";
  if (statement.verb == sql_protocol::Verb::kCommit) {
    connection.state = 'I';
    if (!connection.tx_writes.empty()) {
      if (&database != &databases[primary] || !database.replicating) return error = "READONLY", "";
      commit(connection.tx_writes, sent.client, false);
    }
  } else if (sent.write) {
    if (connection.state == 'T')
      connection.tx_writes.push_back(query_id);
    else if (&database == &databases[primary])
      commit({query_id}, sent.client, false);
    else
      return error = "READONLY", "";
  } else {
    check_read(connection, database, sent);
  }
  return "DATAROW r-" + query_id + "\r\nCOMPLETE stamp-" + query_id + "\r\n";
}

void EngineSimulation::check_read(const DatabaseConnection&, const Database& database,
                                  const SentStatement& sent) {
  Position log = log_of(database, true);
  if (&database != &databases[primary]) ++replica_reads;
  Millis stale = sent.kind == 'p' ? 0 : sent.kind == 'b' ? 400 : 900;
  for (auto it = acknowledged_commits.rbegin(); it != acknowledged_commits.rend(); ++it) {
    bool must_be_visible = it->at < sent.first_byte - stale ||
                           (sent.kind == 'o' && it->client == sent.session && it->at < sent.first_byte);
    if (must_be_visible) {
      EXPECT_GE(log, it->position) << "STALE on route " << sent.kind << " at " << database.name << ", time "
                                   << now;
    }
    if (it->at < sent.first_byte - 2000) break;
  }
}

// A client sends one statement at a time, alone or in transactions, and sometimes disconnects.
void EngineSimulation::act(Client& client) {
  if (!client.connected) {
    if (now < client.next_action_at) return;
    client.session = ++last_session;
    client.connected = client.waiting = true;
    client.id = "connect";
    engine.on_client_connected(client.session);
    engine.on_client_line(client.session, std::string("CONNECT ") +
                                              (client.kind == 'p'   ? "prim"
                                               : client.kind == 'b' ? "bound"
                                                                    : "own") +
                                              " me");
    return;
  }
  if (chance(faults.disconnect * 0.05)) {
    if (client.waiting) on_answer_lost(client);
    engine.on_client_closed(client.session);
    reset_client(client);
    return;
  }
  if (client.waiting || now < client.next_action_at) return;
  if (client.failed) return send_statement(client, chance(0.7) ? "ROLLBACK" : "COMMIT", false);
  if (client.tx && ++client.steps > 4)
    return send_statement(client, chance(0.2) ? "ROLLBACK" : "COMMIT", false);
  switch (pick(12)) {
    case 0:
      return send_statement(client, "CONFIGURE v" + std::to_string(pick(2)) + " x" + std::to_string(pick(3)),
                            false);
    case 1:
      return send_statement(client,
                            "PREPARE n" + std::to_string(pick(2)) + (chance(0.5) ? " FETCH q" : " STORE w") +
                                std::to_string(pick(2)),
                            false);
    case 2:
    case 3:
      if (client.prepared.empty()) return;
      {
        auto it = std::next(client.prepared.begin(), pick(int(client.prepared.size())));
        bool write = it->second.starts_with("STORE");
        if (write && client.tx_read_only && client.tx) return;
        return send_statement(
            client, "EXECUTE " + it->first + " t" + std::to_string(pick(5)) + (write ? " data" : ""), write,
            it->second);
      }
    case 4:
    case 5:
      if (client.tx) return;
      client.tx_read_only = chance(0.4);
      return send_statement(client, client.tx_read_only ? "BEGIN FETCH" : "BEGIN", false);
    case 6:
    case 7:
      if (client.tx && client.tx_read_only) return;
      return send_statement(client, "STORE t" + std::to_string(pick(5)) + " data", true);
    default:
      return send_statement(client, "FETCH t" + std::to_string(pick(5)), false);
  }
}

void EngineSimulation::send_statement(Client& client, const std::string& text, bool write,
                                      const std::string& shape) {
  if (text.starts_with("BEGIN"))
    client.tx = ++last_tx, client.steps = 0, client.tx_began = now, client.tx_ids.clear();
  client.id = "q" + std::to_string(++last_id);
  client.text = text;
  client.waiting = true;
  client.error.clear();
  client.complete = false;
  SentStatement sent{client.index,
                     int(client.session),
                     client.tx ? client.tx_began : now,
                     text,
                     shape,
                     client.values,
                     client.tx,
                     client.kind,
                     write};
  sent_statements[client.id] = sent;
  if (write && client.tx) client.tx_ids.push_back(client.id);
  engine.on_client_line(client.session, "QUERY " + client.id + " " + text);
}

void EngineSimulation::client_receives(Client& client, std::string_view line) {
  auto word = sql_protocol::take(line);
  if (!client.waiting) ADD_FAILURE() << "the client received an answer although no statement was pending";
  if (word == "STMTERR") {
    client.error = std::string(sql_protocol::take(line));
  } else if (word == "COMPLETE") {
    client.complete = true;
    client.stamp = std::string(line);
  } else if (word == "IDLE") {
    finished(client, line[0]);
  }
}

void EngineSimulation::finished(Client& client, char state) {
  client.waiting = false;
  client.next_action_at = now + pick(40);
  if (client.id == "connect") return;
  auto statement = sql_protocol::parse_statement(client.text);
  bool is_commit = statement.verb == sql_protocol::Verb::kCommit;
  if (client.error.empty()) {
    ++served;
    EXPECT_TRUE(client.complete);
    bool has_stamp = is_commit || statement.verb == sql_protocol::Verb::kFetch ||
                     statement.verb == sql_protocol::Verb::kStore ||
                     statement.verb == sql_protocol::Verb::kExecute;
    if (has_stamp && !client.failed) {
      EXPECT_EQ(client.stamp, "stamp-" + client.id) << "MIXED: the answer to another statement";
    }
    if (statement.verb == sql_protocol::Verb::kConfigure)
      client.values[std::string(statement.name)] = std::string(statement.rest);
    if (statement.verb == sql_protocol::Verb::kPrepare)
      client.prepared[std::string(statement.name)] = std::string(statement.rest);
    bool wrote = (is_commit && !client.tx_ids.empty()) || (!client.tx && sent_statements[client.id].write);
    if (wrote) {
      EXPECT_TRUE(committed.count(is_commit ? client.tx_ids.front() : client.id))
          << "an acknowledged write is not in the log";
      acknowledged_commits.push_back({now, history.back().second, int(client.session)});
      // The newest position may be later than the commit's own: look it up where it was kept.
      acknowledged_commits.back().position = commit_at[is_commit ? client.tx_ids.front() : client.id];
    }
  } else {
    ++refused;
    if (sql_protocol::is_promise(client.error)) {
      std::vector<std::string> ids = client.tx_ids;
      if (!client.tx) ids = {client.id};
      for (auto& id : ids) {
        EXPECT_FALSE(committed.count(id))
            << "REFUSED: " << id << " was committed, but the client received " << client.error;
        promised.insert(id);
      }
    }
  }
  client.failed = state == 'E';
  if (state == 'I') client.tx = 0, client.tx_ids.clear();
}

void EngineSimulation::on_answer_lost(Client&) {}

void EngineSimulation::reset_client(Client& client) {
  client.connected = client.waiting = client.failed = false;
  client.tx = 0;
  client.values.clear();
  client.prepared.clear();
  client.tx_ids.clear();
  client.next_action_at = now + 20 + pick(200);
}

namespace {

void run_simulation(std::uint32_t seed, FaultRates faults, int least_served) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  EngineSimulation simulation(seed, faults);
  for (int i = 0; i < 12; ++i) {
    EngineSimulation::Client client;
    client.index = i;
    client.kind = "pbo"[i % 3];
    simulation.clients.push_back(client);
  }
  for (int i = 0; i < 12000 && !testing::Test::HasFailure(); ++i) simulation.step();
  EXPECT_GT(simulation.served, least_served) << "too few statements were served";
  EXPECT_GT(simulation.replica_reads, 20) << "too few reads went to replicas";
}

TEST(Engine, KeepsTheRulesWithoutFaults) {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) run_simulation(seed, {}, 2000);
}

TEST(Engine, KeepsTheRulesWhileReplicasLag) {
  for (std::uint32_t seed = 10; seed <= 16; ++seed)
    run_simulation(seed, {.throttle = 0.02, .max_lag = 1200}, 1500);
}

TEST(Engine, KeepsTheRulesWhenAnswersAreLostAndConnectionsReset) {
  for (std::uint32_t seed = 20; seed <= 28; ++seed)
    run_simulation(seed, {.lose_answer = 0.02, .throttle = 0.02, .reset = 0.002, .disconnect = 0.05}, 800);
}

TEST(Engine, KeepsTheRulesThroughFailoversAndLostLeases) {
  for (std::uint32_t seed = 40; seed <= 52; ++seed)
    run_simulation(
        seed,
        {.lose_answer = 0.005, .throttle = 0.01, .max_lag = 300, .failovers = true, .lease_lapses = true},
        600);
}

}  // namespace
}  // namespace pebblespindle::test
