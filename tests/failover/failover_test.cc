// The failover duty against model databases and a moody platform: no acknowledged commit is ever left
// behind by a promote, no abandoned attempt leaves a replica held, and the lead always settles.
#include "failover/failover_cluster.h"

namespace pebblespindle::test {
namespace {

TEST(Failover, LosesNoAcknowledgedCommit) {
  int promotes = 0;
  for (std::uint32_t seed = 1; seed <= 60 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Sea sea(seed);
    sea.platform_trouble = seed % 3 == 0 ? 0.4 : 0;
    for (int round = 0; round < 8; ++round) {
      std::string victim = "db" + std::to_string(sea.rng() % 3);
      auto& d = sea.dbs[victim];
      switch (sea.rng() % 4) {
        case 0:
          d.up = false;
          break;
        case 1:
          d.dark = true;
          break;
        case 2:
          d.deaf = true;
          break;
        default:
          if (d.primary) {
            d.draining = true;
            sea.apply(put_instance(sea.instance(victim)));
          }
      }
      for (int i = 0, n = int(sea.rng() % 1500); i < n; ++i) sea.step();
      if (sea.chance(0.4)) sea.fresh_holder();
      std::string lead = sea.leader();
      if (sea.chance(0.5) && !lead.empty()) sea.dbs[lead].up = false;  // another trouble on top
      for (int i = 0, n = int(sea.rng() % 1500); i < n; ++i) sea.step();
      for (auto& [name, x] : sea.dbs) {
        if (!x.up) x.held = 0;  // a restart ends a hold
        x.up = true, x.dark = x.deaf = x.draining = false;
        sea.apply(put_instance(sea.instance(name)));
      }
      for (int i = 0; i < 6000; ++i) sea.step();
      std::string leader = sea.leader();
      ASSERT_FALSE(leader.empty()) << "the lead did not settle";
      EXPECT_TRUE(sea.dbs[leader].primary) << "the lead names one that does not lead";
      for (auto& [name, x] : sea.dbs) EXPECT_EQ(x.held, 0u) << name << " is still held";
    }
    promotes += sea.promotes;
  }
  EXPECT_GT(promotes, 60) << "hardly anything was promoted";
}

TEST(Failover, ASilentLinkOfOneZoneMovesNothing) {
  Sea sea(5);
  for (int i = 0; i < 5000; ++i) {
    if (i % 50 == 0) sea.failover->suspicions().report_missed_reply(sea.now, {"db0"}, "z0", "n0", false);
    sea.step();
  }
  EXPECT_EQ(sea.promotes, 0);
}

// Where a node asks a database twice a minute it will not miss two answers: those of several nodes count
// together.
TEST(Failover, OneMissedAnswerOfSeveralNodesIsAsGoodAsSeveralOfOne) {
  auto promotes = [](int nodes, int zones, bool dark) {
    Sea sea(11);
    sea.dbs["db0"].dark = dark;
    sea.quiet = true;  // no other reports
    for (int i = 0; i < 4000; ++i) {
      if (i < 500 && i % 100 == 0)
        for (int n = 0; n < nodes; ++n)
          sea.failover->suspicions().report_missed_reply(sea.now, {"db0"}, "z" + std::to_string(n % zones),
                                                         "n" + std::to_string(n), false, true);
      sea.step();
    }
    return sea.promotes;
  };
  EXPECT_EQ(promotes(3, 2, true), 0);  // they may all have met a bad link
  EXPECT_EQ(promotes(8, 1, true), 0);
  EXPECT_EQ(promotes(4, 2, true), 1);
  EXPECT_EQ(promotes(8, 2, false), 0) << "it answers when it is asked";
}

TEST(Failover, HandsTheLeadOverWhenNodesOfSeveralZonesFindItSlow) {
  Sea sea(8);
  auto report = [&](int nodes, int zones) {
    for (int i = 0; i < 3000; ++i) {
      if (i % 500 == 0)
        for (int n = 0; n < nodes; ++n)
          sea.failover->suspicions().report_slow(sea.now, {"db0"}, "z" + std::to_string(n % zones),
                                                 "n" + std::to_string(n));
      sea.step();
    }
  };
  report(1, 1);
  report(3, 1);  // one zone: its link may be at fault
  EXPECT_EQ(sea.promotes, 0);
  report(2, 2);
  EXPECT_EQ(sea.promotes, 1);
  EXPECT_NE(sea.leader(), "db0");
}

TEST(Failover, KeepsASlowPrimaryWhenAReplicaCanNotBeHeld) {
  Sea sea(9);
  sea.dbs["db1"].dark = true;
  for (int i = 0; i < 2000; ++i) {
    if (i == 100)
      for (int n = 0; n < 4; ++n)
        sea.failover->suspicions().report_slow(sea.now, {"db0"}, "z" + std::to_string(n % 2),
                                               "n" + std::to_string(n));
    sea.step();
  }
  EXPECT_EQ(sea.promotes, 0);
  EXPECT_EQ(sea.leader(), "db0") << "it leads on: slow is better than not at all";
}

// A call to the platform that was not answered may take effect at any time: the primary, though it is back,
// does not lead again, for what it would acknowledge then might be left behind.
TEST(Failover, WhoeverMayHaveBeenReplacedIsNotLetGoOn) {
  int promotes = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Sea sea(seed);
    sea.platform_lag = 3000;
    for (int i = 0; i < 500; ++i) sea.step();
    sea.dbs["db0"].dark = true;
    for (int i = 0; i < 2500; ++i) sea.step();
    sea.dbs["db0"].dark = false;
    for (int i = 0; i < 9000; ++i) sea.step();  // take_over() checks what is promoted
    promotes += sea.promotes;
  }
  EXPECT_GT(promotes, 10);
}

TEST(Failover, WaitsWhenAReplicaThatMayHoldMoreIsOutOfReach) {
  Sea sea(6);
  sea.dbs["db1"].dark = true;
  sea.dbs["db0"].up = false;
  for (int i = 0; i < 6000; ++i) sea.step();
  EXPECT_EQ(sea.promotes, 0);
  sea.dbs["db1"].dark = false;
  for (int i = 0; i < 3000; ++i) sea.step();
  EXPECT_EQ(sea.promotes, 1);
}

TEST(Failover, ADatabaseBackAtItsAddressUnderANewNameEndsTheOldOne) {
  Sea sea(7);
  auto back = sea.instance("db1");
  back.id = {"new1"};
  sea.apply(put_instance(back));
  EXPECT_EQ(sea.state.find(instance_key({"db1"})), nullptr);
  sea.apply(put_instance(sea.instance("db1")));  // a late beat of the old one
  EXPECT_EQ(sea.state.find(instance_key({"db1"})), nullptr);
}

TEST(Failover, WhatADepartingReplicaAloneHasReceivedIsNotLeftBehind) {
  // db2 has told of its end and still receives for a moment; db1 receives nothing more of the last commits.
  for (Millis ends : {20, 100, 3000}) {
    Sea sea(12);
    for (int i = 0; i < 500; ++i) sea.step();
    sea.apply(retire_instance({"db2"}));
    sea.dbs["db1"].deaf = true;
    sea.later(ends, [&] { sea.dbs["db2"].up = false; });
    sea.later(400, [&] { sea.dbs["db1"].deaf = false; });
    sea.dbs["db0"].draining = true;
    sea.apply(put_instance(sea.instance("db0")));
    for (int i = 0; i < 5000; ++i) sea.step();  // take_over() checks what is promoted
    EXPECT_EQ(sea.leader(), "db1");
  }
}

}  // namespace
}  // namespace pebblespindle::test
