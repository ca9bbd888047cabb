// Randomized simulation: operators submit competing changes, repeat them and lose answers, while controllers
// are killed, partitioned, wiped and restarted.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "config/command_cluster.h"
#include "replication/timing.h"

namespace pebblespindle::test::config_commands {
namespace {

// Submits one change again and again, to any controller, until it receives a final answer or gives up.
struct Operator {
  std::size_t id = 0;
  bool open = false, lossy = false;  // lossy: most answers to it are lost
  Millis next = 0;
  int tries = 0;
};

class Simulation {
 public:
  explicit Simulation(std::uint32_t seed)
      : cluster_(seed,
                 seed % 3 == 0   ? 5
                 : seed % 3 == 1 ? 4
                                 : 3,
                 seed % 3 == 0 ? 2 : 1) {
    cluster_.net.loss_rate = seed % 5 == 0 ? 0.01 : 0;
  }
  void run(int steps) {
    ASSERT_NO_FATAL_FAILURE(cluster_.run(400));
    for (int step = 0; step < steps; ++step) {
      for (auto& op : operators_) advance(op);
      if (cluster_.requests.size() && chance(0.3)) resubmit_any();
      inject_fault();
      ASSERT_NO_FATAL_FAILURE(cluster_.run(10 + cluster_.net.pick(chance(0.03) ? 400 : 30)));
    }
    ASSERT_NO_FATAL_FAILURE(recover_and_check());
  }
  std::size_t changes() const { return cluster_.history.size(); }

 private:
  bool chance(double probability) { return cluster_.net.chance(probability); }
  const std::string& any() {
    return cluster_.hosts[std::size_t(cluster_.net.pick(int(cluster_.hosts.size())))];
  }

  void advance(Operator& op) {
    if (!op.open) {
      if (!chance(0.5)) return;
      op = {add_request(), true, chance(0.2), 0, 0};
    }
    if (cluster_.net.now < op.next) return;
    if (++op.tries > 12) return void(op.open = false);  // it gives up, but the change may still be applied
    op.next = cluster_.net.now + 30 + cluster_.net.pick(chance(0.2) ? 1500 : 300);
    for (int n = chance(0.1) ? 2 : 1; n > 0; --n)  // sometimes to two controllers at once
      cluster_.submit(op.id, any(), [this, &op, id = op.id](int status) {
        if (chance(op.lossy ? 0.8 : 0.2) || op.id != id || !op.open || status == 0 || status == 503) return;
        op.open = false;
      });
  }

  std::size_t add_request() {
    ChangeRequest request;
    request.base_revision = cluster_.newest_acknowledged;
    if (chance(0.1) &&
        !cluster_.requests
             .empty())  // on any revision that was ever submitted, also one that is not committed yet
      request.base_revision =
          cluster_.requests[std::size_t(cluster_.net.pick(int(cluster_.requests.size())))].revision;
    request.patch = request.base_revision > 0 && chance(0.4);
    request.revision = request.base_revision + 1 + std::uint64_t(cluster_.net.pick(3));
    if (chance(0.04)) request.revision = request.base_revision;  // not above its base
    if (request.revision == 0) request.revision = 1;
    const std::uint64_t salt = 1 + cluster_.requests.size();
    request.body =
        request.patch ? patch_body(request.revision, salt) : full_configuration(request.revision, salt);
    if (chance(0.04)) request.valid = false, request.body.pop_back();
    return cluster_.add(request);
  }

  // Submits any earlier change again: recent or old, applied, refused or never answered.
  void resubmit_any() {
    const int count = int(cluster_.requests.size());
    cluster_.submit(std::size_t(chance(0.5) ? cluster_.net.pick(count)
                                            : count - 1 - cluster_.net.pick(std::min(count, 10))),
                    any());
  }

  void inject_fault() {
    Millis now = cluster_.net.now;
    if (partition_ends_at_ && now >= partition_ends_at_)
      cluster_.net.blocked_links.clear(), partition_ends_at_ = 0;
    for (auto& [host, at] : restart_at_)
      if (now >= at && !cluster_.up(host)) cluster_.start(host);
    const std::string host = any();
    switch (cluster_.net.pick(250)) {
      case 0:
      case 1:
      case 2:  // one is killed, and restarts either soon or after it was excluded from the view
        if (cluster_.up(host)) {
          cluster_.kill(host);
          restart_at_[host] = now + (chance(0.5) ? cluster_.net.pick(300) : 1200 + cluster_.net.pick(2000));
        }
        break;
      case 3: {  // the head of the chain is killed
        const std::string head = head_of(cluster_);
        if (!head.empty()) cluster_.kill(head), restart_at_[head] = now + (chance(0.5) ? 0 : 2500);
        break;
      }
      case 4:  // all are killed at once
        if (chance(0.3))
          for (auto& name : cluster_.hosts)
            if (cluster_.up(name)) cluster_.kill(name), restart_at_[name] = now + cluster_.net.pick(400);
        break;
      case 5:  // one loses its disk while there is no other fault
        if (healthy_for(5000) && now >= wiped_at_ + 6000) {
          wiped_at_ = now;
          cluster_.kill(host, true);
          restart_at_[host] = now + cluster_.net.pick(3000);
        }
        break;
      case 6:
      case 7:
      case 8:  // partitioned from the others, in both directions or in one
        if (partition_ends_at_) break;
        for (auto& other : cluster_.hosts)
          if (other != host) {
            if (!chance(0.2)) cluster_.net.blocked_links.insert({host, other});
            if (!chance(0.2)) cluster_.net.blocked_links.insert({other, host});
          }
        partition_ends_at_ = now + 100 + cluster_.net.pick(chance(0.5) ? 500 : 3000);
        break;
      default:
        break;
    }
    bool healthy = !partition_ends_at_;
    for (auto& name : cluster_.hosts) healthy = healthy && cluster_.up(name) && cluster_.at(name).in_sync();
    if (!healthy) faulty_at_ = now;
  }
  bool settled() {
    std::size_t members = 0;
    for (auto& name : cluster_.hosts) members += cluster_.at(name).holds_lease(cluster_.net.now);
    return members >= 2 * cluster_.losses + 1 && !head_of(cluster_).empty();
  }
  bool healthy_for(Millis ms) const { return cluster_.net.now >= faulty_at_ + ms; }

  // Ends all faults and submits every change again: each one gets a final answer from any controller, and it
  // agrees with all earlier answers.
  void recover_and_check() {
    cluster_.net.blocked_links.clear();
    cluster_.net.loss_rate = 0;
    for (auto& name : cluster_.hosts)
      if (!cluster_.up(name)) cluster_.start(name);
    for (int step = 0, settled_rounds = 0; step < 100 && settled_rounds < 3; ++step) {
      ASSERT_NO_FATAL_FAILURE(cluster_.run(100));
      settled_rounds = settled() ? settled_rounds + 1 : 0;
    }
    ASSERT_TRUE(settled()) << "not settled after ten seconds without faults";
    std::vector<int> statuses(cluster_.requests.size(), 0);
    auto newest = [&] { return cluster_.history.empty() ? 0 : cluster_.history.back().revision; };
    // A change that is submitted now may produce the base revision of another one.
    auto open = [&](std::size_t id) {
      return statuses[id] == 0 || (statuses[id] == 503 && cluster_.requests[id].base_revision <= newest());
    };
    for (int round = 0; round < 20; ++round) {
      bool any_open = false;
      for (std::size_t id = 0; id < statuses.size(); ++id) {
        if (!open(id)) continue;
        any_open = true;
        statuses[id] = 0;
        cluster_.submit(id, any(), [&statuses, id](int status) { statuses[id] = status; });
      }
      if (!any_open) break;
      for (int n = 0; n < 12 && std::count(statuses.begin(), statuses.end(), 0); ++n)
        ASSERT_NO_FATAL_FAILURE(cluster_.run(replication::kSubmitTimeoutMs / 10));
    }
    const std::uint64_t current = newest();
    for (std::size_t id = 0; id < statuses.size(); ++id) {
      auto& request = cluster_.requests[id];
      if (statuses[id] == 503 && request.base_revision > current)
        continue;  // its base revision was never produced
      ASSERT_EQ(statuses[id] == 200, request.applied) << statuses[id] << " for " << cluster_.describe(id);
      ASSERT_TRUE(statuses[id] == 200 || statuses[id] == 412 || statuses[id] == 400)
          << statuses[id] << " for " << cluster_.describe(id);
    }
  }

  ControllerCluster cluster_;
  Operator operators_[8];
  std::map<std::string, Millis> restart_at_;
  Millis partition_ends_at_ = 0, faulty_at_ = 0, wiped_at_ = -10000;
};

// The environment variables PEBBLESPINDLE_SEEDS and PEBBLESPINDLE_FIRST_SEED set the number of seeds and the
// first one.
TEST(ConfigurationCommands, OneSuccessorToEachVersionWhateverHappens) {
  auto environment_number = [](const char* name, int fallback) {
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : fallback;
  };
  const int seeds = environment_number("PEBBLESPINDLE_SEEDS", 500),
            first = environment_number("PEBBLESPINDLE_FIRST_SEED", 1);
  std::size_t changes = 0;
  for (int seed = first; seed < first + seeds; ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation{std::uint32_t(seed)};
    simulation.run(seed % 100 ? 120 : 1500);  // every 100th run is long, with hundreds of changes
    if (HasFatalFailure()) return;
    changes += simulation.changes();
  }
  std::printf("%d runs, %zu changes applied\n", seeds, changes);
  EXPECT_GT(changes, std::size_t(seeds) * 10) << "runs with hardly any applied change test nothing";
}

}  // namespace
}  // namespace pebblespindle::test::config_commands
