// Answers reach only their own callers. Each test checks one way in which that could fail: reused
// connections, clients that have disconnected, and earlier links or runs of the process.
#include "membership/constants.h"
#include "net/constants.h"
#include "pooler/constants.h"
#include "pooler/control_feed.h"
#include "pooler/manual_databases.h"

namespace pebblespindle::test {
namespace {

struct SingleConnection : ManualDatabases {  // one connection at a time
  explicit SingleConnection(Millis leased = 100000) {
    max_connections = 1;
    feed();
    lease(leased);
  }
};

struct PoolerAnswers : testing::Test {
  std::size_t count(const std::string& start) const {
    return std::size_t(std::count_if(databases.written.begin(), databases.written.end(),
                                     [&](auto& line) { return line.starts_with(start); }));
  }
  SingleConnection databases;
};

const std::string kIdle = "IDLE I 1.2";

TEST_F(PoolerAnswers, OneThatComesTwiceIsNotTakenForThatOfTheNextBorrower) {
  databases.connect(1), databases.connect(2);
  databases.send_line(1, "QUERY a1 FETCH k");
  databases.send_line(2, "QUERY b1 STORE k v");  // waits for the one connection
  EXPECT_TRUE(
      databases.answer_to("a1", {"DATAROW x", "COMPLETE 7.1", kIdle, "DATAROW x", "COMPLETE 7.1", kIdle}));
  EXPECT_NE(databases.output[1].find("DATAROW x\r\nCOMPLETE 7.1\r\n"), std::string::npos);
  EXPECT_EQ(databases.output[2].find("COMPLETE"), std::string::npos) << databases.output[2];
  EXPECT_EQ(count("QUERY b1"), 1u) << "it was sent once and its outcome is unknown";
}

// Guards against a database that runs a statement for a second after its client has left.
TEST_F(PoolerAnswers, AStatementWhoseClientHasLeftEndsWithinHalfASecond) {
  databases.connect(1);
  databases.send_line(1, "QUERY a1 FETCH k");
  const ConnectionId id = databases.connection_with("a1");
  databases.engine.on_client_closed(1);
  databases.advance(200);
  EXPECT_TRUE(databases.connections[id].open)
      << "most statements end soon, so the connection is kept at first";
  databases.advance(290);
  EXPECT_FALSE(databases.connections[id].open);
}

TEST_F(PoolerAnswers, BytesBehindAnAnswerEndTheConnection) {
  for (std::string tail : {"DATAROW x", "COMPLETE 7.9", "STMTERR THROTTLED x", "IDLE I 1.1", "HUM", ""}) {
    for (bool later : {false, true}) {
      SingleConnection local;
      local.connect(1);
      local.send_line(1, "QUERY a1 FETCH k");
      ConnectionId id = local.connection_with("a1");
      if (later) {
        EXPECT_TRUE(local.answer_to("a1", {"COMPLETE 7.1", kIdle}));
        local.read(id, {tail});
      } else {
        EXPECT_TRUE(local.answer_to("a1", {"COMPLETE 7.1", kIdle, tail}));
      }
      EXPECT_FALSE(local.connections[id].open) << tail;
      EXPECT_NE(local.output[1].find("COMPLETE 7.1"), std::string::npos);
    }
  }
}

// An invalid or incomplete answer counts as none: the outcome of a write that may have run is unknown.
TEST_F(PoolerAnswers, ThoseThatDoNotFitAreNotPassedOn) {
  const std::vector<std::vector<std::string>> invalid_answers = {
      {kIdle},
      {"COMPLETE -", kIdle},
      {"COMPLETE", kIdle},
      {"COMPLETE 7.1", "DATAROW y", kIdle},
      {"COMPLETE 7.1", "COMPLETE 7.2", kIdle},
      {"COMPLETE 7.1", "STMTERR THROTTLED x", kIdle},
      {"STMTERR THROTTLED x", "COMPLETE 7.1", kIdle},
      {"STMTERR", kIdle},
      {"COMPLETE 7.1", "IDLE T 1.2"},
      {"COMPLETE 7.1", "IDLE E 1.2"},
      {"COMPLETE 7.1", "IDLE"},
      {"COMPLETE 7.1", "IDLE I x"},
      {"HUM"},
  };
  SessionId session = 0;
  for (auto& body : invalid_answers) {
    databases.connect(++session);
    databases.take_output(session);
    databases.send_line(session, "QUERY w STORE k v");
    ConnectionId id = databases.connection_with("w");
    ASSERT_TRUE(databases.answer_to("w", body));
    EXPECT_TRUE(databases.take_output(session).starts_with("STMTERR UNKNOWN")) << body.front();
    EXPECT_FALSE(databases.connections[id].open) << body.front();
    EXPECT_EQ(databases.connection_with("w"), 0u) << "written again after " << body.front();
  }
}

TEST_F(PoolerAnswers, AnEndlessAnswerIsCutOff) {
  databases.connect(1);
  databases.take_output(1);
  databases.send_line(1, "QUERY w STORE k v");
  ConnectionId id = databases.connection_with("w");
  const std::string row = "DATAROW " + std::string(1 << 20, 'x');
  for (int i = 0; i < 20 && databases.connections[id].open; ++i) databases.engine.on_database_line(id, row);
  EXPECT_FALSE(databases.connections[id].open);
  EXPECT_TRUE(databases.take_output(1).starts_with("STMTERR UNKNOWN"));
}

TEST_F(PoolerAnswers, AnInvalidGreetingOpensNoConnection) {
  databases.answers_setup_by_hand = true;
  databases.connect(1);
  databases.send_line(1, "QUERY w STORE k v");
  ASSERT_EQ(databases.connections.size(), 1u);
  databases.read(1, {"IDLE T 1.1"});
  EXPECT_FALSE(databases.connections[1].open);
  EXPECT_EQ(count("QUERY"), 0u);
}

// --- writes: once, unless it is known that nothing has run ---------------------------------

TEST_F(PoolerAnswers, AWriteWhoseConnectionEndsIsInDoubtAndAReadGoesOn) {
  databases.connect(1), databases.connect(2, "bound");
  databases.take_output(1), databases.take_output(2);
  databases.send_line(1, "QUERY w STORE k v");
  ConnectionId id = databases.connection_with("w");
  databases.connections[id].open = false;
  databases.engine.on_connection_lost(id, false, false);
  EXPECT_TRUE(databases.take_output(1).starts_with("STMTERR UNKNOWN"));
  databases.advance(2000);
  EXPECT_EQ(count("QUERY w"), 1u);
  databases.send_line(2, "QUERY r FETCH k");
  id = databases.connection_with("r");
  databases.connections[id].open = false;
  databases.engine.on_connection_lost(id, false, false);
  EXPECT_TRUE(databases.answer_to("r", {"DATAROW x", "COMPLETE 7.1", kIdle}));
  EXPECT_NE(databases.take_output(2).find("COMPLETE 7.1"), std::string::npos);
}

TEST_F(PoolerAnswers, AWriteNotYetWrittenGoesOverAnotherConnection) {
  databases.answers_setup_by_hand = true;
  databases.connect(1);
  databases.send_line(1, "QUERY c CONFIGURE v x");
  databases.send_line(1, "QUERY w STORE k v");
  const ConnectionId id = databases.connection_with("- CONFIGURE");
  ASSERT_NE(id, 0u);
  databases.connections[id].open = false;
  databases.engine.on_connection_lost(id, false, false);
  EXPECT_EQ(count("QUERY w"), 0u);
  databases.answers_setup_by_hand = false;
  EXPECT_TRUE(databases.answer_to("w", {"COMPLETE 7.1", kIdle}));
  EXPECT_NE(databases.output[1].find("COMPLETE 7.1"), std::string::npos);
}

TEST_F(PoolerAnswers, ThatOfAWriteGivenUpReachesNobody) {
  databases.connect(1);
  databases.take_output(1);
  databases.send_line(1, "QUERY w STORE k v");
  ConnectionId id = databases.connection_with("w");
  databases.advance(801);
  EXPECT_TRUE(databases.take_output(1).starts_with("STMTERR UNKNOWN"));
  EXPECT_FALSE(databases.connections[id].open);
  for (auto* line : {"COMPLETE 7.1", "IDLE I 1.2"}) databases.engine.on_database_line(id, line);
  EXPECT_EQ(databases.take_output(1), "");
}

TEST_F(PoolerAnswers, ACommitInDoubtIsNeverReportedAsNotRun) {
  databases.connect(1);
  databases.send_line(1, "QUERY b BEGIN");
  databases.send_line(1, "QUERY w STORE k v");
  ASSERT_TRUE(databases.answer_to("w", {"COMPLETE 7.1", "IDLE T 1.2"}));
  databases.take_output(1);
  databases.send_line(1, "QUERY c COMMIT");
  ConnectionId id = databases.connection_with("c");
  databases.connections[id].open = false;
  databases.engine.on_connection_lost(id, false, false);
  EXPECT_TRUE(databases.take_output(1).starts_with("STMTERR UNKNOWN"));
  EXPECT_EQ(databases.connection_with("c"), 0u);
}

// An error in a transaction ends it, even if the database continues it: the client may begin a new one at
// once.
TEST_F(PoolerAnswers, ATransactionDoesNotGoOnAfterAPromise) {
  databases.connect(1);
  databases.send_line(1, "QUERY b BEGIN");
  databases.send_line(1, "QUERY w STORE k v");
  ASSERT_TRUE(databases.answer_to("w", {"COMPLETE 7.1", "IDLE T 1.2"}));
  databases.send_line(1, "QUERY x STORE l v");
  databases.take_output(1);
  databases.answers_setup_by_hand = true;
  ASSERT_TRUE(databases.answer_to("x", {"STMTERR THROTTLED x", "IDLE T 1.2"}));
  EXPECT_NE(databases.take_output(1).find("IDLE E"), std::string::npos);
  EXPECT_NE(databases.connection_with("- ROLLBACK"), 0u);
  databases.send_line(1, "QUERY c COMMIT");
  EXPECT_EQ(count("QUERY c"), 0u);
}

TEST_F(PoolerAnswers, TheRightToAskIsLookedAtWhenAStatementIsWritten) {
  SingleConnection local(10);
  local.connect(1), local.connect(2);
  local.send_line(1, "QUERY a FETCH k");
  local.send_line(2, "QUERY b FETCH k");  // waits for the one connection
  ASSERT_NE(local.connection_with("a"), 0u);
  local.advance(11);  // the lease ends meanwhile
  ASSERT_TRUE(local.answer_to("a", {"COMPLETE 7.1", kIdle}));
  EXPECT_EQ(local.connection_with("b"), 0u) << "sent to a primary without a lease";
  local.lease();
  EXPECT_TRUE(local.answer_to("b", {"COMPLETE 7.2", kIdle}));
}

// --- the pool's connections and their former borrowers ----------------------------------------

TEST_F(PoolerAnswers, AConnectionWhoseAnswerIsOnItsWayGoesToNobodyElse) {
  databases.connect(1), databases.connect(2);
  databases.send_line(1, "QUERY a FETCH k");
  ConnectionId id = databases.connection_with("a");
  databases.engine.on_client_closed(1);
  databases.send_line(2, "QUERY b FETCH k");
  EXPECT_EQ(databases.connection_with("b"), 0u) << "written before the answer to another";
  databases.connections[id].pending.clear();
  databases.read(id, {"DATAROW x", "COMPLETE 7.1", kIdle});
  EXPECT_EQ(databases.connection_with("b"), id);
  EXPECT_EQ(databases.output[2], "IDLE I -\r\n");
  EXPECT_TRUE(databases.answer_to("b", {"COMPLETE 7.2", kIdle}));
  EXPECT_NE(databases.output[2].find("COMPLETE 7.2"), std::string::npos);
  EXPECT_EQ(databases.output[2].find("DATAROW x"), std::string::npos);
}

TEST_F(PoolerAnswers, AConnectionWhoseAnswerNeverComesIsClosed) {
  databases.connect(1);
  databases.send_line(1, "QUERY a FETCH k");
  ConnectionId id = databases.connection_with("a");
  databases.engine.on_client_closed(1);
  databases.advance(kServerConnectMs + 1);
  EXPECT_FALSE(databases.connections[id].open);
}

TEST_F(PoolerAnswers, ATransactionOfAClientThatVanishedIsRolledBackBeforeAnybodyElse) {
  for (bool confirmed : {true, false}) {
    SingleConnection local;
    local.connect(1), local.connect(2);
    local.send_line(1, "QUERY b BEGIN");
    local.send_line(1, "QUERY s STORE k v");
    ASSERT_TRUE(local.answer_to("s", {"COMPLETE 7.1", "IDLE T 1.2"}));
    local.answers_setup_by_hand = true;
    local.engine.on_client_closed(1);
    local.send_line(2, "QUERY r FETCH k");
    ConnectionId id = local.connection_with("- ROLLBACK");
    ASSERT_NE(id, 0u);
    EXPECT_EQ(local.connection_with("r"), 0u);
    if (confirmed) {
      ASSERT_TRUE(local.answer_to("- ROLLBACK", {"COMPLETE -", kIdle}));
      EXPECT_EQ(local.connection_with("r"), id);
    } else {
      ASSERT_TRUE(local.answer_to("- ROLLBACK", {"COMPLETE -", "IDLE T 1.2"}));
      EXPECT_FALSE(local.connections[id].open);
    }
  }
}

TEST_F(PoolerAnswers, ValuesOfAFormerBorrowerAreGoneOrTheConnectionIs) {
  for (std::string reset : {"done", "refused", "silent", "left"}) {
    SingleConnection local;
    local.connect(1), local.connect(2), local.connect(3);
    local.send_line(1, "QUERY c CONFIGURE v x");
    local.send_line(1, "QUERY a FETCH k");
    ASSERT_TRUE(local.answer_to("a", {"COMPLETE 7.1", kIdle}));
    local.answers_setup_by_hand = true;
    local.send_line(2, "QUERY b FETCH k");
    ConnectionId id = local.connection_with("- RESET");
    ASSERT_NE(id, 0u) << reset;
    if (reset == "done") {
      ASSERT_TRUE(local.answer_to("- RESET", {"COMPLETE -", kIdle}));
      EXPECT_EQ(local.connection_with("b"), id);
    } else if (reset == "refused") {
      ASSERT_TRUE(local.answer_to("- RESET", {"STMTERR THROTTLED x", kIdle}));
      EXPECT_FALSE(local.connections[id].open);
    } else if (reset == "silent") {
      local.advance(801);
      EXPECT_FALSE(local.connections[id].open);
    } else {  // the borrower leaves before it is confirmed: the next one has it confirmed for itself
      local.engine.on_client_closed(2);
      local.connections[id].pending.clear();
      local.read(id, {"COMPLETE -", kIdle});
      local.send_line(3, "QUERY d FETCH k");
      EXPECT_EQ(local.connection_with("- RESET"), id);
    }
    EXPECT_EQ(std::count(local.written.begin(), local.written.end(), "QUERY b FETCH k"), reset == "done")
        << reset;
  }
}

// Databases differ in whether a rollback undoes values set in the transaction, so the pooler relies on
// neither.
TEST_F(PoolerAnswers, ValuesSetInATransactionThatIsRolledBackAreNotRelied) {
  databases.connect(1);
  databases.send_line(1, "QUERY b BEGIN");
  databases.send_line(1, "QUERY f FETCH k");
  ASSERT_TRUE(databases.answer_to("f", {"COMPLETE 7.1", "IDLE T 1.2"}));
  databases.send_line(1, "QUERY c CONFIGURE v x");
  databases.answers_setup_by_hand = true;
  databases.send_line(1, "QUERY g FETCH k");
  ASSERT_TRUE(databases.answer_to("- CONFIGURE", {"COMPLETE -", "IDLE T 1.2"}));
  databases.answers_setup_by_hand = false;
  ASSERT_TRUE(databases.answer_to("g", {"COMPLETE 7.2", "IDLE T 1.2"}));
  databases.send_line(1, "QUERY z ROLLBACK");
  databases.serve();
  databases.send_line(1, "QUERY h FETCH k");
  ASSERT_NE(databases.connection_with("h"), 0u);
  EXPECT_EQ(count("QUERY - RESET"), 1u);
  EXPECT_EQ(count("QUERY - CONFIGURE v x"), 2u);
}

TEST_F(PoolerAnswers, ATransactionThatWasLostIsOverWithItsEnd) {
  databases.connect(1);
  databases.send_line(1, "QUERY b BEGIN");
  databases.send_line(1, "QUERY f FETCH k");
  ASSERT_TRUE(databases.answer_to("f", {"COMPLETE 7.1", "IDLE T 1.2"}));
  databases.advance(3001);  // idle for too long
  databases.take_output(1);
  databases.send_line(1, "QUERY z ROLLBACK");
  EXPECT_EQ(databases.take_output(1), "COMPLETE -\r\nIDLE I -\r\n");
  databases.send_line(1, "QUERY g FETCH k");
  EXPECT_TRUE(databases.answer_to("g", {"COMPLETE 7.2", kIdle})) << databases.output[1];
}

TEST_F(PoolerAnswers, ATransactionIsOpenedBeforeItsStatementIsWritten) {
  databases.connect(1);
  databases.answers_setup_by_hand = true;
  databases.send_line(1, "QUERY b BEGIN");
  databases.send_line(1, "QUERY w STORE k v");
  const ConnectionId id = databases.connection_with("- BEGIN");
  ASSERT_TRUE(
      databases.answer_to("- BEGIN", {"COMPLETE -", kIdle}));  // reports success, but no transaction is open
  EXPECT_FALSE(databases.connections[id].open);
  EXPECT_EQ(count("QUERY w"), 0u);
}

// Rows that arrive before the statement was sent belong to another statement.
TEST_F(PoolerAnswers, RowsOfNobodyAreNotPutBeforeAnAnswer) {
  databases.connect(1);
  databases.take_output(1);
  databases.answers_setup_by_hand = true;
  databases.send_line(1, "QUERY c CONFIGURE v x");
  databases.send_line(1, "QUERY r FETCH k");
  databases.take_output(1);
  const ConnectionId id = databases.connection_with("- CONFIGURE");
  ASSERT_TRUE(databases.answer_to("- CONFIGURE", {"DATAROW other", "COMPLETE -", kIdle}));
  EXPECT_FALSE(databases.connections[id].open);
  databases.answers_setup_by_hand = false;
  ASSERT_TRUE(databases.answer_to("r", {"DATAROW mine", "COMPLETE 7.1", kIdle}));
  EXPECT_EQ(databases.take_output(1), "DATAROW mine\r\nCOMPLETE 7.1\r\nIDLE I -\r\n");
}

TEST_F(PoolerAnswers, ATenantsConnectionAndShapesServeNoOther) {
  databases.max_connections = 2;
  databases.config.insert(databases.config.rfind('}'),
                          R"(,"Tenants":[{"Name":"ann","ApiKeys":["ka"]},{"Name":"bob","ApiKeys":["kb"]}])");
  databases.config.replace(databases.config.find("\"Revision\":1"), 12, "\"Revision\":2");
  databases.feed();
  databases.lease();
  databases.connect(1, "prim", "ka"), databases.connect(2, "prim", "kb");
  for (SessionId id : {1, 2}) databases.send_line(id, "QUERY p PREPARE n FETCH secret" + std::to_string(id));
  databases.send_line(1, "QUERY a EXECUTE n k");
  ConnectionId first = databases.connection_with("a");
  ASSERT_TRUE(databases.answer_to("a", {"COMPLETE 7.1", kIdle}));
  databases.send_line(2, "QUERY b EXECUTE n k");
  ConnectionId second = databases.connection_with("b");
  ASSERT_NE(second, 0u);
  EXPECT_NE(second, first);
  EXPECT_EQ(count("CONNECT s bob"), 1u);
  EXPECT_EQ(count("QUERY - PREPARE p2 FETCH secret2"), 1u)
      << "a prepared name must not refer to another tenant's shape";
}

TEST_F(PoolerAnswers, APreparedNameNeverStandsForAnotherShape) {
  databases.connect(1);
  std::map<std::string, std::string> shapes;
  for (std::size_t i = 0; i < kMaxPreparedNames + 300; ++i) {
    databases.send_line(1, "QUERY p PREPARE n FETCH shape" + std::to_string(i));
    databases.send_line(1, "QUERY a EXECUTE n k");
    ASSERT_TRUE(databases.answer_to("a", {"COMPLETE 7.1", kIdle}));
    databases.output.clear();
    for (auto& line : databases.written) {
      if (!line.starts_with("QUERY - PREPARE ")) continue;
      std::string name = line.substr(16, line.find(' ', 16) - 16), shape = line.substr(line.rfind(' ') + 1);
      auto [entry, inserted] = shapes.emplace(name, shape);
      ASSERT_TRUE(inserted || entry->second == shape) << name << " already refers to " << entry->second;
    }
    databases.written.clear();
  }
}

// --- clients ---------------------------------------------------------------------------

TEST_F(PoolerAnswers, AnswersOfAPipelineComeInItsOrder) {
  databases.connect(1);
  databases.take_output(1);
  databases.send_line(1, "QUERY a FETCH k");
  databases.send_line(1, "QUERY c CONFIGURE v x");
  databases.send_line(1, "QUERY b FETCH l");
  EXPECT_EQ(databases.take_output(1), "") << "answered before an earlier statement";
  ASSERT_TRUE(databases.answer_to("a", {"DATAROW x", "COMPLETE 7.1", kIdle}));
  EXPECT_EQ(databases.take_output(1), "DATAROW x\r\nCOMPLETE 7.1\r\nIDLE I -\r\nCOMPLETE -\r\nIDLE I -\r\n");
  ASSERT_TRUE(databases.answer_to("b", {"COMPLETE 7.2", kIdle}));
  EXPECT_EQ(databases.take_output(1), "COMPLETE 7.2\r\nIDLE I -\r\n");
}

TEST_F(PoolerAnswers, ASessionThatRestedForFourFifthsOfTheLimitIsServed) {
  databases.connect(1);
  databases.send_line(1, "QUERY a FETCH k");
  ASSERT_TRUE(databases.answer_to("a", {"COMPLETE 7.1", kIdle}));
  for (Millis rested = 0; rested < 15000 * 4 / 5 + 100; rested += kIdleCheckIntervalMs) {
    databases.advance(kIdleCheckIntervalMs);
    databases.engine.close_idle_connections();
  }
  EXPECT_FALSE(databases.ended.count(1));
  databases.take_output(1);
  databases.send_line(1, "QUERY b FETCH k");
  ASSERT_TRUE(databases.answer_to("b", {"COMPLETE 7.2", kIdle}));
  EXPECT_NE(databases.take_output(1).find("COMPLETE 7.2"), std::string::npos);
}

TEST_F(PoolerAnswers, WhatASessionKeepsAndSendsAheadIsBounded) {
  databases.connect(1);
  databases.take_output(1);
  const std::string half(kMaxSessionBytes / 2, 'x');
  for (int i = 0; i < 5; ++i) databases.send_line(1, "QUERY c CONFIGURE v " + half.substr(std::size_t(i)));
  databases.send_line(1, "QUERY c CONFIGURE v y");
  EXPECT_EQ(databases.take_output(1).find("STMTERR"), std::string::npos) << "replaced values do not count";
  databases.send_line(1, "QUERY c CONFIGURE v " + half);
  databases.send_line(1, "QUERY c CONFIGURE w " + half);
  EXPECT_NE(databases.take_output(1).find("STMTERR MALFORMED"), std::string::npos);
  databases.connect(2);
  databases.send_line(2, "QUERY a FETCH k");
  EXPECT_FALSE(databases.engine.has_backlog(2));
  databases.send_line(2, "QUERY b STORE k " + std::string(kBackpressureBytes, 'x'));
  EXPECT_TRUE(databases.engine.has_backlog(2));
}

// --- former links and runs of the process -------------------------------------------------------------

TEST_F(PoolerAnswers, GrantsOfAFormerLinkAreVoid) {
  ManualDatabases local;
  pooler::ControlFeed control_feed(local.engine);
  local.feed();
  control_feed.on_link_up(local.now);
  auto grant = [&](Millis at, Millis ms) {
    control_feed.handle_line(
        local.now, Json{{"t", "grant"}, {"at", at}, {"ms", ms}, {"k", local.sequence}, {"n", 1}}.dump());
  };
  local.connect(1);
  grant(local.now - 100, 1000);
  EXPECT_EQ(local.output[1], "") << "a lease that was requested over a former link";
  grant(local.now + 1, 1000);
  EXPECT_EQ(local.output[1], "") << "a lease that was never requested";
  grant(local.now, 1000000);
  EXPECT_EQ(local.output[1], "IDLE I -\r\n");
  local.advance(kNodeLeaseMs);
  local.send_line(1, "QUERY a FETCH k");
  EXPECT_EQ(local.connection_with("a"), 0u) << "a lease is limited to kNodeLeaseMs";
}

TEST_F(PoolerAnswers, PositionsOfAFormerLinkAreVoid) {
  for (bool former : {true, false}) {
    ManualDatabases local;
    pooler::ControlFeed control_feed(local.engine);
    local.feed(false, "db1");  // db0 is the replica in the local zone
    local.lease();
    control_feed.on_link_up(local.now);
    local.advance(50);
    Json depth{{"t", "depth"}, {"s", "s"}, {"at", local.now - (former ? 51 : 10)}, {"p", "9.9"}, {"age", 1}};
    control_feed.handle_line(local.now, depth.dump());
    local.connect(1, "bound");
    local.send_line(1, "QUERY r FETCH k");
    EXPECT_NE(local.connection_with("r"), 0u);
    EXPECT_EQ(local.written.back() == "QUERY r WAITFOR 9.9 FETCH k", !former) << local.written.back();
  }
}

}  // namespace
}  // namespace pebblespindle::test
