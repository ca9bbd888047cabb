// Shutdown of a pooler: statements read in time are answered, later ones reach no database
// (docs/incidents/exit-cut-statements.md).
#include "pooler/manual_databases.h"

namespace pebblespindle::test {
namespace {

const std::string kStamp = "COMPLETE 7.1";

struct PoolerExit : testing::Test {
  PoolerExit() {
    databases.feed();
    databases.lease();
  }
  void leave() {
    databases.engine.begin_shutdown();
    databases.engine.close_idle_sessions();
    databases.engine.stop_accepting_statements();
  }
  bool reached(const std::string& statement) const {
    return std::any_of(databases.written.begin(), databases.written.end(),
                       [&](auto& line) { return line.starts_with("QUERY " + statement); });
  }
  // A session with a transaction whose statement of this id is at a database.
  void begin(SessionId id, const std::string& statement) {
    databases.connect(id);
    databases.send_line(id, "QUERY b BEGIN");
    databases.send_line(id, "QUERY " + statement + " STORE k v");
    ASSERT_NE(databases.connection_with(statement), 0u);
    databases.take_output(id);
  }
  ManualDatabases databases;
};

// Guards against statements that are cut off at the end of the process, because busy transactions went on
// after half of the grace period.
TEST_F(PoolerExit, ABusyTransactionEndsWithTheAnswerOfItsStatement) {
  begin(1, "a1");
  leave();
  EXPECT_FALSE(databases.ended.count(1)) << "its statement is at work";
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  EXPECT_EQ(databases.take_output(1), kStamp + "\r\nIDLE T -\r\n");
  EXPECT_TRUE(databases.ended.count(1));
}

// Guards against statements that are passed on with too little time left to answer them.
TEST_F(PoolerExit, AStatementThatComesLateIsRefusedAndReachesNoDatabase) {
  begin(1, "a1");
  leave();
  databases.send_line(1, "QUERY a2 STORE k w");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  EXPECT_NE(databases.take_output(1).find("IDLE T -\r\nSTMTERR ABORTED"), std::string::npos);
  EXPECT_FALSE(reached("a2"));
  EXPECT_TRUE(databases.ended.count(1));
}

TEST_F(PoolerExit, ACommitThatComesLateIsRefusedWithAPromise) {
  begin(1, "a1");
  leave();
  databases.send_line(1, "QUERY a2 COMMIT");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  const std::string output = databases.take_output(1);
  EXPECT_NE(output.find("STMTERR ABORTED"), std::string::npos) << output;
  EXPECT_TRUE(output.ends_with("IDLE I -\r\n")) << output;
  EXPECT_FALSE(reached("a2"));
  EXPECT_TRUE(reached("- ROLLBACK")) << "its database still has the transaction";
}

TEST_F(PoolerExit, ALateRollbackIsAnswered) {
  begin(1, "a1");
  leave();
  databases.send_line(1, "QUERY a2 ROLLBACK");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  EXPECT_TRUE(databases.take_output(1).ends_with("COMPLETE -\r\nIDLE I -\r\n"));
}

// Statements that were read before the shutdown are all run and answered.
TEST_F(PoolerExit, APipelineReadInTimeIsRunToItsEnd) {
  begin(1, "a1");
  databases.send_line(1, "QUERY a2 STORE k w");
  databases.send_line(1, "QUERY a3 COMMIT");
  leave();
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  EXPECT_TRUE(databases.answer_to("a2", {"COMPLETE 7.2", "IDLE T 1.2"}));
  EXPECT_TRUE(databases.answer_to("a3", {"COMPLETE 7.3", "IDLE I 1.3"}));
  EXPECT_TRUE(databases.take_output(1).ends_with("COMPLETE 7.3\r\nIDLE I -\r\n"));
  EXPECT_TRUE(databases.ended.count(1));
}

// Guards against a client that always sends ahead and so keeps its session until the process ends.
TEST_F(PoolerExit, ASessionThatSendsAheadEndsToo) {
  databases.connect(1);
  databases.send_line(1, "QUERY a1 STORE k v");
  leave();
  databases.take_output(1);
  for (auto* id : {"a2", "a3", "a4"}) databases.send_line(1, std::string("QUERY ") + id + " STORE k v");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE I 1.2"}));
  const std::string output = databases.take_output(1);
  EXPECT_TRUE(output.starts_with(kStamp)) << output;
  std::size_t refused = 0;
  for (std::size_t at = 0; (at = output.find("STMTERR THROTTLED", at)) != std::string::npos; ++at) ++refused;
  EXPECT_EQ(refused, 3u) << output;
  EXPECT_FALSE(reached("a2") || reached("a3") || reached("a4"));
  EXPECT_TRUE(databases.ended.count(1));
}

TEST_F(PoolerExit, OpenTransactionsAtRestEndAndWorkStays) {
  databases.connect(1);
  databases.send_line(1, "QUERY b BEGIN");
  begin(2, "a1");
  databases.engine.begin_shutdown();
  databases.engine.close_idle_sessions();
  EXPECT_TRUE(databases.ended.empty()) << "transactions have half of the grace period";
  databases.engine.stop_accepting_statements();
  EXPECT_TRUE(databases.ended.count(1));
  databases.advance(500);
  EXPECT_FALSE(databases.ended.count(2)) << "a database's silence is no reason to end an answer sooner";
}

// In the last resort a client gets an answer with what is known of the outcome, rather than a closed
// connection.
TEST_F(PoolerExit, WhatIsGivenUpIsAnswered) {
  struct Case {
    const char* what;
    std::vector<std::string> lines;
    const char* answer;
  };
  const std::vector<Case> cases = {
      {"a write that may have run", {"QUERY w STORE k v"}, "STMTERR UNKNOWN"},
      {"a read", {"QUERY w FETCH k"}, "STMTERR THROTTLED"},
      {"a statement of a transaction", {"QUERY b BEGIN", "QUERY w STORE k v"}, "STMTERR ABORTED"},
  };
  for (auto& [what, lines, answer] : cases) {
    ManualDatabases one;
    one.feed();
    one.lease();
    one.connect(1);
    for (auto& line : lines) one.send_line(1, line);
    ASSERT_NE(one.connection_with("w"), 0u) << what;
    one.take_output(1);
    one.engine.begin_shutdown();
    one.engine.close_idle_sessions();
    one.engine.stop_accepting_statements();
    one.engine.abort_sessions();
    EXPECT_TRUE(one.take_output(1).starts_with(answer)) << what;
    EXPECT_TRUE(one.ended.count(1)) << what;
    EXPECT_EQ(one.engine.session_count(), 0u) << what;
  }
}

TEST_F(PoolerExit, ACommitThatIsGivenUpIsInDoubt) {
  begin(1, "a1");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  databases.send_line(1, "QUERY a2 COMMIT");
  ASSERT_NE(databases.connection_with("a2"), 0u);
  databases.take_output(1);
  leave();
  databases.engine.abort_sessions();
  EXPECT_TRUE(databases.take_output(1).starts_with("STMTERR UNKNOWN"));
}

TEST_F(PoolerExit, WhatWaitsForAConnectionIsGivenUpWithAPromise) {
  databases.max_connections = 0;
  databases.connect(1);
  databases.send_line(1, "QUERY a1 STORE k v");
  databases.send_line(1, "QUERY a2 STORE k v");
  databases.take_output(1);
  leave();
  databases.engine.abort_sessions();
  const std::string output = databases.take_output(1);
  EXPECT_TRUE(output.starts_with("STMTERR THROTTLED")) << output;
  EXPECT_NE(output.find("STMTERR THROTTLED", 1), std::string::npos)
      << "so is what waits behind it: " << output;
  EXPECT_FALSE(reached("a1") || reached("a2"));
}

}  // namespace
}  // namespace pebblespindle::test
