// One service whose failover throws keeps no other service from its turn.
#include <gtest/gtest.h>

#include <stdexcept>

#include "base/exception_barrier.h"
#include "config/state_rows.h"
#include "failover/failover.h"

namespace pebblespindle::failover {
namespace {

TEST(FailoverTick, AServiceThatThrowsKeepsNoOtherOneFromItsTurn) {
  StateTable state;
  for (const char* service : {"a", "b"})
    state.put({primary_key(service), encode_primary({{"i-1"}, true, false, 0, false}), 1, false});
  FailoverCallbacks callbacks;
  callbacks.is_leader = [] { return true; };
  callbacks.fencing_token = [] { return 1; };
  callbacks.acknowledged_by_all_nodes = [](SequenceNumber) -> bool {
    throw std::runtime_error("one service");
  };
  Failover failover(state, callbacks, 1000);
  failover.tick(1);
  EXPECT_EQ(stopped_exceptions().at(Boundary::kTimer), 2U);
  reset_stopped_exceptions();
}

}  // namespace
}  // namespace pebblespindle::failover
