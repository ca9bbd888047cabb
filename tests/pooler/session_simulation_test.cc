// Seeded runs of the real engine: answers reach their own callers, writes run at most once, and nothing that
// was refused with a promise is kept.
#include <cstdlib>

#include "pooler/session_cluster.h"

namespace pebblespindle::test {

// --- the clients ---------------------------------------------------------------------

void SessionSimulation::send_to_client(pooler::SessionId id, std::string bytes) {
  later(1, [this, id, life = incarnation_, bytes = std::move(bytes)] {
    if (life != incarnation_) return;
    for (auto& c : clients_)
      if (c.open && c.session == id)
        for (auto& line : split(bytes)) receive(c, line);
  });
}

void SessionSimulation::close_client(pooler::SessionId id) {
  later(1, [this, id, life = incarnation_] {
    if (life != incarnation_) return;
    for (auto& c : clients_)
      if (c.open && c.session == id) reset_client(c);
  });
}

void SessionSimulation::reset_client(Client& c) {
  c.open = c.failed = false;
  c.tx = 0;
  c.asked.clear();
  c.values.clear();
  c.prepared.clear();
  c.writes.clear();
  c.next = now_ + 5 + pick(60);
}

void SessionSimulation::act(Client& c) {
  if (!c.open) {
    if (now_ < c.next) return;
    c.session = ++last_session_;
    c.open = true;
    c.asked.push_back({"connect", "", false, false, "", "", {}});
    c.since = now_;
    engine_->on_client_connected(c.session);
    engine_->on_client_line(
        c.session, std::string("CONNECT ") + (c.index % 2 ? "primary k" : "bounded k") + c.tenant[0]);
    return;
  }
  if (chance(faults_.vanish)) {
    engine_->on_client_closed(c.session);
    return reset_client(c);
  }
  if (!c.asked.empty()) {
    EXPECT_LT(now_, c.since + 2500) << "held for ever: " << c.asked.front().text << " of client " << c.index;
    return;
  }
  if (now_ < c.next) return;
  auto thing = [&] { return "t" + std::to_string(pick(4)); };
  if (c.failed) return send_statement(c, chance(0.7) ? "ROLLBACK" : "COMMIT");
  if (c.tx) {
    if (++c.steps > 3) return send_statement(c, chance(0.3) ? "ROLLBACK" : "COMMIT");
    if (chance(0.15))
      return send_statement(c, "CONFIGURE v" + std::to_string(pick(2)) + " x" + std::to_string(pick(3)));
    return chance(0.5) ? send_statement(c, "STORE " + thing() + " d", true)
                       : send_statement(c, "FETCH " + thing());
  }
  switch (pick(8)) {
    case 0:
      send_statement(c, "CONFIGURE v" + std::to_string(pick(2)) + " x" + std::to_string(pick(3)));
      break;
    case 1:
      send_statement(c, "PREPARE n" + std::to_string(pick(2)) + (chance(0.5) ? " FETCH q" : " STORE w") +
                            std::to_string(pick(3)));
      break;
    case 2:
      send_statement(c, "BEGIN");
      break;
    case 3:  // a whole transaction at once
      send_statement(c, "BEGIN");
      for (int i = 1 + pick(3); i > 0; --i)
        chance(0.6) ? send_statement(c, "STORE " + thing() + " d", true)
                    : send_statement(c, "FETCH " + thing());
      send_statement(c, chance(0.2) ? "ROLLBACK" : "COMMIT");
      break;
    case 4:
      if (!c.prepared.empty()) {
        auto it = std::next(c.prepared.begin(), pick(int(c.prepared.size())));
        send_statement(c, "EXECUTE " + it->first + " " + thing() + " d", it->second.starts_with("STORE"),
                       it->second);
        break;
      }
      [[fallthrough]];
    default:
      for (int i = chance(0.3) ? 1 + pick(5) : 1; i > 0; --i)
        chance(0.5) ? send_statement(c, "STORE " + thing() + " d", true)
                    : send_statement(c, "FETCH " + thing());
  }
}

void SessionSimulation::send_statement(Client& c, const std::string& text, bool write,
                                       const std::string& shape) {
  if (!c.open) return;  // the line sent just before has ended the session
  auto st = sql_protocol::parse_statement(text);
  if (st.verb == sql_protocol::Verb::kBegin) c.tx = ++last_tx_, c.steps = 0, c.writes.clear();
  // Outside of a transaction these cannot fail, and hold for what is sent behind them.
  if (st.verb == sql_protocol::Verb::kConfigure && !c.tx)
    c.values[std::string(st.name)] = std::string(st.rest);
  if (st.verb == sql_protocol::Verb::kPrepare) c.prepared[std::string(st.name)] = std::string(st.rest);
  SentStatement a;
  a.client = c.index;
  a.tx = c.tx;
  a.text = text;
  a.shape = shape;
  a.write = write;
  a.commit = st.verb == sql_protocol::Verb::kCommit;
  a.runs =
      write || a.commit || st.verb == sql_protocol::Verb::kFetch || st.verb == sql_protocol::Verb::kExecute;
  a.values = c.values;
  std::string id = "q" + std::to_string(++last_id_);
  asked_[id] = a;
  if (write && c.tx) c.writes.push_back(id);
  if (c.asked.empty()) c.since = now_;
  c.asked.push_back({id, text, false, false, "", "", {}});
  engine_->on_client_line(c.session, "QUERY " + id + " " + text);
}

void SessionSimulation::receive(Client& c, std::string_view line) {
  if (c.asked.empty()) {
    ADD_FAILURE() << "an answer to nothing: " << line;
    return;
  }
  SentLine& s = c.asked.front();
  auto word = sql_protocol::take(line);
  EXPECT_FALSE(word != "IDLE" && (s.done || s.error)) << "an answer goes on after its outcome";
  if (word == "DATAROW") {
    s.rows.push_back(std::string(line));
  } else if (word == "COMPLETE") {
    s.done = true;
    s.stamp = std::string(line);
  } else if (word == "STMTERR") {
    s.error = true;
    s.code = std::string(sql_protocol::take(line));
  } else {
    EXPECT_EQ(word, "IDLE");
    SentLine ended_step = std::move(s);
    c.asked.pop_front();
    c.since = now_;
    if (c.asked.empty()) c.next = now_ + (chance(0.05) ? 350 : pick(25));  // some stay idle for too long
    check_answer(c, ended_step, line.empty() ? '?' : line[0]);
  }
}

void SessionSimulation::check_answer(Client& c, const SentLine& s, char state) {
  if (s.id == "connect") return;
  const SentStatement& a = asked_.at(s.id);
  auto st = sql_protocol::parse_statement(a.text);
  EXPECT_TRUE(s.done || s.error);
  if (s.done) {
    ++served;
    if (a.runs) {
      auto r = runs_.find(s.stamp);
      if (r == runs_.end()) {
        ADD_FAILURE() << "MIXED: a stamp that no database gave: " << s.stamp << " for " << a.text;
      } else {
        EXPECT_EQ(r->second.first, s.id) << "MIXED: the answer to another statement";
        EXPECT_EQ(r->second.second, s.rows) << "MIXED: other rows";
      }
    } else {
      EXPECT_TRUE(s.rows.empty());
    }
    EXPECT_TRUE(!a.write || a.tx || kept_.count(s.id)) << "acknowledged and not kept";
    for (auto& w : c.writes) EXPECT_TRUE(!a.commit || kept_.count(w)) << "acknowledged and not kept";
    if (st.verb == sql_protocol::Verb::kConfigure && a.tx)
      c.values[std::string(st.name)] = std::string(st.rest);
    EXPECT_EQ(state, a.tx && !a.commit && st.verb != sql_protocol::Verb::kRollback ? 'T' : 'I') << a.text;
  } else {
    unknown += s.code == "UNKNOWN";
    if (sql_protocol::is_promise(s.code)) {
      ++promised_count;
      std::vector<std::string> ids = {s.id};
      if (a.tx) ids = c.writes;
      for (auto& id : ids) {
        EXPECT_FALSE(kept_.count(id)) << "REFUSED: " << id << " is kept, the client was told " << s.code;
        promised_.insert(id);
      }
      if (a.tx) promised_.insert(s.id);
    }
    EXPECT_NE(state, 'T') << "a transaction goes on after " << s.code;
    EXPECT_TRUE(a.tx || state == 'I') << a.text << " " << s.code;
  }
  c.failed = state == 'E';
  if (state == 'I') c.tx = 0, c.writes.clear();
}

namespace {

// The faults are drawn by the seed, so that some runs have only a few kinds of them.
SessionFaultRates random_faults(std::uint32_t seed) {
  std::mt19937 rng(seed * 7919 + 1);
  SessionFaultRates t;
  double* all[] = {&t.reset,  &t.stall,   &t.twice, &t.tail,  &t.torn,   &t.misfit, &t.lost, &t.refuse,
                   &t.vanish, &t.promote, &t.lapse, &t.agent, &t.pooler, &t.stray,  &t.leave};
  const double most[] = {0.02,  0.003, 0.02,   0.02,  0.02,   0.02, 0.02, 0.03,
                         0.002, 0.002, 0.0005, 0.002, 0.0006, 0.01, 0.002};
  for (std::size_t i = 0; i < std::size(most); ++i)
    if (rng() % 2) *all[i] = most[i] * double(1 + rng() % 3) / 3;
  return t;
}

struct Totals {
  long served = 0, unknown = 0, promised = 0, commits = 0;
};

void play(std::uint32_t seed, Totals& sum) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  SessionSimulation w(seed, random_faults(seed));
  for (int i = 0; i < 1500 && !testing::Test::HasFailure(); ++i) w.step();
  w.stop_faults();
  if (!testing::Test::HasFailure()) w.check_recovery();
  sum.served += w.served;
  sum.unknown += w.unknown;
  sum.promised += w.promised_count;
  sum.commits += w.commits;
}

// PEBBLESPINDLE_SEEDS asks for more seeds than an ordinary run plays, PEBBLESPINDLE_FROM for others than the
// first ones.
TEST(Sessions, AnswersReachTheirCallersAndWritesRunAtMostOnce) {
  auto asked = [](const char* name, long otherwise) {
    const char* value = std::getenv(name);
    return std::uint32_t(value ? std::atol(value) : otherwise);
  };
  const std::uint32_t from = asked("PEBBLESPINDLE_FROM", 1),
                      to = from + asked("PEBBLESPINDLE_SEEDS", 500) - 1;
  Totals sum;
  for (std::uint32_t seed = from; seed <= to && !HasFailure(); ++seed) play(seed, sum);
  RecordProperty("served", std::to_string(sum.served));
  std::cout << "served " << sum.served << ", commits " << sum.commits << ", promises " << sum.promised
            << ", unknown " << sum.unknown << "\n";
  EXPECT_GT(sum.served, 100 * long(to - from + 1)) << "hardly anything was served";
  EXPECT_TRUE(to - from < 50 || sum.unknown > 0) << "nothing was ever in doubt: the troubles do not bite";
}

}  // namespace
}  // namespace pebblespindle::test
