// Replicas that shut down for good during a failover. Such a replica counts for SyncReplicas until its
// process has ended, and its log is lost with it. failover_cluster.h checks after each step that no
// acknowledged commit is lost.
#include <cstdlib>

#include "failover/failover_cluster.h"

namespace pebblespindle::test {
namespace {

std::uint32_t seed_count() {
  const char* text = std::getenv("PEBBLESPINDLE_SEEDS");
  return text ? std::uint32_t(std::atoi(text)) : 500;
}

// A cluster in which replicas shut down for good and new ones are added.
struct DepartureCluster : SimulatedCluster {
  DepartureCluster(std::uint32_t seed, int count) : SimulatedCluster(seed, count), next_number(count) {}
  void run_steps(int n) {
    for (int i = 0; i < n; ++i) step();
  }
  bool is_registered(const std::string& name) { return state.find(instance_key({name})) != nullptr; }
  std::vector<std::string> replicas() {
    std::vector<std::string> present_replicas;
    for (auto& [name, database] : databases)
      if (!database.primary && !database.ended && is_registered(name)) present_replicas.push_back(name);
    return present_replicas;
  }
  std::string leading_database() {
    std::string newest;
    for (auto& [name, database] : databases)
      if (database.primary && !database.ended && (newest.empty() || database.term > databases[newest].term))
        newest = name;
    return newest;
  }
  void drain(const std::string& name) {
    databases[name].draining = true;
    apply(put_instance(instance(name)));
  }
  // From now on only this replica receives commits.
  void replicate_only_to(const std::string& name) {
    for (auto& [other, database] : databases)
      database.replication_blocked = !database.primary && other != name;
  }
  void replicate_to_all() {
    for (auto& [name, database] : databases) database.replication_blocked = false;
  }
  bool has_commits_elsewhere(const std::string& name) {
    for (auto& [other, database] : databases)
      if (other != name && !database.ended && is_registered(other) && database.received >= last_acknowledged)
        return true;
    return false;
  }
  // Restarts with its log, as a replica if another database has been promoted.
  void restart_with_log(const std::string& name) {
    for (auto& [other, database] : databases)
      if (other != name && database.primary && database.term > databases[name].term)
        databases[name].primary = false;
    databases[name].paused_term = 0;
  }
  void restore_all() {
    for (auto& [name, database] : databases) {
      if (database.ended) continue;
      if (!database.up) restart_with_log(name);
      database.up = true, database.unreachable = database.replication_blocked =
                              database.connections_exhausted = database.draining = false;
      if (is_registered(name)) apply(put_instance(instance(name)));
    }
  }
  void add_new_database() { add_database(next_number++, false); }

  int next_number;
};

struct Coverage {
  int departures = 0, sole_holders = 0, primaries_lost = 0, simultaneous_departures = 0,
      planned_failovers = 0, connection_limits = 0, promotes = 0;
};

// Runs one seed: departures that overlap with lost primaries, planned failovers and releases. Combinations
// from which no failover could recover are left out: if the primary is lost, a replica that alone holds a
// commit ends only after another database has received the commit or the primary is back.
void run_scenario(std::uint32_t seed, Coverage& coverage) {
  DepartureCluster cluster(seed, 3 + int(seed % 2));
  cluster.platform_error_rate = seed % 3 == 0 ? 0.3 : 0;
  cluster.reset_rate = seed % 4 == 1 ? 0.1 : 0;
  cluster.late_statement_rate = seed % 5 == 2 ? 0.05 : 0;
  auto random_below = [&](int bound) { return int(cluster.rng() % std::uint32_t(bound)); };
  cluster.run_steps(200);
  for (int round = 0; round < 3 && !cluster.failed; ++round) {
    auto replicas = cluster.replicas();
    std::shuffle(replicas.begin(), replicas.end(), cluster.rng);
    bool two_at_once = cluster.chance(0.35) && replicas.size() > 1;
    std::vector<std::string> departing_replicas(replicas.begin(), replicas.begin() + (two_at_once ? 2 : 1));
    coverage.departures += int(departing_replicas.size());
    coverage.simultaneous_departures += two_at_once;
    std::string primary = cluster.leading_database();
    bool only_one_receives = cluster.chance(0.7);
    if (only_one_receives) cluster.replicate_only_to(departing_replicas[0]);
    coverage.sole_holders += only_one_receives;
    for (auto& departing : departing_replicas)
      if (cluster.chance(0.8)) cluster.drain(departing);
    if (cluster.chance(0.3))
      cluster.drain(primary), ++coverage.planned_failovers;  // leads to a planned failover and its release
    cluster.run_steps(random_below(700));
    for (auto& departing : departing_replicas)
      if (cluster.chance(0.7)) cluster.announce_shutdown(departing);
    if (cluster.chance(0.25))
      cluster.databases[departing_replicas[0]].connections_exhausted = true, ++coverage.connection_limits;
    cluster.run_steps(random_below(300));
    bool loses_primary =
        cluster.chance(0.7) && cluster.assigned_primary() == primary && cluster.leading_database() == primary;
    if (loses_primary)
      (cluster.chance(0.5) ? cluster.databases[primary].up : cluster.databases[primary].unreachable) ^= true,
          ++coverage.primaries_lost;
    cluster.run_steps(random_below(800));
    cluster.replicate_to_all();
    cluster.run_steps(random_below(700));
    for (auto& departing : departing_replicas) cluster.databases[departing].connections_exhausted = false;
    if (cluster.chance(0.3)) cluster.switch_to_standby();
    if (cluster.chance(0.5)) cluster.add_new_database();
    cluster.run_steps(random_below(2500));
    // The departing replicas end one by one, each after another database has received all acknowledged
    // commits.
    for (auto& departing : departing_replicas) {
      for (int i = 0; i < 60 && !cluster.has_commits_elsewhere(departing); ++i) {
        if (i == 20) cluster.restore_all();  // databases that crashed are back before the replica ends
        cluster.run_steps(100);
      }
      if (!cluster.has_commits_elsewhere(departing)) continue;
      if (cluster.is_registered(departing) && cluster.chance(0.5))
        cluster.announce_shutdown(departing), cluster.run_steps(random_below(400));
      cluster.end_process(departing);
      cluster.run_steps(random_below(600));
      cluster.announce_shutdown(departing);
    }
    cluster.restore_all();
    cluster.add_new_database();
    cluster.run_steps(9000);
    std::string leader = cluster.assigned_primary();
    ASSERT_FALSE(leader.empty()) << "the service has no primary";
    EXPECT_TRUE(cluster.databases[leader].primary) << "the assigned primary does not lead";
    for (auto& name : cluster.replicas())
      EXPECT_EQ(cluster.databases[name].paused_term, 0u) << name << " is still paused";
  }
  coverage.promotes += cluster.promotes;
}

TEST(Leaving, NoAcknowledgedCommitLeavesWithAReplica) {
  Coverage coverage;
  for (std::uint32_t seed = 1; seed <= seed_count() && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    run_scenario(seed, coverage);
  }
  if (testing::Test::HasFailure()) return;
  std::printf(
      "departures %d (sole holder of a commit %d, two at once %d), primaries lost %d, planned failovers %d, "
      "CONNLIMIT %d, promotes %d\n",
      coverage.departures, coverage.sole_holders, coverage.simultaneous_departures, coverage.primaries_lost,
      coverage.planned_failovers, coverage.connection_limits, coverage.promotes);
  for (int count :
       {coverage.departures, coverage.sole_holders, coverage.simultaneous_departures, coverage.primaries_lost,
        coverage.planned_failovers, coverage.connection_limits, coverage.promotes})
    EXPECT_GT(count, int(seed_count() / 5)) << "the seeds cover this case too rarely";
}

// If all other databases are draining, one of them has to replace a dead primary: it can pass its log on only
// while it runs.
TEST(Leaving, WhereAllOthersAreLeavingOneOfThemTakesOverFromADeadPrimary) {
  DepartureCluster cluster(4, 3);
  cluster.run_steps(300);
  cluster.drain("db1");
  cluster.drain("db2");
  cluster.replicate_only_to("db2");
  cluster.run_steps(200);
  cluster.databases["db0"].up = false;
  cluster.run_steps(1000);
  EXPECT_TRUE(cluster.databases["db2"].primary);
  cluster.replicate_to_all();
  cluster.add_new_database();
  cluster.restart_with_log("db0");
  cluster.databases["db0"].up = true;
  cluster.run_steps(1500);
  cluster.end_process("db2");
  cluster.announce_shutdown("db2");
  cluster.run_steps(3000);
  std::string leader = cluster.assigned_primary();
  EXPECT_TRUE(leader == "db0" || leader == "db3") << leader;
  EXPECT_TRUE(cluster.databases[leader].primary);
}

// A former primary that was unreachable during a failover still reports itself as primary, at an older term.
// That must not make it the primary again.
TEST(Leaving, AnOutdatedPrimaryDoesNotBecomePrimaryAgain) {
  DepartureCluster cluster(4, 4);
  cluster.run_steps(300);
  cluster.databases["db0"].unreachable = true;
  cluster.run_steps(1800);
  std::string second = cluster.assigned_primary();
  ASSERT_FALSE(second.empty() || second == "db0");
  cluster.run_steps(1000);
  auto last_acknowledged = cluster.last_acknowledged;
  ASSERT_EQ(last_acknowledged.term, 2u);
  cluster.end_process(second);
  cluster.databases["db0"].unreachable = false;
  cluster.announce_shutdown(second);
  cluster.run_steps(5000);
  EXPECT_FALSE(cluster.assigned_primary().empty() || cluster.assigned_primary() == "db0")
      << cluster.assigned_primary();
  EXPECT_FALSE(cluster.databases["db0"].primary);
}

}  // namespace
}  // namespace pebblespindle::test
