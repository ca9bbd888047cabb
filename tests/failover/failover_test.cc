// Failovers with simulated databases and an unreliable platform: no promote may lose an acknowledged commit,
// no abandoned attempt may leave a replica paused, and every failover has to end with a primary.
#include "failover/failover_cluster.h"

namespace pebblespindle::test {
namespace {

TEST(Failover, LosesNoAcknowledgedCommit) {
  int promotes = 0;
  for (std::uint32_t seed = 1; seed <= 60 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    SimulatedCluster cluster(seed);
    cluster.platform_error_rate = seed % 3 == 0 ? 0.4 : 0;
    for (int round = 0; round < 8; ++round) {
      std::string victim = "db" + std::to_string(cluster.rng() % 3);
      auto& faulty = cluster.databases[victim];
      switch (cluster.rng() % 4) {
        case 0:
          faulty.up = false;
          break;
        case 1:
          faulty.unreachable = true;
          break;
        case 2:
          faulty.replication_blocked = true;
          break;
        default:
          if (faulty.primary) {
            faulty.draining = true;
            cluster.apply(put_instance(cluster.instance(victim)));
          }
      }
      for (int i = 0, steps = int(cluster.rng() % 1500); i < steps; ++i) cluster.step();
      if (cluster.chance(0.4)) cluster.replace_controller();
      std::string primary = cluster.assigned_primary();
      if (cluster.chance(0.5) && !primary.empty())
        cluster.databases[primary].up = false;  // a second fault during the failover
      for (int i = 0, steps = int(cluster.rng() % 1500); i < steps; ++i) cluster.step();
      for (auto& [name, database] : cluster.databases) {
        if (!database.up) database.paused_term = 0;  // a restarted database is not paused
        database.up = true, database.unreachable = database.replication_blocked = database.draining = false;
        cluster.apply(put_instance(cluster.instance(name)));
      }
      for (int i = 0; i < 6000; ++i) cluster.step();
      std::string final_primary = cluster.assigned_primary();
      ASSERT_FALSE(final_primary.empty()) << "the service has no primary";
      EXPECT_TRUE(cluster.databases[final_primary].primary)
          << "the assigned database does not act as primary";
      for (auto& [name, database] : cluster.databases)
        EXPECT_EQ(database.paused_term, 0u) << name << " is still paused";
    }
    promotes += cluster.promotes;
  }
  EXPECT_GT(promotes, 60) << "too few failovers to be meaningful";
}

TEST(Failover, MissedRepliesOfOneZoneTriggerNoFailover) {
  SimulatedCluster cluster(5);
  for (int i = 0; i < 5000; ++i) {
    if (i % 50 == 0)
      cluster.failover->suspicions().report_missed_reply(cluster.now, {"db0"}, "z0", "n0", false);
    cluster.step();
  }
  EXPECT_EQ(cluster.promotes, 0);
}

// A node that queries a database only twice a minute will not miss two replies in time, so single missed
// replies of several nodes count together.
TEST(Failover, SingleMissedRepliesOfSeveralNodesCountTogether) {
  auto promotes = [](int nodes, int zones, bool unreachable) {
    SimulatedCluster cluster(11);
    cluster.databases["db0"].unreachable = unreachable;
    cluster.suppress_reports = true;  // no other reports
    for (int i = 0; i < 4000; ++i) {
      if (i < 500 && i % 100 == 0)
        for (int node = 0; node < nodes; ++node)
          cluster.failover->suspicions().report_missed_reply(cluster.now, {"db0"},
                                                             "z" + std::to_string(node % zones),
                                                             "n" + std::to_string(node), false, true);
      cluster.step();
    }
    return cluster.promotes;
  };
  EXPECT_EQ(promotes(3, 2, true), 0);  // the three nodes may all have had a faulty link
  EXPECT_EQ(promotes(8, 1, true), 0);
  EXPECT_EQ(promotes(4, 2, true), 1);
  EXPECT_EQ(promotes(8, 2, false), 0) << "a database that answers the query must not be replaced";
}

TEST(Failover, ReplacesAPrimaryThatNodesOfSeveralZonesReportAsSlow) {
  SimulatedCluster cluster(8);
  auto report = [&](int nodes, int zones) {
    for (int i = 0; i < 3000; ++i) {
      if (i % 500 == 0)
        for (int node = 0; node < nodes; ++node)
          cluster.failover->suspicions().report_slow(cluster.now, {"db0"}, "z" + std::to_string(node % zones),
                                                     "n" + std::to_string(node));
      cluster.step();
    }
  };
  report(1, 1);
  report(3, 1);  // one zone: its link may be at fault
  EXPECT_EQ(cluster.promotes, 0);
  report(2, 2);
  EXPECT_EQ(cluster.promotes, 1);
  EXPECT_NE(cluster.assigned_primary(), "db0");
}

TEST(Failover, KeepsASlowPrimaryWhenAReplicaCanNotBePaused) {
  SimulatedCluster cluster(9);
  cluster.databases["db1"].unreachable = true;
  for (int i = 0; i < 2000; ++i) {
    if (i == 100)
      for (int node = 0; node < 4; ++node)
        cluster.failover->suspicions().report_slow(cluster.now, {"db0"}, "z" + std::to_string(node % 2),
                                                   "n" + std::to_string(node));
    cluster.step();
  }
  EXPECT_EQ(cluster.promotes, 0);
  EXPECT_EQ(cluster.assigned_primary(), "db0")
      << "a slow primary must not be replaced while a replica cannot be paused";
}

// A promote call that was not answered may take effect at any time. Therefore the former primary, even if it
// is back, must not serve writes again: commits that it acknowledged then could be lost by the promote.
TEST(Failover, APrimaryThatMayHaveBeenReplacedDoesNotServeAgain) {
  int promotes = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster cluster(seed);
    cluster.platform_delay_ms = 3000;
    for (int i = 0; i < 500; ++i) cluster.step();
    cluster.databases["db0"].unreachable = true;
    for (int i = 0; i < 2500; ++i) cluster.step();
    cluster.databases["db0"].unreachable = false;
    for (int i = 0; i < 9000; ++i) cluster.step();  // apply_promote() checks for lost commits
    promotes += cluster.promotes;
  }
  EXPECT_GT(promotes, 10);
}

TEST(Failover, WaitsForAnUnreachableReplicaThatMayHoldMoreCommits) {
  SimulatedCluster cluster(6);
  cluster.databases["db1"].unreachable = true;
  cluster.databases["db0"].up = false;
  for (int i = 0; i < 6000; ++i) cluster.step();
  EXPECT_EQ(cluster.promotes, 0);
  cluster.databases["db1"].unreachable = false;
  for (int i = 0; i < 3000; ++i) cluster.step();
  EXPECT_EQ(cluster.promotes, 1);
}

TEST(Failover, ANewInstanceAtTheSameAddressReplacesTheOldOne) {
  SimulatedCluster cluster(7);
  auto successor = cluster.instance("db1");
  successor.id = {"new1"};
  cluster.apply(put_instance(successor));
  EXPECT_EQ(cluster.state.find(instance_key({"db1"})), nullptr);
  cluster.apply(put_instance(cluster.instance("db1")));  // a delayed heartbeat of the old process
  EXPECT_EQ(cluster.state.find(instance_key({"db1"})), nullptr);
}

TEST(Failover, CommitsHeldOnlyByADepartingReplicaAreNotLost) {
  // db2 has announced its shutdown and still receives for a moment; db1 doesn't receive the last commits.
  for (Millis shutdown_delay : {20, 100, 3000}) {
    SimulatedCluster cluster(12);
    for (int i = 0; i < 500; ++i) cluster.step();
    cluster.apply(retire_instance({"db2"}));
    cluster.databases["db1"].replication_blocked = true;
    cluster.schedule(shutdown_delay, [&] { cluster.databases["db2"].up = false; });
    cluster.schedule(400, [&] { cluster.databases["db1"].replication_blocked = false; });
    cluster.databases["db0"].draining = true;
    cluster.apply(put_instance(cluster.instance("db0")));
    for (int i = 0; i < 5000; ++i) cluster.step();  // apply_promote() checks for lost commits
    EXPECT_EQ(cluster.assigned_primary(), "db1");
  }
}

}  // namespace
}  // namespace pebblespindle::test
