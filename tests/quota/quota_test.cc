// Counting as one: cores credit and even out, nodes ask and debit, over messages that are late, lost,
// repeated and overtake each other, while nodes start anew. In any window, no more runs than the rule grants.
#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "quota/quota_allocator.h"
#include "quota/quota_client.h"

namespace pebblespindle::test {
namespace {

using namespace quota;
using pooler::QuotaClient;

TEST(Quota, RightsAreNeverMadeOrUsedTwice) {
  BoundedCounter a, b;
  a.credit(5000);
  EXPECT_FALSE(a.debit(6000));
  EXPECT_TRUE(a.debit(1000));
  EXPECT_EQ(a.transfer("b", 3000), 3000);
  EXPECT_EQ(a.transfer("b", 2000), 3000) << "not covered: nothing is given";
  EXPECT_TRUE(b.merge_received("a", 3000));
  EXPECT_TRUE(b.merge_received("a", 2000));  // late, or told twice
  EXPECT_TRUE(b.merge_received("a", 3000));
  EXPECT_EQ(b.rights(), 3000);
  EXPECT_FALSE(b.merge_received("a", -1)) << "a sum that cannot be";
  EXPECT_FALSE(b.debit(-5));
  EXPECT_EQ(a.rights() + b.rights(), 4000);
}

TEST(Quota, AGiverGivesHalfAtMostAndNotTwiceForOneRequest) {
  QuotaAllocator p("core");
  std::map<std::string, Tenant> t{{"x", {"x", {}, 100, 100, 1}}, {"free", {"free", {}, 0, 0, 1}}};
  for (Millis now = 0; now < 10000; now += 50) p.accrue(now, t, 1);
  Rights had = p.rights("x");
  EXPECT_LE(had, 100 * kRightsPerOperation) << "what piles up is bounded by the burst";
  auto first = p.request("x", "n", 0, 1000 * kRightsPerOperation);
  ASSERT_TRUE(first);
  EXPECT_LE(*first, had / 2);
  EXPECT_EQ(*p.request("x", "n", 0, 1000 * kRightsPerOperation), *first)
      << "the answer was lost: told again, not given again";
  EXPECT_GT(*p.request("x", "n", *first, 1000 * kRightsPerOperation), *first);
  EXPECT_FALSE(p.request("free", "n", 0, kRightsPerOperation)) << "no limit, nothing to count";
  EXPECT_FALSE(p.request("unknown", "n", 0, kRightsPerOperation));
  Rights before = p.rights("x");
  p.accrue(10050, t, 0);
  EXPECT_EQ(p.rights("x"), before) << "without a place in the view nothing is credited";
}

struct World {
  std::mt19937 rng;
  Millis now = 0;
  std::multimap<Millis, std::function<void()>> events;
  std::vector<std::unique_ptr<QuotaAllocator>> cores;
  struct Replica {
    std::unique_ptr<QuotaClient> quota_client;
    std::string name;
    HolderId core;
    int life = 0;
  };
  std::vector<Replica> nodes;
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng) < p; }
  int pick(int n) { return int(rng() % std::uint32_t(n)); }
  // A message: late, sometimes lost, sometimes twice.
  void send(std::function<void()> fn) {
    if (chance(0.03)) return;
    for (int n = chance(0.03) ? 2 : 1; n > 0; --n) events.emplace(now + 1 + pick(chance(0.05) ? 300 : 4), fn);
  }
};

void day(std::uint32_t seed, double rate, double burst, double offered) {
  SCOPED_TRACE(seed);
  World w;
  w.rng.seed(seed);
  const int cores = 5, nodes = 20;
  std::map<std::string, Tenant> t{{"x", {"x", {}, rate, burst, 1}}};
  for (int i = 0; i < cores; ++i)
    w.cores.push_back(std::make_unique<QuotaAllocator>("c" + std::to_string(i)));
  for (int i = 0; i < nodes; ++i) {
    w.nodes.emplace_back();
    w.nodes.back().quota_client = std::make_unique<QuotaClient>();
    w.nodes.back().name = "n" + std::to_string(i);
  }
  std::deque<Millis> ran;
  long admitted = 0, refused = 0;
  const Millis window = 5000;
  for (w.now = 0; w.now < 40000; ++w.now) {
    while (!w.events.empty() && w.events.begin()->first <= w.now)
      w.events.extract(w.events.begin()).mapped()();
    if (w.now % 50 == 0)
      for (auto& c : w.cores) {
        c->accrue(w.now, t, std::size_t(cores));
        for (auto& a : c->transfer_requests(w.now))
          for (auto& peer : w.cores)
            if (peer->self() == a.peer)
              w.send([&w, from = peer.get(), to = c.get(), a] {
                auto sum = from->request(a.tenant, to->self(), a.received, a.amount);
                if (sum) w.send([from, to, a, sum] { to->on_transfer(a.tenant, from->self(), *sum); });
              });
      }
    if (w.now % 1000 == 0)
      for (auto& c : w.cores)
        for (auto& peer : w.cores)
          if (peer != c)
            w.send([&w, to = peer.get(), me = c->self(), s = c->balances()] {
              to->on_peer_balances(me, w.now, s);
            });
    if (w.now % 3000 == 2999) {  // a node starts anew: another holder, without rights
      auto& n = w.nodes[std::size_t(w.pick(nodes))];
      n.quota_client = std::make_unique<QuotaClient>();
      n.name += "'";
      n.core.clear();
      ++n.life;
    }
    if (!w.chance(offered / 1000.0)) continue;
    // Most of a tenant's clients are at few nodes.
    std::size_t which = std::size_t(w.chance(0.7) ? w.pick(3) : w.pick(nodes));
    auto& n = w.nodes[which];
    auto o = n.quota_client->try_acquire(w.now, "x");
    if (o.request_amount > 0) {
      QuotaAllocator* c = w.cores[which % std::size_t(cores)].get();
      w.send([&w, c, which, life = n.life, me = n.name, known = n.quota_client->received_from("x", n.core),
              want = o.request_amount] {
        auto sum = c->request("x", me, known, want);
        if (sum)
          w.send([&w, c, which, life, sum] {
            auto& to = w.nodes[which];
            if (to.life != life) return;
            to.core = c->self();
            to.quota_client->on_transfer(w.now, "x", c->self(), *sum);
          });
      });
    }
    if (!o.acquired) {
      ++refused;
      continue;
    }
    ++admitted;
    ran.push_back(w.now);
    while (ran.front() <= w.now - window) ran.pop_front();
    ASSERT_LE(double(ran.size()), (rate * 5 + burst) * 1.1 + 20) << "at " << w.now;
  }
  // Far beyond the limit, what is granted is used.
  if (offered > rate) {
    EXPECT_GT(double(admitted), 0.6 * rate * 40);
  }
  EXPECT_GT(admitted, 0);
}

TEST(Quota, NoWindowHoldsMoreThanItsGrant) {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    day(seed, 5, 5, 3);
    day(seed, 30, 30, 20);
    day(seed, 30, 30, 400);
    day(seed, 250, 250, 900);
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace pebblespindle::test
