// A cluster of replicas on a simulated network. It runs the same code as the process and checks the
// invariants at each step.
#pragma once
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <stdexcept>

#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "replication/simulated_network.h"
#include "replication/timing.h"
#include "storage/memory_storage.h"

namespace pebblespindle::test {

using replication::Replica;

struct ReplicaCluster;

struct SimulatedReplica : replication::Environment {
  ReplicaCluster& cluster;
  std::string host;
  MemoryStorage disk;
  std::unique_ptr<Replica> replica;
  SimulatedReplica(ReplicaCluster& owner, std::string own_host) : cluster(owner), host(std::move(own_host)) {}
  void send(const std::string& to, const replication::Message& message) override;
  replication::ValidationResult validate(const StateTable& state, const Json& command) override {
    // A command {key, expect, value} is a compare-and-set, as configuration changes and primary assignments
    // are. An empty value deletes the row. One with `throws` raises an exception.
    if (command.contains("throws")) throw std::runtime_error("cannot be validated");
    const Row* row = state.find(command["key"]);
    std::string current = row ? row->value : "";
    if (current == command["value"]) return {};
    if (current != command["expect"]) return {Status::conflict("lost the race"), {}};
    return {Status::ok(), {{command["key"], command["value"], 0, command["value"] == ""}}};
  }
  int commit_count = 0;  // calls of on_committed(); each feeds every node once
  void on_committed() override;
  void log_event(const std::string& event) override;
};

constexpr std::size_t kMostRowsCompared = 64;  // rows; larger tables would make each step slow

struct ReplicaCluster {
  // The first `seed_count` of the replicas are the seeds.
  explicit ReplicaCluster(std::uint32_t seed, int replica_count = 3, int seed_count = 3,
                          std::size_t tolerated_losses = 1)
      : net(seed), tolerated_losses(tolerated_losses) {
    for (int i = 0; i < replica_count; ++i) hosts.push_back("core" + std::to_string(i));
    seeds.assign(hosts.begin(), hosts.begin() + seed_count);
    for (auto& host : hosts) start(host, true);
    net.deliver = [this](const std::string& to, const std::string& from, const Json& message) {
      auto& core = cores[to];
      if (core && core->replica) receive_encoded(*core->replica, net.now, from, message);
    };
  }
  Replica& at(const std::string& host) { return *cores[host]->replica; }
  bool is_running(const std::string& host) { return cores[host] && cores[host]->replica; }
  void start(const std::string& host, bool bootstrap = false) {
    auto& core = cores[host];
    if (!core) core = std::make_unique<SimulatedReplica>(*this, host);
    core->replica = std::make_unique<Replica>(
        replication::ReplicaOptions{host, seeds, bootstrap, tolerated_losses,
                                    std::uint64_t(net.rng()) << 20 | net.rng(), chunk_bytes},
        core->disk, *core, net.now);
  }
  void stop(const std::string& host, bool lose_disk = false) {
    cores[host]->replica.reset();
    net.drop_messages_of(host);
    if (lose_disk) cores[host]->disk = MemoryStorage();
  }
  void isolate(const std::string& host, bool both_directions) {
    for (auto& other : hosts)
      if (other != host) {
        net.blocked_links.insert({other, host});
        if (both_directions) net.blocked_links.insert({host, other});
      }
  }
  void run(Millis ms) {
    for (Millis i = 0; i < ms; ++i) {
      // Without a message or a tick, leases can only expire: no replica can become the leader or the tail
      // then.
      if (!net.step() && net.now % 20 != 0) continue;
      int leaders = 0, tails = 0;
      for (auto& host : hosts) {
        if (!is_running(host)) continue;
        if (net.now % 20 == 0) at(host).tick(net.now);
        if (at(host).is_leader(net.now)) {
          ++leaders;
          auto term = at(host).view().term;
          if (at(host).self() != last_leader) {
            ASSERT_GT(term, highest_term) << "a new leader without a higher term";
          }
          last_leader = at(host).self();
          highest_term = term;
        }
        tails += at(host).is_tail() && at(host).holds_lease(net.now);
      }
      ASSERT_LE(leaders, 1) << "two replicas act as the leader";
      ASSERT_LE(tails, 1) << "two replicas answer reads";
    }
  }
  // All replicas share one history: a sequence number identifies the same row wherever it is committed.
  void check_history() {
    for (auto& host : hosts) {
      if (!is_running(host) || !at(host).all_committed()) continue;
      for (auto& row : at(host).state().rows_after(0)) {
        auto [it, inserted] = history.emplace(row.sequence, row);
        ASSERT_EQ(it->second, row) << "sequence number " << row.sequence << " identifies two rows";
      }
    }
  }
  // Whatever a replica that participates says rests on its memory, which must be what a restart would read.
  void expect_memory_as_on_disk() {
    for (auto& host : hosts) {
      if (!is_running(host) || at(host).disk_failed()) continue;
      if (at(host).state().size() > kMostRowsCompared) continue;
      const SimulatedReplica& core = *cores[host];
      std::map<std::string, Row> in_memory;
      for (auto& row : at(host).state().rows_after(0)) in_memory[row.key] = row;
      std::map<std::string, Row> on_disk = core.disk.stored_rows;
      std::erase_if(on_disk, [&](auto& entry) {
        return entry.second.deleted && entry.second.sequence <= at(host).state().compacted_to();
      });
      ASSERT_EQ(in_memory, on_disk) << "the memory of " << host << " is not what its disk holds, at "
                                    << net.now;
    }
  }
  int submit(const std::string& host, const std::string& key, const std::string& expect,
             const std::string& value) {
    int status = -1;
    at(host).submit(net.now, {{"key", key}, {"expect", expect}, {"value", value}},
                    [&status](Status answer) { status = answer_code(answer); });
    run(replication::kSubmitTimeoutMs + 50);
    return status;
  }
  std::optional<std::string> read(const std::string& host, const std::string& key) {
    std::optional<std::string> value;
    at(host).read(net.now, key,
                  [&value](Result<std::optional<std::string>> read) { value = read ? *read : std::nullopt; });
    run(replication::kSubmitTimeoutMs + 50);
    return value;
  }
  SimulatedNetwork net;
  std::size_t tolerated_losses, chunk_bytes = replication::kStateChunkBytes;
  std::vector<std::string> hosts, seeds;
  std::map<std::string, std::unique_ptr<SimulatedReplica>> cores;
  std::map<std::uint64_t, Row> history;
  std::string last_leader;  // the last replica that acted as leader
  std::uint64_t highest_term = 0;
};

inline void SimulatedReplica::send(const std::string& to, const replication::Message& message) {
  cluster.net.send(replica ? replica->self() : host, replication::host_of(to), replication::encode(message));
}
inline void SimulatedReplica::log_event(const std::string& event) {
  if (std::getenv("CHAIN_NOTES"))
    std::printf("%lld %s: %s\n", (long long)cluster.net.now, host.c_str(), event.c_str());
}
inline void SimulatedReplica::on_committed() {
  ++commit_count;
  cluster.check_history();
}

}  // namespace pebblespindle::test
