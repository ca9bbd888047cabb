// A pooler's engine against databases that a test answers for by hand.
#pragma once
#include <gtest/gtest.h>

#include "config/configuration_reader.h"
#include "pooler/engine.h"

namespace pebblespindle::test {

using pooler::ConnectionId;
using pooler::SessionId;

struct ManualDatabases : pooler::EngineCallbacks {
  struct Line {
    Endpoint at;
    std::vector<std::string> heard;  // statements not yet answered
    bool open = true;
  };
  explicit ManualDatabases(int cap = 16, std::uint64_t lot = 7, const std::string& zone = "z0")
      : engine(*this, timers, zone, 7000, lot) {
    engine.set_time(now);
    config = R"({"Revision":1,"Routes":[
      {"Name":"p","Hostname":"prim","RouteType":"primary","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2},
      {"Name":"b","Hostname":"bound","RouteType":"bounded","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2,"stale_ms":5000}],
      "Services":[{"Name":"s","MaxConnections":)" +
             std::to_string(cap) + "}]}";
  }
  void feed(bool hold = false, const std::string& lead = "db0") {
    std::vector<Row> rows;
    ++number;
    for (auto& [key, value] : encode_configuration(*read_configuration(config)))
      rows.push_back({key, value, number, false});
    for (int i = 0; i < 3; ++i) {
      Instance in{{"db" + std::to_string(i)},
                  "s",
                  "z" + std::to_string(i),
                  {"10.0.0.1", std::uint16_t(i + 1)},
                  4,
                  false,
                  i == 0,
                  1};
      in.draining = draining.count(in.id.value) > 0;
      rows.push_back({instance_key(in.id), encode_instance(in), number, false});
    }
    rows.push_back(
        {primary_key("s"), encode_primary(PrimaryAssignment{{lead}, hold, true, 1, false}), number, false});
    engine.apply_update(number, rows);
  }
  void lease(Millis ms = 100000, std::size_t members = 1) { engine.extend_lease(now + ms, number, members); }
  void pass(Millis ms) {
    for (Millis end = now + ms; now < end;) {
      engine.set_time(++now);
      timers.run(now);
    }
  }
  void say(SessionId id, const std::string& line) { engine.on_client_line(id, line); }
  // Greets new connections; answers statements of the core's own kind; leaves the clients' to the test.
  void serve() {
    for (bool more = true; more;) {
      more = false;
      for (auto& [id, l] : lines) {
        if (!l.open || l.heard.empty()) continue;
        std::string s = l.heard.front();
        if (s.starts_with("CONNECT")) {
          l.heard.erase(l.heard.begin());
          engine.on_database_line(id, "IDLE I 1.1");
          engine.on_database_read_end(id);
        } else if (s.starts_with("QUERY - ") && !by_hand) {
          l.heard.erase(l.heard.begin());
          engine.on_database_line(id, "COMPLETE -");
          engine.on_database_line(id, s.find("BEGIN") == std::string::npos ? "IDLE I 1.1" : "IDLE T 1.1");
          engine.on_database_read_end(id);
        } else {
          continue;
        }
        more = true;
        break;
      }
    }
  }
  // Answers the first client's statement that waits at a database; its port tells which. 0: none waits.
  int answer(const std::string& body) {
    serve();
    for (auto& [id, l] : lines)
      if (l.open && !l.heard.empty()) {
        int port = l.at.port;
        l.heard.erase(l.heard.begin());
        engine.on_database_line(id, body);
        engine.on_database_line(id, "IDLE I 1.2");
        engine.on_database_read_end(id);
        serve();
        return port;
      }
    return 0;
  }
  // One read of a connection: these lines, and no more.
  void read(ConnectionId id, const std::vector<std::string>& lines_read) {
    for (auto& line : lines_read)
      if (lines[id].open) engine.on_database_line(id, line);
    if (lines[id].open) engine.on_database_read_end(id);
  }
  void connect(SessionId id, const std::string& host = "prim", const std::string& key = "a") {
    engine.on_client_connected(id);
    say(id, "CONNECT " + host + " " + key);
  }
  // The connection at which the first statement that begins so waits for its answer; 0: none does.
  ConnectionId at(const std::string& statement) {
    serve();
    for (auto& [id, l] : lines)
      if (l.open && !l.heard.empty() && l.heard.front().starts_with("QUERY " + statement)) return id;
    return 0;
  }
  // Answers it in one read.
  bool answer_to(const std::string& statement, const std::vector<std::string>& body) {
    ConnectionId id = at(statement);
    if (!id) return false;
    lines[id].heard.erase(lines[id].heard.begin());
    read(id, body);
    return true;
  }
  // What a session has been told since the last call.
  std::string news(SessionId id) { return std::exchange(told[id], {}); }
  std::size_t open_lines() const {
    return std::size_t(std::count_if(lines.begin(), lines.end(), [](auto& l) { return l.second.open; }));
  }

  void send_to_client(SessionId id, std::string bytes) override { told[id] += bytes; }
  void close_client(SessionId id) override { ended.insert(id); }
  void open_connection(ConnectionId id, const Endpoint& at) override {
    lines[id].at = at;
    if (open_lines() > most) return;  // it does not come up
    timers.at(now, [this, id] {
      if (lines[id].open) engine.on_connection_up(id);
    });
    pass(1);
  }
  void send_to_database(ConnectionId id, std::string bytes) override {
    written.push_back(bytes.substr(0, bytes.find("\r\n")));
    lines[id].heard.push_back(bytes.substr(0, bytes.find("\r\n")));
  }
  void close_connection(ConnectionId id, bool) override { lines[id].open = false; }
  void report_failure(const InstanceId&, FailureKind) override {}
  void report_connection_limit(const InstanceId&) override {}
  void request_quota(const std::string&, quota::Rights) override {}
  void request_position(const std::string& service) override { asked_depth.push_back(service); }
  void report_slow_primary(const InstanceId&) override {}
  void report_recovered(const InstanceId&) override {}

  TimerQueue timers;
  Millis now = 10000;
  std::uint64_t number = 0;
  std::string config;
  std::set<std::string> draining;  // as of the next feed
  std::size_t most = 99;           // connections that come up
  bool by_hand = false;            // also the node's own statements are the test's to answer
  std::vector<std::string> asked_depth;
  pooler::Engine engine;
  std::map<ConnectionId, Line> lines;
  std::vector<std::string> written;  // to databases, all of it
  std::map<SessionId, std::string> told;
  std::set<SessionId> ended;
};

}  // namespace pebblespindle::test
