// The stored state of an earlier build is read whole. tests/data/README.md says how the dumps were made.
#include <gtest/gtest.h>
#include <sqlite3.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/applied_changes.h"
#include "config/cluster_state.h"
#include "config/command_validation.h"
#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "storage/store_recovery.h"

namespace pebblespindle::test {
namespace {

struct RecordingEnvironment : replication::Environment {
  void send(const std::string&, const replication::Message& message) override {
    sent.push_back(replication::encode(message));
  }
  replication::ValidationResult validate(const StateTable& state, const Json& update) override {
    return validate_command(state, update);
  }
  void on_committed() override {}
  void log_event(const std::string&) override {}
  std::vector<Json> sent;
};

class StoredData : public testing::Test {
 protected:
  ~StoredData() override { std::filesystem::remove_all(directory_); }

  // Makes a database file of a dump and opens it as a core does.
  std::unique_ptr<SqliteStore> open(const std::string& dump) {
    directory_ = testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name();
    std::filesystem::remove_all(directory_);
    std::filesystem::create_directories(directory_);
    std::ifstream file(std::string(PEBBLESPINDLE_TEST_DATA) + "/" + dump);
    std::stringstream sql;
    sql << file.rdbuf();
    sqlite3* database = nullptr;
    EXPECT_EQ(sqlite3_open((directory_ + "/ledger.db").c_str(), &database), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(database, sql.str().c_str(), nullptr, nullptr, nullptr), SQLITE_OK);
    sqlite3_close(database);
    auto disk = open_store(directory_, [](const std::string& sentence) { ADD_FAILURE() << sentence; });
    EXPECT_TRUE(disk) << disk.status().message();
    return std::move(*disk);
  }
  std::unique_ptr<replication::Replica> start(SqliteStore& disk, const std::string& host) {
    return std::make_unique<replication::Replica>(
        replication::ReplicaOptions{host, {"10.1.0.4", "10.2.0.4", "10.3.0.4"}, false, 1, 99, 300}, disk,
        environment_, 1000);
  }
  RecordingEnvironment environment_;

 private:
  std::string directory_;
};

TEST_F(StoredData, TheAgreedViewProposalNumbersAndTermsAreRead) {
  auto disk = open("stored_head.sql");
  auto node = start(*disk, "10.1.0.4");
  EXPECT_EQ(node->self(), "10.1.0.4");
  EXPECT_EQ(replication::encode_view(node->view()), Json::parse(R"({"n": 4, "h": 1,
    "m": [["10.1.0.4", 1], ["10.2.0.4", 1], ["10.3.0.4~2a8765a3", 3]],
    "v": ["10.1.0.4", "10.2.0.4", "10.3.0.4~2a8765a3"]})"));
  EXPECT_EQ(node->state().last_sequence(), 10u);
  EXPECT_TRUE(node->in_sync());
  const Json durable = Json::parse((*disk->metadata())["durable"]);
  // Written again, it says the same: nothing of it was left unread.
  receive_encoded(*node, 1001, "10.2.0.4", {{"t", "prep"}, {"n", 5}, {"b", 32}});
  Json expected = durable;
  expected["pi"] = 5;
  expected["pb"] = 32;
  EXPECT_EQ(Json::parse((*disk->metadata())["durable"]), expected);
  EXPECT_EQ(environment_.sent.back(), Json::parse(R"({"t": "prom", "n": 5, "b": 32, "s": 4})"));
}

TEST_F(StoredData, ConfigurationDatabasesAndLeadsAreRead) {
  auto disk = open("stored_head.sql");
  auto node = start(*disk, "10.1.0.4");
  ClusterState cluster;
  cluster.update_from(node->state());
  EXPECT_EQ(cluster.configuration().revision, 8u);
  EXPECT_EQ(cluster.configuration().services.at("store").max_connections, 12);
  EXPECT_EQ(cluster.configuration().services.at("archive").sync_replicas, 0);
  const Tenant* tenant = cluster.tenant_with_key("key-2");
  ASSERT_NE(tenant, nullptr);
  EXPECT_EQ(tenant->name, "acme");
  EXPECT_EQ(tenant->rate_per_s, 12.5);
  EXPECT_EQ(cluster.route("host-1.example")->timeout_ms, 700);
  auto part = cluster.route("host-1.example", "/part/of/it");
  EXPECT_EQ(part->name, "split");
  EXPECT_EQ(part->weighted_targets.size(), 2u);
  EXPECT_TRUE(part->is_public);
  EXPECT_EQ(cluster.instances().size(), 5u);
  EXPECT_TRUE(cluster.instance({"i-c3"})->draining);
  EXPECT_EQ(cluster.instance({"i-d4"}), nullptr);
  EXPECT_TRUE(node->state().find_including_deleted("i/i-d4")->deleted);
  EXPECT_EQ(cluster.primary_of("store")->primary, InstanceId{"i-a1"});
  EXPECT_TRUE(cluster.primary_of("store")->suspended);
  EXPECT_TRUE(cluster.primary_of("store")->planned);
  EXPECT_EQ(cluster.primary_of("store")->term, 3u);
}

TEST_F(StoredData, TheRecordOfAppliedChangesIsRead) {
  auto disk = open("stored_head.sql");
  auto node = start(*disk, "10.1.0.4");
  const auto newest = newest_applied_change(node->state());
  ASSERT_TRUE(newest);
  EXPECT_EQ(newest->index, 1u);
  EXPECT_EQ(newest->base_revision, 7u);
  EXPECT_EQ(newest->revision, 8u);
  ASSERT_TRUE(applied_change_at(node->state(), 0));
  EXPECT_EQ(applied_change_at(node->state(), 0)->revision, 7u);
  EXPECT_EQ(find_outcome(node->state(), {ChangeKind::kPut, 0, "another"}), ChangeOutcome::kNotApplied);
}

TEST_F(StoredData, AnUnfinishedStateTransferGoesOnWhereItStopped) {
  auto disk = open("stored_joining.sql");
  EXPECT_EQ(disk->rows()->size(), 0u);
  EXPECT_EQ(disk->staged_rows()->size(), 5u);
  auto node = start(*disk, "10.3.0.4");
  EXPECT_EQ(node->self(), "10.3.0.4~2a8765a3");
  EXPECT_EQ(node->view().number, 2u);
  EXPECT_TRUE(node->is_receiving_state());
  EXPECT_EQ(node->received_row_count(), 5u);
  node->tick(1000);
  const auto asked = std::find_if(environment_.sent.begin(), environment_.sent.end(),
                                  [](const Json& message) { return message["t"] == "have"; });
  ASSERT_NE(asked, environment_.sent.end());
  EXPECT_EQ((*asked)["st"],
            Json::parse(R"({"w": true, "e": false, "c": "i/i-c3", "b": 9, "bk": "", "k": 8, "kt": 1})"));
}

}  // namespace
}  // namespace pebblespindle::test
