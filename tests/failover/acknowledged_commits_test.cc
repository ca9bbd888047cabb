// Scenarios in which only one log holds an acknowledged commit when a database is promoted: the commit must
// not be lost.
#include "failover/failover_cluster.h"

namespace pebblespindle::test {
namespace {

struct SoleHolderCluster : SimulatedCluster {
  explicit SoleHolderCluster(std::uint32_t seed) : SimulatedCluster(seed) { run_steps(500); }
  void run_steps(int count) {
    for (int i = 0; i < count; ++i) step();
  }
  void run_without_primary(int count) {
    databases["db0"].up = false;
    run_steps(count);
    databases["db0"].up = true;
  }
  void replicate_only_to_db2() { databases["db1"].replication_blocked = true; }
  void replicate_to_all() { databases["db1"].replication_blocked = false; }
  // Lost commits are reported by apply_promote() and step(). This checks that there is a primary again.
  void expect_primary() {
    EXPECT_FALSE(failed);
    const std::string primary = assigned_primary();
    ASSERT_FALSE(primary.empty()) << "the service has no primary";
    EXPECT_TRUE(databases[primary].primary) << primary;
  }
};

constexpr std::uint32_t kSeeds = 20;
// ms; heartbeats may be delayed by seconds
constexpr int kLateHeartbeatMs = 4000;

// Runs the scenario with each seed. It has to end with a primary.
void with_each_seed(const std::function<void(SoleHolderCluster&)>& scenario) {
  for (std::uint32_t seed = 1; seed <= kSeeds && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    SoleHolderCluster cluster(seed);
    scenario(cluster);
    cluster.expect_primary();
  }
}

TEST(AcknowledgedCommits, AreNotLostWhenTheirReplicaIsBackUnderANewIdButNotRegistered) {
  with_each_seed([](SoleHolderCluster& cluster) {
    cluster.replicate_only_to_db2();
    cluster.run_steps(300);
    cluster.restart_under_new_id("db2", "db3");
    cluster.databases["db0"].up = false;
    cluster.run_steps(kLateHeartbeatMs);
    cluster.register_database("db3");
    cluster.run_steps(1000);
    cluster.replicate_to_all();
    cluster.run_steps(3000);
  });
}

TEST(AcknowledgedCommits, AreNotLostWhenTheDutyMovesWhileTheirReplicaIsBackUnderANewId) {
  with_each_seed([](SoleHolderCluster& cluster) {
    cluster.replicate_only_to_db2();
    cluster.run_steps(300);
    cluster.restart_under_new_id("db2", "db3");
    cluster.databases["db0"].up = false;
    cluster.run_steps(600);
    cluster.replace_controller();
    cluster.run_steps(600);
    cluster.register_database("db3");
    cluster.run_steps(1000);
    cluster.replicate_to_all();
    cluster.run_steps(3000);
  });
}

TEST(AcknowledgedCommits, AreNotLostWhenTheirReplicaHasLeftAndThePrimaryIsBackLater) {
  with_each_seed([](SoleHolderCluster& cluster) {
    cluster.replicate_only_to_db2();
    cluster.run_steps(300);
    cluster.announce_shutdown("db2");
    cluster.end_process("db2");
    cluster.run_without_primary(7000);
    cluster.run_steps(500);
    cluster.replicate_to_all();
    cluster.run_steps(6000);
  });
}

TEST(AcknowledgedCommits, AreNotLostWhenTheirReplicaServesOnForLongAfterItHasLeft) {
  with_each_seed([](SoleHolderCluster& cluster) {
    cluster.announce_shutdown("db2");
    cluster.run_steps(5000);
    cluster.replicate_only_to_db2();
    cluster.run_steps(6000);
    cluster.run_without_primary(6000);
    cluster.replicate_to_all();
    cluster.run_steps(6000);
  });
}

TEST(AcknowledgedCommits, AreNotLostWhenTheDutyMovesWhileTheirReplicaIsLeaving) {
  with_each_seed([](SoleHolderCluster& cluster) {
    cluster.replicate_only_to_db2();
    cluster.announce_shutdown("db2");
    cluster.run_steps(300);
    cluster.replace_controller();
    cluster.run_steps(300);
    cluster.run_without_primary(6000);
    cluster.replicate_to_all();
    cluster.run_steps(6000);
  });
}

TEST(AcknowledgedCommits, AreNotLostWhenAPromoteTakesEffectAfterThePrimaryIsBackUnderANewId) {
  with_each_seed([](SoleHolderCluster& cluster) {
    cluster.platform_delay_ms = 3000;
    cluster.databases["db0"].up = false;
    cluster.run_steps(1500);
    cluster.restart_under_new_id("db0", "db3");
    cluster.register_database("db3");
    cluster.run_steps(12000);
    EXPECT_GE(cluster.promotes, 1);
  });
}

}  // namespace
}  // namespace pebblespindle::test
