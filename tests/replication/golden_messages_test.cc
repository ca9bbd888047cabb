// Guards the encoded form of the messages between replicas: a fixed scenario is run, and the first message of
// each shape must equal the recorded one in tests/data/replication_messages.txt.
#include <gtest/gtest.h>

#include <deque>
#include <fstream>

#include "config/command_validation.h"
#include "config/state_rows.h"
#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "replication/simulated_network.h"
#include "replication/timing.h"
#include "storage/memory_storage.h"

namespace pebblespindle::test {
namespace {

using replication::Replica;

const char* const kHead = "10.1.0.4";
const char* const kMiddle = "10.2.0.4";
const char* const kTail = "10.3.0.4";
constexpr std::size_t kSmallChunkBytes = 300;
constexpr Millis kDelayMs = 2;

// Three replicas on a network without loss. Nothing is random, so each run sends the same messages.
class Scenario {
 public:
  Scenario() {
    for (auto* host : {kHead, kMiddle, kTail}) start(host, true, replication::kStateChunkBytes);
  }

  void start(const std::string& host, bool bootstrap = false, std::size_t chunk_bytes = kSmallChunkBytes) {
    auto& core = cores_[host];
    if (!core) core = std::make_unique<Core>(*this);
    replication::ReplicaOptions options{host, {kHead, kMiddle, kTail},   bootstrap,
                                        1,    incarnation_ += 0x1000003, chunk_bytes};
    core->node = std::make_unique<Replica>(options, core->disk, *core, now_);
  }
  void stop(const std::string& host) {
    cores_[host]->node.reset();
    std::erase_if(network_,
                  [&](auto& sent) { return sent.to == host || replication::host_of(sent.from) == host; });
  }
  void lose_disk(const std::string& host) { cores_[host]->disk = MemoryStorage(); }
  void isolate(const std::string& host) { isolated_host_ = host; }

  void run(Millis duration, const std::function<bool()>& until = {}) {
    for (const Millis end = now_ + duration; now_ < end; ++now_) {
      deliver();
      if (until && until()) return;
      if (now_ % 20 != 0) continue;
      for (auto& [host, core] : cores_)
        if (core->node) core->node->tick(now_);
    }
  }
  int submit(const std::string& host, const Json& update) {
    int status = -1;
    cores_[host]->node->submit(now_, update, [&](Status answer) { status = answer_code(answer); });
    run(replication::kSubmitTimeoutMs + 50);
    return status;
  }
  void read(const std::string& host, const std::string& key) {
    cores_[host]->node->read(now_, key,
                             [](const Result<std::optional<std::string>>& value) { EXPECT_TRUE(value); });
  }
  Replica& at(const std::string& host) { return *cores_[host]->node; }
  std::size_t staged_row_count(const std::string& host) {
    return cores_[host]->disk.stored_staged_rows.size();
  }
  Millis now() const { return now_; }
  std::vector<std::string> sent() const {
    std::vector<std::string> lines;
    for (auto& [shape, message] : first_of_shape_) lines.push_back(message);
    return lines;
  }

 private:
  struct Core : replication::Environment {
    explicit Core(Scenario& owner) : scenario(owner) {}
    void send(const std::string& to, const replication::Message& message) override {
      const Json encoded = replication::encode(message);
      scenario.record(encoded);
      if (node)
        scenario.network_.push_back(
            {scenario.now_ + kDelayMs, node->self(), replication::host_of(to), encoded});
    }
    replication::ValidationResult validate(const StateTable& state, const Json& update) override {
      return validate_command(state, update);
    }
    void on_committed() override {}
    void log_event(const std::string&) override {}
    Scenario& scenario;
    MemoryStorage disk;
    std::unique_ptr<Replica> node;
  };
  struct Sent {
    Millis at = 0;
    std::string from, to;
    Json message;
  };

  void deliver() {
    while (!network_.empty() && network_.front().at <= now_) {
      const Sent next = network_.front();
      network_.pop_front();
      if (next.to == isolated_host_ || replication::host_of(next.from) == isolated_host_) continue;
      if (auto& core = cores_[next.to]; core && core->node)
        receive_encoded(*core->node, now_, next.from, next.message);
    }
  }
  // Messages have the same shape if they have the same type and fields and are used for the same purpose.
  void record(const Json& message) {
    const std::string type = message["t"];
    std::string shape = type;
    for (auto& [field, value] : message.items()) shape += "," + field;
    if (type == "pc") shape += message["st"]["w"].dump() + message["st"]["e"].dump();
    if (type == "done") shape += message["s"].dump();
    if (type == "sub") shape += message["u"]["op"].get<std::string>();
    if (type == "up") shape += message["r"].empty() ? "empty" : "rows";
    first_of_shape_.emplace(shape, message.dump());
  }

  Millis now_ = 1000;
  std::uint64_t incarnation_ = 0x1234567890;
  std::string isolated_host_;
  std::map<std::string, std::unique_ptr<Core>> cores_;
  std::deque<Sent> network_;
  std::map<std::string, std::string> first_of_shape_;
};

std::string configuration() {
  const auto route = [](int i, const char* type) {
    const std::string number = std::to_string(i);
    return Json{{"Name", "route-" + number}, {"Hostname", "host-" + number + ".example"},
                {"TargetService", "store"},  {"RouteType", type},
                {"TimeoutMs", 900 + i},      {"MaxStalenessMs", 400},
                {"PathPrefix", "/"}};
  };
  Json routes = Json::array();
  for (int i = 0; i < 5; ++i) routes.push_back(route(i, i % 2 ? "bounded" : "primary"));
  const Json targets{{{"TargetService", "store"}, {"Weight", 9}},
                     {{"TargetService", "archive"}, {"Weight", 1}}};
  routes.push_back({{"Name", "split"},
                    {"Hostname", "host-1.example"},
                    {"PathPrefix", "/part/"},
                    {"WeightedTargets", targets},
                    {"RouteType", "bounded"},
                    {"TimeoutMs", 500},
                    {"TargetLatencyMs", 120},
                    {"Priority", 3},
                    {"MaxAttempts", 4},
                    {"Public", true}});
  const Json services{{{"Name", "store"}, {"SyncReplicas", 1}, {"MaxConnections", 12}},
                      {{"Name", "archive"}, {"SyncReplicas", 0}, {"MaxConnections", 3}}};
  const Json tenant{{"Name", "acme"},
                    {"ApiKeys", {"key-1", "key-2"}},
                    {"RatePerS", 12.5},
                    {"BurstLimit", 40},
                    {"Priority", 2}};
  return Json{{"Revision", 7}, {"Routes", routes}, {"Services", services}, {"Tenants", Json::array({tenant})}}
      .dump();
}

std::string patch() {
  const Json route{{"Name", "route-1"},        {"Hostname", "host-1.example"},
                   {"TargetService", "store"}, {"RouteType", "primary"},
                   {"TimeoutMs", 700},         {"PathPrefix", "/"}};
  return Json{{"Revision", 8}, {"Upsert", {{"Routes", Json::array({route})}}}}.dump();
}

Json instance(const std::string& id, const std::string& zone, int host, std::uint64_t calls) {
  Instance database;
  database.id = {id};
  database.service = "store";
  database.zone = zone;
  database.address = {"10.9.0." + std::to_string(host), 8144};
  database.capacity = 12;
  database.primary = host == 1;
  database.draining = host == 3;
  database.call_count = calls;
  return put_instance(database);
}

void send_every_command(Scenario& cores) {
  EXPECT_EQ(cores.submit(kMiddle, put_configuration(0, configuration())), 200);
  EXPECT_EQ(cores.submit(kMiddle, put_configuration(0, configuration())), 200);
  EXPECT_EQ(cores.submit(kTail, put_configuration(0, patch())), 412);
  EXPECT_EQ(cores.submit(kTail, patch_configuration(7, patch())), 200);
  EXPECT_EQ(cores.submit(kHead, instance("i-a1", "north", 1, 1)), 200);
  EXPECT_EQ(cores.submit(kHead, instance("i-b2", "south", 2, 1)), 200);
  EXPECT_EQ(cores.submit(kHead, instance("i-c3", "west", 3, 4)), 200);
  EXPECT_EQ(cores.submit(kHead, instance("i-d4", "west", 4, 2)), 200);
  EXPECT_EQ(cores.submit(kTail, remove_instance({"i-d4"})), 200);
  const std::string current = cores.at(kHead).state().find(primary_key("store"))->value;
  PrimaryAssignment next = *decode_primary(current);
  next.suspended = next.planned = true;
  next.term = 3;
  EXPECT_EQ(cores.submit(kMiddle, assign_primary("store", current, next)), 200);
  EXPECT_EQ(cores.submit(kMiddle, assign_primary("store", "other", next)), 200);
  cores.read(kHead, kConfigurationKey);
  cores.read(kHead, "none");
  cores.run(500);
}

// The tail loses its disk and receives the state in small chunks, with an interruption; then each replica is
// lost once.
void lose_each_replica(Scenario& cores) {
  cores.stop(kTail);
  cores.run(4500);
  cores.lose_disk(kTail);
  for (auto* host : {kHead, kMiddle}) cores.stop(host);
  for (auto* host : {kHead, kMiddle}) cores.start(host);
  cores.run(2000);
  cores.start(kTail);
  cores.run(4000, [&] { return cores.staged_row_count(kTail) >= 5; });
  cores.stop(kTail);
  cores.run(1500);
  EXPECT_EQ(cores.submit(kHead, instance("i-e5", "west", 5, 2)), 200);
  cores.start(kTail);
  cores.run(6000);
  EXPECT_EQ(cores.submit(kHead, instance("i-f6", "west", 6, 2)), 200);
  cores.stop(kHead);
  cores.run(3000);
  EXPECT_EQ(cores.submit(kMiddle, instance("i-g7", "west", 7, 2)), 200);
  cores.start(kHead);
  cores.run(5000);
  cores.isolate(kMiddle);
  cores.run(5000);
  cores.isolate("");
  cores.run(5000);
  cores.at(kTail).begin_leaving(cores.now());
  cores.run(500);
  cores.at(kTail).stop(cores.now());
  cores.run(1500);
}

std::vector<std::string> golden_lines() {
  std::ifstream file(std::string(PEBBLESPINDLE_TEST_DATA) + "/replication_messages.txt");
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

TEST(GoldenMessages, AFixedScenarioSendsTheSameMessagesAsEver) {
  Scenario cores;
  cores.run(2000);
  send_every_command(cores);
  lose_each_replica(cores);
  if (const char* path = std::getenv("WRITE_GOLDEN")) {
    std::ofstream file(path);
    for (auto& line : cores.sent()) file << line << "\n";
  }
  EXPECT_EQ(cores.sent(), golden_lines());
}

TEST(GoldenMessages, EachIsWellFormedAndNotWithAFieldOfAnotherType) {
  const auto lines = golden_lines();
  EXPECT_GE(lines.size(), 30u);
  for (auto& line : lines) {
    const Json message = Json::parse(line);
    EXPECT_EQ(message.dump(), line);
    auto decoded = replication::decode(message);
    ASSERT_TRUE(decoded) << line;
    EXPECT_EQ(replication::encode(*decoded).dump(), line);
    for (auto& [field, value] : message.items()) {
      Json wrong = message;
      wrong[field] = Json{{"no", "such"}};
      const bool free_form =
          field == "st" ||
          (field == "u" && message["t"] == "sub");  // its content is checked where it is used
      EXPECT_EQ(well_formed(wrong), free_form) << wrong;
    }
  }
  EXPECT_FALSE(well_formed(Json::array()));
  EXPECT_FALSE(well_formed(Json{{"n", 1}}));
  EXPECT_TRUE(well_formed(Json{{"t", "of-a-newer-release"}}));
}

}  // namespace
}  // namespace pebblespindle::test
