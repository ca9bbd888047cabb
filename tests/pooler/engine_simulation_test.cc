#include "pooler/engine_cluster.h"

namespace pebblespindle::test {

// Handles a line at a database and checks it against the rules.
void EngineSimulation::database_receives(ConnectionId id, std::string_view line) {
  auto& l = lines[id];
  auto& d = dbs[l.db];
  auto word = sql_protocol::take(line);
  if (word == "CONNECT") return reply(id, sql_protocol::idle('I', log_of(d, true).text()));
  if (word != "QUERY") return;
  std::string qid(sql_protocol::take(line)), error;
  std::string body = run_statement(l, d, qid, line, error);
  if (!error.empty()) {
    body = sql_protocol::error(error, "x");
    if (l.state == 'T') l.state = 'E';
  }
  reply(id, body + sql_protocol::idle(l.state, log_of(d, true).text()));
}

std::string EngineSimulation::run_statement(DatabaseConnection& l, Database& d, const std::string& qid,
                                            std::string_view text, std::string& error) {
  const std::string done = "COMPLETE -\r\n";
  bool leads = &d == &dbs[primary] || !d.fed;  // a former primary goes on until it learns of its successor
  if (text.starts_with("WAITFOR ")) {
    sql_protocol::take(text);
    auto p = Position::parse(sql_protocol::take(text));
    EXPECT_TRUE(p);
    if (log_of(d, true) < *p) return error = "LAGGING", "";
  }
  auto st = sql_protocol::parse_statement(text);
  if (text == "RESET") {
    l.values.clear();
    l.prepared.clear();
    return done;
  }
  if (qid == "-") {
    if (st.verb == sql_protocol::Verb::kConfigure) l.values[std::string(st.name)] = std::string(st.rest);
    if (st.verb == sql_protocol::Verb::kPrepare) l.prepared[std::string(st.name)] = std::string(st.rest);
    if (st.verb == sql_protocol::Verb::kBegin) {
      EXPECT_EQ(l.state, 'I');
      if (!leads && !st.read_only) return error = "READONLY", "";
      l.state = 'T';
      l.tx_client = -1;
      l.tx_read_only = st.read_only;
      l.tx_writes.clear();
    }
    if (st.verb == sql_protocol::Verb::kRollback) l.state = 'I';
    return done;
  }
  auto a = asked.find(qid);
  if (a == asked.end()) {
    ADD_FAILURE() << "UNASKED: " << qid;
    return done;
  }
  const SentStatement& q = a->second;
  if (l.state == 'E') return error = "MALFORMED", "";
  if (chance(faults.throttle)) return error = "THROTTLED", "";
  if (!q.shape.empty()) {
    EXPECT_EQ(l.prepared[std::string(st.name)], q.shape) << "PINNED: a prepared name of another shape";
    EXPECT_TRUE(q.text.ends_with(std::string(st.rest))) << "UNASKED: " << text;
  } else {
    EXPECT_EQ(std::string(text), q.text) << "UNASKED: the text was changed";
  }
  EXPECT_EQ(l.values, q.values) << "PINNED: other session values";
  EXPECT_EQ(l.state == 'T', q.tx != 0) << "PINNED: outside its transaction";
  if (q.tx) {
    if (l.tx_client < 0) l.tx_client = q.client, l.tx = q.tx;
    EXPECT_EQ(l.tx_client, q.client) << "PINNED: in the transaction of another";
    EXPECT_EQ(l.tx, q.tx) << "PINNED: in another transaction";
  }
  if (q.write && !leads) return error = "READONLY", "";
  if (st.verb == sql_protocol::Verb::kCommit) {
    l.state = 'I';
    if (!l.tx_writes.empty()) {
      if (&d != &dbs[primary] || !d.fed) return error = "READONLY", "";
      commit(l.tx_writes, q.client, false);
    }
  } else if (q.write) {
    if (l.state == 'T')
      l.tx_writes.push_back(qid);
    else if (&d == &dbs[primary])
      commit({qid}, q.client, false);
    else
      return error = "READONLY", "";
  } else {
    check_read(l, d, q);
  }
  return "DATAROW r-" + qid + "\r\nCOMPLETE stamp-" + qid + "\r\n";
}

void EngineSimulation::check_read(const DatabaseConnection&, const Database& d, const SentStatement& q) {
  Position log = log_of(d, true);
  if (&d != &dbs[primary]) ++replica_reads;
  Millis stale = q.kind == 'p' ? 0 : q.kind == 'b' ? 400 : 900;
  for (auto it = acks.rbegin(); it != acks.rend(); ++it) {
    bool counts =
        it->at < q.first_byte - stale || (q.kind == 'o' && it->client == q.session && it->at < q.first_byte);
    if (counts) {
      EXPECT_GE(log, it->position) << "STALE on route " << q.kind << " at " << d.name << ", time " << now;
    }
    if (it->at < q.first_byte - 2000) break;
  }
}

// A client sends one statement at a time, alone or in transactions, and sometimes disconnects.
void EngineSimulation::act(Client& c) {
  if (!c.connected) {
    if (now < c.next) return;
    c.session = ++last_session;
    c.connected = c.waiting = true;
    c.id = "connect";
    engine.on_client_connected(c.session);
    engine.on_client_line(c.session, std::string("CONNECT ") +
                                         (c.kind == 'p'   ? "prim"
                                          : c.kind == 'b' ? "bound"
                                                          : "own") +
                                         " me");
    return;
  }
  if (chance(faults.leave * 0.05)) {
    if (c.waiting) on_answer_lost(c);
    engine.on_client_closed(c.session);
    reset_client(c);
    return;
  }
  if (c.waiting || now < c.next) return;
  if (c.failed) return send_statement(c, chance(0.7) ? "ROLLBACK" : "COMMIT", false);
  if (c.tx && ++c.steps > 4) return send_statement(c, chance(0.2) ? "ROLLBACK" : "COMMIT", false);
  switch (pick(12)) {
    case 0:
      return send_statement(c, "CONFIGURE v" + std::to_string(pick(2)) + " x" + std::to_string(pick(3)),
                            false);
    case 1:
      return send_statement(c,
                            "PREPARE n" + std::to_string(pick(2)) + (chance(0.5) ? " FETCH q" : " STORE w") +
                                std::to_string(pick(2)),
                            false);
    case 2:
    case 3:
      if (c.prepared.empty()) return;
      {
        auto it = std::next(c.prepared.begin(), pick(int(c.prepared.size())));
        bool write = it->second.starts_with("STORE");
        if (write && c.tx_read_only && c.tx) return;
        return send_statement(
            c, "EXECUTE " + it->first + " t" + std::to_string(pick(5)) + (write ? " data" : ""), write,
            it->second);
      }
    case 4:
    case 5:
      if (c.tx) return;
      c.tx_read_only = chance(0.4);
      return send_statement(c, c.tx_read_only ? "BEGIN FETCH" : "BEGIN", false);
    case 6:
    case 7:
      if (c.tx && c.tx_read_only) return;
      return send_statement(c, "STORE t" + std::to_string(pick(5)) + " data", true);
    default:
      return send_statement(c, "FETCH t" + std::to_string(pick(5)), false);
  }
}

void EngineSimulation::send_statement(Client& c, const std::string& text, bool write,
                                      const std::string& shape) {
  if (text.starts_with("BEGIN")) c.tx = ++last_tx, c.steps = 0, c.tx_began = now, c.tx_ids.clear();
  c.id = "q" + std::to_string(++last_id);
  c.text = text;
  c.waiting = true;
  c.error.clear();
  c.complete = false;
  SentStatement a{c.index, int(c.session), c.tx ? c.tx_began : now, text, shape, c.values, c.tx,
                  c.kind,  write};
  asked[c.id] = a;
  if (write && c.tx) c.tx_ids.push_back(c.id);
  engine.on_client_line(c.session, "QUERY " + c.id + " " + text);
}

void EngineSimulation::client_receives(Client& c, std::string_view line) {
  auto word = sql_protocol::take(line);
  if (!c.waiting) ADD_FAILURE() << "an answer to nothing";
  if (word == "STMTERR") {
    c.error = std::string(sql_protocol::take(line));
  } else if (word == "COMPLETE") {
    c.complete = true;
    c.stamp = std::string(line);
  } else if (word == "IDLE") {
    finished(c, line[0]);
  }
}

void EngineSimulation::finished(Client& c, char state) {
  c.waiting = false;
  c.next = now + pick(40);
  if (c.id == "connect") return;
  auto st = sql_protocol::parse_statement(c.text);
  bool commit = st.verb == sql_protocol::Verb::kCommit;
  if (c.error.empty()) {
    ++served;
    EXPECT_TRUE(c.complete);
    bool run = commit || st.verb == sql_protocol::Verb::kFetch || st.verb == sql_protocol::Verb::kStore ||
               st.verb == sql_protocol::Verb::kExecute;
    if (run && !c.failed) {
      EXPECT_EQ(c.stamp, "stamp-" + c.id) << "MIXED";
    }
    if (st.verb == sql_protocol::Verb::kConfigure) c.values[std::string(st.name)] = std::string(st.rest);
    if (st.verb == sql_protocol::Verb::kPrepare) c.prepared[std::string(st.name)] = std::string(st.rest);
    bool wrote = (commit && !c.tx_ids.empty()) || (!c.tx && asked[c.id].write);
    if (wrote) {
      EXPECT_TRUE(kept.count(commit ? c.tx_ids.front() : c.id)) << "an acknowledged write is not kept";
      acks.push_back({now, history.back().second, int(c.session)});
      // The newest position may be later than the commit's own: look it up where it was kept.
      acks.back().position = commit_at[commit ? c.tx_ids.front() : c.id];
    }
  } else {
    ++refused;
    if (sql_protocol::is_promise(c.error)) {
      std::vector<std::string> ids = c.tx_ids;
      if (!c.tx) ids = {c.id};
      for (auto& id : ids) {
        EXPECT_FALSE(kept.count(id)) << "REFUSED: " << id << " was kept, the client got " << c.error;
        promised.insert(id);
      }
    }
  }
  c.failed = state == 'E';
  if (state == 'I') c.tx = 0, c.tx_ids.clear();
}

void EngineSimulation::on_answer_lost(Client&) {}

void EngineSimulation::reset_client(Client& c) {
  c.connected = c.waiting = c.failed = false;
  c.tx = 0;
  c.values.clear();
  c.prepared.clear();
  c.tx_ids.clear();
  c.next = now + 20 + pick(200);
}

namespace {

void play(std::uint32_t seed, FaultRates g, int least_served) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  EngineSimulation w(seed, g);
  for (int i = 0; i < 12; ++i) {
    EngineSimulation::Client c;
    c.index = i;
    c.kind = "pbo"[i % 3];
    w.clients.push_back(c);
  }
  for (int i = 0; i < 12000 && !testing::Test::HasFailure(); ++i) w.step();
  EXPECT_GT(w.served, least_served) << "hardly anything was served";
  EXPECT_GT(w.replica_reads, 20) << "replicas were not used";
}

TEST(Engine, KeepsTheRulesOnACalmDay) {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) play(seed, {}, 2000);
}

TEST(Engine, KeepsTheRulesWhileReplicasLag) {
  for (std::uint32_t seed = 10; seed <= 16; ++seed) play(seed, {.throttle = 0.02, .lag_most = 1200}, 1500);
}

TEST(Engine, KeepsTheRulesWhenAnswersAreLostAndConnectionsReset) {
  for (std::uint32_t seed = 20; seed <= 28; ++seed)
    play(seed, {.lose_answer = 0.02, .throttle = 0.02, .reset = 0.002, .leave = 0.05}, 800);
}

TEST(Engine, KeepsTheRulesThroughFailoversAndLostLeases) {
  for (std::uint32_t seed = 40; seed <= 52; ++seed)
    play(seed, {.lose_answer = 0.005, .throttle = 0.01, .lag_most = 300, .failovers = true, .lapses = true},
         600);
}

}  // namespace
}  // namespace pebblespindle::test
