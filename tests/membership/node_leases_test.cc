#include "membership/node_leases.h"

#include <gtest/gtest.h>

#include "base/clock.h"
#include "membership/constants.h"

namespace pebblespindle::test {
namespace {

TEST(NodeLeases, CountsLeasesItDoesNotRemember) {
  NodeLeases r(1000);
  EXPECT_EQ(r.acknowledged(1100, 9), 0u) << "leases of a former life may still run";
  Millis later = 1000 + kNodeLeaseMs + kClockDriftMarginMs;
  EXPECT_EQ(r.acknowledged(later, 9), 9u);
  r.renew(later, "n", "z", 4, true);
  EXPECT_EQ(r.acknowledged(later + 1, 9), 4u);
  r.renew(later + 10, "n", "z", 4, false);  // heard, but no lease was given: the old one runs out
  EXPECT_EQ(r.acknowledged(later + kNodeLeaseMs, 9), 4u);
  EXPECT_EQ(r.acknowledged(later + kNodeLeaseMs + kClockDriftMarginMs, 9), 9u);
}

}  // namespace
}  // namespace pebblespindle::test
