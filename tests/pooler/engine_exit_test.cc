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
  void shut_down() {
    databases.engine.begin_shutdown();
    databases.engine.close_idle_sessions();
    databases.engine.stop_accepting_statements();
  }
  bool was_sent(const std::string& statement) const {
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

// Guards against statements that are cut off at the end of the process, because active transactions
// continued after half of the grace period.
TEST_F(PoolerExit, AnActiveTransactionEndsWithTheAnswerOfItsStatement) {
  begin(1, "a1");
  shut_down();
  EXPECT_FALSE(databases.ended.count(1)) << "its statement is still running";
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  EXPECT_EQ(databases.take_output(1), kStamp + "\r\nIDLE T -\r\n");
  EXPECT_TRUE(databases.ended.count(1));
}

// Guards against statements that are passed on with too little time left to answer them.
TEST_F(PoolerExit, AStatementThatComesLateIsRefusedAndReachesNoDatabase) {
  begin(1, "a1");
  shut_down();
  databases.send_line(1, "QUERY a2 STORE k w");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  EXPECT_NE(databases.take_output(1).find("IDLE T -\r\nSTMTERR ABORTED"), std::string::npos);
  EXPECT_FALSE(was_sent("a2"));
  EXPECT_TRUE(databases.ended.count(1));
}

TEST_F(PoolerExit, ACommitThatComesLateIsRefusedAsNotRun) {
  begin(1, "a1");
  shut_down();
  databases.send_line(1, "QUERY a2 COMMIT");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  const std::string output = databases.take_output(1);
  EXPECT_NE(output.find("STMTERR ABORTED"), std::string::npos) << output;
  EXPECT_TRUE(output.ends_with("IDLE I -\r\n")) << output;
  EXPECT_FALSE(was_sent("a2"));
  EXPECT_TRUE(was_sent("- ROLLBACK")) << "the transaction is still open at the database";
}

TEST_F(PoolerExit, ALateRollbackIsAnswered) {
  begin(1, "a1");
  shut_down();
  databases.send_line(1, "QUERY a2 ROLLBACK");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  EXPECT_TRUE(databases.take_output(1).ends_with("COMPLETE -\r\nIDLE I -\r\n"));
}

// Statements that were read before the shutdown are all run and answered.
TEST_F(PoolerExit, APipelineReadInTimeIsRunToItsEnd) {
  begin(1, "a1");
  databases.send_line(1, "QUERY a2 STORE k w");
  databases.send_line(1, "QUERY a3 COMMIT");
  shut_down();
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
  shut_down();
  databases.take_output(1);
  for (auto* id : {"a2", "a3", "a4"}) databases.send_line(1, std::string("QUERY ") + id + " STORE k v");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE I 1.2"}));
  const std::string output = databases.take_output(1);
  EXPECT_TRUE(output.starts_with(kStamp)) << output;
  std::size_t refused = 0;
  for (std::size_t offset = 0; (offset = output.find("STMTERR THROTTLED", offset)) != std::string::npos;
       ++offset)
    ++refused;
  EXPECT_EQ(refused, 3u) << output;
  EXPECT_FALSE(was_sent("a2") || was_sent("a3") || was_sent("a4"));
  EXPECT_TRUE(databases.ended.count(1));
}

TEST_F(PoolerExit, IdleTransactionsEndAndRunningStatementsContinue) {
  databases.connect(1);
  databases.send_line(1, "QUERY b BEGIN");
  begin(2, "a1");
  databases.engine.begin_shutdown();
  databases.engine.close_idle_sessions();
  EXPECT_TRUE(databases.ended.empty()) << "transactions have half of the grace period";
  databases.engine.stop_accepting_statements();
  EXPECT_TRUE(databases.ended.count(1));
  databases.advance(500);
  EXPECT_FALSE(databases.ended.count(2)) << "a session that waits for a database's answer stays open";
}

// Guards against closing a connection without an answer: an aborted session reports what is known about the
// outcome of its statement.
TEST_F(PoolerExit, StatementsOfAbortedSessionsAreAnswered) {
  struct Case {
    const char* description;
    std::vector<std::string> lines;
    const char* answer;
  };
  const std::vector<Case> cases = {
      {"a write that may have run", {"QUERY w STORE k v"}, "STMTERR UNKNOWN"},
      {"a read", {"QUERY w FETCH k"}, "STMTERR THROTTLED"},
      {"a statement of a transaction", {"QUERY b BEGIN", "QUERY w STORE k v"}, "STMTERR ABORTED"},
  };
  for (auto& [description, lines, answer] : cases) {
    ManualDatabases aborted;
    aborted.feed();
    aborted.lease();
    aborted.connect(1);
    for (auto& line : lines) aborted.send_line(1, line);
    ASSERT_NE(aborted.connection_with("w"), 0u) << description;
    aborted.take_output(1);
    aborted.engine.begin_shutdown();
    aborted.engine.close_idle_sessions();
    aborted.engine.stop_accepting_statements();
    aborted.engine.abort_sessions();
    EXPECT_TRUE(aborted.take_output(1).starts_with(answer)) << description;
    EXPECT_TRUE(aborted.ended.count(1)) << description;
    EXPECT_EQ(aborted.engine.session_count(), 0u) << description;
  }
}

TEST_F(PoolerExit, TheOutcomeOfAnAbortedCommitIsUnknown) {
  begin(1, "a1");
  EXPECT_TRUE(databases.answer_to("a1", {kStamp, "IDLE T 1.2"}));
  databases.send_line(1, "QUERY a2 COMMIT");
  ASSERT_NE(databases.connection_with("a2"), 0u);
  databases.take_output(1);
  shut_down();
  databases.engine.abort_sessions();
  EXPECT_TRUE(databases.take_output(1).starts_with("STMTERR UNKNOWN"));
}

TEST_F(PoolerExit, StatementsWaitingForAConnectionAreRefusedAsNotRun) {
  databases.max_connections = 0;
  databases.connect(1);
  databases.send_line(1, "QUERY a1 STORE k v");
  databases.send_line(1, "QUERY a2 STORE k v");
  databases.take_output(1);
  shut_down();
  databases.engine.abort_sessions();
  const std::string output = databases.take_output(1);
  EXPECT_TRUE(output.starts_with("STMTERR THROTTLED")) << output;
  EXPECT_NE(output.find("STMTERR THROTTLED", 1), std::string::npos)
      << "the statement queued behind it is refused too: " << output;
  EXPECT_FALSE(was_sent("a1") || was_sent("a2"));
}

}  // namespace
}  // namespace pebblespindle::test
