// Rows of the control state that cannot be decoded.
#include "config/cluster_state.h"

#include <gtest/gtest.h>

#include "base/exception_barrier.h"

namespace pebblespindle {
namespace {

const std::string kRoute = R"(["ledger",0,1000,100,0,1,1,"r"])";

// Guards against a node that ends, or that applies part of an update, because of one row.
TEST(ClusterStateRows, ARowThatCannotBeDecodedIsLeftOutAlone) {
  ClusterState state;
  state.apply(1, {{kConfigurationHeadKey, "[4,3000]", 1, false}, {kRoutePrefix + "a/", kRoute, 1, false}});
  const std::vector<std::string> odd{"",   "x",    "null",    "7",    "[]",
                                     "{}", "[[]]", "[\"s\"]", "\xff", "[1,\"x\"]"};
  std::uint64_t sequence = 1;
  for (auto& value : odd) {
    ++sequence;
    std::vector<Row> rows{
        {kServicePrefix + "odd", value, sequence, false},  {kTenantPrefix + "odd", value, sequence, false},
        {kRoutePrefix + "a/", value, sequence, false},     {kRoutePrefix + "b/", kRoute, sequence, false},
        {kInstancePrefix + "i-1", value, sequence, false}, {kPrimaryPrefix + "s", value, sequence, false},
        {kDepartedPrefix + "i-2", value, sequence, false}, {kFailoverPrefix + "s", value, sequence, false}};
    EXPECT_TRUE(state.apply(sequence, rows));
    EXPECT_EQ(state.route("a", "/"), nullptr) << value;
    EXPECT_NE(state.route("b", "/"), nullptr) << value;
    EXPECT_EQ(state.instance({"i-1"}), nullptr) << value;
    EXPECT_EQ(state.sequence(), sequence);
  }
  EXPECT_GT(stopped_exceptions().at(Boundary::kStoredRow), odd.size());
  reset_stopped_exceptions();
}

// A head is taken whole or not at all.
TEST(ClusterStateRows, AHeadThatCannotBeDecodedChangesNothing) {
  ClusterState state;
  state.apply(1, {{kConfigurationHeadKey, "[4,3000]", 1, false}});
  state.apply(2, {{kConfigurationHeadKey, "[5,\"x\"]", 2, false}});
  EXPECT_EQ(state.configuration().revision, 4U);
  EXPECT_EQ(state.configuration().limits.transaction_idle_timeout_ms, 3000);
  EXPECT_EQ(stopped_exception_count(), 1U);
  reset_stopped_exceptions();
}

}  // namespace
}  // namespace pebblespindle
