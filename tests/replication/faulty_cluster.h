// A simulated cluster under faults: replicas, nodes that hold leases and receive configuration from them,
// writers and readers. The invariants are checked after each step.
#pragma once
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>

#include "agent/constants.h"
#include "agent/state_cache.h"
#include "config/config_delivery.h"
#include "membership/constants.h"
#include "replication/encoded_messages.h"
#include "replication/replica_cluster.h"
#include "replication/timing.h"

namespace pebblespindle::test {

// Runs a simulation for each seed: default_count seeds, or as many as PEBBLESPINDLE_SEEDS says, beginning
// with PEBBLESPINDLE_FIRST_SEED.
inline std::uint32_t number_from_environment(const char* name, std::uint32_t default_count) {
  const char* text = std::getenv(name);
  return text ? std::uint32_t(std::atol(text)) : default_count;
}
template <class Run>
void each_seed(std::uint32_t default_count, Run run) {
  std::uint32_t first = number_from_environment("PEBBLESPINDLE_FIRST_SEED", 1),
                count = number_from_environment("PEBBLESPINDLE_SEEDS", default_count);
  for (std::uint32_t seed = first; seed < first + count && !testing::Test::HasFailure(); ++seed) run(seed);
}

inline int value_of(const Row* row) {
  return row ? std::stoi(row->value) : 0;
}

// A node that holds a lease at a controller and receives configuration from it, under the same conditions as
// in the process.
struct SimulatedNode {
  std::string name, controller_host;
  StateCache cache;
  Millis heard_at = -10000, renewed_at = 0;
};

// The only writer of its key: each change builds on the last acknowledged one and is submitted unchanged, to
// any replica, until it is acknowledged. So none of its changes may be refused.
struct Writer {
  std::string key;
  int value = 0, acknowledged = 0, read = 0;  // read: the newest value that a reader has received
  bool done = true;
  Millis next = 0;
  int floor() const { return std::max(acknowledged, read); }
};

struct FaultyCluster : ReplicaCluster {
  FaultyCluster(std::uint32_t seed, int replica_count, int seed_count, std::size_t tolerated_losses)
      : ReplicaCluster(seed, replica_count, seed_count, tolerated_losses) {
    for (int i = 0; i < 3; ++i) writers.push_back({"k" + std::to_string(i), 0, 0, 0, true, 0});
    for (int i = 0; i < 3; ++i) nodes.push_back({"node" + std::to_string(i), "", {}, -10000, 0});
    net.deliver = [this](const std::string& to, const std::string& from, const Json& message) {
      for (auto& node : nodes) {
        if (node.name == to) return receive_at_node(node, from, message);
        if (node.name == from) return receive_from_node(to, node, message);
      }
      if (message["t"] != "b") message_handled = true;  // a heartbeat gives no lease to its receiver
      auto core = cores.find(to);
      if (core != cores.end() && core->second && core->second->replica)
        receive_encoded(*core->second->replica, net.now, from, message);
    };
  }
  std::string random_host() { return hosts[std::size_t(net.pick(int(hosts.size())))]; }
  Millis now() const { return net.now; }

  // Handles a node's message as Controller::on_agent does.
  void receive_from_node(const std::string& host, SimulatedNode& node, const Json& message) {
    if (!is_running(host)) return;
    Replica& replica = at(host);
    ConfigDelivery& delivery = deliveries[host][node.name];
    if (message["t"] == "hi") delivery = {}, delivery.start(message["have"]);
    if (message["t"] == "got") delivery.on_chunk_acknowledged();
    if (message["t"] == "renew") {
      bool grant = replica.holds_lease(now());
      if (grant) expect_acknowledged_changes(replica, "a lease");
      if (replica.hears_majority(now())) expect_recent_view(replica);
      net.send(host, node.name, {{"t", grant ? "grant" : "away"}});
    }
    feed(host, node.name, delivery);
  }
  void feed(const std::string& host, const std::string& to, ConfigDelivery& delivery) {
    Replica& replica = at(host);
    if (!replica.holds_lease(now())) return;
    delivery.send_pending(replica.state(), replica.committed(), replica.may_serve(now()), shared_feeds[host],
                          [&](const std::string& line) {
                            expect_acknowledged_changes(replica, "a feed");
                            net.send(host, to, {{"t", "line"}, {"l", line}});
                          });
  }
  // Whatever a replica hands out must include all changes acknowledged to anyone before.
  void expect_acknowledged_changes(Replica& replica, const char* what) {
    for (auto& writer : writers)
      ASSERT_GE(value_of(replica.state().find(writer.key)), writer.acknowledged)
          << replica.self() << " hands out " << what << " that lacks an acknowledged change of "
          << writer.key;
  }
  // A redirect must rest on a view that is the newest, or was so within the time that a silent replica may go
  // unnoticed.
  void expect_recent_view(Replica& replica) {
    auto next = view_seen_at.upper_bound(replica.view().number);
    if (next != view_seen_at.end()) {
      ASSERT_LE(now() - next->second, replication::kPeerTimeoutMs + 500)
          << replica.self() << " redirects by an outdated view";
    }
  }
  void receive_at_node(SimulatedNode& node, const std::string& from, const Json& message) {
    if (from != node.controller_host) return;
    if (message["t"] == "away") return void(node.controller_host.clear());
    node.heard_at = now();
    if (message["t"] != "line") return;
    const std::string line = message["l"];
    if (node.cache.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1)).acknowledge)
      net.send(node.name, node.controller_host, {{"t", "got"}});
  }
  void renew_lease(SimulatedNode& node) {
    if (node.controller_host.empty() || now() - node.heard_at > kControllerTimeoutMs) {
      node.controller_host = random_host();
      node.heard_at = now();
      node.cache.on_new_link();
      net.send(node.name, node.controller_host, {{"t", "hi"}, {"have", node.cache.sequence()}});
    }
    net.send(node.name, node.controller_host, {{"t", "renew"}});
  }

  void submit_next_change(Writer& writer) {
    std::string host = random_host();
    writer.next = now() + 300 + net.pick(800);
    if (!is_running(host)) return;
    if (writer.done) ++writer.value, writer.done = false;
    ++submitted;
    Millis asked_at = now();
    std::string expect = writer.acknowledged ? std::to_string(writer.acknowledged) : "";
    at(host).submit(
        asked_at, {{"key", writer.key}, {"expect", expect}, {"value", std::to_string(writer.value)}},
        [this, &writer, asked_at, value = writer.value](Status answer) {
          EXPECT_LE(now() - asked_at, replication::kSubmitTimeoutMs + 20) << "no answer in time";
          if (answer.code() == StatusCode::kNoAnswer) return;
          ++answered;
          ASSERT_TRUE(answer.is_ok() || writer.acknowledged >= value)
              << writer.key << "=" << value << " is refused, with " << writer.acknowledged << " in place";
          if (answer.is_ok() && value == writer.value) writer.acknowledged = value, writer.done = true;
        });
  }
  void read_back(Writer& writer) {
    std::string host = random_host();
    if (!is_running(host)) return;
    at(host).read(now(), writer.key,
                  [&writer, floor = writer.floor()](const Result<std::optional<std::string>>& value) {
                    if (!value) return;
                    int got = *value ? std::stoi(**value) : 0;
                    ASSERT_GE(got, floor) << "an older state of " << writer.key << " comes back";
                    writer.read = std::max(writer.read, got);
                  });
    // A replica answers a node's heartbeat at once if it reports nothing new.
    if (at(host).may_serve(now())) expect_acknowledged_changes(at(host), "an answer");
  }

  // Submitters race for one key, each change with a value of its own: a change that was refused must never
  // take effect.
  void submit_racing_change() {
    std::string host = random_host();
    if (!is_running(host)) return;
    int to = ++racing_changes;
    at(host).submit(now(), {{"key", "race"}, {"expect", race_base()}, {"value", std::to_string(to)}},
                    [this, to](Status answer) {
                      if (answer.code() == StatusCode::kConflict) refused.insert(to);
                      if (answer.is_ok()) accepted.insert(to);
                    });
  }
  // The value that a racing change expects: the accepted one, or one that was just submitted and may be
  // accepted.
  std::string race_base() {
    int base = net.chance(0.4) ? racing_changes - 1 : (accepted.empty() ? 0 : *accepted.rbegin());
    return base > 0 ? std::to_string(base) : "";
  }

  void step() {
    message_handled = false;
    net.step();
    bool is_tick = net.now % 20 == 0;
    if (is_tick) {
      for (auto& host : hosts)
        if (is_running(host)) {
          at(host).tick(now());
          if (net.now % 60 == 0)
            for (auto& [name, delivery] : deliveries[host]) feed(host, name, delivery);
          auto& view = at(host).view();
          view_seen_at.emplace(view.number, now());
        }
      for (auto& node : nodes)
        if (now() >= node.renewed_at + kNodeRenewalMs) node.renewed_at = now(), renew_lease(node);
    }
    if (writing) {
      for (auto& writer : writers)
        if (now() >= writer.next) submit_next_change(writer), read_back(writer);
      if (net.now % 200 == 0) submit_racing_change();
    }
    if (message_handled || is_tick) check_invariants();
  }
  void run_checked(Millis duration) {
    for (Millis end = now() + duration; now() < end && !testing::Test::HasFailure();) step();
  }
  void check_invariants() {
    expect_memory_as_on_disk();
    int heads = 0, tails = 0;
    for (auto& host : hosts) {
      if (!is_running(host)) continue;
      Replica& replica = at(host);
      if (replica.is_leader(now())) {
        ++heads;
        if (replica.self() != last_leader) {
          ASSERT_GT(replica.view().term, highest_term) << "a new leader without a higher term";
        }
        last_leader = replica.self();
        highest_term = replica.view().term;
      }
      tails += replica.is_tail() && replica.holds_lease(now());
      if (replica.all_committed() && replica.committed() > checked_sequence[host]) {
        checked_sequence[host] = replica.committed();
        const Row* row = replica.state().find("race");
        ASSERT_FALSE(row && refused.count(value_of(row))) << "a refused change took effect: " << row->value;
      }
    }
    ASSERT_LE(heads, 1) << "two replicas act as the head";
    ASSERT_LE(tails, 1) << "two replicas answer reads";
  }
  Replica& newest_replica() {
    Replica* newest = nullptr;
    for (auto& host : hosts)
      if (is_running(host) && (!newest || at(host).view().number > newest->view().number)) newest = &at(host);
    return *newest;
  }
  // Expects that all voters run, that their number is full, and that all members are in sync and hold all
  // acknowledged changes.
  void expect_healthy(std::size_t running) {
    auto& view = newest_replica().view();
    EXPECT_EQ(view.voters.size(), std::min(running, 2 * tolerated_losses + 1)) << now();
    for (auto& name : view.voters) {
      std::string host = replication::host_of(name);
      ASSERT_TRUE(is_running(host) && at(host).self() == name)
          << name << " is a voter and does not run, at " << now();
      EXPECT_TRUE(view.has_member(name)) << name << " is a voter and no member";
    }
    for (auto& member : view.members) {
      Replica& replica = at(replication::host_of(member.id));
      EXPECT_TRUE(replica.self() == member.id && replica.in_sync())
          << member.id << " is not in sync at " << now();
      expect_acknowledged_changes(replica, "a place");
    }
  }
  void restart(const std::string& host, Millis pause) {
    stop(host);
    deliveries.erase(host);
    run_checked(pause);
    start(host);
  }

  std::vector<Writer> writers;
  std::vector<SimulatedNode> nodes;
  std::map<std::string, std::map<std::string, ConfigDelivery>> deliveries;
  std::map<std::string, ConfigDelivery::SharedUpdate> shared_feeds;
  std::map<std::uint64_t, Millis> view_seen_at;  // when any replica first adopted the view
  std::map<std::string, std::uint64_t> checked_sequence;
  std::set<int> refused, accepted;
  int racing_changes = 0, answered = 0, submitted = 0;  // submitted: to replicas that run
  bool writing = false, message_handled = false;
};

}  // namespace pebblespindle::test
