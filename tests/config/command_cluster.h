// A cluster of controllers on a simulated network that validates configuration changes. Each answer and each
// committed change is checked against all earlier ones.
#pragma once
#include <gtest/gtest.h>

#include <memory>

#include "config/applied_changes.h"
#include "config/command_validation.h"
#include "config/state_rows.h"
#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "replication/simulated_network.h"
#include "storage/memory_storage.h"

namespace pebblespindle::test::config_commands {

using replication::Replica;

// `salt` makes bodies with the same revision differ.
inline std::string full_configuration(std::uint64_t revision, std::uint64_t salt, int routes = 1) {
  Json configuration{{"Revision", revision},
                     {"Routes", Json::array()},
                     {"Services", {{{"Name", "s"}}}},
                     {"Limits", {{"HeaderTimeoutMs", salt}}}};
  for (int i = 0; i < routes; ++i)
    configuration["Routes"].push_back({{"Name", "r" + std::to_string(i)},
                                       {"Hostname", "h" + std::to_string(i)},
                                       {"RouteType", "primary"},
                                       {"TimeoutMs", 1000},
                                       {"TargetService", "s"}});
  return configuration.dump();
}

inline std::string patch_body(std::uint64_t revision, std::uint64_t salt) {
  const std::string name = "p" + std::to_string(salt % 5);
  Json upsert{{"Limits", {{"HeaderTimeoutMs", salt}}},
              {"Routes",
               {{{"Name", name},
                 {"Hostname", name},
                 {"RouteType", "primary"},
                 {"TimeoutMs", 1000},
                 {"TargetService", "s"}}}}};
  return Json{{"Revision", revision},
              {"Upsert", upsert},
              {"Remove", {{"Routes", {"p" + std::to_string((salt + 2) % 5)}}}}}
      .dump();
}

// A change of the configuration as an operator sends it.
struct ChangeRequest {
  bool patch = false, valid = true;  // valid: the body is well-formed
  std::uint64_t base_revision = 0, revision = 0;
  std::string body;
  Json command() const {
    return patch ? patch_configuration(base_revision, body) : put_configuration(base_revision, body);
  }
};

inline ChangeRequest put(std::uint64_t base_revision, std::uint64_t revision, std::uint64_t salt = 7) {
  return {false, true, base_revision, revision, full_configuration(revision, salt)};
}
inline ChangeRequest patch(std::uint64_t base_revision, std::uint64_t revision, std::uint64_t salt = 7) {
  return {true, true, base_revision, revision, patch_body(revision, salt)};
}

struct ControllerCluster;

struct SimulatedController : replication::Environment {
  ControllerCluster& cluster;
  std::string host;
  MemoryStorage disk;
  std::unique_ptr<Replica> node;
  SimulatedController(ControllerCluster& owner, std::string name) : cluster(owner), host(std::move(name)) {}
  void send(const std::string& to, const replication::Message& message) override;
  replication::ValidationResult validate(const StateTable& state, const Json& encoded) override {
    return validate_command(state, encoded);
  }
  void on_committed() override;
  void log_event(const std::string&) override {}
};

// The controllers, and every change that was ever submitted to them.
struct ControllerCluster {
  struct Submitted : ChangeRequest {
    bool acknowledged = false, refused = false, applied = false;
  };
  explicit ControllerCluster(std::uint32_t seed, int count = 3, std::size_t tolerated_losses = 1)
      : net(seed), losses(tolerated_losses) {
    for (int i = 0; i < count; ++i) hosts.push_back("core" + std::to_string(i));
    for (auto& host : hosts) start(host, true);
    net.deliver = [this](const std::string& to, const std::string& from, const Json& message) {
      if (up(to)) receive_encoded(*controllers[to]->node, net.now, from, message);
    };
  }
  bool up(const std::string& host) { return controllers[host]->node != nullptr; }
  Replica& at(const std::string& host) { return *controllers[host]->node; }
  void start(const std::string& host, bool bootstrap = false) {
    auto& controller = controllers[host];
    if (!controller) controller = std::make_unique<SimulatedController>(*this, host);
    controller->node =
        std::make_unique<Replica>(replication::ReplicaOptions{host,
                                                              {hosts.begin(), hosts.begin() + 3},
                                                              bootstrap,
                                                              losses,
                                                              std::uint64_t(net.rng()) << 20 | net.rng()},
                                  controller->disk, *controller, net.now);
  }
  void kill(const std::string& host, bool wipe = false) {
    controllers[host]->node.reset();
    net.drop_messages_of(host);
    if (wipe) controllers[host]->disk = MemoryStorage();
  }
  void run(Millis ms) {
    for (Millis i = 0; i < ms; ++i) {
      net.step();
      for (auto& host : hosts)
        if (net.now % 20 == 0 && up(host)) at(host).tick(net.now);
      for (auto id : just_acknowledged) {  // by now the tail has reported the commit
        ASSERT_TRUE(requests[id].applied) << "acknowledged and not committed: " << describe(id);
      }
      just_acknowledged.clear();
      ASSERT_FALSE(::testing::Test::HasFatalFailure());
    }
  }
  std::string describe(std::size_t id) {
    auto& request = requests[id];
    return std::to_string(id) + (request.patch ? " PATCH " : " PUT ") + std::to_string(request.revision) +
           " on " + std::to_string(request.base_revision);
  }
  std::size_t add(ChangeRequest request) {
    requests.push_back({request});
    by_digest[digest_of({request.patch ? ChangeKind::kPatch : ChangeKind::kPut, request.base_revision,
                         request.body})] = requests.size() - 1;
    return requests.size() - 1;
  }
  // Checks each answer of a controller, whether or not the test then delivers it to the operator.
  void submit(std::size_t id, const std::string& host, std::function<void(int)> on_status = {}) {
    if (!up(host)) return;
    at(host).submit(net.now, requests[id].command(),
                    [this, id, on_status = std::move(on_status)](Status status) {
                      check_answer(id, status);
                      if (on_status) on_status(answer_code(status));
                    });
  }
  void check_answer(std::size_t id, const Status& status) {
    auto& request = requests[id];
    if (status.code() == StatusCode::kNoAnswer || status.code() == StatusCode::kUnavailable) return;
    if (status.is_ok()) {
      ASSERT_FALSE(request.refused) << "acknowledged after a refusal: " << describe(id);
      ASSERT_TRUE(request.valid && request.revision > request.base_revision)
          << "an invalid change was acknowledged: " << describe(id);
      auto [it, first] = acknowledged_by_base.emplace(request.base_revision, id);
      ASSERT_TRUE(first || it->second == id)
          << "two changes on one revision: " << describe(id) << ", " << describe(it->second);
      request.acknowledged = true;
      newest_acknowledged = std::max(newest_acknowledged, request.revision);
      just_acknowledged.push_back(id);
      return;
    }
    ASSERT_TRUE(status.code() == StatusCode::kConflict || status.code() == StatusCode::kInvalidArgument)
        << answer_code(status);
    ASSERT_FALSE(request.acknowledged || request.applied)
        << "refused although it was applied: " << describe(id) << ": " << status.message();
    const std::uint64_t current = history.empty() ? 0 : history.back().revision;
    if (status.code() == StatusCode::kConflict) {
      ASSERT_GT(current, request.base_revision)
          << "refused because of a change that is not committed: " << describe(id);
    } else {
      ASSERT_TRUE(!request.valid || request.revision <= request.base_revision)
          << describe(id) << ": " << status.message();
    }
    request.refused = true;
  }
  // Checks the record of a controller without uncommitted rows: all controllers have one history, in which
  // each change applies to the one before it.
  void check_history(const StateTable& state) {
    auto latest = newest_applied_change(state);
    if (!latest) return;
    for (std::uint64_t index = latest->index + 1; index-- > 0;) {
      auto change = applied_change_at(state, index);
      ASSERT_TRUE(change);
      if (index < history.size()) {
        ASSERT_EQ(history[index], *change) << "two histories at change " << index;
        break;
      }
      if (index + 1 == latest->index + 1) {
        ASSERT_EQ(Json::parse(state.find(kConfigurationHeadKey)->value)[0], change->revision);
      }
    }
    while (history.size() <= latest->index) {
      auto change = *applied_change_at(state, history.size());
      ASSERT_EQ(change.base_revision, history.empty() ? 0 : history.back().revision)
          << "a change on a revision that is not the latest";
      ASSERT_GT(change.revision, change.base_revision);
      ASSERT_TRUE(by_digest.count(change.digest)) << "a change that was never submitted";
      auto& request = requests[by_digest[change.digest]];
      ASSERT_FALSE(request.applied) << "applied twice: " << describe(by_digest[change.digest]);
      ASSERT_FALSE(request.refused) << "refused and applied: " << describe(by_digest[change.digest]);
      request.applied = true;
      history.push_back(change);
    }
  }

  SimulatedNetwork net;
  std::size_t losses;
  std::vector<std::string> hosts;
  std::map<std::string, std::unique_ptr<SimulatedController>> controllers;
  std::vector<Submitted> requests;
  std::map<std::string, std::size_t> by_digest;
  std::map<std::uint64_t, std::size_t>
      acknowledged_by_base;  // index of the acknowledged change by base revision
  std::vector<AppliedChange> history;
  std::vector<std::size_t> just_acknowledged;
  std::uint64_t newest_acknowledged = 0;  // revision of the newest acknowledged change
};

inline void SimulatedController::send(const std::string& to, const replication::Message& message) {
  cluster.net.send(node ? node->self() : host, replication::host_of(to), replication::encode(message));
}
inline void SimulatedController::on_committed() {
  if (node && node->all_committed()) cluster.check_history(node->state());
}

// Returns the host of the chain's head; empty if there is none.
inline std::string head_of(ControllerCluster& cluster) {
  for (auto& host : cluster.hosts)
    if (cluster.up(host) && cluster.at(host).is_leader(cluster.net.now)) return host;
  return {};
}

}  // namespace pebblespindle::test::config_commands
