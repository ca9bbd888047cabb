// Seeded runs of the real engine: answers reach their own callers, writes run at most once, and nothing that
// was reported as not run is committed.
#include <cstdlib>

#include "pooler/session_cluster.h"

namespace pebblespindle::test {

// --- the clients ---------------------------------------------------------------------

void SessionSimulation::send_to_client(pooler::SessionId id, std::string bytes) {
  later(1, [this, id, incarnation = incarnation_, bytes = std::move(bytes)] {
    if (incarnation != incarnation_) return;
    for (auto& client : clients_)
      if (client.open && client.session == id)
        for (auto& line : split(bytes)) receive(client, line);
  });
}

void SessionSimulation::close_client(pooler::SessionId id) {
  later(1, [this, id, incarnation = incarnation_] {
    if (incarnation != incarnation_) return;
    for (auto& client : clients_)
      if (client.open && client.session == id) reset_client(client);
  });
}

void SessionSimulation::reset_client(Client& client) {
  client.open = client.failed = false;
  client.transaction = 0;
  client.unanswered.clear();
  client.values.clear();
  client.prepared.clear();
  client.writes.clear();
  client.next = now_ + 5 + pick(60);
}

void SessionSimulation::step_client(Client& client) {
  if (!client.open) {
    if (now_ < client.next) return;
    client.session = ++last_session_;
    client.open = true;
    client.unanswered.push_back({"connect", "", false, false, "", "", {}});
    client.since = now_;
    engine_->on_client_connected(client.session);
    engine_->on_client_line(
        client.session,
        std::string("CONNECT ") + (client.index % 2 ? "primary k" : "bounded k") + client.tenant[0]);
    return;
  }
  if (chance(faults_.vanish)) {
    engine_->on_client_closed(client.session);
    return reset_client(client);
  }
  if (!client.unanswered.empty()) {
    EXPECT_LT(now_, client.since + 2500)
        << "no answer for 2500 ms: " << client.unanswered.front().text << " of client " << client.index;
    return;
  }
  if (now_ < client.next) return;
  auto random_key = [&] { return "t" + std::to_string(pick(4)); };
  if (client.failed) return send_statement(client, chance(0.7) ? "ROLLBACK" : "COMMIT");
  if (client.transaction) {
    if (++client.steps > 3) return send_statement(client, chance(0.3) ? "ROLLBACK" : "COMMIT");
    if (chance(0.15))
      return send_statement(client, "CONFIGURE v" + std::to_string(pick(2)) + " x" + std::to_string(pick(3)));
    return chance(0.5) ? send_statement(client, "STORE " + random_key() + " d", true)
                       : send_statement(client, "FETCH " + random_key());
  }
  switch (pick(8)) {
    case 0:
      send_statement(client, "CONFIGURE v" + std::to_string(pick(2)) + " x" + std::to_string(pick(3)));
      break;
    case 1:
      send_statement(client, "PREPARE n" + std::to_string(pick(2)) + (chance(0.5) ? " FETCH q" : " STORE w") +
                                 std::to_string(pick(3)));
      break;
    case 2:
      send_statement(client, "BEGIN");
      break;
    case 3:  // a whole transaction at once
      send_statement(client, "BEGIN");
      for (int i = 1 + pick(3); i > 0; --i)
        chance(0.6) ? send_statement(client, "STORE " + random_key() + " d", true)
                    : send_statement(client, "FETCH " + random_key());
      send_statement(client, chance(0.2) ? "ROLLBACK" : "COMMIT");
      break;
    case 4:
      if (!client.prepared.empty()) {
        auto it = std::next(client.prepared.begin(), pick(int(client.prepared.size())));
        send_statement(client, "EXECUTE " + it->first + " " + random_key() + " d",
                       it->second.starts_with("STORE"), it->second);
        break;
      }
      [[fallthrough]];
    default:
      for (int i = chance(0.3) ? 1 + pick(5) : 1; i > 0; --i)
        chance(0.5) ? send_statement(client, "STORE " + random_key() + " d", true)
                    : send_statement(client, "FETCH " + random_key());
  }
}

void SessionSimulation::send_statement(Client& client, const std::string& text, bool write,
                                       const std::string& shape) {
  if (!client.open) return;  // the line sent just before has ended the session
  auto parsed = sql_protocol::parse_statement(text);
  if (parsed.verb == sql_protocol::Verb::kBegin)
    client.transaction = ++last_transaction_, client.steps = 0, client.writes.clear();
  // Outside of a transaction these cannot fail, and hold for what is sent behind them.
  if (parsed.verb == sql_protocol::Verb::kConfigure && !client.transaction)
    client.values[std::string(parsed.name)] = std::string(parsed.rest);
  if (parsed.verb == sql_protocol::Verb::kPrepare)
    client.prepared[std::string(parsed.name)] = std::string(parsed.rest);
  SentStatement sent;
  sent.client = client.index;
  sent.transaction = client.transaction;
  sent.text = text;
  sent.shape = shape;
  sent.write = write;
  sent.commit = parsed.verb == sql_protocol::Verb::kCommit;
  sent.runs = write || sent.commit || parsed.verb == sql_protocol::Verb::kFetch ||
              parsed.verb == sql_protocol::Verb::kExecute;
  sent.values = client.values;
  std::string id = "q" + std::to_string(++last_statement_id_);
  statements_[id] = sent;
  if (write && client.transaction) client.writes.push_back(id);
  if (client.unanswered.empty()) client.since = now_;
  client.unanswered.push_back({id, text, false, false, "", "", {}});
  engine_->on_client_line(client.session, "QUERY " + id + " " + text);
}

void SessionSimulation::receive(Client& client, std::string_view line) {
  if (client.unanswered.empty()) {
    ADD_FAILURE() << "an answer without a request: " << line;
    return;
  }
  StatementAnswer& pending = client.unanswered.front();
  auto word = sql_protocol::take(line);
  EXPECT_FALSE(word != "IDLE" && (pending.done || pending.error)) << "lines of an answer follow its outcome";
  if (word == "DATAROW") {
    pending.rows.push_back(std::string(line));
  } else if (word == "COMPLETE") {
    pending.done = true;
    pending.stamp = std::string(line);
  } else if (word == "STMTERR") {
    pending.error = true;
    pending.code = std::string(sql_protocol::take(line));
  } else {
    EXPECT_EQ(word, "IDLE");
    StatementAnswer answered = std::move(pending);
    client.unanswered.pop_front();
    client.since = now_;
    if (client.unanswered.empty())
      client.next = now_ + (chance(0.05) ? 350 : pick(25));  // some stay idle for too long
    check_answer(client, answered, line.empty() ? '?' : line[0]);
  }
}

void SessionSimulation::check_answer(Client& client, const StatementAnswer& answer, char state) {
  if (answer.id == "connect") return;
  const SentStatement& sent = statements_.at(answer.id);
  auto parsed = sql_protocol::parse_statement(sent.text);
  EXPECT_TRUE(answer.done || answer.error);
  if (answer.done) {
    ++served;
    if (sent.runs) {
      auto execution = executions_.find(answer.stamp);
      if (execution == executions_.end()) {
        ADD_FAILURE() << "MIXED: a stamp that no database issued: " << answer.stamp << " for " << sent.text;
      } else {
        EXPECT_EQ(execution->second.first, answer.id) << "MIXED: the answer to another statement";
        EXPECT_EQ(execution->second.second, answer.rows) << "MIXED: other rows";
      }
    } else {
      EXPECT_TRUE(answer.rows.empty());
    }
    EXPECT_TRUE(!sent.write || sent.transaction || committed_.count(answer.id))
        << "acknowledged and not committed";
    for (auto& write : client.writes)
      EXPECT_TRUE(!sent.commit || committed_.count(write)) << "acknowledged and not committed";
    if (parsed.verb == sql_protocol::Verb::kConfigure && sent.transaction)
      client.values[std::string(parsed.name)] = std::string(parsed.rest);
    EXPECT_EQ(state,
              sent.transaction && !sent.commit && parsed.verb != sql_protocol::Verb::kRollback ? 'T' : 'I')
        << sent.text;
  } else {
    unknown += answer.code == "UNKNOWN";
    if (sql_protocol::is_promise(answer.code)) {
      ++refused_count;
      std::vector<std::string> ids = {answer.id};
      if (sent.transaction) ids = client.writes;
      for (auto& id : ids) {
        EXPECT_FALSE(committed_.count(id))
            << "REFUSED: " << id << " is committed, but the client received " << answer.code;
        refused_as_not_run_.insert(id);
      }
      if (sent.transaction) refused_as_not_run_.insert(answer.id);
    }
    EXPECT_NE(state, 'T') << "a transaction continues after " << answer.code;
    EXPECT_TRUE(sent.transaction || state == 'I') << sent.text << " " << answer.code;
  }
  client.failed = state == 'E';
  if (state == 'I') client.transaction = 0, client.writes.clear();
}

namespace {

// The faults are drawn by the seed, so that some runs have only a few kinds of them.
SessionFaultRates random_faults(std::uint32_t seed) {
  std::mt19937 rng(seed * 7919 + 1);
  SessionFaultRates rates;
  double* fields[] = {&rates.reset,   &rates.stall, &rates.duplicate, &rates.trailing, &rates.truncated,
                      &rates.invalid, &rates.lost,  &rates.refuse,    &rates.vanish,   &rates.promote,
                      &rates.lapse,   &rates.agent, &rates.pooler,    &rates.stray,    &rates.leave};
  const double highest[] = {0.02,  0.003, 0.02,   0.02,  0.02,   0.02, 0.02, 0.03,
                            0.002, 0.002, 0.0005, 0.002, 0.0006, 0.01, 0.002};
  for (std::size_t i = 0; i < std::size(highest); ++i)
    if (rng() % 2) *fields[i] = highest[i] * double(1 + rng() % 3) / 3;
  return rates;
}

struct Totals {
  long served = 0, unknown = 0, refused = 0, commits = 0;
};

void play(std::uint32_t seed, Totals& totals) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  SessionSimulation simulation(seed, random_faults(seed));
  for (int i = 0; i < 1500 && !testing::Test::HasFailure(); ++i) simulation.step();
  simulation.stop_faults();
  if (!testing::Test::HasFailure()) simulation.check_recovery();
  totals.served += simulation.served;
  totals.unknown += simulation.unknown;
  totals.refused += simulation.refused_count;
  totals.commits += simulation.commits;
}

// PEBBLESPINDLE_SEEDS asks for more seeds than an ordinary run plays, PEBBLESPINDLE_FROM for others than the
// first ones.
TEST(Sessions, AnswersReachTheirCallersAndWritesRunAtMostOnce) {
  auto setting = [](const char* name, long default_value) {
    const char* value = std::getenv(name);
    return std::uint32_t(value ? std::atol(value) : default_value);
  };
  const std::uint32_t from = setting("PEBBLESPINDLE_FROM", 1),
                      to = from + setting("PEBBLESPINDLE_SEEDS", 500) - 1;
  Totals totals;
  for (std::uint32_t seed = from; seed <= to && !HasFailure(); ++seed) play(seed, totals);
  RecordProperty("served", std::to_string(totals.served));
  std::cout << "served " << totals.served << ", commits " << totals.commits << ", promises " << totals.refused
            << ", unknown " << totals.unknown << "\n";
  EXPECT_GT(totals.served, 100 * long(to - from + 1)) << "too few statements were served";
  EXPECT_TRUE(to - from < 50 || totals.unknown > 0)
      << "no outcome was ever unknown: the faults have no effect";
}

}  // namespace
}  // namespace pebblespindle::test
