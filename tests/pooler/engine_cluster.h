// A simulation around one pooler engine: clients, three model databases, and a control plane that changes the
// primary. Every statement that reaches a database is checked against the rules at that moment.
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
  double lose_answer = 0, throttle = 0, reset = 0, leave = 0.01;
  Millis lag_most = 40;
  bool failovers = false, lapses = false;
};

class EngineSimulation : public pooler::EngineCallbacks {
 public:
  EngineSimulation(std::uint32_t seed, FaultRates g)
      : rng(seed), faults(g), engine(*this, timers, "z1", 7000, seed) {
    engine.set_time(now);
    const char* config = R"({"Revision":1,"Routes":[
      {"Name":"p","Hostname":"prim","RouteType":"primary","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2},
      {"Name":"b","Hostname":"bound","RouteType":"bounded","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2,"stale_ms":400},
      {"Name":"o","Hostname":"own","RouteType":"read_your_writes","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2,"stale_ms":900}],
      "Services":[{"Name":"s","MaxConnections":16,"SyncReplicas":1}],"Limits":{"TransactionIdleMs":600}})";
    for (auto& [key, value] : encode_configuration(*read_configuration(config)))
      rows.push_back({key, value, 1, false});
    for (int i = 0; i < 3; ++i) {
      Instance in;
      in.id = {"db" + std::to_string(i)};
      in.service = "s";
      in.zone = "z" + std::to_string(i);
      in.address = {"10.0.0.1", std::uint16_t(1000 + i)};
      in.primary = i == 0;
      rows.push_back({instance_key(in.id), encode_instance(in), std::uint64_t(2 + i), false});
      dbs[i].name = in.id.value;
    }
    lead(0, false, 5);
    history.push_back({0, {1, 0}});
    engine.extend_lease(now + 1500, 5, 1);
  }

  // --- the records against which the rules are checked
  // -----------------------------------------------------------
  struct AcknowledgedCommit {
    Millis at;
    Position position;
    int client;
  };
  struct SentStatement {  // a statement a client has sent
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
    Position cut{};  // end of its log once it does not replicate any more
    bool fed = true;
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
    Millis next = 0;
  };

  Position log_of(const Database& d, bool applied) const {
    if (!d.fed) return d.cut;
    if (&d == &dbs[primary]) return history.back().second;
    Millis t = applied ? now - d.lag : now;
    Position p{};
    for (auto it = history.rbegin(); it != history.rend() && p.none(); ++it)
      if (it->first <= t) p = it->second;
    if (applied) d.applied = p = std::max(p, d.applied);  // a growing lag does not move the log back
    return p;
  }

  int pick(int n) { return int(rng() % std::uint32_t(n)); }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng) < p; }
  void later(Millis at, std::function<void()> fn) { events.emplace(at, std::move(fn)); }

  void step() {
    ++now;
    engine.set_time(now);
    while (!events.empty() && events.begin()->first <= now) {
      auto fn = std::move(events.begin()->second);
      events.erase(events.begin());
      fn();
    }
    timers.run(now);
    for (auto& c : clients) act(c);
    if (chance(0.05)) commit({}, -1, true);  // commits through other nodes
    for (auto& d : dbs)
      if (chance(0.01)) d.lag = 1 + pick(int(faults.lag_most));
    if (now % 300 == 0 && now >= lapse_until) engine.extend_lease(now + 1500, number, 1);
    if (faults.lapses && chance(0.0005)) lapse_until = now + 2500;
    if (faults.failovers) step_failover();
    if (faults.reset > 0 && chance(faults.reset)) {
      for (auto& [id, l] : lines)
        if (l.open && chance(0.5)) {
          l.open = false;
          later(now + 1, [this, id = id] { engine.on_connection_lost(id, false, false); });
        }
    }
  }

  // --- the control plane: suspend, wait for the acknowledgement or the lease, promote, announce ----
  void lead(int db, bool hold, std::uint64_t n) {
    number = n;
    PrimaryAssignment l{{dbs[db].name}, hold, planned, dbs[db].term, false};
    rows.push_back({primary_key("s"), encode_primary(l), n, false});
    engine.apply_update(n, rows);
  }
  void step_failover() {
    if (phase == 0 && chance(0.001)) {
      planned = chance(0.5);
      phase = 1;
      held_at = now;
      if (now < lapse_until)
        ++number;  // the node has no lease and does not learn of the suspension
      else
        lead(primary, true, number + 1);
    } else if (phase == 1 &&
               ((engine.acknowledged_sequence() >= number && engine.cluster().sequence() >= number) ||
                now > std::max(held_at, lapse_until) + 1600)) {
      phase = 2;
      int next = (primary + 1 + pick(2)) % 3;
      auto& old = dbs[primary];
      old.cut = history.back().second;
      old.fed = false;
      dbs[next].term = dbs[primary].term + 1;
      history.push_back({now, {dbs[next].term, history.back().second.number}});
      int was = primary;
      primary = next;
      dbs[next].fed = true;
      later(now + 100 + pick(300), [this, next] {
        phase = 0;
        lead(next, false, number + 1);
      });
      later(now + 1000, [this, was] { dbs[was].fed = true; });
    }
  }

  void commit(const std::vector<std::string>& writes, int client, bool acked) {
    Position p = history.back().second;
    ++p.number;
    history.push_back({now, p});
    for (auto& w : writes) EXPECT_TRUE(kept.insert(w).second) << "TWICE: " << w;
    for (auto& w : writes) EXPECT_FALSE(promised.count(w)) << "REFUSED: " << w << " is kept after a promise";
    for (auto& w : writes) commit_at[w] = p;
    if (acked) acks.push_back({now, p, client});
  }

  // --- Port ---------------------------------------------------------------------------
  void send_to_client(SessionId id, std::string bytes) override {
    later(now + 1, [this, id, bytes = std::move(bytes)] {
      for (auto& c : clients)
        if (c.session == id && c.connected)
          for (auto& line : split(bytes)) client_receives(c, line);
    });
  }
  void close_client(SessionId id) override {
    later(now + 1, [this, id] {
      for (auto& c : clients)
        if (c.session == id && c.connected) {
          if (c.waiting) on_answer_lost(c);
          reset_client(c);
        }
    });
  }
  void open_connection(ConnectionId id, const Endpoint& at) override {
    lines[id].db = at.port - 1000;
    later(now + 3, [this, id] {
      if (lines[id].open) engine.on_connection_up(id);
    });
  }
  void close_connection(ConnectionId id, bool) override { lines[id].open = false; }
  void report_failure(const InstanceId&, FailureKind) override {}
  void report_recovered(const InstanceId&) override {}
  void report_connection_limit(const InstanceId&) override {}
  void request_quota(const std::string&, quota::Rights) override {}
  void request_position(const std::string&) override {}
  void report_slow_primary(const InstanceId&) override {}
  void send_to_database(ConnectionId id, std::string bytes) override {
    auto& l = lines[id];
    l.last_in = std::max(l.last_in, now + 1 + pick(3));
    later(l.last_in, [this, id, bytes = std::move(bytes)] {
      for (auto& line : split(bytes))
        if (lines[id].open) database_receives(id, line);
    });
  }
  void reply(ConnectionId id, std::string text) {
    auto& l = lines[id];
    if (chance(faults.lose_answer)) return;
    l.last_out = std::max(l.last_out, now + 1 + pick(8));
    later(l.last_out, [this, id, text = std::move(text)] {
      for (auto& line : split(text))
        if (lines[id].open) engine.on_database_line(id, line);
      engine.on_database_read_end(id);
    });
  }
  static std::vector<std::string> split(const std::string& s) {
    std::vector<std::string> out;
    for (std::size_t from = 0, nl; (nl = s.find("\r\n", from)) != std::string::npos; from = nl + 2)
      out.push_back(s.substr(from, nl - from));
    return out;
  }

  void database_receives(ConnectionId id, std::string_view line);
  std::string run_statement(DatabaseConnection& l, Database& d, const std::string& qid, std::string_view text,
                            std::string& error);
  void check_read(const DatabaseConnection& l, const Database& d, const SentStatement& a);
  void act(Client& c);
  void client_receives(Client& c, std::string_view line);
  void finished(Client& c, char state);
  void on_answer_lost(Client& c);
  void reset_client(Client& c);
  void send_statement(Client& c, const std::string& text, bool write, const std::string& shape = {});

  Millis now = 1000;
  std::mt19937 rng;
  FaultRates faults;
  TimerQueue timers;
  pooler::Engine engine;
  std::vector<Row> rows;
  Database dbs[3];
  int primary = 0, phase = 0;
  bool planned = false;
  std::uint64_t number = 5;
  Millis held_at = 0, lapse_until = 0;
  std::vector<std::pair<Millis, Position>> history;
  std::vector<AcknowledgedCommit> acks;
  std::map<ConnectionId, DatabaseConnection> lines;
  std::map<std::string, SentStatement> asked;
  std::set<std::string> kept, promised;
  std::map<std::string, Position> commit_at;
  std::vector<Client> clients;
  std::multimap<Millis, std::function<void()>> events;
  SessionId last_session = 0;
  int last_id = 0, last_tx = 0, served = 0, refused = 0, replica_reads = 0;
};

}  // namespace pebblespindle::test
