// Quota accounting: controllers credit and balance rights, nodes request and debit them, over messages that
// are delayed, lost, repeated and reordered, while nodes restart. No window may admit more operations than
// the quota grants.
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
  EXPECT_EQ(a.transfer("b", 2000), 3000) << "not enough rights: nothing is transferred";
  EXPECT_TRUE(b.merge_received("a", 3000));
  EXPECT_TRUE(b.merge_received("a", 2000));  // delayed or repeated
  EXPECT_TRUE(b.merge_received("a", 3000));
  EXPECT_EQ(b.rights(), 3000);
  EXPECT_FALSE(b.merge_received("a", -1)) << "an invalid total";
  EXPECT_FALSE(b.debit(-5));
  EXPECT_EQ(a.rights() + b.rights(), 4000);
}

TEST(Quota, AtMostHalfIsTransferredAndNotTwiceForOneRequest) {
  QuotaAllocator allocator("core");
  std::map<std::string, Tenant> tenants{{"x", {"x", {}, 100, 100, 1}}, {"free", {"free", {}, 0, 0, 1}}};
  for (Millis now = 0; now < 10000; now += 50) allocator.accrue(now, tenants, 1);
  Rights available = allocator.rights("x");
  EXPECT_LE(available, 100 * kRightsPerOperation) << "accumulated rights are bounded by the burst";
  auto first = allocator.request("x", "n", 0, 1000 * kRightsPerOperation);
  ASSERT_TRUE(first);
  EXPECT_LE(*first, available / 2);
  EXPECT_EQ(*allocator.request("x", "n", 0, 1000 * kRightsPerOperation), *first)
      << "the answer was lost: repeated, not transferred again";
  EXPECT_GT(*allocator.request("x", "n", *first, 1000 * kRightsPerOperation), *first);
  EXPECT_FALSE(allocator.request("free", "n", 0, kRightsPerOperation)) << "a tenant without a limit";
  EXPECT_FALSE(allocator.request("unknown", "n", 0, kRightsPerOperation));
  Rights before = allocator.rights("x");
  allocator.accrue(10050, tenants, 0);
  EXPECT_EQ(allocator.rights("x"), before) << "nothing is credited outside the view";
}

struct Simulation {
  std::mt19937 rng;
  Millis now = 0;
  std::multimap<Millis, std::function<void()>> events;
  std::vector<std::unique_ptr<QuotaAllocator>> controllers;
  struct Node {
    std::unique_ptr<QuotaClient> quota_client;
    std::string name;
    HolderId controller;
    int run = 0;
  };
  std::vector<Node> nodes;
  bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(rng) < probability; }
  int pick(int count) { return int(rng() % std::uint32_t(count)); }
  // Sends a message that is delayed, sometimes lost and sometimes repeated.
  void send(std::function<void()> deliver) {
    if (chance(0.03)) return;
    for (int n = chance(0.03) ? 2 : 1; n > 0; --n)
      events.emplace(now + 1 + pick(chance(0.05) ? 300 : 4), deliver);
  }
};

void simulate(std::uint32_t seed, double rate, double burst, double offered) {
  SCOPED_TRACE(seed);
  Simulation simulation;
  simulation.rng.seed(seed);
  const int controllers = 5, nodes = 20;
  std::map<std::string, Tenant> tenants{{"x", {"x", {}, rate, burst, 1}}};
  for (int i = 0; i < controllers; ++i)
    simulation.controllers.push_back(std::make_unique<QuotaAllocator>("c" + std::to_string(i)));
  for (int i = 0; i < nodes; ++i) {
    simulation.nodes.emplace_back();
    simulation.nodes.back().quota_client = std::make_unique<QuotaClient>();
    simulation.nodes.back().name = "n" + std::to_string(i);
  }
  std::deque<Millis> admitted_at;
  long admitted = 0, refused = 0;
  const Millis window = 5000;
  for (simulation.now = 0; simulation.now < 40000; ++simulation.now) {
    while (!simulation.events.empty() && simulation.events.begin()->first <= simulation.now)
      simulation.events.extract(simulation.events.begin()).mapped()();
    if (simulation.now % 50 == 0)
      for (auto& controller : simulation.controllers) {
        controller->accrue(simulation.now, tenants, std::size_t(controllers));
        for (auto& request : controller->transfer_requests(simulation.now))
          for (auto& peer : simulation.controllers)
            if (peer->self() == request.peer)
              simulation.send([&simulation, from = peer.get(), to = controller.get(), request] {
                auto total = from->request(request.tenant, to->self(), request.received, request.amount);
                if (total)
                  simulation.send(
                      [from, to, request, total] { to->on_transfer(request.tenant, from->self(), *total); });
              });
      }
    if (simulation.now % 1000 == 0)
      for (auto& controller : simulation.controllers)
        for (auto& peer : simulation.controllers)
          if (peer != controller)
            simulation.send([&simulation, to = peer.get(), me = controller->self(),
                             s = controller->balances()] { to->on_peer_balances(me, simulation.now, s); });
    if (simulation.now % 3000 == 2999) {  // a node restarts: a new holder without rights
      auto& node = simulation.nodes[std::size_t(simulation.pick(nodes))];
      node.quota_client = std::make_unique<QuotaClient>();
      node.name += "'";
      node.controller.clear();
      ++node.run;
    }
    if (!simulation.chance(offered / 1000.0)) continue;
    // Most clients of a tenant use a few nodes.
    std::size_t which = std::size_t(simulation.chance(0.7) ? simulation.pick(3) : simulation.pick(nodes));
    auto& node = simulation.nodes[which];
    auto outcome = node.quota_client->try_acquire(simulation.now, "x");
    if (outcome.request_amount > 0) {
      QuotaAllocator* controller = simulation.controllers[which % std::size_t(controllers)].get();
      simulation.send([&simulation, controller, which, run = node.run, me = node.name,
                       known = node.quota_client->received_from("x", node.controller),
                       want = outcome.request_amount] {
        auto total = controller->request("x", me, known, want);
        if (total)
          simulation.send([&simulation, controller, which, run, total] {
            auto& to = simulation.nodes[which];
            if (to.run != run) return;
            to.controller = controller->self();
            to.quota_client->on_transfer(simulation.now, "x", controller->self(), *total);
          });
      });
    }
    if (!outcome.acquired) {
      ++refused;
      continue;
    }
    ++admitted;
    admitted_at.push_back(simulation.now);
    while (admitted_at.front() <= simulation.now - window) admitted_at.pop_front();
    ASSERT_LE(double(admitted_at.size()), (rate * 5 + burst) * 1.1 + 20) << "at " << simulation.now;
  }
  // When far more is offered than granted, most of the quota is used.
  if (offered > rate) {
    EXPECT_GT(double(admitted), 0.6 * rate * 40);
  }
  EXPECT_GT(admitted, 0);
}

TEST(Quota, NoWindowHoldsMoreThanItsGrant) {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    simulate(seed, 5, 5, 3);
    simulate(seed, 30, 30, 20);
    simulate(seed, 30, 30, 400);
    simulate(seed, 250, 250, 900);
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace pebblespindle::test
