// Connects a pooler engine to databases whose answers the test gives explicitly.
#pragma once
#include <gtest/gtest.h>

#include "config/configuration_reader.h"
#include "pooler/engine.h"

namespace pebblespindle::test {

using pooler::ConnectionId;
using pooler::SessionId;

struct ManualDatabases : pooler::EngineCallbacks {
  struct DatabaseConnection {
    Endpoint at;
    std::vector<std::string> pending;  // statements not yet answered
    bool open = true;
  };
  explicit ManualDatabases(int max_config_connections = 16, std::uint64_t node_seed = 7,
                           const std::string& zone = "z0")
      : engine(*this, timers, zone, 7000, node_seed) {
    engine.set_time(now);
    config = R"({"Revision":1,"Routes":[
      {"Name":"p","Hostname":"prim","RouteType":"primary","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2},
      {"Name":"b","Hostname":"bound","RouteType":"bounded","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2,"stale_ms":5000}],
      "Services":[{"Name":"s","MaxConnections":)" +
             std::to_string(max_config_connections) + "}]}";
  }
  void feed(bool suspended = false, const std::string& lead = "db0") {
    std::vector<Row> rows;
    ++sequence;
    for (auto& [key, value] : encode_configuration(*read_configuration(config)))
      rows.push_back({key, value, sequence, false});
    for (int i = 0; i < 3; ++i) {
      Instance instance{{"db" + std::to_string(i)},
                        "s",
                        "z" + std::to_string(i),
                        {"10.0.0.1", std::uint16_t(i + 1)},
                        4,
                        false,
                        i == 0,
                        1};
      instance.draining = draining.count(instance.id.value) > 0;
      rows.push_back({instance_key(instance.id), encode_instance(instance), sequence, false});
    }
    rows.push_back({primary_key("s"), encode_primary(PrimaryAssignment{{lead}, suspended, true, 1, false}),
                    sequence, false});
    engine.apply_update(sequence, rows);
  }
  void lease(Millis ms = 100000, std::size_t members = 1) {
    engine.extend_lease(now + ms, sequence, members);
  }
  void advance(Millis ms) {
    for (Millis end = now + ms; now < end;) {
      engine.set_time(++now);
      timers.run(now);
    }
  }
  void send_line(SessionId id, const std::string& line) { engine.on_client_line(id, line); }
  // Answers CONNECT and the pooler's own setup statements; leaves the clients' statements to the test.
  void serve() {
    for (bool more = true; more;) {
      more = false;
      for (auto& [id, connection] : connections) {
        if (!connection.open || connection.pending.empty()) continue;
        std::string statement = connection.pending.front();
        if (statement.starts_with("CONNECT")) {
          connection.pending.erase(connection.pending.begin());
          engine.on_database_line(id, "IDLE I 1.1");
          engine.on_database_read_end(id);
        } else if (statement.starts_with("QUERY - ") && !answers_setup_by_hand) {
          connection.pending.erase(connection.pending.begin());
          engine.on_database_line(id, "COMPLETE -");
          engine.on_database_line(id, begins_transaction(statement) ? "IDLE T 1.1" : "IDLE I 1.1");
          engine.on_database_read_end(id);
        } else {
          continue;
        }
        more = true;
        break;
      }
    }
  }
  static bool begins_transaction(const std::string& setup_statement) {
    return setup_statement.starts_with("QUERY - BEGIN") || setup_statement.starts_with("QUERY - WAITFOR");
  }
  // Answers the first client statement that waits at a database and returns that database's port; 0 if none
  // waits.
  int answer(const std::string& body) {
    serve();
    for (auto& [id, connection] : connections)
      if (connection.open && !connection.pending.empty()) {
        int port = connection.at.port;
        connection.pending.erase(connection.pending.begin());
        engine.on_database_line(id, body);
        engine.on_database_line(id, "IDLE I 1.2");
        engine.on_database_read_end(id);
        serve();
        return port;
      }
    return 0;
  }
  // Passes these lines to the engine as one read of the connection.
  void read(ConnectionId id, const std::vector<std::string>& lines_read) {
    for (auto& line : lines_read)
      if (connections[id].open) engine.on_database_line(id, line);
    if (connections[id].open) engine.on_database_read_end(id);
  }
  void connect(SessionId id, const std::string& host = "prim", const std::string& key = "a") {
    engine.on_client_connected(id);
    send_line(id, "CONNECT " + host + " " + key);
  }
  // Returns the connection on which a statement that begins with this text waits for its answer; 0 if there
  // is none.
  ConnectionId connection_with(const std::string& statement) {
    serve();
    for (auto& [id, connection] : connections)
      if (connection.open && !connection.pending.empty() &&
          connection.pending.front().starts_with("QUERY " + statement))
        return id;
    return 0;
  }
  // Answers that statement in one read. Returns false if no such statement waits.
  bool answer_to(const std::string& statement, const std::vector<std::string>& body) {
    ConnectionId id = connection_with(statement);
    if (!id) return false;
    connections[id].pending.erase(connections[id].pending.begin());
    read(id, body);
    return true;
  }
  // Returns what was sent to a session since the last call.
  std::string take_output(SessionId id) { return std::exchange(output[id], {}); }
  std::size_t open_connections() const {
    return std::size_t(
        std::count_if(connections.begin(), connections.end(), [](auto& entry) { return entry.second.open; }));
  }

  void send_to_client(SessionId id, std::string bytes) override { output[id] += bytes; }
  void close_client(SessionId id) override { ended.insert(id); }
  void open_connection(ConnectionId id, const Endpoint& at) override {
    connections[id].at = at;
    if (open_connections() > max_connections) return;  // the connection does not come up
    timers.at(now, [this, id] {
      if (connections[id].open) engine.on_connection_up(id);
    });
    advance(1);
  }
  void send_to_database(ConnectionId id, std::string bytes) override {
    written.push_back(bytes.substr(0, bytes.find("\r\n")));
    connections[id].pending.push_back(bytes.substr(0, bytes.find("\r\n")));
  }
  void close_connection(ConnectionId id, bool) override { connections[id].open = false; }
  void report_failure(const InstanceId&, FailureKind) override {}
  void report_connection_limit(const InstanceId&) override {}
  void request_quota(const std::string&, quota::Rights) override {}
  void request_position(const std::string& service) override { position_requests.push_back(service); }
  void report_slow_primary(const InstanceId&) override {}
  void report_recovered(const InstanceId&) override {}

  TimerQueue timers;
  Millis now = 10000;
  std::uint64_t sequence = 0;
  std::string config;
  std::set<std::string> draining;      // as of the next feed
  std::size_t max_connections = 99;    // connections that come up
  bool answers_setup_by_hand = false;  // the test also answers the setup statements
  std::vector<std::string> position_requests;
  pooler::Engine engine;
  std::map<ConnectionId, DatabaseConnection> connections;
  std::vector<std::string> written;  // everything sent to databases
  std::map<SessionId, std::string> output;
  std::set<SessionId> ended;
};

}  // namespace pebblespindle::test
