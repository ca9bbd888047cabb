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
    auto& controller = controllers_[host];
    if (!controller) controller = std::make_unique<Controller>(*this);
    replication::ReplicaOptions options{host, {kHead, kMiddle, kTail},   bootstrap,
                                        1,    incarnation_ += 0x1000003, chunk_bytes};
    controller->node = std::make_unique<Replica>(options, controller->disk, *controller, now_);
  }
  void stop(const std::string& host) {
    controllers_[host]->node.reset();
    std::erase_if(network_, [&](auto& message) {
      return message.to == host || replication::host_of(message.from) == host;
    });
  }
  void lose_disk(const std::string& host) { controllers_[host]->disk = MemoryStorage(); }
  void isolate(const std::string& host) { isolated_host_ = host; }

  void run(Millis duration, const std::function<bool()>& until = {}) {
    for (const Millis end = now_ + duration; now_ < end; ++now_) {
      deliver();
      if (until && until()) return;
      if (now_ % 20 != 0) continue;
      for (auto& [host, controller] : controllers_)
        if (controller->node) controller->node->tick(now_);
    }
  }
  int submit(const std::string& host, const Json& update) {
    int status = -1;
    controllers_[host]->node->submit(now_, update, [&](Status result) { status = answer_code(result); });
    run(replication::kSubmitTimeoutMs + 50);
    return status;
  }
  void read(const std::string& host, const std::string& key) {
    controllers_[host]->node->read(
        now_, key, [](const Result<std::optional<std::string>>& value) { EXPECT_TRUE(value); });
  }
  Replica& at(const std::string& host) { return *controllers_[host]->node; }
  std::size_t staged_row_count(const std::string& host) {
    return controllers_[host]->disk.stored_staged_rows.size();
  }
  Millis now() const { return now_; }
  std::vector<std::string> sent() const {
    std::vector<std::string> lines;
    for (auto& [shape, message] : first_of_shape_) lines.push_back(message);
    return lines;
  }

 private:
  struct Controller : replication::Environment {
    explicit Controller(Scenario& owner) : scenario(owner) {}
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
  struct MessageInTransit {
    Millis at = 0;
    std::string from, to;
    Json message;
  };

  void deliver() {
    while (!network_.empty() && network_.front().at <= now_) {
      const MessageInTransit next = network_.front();
      network_.pop_front();
      if (next.to == isolated_host_ || replication::host_of(next.from) == isolated_host_) continue;
      if (auto& controller = controllers_[next.to]; controller && controller->node)
        receive_encoded(*controller->node, now_, next.from, next.message);
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
  std::map<std::string, std::unique_ptr<Controller>> controllers_;
  std::deque<MessageInTransit> network_;
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
  Instance registered;
  registered.id = {id};
  registered.service = "store";
  registered.zone = zone;
  registered.address = {"10.9.0." + std::to_string(host), 8144};
  registered.capacity = 12;
  registered.primary = host == 1;
  registered.draining = host == 3;
  registered.call_count = calls;
  return put_instance(registered);
}

void send_every_command(Scenario& scenario) {
  EXPECT_EQ(scenario.submit(kMiddle, put_configuration(0, configuration())), 200);
  EXPECT_EQ(scenario.submit(kMiddle, put_configuration(0, configuration())), 200);
  EXPECT_EQ(scenario.submit(kTail, put_configuration(0, patch())), 412);
  EXPECT_EQ(scenario.submit(kTail, patch_configuration(7, patch())), 200);
  EXPECT_EQ(scenario.submit(kHead, instance("i-a1", "north", 1, 1)), 200);
  EXPECT_EQ(scenario.submit(kHead, instance("i-b2", "south", 2, 1)), 200);
  EXPECT_EQ(scenario.submit(kHead, instance("i-c3", "west", 3, 4)), 200);
  EXPECT_EQ(scenario.submit(kHead, instance("i-d4", "west", 4, 2)), 200);
  EXPECT_EQ(scenario.submit(kTail, remove_instance({"i-d4"})), 200);
  const std::string current = scenario.at(kHead).state().find(primary_key("store"))->value;
  PrimaryAssignment next = *decode_primary(current);
  next.suspended = next.planned = true;
  next.term = 3;
  EXPECT_EQ(scenario.submit(kMiddle, assign_primary("store", current, next)), 200);
  EXPECT_EQ(scenario.submit(kMiddle, assign_primary("store", "other", next)), 200);
  scenario.read(kHead, kConfigurationKey);
  scenario.read(kHead, "none");
  scenario.run(500);
}

// The tail loses its disk and receives the state in small chunks, with an interruption; then each replica is
// lost once.
void lose_each_replica(Scenario& scenario) {
  scenario.stop(kTail);
  scenario.run(4500);
  scenario.lose_disk(kTail);
  for (auto* host : {kHead, kMiddle}) scenario.stop(host);
  for (auto* host : {kHead, kMiddle}) scenario.start(host);
  scenario.run(2000);
  scenario.start(kTail);
  scenario.run(4000, [&] { return scenario.staged_row_count(kTail) >= 5; });
  scenario.stop(kTail);
  scenario.run(1500);
  EXPECT_EQ(scenario.submit(kHead, instance("i-e5", "west", 5, 2)), 200);
  scenario.start(kTail);
  scenario.run(6000);
  EXPECT_EQ(scenario.submit(kHead, instance("i-f6", "west", 6, 2)), 200);
  scenario.stop(kHead);
  scenario.run(3000);
  EXPECT_EQ(scenario.submit(kMiddle, instance("i-g7", "west", 7, 2)), 200);
  scenario.start(kHead);
  scenario.run(5000);
  scenario.isolate(kMiddle);
  scenario.run(5000);
  scenario.isolate("");
  scenario.run(5000);
  scenario.at(kTail).begin_leaving(scenario.now());
  scenario.run(500);
  scenario.at(kTail).stop(scenario.now());
  scenario.run(1500);
}

std::vector<std::string> golden_lines() {
  std::ifstream file(std::string(PEBBLESPINDLE_TEST_DATA) + "/replication_messages.txt");
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  return lines;
}

TEST(GoldenMessages, AFixedScenarioSendsTheRecordedMessages) {
  Scenario scenario;
  scenario.run(2000);
  send_every_command(scenario);
  lose_each_replica(scenario);
  if (const char* path = std::getenv("WRITE_GOLDEN")) {
    std::ofstream file(path);
    for (auto& line : scenario.sent()) file << line << "\n";
  }
  EXPECT_EQ(scenario.sent(), golden_lines());
}

TEST(GoldenMessages, RecordedMessagesAreWellFormedUnlessAFieldHasAnotherType) {
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
