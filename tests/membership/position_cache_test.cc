#include "membership/position_cache.h"

#include <gtest/gtest.h>

#include "membership/constants.h"

namespace pebblespindle::test {
namespace {

TEST(PositionCache, GivesTheNewestPositionWithItsAgeUntilItIsTooOld) {
  PositionCache cache;
  EXPECT_FALSE(cache.find(1000, "s"));
  EXPECT_TRUE(cache.report(1000, "s", {1, 7}, 900).is_ok());
  ASSERT_TRUE(cache.find(1000, "s"));
  EXPECT_EQ(cache.find(1000, "s")->position, (Position{1, 7}));
  EXPECT_EQ(cache.find(1000, "s")->age, 101);
  EXPECT_TRUE(cache.report(1000, "s", {1, 6}, 950).is_ok());  // position before the known one
  EXPECT_TRUE(cache.report(1000, "s", {1, 8}, 850).is_ok());  // queried earlier than the known one
  EXPECT_EQ(cache.find(1000, "s")->position, (Position{1, 7}));
  EXPECT_FALSE(cache.find(900 + kMaxPositionAgeMs, "s"));
}

TEST(PositionCache, RejectsInvalidReports) {
  PositionCache cache;
  EXPECT_EQ(cache.report(1000, "s", {1, 7}, 1001).code(), StatusCode::kInvalidArgument);
  EXPECT_EQ(cache.report(1000, "s", {}, 900).code(), StatusCode::kInvalidArgument);
  EXPECT_FALSE(cache.find(1000, "s"));
}

}  // namespace
}  // namespace pebblespindle::test
