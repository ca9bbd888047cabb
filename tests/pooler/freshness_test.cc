#include "pooler/freshness.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

TEST(Freshness, ReturnsTheLowestPositionWithinTheStalenessBound) {
  pooler::Freshness freshness;
  EXPECT_FALSE(freshness.bound(1000, 500));
  freshness.observe(1000, {1, 10});
  freshness.observe(1200, {1, 20});
  freshness.observe(1400, {1, 30});
  freshness.observe(1500, {1, 25});  // an answer that a later one has overtaken
  EXPECT_EQ(*freshness.bound(1400, 500), (Position{1, 10}));
  EXPECT_EQ(*freshness.bound(1600, 500), (Position{1, 20}));
  EXPECT_FALSE(freshness.bound(1900, 500)) << "the margin for the network delay counts towards the bound";
}

}  // namespace
}  // namespace pebblespindle::test
