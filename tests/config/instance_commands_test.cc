#include <gtest/gtest.h>

#include "config/cluster_state.h"
#include "config/command_validation.h"

namespace pebblespindle::test {
namespace {

TEST(InstanceCommands, LateBeatsAndLateLeadersChangeNothing) {
  StateTable state;
  auto tell = [&](const std::string& id, bool primary, bool draining, int calls, int port) {
    Instance i{{id}, "s", "z", {"10.0.0.1", std::uint16_t(port)}, 4, draining, primary, std::uint64_t(calls)};
    auto v = validate_command(state, put_instance(i));
    for (auto& r : v.rows) r.sequence = state.last_sequence() + 1, state.put(r);
  };
  tell("a", true, false, 1, 1);
  tell("a", true, true, 5, 1);
  tell("a", true, false, 4, 1);  // overtaken on the way
  EXPECT_TRUE(decode_instance({"a"}, state.find("i/a")->value)->draining);
  tell("b", true, false, 1, 2);  // names itself primary, but the lead is not its to take
  EXPECT_EQ(decode_primary(state.find("s/s")->value)->primary.value, "a");
  auto v = validate_command(state, remove_instance({"a"}));
  v.rows[0].sequence = state.last_sequence() + 1;
  state.put(v.rows[0]);
  tell("a", true, false, 9, 1);
  EXPECT_EQ(state.find("i/a"), nullptr) << "one that has left came back by a late beat";
}

}  // namespace
}  // namespace pebblespindle::test
