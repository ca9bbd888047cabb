// The chain and its view under crashes, cuts, lost disks, full disks, replaced and returning cores: one
// history, and nothing that was acknowledged is lost.
#include <gtest/gtest.h>

#include "replication/encoded_messages.h"
#include "replication/replica_cluster.h"
#include "replication/timing.h"

namespace pebblespindle::test {
namespace {

struct Counter {                        // what clients of the chain have seen acknowledged
  int acked = 0, tried = 0, known = 0;  // known: what the next change builds on
};

// Each key is a counter raised by compare-and-set: an acknowledged value may be followed only by a higher
// one. Troubles come one after the other, each followed by the time to catch up.
void storm(std::uint32_t seed, int n, std::size_t tolerated_losses, int troubles) {
  ReplicaCluster f(seed, n, 3, tolerated_losses);
  f.run(4000);
  std::map<std::string, Counter> counters;
  std::vector<std::string> down;
  auto heal = [&] {
    f.net.blocked_links.clear();
    for (auto& h : down)
      if (!f.is_running(h)) f.start(h);
    for (auto& h : f.hosts)
      if (f.cores[h]) f.cores[h]->disk.full = false;
    down.clear();
    f.run(5000);
  };
  for (int round = 0; round < 50; ++round) {
    auto pick = [&] { return f.hosts[std::size_t(f.net.pick(int(f.hosts.size())))]; };
    std::string one = pick();
    bool free = down.size() < tolerated_losses && std::find(down.begin(), down.end(), one) == down.end();
    switch (f.net.pick(troubles)) {
      case 0:
      case 1:
        if (!down.empty()) heal();
        break;
      case 2:  // crash or an end in order, perhaps straight back
        if (!free || !f.is_running(one)) break;
        if (f.net.chance(0.3)) {
          f.at(one).stop(f.net.now);
          f.run(f.net.pick(100));
        }
        f.stop(one);
        down.push_back(one);
        if (f.net.chance(0.5)) {
          f.run(f.net.pick(700));
          f.start(one);
        }
        break;
      case 3:
        if (!free) break;
        f.isolate(one, f.net.chance(0.6));
        down.push_back(one);
        break;
      case 4:
        f.net.loss_rate = f.net.chance(0.3) ? 0.05 : 0;
        break;
      case 5:  // all processes at once; the disks stay
        for (auto& h : f.hosts) f.stop(h);
        f.run(f.net.pick(900));
        for (auto& h : f.hosts) f.start(h);
        break;
      case 6:
        if (!free || !f.is_running(one)) break;
        f.cores[one]->disk.full = true;
        down.push_back(one);
        break;
      case 7: {  // power is lost everywhere, and some disks with it
        heal();
        for (auto& h : f.hosts) f.stop(h);
        for (std::size_t i = 0; i < tolerated_losses; ++i) f.cores[pick()]->disk = MemoryStorage();
        f.run(f.net.pick(2000));
        for (auto& h : f.hosts) f.start(h);
        f.run(6000);
        break;
      }
      case 8: {  // replaced by an empty one at another address
        if (!down.empty() || !f.is_running(one)) break;
        f.stop(one);
        f.cores.erase(one);
        std::string fresh = "core" + std::to_string(100 + round);
        std::replace(f.hosts.begin(), f.hosts.end(), one, fresh);
        f.seeds = f.hosts;  // a list as the operator has it by now
        f.run(f.net.pick(2000));
        f.start(fresh);
        f.run(6000);
        break;
      }
    }
    if (testing::Test::HasFatalFailure()) return;
    for (int k = 0; k < 4; ++k) {
      std::string host = pick();
      if (!f.is_running(host)) continue;
      std::string key = "k" + std::to_string(f.net.pick(3));
      auto& c = counters[key];
      int from = c.known, to = ++c.tried + 1000 * round;
      f.at(host).submit(
          f.net.now,
          {{"key", key}, {"expect", from ? std::to_string(from) : ""}, {"value", std::to_string(to)}},
          [&c, to](Status a) {
            if (a.is_ok()) c.acked = std::max(c.acked, to), c.known = std::max(c.known, to);
          });
      // A read answered by the tail shows at least what was acknowledged before it was asked.
      int floor = c.acked;
      f.at(host).read(f.net.now, key, [&c, floor, key](const Result<std::optional<std::string>>& value) {
        if (!value) return;
        EXPECT_GE(*value ? std::stoi(**value) : 0, floor) << "a stale read of " << key;
        if (*value)
          c.known = std::max(c.known, std::stoi(**value));  // one that got no answer may have been taken
      });
      f.run(f.net.pick(300));
    }
    if (testing::Test::HasFatalFailure()) return;
  }
  f.net.loss_rate = 0;
  heal();
  f.run(6000);
  for (auto& [key, c] : counters) {
    auto v = f.read(f.hosts[0], key);
    if (c.acked > 0) {
      ASSERT_TRUE(v) << "the healed chain gives no answer for " << key;
      EXPECT_GE(std::stoi(*v), c.acked) << key << " lost an acknowledged update";
    }
  }
  for (auto& host : f.hosts) {
    EXPECT_TRUE(f.at(host).holds_lease(f.net.now)) << host << " did not come back";
    EXPECT_EQ(f.at(host).view().voters.size(), 2 * tolerated_losses + 1);
    EXPECT_TRUE(f.at(host).view().has_voter(f.at(host).self())) << host << " does not vote";
  }
}

TEST(Replica, KeepsWhatItAcknowledgedThroughCrashesAndCuts) {
  for (std::uint32_t seed = 1; seed <= 20 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    storm(seed, 3, 1, 6);
  }
}

TEST(Replica, KeepsWhatItAcknowledgedWhenDisksAreFullOrLostAndCoresReplaced) {
  for (std::uint32_t seed = 100; seed <= 120 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    storm(seed, 3, 1, 9);
  }
}

TEST(Replica, FiveCoresBearTwoLosses) {
  for (std::uint32_t seed = 200; seed <= 212 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    storm(seed, 5, 2, 9);
  }
}

TEST(Replica, OneOfTwoChangesOnTheSameVersionWins) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    ReplicaCluster f(seed);
    f.run(1500);
    std::vector<int> statuses;
    for (int i = 0; i < 2; ++i)
      f.at(f.hosts[std::size_t(i)])
          .submit(f.net.now, {{"key", "c"}, {"expect", ""}, {"value", "v" + std::to_string(i)}},
                  [&](Status a) { statuses.push_back(answer_code(a)); });
    f.run(1500);
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<int>{200, 412}));
  }
}

TEST(Replica, UpdatesThatComeTogetherShareTheirSyncsAndFeeds) {
  ReplicaCluster f(5, 5, 3, 2);
  f.run(6000);
  for (auto& h : f.hosts) f.cores[h]->commit_count = 0;
  int acked = 0;
  const int offered = 400;
  for (int i = 0; i < offered; ++i)
    f.at(f.hosts[std::size_t(i) % 5])
        .submit(f.net.now, {{"key", "k" + std::to_string(i)}, {"expect", ""}, {"value", "v"}},
                [&acked](Status a) { acked += a.is_ok(); });
  f.run(replication::kSubmitTimeoutMs + 50);
  EXPECT_EQ(acked, offered);
  for (auto& h : f.hosts) {
    EXPECT_LE(f.cores[h]->commit_count, 20) << h;
    EXPECT_EQ(f.at(h).state().rows_after(0).size(), std::size_t(offered));
  }
}

TEST(Replica, ACutOffTailIsSilentBeforeItIsPutOut) {
  ReplicaCluster f(7);
  f.run(1500);
  std::string tail = f.at("core0").view().tail();
  f.isolate(tail, true);
  f.run(4000);  // at every moment at most one core answers as the tail: checked in run()
  EXPECT_NE(f.at("core0").view().tail(), tail);
}

TEST(Replica, AMemberThatDoesNotHearIsPutOut) {
  ReplicaCluster f(8);
  f.run(1500);
  f.isolate("core1", false);  // it is heard all the while
  f.run(4000);
  EXPECT_FALSE(f.at("core0").view().has_member("core1"));
  EXPECT_EQ(f.submit("core0", "k", "", "v"), 200);
}

TEST(Replica, ALostDiskTakesItsVoteWithIt) {
  ReplicaCluster f(9);
  f.run(1500);
  ASSERT_EQ(f.submit("core0", "k", "", "v"), 200);
  f.stop("core0", true);
  f.run(300);
  f.start("core0");
  EXPECT_NE(f.at("core0").self(), "core0");
  f.run(5000);
  auto& v = f.at("core1").view();
  EXPECT_FALSE(v.has_voter("core0")) << "the identity whose promises are forgotten still votes";
  EXPECT_TRUE(v.has_voter(f.at("core0").self()));
  EXPECT_EQ(f.read("core0", "k"), "v");
}

TEST(Replica, AReplacedCoreNeitherVotesNorLeadsWhenItComesBack) {
  ReplicaCluster f(10);
  f.run(1500);
  ASSERT_EQ(f.submit("core1", "k", "", "v"), 200);
  f.stop("core0");
  f.hosts.push_back("core9");
  f.start("core9");
  f.run(6000);
  EXPECT_FALSE(f.at("core1").view().has_voter("core0"));
  EXPECT_TRUE(f.at("core1").view().has_voter(f.at("core9").self()));
  f.start("core0");
  f.run(4000);
  EXPECT_FALSE(f.at("core0").view().has_voter("core0"));
  EXPECT_FALSE(f.at("core0").is_leader(f.net.now));
  // The others can lose one more by now, and it still takes no seat by itself.
  f.stop("core1");
  f.run(4000);
  EXPECT_EQ(f.submit("core2", "k", "v", "w"), 200);
  EXPECT_EQ(f.read("core0", "k"), "w") << "a core outside the view passes calls on";
}

TEST(Replica, ACoreThatEndsInOrderIsNotWaitedFor) {
  ReplicaCluster f(12);
  f.run(1500);
  f.at("core0").stop(f.net.now);
  f.run(450);  // less than the silence of a core that is suspected
  EXPECT_FALSE(f.at("core1").view().has_member("core0"));
  EXPECT_TRUE(f.at("core1").is_leader(f.net.now));
}

TEST(Replica, ACoreWhoseDiskIsFullStepsOutAndComesBack) {
  ReplicaCluster f(11);
  f.run(1500);
  f.cores["core2"]->disk.full = true;
  EXPECT_EQ(f.submit("core0", "k", "", "v"), 200) << "the others go on at once";
  f.run(3000);
  EXPECT_TRUE(f.at("core2").disk_failed());
  EXPECT_FALSE(f.at("core0").view().has_member("core2"));
  EXPECT_EQ(f.submit("core0", "l", "", "v"), 200);
  f.cores["core2"]->disk.full = false;
  f.run(4000);
  EXPECT_TRUE(f.at("core2").holds_lease(f.net.now));
  EXPECT_EQ(f.at("core2").state().find("l")->value, "v");
}

// What a write that the disk refused would have stored is known to nobody once the disk is well again.
TEST(Replica, AfterARefusedWriteTheDiskCountsAndNotTheMemory) {
  ReplicaCluster f(4, 1, 1, 0);
  f.run(3000);
  auto& core = f.hosts[0];
  EXPECT_EQ(f.submit(core, "k", "", "kept"), 200);
  f.cores[core]->disk.full = true;
  EXPECT_NE(f.submit(core, "k", "kept", "never stored"), 200);
  f.cores[core]->disk.full = false;
  f.run(2000);
  EXPECT_EQ(f.read(core, "k"), "kept");
}

// A grant for a former view that comes late gives no place in the present one.
TEST(Replica, ALeaseOfAFormerViewSeatsNobody) {
  ReplicaCluster f(6);
  f.run(4000);
  std::string one = f.hosts[0];
  f.isolate(one, true);
  f.run(3000);
  Replica& node = f.at(one);
  ASSERT_FALSE(node.holds_lease(f.net.now));
  auto grant = [&](std::uint64_t view) {
    for (auto& other : f.hosts)
      if (other != one) receive_encoded(node, f.net.now, other, {{"t", "a"}, {"v", view}, {"at", f.net.now}});
  };
  grant(node.view().number - 1);
  EXPECT_FALSE(node.holds_lease(f.net.now));
  grant(node.view().number);
  EXPECT_TRUE(node.holds_lease(f.net.now));
}

}  // namespace
}  // namespace pebblespindle::test
