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

}  // namespace
}  // namespace pebblespindle::test
