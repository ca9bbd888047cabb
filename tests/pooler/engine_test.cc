// Single behaviours of the pooler's engine, each against databases that a test answers for by hand.
#include "membership/constants.h"
#include "pooler/constants.h"
#include "pooler/manual_databases.h"

namespace pebblespindle::test {
namespace {

TEST(Engine, SessionsWaitForTheFirstFeedAndLease) {
  ManualDatabases q;
  q.engine.on_client_connected(1);
  q.send_line(1, "CONNECT prim a");
  EXPECT_EQ(q.output[1], "") << "a database may exist that is not known yet";
  q.feed();
  EXPECT_EQ(q.output[1], "");
  q.lease();
  EXPECT_EQ(q.output[1], "IDLE I -\r\n");
  ManualDatabases late;
  late.engine.on_client_connected(1);
  late.send_line(1, "CONNECT prim a");
  late.advance(kInitialFeedWaitMs + 1);
  EXPECT_TRUE(late.output[1].starts_with("STMTERR THROTTLED")) << late.output[1];
  EXPECT_TRUE(late.ended.count(1));
}

TEST(Engine, ASessionThatWaitedForALeaseIsGreetedOnce) {
  ManualDatabases q;
  q.engine.on_client_connected(1);
  q.send_line(1, "CONNECT prim a");
  q.feed();
  q.advance(kInitialFeedWaitMs + 1);  // the lease is late: the session is greeted without it
  EXPECT_EQ(q.output[1], "IDLE I -\r\n");
  q.lease();
  EXPECT_EQ(q.output[1], "IDLE I -\r\n") << "an answer to nothing";
}

TEST(Engine, ACommitThatIsAnsweredAfterTheSuspensionIsNotPassedOnAsKept) {
  ManualDatabases q;
  q.feed();
  q.lease();
  q.engine.on_client_connected(1);
  q.send_line(1, "CONNECT prim a");
  q.send_line(1, "QUERY x1 STORE k v");
  q.serve();
  q.output[1].clear();
  q.feed(true);  // suspended while the write runs
  q.lease();
  EXPECT_LT(q.engine.acknowledged_sequence(), q.sequence) << "running work may end for a moment";
  q.advance(kHandOverDrainMs + 1);
  EXPECT_EQ(q.engine.acknowledged_sequence(), q.sequence);
  EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
  EXPECT_TRUE(q.output[1].starts_with("STMTERR UNKNOWN")) << q.output[1];
}

TEST(Engine, ANodeWhoseLeaseHasEndedSendsItsClientsElsewhere) {
  ManualDatabases q;
  q.feed();
  q.lease(1000);
  for (SessionId id : {1, 2}) {
    q.engine.on_client_connected(id);
    q.send_line(id, "CONNECT prim a");
  }
  EXPECT_TRUE(q.engine.ready());
  q.advance(1001);
  q.send_line(1, "QUERY x1 FETCH k");
  q.advance(100);
  EXPECT_NE(q.output[1].find("STMTERR THROTTLED"), std::string::npos);
  EXPECT_TRUE(q.ended.count(1)) << "it can be served nowhere but at another node";
  q.advance(kReadyAfterLeaseEndMs);
  EXPECT_FALSE(q.engine.ready());
  q.engine.close_idle_connections();
  EXPECT_TRUE(q.ended.count(2));
  q.lease();
  EXPECT_TRUE(q.engine.ready());
}

TEST(Engine, WhereConnectionsAreScarceEachNodeKeepsOneUntilOneIsTurnedAway) {
  for (bool scarce : {false, true}) {
    ManualDatabases q(50);
    q.feed();
    q.lease(100000, scarce ? 60 : 4);
    for (SessionId id : {1, 2}) {
      q.engine.on_client_connected(id);
      q.send_line(id, "CONNECT prim a");
      q.send_line(id, "QUERY x FETCH k");
    }
    EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
    EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
    EXPECT_EQ(q.open_connections(), scarce ? 1u : 2u);
    q.advance(kIdleCheckIntervalMs);
    q.engine.close_idle_connections();
    EXPECT_EQ(q.open_connections(), scarce ? 1u : 2u);
  }
  double kept = 0;  // of one that has turned a connection away, by 200 nodes
  for (std::uint64_t node_seed = 0; node_seed < 200; ++node_seed) {
    ManualDatabases q(50, node_seed * 7919);
    q.feed();
    q.lease(100000, 60);
    q.engine.on_client_connected(1);
    q.send_line(1, "CONNECT prim a");
    q.send_line(1, "QUERY x FETCH k");
    EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
    q.engine.note_connection_limit({"db0"});
    q.engine.close_idle_connections();
    kept += double(q.open_connections());
  }
  EXPECT_NEAR(kept / 200, kKeptConnectionShare * 46 / 60, 0.1);
}

// A node that has not asked a service of late asks its core how far the primary stands, so that a replica at
// home can serve the read; it is asked once, and not waited for when nothing comes.
TEST(Engine, AReadWithoutAPositionAsksTheCoreAndGoesToTheReplicaAtHome) {
  for (bool answered : {true, false}) {
    ManualDatabases q;
    q.feed(false, "db1");  // the lead is elsewhere, db0 is the replica at home
    q.lease();
    q.engine.note_controller_clock(5, 70000);
    q.engine.on_client_connected(1);
    q.send_line(1, "CONNECT bound a");
    auto read = [&] {
      q.send_line(1, "QUERY a FETCH k");
      answered ? q.engine.on_position_reply("s", q.now - 900, Position{1, 2})
               : q.advance(kPositionQueryTimeoutMs);
      return q.answer("COMPLETE 7.1");
    };
    EXPECT_EQ(read(), answered ? 1 : 2);
    EXPECT_EQ(q.position_requests.size(), 1u);
    if (!answered) continue;
    q.engine.avoid_reads({"db0"});  // its zone finds it failing
    EXPECT_NE(read(), 1);
    q.advance(kReportedEjectionMs);
    EXPECT_EQ(read(), 1) << "it is tried again";
  }
}

TEST(Engine, ReadsLeaveAPrimaryThatHasMoreCallersThanPlaces) {
  for (bool tight : {false, true}) {
    ManualDatabases q(16, 7, "z9");  // no database at home
    q.feed();
    q.lease();
    q.engine.note_controller_clock(5, 70000);
    if (tight) q.engine.note_connection_limit({"db0"});
    q.engine.on_client_connected(1);
    q.send_line(1, "CONNECT bound a");
    q.send_line(1, "QUERY a FETCH k");
    if (tight) q.engine.on_position_reply("s", q.now - 900, Position{1, 1});
    EXPECT_EQ(q.answer("COMPLETE 7.1") == 1, !tight);
  }
}

TEST(Engine, ReadsLeaveADatabaseThatFailsThem) {
  ManualDatabases q;
  q.feed();
  q.lease();
  q.engine.on_client_connected(1);
  q.send_line(1, "CONNECT bound a");
  q.send_line(1, "QUERY a FETCH k");  // nothing is known of the primary's position yet: it is asked
  EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
  std::map<int, int> failed;
  for (int i = 0; i < 12; ++i) {
    q.send_line(1, "QUERY b FETCH k");
    int port = q.answer("STMTERR EXECFAILED");
    ++failed[port];
    int other = q.answer("COMPLETE 7.1");
    EXPECT_NE(other, port) << "tried again where it failed";
  }
  EXPECT_GT(failed.size(), 1u) << "all reads went on to the database that fails";
  Json sights = q.engine.take_health_report();
  ASSERT_FALSE(sights.is_null());
  EXPECT_GE(sights["d"].size(), 1u);
}

// A node without a valid lease cannot tell a missing route from one that it has not received yet.
TEST(Engine, ARouteNotHeardOfIsNotDenied) {
  ManualDatabases q;
  q.feed();
  q.lease();
  auto ask = [&](SessionId id) {
    q.engine.on_client_connected(id);
    q.send_line(id, "CONNECT elsewhere u1");
    return q.output[id];
  };
  EXPECT_NE(ask(1).find("NODATABASE"), std::string::npos);
  q.engine.extend_lease(q.now + 100000, q.sequence + 1, 1);
  EXPECT_NE(ask(2).find("THROTTLED"), std::string::npos);
  q.feed();
  EXPECT_NE(ask(3).find("NODATABASE"), std::string::npos);
}

// Whether a write is passed on to the primary, which is draining.
bool asks_the_draining_primary(ManualDatabases& q, SessionId session) {
  q.connect(session);
  q.send_line(session, "QUERY a STORE k v");
  const bool asked = q.answer("COMPLETE 7.1") != 0;
  q.engine.on_client_closed(session);
  return asked;
}

// Guards against a node that restarts DrainMs because it started, or was cut off, while a database was
// draining.
TEST(Engine, DrainMsRunsFromWhenTheNodeLastKnewAllAndNotFromItsStart) {
  ManualDatabases up;
  up.feed();
  up.lease(kNodeLeaseMs);
  up.draining = {"db0"};
  up.feed();
  up.lease(kNodeLeaseMs);
  EXPECT_TRUE(asks_the_draining_primary(up, 1)) << "it heard of it in time";
  up.advance(6500);
  up.lease(kNodeLeaseMs);
  EXPECT_FALSE(asks_the_draining_primary(up, 2));

  ManualDatabases restarted;
  restarted.draining = {"db0"};
  restarted.feed();
  restarted.lease(kNodeLeaseMs);
  EXPECT_FALSE(asks_the_draining_primary(restarted, 1)) << "it may have been leaving for long";

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
TEST(Engine, ADatabaseThatIsClosedOffIsTriedAgainWhateverItsTrialConnectionMeets) {
  for (const std::string error : {"STMTERR CONNLIMIT full", "STMTERR WRONGNODE x", "STMTERR THROTTLED x"}) {
    ManualDatabases q;
    q.feed();
    q.lease();
    q.connect(1);
    q.send_line(1, "QUERY a STORE k v");
    q.engine.on_connection_lost(q.connections.begin()->first, true, false);  // refused
    q.connections.begin()->second.open = false;
    std::size_t trials = 0;
    for (int step = 0; step < 20 && trials < 3; ++step) {
      q.advance(kMaxProbeIntervalMs / 4);
      for (auto& [id, line] : q.connections) {
        if (!line.open || line.pending.empty()) continue;
        line.pending.clear();
        ++trials;
        q.read(id, {error});
        break;
      }
    }
    EXPECT_EQ(trials, 3u) << error;
    for (Millis waited = 0; waited < 2 * kMaxProbeIntervalMs; waited += kFirstProbeDelayMs) {
      q.advance(kFirstProbeDelayMs);
      q.serve();
    }
    q.send_line(1, "QUERY b STORE k v");
    EXPECT_NE(q.connection_with("b"), 0u) << error;
  }
}

}  // namespace
}  // namespace pebblespindle::test
