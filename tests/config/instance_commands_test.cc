#include <gtest/gtest.h>

#include "config/cluster_state.h"
#include "config/command_validation.h"

namespace pebblespindle::test {
namespace {

TEST(InstanceCommands, LateBeatsAndLateLeadersChangeNothing) {
  StateTable state;
  auto heartbeat = [&](const std::string& id, bool primary, bool draining, int call_count, int port) {
    Instance instance{{id}, "s",      "z",     {"10.0.0.1", std::uint16_t(port)},
                      4,    draining, primary, std::uint64_t(call_count)};
    auto result = validate_command(state, put_instance(instance));
    for (auto& row : result.rows) row.sequence = state.last_sequence() + 1, state.put(row);
  };
  heartbeat("a", true, false, 1, 1);
  heartbeat("a", true, true, 5, 1);
  heartbeat("a", true, false, 4, 1);  // delayed: sent before the one above
  EXPECT_TRUE(decode_instance({"a"}, state.find("i/a")->value)->draining);
  heartbeat("b", true, false, 1, 2);  // registers as primary, but the service already has one
  EXPECT_EQ(decode_primary(state.find("s/s")->value)->primary.value, "a");
  auto result = validate_command(state, remove_instance({"a"}));
  result.rows[0].sequence = state.last_sequence() + 1;
  state.put(result.rows[0]);
  heartbeat("a", true, false, 9, 1);
  EXPECT_EQ(state.find("i/a"), nullptr)
      << "a deregistered database was registered again by a delayed heartbeat";
}

// Guards against a heartbeat whose service becomes two lines on the way to a database.
TEST(InstanceCommands, AHeartbeatWithALineBreakInAFieldIsRefused) {
  const std::string body =
      R"({"TargetService":"s","Address":"10.0.0.1:80","Zone":"z","State":"available","CallCount":1})";
  const auto with = [&](const std::string& from, const std::string& to) {
    return std::string(body).replace(body.find(from), from.size(), to);
  };
  EXPECT_TRUE(read_instance_heartbeat("i-1", body));
  EXPECT_FALSE(read_instance_heartbeat("i-1", with("\"s\"", R"("s\r\nQUERY - STEPDOWN 9")")));
  EXPECT_FALSE(read_instance_heartbeat("i-1", with("\"z\"", R"("z\n")")));
  EXPECT_FALSE(read_instance_heartbeat("i\r\n1", body));
}

}  // namespace
}  // namespace pebblespindle::test
