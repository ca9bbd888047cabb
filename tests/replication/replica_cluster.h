// A fleet of cores on a simulated network: the same code as in the process, its invariants checked each step.
#pragma once
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "replication/simulated_network.h"
#include "replication/timing.h"
#include "storage/memory_storage.h"

namespace pebblespindle::test {

using replication::Replica;

struct Fleet;

struct Core : replication::Environment {
  Fleet& fleet;
  std::string host;
  MemoryStorage disk;
  std::unique_ptr<Replica> node;
  Core(Fleet& f, std::string h) : fleet(f), host(std::move(h)) {}
  void send(const std::string& to, const replication::Message& m) override;
  replication::ValidationResult validate(const StateTable& state, const Json& u) override {
    // {key, expect, value}: a compare-and-set, as the configuration and the leads use it.
    const Row* r = state.find(u["key"]);
    std::string current = r ? r->value : "";
    if (current == u["value"]) return {};
    if (current != u["expect"]) return {Status::conflict("lost the race"), {}};
    return {Status::ok(),
            {{u["key"], u["value"], 0, u["value"] == ""}}};  // an empty value takes the row away
  }
  int rises = 0;  // of what is committed: each is fed to every node
  void on_committed() override;
  void log_event(const std::string& t) override;
};

struct Fleet {
  // The first `founders` of n cores are the seeds.
  explicit Fleet(std::uint32_t seed, int n = 3, int founders = 3, std::size_t bear = 1)
      : net(seed), losses(bear) {
    for (int i = 0; i < n; ++i) hosts.push_back("core" + std::to_string(i));
    seeds.assign(hosts.begin(), hosts.begin() + founders);
    for (auto& host : hosts) start(host, true);
    net.deliver = [this](const std::string& to, const std::string& from, const Json& m) {
      auto& c = cores[to];
      if (c && c->node) receive_encoded(*c->node, net.now, from, m);
    };
  }
  Replica& at(const std::string& host) { return *cores[host]->node; }
  bool up(const std::string& host) { return cores[host] && cores[host]->node; }
  void start(const std::string& host, bool bootstrap = false) {
    auto& c = cores[host];
    if (!c) c = std::make_unique<Core>(*this, host);
    c->node = std::make_unique<Replica>(
        replication::ReplicaOptions{host, seeds, bootstrap, losses,
                                    std::uint64_t(net.rng()) << 20 | net.rng(), piece_bytes},
        c->disk, *c, net.now);
  }
  void stop(const std::string& host, bool wipe = false) {
    cores[host]->node.reset();
    net.forget(host);
    if (wipe) cores[host]->disk = MemoryStorage();
  }
  void cut_off(const std::string& host, bool both_ways) {
    for (auto& other : hosts)
      if (other != host) {
        net.cuts.insert({other, host});
        if (both_ways) net.cuts.insert({host, other});
      }
  }
  void run(Millis ms) {
    for (Millis i = 0; i < ms; ++i) {
      // Between messages and ticks leases can only end: no core comes to lead or to answer then.
      if (!net.step() && net.now % 20 != 0) continue;
      int leaders = 0, tails = 0;
      for (auto& host : hosts) {
        if (!up(host)) continue;
        if (net.now % 20 == 0) at(host).tick(net.now);
        if (at(host).is_leader(net.now)) {
          ++leaders;
          auto token = at(host).view().term;
          if (at(host).self() != holder) {
            ASSERT_GT(token, top) << "a new holder without a higher token";
          }
          holder = at(host).self();
          top = token;
        }
        tails += at(host).is_tail() && at(host).holds_lease(net.now);
      }
      ASSERT_LE(leaders, 1) << "two cores hold the duty";
      ASSERT_LE(tails, 1) << "two cores answer reads";
    }
  }
  // One history: the same number never stands for two different rows once it is committed somewhere.
  void check_history() {
    for (auto& host : hosts) {
      if (!up(host) || !at(host).all_committed()) continue;
      for (auto& r : at(host).state().rows_after(0)) {
        auto [it, fresh] = history.emplace(r.sequence, r);
        ASSERT_EQ(it->second, r) << "number " << r.sequence << " stands for two rows";
      }
    }
  }
  int submit(const std::string& host, const std::string& key, const std::string& expect,
             const std::string& value) {
    int status = -1;
    at(host).submit(net.now, {{"key", key}, {"expect", expect}, {"value", value}},
                    [&status](Status a) { status = answer_code(a); });
    run(replication::kSubmitTimeoutMs + 50);
    return status;
  }
  std::optional<std::string> read(const std::string& host, const std::string& key) {
    std::optional<std::string> out;
    at(host).read(net.now, key,
                  [&out](Result<std::optional<std::string>> read) { out = read ? *read : std::nullopt; });
    run(replication::kSubmitTimeoutMs + 50);
    return out;
  }
  SimNet net;
  std::size_t losses, piece_bytes = replication::kStateChunkBytes;
  std::vector<std::string> hosts, seeds;
  std::map<std::string, std::unique_ptr<Core>> cores;
  std::map<std::uint64_t, Row> history;
  std::string holder;  // of the duty
  std::uint64_t top = 0;
};

inline void Core::send(const std::string& to, const replication::Message& m) {
  fleet.net.send(node ? node->self() : host, replication::host_of(to), replication::encode(m));
}
inline void Core::log_event(const std::string& t) {
  if (std::getenv("CHAIN_NOTES"))
    std::printf("%lld %s: %s\n", (long long)fleet.net.now, host.c_str(), t.c_str());
}
inline void Core::on_committed() {
  ++rises;
  fleet.check_history();
}

}  // namespace pebblespindle::test
