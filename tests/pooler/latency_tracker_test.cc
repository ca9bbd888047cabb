#include "pooler/latency_tracker.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

// Records `windows` windows of `answers` latencies each, of which `late_answers` are `late` and the others
// `usual`. Returns whether the last window was classified as slow.
bool record_windows(pooler::LatencyTracker& tracker, int windows, int answers, Millis usual,
                    int late_answers = 0, Millis late = 0) {
  bool slow = false;
  for (int window = 0; window < windows; ++window) {
    for (int i = 0; i < answers; ++i) tracker.record(i < late_answers ? late : usual);
    slow = tracker.close_window();
  }
  return slow;
}

TEST(LatencyTracker, DistinguishesASlowDatabaseFromHighLoadAndPacketLoss) {
  pooler::LatencyTracker slow;
  EXPECT_FALSE(record_windows(slow, 10, 20, 10));
  EXPECT_TRUE(record_windows(slow, 1, 18, 60));
  pooler::LatencyTracker loaded;
  record_windows(loaded, 10, 20, 10);
  EXPECT_FALSE(record_windows(loaded, 6, 40, 60))
      << "a database that answers more statements than usual is loaded, not slow";
  pooler::LatencyTracker lossy;
  record_windows(lossy, 10, 20, 10);
  EXPECT_FALSE(record_windows(lossy, 6, 20, 10, 5, 400)) << "packet loss delays only some of the answers";
}

}  // namespace
}  // namespace pebblespindle::test
