#include "membership/node_leases.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "membership/constants.h"

namespace pebblespindle::test {
namespace {

TEST(NodeLeases, CountsLeasesItDoesNotRemember) {
  NodeLeases leases(1000);
  EXPECT_EQ(leases.acknowledged_by_all(1100, 9), 0u)
      << "leases granted by a former process may still be valid";
  Millis later = 1000 + kNodeLeaseMs + kClockDriftMarginMs;
  EXPECT_EQ(leases.acknowledged_by_all(later, 9), 9u);
  leases.renew(later, "n", "z", 4, true);
  EXPECT_EQ(leases.acknowledged_by_all(later + 1, 9), 4u);
  leases.renew(later + 10, "n", "z", 4, false);  // no lease was granted, so the former one expires
  EXPECT_EQ(leases.acknowledged_by_all(later + kNodeLeaseMs, 9), 4u);
  EXPECT_EQ(leases.acknowledged_by_all(later + kNodeLeaseMs + kClockDriftMarginMs, 9), 9u);
}

}  // namespace
}  // namespace pebblespindle::test
