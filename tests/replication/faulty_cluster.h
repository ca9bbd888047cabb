// A simulated core with machines that hang at it, writers and readers, and what must hold after each step.
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

// Seeds of a run: the usual number, or as many as PEBBLESPINDLE_SEEDS asks for, from PEBBLESPINDLE_FIRST_SEED
// on.
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

// A machine that hangs at a core: holds a lease there and is fed, under the very conditions of the process.
struct SimulatedNode {
  std::string name, controller_host;
  StateCache cache;
  Millis heard_at = -10000, renewed_at = 0;
};

// One writer a key, so that no order of it may ever be refused: it builds on what was acknowledged and is
// offered as it was, to any core, until it is.
struct Writer {
  std::string key;
  int value = 0, acknowledged = 0, read = 0;  // read: the newest that a caller has been told
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
      if (message["t"] != "b") message_handled = true;  // a beat seats nobody at the one that hears it
      auto core = cores.find(to);
      if (core != cores.end() && core->second && core->second->replica)
        receive_encoded(*core->second->replica, net.now, from, message);
    };
  }
  std::string random_host() { return hosts[std::size_t(net.pick(int(hosts.size())))]; }
  Millis now() const { return net.now; }

  // What a core does for a machine that hangs at it (Controller::on_agent).
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
  // Whatever is handed out holds all that was acknowledged to anyone before.
  void expect_acknowledged_changes(Replica& replica, const char* what) {
    for (auto& writer : writers)
      ASSERT_GE(value_of(replica.state().find(writer.key)), writer.acknowledged)
          << replica.self() << " hands out " << what << " that lacks an acknowledged change of "
          << writer.key;
  }
  // A redirect rests on a view that is the newest, or was within the last second.
  void expect_recent_view(Replica& replica) {
    auto next = view_seen_at.upper_bound(replica.view().number);
    if (next != view_seen_at.end()) {
      ASSERT_LE(now() - next->second, replication::kPeerTimeoutMs + 500)
          << replica.self() << " redirects by an old view";
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
    // A beat that says nothing new is answered on the spot.
    if (at(host).may_serve(now())) expect_acknowledged_changes(at(host), "an answer");
  }

  // Two race for a key, each with changes of its own: one that was refused is never in force.
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
  // What a racer builds on: what is in place, or what another has just sent and hopes for.
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
    int heads = 0, tails = 0;
    for (auto& host : hosts) {
      if (!is_running(host)) continue;
      Replica& replica = at(host);
      if (replica.is_leader(now())) {
        ++heads;
        if (replica.self() != last_leader) {
          ASSERT_GT(replica.view().term, highest_term) << "a new holder without a higher token";
        }
        last_leader = replica.self();
        highest_term = replica.view().term;
      }
      tails += replica.is_tail() && replica.holds_lease(now());
      if (replica.all_committed() && replica.committed() > checked_sequence[host]) {
        checked_sequence[host] = replica.committed();
        const Row* row = replica.state().find("race");
        ASSERT_FALSE(row && refused.count(value_of(row))) << "what was refused is in force: " << row->value;
      }
    }
    ASSERT_LE(heads, 1) << "two cores act as the head";
    ASSERT_LE(tails, 1) << "two cores answer reads";
  }
  Replica& newest_replica() {
    Replica* newest = nullptr;
    for (auto& host : hosts)
      if (is_running(host) && (!newest || at(host).view().number > newest->view().number)) newest = &at(host);
    return *newest;
  }
  // All are in step, vote in full number, and hold what was acknowledged.
  void expect_healthy(std::size_t running) {
    auto& view = newest_replica().view();
    EXPECT_EQ(view.voters.size(), std::min(running, 2 * tolerated_losses + 1)) << now();
    for (auto& name : view.voters) {
      std::string host = replication::host_of(name);
      ASSERT_TRUE(is_running(host) && at(host).self() == name) << name << " votes and is gone, at " << now();
      EXPECT_TRUE(view.has_member(name)) << name << " votes and is no member";
    }
    for (auto& message : view.members) {
      Replica& replica = at(replication::host_of(message.id));
      EXPECT_TRUE(replica.self() == message.id && replica.in_sync())
          << message.id << " is not in step at " << now();
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
  std::map<std::uint64_t, Millis> view_seen_at;  // when a view was first known anywhere
  std::map<std::string, std::uint64_t> checked_sequence;
  std::set<int> refused, accepted;
  int racing_changes = 0, answered = 0, submitted = 0;  // offered: to a core that runs
  bool writing = false, message_handled = false;
};

}  // namespace pebblespindle::test
