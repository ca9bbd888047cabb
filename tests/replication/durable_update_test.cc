// The state in memory is never ahead of the disk, whatever throws or fails on the way: a validation, the disk
// before or after it has written, or a read of it.
#include <gtest/gtest.h>

#include "replication/faulty_cluster.h"
#include "replication/local_state.h"
#include "replication/replica_cluster.h"

namespace pebblespindle::test {
namespace {

using replication::LocalState;

constexpr int kUnanswered = -1;
const Json kThrowingCommand{{"throws", true}};

Json compare_and_set(const std::string& key, const std::string& expect, const std::string& value) {
  return {{"key", key}, {"expect", expect}, {"value", value}};
}

// Guards against two changes on one version that are both acknowledged: an order that threw left the valid
// change before it in its batch in the memory of the head, but not on its disk.
TEST(DurableUpdate, AnOrderThatThrowsTakesNoOtherOneAlong) {
  ReplicaCluster cluster(1);
  cluster.run(1500);
  const std::string head = replication::host_of(cluster.at("core0").view().head());
  Replica& replica = cluster.at(head);
  std::vector<int> answers(3, kUnanswered);
  const auto submit = [&](std::size_t number, const Json& command) {
    replica.submit(cluster.net.now, command,
                   [&answers, number](const Status& answer) { answers[number] = answer_code(answer); });
  };
  submit(0, compare_and_set("version", "", "2"));  // under way alone; the others form the next batch
  submit(1, compare_and_set("version", "2", "3"));
  submit(2, kThrowingCommand);
  cluster.run(300);
  EXPECT_EQ(answers, (std::vector<int>{200, 200, 400}));
  EXPECT_EQ(replica.failed_validation_count(), 1u);
  cluster.expect_memory_as_on_disk();
  cluster.submit("core1", "instance", "", "i-1");
  cluster.stop(head);
  cluster.start(head);
  cluster.run(3000);
  EXPECT_EQ(cluster.submit("core1", "version", "2", "5"), 412) << "version 3 was acknowledged on top of 2";
  EXPECT_EQ(cluster.read("core1", "version"), "3");
}

// Random orders, some of which throw, while disks refuse, throw and are repaired, and processes restart.
void run_orders(std::uint32_t seed) {
  SCOPED_TRACE(seed);
  ReplicaCluster cluster(seed);
  cluster.run(1500);
  std::map<std::string, int> acknowledged, attempts;
  std::string faulty;  // at most one disk at a time
  for (int round = 0; round < 60 && !testing::Test::HasFailure(); ++round) {
    for (int order = cluster.net.pick(5); order > 0; --order) {
      const std::string host = cluster.hosts[std::size_t(cluster.net.pick(int(cluster.hosts.size())))];
      const std::string key = "k" + std::to_string(cluster.net.pick(3));
      const int value = ++attempts[key];
      const std::string expected = acknowledged[key] ? std::to_string(acknowledged[key]) : "";
      const bool throws = cluster.net.chance(0.3);
      cluster.at(host).submit(
          cluster.net.now, throws ? kThrowingCommand : compare_and_set(key, expected, std::to_string(value)),
          [&acknowledged, key, value, throws](const Status& answer) {
            ASSERT_FALSE(throws && answer.is_ok());
            if (answer.is_ok()) acknowledged[key] = std::max(acknowledged[key], value);
          });
    }
    if (faulty.empty() && cluster.net.chance(0.3)) {
      faulty = cluster.hosts[std::size_t(cluster.net.pick(int(cluster.hosts.size())))];
      MemoryStorage& disk = cluster.cores[faulty]->disk;
      (cluster.net.chance(0.3)   ? disk.full
       : cluster.net.chance(0.5) ? disk.throws
                                 : disk.throws_after_writing) = true;
      disk.unreadable = cluster.net.chance(0.3);
    } else if (!faulty.empty() && cluster.net.chance(0.5)) {
      cluster.cores[faulty]->disk.repair();
      if (cluster.net.chance(0.5)) {
        cluster.stop(faulty);
        cluster.start(faulty);
      }
      faulty.clear();
      cluster.run(2500);
    }
    for (int step = cluster.net.pick(20); step > 0 && !testing::Test::HasFailure(); --step) {
      cluster.run(10);
      cluster.expect_memory_as_on_disk();
    }
  }
  if (!faulty.empty()) cluster.cores[faulty]->disk.repair();
  for (auto& host : cluster.hosts) cluster.stop(host);
  for (auto& host : cluster.hosts) cluster.start(host);
  cluster.run(4000);
  for (auto& [key, value] : acknowledged) {
    const auto stored = cluster.read("core1", key);
    EXPECT_GE(stored ? std::stoi(*stored) : 0, value) << key << ": an acknowledged change is gone";
  }
}

TEST(DurableUpdate, MemoryIsAsOnDiskWhateverThrowsOrFails) {
  each_seed(100, run_orders);
}

struct LocalStateUpdate : testing::Test {
  LocalStateUpdate() {
    EXPECT_TRUE(state.load().is_ok());
    const Status updated = state.update([&](WriteBatch& batch) {
      state.view = {1, 1, {{"core0", 1}}, {"core0"}};
      put(batch, "a", 1);
    });
    EXPECT_TRUE(updated.is_ok());
  }
  void put(WriteBatch& batch, const std::string& key, SequenceNumber sequence) {
    const Row row{key, "v", sequence, false};
    state.table.put(row);
    batch.rows.push_back(row);
  }
  MemoryStorage disk;
  std::vector<std::string> failures;
  LocalState state{"core0", disk, [this](const std::string& reason) { failures.push_back(reason); }};
};

TEST_F(LocalStateUpdate, AChangeThatThrowsHalfwayIsUndoneByReadingTheDisk) {
  const Status updated = state.update([&](WriteBatch& batch) {
    put(batch, "b", 2);
    throw std::runtime_error("halfway");
  });
  EXPECT_EQ(updated.code(), StatusCode::kIoError);
  EXPECT_EQ(failures, std::vector<std::string>{"halfway"});
  EXPECT_FALSE(state.is_participating());
  ASSERT_TRUE(state.load().is_ok());
  EXPECT_TRUE(state.is_participating());
  EXPECT_FALSE(state.table.find("b"));
  EXPECT_EQ(state.table.last_sequence(), 1u);
}

TEST_F(LocalStateUpdate, ADiskThatThrowsEndsParticipation) {
  disk.throws = true;
  EXPECT_FALSE(state.update([&](WriteBatch& batch) { put(batch, "b", 2); }).is_ok());
  EXPECT_FALSE(state.is_participating());
}

// Guards against a replica that takes part with the half of its state that it could read.
TEST_F(LocalStateUpdate, AStateThatCannotBeReadWholeEndsParticipation) {
  disk.unreadable = true;
  EXPECT_FALSE(state.load().is_ok());
  EXPECT_FALSE(state.is_participating());
  disk.repair();
  EXPECT_TRUE(state.load().is_ok());
  EXPECT_TRUE(state.table.find("a"));
}

TEST_F(LocalStateUpdate, AnUpdateThatChangesNothingIsNotWritten) {
  disk.full = true;
  EXPECT_TRUE(state.update([](WriteBatch&) {}).is_ok());
  EXPECT_FALSE(state.update([&](WriteBatch&) { state.synced_view = 7; }).is_ok());
}

// A process that starts beside a disk that cannot be read must not begin anew, as if the disk were empty.
TEST(DurableUpdate, AReplicaThatCannotReadItsDiskAtItsStartWaitsForIt) {
  ReplicaCluster cluster(2);
  cluster.run(1500);
  EXPECT_EQ(cluster.submit("core0", "k", "", "1"), 200);
  const auto id = cluster.at("core2").self();
  cluster.stop("core2");
  cluster.cores["core2"]->disk.unreadable = true;
  cluster.start("core2");
  cluster.run(2000);
  EXPECT_TRUE(cluster.at("core2").disk_failed());
  EXPECT_FALSE(cluster.at("core2").has_identity());
  EXPECT_EQ(cluster.submit("core0", "k", "1", "2"), 200);
  cluster.cores["core2"]->disk.repair();
  cluster.run(5000);
  EXPECT_TRUE(cluster.at("core2").has_identity());
  EXPECT_EQ(cluster.at("core2").self(), id);
  EXPECT_TRUE(cluster.at("core2").in_sync());
  EXPECT_EQ(cluster.at("core2").state().find("k")->value, "2");
}

}  // namespace
}  // namespace pebblespindle::test
