// Simulation of the whole path of a configuration: operators that submit competing and repeated changes,
// controllers, agents and proxies, running the production code on a simulated network, while single processes
// are killed at any time. After each step the configuration that each proxy holds is checked.
#include "config/config_delivery.h"

#include <gtest/gtest.h>

#include <memory>

#include "agent/state_cache.h"
#include "config/cluster_state.h"
#include "config/command_validation.h"
#include "config/configuration_reader.h"
#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "replication/simulated_network.h"
#include "storage/memory_storage.h"

namespace pebblespindle::test {
namespace {

using replication::Replica;

std::string body_of(std::uint64_t revision, std::uint64_t salt, int routes) {
  Json configuration{{"Revision", revision}, {"Routes", Json::array()}, {"Services", {{{"Name", "s"}}}}};
  for (int i = 0; i < routes; ++i)
    configuration["Routes"].push_back(
        {{"Name", std::string(600, 'r') + std::to_string(i)},  // long, so that updates take several chunks
         {"Hostname", "h" + std::to_string((salt + std::uint64_t(i)) % 40)},
         {"RouteType", "primary"},
         {"TimeoutMs", 100 + salt},
         {"TargetService", "s"}});
  return configuration.dump();
}

struct DeliveryPath;

struct SimulatedController : replication::Environment {
  DeliveryPath& path;
  std::string host;
  MemoryStorage storage;
  std::unique_ptr<Replica> replica;
  ConfigDelivery::SharedUpdate shared_update;
  struct Link {
    std::uint64_t epoch = 0;
    ConfigDelivery delivery;
  };
  std::map<std::string, Link> links;  // by agent
  SimulatedController(DeliveryPath& owner, std::string name) : path(owner), host(std::move(name)) {}
  void send(const std::string& to, const replication::Message& message) override;
  replication::ValidationResult validate(const StateTable& state, const Json& encoded) override {
    return validate_command(state, encoded);
  }
  void on_committed() override { send_updates(); }
  void log_event(const std::string&) override {}
  void send_updates();
};

// A machine with two processes that can restart independently: an agent with its state cache, and a proxy
// with its cluster state.
struct Machine {
  std::string name, controller;
  std::uint64_t epoch = 0;
  StateCache cache;
  ClusterState cluster;
  std::uint64_t revision = 0;          // the newest that the proxy has applied since it started
  bool linked = false;                 // the proxy's link to the agent is up
  std::uint64_t checked_sequence = 0;  // sequence number of the state that was checked last
  void forward(const std::string& line) {
    if (!linked || line.empty()) return;
    Json update = Json::parse(line);
    auto rows = *decode_rows(update["r"]);
    std::uint64_t sequence = update["k"];
    if (update.value("whole", false)) rows = cluster.diff_to_snapshot(sequence, std::move(rows));
    cluster.apply(sequence, rows);
  }
};

struct DeliveryPath {
  explicit DeliveryPath(std::uint32_t seed) : network(seed) {
    for (int i = 0; i < 5; ++i) hosts.push_back("core" + std::to_string(i));
    for (auto& host : hosts) start(host, true);
    for (int i = 0; i < 3; ++i) machines.push_back({"m" + std::to_string(i), "", 0, {}, {}, 0, true, 0});
    network.deliver = [this](const std::string& to, const std::string& from, const Json& message) {
      receive(to, from, message);
    };
  }
  void start(const std::string& host, bool bootstrap = false) {
    auto& controller = controllers[host];
    if (!controller) controller = std::make_unique<SimulatedController>(*this, host);
    controller->links.clear();
    controller->replica = std::make_unique<Replica>(
        replication::ReplicaOptions{host,
                                    {"core0", "core1", "core2"},
                                    bootstrap,
                                    2,
                                    std::uint64_t(network.rng()) << 20 | network.rng()},
        controller->storage, *controller, network.now);
  }
  void receive(const std::string& to, const std::string& from, const Json& message) {
    auto found = controllers.find(to);
    if (found != controllers.end()) {
      SimulatedController& controller = *found->second;
      if (!controller.replica) return;
      const std::string type = message.value("t", "");
      if (type == "hi") {
        controller.links[from] = {message["e"], {}};
        controller.links[from].delivery.start(message["have"]);
      } else if (type == "got") {
        if (controller.links.count(from) && controller.links[from].epoch == message["e"])
          controller.links[from].delivery.on_chunk_acknowledged();
      } else {
        return receive_encoded(*controller.replica, network.now, from, message);
      }
      return controller.send_updates();
    }
    for (auto& machine : machines) {
      if (machine.name != to || message["e"] != machine.epoch) continue;
      const std::string line = message["line"];
      auto applied =
          machine.cache.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1));
      if (applied.acknowledge)
        network.send(machine.name, machine.controller, {{"t", "got"}, {"e", machine.epoch}});
      machine.forward(applied.forward);
    }
  }
  // Connects the agent to a random controller, if that is a member of the chain.
  void link(Machine& machine) {
    auto& host = hosts[std::size_t(network.pick(int(hosts.size())))];
    auto& controller = controllers[host];
    if (!controller->replica || !controller->replica->holds_lease(network.now)) return;
    machine.controller = host;
    ++machine.epoch;
    machine.cache.on_new_link();
    network.send(machine.name, host, {{"t", "hi"}, {"e", machine.epoch}, {"have", machine.cache.sequence()}});
  }
  void check() {
    for (auto& machine : machines) {
      if (!machine.cluster.has_configuration() || machine.cluster.sequence() == machine.checked_sequence)
        continue;
      machine.checked_sequence = machine.cluster.sequence();
      const std::uint64_t revision = machine.cluster.configuration().revision;
      ASSERT_GE(revision, machine.revision) << machine.name << " went back to an older revision";
      machine.revision = revision;
      ASSERT_TRUE(bodies.count(revision));
      auto expected = read_configuration(bodies[revision]);
      std::size_t route_count = 0;
      for (int i = 0; i < 40; ++i) {
        auto route = machine.cluster.route("h" + std::to_string(i));
        auto entry = std::find_if(expected->routes.begin(), expected->routes.end(), [&](auto& candidate) {
          return candidate.second.hostname == "h" + std::to_string(i);
        });
        ASSERT_EQ(bool(route), entry != expected->routes.end())
            << machine.name << " at " << revision << ": route h" << i
            << (route ? " was dropped" : " was added");
        if (route) {
          ASSERT_EQ(route->timeout_ms, entry->second.timeout_ms);
        }
        route_count += bool(route);
      }
      ASSERT_EQ(route_count, expected->routes.size());
      ASSERT_FALSE(refused.count(revision)) << "a refused change was applied";
    }
  }
  void run(Millis duration) {
    for (Millis elapsed = 0; elapsed < duration; ++elapsed) {
      network.step();
      for (auto& host : hosts)
        if (controllers[host]->replica && network.now % 20 == 0)
          controllers[host]->replica->tick(network.now), controllers[host]->send_updates();
      for (auto& machine : machines) {
        auto found = controllers.find(machine.controller);
        bool lost = found == controllers.end() || !found->second->replica ||
                    !found->second->links.count(machine.name);
        if (network.now % 300 == 0 && (lost || !found->second->replica->holds_lease(network.now)))
          link(machine);
      }
      ASSERT_NO_FATAL_FAILURE(check());
    }
  }
  SimulatedNetwork network;
  std::vector<std::string> hosts;
  std::map<std::string, std::unique_ptr<SimulatedController>> controllers;
  std::vector<Machine> machines;
  std::map<std::uint64_t, std::string> bodies;  // of all submitted changes, by revision
  std::set<std::uint64_t> refused;              // revisions that were answered with a refusal
};

void SimulatedController::send(const std::string& to, const replication::Message& message) {
  path.network.send(replica ? replica->self() : host, replication::host_of(to), replication::encode(message));
}
void SimulatedController::send_updates() {
  if (!replica) return;
  for (auto& [name, link] : links)
    link.delivery.send_pending(replica->state(), replica->committed(), replica->all_committed(),
                               shared_update, [&, name = name, epoch = link.epoch](const std::string& line) {
                                 path.network.send(host, name, {{"e", epoch}, {"line", line}});
                               });
}

// An operator that submits one change again and again, to any controller, until it gets a final answer.
struct Operator {
  std::uint64_t base_revision = 0, revision = 0;
  bool done = true;
  int status = 0;
  Millis next_submit = 0;
};

void simulate(std::uint32_t seed) {
  SCOPED_TRACE(seed);
  DeliveryPath path(seed);
  path.run(3000);
  std::uint64_t newest = 0, acknowledged = 0, highest = 0;
  Operator operators[2];
  auto submit = [&](Operator& client) {
    auto& controller = path.controllers[path.hosts[std::size_t(path.network.pick(5))]];
    client.next_submit = path.network.now + 400 + path.network.pick(900);
    if (!controller->replica) return;
    controller->replica->submit(
        path.network.now, put_configuration(client.base_revision, path.bodies[client.revision]),
        [&client, submitted = client.revision](Status result) {
          if (client.revision == submitted && !client.done && result.code() != StatusCode::kNoAnswer)
            client.done = true, client.status = answer_code(result);
        });
  };
  std::map<std::uint64_t, std::uint64_t> acknowledged_by_base;  // revisions
  for (int step = 0; step < 400; ++step) {
    for (auto& client : operators) {
      if (client.done && client.revision) {
        if (client.status == 200) {
          auto [entry, inserted] = acknowledged_by_base.emplace(client.base_revision, client.revision);
          ASSERT_TRUE(inserted || entry->second == client.revision) << "two changes on one base revision";
          acknowledged = std::max(acknowledged, client.revision);
          newest = std::max(newest, client.revision);
        } else {
          path.refused.insert(client.revision);
        }
        client.revision = 0;
      }
      if (!client.revision && path.network.chance(0.3)) {
        for (auto& machine : path.machines)
          newest = std::max(newest, machine.cluster.configuration().revision);
        client = {newest, highest += 1 + std::uint64_t(path.network.pick(3)), false, 0, 0};
        path.bodies[client.revision] = body_of(client.revision, client.revision * 7,
                                               path.network.chance(0.2) ? 30 : 3 + path.network.pick(9));
      }
      if (client.revision && !client.done && path.network.now >= client.next_submit) submit(client);
    }
    auto& machine = path.machines[std::size_t(path.network.pick(3))];
    auto& host = path.hosts[std::size_t(path.network.pick(5))];
    switch (path.network.pick(14)) {
      case 0:  // only the agent is killed; the proxy keeps running
        machine.cache = StateCache();
        machine.controller.clear();
        ++machine.epoch;
        if (machine.linked && path.network.chance(0.7))
          machine.forward(machine.cache.sequence() ? machine.cache.encode_whole_state() : "");
        break;
      case 1:  // only the proxy is killed
        machine.cluster = ClusterState();
        machine.revision = machine.checked_sequence = 0;
        if (machine.cache.sequence()) machine.forward(machine.cache.encode_whole_state());
        break;
      case 2:  // the link is reset, perhaps between two chunks
        path.link(machine);
        break;
      case 3: {  // a controller restarts, either soon or after it was excluded from the view
        if (!path.controllers[host]->replica) break;
        path.controllers[host]->replica.reset();
        path.network.drop_messages_of(host);
        path.run(path.network.chance(0.6) ? path.network.pick(200) : 1500 + path.network.pick(1500));
        path.start(host);
        break;
      }
      case 4: {  // a controller is partitioned from the others; nodes still reach it
        for (auto& other : path.hosts)
          if (other != host)
            path.network.blocked_links.insert({host, other}),
                path.network.blocked_links.insert({other, host});
        ASSERT_NO_FATAL_FAILURE(path.run(300 + path.network.pick(2000)));
        path.network.blocked_links.clear();
        break;
      }
      default:
        break;
    }
    ASSERT_NO_FATAL_FAILURE(path.run(20 + path.network.pick(120)));
  }
  path.run(4000);
  for (auto& machine : path.machines) {
    if (machine.controller.empty()) path.link(machine);
    ASSERT_GE(machine.cluster.configuration().revision, acknowledged)
        << machine.name << " does not hold an acknowledged change";
  }
  EXPECT_GT(acknowledged, 20u) << "too few changes were acknowledged for a meaningful run";
}

TEST(ConfigDelivery, ConfigurationsHoldWhileAnySingleProcessDies) {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    simulate(seed);
    if (HasFatalFailure()) return;
  }
}

// A restarted agent receives a snapshot. The proxy, which kept running, must drop what the snapshot lacks.
TEST(ConfigDelivery, AWholeStateReplacesWhatAProxyHolds) {
  StateTable state;
  auto submit = [&](const Json& command) {
    auto result = validate_command(state, command);
    std::uint64_t sequence = state.last_sequence() + 1;
    for (auto& row : result.rows) row.sequence = sequence, state.put(row);
    EXPECT_TRUE(result.status.is_ok());
  };
  Machine machine{"m", "", 0, {}, {}, 0, true, 0};
  auto send_updates = [&] {
    for (auto& line : encode_update_lines(machine.cache.sequence(), state.last_sequence(),
                                          state.rows_after(machine.cache.sequence())))
      machine.forward(
          machine.cache.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1)).forward);
  };
  submit(put_configuration(0, body_of(1, 0, 5)));
  Instance instance{{"i-1"}, "s", "z", {"10.0.0.1", 1}, 4, false, true, 1};
  submit(put_instance(instance));
  send_updates();
  ASSERT_TRUE(machine.cluster.route("h4") && machine.cluster.instance({"i-1"}));
  machine.cache = StateCache();
  submit(put_configuration(1, body_of(2, 0, 3)));
  submit(remove_instance({"i-1"}));
  send_updates();
  EXPECT_FALSE(machine.cluster.route("h4")) << "a removed route is still there";
  EXPECT_TRUE(machine.cluster.route("h2"));
  EXPECT_FALSE(machine.cluster.instance({"i-1"})) << "a deregistered database is still there";
  EXPECT_TRUE(machine.cluster.instances_of("s").empty());
}

// A change is applied and replaced by others, and then submitted again by an operator that got no answer.
TEST(ConfigDelivery, AConfigurationThatWasReplacedIsStillKnownAsTaken) {
  StateTable state;
  auto submit = [&](std::uint64_t base, std::uint64_t revision) {
    auto result = validate_command(state, put_configuration(base, body_of(revision, revision, 2)));
    std::uint64_t sequence = state.last_sequence() + 1;
    for (auto& row : result.rows) row.sequence = sequence, state.put(row);
    return answer_code(result.status);
  };
  EXPECT_EQ(submit(0, 1), 200);
  EXPECT_EQ(submit(1, 4), 200);
  EXPECT_EQ(submit(1, 3), 412) << "another change on the same base revision was applied";
  EXPECT_EQ(submit(0, 1), 200);
  std::uint64_t stored = state.last_sequence();
  EXPECT_EQ(submit(0, 1), 200);
  EXPECT_EQ(state.last_sequence(), stored) << "a repeated submission stores nothing";
  for (std::uint64_t revision = 5; revision < 305; ++revision) ASSERT_EQ(submit(revision - 1, revision), 200);
  EXPECT_EQ(submit(0, 1), 200) << "also after hundreds of other changes";
  EXPECT_EQ(submit(1, 3), 412);
}

// A chunk that arrives too late to be applied is acknowledged all the same, because the controller sends the
// next one only after that.
TEST(ConfigDelivery, EveryChunkIsAcknowledged) {
  StateCache cache;
  auto apply_chunk = [&](std::uint64_t sequence, int left, const char* key) {
    Json message{{"t", "up"}, {"k", sequence}, {"r", {{key, sequence, "v"}}}};
    if (left >= 0) message["left"] = left;
    return cache.apply(message, message.dump());
  };
  EXPECT_FALSE(apply_chunk(7, -1, "a").forward.empty());
  EXPECT_TRUE(apply_chunk(5, 1, "b").acknowledge);
  auto last = apply_chunk(5, 0, "c");
  EXPECT_TRUE(last.acknowledge);
  EXPECT_TRUE(last.forward.empty()) << "an older state was forwarded";
  EXPECT_TRUE(apply_chunk(9, 1, "d").acknowledge);
  cache.on_new_link();
  auto after_new_link = apply_chunk(9, 0, "e");
  EXPECT_EQ(after_new_link.forward.find("\"d\""), std::string::npos)
      << "a chunk from the previous link was forwarded";
}

}  // namespace
}  // namespace pebblespindle::test
