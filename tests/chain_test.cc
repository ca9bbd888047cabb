// The chain and its view under crashes, cuts, lost disks and returning members: one history, and
// nothing that was acknowledged is lost.
#include <gtest/gtest.h>

#include <memory>

#include "chain/node.h"
#include "keel/constants.h"
#include "sim_net.h"

namespace pebblespindle::test {
namespace {

using chain::Answer;
using chain::Node;

struct Fleet;

struct Core : chain::Outlet {
  Fleet& fleet;
  std::string name;
  MemoryDisk disk;
  std::unique_ptr<Node> node;
  bool failed = false;
  Core(Fleet& f, std::string n) : fleet(f), name(std::move(n)) {}
  void send(const std::string& to, const Json& m) override;
  chain::Verdict judge(const Ledger& ledger, const Json& u) override {
    // {key, expect, value}: a compare-and-set, as the configuration and the leads use it.
    const Row* r = ledger.find(u["key"]);
    std::string current = r ? r->value : "";
    if (current == u["value"]) return {};
    if (current != u["expect"]) return {412, "lost the race", {}};
    return {200, {}, {{u["key"], u["value"], 0, false}}};
  }
  void committed(std::uint64_t) override;
  void disk_failed() override { failed = true; }
  void note(const std::string&) override {}
};

struct Fleet {
  explicit Fleet(std::uint32_t seed, int n = 3) : net(seed) {
    for (int i = 0; i < n; ++i) names.push_back("core" + std::to_string(i));
    for (auto& name : names) cores[name] = std::make_unique<Core>(*this, name);
    for (auto& name : names) start(name, true);
    net.deliver = [this](const std::string& to, const std::string& from, const Json& m) {
      if (cores[to]->node) cores[to]->node->receive(net.now, from, m);
    };
  }
  void start(const std::string& name, bool bootstrap = false) {
    auto& c = *cores[name];
    c.node = std::make_unique<Node>(name, names, bootstrap, c.disk, c, net.now);
  }
  void stop(const std::string& name) {
    cores[name]->node.reset();
    net.forget(name);
  }
  void run(Millis ms) {
    for (Millis i = 0; i < ms; ++i) {
      net.step();
      if (net.now % 20 == 0)
        for (auto& name : names)
          if (cores[name]->node) cores[name]->node->tick(net.now);
    }
  }
  // One history: the same number never stands for two different rows once it is committed somewhere.
  void check_history() {
    for (auto& name : names) {
      auto& n = cores[name]->node;
      if (!n || !n->settled()) continue;
      for (auto& r : n->ledger().since(0)) {
        auto [it, fresh] = history.emplace(r.number, r);
        ASSERT_EQ(it->second, r) << "number " << r.number << " stands for two rows";
      }
    }
  }
  SimNet net;
  std::vector<std::string> names;
  std::map<std::string, std::unique_ptr<Core>> cores;
  std::map<std::uint64_t, Row> history;
};

void Core::send(const std::string& to, const Json& m) {
  fleet.net.send(name, to, m);
}
void Core::committed(std::uint64_t) {
  fleet.check_history();
}

struct Counter {  // what clients of the chain have seen acknowledged
  int acked = 0, tried = 0;
};

// Each key is a counter raised by compare-and-set: an acknowledged value may be followed only by a higher
// one.
void storm(std::uint32_t seed, bool wipe_disks) {
  Fleet f(seed);
  f.run(1500);
  std::map<std::string, Counter> counters;
  std::string down;
  for (int round = 0; round < 60; ++round) {
    switch (f.net.pick(7)) {
      case 0:
        if (down.empty()) {
          down = f.names[std::size_t(f.net.pick(3))];
          f.stop(down);
          if (wipe_disks && f.net.chance(0.5)) f.cores[down]->disk = MemoryDisk();
        }
        break;
      case 1:
      case 2:
        if (!down.empty() && !f.cores[down]->node) {
          f.start(down);
          f.run(5000);  // CatchUpS: one machine at a time is lost
          down.clear();
        }
        break;
      case 3:
        if (down.empty()) {
          down = f.names[std::size_t(f.net.pick(3))];
          for (auto& other : f.names)
            if (other != down) {
              f.net.cuts.insert({down, other});
              if (f.net.chance(0.7)) f.net.cuts.insert({other, down});  // else a one-way cut
            }
        }
        break;
      case 4:
        if (!f.net.cuts.empty()) {
          f.net.cuts.clear();
          f.run(5000);
          down.clear();
        }
        break;
      default:
        f.net.loss = f.net.chance(0.3) ? 0.05 : 0;
    }
    for (int k = 0; k < 4; ++k) {
      auto& core = f.cores[f.names[std::size_t(f.net.pick(3))]];
      if (!core->node) continue;
      std::string key = "k" + std::to_string(f.net.pick(3));
      auto& c = counters[key];
      int from = c.acked, to = ++c.tried + 1000 * round;
      core->node->submit(
          f.net.now,
          {{"key", key}, {"expect", from ? std::to_string(from) : ""}, {"value", std::to_string(to)}},
          [&c, to](Answer a) {
            if (a.status == 200) c.acked = std::max(c.acked, to);
          });
      // A read answered by the tail shows at least what was acknowledged before it was asked.
      int floor = c.acked;
      core->node->read(f.net.now, key, [floor, key](std::optional<std::string> v, bool ok) {
        if (ok) {
          EXPECT_GE(v ? std::stoi(*v) : 0, floor) << "a stale read of " << key;
        }
      });
      f.run(f.net.pick(300));
    }
    if (testing::Test::HasFatalFailure()) return;
  }
  f.net.cuts.clear();
  f.net.loss = 0;
  if (!down.empty() && !f.cores[down]->node) f.start(down);
  f.run(8000);
  int answered = 0;
  for (auto& [key, c] : counters)
    f.cores["core0"]->node->read(f.net.now, key, [&, key = key](std::optional<std::string> v, bool ok) {
      EXPECT_TRUE(ok) << "the healed chain gives no answer";
      EXPECT_GE(v ? std::stoi(*v) : 0, c.acked) << key << " lost an acknowledged update";
      ++answered;
    });
  f.run(1000);
  EXPECT_EQ(answered, int(counters.size()));
  for (auto& name : f.names)
    EXPECT_TRUE(f.cores[name]->node->seated(f.net.now)) << name << " did not come back";
}

TEST(Chain, KeepsWhatItAcknowledgedThroughCrashesAndCuts) {
  for (std::uint32_t seed = 1; seed <= 25 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    storm(seed, false);
  }
}

TEST(Chain, KeepsWhatItAcknowledgedWhenDisksAreLost) {
  for (std::uint32_t seed = 100; seed <= 120 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    storm(seed, true);
  }
}

TEST(Chain, OneOfTwoChangesOnTheSameVersionWins) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Fleet f(seed);
    f.run(1500);
    std::vector<int> statuses;
    for (int i = 0; i < 2; ++i)
      f.cores[f.names[std::size_t(i)]]->node->submit(
          f.net.now, {{"key", "c"}, {"expect", ""}, {"value", "v" + std::to_string(i)}},
          [&](Answer a) { statuses.push_back(a.status); });
    f.run(1500);
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<int>{200, 412}));
  }
}

TEST(Chain, ACutOffTailIsSilentBeforeItIsPutOut) {
  Fleet f(7);
  f.run(1500);
  std::string tail = f.cores["core0"]->node->view().tail();
  for (auto& other : f.names)
    if (other != tail) {
      f.net.cuts.insert({tail, other});
      f.net.cuts.insert({other, tail});
    }
  // At every moment at most one core answers as the tail.
  for (int i = 0; i < 4000; ++i) {
    f.run(1);
    int tails = 0;
    for (auto& name : f.names) {
      auto& n = *f.cores[name]->node;
      tails += n.tail() && n.seated(f.net.now);
    }
    ASSERT_LE(tails, 1);
  }
  EXPECT_NE(f.cores["core0"]->node->view().tail(), tail);
}

}  // namespace
}  // namespace pebblespindle::test
