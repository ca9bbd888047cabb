#include "pooler/latency_tracker.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

// Feeds windows of n answers of which some take `late`, the rest `ms`; tells whether the last was found slow.
bool paced(pooler::LatencyTracker& p, int windows, int n, Millis ms, int some = 0, Millis late = 0) {
  bool slow = false;
  for (int w = 0; w < windows; ++w) {
    for (int i = 0; i < n; ++i) p.record(i < some ? late : ms);
    slow = p.close_window();
  }
  return slow;
}

TEST(LatencyTracker, TellsSlowFromBusyAndFromALossyLink) {
  pooler::LatencyTracker slow;
  EXPECT_FALSE(paced(slow, 10, 20, 10));
  EXPECT_TRUE(paced(slow, 1, 18, 60));
  pooler::LatencyTracker busy;
  paced(busy, 10, 20, 10);
  EXPECT_FALSE(paced(busy, 6, 40, 60)) << "it gets more done than usual";
  pooler::LatencyTracker lossy;
  paced(lossy, 10, 20, 10);
  EXPECT_FALSE(paced(lossy, 6, 20, 10, 5, 400)) << "lost packets delay some answers only";
}

}  // namespace
}  // namespace pebblespindle::test
