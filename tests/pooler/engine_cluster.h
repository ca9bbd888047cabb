// A simulation around one pooler engine: clients, three model databases, and a control plane that changes the
// primary. Every statement that reaches a database is checked on arrival: on the right
// connection, within its transaction, fresh enough, and run at most once.
#pragma once
#include <gtest/gtest.h>

#include <random>

#include "config/configuration_reader.h"
#include "config/state_rows.h"
#include "pooler/engine.h"

namespace pebblespindle::test {

using pooler::ConnectionId;
using pooler::SessionId;

struct FaultRates {  // probabilities and limits of the faults of one run
  double lose_answer = 0, throttle = 0, reset = 0, disconnect = 0.01;
  Millis max_lag = 40;
  bool failovers = false, lease_lapses = false;
};

class EngineSimulation : public pooler::EngineCallbacks {
 public:
  EngineSimulation(std::uint32_t seed, FaultRates fault_rates)
      : rng(seed), faults(fault_rates), engine(*this, timers, "z1", 7000, seed) {
    engine.set_time(now);
    const char* config = R"({"Revision":1,"Routes":[
      {"Name":"p","Hostname":"prim","RouteType":"primary","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2},
      {"Name":"b","Hostname":"bound","RouteType":"bounded","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2,"stale_ms":400},
      {"Name":"o","Hostname":"own","RouteType":"read_your_writes","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2,"stale_ms":900}],
      "Services":[{"Name":"s","MaxConnections":16,"SyncReplicas":1}],"Limits":{"TransactionIdleMs":600}})";
    for (auto& [key, value] : encode_configuration(*read_configuration(config)))
      rows.push_back({key, value, 1, false});
    for (int i = 0; i < 3; ++i) {
      Instance instance;
      instance.id = {"db" + std::to_string(i)};
      instance.service = "s";
      instance.zone = "z" + std::to_string(i);
      instance.address = {"10.0.0.1", std::uint16_t(1000 + i)};
      instance.primary = i == 0;
      rows.push_back({instance_key(instance.id), encode_instance(instance), std::uint64_t(2 + i), false});
      databases[i].name = instance.id.value;
    }
    assign_primary(0, false, 5);
    history.push_back({0, {1, 0}});
    engine.extend_lease(now + 1500, 5, 1);
  }

  // --- the records against which the rules are checked
  struct AcknowledgedCommit {
    Millis at;
    Position position;
    int client;
  };
  struct SentStatement {  // as the client sent it
    int client = 0, session = 0;
    Millis first_byte = 0;
    std::string text, shape;  // shape: of an EXECUTE
    std::map<std::string, std::string> values;
    int tx = 0;
    char kind = 'p';
    bool write = false;
  };
  struct Database {
    std::string name;
    std::uint64_t term = 1;
    Position log_end{};  // end of its log while it does not replicate
    bool replicating = true;
    Millis lag = 5;
    mutable Position applied{};
  };
  struct DatabaseConnection {  // a connection at a database
    int db = -1;
    bool open = true, greeted = false;
    std::map<std::string, std::string> values, prepared;
    char state = 'I';
    int tx_client = -1, tx = 0;
    std::vector<std::string> tx_writes;
    bool tx_read_only = false;
    Millis last_in = 0, last_out = 0;
  };
  struct Client {
    int index = 0;
    SessionId session = 0;
    char kind = 'p';
    bool connected = false, waiting = false, closing = false;
    std::map<std::string, std::string> values, prepared;
    int tx = 0;  // 0: none open
    bool tx_read_only = false, failed = false;
    int steps = 0;
    Millis tx_began = 0;
    std::string id;  // of the statement under way
    std::string text;
    std::string error;
    bool complete = false;
    std::string stamp;
    Position own{};  // its newest acknowledged commit
    std::vector<std::string> tx_ids;
    Millis next_action_at = 0;
  };

  Position log_of(const Database& database, bool applied) const {
    if (!database.replicating) return database.log_end;
    if (&database == &databases[primary]) return history.back().second;
    Millis at = applied ? now - database.lag : now;
    Position position{};
    for (auto it = history.rbegin(); it != history.rend() && position.none(); ++it)
      if (it->first <= at) position = it->second;
    if (applied)
      // A growing lag does not move the log back.
      database.applied = position = std::max(position, database.applied);
    return position;
  }

  int pick(int n) { return int(rng() % std::uint32_t(n)); }
  bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(rng) < probability; }
  void schedule(Millis at, std::function<void()> fn) { events.emplace(at, std::move(fn)); }

  void step() {
    ++now;
    engine.set_time(now);
    while (!events.empty() && events.begin()->first <= now) {
      auto fn = std::move(events.begin()->second);
      events.erase(events.begin());
      fn();
    }
    timers.run(now);
    for (auto& client : clients) act(client);
    if (chance(0.05)) commit({}, -1, true);  // a commit through another node
    for (auto& database : databases)
      if (chance(0.01)) database.lag = 1 + pick(int(faults.max_lag));
    if (now % 300 == 0 && now >= lease_lost_until) engine.extend_lease(now + 1500, sequence, 1);
    if (faults.lease_lapses && chance(0.0005)) lease_lost_until = now + 2500;
    if (faults.failovers) step_failover();
    if (faults.reset > 0 && chance(faults.reset)) {
      for (auto& [id, connection] : connections)
        if (connection.open && chance(0.5)) {
          connection.open = false;
          schedule(now + 1, [this, id = id] { engine.on_connection_lost(id, false, false); });
        }
    }
  }

  // --- the control plane: suspend, wait for the acknowledgement or the lease, promote, announce ----
  void assign_primary(int db, bool suspended, std::uint64_t new_sequence) {
    sequence = new_sequence;
    PrimaryAssignment assignment{{databases[db].name}, suspended, planned, databases[db].term, false};
    rows.push_back({primary_key("s"), encode_primary(assignment), new_sequence, false});
    engine.apply_update(new_sequence, rows);
  }
  void step_failover() {
    if (phase == 0 && chance(0.001)) {
      planned = chance(0.5);
      phase = 1;
      suspended_at = now;
      if (now < lease_lost_until)
        ++sequence;  // the node has no lease and does not learn of the suspension
      else
        assign_primary(primary, true, sequence + 1);
    } else if (phase == 1 &&
               ((engine.acknowledged_sequence() >= sequence && engine.cluster().sequence() >= sequence) ||
                now > std::max(suspended_at, lease_lost_until) + 1600)) {
      phase = 2;
      int successor = (primary + 1 + pick(2)) % 3;
      auto& old = databases[primary];
      old.log_end = history.back().second;
      old.replicating = false;
      databases[successor].term = databases[primary].term + 1;
      history.push_back({now, {databases[successor].term, history.back().second.number}});
      int former = primary;
      primary = successor;
      databases[successor].replicating = true;
      schedule(now + 100 + pick(300), [this, successor] {
        phase = 0;
        assign_primary(successor, false, sequence + 1);
      });
      schedule(now + 1000, [this, former] { databases[former].replicating = true; });
    }
  }

  void commit(const std::vector<std::string>& writes, int client, bool acknowledged) {
    Position position = history.back().second;
    ++position.number;
    history.push_back({now, position});
    for (auto& write : writes)
      EXPECT_TRUE(committed.insert(write).second) << "TWICE: committed a second time: " << write;
    for (auto& write : writes)
      EXPECT_FALSE(promised.count(write))
          << "REFUSED: " << write << " is committed after the client was promised that it was not";
    for (auto& write : writes) commit_at[write] = position;
    if (acknowledged) acknowledged_commits.push_back({now, position, client});
  }

  // --- EngineCallbacks ---------------------------------------------------------------------------
  void send_to_client(SessionId id, std::string bytes) override {
    schedule(now + 1, [this, id, bytes = std::move(bytes)] {
      for (auto& client : clients)
        if (client.session == id && client.connected)
          for (auto& line : split(bytes)) client_receives(client, line);
    });
  }
  void close_client(SessionId id) override {
    schedule(now + 1, [this, id] {
      for (auto& client : clients)
        if (client.session == id && client.connected) {
          if (client.waiting) on_answer_lost(client);
          reset_client(client);
        }
    });
  }
  void open_connection(ConnectionId id, const Endpoint& at) override {
    connections[id].db = at.port - 1000;
    schedule(now + 3, [this, id] {
      if (connections[id].open) engine.on_connection_up(id);
    });
  }
  void close_connection(ConnectionId id, bool) override { connections[id].open = false; }
  void report_failure(const InstanceId&, FailureKind) override {}
  void report_recovered(const InstanceId&) override {}
  void report_connection_limit(const InstanceId&) override {}
  void request_quota(const std::string&, quota::Rights) override {}
  void request_position(const std::string&) override {}
  void report_slow_primary(const InstanceId&) override {}
  void send_to_database(ConnectionId id, std::string bytes) override {
    auto& connection = connections[id];
    connection.last_in = std::max(connection.last_in, now + 1 + pick(3));
    schedule(connection.last_in, [this, id, bytes = std::move(bytes)] {
      for (auto& line : split(bytes))
        if (connections[id].open) database_receives(id, line);
    });
  }
  void reply(ConnectionId id, std::string text) {
    auto& connection = connections[id];
    if (chance(faults.lose_answer)) return;
    connection.last_out = std::max(connection.last_out, now + 1 + pick(8));
    schedule(connection.last_out, [this, id, text = std::move(text)] {
      for (auto& line : split(text))
        if (connections[id].open) engine.on_database_line(id, line);
      engine.on_database_read_end(id);
    });
  }
  static std::vector<std::string> split(const std::string& bytes) {
    std::vector<std::string> out;
    for (std::size_t from = 0, nl; (nl = bytes.find("\r\n", from)) != std::string::npos; from = nl + 2)
      out.push_back(bytes.substr(from, nl - from));
    return out;
  }

  void database_receives(ConnectionId id, std::string_view line);
  std::string run_statement(DatabaseConnection& connection, Database& database, const std::string& query_id,
                            std::string_view text, std::string& error);
  void check_read(const DatabaseConnection& connection, const Database& database, const SentStatement& sent);
  void act(Client& client);
  void client_receives(Client& client, std::string_view line);
  void finished(Client& client, char state);
  void on_answer_lost(Client& client);
  void reset_client(Client& client);
  void send_statement(Client& client, const std::string& text, bool write, const std::string& shape = {});

  Millis now = 1000;
  std::mt19937 rng;
  FaultRates faults;
  TimerQueue timers;
  pooler::Engine engine;
  std::vector<Row> rows;
  Database databases[3];
  int primary = 0, phase = 0;
  bool planned = false;
  std::uint64_t sequence = 5;
  Millis suspended_at = 0, lease_lost_until = 0;
  std::vector<std::pair<Millis, Position>> history;
  std::vector<AcknowledgedCommit> acknowledged_commits;
  std::map<ConnectionId, DatabaseConnection> connections;
  std::map<std::string, SentStatement> sent_statements;
  std::set<std::string> committed, promised;
  std::map<std::string, Position> commit_at;
  std::vector<Client> clients;
  std::multimap<Millis, std::function<void()>> events;
  SessionId last_session = 0;
  int last_id = 0, last_tx = 0, served = 0, refused = 0, replica_reads = 0;
};

}  // namespace pebblespindle::test
