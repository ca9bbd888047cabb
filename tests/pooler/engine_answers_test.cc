// Answers reach only their own callers. Each test checks one way in which that could fail: reused
// connections, clients that have gone, and earlier links or runs of the process.
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
    return std::size_t(
        std::count_if(q.written.begin(), q.written.end(), [&](auto& w) { return w.starts_with(start); }));
  }
  SingleConnection q;
};

const std::string kRest = "IDLE I 1.2";

TEST_F(PoolerAnswers, OneThatComesTwiceIsNotTakenForThatOfTheNextBorrower) {
  q.connect(1), q.connect(2);
  q.send_line(1, "QUERY a1 FETCH k");
  q.send_line(2, "QUERY b1 STORE k v");  // waits for the one connection
  EXPECT_TRUE(q.answer_to("a1", {"DATAROW x", "COMPLETE 7.1", kRest, "DATAROW x", "COMPLETE 7.1", kRest}));
  EXPECT_NE(q.output[1].find("DATAROW x\r\nCOMPLETE 7.1\r\n"), std::string::npos);
  EXPECT_EQ(q.output[2].find("COMPLETE"), std::string::npos) << q.output[2];
  EXPECT_EQ(count("QUERY b1"), 1u) << "it was written, and what came of it is not known";
}

// Guards against a database that runs a statement for a second after its client has left.
TEST_F(PoolerAnswers, AStatementWhoseClientHasLeftEndsWithinHalfASecond) {
  q.connect(1);
  q.send_line(1, "QUERY a1 FETCH k");
  const ConnectionId id = q.connection_with("a1");
  q.engine.on_client_closed(1);
  q.advance(200);
  EXPECT_TRUE(q.connections[id].open) << "most end soon, and the connection is kept";
  q.advance(290);
  EXPECT_FALSE(q.connections[id].open);
}

TEST_F(PoolerAnswers, BytesBehindAnAnswerEndTheConnection) {
  for (std::string tail : {"DATAROW x", "COMPLETE 7.9", "STMTERR THROTTLED x", "IDLE I 1.1", "HUM", ""}) {
    for (bool later : {false, true}) {
      SingleConnection w;
      w.connect(1);
      w.send_line(1, "QUERY a1 FETCH k");
      ConnectionId id = w.connection_with("a1");
      if (later) {
        EXPECT_TRUE(w.answer_to("a1", {"COMPLETE 7.1", kRest}));
        w.read(id, {tail});
      } else {
        EXPECT_TRUE(w.answer_to("a1", {"COMPLETE 7.1", kRest, tail}));
      }
      EXPECT_FALSE(w.connections[id].open) << tail;
      EXPECT_NE(w.output[1].find("COMPLETE 7.1"), std::string::npos);
    }
  }
}

// An invalid or incomplete answer counts as none: the outcome of a write that may have run is unknown.
TEST_F(PoolerAnswers, ThoseThatDoNotFitAreNotPassedOn) {
  const std::vector<std::vector<std::string>> unfit = {
      {kRest},
      {"COMPLETE -", kRest},
      {"COMPLETE", kRest},
      {"COMPLETE 7.1", "DATAROW y", kRest},
      {"COMPLETE 7.1", "COMPLETE 7.2", kRest},
      {"COMPLETE 7.1", "STMTERR THROTTLED x", kRest},
      {"STMTERR THROTTLED x", "COMPLETE 7.1", kRest},
      {"STMTERR", kRest},
      {"COMPLETE 7.1", "IDLE T 1.2"},
      {"COMPLETE 7.1", "IDLE E 1.2"},
      {"COMPLETE 7.1", "IDLE"},
      {"COMPLETE 7.1", "IDLE I x"},
      {"HUM"},
  };
  SessionId s = 0;
  for (auto& body : unfit) {
    q.connect(++s);
    q.take_output(s);
    q.send_line(s, "QUERY w STORE k v");
    ConnectionId id = q.connection_with("w");
    ASSERT_TRUE(q.answer_to("w", body));
    EXPECT_TRUE(q.take_output(s).starts_with("STMTERR UNKNOWN")) << body.front();
    EXPECT_FALSE(q.connections[id].open) << body.front();
    EXPECT_EQ(q.connection_with("w"), 0u) << "written again after " << body.front();
  }
}

TEST_F(PoolerAnswers, AnEndlessOneIsCut) {
  q.connect(1);
  q.take_output(1);
  q.send_line(1, "QUERY w STORE k v");
  ConnectionId id = q.connection_with("w");
  const std::string row = "DATAROW " + std::string(1 << 20, 'x');
  for (int i = 0; i < 20 && q.connections[id].open; ++i) q.engine.on_database_line(id, row);
  EXPECT_FALSE(q.connections[id].open);
  EXPECT_TRUE(q.take_output(1).starts_with("STMTERR UNKNOWN"));
}

TEST_F(PoolerAnswers, AGreetingThatIsNoneOpensNoConnection) {
  q.answers_setup_by_hand = true;
  q.connect(1);
  q.send_line(1, "QUERY w STORE k v");
  ASSERT_EQ(q.connections.size(), 1u);
  q.read(1, {"IDLE T 1.1"});
  EXPECT_FALSE(q.connections[1].open);
  EXPECT_EQ(count("QUERY"), 0u);
}

// --- writes: once, unless it is known that nothing has run ---------------------------------

TEST_F(PoolerAnswers, AWriteWhoseConnectionEndsIsInDoubtAndAReadGoesOn) {
  q.connect(1), q.connect(2, "bound");
  q.take_output(1), q.take_output(2);
  q.send_line(1, "QUERY w STORE k v");
  ConnectionId id = q.connection_with("w");
  q.connections[id].open = false;
  q.engine.on_connection_lost(id, false, false);
  EXPECT_TRUE(q.take_output(1).starts_with("STMTERR UNKNOWN"));
  q.advance(2000);
  EXPECT_EQ(count("QUERY w"), 1u);
  q.send_line(2, "QUERY r FETCH k");
  id = q.connection_with("r");
  q.connections[id].open = false;
  q.engine.on_connection_lost(id, false, false);
  EXPECT_TRUE(q.answer_to("r", {"DATAROW x", "COMPLETE 7.1", kRest}));
  EXPECT_NE(q.take_output(2).find("COMPLETE 7.1"), std::string::npos);
}

TEST_F(PoolerAnswers, AWriteNotYetWrittenGoesOverAnotherConnection) {
  q.answers_setup_by_hand = true;
  q.connect(1);
  q.send_line(1, "QUERY c CONFIGURE v x");
  q.send_line(1, "QUERY w STORE k v");
  const ConnectionId id = q.connection_with("- CONFIGURE");
  ASSERT_NE(id, 0u);
  q.connections[id].open = false;
  q.engine.on_connection_lost(id, false, false);
  EXPECT_EQ(count("QUERY w"), 0u);
  q.answers_setup_by_hand = false;
  EXPECT_TRUE(q.answer_to("w", {"COMPLETE 7.1", kRest}));
  EXPECT_NE(q.output[1].find("COMPLETE 7.1"), std::string::npos);
}

TEST_F(PoolerAnswers, ThatOfAWriteGivenUpReachesNobody) {
  q.connect(1);
  q.take_output(1);
  q.send_line(1, "QUERY w STORE k v");
  ConnectionId id = q.connection_with("w");
  q.advance(801);
  EXPECT_TRUE(q.take_output(1).starts_with("STMTERR UNKNOWN"));
  EXPECT_FALSE(q.connections[id].open);
  for (auto* line : {"COMPLETE 7.1", "IDLE I 1.2"}) q.engine.on_database_line(id, line);
  EXPECT_EQ(q.take_output(1), "");
}

TEST_F(PoolerAnswers, ACommitInDoubtIsNeverPromised) {
  q.connect(1);
  q.send_line(1, "QUERY b BEGIN");
  q.send_line(1, "QUERY w STORE k v");
  ASSERT_TRUE(q.answer_to("w", {"COMPLETE 7.1", "IDLE T 1.2"}));
  q.take_output(1);
  q.send_line(1, "QUERY c COMMIT");
  ConnectionId id = q.connection_with("c");
  q.connections[id].open = false;
  q.engine.on_connection_lost(id, false, false);
  EXPECT_TRUE(q.take_output(1).starts_with("STMTERR UNKNOWN"));
  EXPECT_EQ(q.connection_with("c"), 0u);
}

// An error in a transaction ends it, even if the database goes on with it: the client may begin again at
// once.
TEST_F(PoolerAnswers, ATransactionDoesNotGoOnAfterAPromise) {
  q.connect(1);
  q.send_line(1, "QUERY b BEGIN");
  q.send_line(1, "QUERY w STORE k v");
  ASSERT_TRUE(q.answer_to("w", {"COMPLETE 7.1", "IDLE T 1.2"}));
  q.send_line(1, "QUERY x STORE l v");
  q.take_output(1);
  q.answers_setup_by_hand = true;
  ASSERT_TRUE(q.answer_to("x", {"STMTERR THROTTLED x", "IDLE T 1.2"}));
  EXPECT_NE(q.take_output(1).find("IDLE E"), std::string::npos);
  EXPECT_NE(q.connection_with("- ROLLBACK"), 0u);
  q.send_line(1, "QUERY c COMMIT");
  EXPECT_EQ(count("QUERY c"), 0u);
}

TEST_F(PoolerAnswers, TheRightToAskIsLookedAtWhenAStatementIsWritten) {
  SingleConnection w(10);
  w.connect(1), w.connect(2);
  w.send_line(1, "QUERY a FETCH k");
  w.send_line(2, "QUERY b FETCH k");  // waits for the one connection
  ASSERT_NE(w.connection_with("a"), 0u);
  w.advance(11);  // the lease ends meanwhile
  ASSERT_TRUE(w.answer_to("a", {"COMPLETE 7.1", kRest}));
  EXPECT_EQ(w.connection_with("b"), 0u) << "sent to a primary without a lease";
  w.lease();
  EXPECT_TRUE(w.answer_to("b", {"COMPLETE 7.2", kRest}));
}

// --- the pool's connections and their former borrowers ----------------------------------------

TEST_F(PoolerAnswers, AConnectionWhoseAnswerIsOnItsWayGoesToNobodyElse) {
  q.connect(1), q.connect(2);
  q.send_line(1, "QUERY a FETCH k");
  ConnectionId id = q.connection_with("a");
  q.engine.on_client_closed(1);
  q.send_line(2, "QUERY b FETCH k");
  EXPECT_EQ(q.connection_with("b"), 0u) << "written before the answer to another";
  q.connections[id].pending.clear();
  q.read(id, {"DATAROW x", "COMPLETE 7.1", kRest});
  EXPECT_EQ(q.connection_with("b"), id);
  EXPECT_EQ(q.output[2], "IDLE I -\r\n");
  EXPECT_TRUE(q.answer_to("b", {"COMPLETE 7.2", kRest}));
  EXPECT_NE(q.output[2].find("COMPLETE 7.2"), std::string::npos);
  EXPECT_EQ(q.output[2].find("DATAROW x"), std::string::npos);
}

TEST_F(PoolerAnswers, AConnectionWhoseAnswerNeverComesIsClosed) {
  q.connect(1);
  q.send_line(1, "QUERY a FETCH k");
  ConnectionId id = q.connection_with("a");
  q.engine.on_client_closed(1);
  q.advance(kServerConnectMs + 1);
  EXPECT_FALSE(q.connections[id].open);
}

TEST_F(PoolerAnswers, ATransactionOfAClientThatVanishedIsRolledBackBeforeAnybodyElse) {
  for (bool confirmed : {true, false}) {
    SingleConnection w;
    w.connect(1), w.connect(2);
    w.send_line(1, "QUERY b BEGIN");
    w.send_line(1, "QUERY s STORE k v");
    ASSERT_TRUE(w.answer_to("s", {"COMPLETE 7.1", "IDLE T 1.2"}));
    w.answers_setup_by_hand = true;
    w.engine.on_client_closed(1);
    w.send_line(2, "QUERY r FETCH k");
    ConnectionId id = w.connection_with("- ROLLBACK");
    ASSERT_NE(id, 0u);
    EXPECT_EQ(w.connection_with("r"), 0u);
    if (confirmed) {
      ASSERT_TRUE(w.answer_to("- ROLLBACK", {"COMPLETE -", kRest}));
      EXPECT_EQ(w.connection_with("r"), id);
    } else {
      ASSERT_TRUE(w.answer_to("- ROLLBACK", {"COMPLETE -", "IDLE T 1.2"}));
      EXPECT_FALSE(w.connections[id].open);
    }
  }
}

TEST_F(PoolerAnswers, ValuesOfAFormerBorrowerAreGoneOrTheConnectionIs) {
  for (std::string reset : {"done", "refused", "silent", "left"}) {
    SingleConnection w;
    w.connect(1), w.connect(2), w.connect(3);
    w.send_line(1, "QUERY c CONFIGURE v x");
    w.send_line(1, "QUERY a FETCH k");
    ASSERT_TRUE(w.answer_to("a", {"COMPLETE 7.1", kRest}));
    w.answers_setup_by_hand = true;
    w.send_line(2, "QUERY b FETCH k");
    ConnectionId id = w.connection_with("- RESET");
    ASSERT_NE(id, 0u) << reset;
    if (reset == "done") {
      ASSERT_TRUE(w.answer_to("- RESET", {"COMPLETE -", kRest}));
      EXPECT_EQ(w.connection_with("b"), id);
    } else if (reset == "refused") {
      ASSERT_TRUE(w.answer_to("- RESET", {"STMTERR THROTTLED x", kRest}));
      EXPECT_FALSE(w.connections[id].open);
    } else if (reset == "silent") {
      w.advance(801);
      EXPECT_FALSE(w.connections[id].open);
    } else {  // the borrower leaves before it is confirmed: the next one has it confirmed for itself
      w.engine.on_client_closed(2);
      w.connections[id].pending.clear();
      w.read(id, {"COMPLETE -", kRest});
      w.send_line(3, "QUERY d FETCH k");
      EXPECT_EQ(w.connection_with("- RESET"), id);
    }
    EXPECT_EQ(std::count(w.written.begin(), w.written.end(), "QUERY b FETCH k"), reset == "done") << reset;
  }
}

// Databases differ in whether a rollback undoes values set in the transaction, so the pooler relies on
// neither.
TEST_F(PoolerAnswers, ValuesSetInATransactionThatIsRolledBackAreNotRelied) {
  q.connect(1);
  q.send_line(1, "QUERY b BEGIN");
  q.send_line(1, "QUERY f FETCH k");
  ASSERT_TRUE(q.answer_to("f", {"COMPLETE 7.1", "IDLE T 1.2"}));
  q.send_line(1, "QUERY c CONFIGURE v x");
  q.answers_setup_by_hand = true;
  q.send_line(1, "QUERY g FETCH k");
  ASSERT_TRUE(q.answer_to("- CONFIGURE", {"COMPLETE -", "IDLE T 1.2"}));
  q.answers_setup_by_hand = false;
  ASSERT_TRUE(q.answer_to("g", {"COMPLETE 7.2", "IDLE T 1.2"}));
  q.send_line(1, "QUERY z ROLLBACK");
  q.serve();
  q.send_line(1, "QUERY h FETCH k");
  ASSERT_NE(q.connection_with("h"), 0u);
  EXPECT_EQ(count("QUERY - RESET"), 1u);
  EXPECT_EQ(count("QUERY - CONFIGURE v x"), 2u);
}

TEST_F(PoolerAnswers, ATransactionThatWasLostIsOverWithItsEnd) {
  q.connect(1);
  q.send_line(1, "QUERY b BEGIN");
  q.send_line(1, "QUERY f FETCH k");
  ASSERT_TRUE(q.answer_to("f", {"COMPLETE 7.1", "IDLE T 1.2"}));
  q.advance(3001);  // rests for too long
  q.take_output(1);
  q.send_line(1, "QUERY z ROLLBACK");
  EXPECT_EQ(q.take_output(1), "COMPLETE -\r\nIDLE I -\r\n");
  q.send_line(1, "QUERY g FETCH k");
  EXPECT_TRUE(q.answer_to("g", {"COMPLETE 7.2", kRest})) << q.output[1];
}

TEST_F(PoolerAnswers, ATransactionIsOpenedBeforeItsStatementIsWritten) {
  q.connect(1);
  q.answers_setup_by_hand = true;
  q.send_line(1, "QUERY b BEGIN");
  q.send_line(1, "QUERY w STORE k v");
  const ConnectionId id = q.connection_with("- BEGIN");
  ASSERT_TRUE(q.answer_to("- BEGIN", {"COMPLETE -", kRest}));  // reports success, but no transaction is open
  EXPECT_FALSE(q.connections[id].open);
  EXPECT_EQ(count("QUERY w"), 0u);
}

// Rows that arrive before the statement was sent belong to another statement.
TEST_F(PoolerAnswers, RowsOfNobodyAreNotPutBeforeAnAnswer) {
  q.connect(1);
  q.take_output(1);
  q.answers_setup_by_hand = true;
  q.send_line(1, "QUERY c CONFIGURE v x");
  q.send_line(1, "QUERY r FETCH k");
  q.take_output(1);
  const ConnectionId id = q.connection_with("- CONFIGURE");
  ASSERT_TRUE(q.answer_to("- CONFIGURE", {"DATAROW other", "COMPLETE -", kRest}));
  EXPECT_FALSE(q.connections[id].open);
  q.answers_setup_by_hand = false;
  ASSERT_TRUE(q.answer_to("r", {"DATAROW mine", "COMPLETE 7.1", kRest}));
  EXPECT_EQ(q.take_output(1), "DATAROW mine\r\nCOMPLETE 7.1\r\nIDLE I -\r\n");
}

TEST_F(PoolerAnswers, ATenantsConnectionAndShapesServeNoOther) {
  q.max_connections = 2;
  q.config.insert(q.config.rfind('}'),
                  R"(,"Tenants":[{"Name":"ann","ApiKeys":["ka"]},{"Name":"bob","ApiKeys":["kb"]}])");
  q.config.replace(q.config.find("\"Revision\":1"), 12, "\"Revision\":2");
  q.feed();
  q.lease();
  q.connect(1, "prim", "ka"), q.connect(2, "prim", "kb");
  for (SessionId id : {1, 2}) q.send_line(id, "QUERY p PREPARE n FETCH secret" + std::to_string(id));
  q.send_line(1, "QUERY a EXECUTE n k");
  ConnectionId first = q.connection_with("a");
  ASSERT_TRUE(q.answer_to("a", {"COMPLETE 7.1", kRest}));
  q.send_line(2, "QUERY b EXECUTE n k");
  ConnectionId second = q.connection_with("b");
  ASSERT_NE(second, 0u);
  EXPECT_NE(second, first);
  EXPECT_EQ(count("CONNECT s bob"), 1u);
  EXPECT_EQ(count("QUERY - PREPARE p2 FETCH secret2"), 1u) << "a name that stands for another's shape";
}

TEST_F(PoolerAnswers, APreparedNameNeverStandsForAnotherShape) {
  q.connect(1);
  std::map<std::string, std::string> shapes;
  for (std::size_t i = 0; i < kMaxPreparedNames + 300; ++i) {
    q.send_line(1, "QUERY p PREPARE n FETCH shape" + std::to_string(i));
    q.send_line(1, "QUERY a EXECUTE n k");
    ASSERT_TRUE(q.answer_to("a", {"COMPLETE 7.1", kRest}));
    q.output.clear();
    for (auto& w : q.written) {
      if (!w.starts_with("QUERY - PREPARE ")) continue;
      std::string name = w.substr(16, w.find(' ', 16) - 16), shape = w.substr(w.rfind(' ') + 1);
      auto [it, fresh] = shapes.emplace(name, shape);
      ASSERT_TRUE(fresh || it->second == shape) << name << " stood for " << it->second;
    }
    q.written.clear();
  }
}

// --- clients ---------------------------------------------------------------------------

TEST_F(PoolerAnswers, ThoseOfAPipelineComeInItsOrder) {
  q.connect(1);
  q.take_output(1);
  q.send_line(1, "QUERY a FETCH k");
  q.send_line(1, "QUERY c CONFIGURE v x");
  q.send_line(1, "QUERY b FETCH l");
  EXPECT_EQ(q.take_output(1), "") << "answered before what was asked first";
  ASSERT_TRUE(q.answer_to("a", {"DATAROW x", "COMPLETE 7.1", kRest}));
  EXPECT_EQ(q.take_output(1), "DATAROW x\r\nCOMPLETE 7.1\r\nIDLE I -\r\nCOMPLETE -\r\nIDLE I -\r\n");
  ASSERT_TRUE(q.answer_to("b", {"COMPLETE 7.2", kRest}));
  EXPECT_EQ(q.take_output(1), "COMPLETE 7.2\r\nIDLE I -\r\n");
}

TEST_F(PoolerAnswers, ASessionThatRestedForFourFifthsOfTheLimitIsServed) {
  q.connect(1);
  q.send_line(1, "QUERY a FETCH k");
  ASSERT_TRUE(q.answer_to("a", {"COMPLETE 7.1", kRest}));
  for (Millis rested = 0; rested < 15000 * 4 / 5 + 100; rested += kIdleCheckIntervalMs) {
    q.advance(kIdleCheckIntervalMs);
    q.engine.close_idle_connections();
  }
  EXPECT_FALSE(q.ended.count(1));
  q.take_output(1);
  q.send_line(1, "QUERY b FETCH k");
  ASSERT_TRUE(q.answer_to("b", {"COMPLETE 7.2", kRest}));
  EXPECT_NE(q.take_output(1).find("COMPLETE 7.2"), std::string::npos);
}

TEST_F(PoolerAnswers, WhatASessionKeepsAndSendsAheadIsBounded) {
  q.connect(1);
  q.take_output(1);
  const std::string half(kMaxSessionBytes / 2, 'x');
  for (int i = 0; i < 5; ++i) q.send_line(1, "QUERY c CONFIGURE v " + half.substr(std::size_t(i)));
  q.send_line(1, "QUERY c CONFIGURE v y");
  EXPECT_EQ(q.take_output(1).find("STMTERR"), std::string::npos) << "what is replaced does not count";
  q.send_line(1, "QUERY c CONFIGURE v " + half);
  q.send_line(1, "QUERY c CONFIGURE w " + half);
  EXPECT_NE(q.take_output(1).find("STMTERR MALFORMED"), std::string::npos);
  q.connect(2);
  q.send_line(2, "QUERY a FETCH k");
  EXPECT_FALSE(q.engine.has_backlog(2));
  q.send_line(2, "QUERY b STORE k " + std::string(kBackpressureBytes, 'x'));
  EXPECT_TRUE(q.engine.has_backlog(2));
}

// --- former links and lives -------------------------------------------------------------

TEST_F(PoolerAnswers, GrantsOfAFormerLinkAreVoid) {
  ManualDatabases w;
  pooler::ControlFeed control_feed(w.engine);
  w.feed();
  control_feed.on_link_up(w.now);
  auto grant = [&](Millis at, Millis ms) {
    control_feed.handle_line(
        w.now, Json{{"t", "grant"}, {"at", at}, {"ms", ms}, {"k", w.sequence}, {"n", 1}}.dump());
  };
  w.connect(1);
  grant(w.now - 100, 1000);
  EXPECT_EQ(w.output[1], "") << "a lease that was asked for by a former life";
  grant(w.now + 1, 1000);
  EXPECT_EQ(w.output[1], "") << "a lease that was never asked for";
  grant(w.now, 1000000);
  EXPECT_EQ(w.output[1], "IDLE I -\r\n");
  w.advance(kNodeLeaseMs);
  w.send_line(1, "QUERY a FETCH k");
  EXPECT_EQ(w.connection_with("a"), 0u) << "no lease lasts longer than any";
}

TEST_F(PoolerAnswers, PositionsOfAFormerLinkAreVoid) {
  for (bool former : {true, false}) {
    ManualDatabases w;
    pooler::ControlFeed control_feed(w.engine);
    w.feed(false, "db1");  // db0 is the replica at home
    w.lease();
    control_feed.on_link_up(w.now);
    w.advance(50);
    Json depth{{"t", "depth"}, {"s", "s"}, {"at", w.now - (former ? 51 : 10)}, {"p", "9.9"}, {"age", 1}};
    control_feed.handle_line(w.now, depth.dump());
    w.connect(1, "bound");
    w.send_line(1, "QUERY r FETCH k");
    EXPECT_NE(w.connection_with("r"), 0u);
    EXPECT_EQ(w.written.back() == "QUERY r WAITFOR 9.9 FETCH k", !former) << w.written.back();
  }
}

}  // namespace
}  // namespace pebblespindle::test
