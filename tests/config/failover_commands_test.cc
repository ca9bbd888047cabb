#include <gtest/gtest.h>

#include "config/command_validation.h"
#include "config/config_delivery.h"
#include "config/state_rows.h"

namespace pebblespindle::test {
namespace {

class FailoverCommands : public testing::Test {
 protected:
  FailoverCommands() {
    heartbeat("a", 1, true);
    heartbeat("b", 2, false);
  }
  Status submit(const Json& command) {
    auto result = validate_command(state_, command);
    const SequenceNumber sequence = state_.last_sequence() + 1;
    for (auto& row : result.rows) {
      row.sequence = sequence;
      state_.put(row);
    }
    return result.status;
  }
  void heartbeat(const std::string& id, std::uint16_t port, bool primary, bool draining = false) {
    const Instance instance{{id}, "s", "z", {"10.0.0.1", port}, 4, draining, primary, ++call_count_};
    EXPECT_TRUE(submit(put_instance(instance)).is_ok());
  }
  std::optional<DepartedInstance> departed(const std::string& id) const {
    const Row* row = state_.find(departed_key({id}));
    return row ? decode_departed({id}, row->value) : std::nullopt;
  }
  std::string value(const std::string& key) const {
    const Row* row = state_.find(key);
    return row ? row->value : std::string();
  }

  StateTable state_;
  std::uint64_t call_count_ = 0;
};

TEST_F(FailoverCommands, ADecodedRecordEqualsTheEncodedOne) {
  const FailoverRecord record{
      "3.17", "the primary is silent", 3, {{18, {"b"}, 3, 2}, {21, {"b"}, 4, 2}}, true};
  EXPECT_EQ(decode_failover(encode_failover(record)), record);
  EXPECT_EQ(decode_failover("[]"), std::nullopt);
  EXPECT_EQ(decode_failover(R"({"id":7,"calls":[1]})"), FailoverRecord());
}

TEST_F(FailoverCommands, ARetiredInstanceIsRecordedUntilItsRecordIsRemoved) {
  EXPECT_TRUE(submit(retire_instance({"b"})).is_ok());
  EXPECT_EQ(state_.find(instance_key({"b"})), nullptr);
  ASSERT_TRUE(departed("b"));
  EXPECT_EQ(departed("b")->instance.address.port, 2);
  EXPECT_TRUE(departed("b")->replacement.empty());
  EXPECT_TRUE(submit(forget_departed({"b"})).is_ok());
  EXPECT_FALSE(departed("b"));
}

TEST_F(FailoverCommands, TheReplacementOfAFormerPrimaryIsTrackedThroughRestarts) {
  heartbeat("c", 1, true);
  ASSERT_TRUE(departed("a"));
  EXPECT_EQ(departed("a")->replacement.value, "c");
  heartbeat("d", 1, true);
  EXPECT_EQ(departed("a")->replacement.value, "d");
}

TEST_F(FailoverCommands, OnlyDrainingReplicasAreRecordedAsDepartedAtARestart) {
  heartbeat("e", 2, false);
  EXPECT_FALSE(departed("b"));
  heartbeat("e", 2, false, true);
  heartbeat("f", 2, false);
  ASSERT_TRUE(departed("e"));
  EXPECT_TRUE(departed("e")->replacement.empty())
      << "its log is lost when it stops, so no instance replaces it";
}

TEST_F(FailoverCommands, AnUpdateFromAnOutdatedFailoverRecordIsRefused) {
  const std::string assignment = value(primary_key("s"));
  const std::string first = encode_failover({"1.2", "why", 1, {}, false});
  const std::string second = encode_failover({"1.2", "why", 1, {{3, {"b"}, 1, 1}}, false});
  EXPECT_TRUE(submit(encode(UpdateFailover{"s", assignment, assignment, "", first})).is_ok());
  EXPECT_EQ(submit(encode(UpdateFailover{"s", assignment, assignment, "", second})).code(),
            StatusCode::kConflict);
  EXPECT_TRUE(submit(encode(UpdateFailover{"s", assignment, assignment, first, second})).is_ok());
  EXPECT_EQ(value(failover_key("s")), second);
  EXPECT_TRUE(submit(encode(UpdateFailover{"s", assignment, assignment, second, ""})).is_ok());
  EXPECT_EQ(value(failover_key("s")), "");
}

TEST_F(FailoverCommands, UpdatesToNodesOmitFailoverRecordsAndDepartedInstances) {
  const std::string assignment = value(primary_key("s"));
  EXPECT_TRUE(submit(retire_instance({"b"})).is_ok());
  const std::string record = encode_failover({"1.2", "why", 1, {}, false});
  EXPECT_TRUE(submit(encode(UpdateFailover{"s", assignment, assignment, "", record})).is_ok());
  for (auto& line : encode_update_lines(0, state_.last_sequence(), state_.rows_after(0))) {
    EXPECT_EQ(line.find(kDepartedPrefix), std::string::npos) << line;
    EXPECT_EQ(line.find(kFailoverPrefix), std::string::npos) << line;
  }
}

}  // namespace
}  // namespace pebblespindle::test
