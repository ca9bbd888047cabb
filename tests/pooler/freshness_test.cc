#include "pooler/freshness.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

TEST(Freshness, GivesTheLeastDemandingPositionThatIsYoungEnough) {
  pooler::Freshness f;
  EXPECT_FALSE(f.bound(1000, 500));
  f.observe(1000, {1, 10});
  f.observe(1200, {1, 20});
  f.observe(1400, {1, 30});
  f.observe(1500, {1, 25});  // an answer that was overtaken
  EXPECT_EQ(*f.bound(1400, 500), (Position{1, 10}));
  EXPECT_EQ(*f.bound(1600, 500), (Position{1, 20}));
  EXPECT_FALSE(f.bound(1900, 500)) << "the margin for the way is part of the bound";
}

}  // namespace
}  // namespace pebblespindle::test
