// Tests of the replica under crashes, partitions, lost disks, full disks, and replaced and returning
// replicas: all replicas share one history, and no acknowledged change is lost.
#include <gtest/gtest.h>

#include "replication/encoded_messages.h"
#include "replication/replica_cluster.h"
#include "replication/timing.h"

namespace pebblespindle::test {
namespace {

// The values of one key as its clients know them.
struct Counter {
  int acknowledged = 0, attempts = 0, known = 0;  // known: the value that the next change expects
};

// Each key is a counter that is raised by compare-and-set: an acknowledged value may be followed only by a
// higher one. At most tolerated_losses replicas are faulty at a time; repair_all() ends their faults.
void run_faults(std::uint32_t seed, int replica_count, std::size_t tolerated_losses, int fault_kinds) {
  ReplicaCluster cluster(seed, replica_count, 3, tolerated_losses);
  cluster.run(4000);
  std::map<std::string, Counter> counters;
  std::vector<std::string> down;
  auto repair_all = [&] {
    cluster.net.blocked_links.clear();
    for (auto& host : down)
      if (!cluster.is_running(host)) cluster.start(host);
    for (auto& host : cluster.hosts)
      if (cluster.cores[host]) cluster.cores[host]->disk.full = false;
    down.clear();
    cluster.run(5000);
  };
  for (int round = 0; round < 50; ++round) {
    auto pick = [&] { return cluster.hosts[std::size_t(cluster.net.pick(int(cluster.hosts.size())))]; };
    std::string victim = pick();
    bool may_fail =
        down.size() < tolerated_losses && std::find(down.begin(), down.end(), victim) == down.end();
    switch (cluster.net.pick(fault_kinds)) {
      case 0:
      case 1:
        if (!down.empty()) repair_all();
        break;
      case 2:  // crash or graceful stop, perhaps followed by a restart
        if (!may_fail || !cluster.is_running(victim)) break;
        if (cluster.net.chance(0.3)) {
          cluster.at(victim).stop(cluster.net.now);
          cluster.run(cluster.net.pick(100));
        }
        cluster.stop(victim);
        down.push_back(victim);
        if (cluster.net.chance(0.5)) {
          cluster.run(cluster.net.pick(700));
          cluster.start(victim);
        }
        break;
      case 3:
        if (!may_fail) break;
        cluster.isolate(victim, cluster.net.chance(0.6));
        down.push_back(victim);
        break;
      case 4:
        cluster.net.loss_rate = cluster.net.chance(0.3) ? 0.05 : 0;
        break;
      case 5:  // all processes crash at once; the disks stay
        for (auto& host : cluster.hosts) cluster.stop(host);
        cluster.run(cluster.net.pick(900));
        for (auto& host : cluster.hosts) cluster.start(host);
        break;
      case 6:
        if (!may_fail || !cluster.is_running(victim)) break;
        cluster.cores[victim]->disk.full = true;
        down.push_back(victim);
        break;
      case 7: {  // all lose power, and as many as are tolerated lose their disks
        repair_all();
        for (auto& host : cluster.hosts) cluster.stop(host);
        for (std::size_t i = 0; i < tolerated_losses; ++i) cluster.cores[pick()]->disk = MemoryStorage();
        cluster.run(cluster.net.pick(2000));
        for (auto& host : cluster.hosts) cluster.start(host);
        cluster.run(6000);
        break;
      }
      case 8: {  // replaced by a replica with an empty disk at another address
        if (!down.empty() || !cluster.is_running(victim)) break;
        cluster.stop(victim);
        cluster.cores.erase(victim);
        std::string new_host = "core" + std::to_string(100 + round);
        std::replace(cluster.hosts.begin(), cluster.hosts.end(), victim, new_host);
        cluster.seeds = cluster.hosts;  // the operator has updated the list of seeds
        cluster.run(cluster.net.pick(2000));
        cluster.start(new_host);
        cluster.run(6000);
        break;
      }
    }
    if (testing::Test::HasFatalFailure()) return;
    for (int request = 0; request < 4; ++request) {
      std::string host = pick();
      if (!cluster.is_running(host)) continue;
      std::string key = "k" + std::to_string(cluster.net.pick(3));
      auto& counter = counters[key];
      int expected = counter.known, next = ++counter.attempts + 1000 * round;
      cluster.at(host).submit(cluster.net.now,
                              {{"key", key},
                               {"expect", expected ? std::to_string(expected) : ""},
                               {"value", std::to_string(next)}},
                              [&counter, next](Status answer) {
                                if (answer.is_ok())
                                  counter.acknowledged = std::max(counter.acknowledged, next),
                                  counter.known = std::max(counter.known, next);
                              });
      // A read must return at least what was acknowledged before it was sent.
      int minimum = counter.acknowledged;
      cluster.at(host).read(
          cluster.net.now, key, [&counter, minimum, key](const Result<std::optional<std::string>>& value) {
            if (!value) return;
            EXPECT_GE(*value ? std::stoi(**value) : 0, minimum) << "a stale read of " << key;
            if (*value)
              counter.known = std::max(
                  counter.known, std::stoi(**value));  // a change without an answer may have been committed
          });
      cluster.run(cluster.net.pick(300));
    }
    if (testing::Test::HasFatalFailure()) return;
  }
  cluster.net.loss_rate = 0;
  repair_all();
  cluster.run(6000);
  for (auto& [key, counter] : counters) {
    auto value = cluster.read(cluster.hosts[0], key);
    if (counter.acknowledged > 0) {
      ASSERT_TRUE(value) << "the repaired chain gives no answer for " << key;
      EXPECT_GE(std::stoi(*value), counter.acknowledged) << key << " lost an acknowledged update";
    }
  }
  for (auto& host : cluster.hosts) {
    EXPECT_TRUE(cluster.at(host).holds_lease(cluster.net.now)) << host << " did not become a member again";
    EXPECT_EQ(cluster.at(host).view().voters.size(), 2 * tolerated_losses + 1);
    EXPECT_TRUE(cluster.at(host).view().has_voter(cluster.at(host).self())) << host << " does not vote";
  }
}

TEST(Replica, KeepsAcknowledgedChangesThroughCrashesAndPartitions) {
  for (std::uint32_t seed = 1; seed <= 20 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    run_faults(seed, 3, 1, 6);
  }
}

TEST(Replica, KeepsAcknowledgedChangesWhenDisksFailAndReplicasAreReplaced) {
  for (std::uint32_t seed = 100; seed <= 120 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    run_faults(seed, 3, 1, 9);
  }
}

TEST(Replica, FiveReplicasTolerateTwoLosses) {
  for (std::uint32_t seed = 200; seed <= 212 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    run_faults(seed, 5, 2, 9);
  }
}

TEST(Replica, OneOfTwoChangesOnTheSameVersionWins) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    ReplicaCluster cluster(seed);
    cluster.run(1500);
    std::vector<int> statuses;
    for (int i = 0; i < 2; ++i)
      cluster.at(cluster.hosts[std::size_t(i)])
          .submit(cluster.net.now, {{"key", "c"}, {"expect", ""}, {"value", "v" + std::to_string(i)}},
                  [&](Status answer) { statuses.push_back(answer_code(answer)); });
    cluster.run(1500);
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<int>{200, 412}));
  }
}

TEST(Replica, ConcurrentUpdatesAreCommittedInBatches) {
  ReplicaCluster cluster(5, 5, 3, 2);
  cluster.run(6000);
  for (auto& host : cluster.hosts) cluster.cores[host]->commit_count = 0;
  int acknowledged = 0;
  const int submitted = 400;
  for (int i = 0; i < submitted; ++i)
    cluster.at(cluster.hosts[std::size_t(i) % 5])
        .submit(cluster.net.now, {{"key", "k" + std::to_string(i)}, {"expect", ""}, {"value", "v"}},
                [&acknowledged](Status answer) { acknowledged += answer.is_ok(); });
  cluster.run(replication::kSubmitTimeoutMs + 50);
  EXPECT_EQ(acknowledged, submitted);
  for (auto& host : cluster.hosts) {
    EXPECT_LE(cluster.cores[host]->commit_count, 20) << host;
    EXPECT_EQ(cluster.at(host).state().rows_after(0).size(), std::size_t(submitted));
  }
}

TEST(Replica, AnIsolatedTailStopsActingBeforeItIsRemoved) {
  ReplicaCluster cluster(7);
  cluster.run(1500);
  std::string tail = cluster.at("core0").view().tail();
  cluster.isolate(tail, true);
  cluster.run(4000);  // run() checks that at most one replica acts as the tail
  EXPECT_NE(cluster.at("core0").view().tail(), tail);
}

TEST(Replica, AMemberThatReceivesNothingIsRemoved) {
  ReplicaCluster cluster(8);
  cluster.run(1500);
  cluster.isolate("core1", false);  // the others still receive its messages
  cluster.run(4000);
  EXPECT_FALSE(cluster.at("core0").view().has_member("core1"));
  EXPECT_EQ(cluster.submit("core0", "k", "", "v"), 200);
}

TEST(Replica, ALostDiskTakesItsVoteWithIt) {
  ReplicaCluster cluster(9);
  cluster.run(1500);
  ASSERT_EQ(cluster.submit("core0", "k", "", "v"), 200);
  cluster.stop("core0", true);
  cluster.run(300);
  cluster.start("core0");
  EXPECT_NE(cluster.at("core0").self(), "core0");
  cluster.run(5000);
  auto& view = cluster.at("core1").view();
  EXPECT_FALSE(view.has_voter("core0")) << "an identity whose stored promises are lost still votes";
  EXPECT_TRUE(view.has_voter(cluster.at("core0").self()));
  EXPECT_EQ(cluster.read("core0", "k"), "v");
}

TEST(Replica, AReplacedReplicaNeitherVotesNorLeadsWhenItReturns) {
  ReplicaCluster cluster(10);
  cluster.run(1500);
  ASSERT_EQ(cluster.submit("core1", "k", "", "v"), 200);
  cluster.stop("core0");
  cluster.hosts.push_back("core9");
  cluster.start("core9");
  cluster.run(6000);
  EXPECT_FALSE(cluster.at("core1").view().has_voter("core0"));
  EXPECT_TRUE(cluster.at("core1").view().has_voter(cluster.at("core9").self()));
  cluster.start("core0");
  cluster.run(4000);
  EXPECT_FALSE(cluster.at("core0").view().has_voter("core0"));
  EXPECT_FALSE(cluster.at("core0").is_leader(cluster.net.now));
  // The others now tolerate one more loss, and the replaced replica still does not become a member by itself.
  cluster.stop("core1");
  cluster.run(4000);
  EXPECT_EQ(cluster.submit("core2", "k", "v", "w"), 200);
  EXPECT_EQ(cluster.read("core0", "k"), "w") << "a replica outside the view must pass requests on";
}

TEST(Replica, AGracefullyStoppedReplicaIsRemovedBeforeThePeerTimeout) {
  ReplicaCluster cluster(12);
  cluster.run(1500);
  cluster.at("core0").stop(cluster.net.now);
  cluster.run(450);  // less than kPeerTimeoutMs
  EXPECT_FALSE(cluster.at("core1").view().has_member("core0"));
  EXPECT_TRUE(cluster.at("core1").is_leader(cluster.net.now));
}

TEST(Replica, AReplicaWithAFullDiskLeavesTheViewAndRejoins) {
  ReplicaCluster cluster(11);
  cluster.run(1500);
  cluster.cores["core2"]->disk.full = true;
  EXPECT_EQ(cluster.submit("core0", "k", "", "v"), 200) << "the other replicas must continue at once";
  cluster.run(3000);
  EXPECT_TRUE(cluster.at("core2").disk_failed());
  EXPECT_FALSE(cluster.at("core0").view().has_member("core2"));
  EXPECT_EQ(cluster.submit("core0", "l", "", "v"), 200);
  cluster.cores["core2"]->disk.full = false;
  cluster.run(4000);
  EXPECT_TRUE(cluster.at("core2").holds_lease(cluster.net.now));
  EXPECT_EQ(cluster.at("core2").state().find("l")->value, "v");
}

// Guards against changes that stay in memory after the disk has refused to store them.
TEST(Replica, AfterARefusedWriteTheStateIsReadFromDisk) {
  ReplicaCluster cluster(4, 1, 1, 0);
  cluster.run(3000);
  auto& host = cluster.hosts[0];
  EXPECT_EQ(cluster.submit(host, "k", "", "kept"), 200);
  cluster.cores[host]->disk.full = true;
  EXPECT_NE(cluster.submit(host, "k", "kept", "never stored"), 200);
  cluster.cores[host]->disk.full = false;
  cluster.run(2000);
  EXPECT_EQ(cluster.read(host, "k"), "kept");
}

// A delayed grant from a former view gives no lease in the present view.
TEST(Replica, AGrantOfAFormerViewGivesNoLease) {
  ReplicaCluster cluster(6);
  cluster.run(4000);
  std::string victim = cluster.hosts[0];
  cluster.isolate(victim, true);
  cluster.run(3000);
  Replica& replica = cluster.at(victim);
  ASSERT_FALSE(replica.holds_lease(cluster.net.now));
  auto grant = [&](std::uint64_t view) {
    for (auto& other : cluster.hosts)
      if (other != victim)
        receive_encoded(replica, cluster.net.now, other, {{"t", "a"}, {"v", view}, {"at", cluster.net.now}});
  };
  grant(replica.view().number - 1);
  EXPECT_FALSE(replica.holds_lease(cluster.net.now));
  grant(replica.view().number);
  EXPECT_TRUE(replica.holds_lease(cluster.net.now));
}

}  // namespace
}  // namespace pebblespindle::test
