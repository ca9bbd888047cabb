// Tests of single behaviours of the pooler's engine. Each test supplies the answers of the databases itself.
#include "membership/constants.h"
#include "pooler/constants.h"
#include "pooler/manual_databases.h"

namespace pebblespindle::test {
namespace {

TEST(Engine, SessionsWaitForTheFirstFeedAndLease) {
  ManualDatabases databases;
  databases.engine.on_client_connected(1);
  databases.send_line(1, "CONNECT prim a");
  EXPECT_EQ(databases.output[1], "")
      << "the session must wait: a database may exist that the node does not know yet";
  databases.feed();
  EXPECT_EQ(databases.output[1], "");
  databases.lease();
  EXPECT_EQ(databases.output[1], "IDLE I -\r\n");
  ManualDatabases late;
  late.engine.on_client_connected(1);
  late.send_line(1, "CONNECT prim a");
  late.advance(kInitialFeedWaitMs + 1);
  EXPECT_TRUE(late.output[1].starts_with("STMTERR THROTTLED")) << late.output[1];
  EXPECT_TRUE(late.ended.count(1));
}

TEST(Engine, ASessionThatWaitedForALeaseIsGreetedOnce) {
  ManualDatabases databases;
  databases.engine.on_client_connected(1);
  databases.send_line(1, "CONNECT prim a");
  databases.feed();
  databases.advance(kInitialFeedWaitMs + 1);  // the wait ends without a lease: the session is greeted anyway
  EXPECT_EQ(databases.output[1], "IDLE I -\r\n");
  databases.lease();
  EXPECT_EQ(databases.output[1], "IDLE I -\r\n") << "the lease must not cause a second greeting";
}

TEST(Engine, ACommitThatIsAnsweredAfterTheSuspensionIsNotPassedOnAsKept) {
  ManualDatabases databases;
  databases.feed();
  databases.lease();
  databases.engine.on_client_connected(1);
  databases.send_line(1, "CONNECT prim a");
  databases.send_line(1, "QUERY x1 STORE k v");
  databases.serve();
  databases.output[1].clear();
  databases.feed(true);  // suspended while the write runs
  databases.lease();
  EXPECT_LT(databases.engine.acknowledged_sequence(), databases.sequence)
      << "running statements may finish before the drain time is over";
  databases.advance(kHandOverDrainMs + 1);
  EXPECT_EQ(databases.engine.acknowledged_sequence(), databases.sequence);
  EXPECT_EQ(databases.answer("COMPLETE 7.1"), 1);
  EXPECT_TRUE(databases.output[1].starts_with("STMTERR UNKNOWN")) << databases.output[1];
}

TEST(Engine, ANodeWhoseLeaseHasEndedSendsItsClientsElsewhere) {
  ManualDatabases databases;
  databases.feed();
  databases.lease(1000);
  for (SessionId id : {1, 2}) {
    databases.engine.on_client_connected(id);
    databases.send_line(id, "CONNECT prim a");
  }
  EXPECT_TRUE(databases.engine.ready());
  databases.advance(1001);
  databases.send_line(1, "QUERY x1 FETCH k");
  databases.advance(100);
  EXPECT_NE(databases.output[1].find("STMTERR THROTTLED"), std::string::npos);
  EXPECT_TRUE(databases.ended.count(1)) << "only another node can serve this client";
  databases.advance(kReadyAfterLeaseEndMs);
  EXPECT_FALSE(databases.engine.ready());
  databases.engine.close_idle_connections();
  EXPECT_TRUE(databases.ended.count(2));
  databases.lease();
  EXPECT_TRUE(databases.engine.ready());
}

TEST(Engine, WhereConnectionsAreScarceEachNodeKeepsOneUntilOneIsTurnedAway) {
  for (bool scarce : {false, true}) {
    ManualDatabases databases(50);
    databases.feed();
    databases.lease(100000, scarce ? 60 : 4);
    for (SessionId id : {1, 2}) {
      databases.engine.on_client_connected(id);
      databases.send_line(id, "CONNECT prim a");
      databases.send_line(id, "QUERY x FETCH k");
    }
    EXPECT_EQ(databases.answer("COMPLETE 7.1"), 1);
    EXPECT_EQ(databases.answer("COMPLETE 7.1"), 1);
    EXPECT_EQ(databases.open_connections(), scarce ? 1u : 2u);
    databases.advance(kIdleCheckIntervalMs);
    databases.engine.close_idle_connections();
    EXPECT_EQ(databases.open_connections(), scarce ? 1u : 2u);
  }
  double kept = 0;  // connections kept by 200 nodes to a database that has refused one
  for (std::uint64_t node_seed = 0; node_seed < 200; ++node_seed) {
    ManualDatabases databases(50, node_seed * 7919);
    databases.feed();
    databases.lease(100000, 60);
    databases.engine.on_client_connected(1);
    databases.send_line(1, "CONNECT prim a");
    databases.send_line(1, "QUERY x FETCH k");
    EXPECT_EQ(databases.answer("COMPLETE 7.1"), 1);
    databases.engine.note_connection_limit({"db0"});
    databases.engine.close_idle_connections();
    kept += double(databases.open_connections());
  }
  EXPECT_NEAR(kept / 200, kKeptConnectionShare * 46 / 60, 0.1);
}

// A node without a recent position of a service's primary asks its controller for it, so that a replica in
// the node's zone can serve the read. It asks once, and the read goes on without the position if no reply
// comes.
TEST(Engine, AReadWithoutAPositionAsksTheControllerAndGoesToTheReplicaInItsZone) {
  for (bool answered : {true, false}) {
    ManualDatabases databases;
    databases.feed(false, "db1");  // db1 is the primary, db0 the replica in this zone
    databases.lease();
    databases.engine.note_controller_clock(5, 70000);
    databases.engine.on_client_connected(1);
    databases.send_line(1, "CONNECT bound a");
    auto read = [&] {
      databases.send_line(1, "QUERY a FETCH k");
      answered ? databases.engine.on_position_reply("s", databases.now - 900, Position{1, 2})
               : databases.advance(kPositionQueryTimeoutMs);
      return databases.answer("COMPLETE 7.1");
    };
    EXPECT_EQ(read(), answered ? 1 : 2);
    EXPECT_EQ(databases.position_requests.size(), 1u);
    if (!answered) continue;
    databases.engine.avoid_reads({"db0"});  // the nodes of its zone have reported it as failing
    EXPECT_NE(read(), 1);
    databases.advance(kReportedEjectionMs);
    EXPECT_EQ(read(), 1) << "the database is used again after the ejection time";
  }
}

TEST(Engine, ReadsMoveAwayFromAPrimaryAtItsConnectionLimit) {
  for (bool at_limit : {false, true}) {
    ManualDatabases databases(16, 7, "z9");  // no database in this zone
    databases.feed();
    databases.lease();
    databases.engine.note_controller_clock(5, 70000);
    if (at_limit) databases.engine.note_connection_limit({"db0"});
    databases.engine.on_client_connected(1);
    databases.send_line(1, "CONNECT bound a");
    databases.send_line(1, "QUERY a FETCH k");
    if (at_limit) databases.engine.on_position_reply("s", databases.now - 900, Position{1, 1});
    EXPECT_EQ(databases.answer("COMPLETE 7.1") == 1, !at_limit);
  }
}

TEST(Engine, ReadsMoveAwayFromADatabaseThatFailsThem) {
  ManualDatabases databases;
  databases.feed();
  databases.lease();
  databases.engine.on_client_connected(1);
  databases.send_line(1, "CONNECT bound a");
  databases.send_line(
      1, "QUERY a FETCH k");  // the primary's position is not known yet, so the primary serves the read
  EXPECT_EQ(databases.answer("COMPLETE 7.1"), 1);
  std::map<int, int> failed;
  for (int i = 0; i < 12; ++i) {
    databases.send_line(1, "QUERY b FETCH k");
    int port = databases.answer("STMTERR EXECFAILED");
    ++failed[port];
    int other = databases.answer("COMPLETE 7.1");
    EXPECT_NE(other, port) << "the retry went to the database that had failed";
  }
  EXPECT_GT(failed.size(), 1u) << "each first attempt went to the same database";
  Json report = databases.engine.take_health_report();
  ASSERT_FALSE(report.is_null());
  EXPECT_GE(report["d"].size(), 1u);
}

// A node without a valid lease cannot tell a missing route from one that it has not received yet.
TEST(Engine, AnUnknownRouteIsNotDeniedWithoutAValidLease) {
  ManualDatabases databases;
  databases.feed();
  databases.lease();
  auto connect = [&](SessionId id) {
    databases.engine.on_client_connected(id);
    databases.send_line(id, "CONNECT elsewhere u1");
    return databases.output[id];
  };
  EXPECT_NE(connect(1).find("NODATABASE"), std::string::npos);
  databases.engine.extend_lease(databases.now + 100000, databases.sequence + 1, 1);
  EXPECT_NE(connect(2).find("THROTTLED"), std::string::npos);
  databases.feed();
  EXPECT_NE(connect(3).find("NODATABASE"), std::string::npos);
}

// Whether a write is passed on to the primary, which is draining.
bool asks_the_draining_primary(ManualDatabases& databases, SessionId session) {
  databases.connect(session);
  databases.send_line(session, "QUERY a STORE k v");
  const bool asked = databases.answer("COMPLETE 7.1") != 0;
  databases.engine.on_client_closed(session);
  return asked;
}

// Guards against a node that counts DrainMs from the beginning because it started, or was cut off, while a
// database was draining.
TEST(Engine, DrainMsRunsFromTheLastTimeTheNodeWasUpToDate) {
  ManualDatabases up_to_date;
  up_to_date.feed();
  up_to_date.lease(kNodeLeaseMs);
  up_to_date.draining = {"db0"};
  up_to_date.feed();
  up_to_date.lease(kNodeLeaseMs);
  EXPECT_TRUE(asks_the_draining_primary(up_to_date, 1)) << "the node learned of the drain when it began";
  up_to_date.advance(6500);
  up_to_date.lease(kNodeLeaseMs);
  EXPECT_FALSE(asks_the_draining_primary(up_to_date, 2));

  ManualDatabases restarted;
  restarted.draining = {"db0"};
  restarted.feed();
  restarted.lease(kNodeLeaseMs);
  EXPECT_FALSE(asks_the_draining_primary(restarted, 1))
      << "the drain may have begun long before the node started";

  ManualDatabases cut_off;
  cut_off.feed();
  cut_off.lease(kNodeLeaseMs);
  cut_off.advance(6500);
  cut_off.draining = {"db0"};
  cut_off.feed();
  cut_off.lease(kNodeLeaseMs);
  EXPECT_FALSE(asks_the_draining_primary(cut_off, 1));
}

// Guards against a primary that is never used again because its first probe connection met CONNLIMIT.
TEST(Engine, AnEjectedDatabaseIsProbedAgainWhateverItsProbeConnectionMeets) {
  for (const std::string error : {"STMTERR CONNLIMIT full", "STMTERR WRONGNODE x", "STMTERR THROTTLED x"}) {
    ManualDatabases databases;
    databases.feed();
    databases.lease();
    databases.connect(1);
    databases.send_line(1, "QUERY a STORE k v");
    databases.engine.on_connection_lost(databases.connections.begin()->first, true, false);  // refused
    databases.connections.begin()->second.open = false;
    std::size_t probes = 0;
    for (int step = 0; step < 20 && probes < 3; ++step) {
      databases.advance(kMaxProbeIntervalMs / 4);
      for (auto& [id, connection] : databases.connections) {
        if (!connection.open || connection.pending.empty()) continue;
        connection.pending.clear();
        ++probes;
        databases.read(id, {error});
        break;
      }
    }
    EXPECT_EQ(probes, 3u) << error;
    for (Millis waited = 0; waited < 2 * kMaxProbeIntervalMs; waited += kFirstProbeDelayMs) {
      databases.advance(kFirstProbeDelayMs);
      databases.serve();
    }
    databases.send_line(1, "QUERY b STORE k v");
    EXPECT_NE(databases.connection_with("b"), 0u) << error;
  }
}

}  // namespace
}  // namespace pebblespindle::test
