// Compares the latency of a primary with its own baseline, to tell a slow database from a busy one.
#pragma once
#include <algorithm>
#include <vector>

#include "base/types.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {

class LatencyTracker {
 public:
  void record(Millis latency) { latencies_.push_back(latency); }

  // Closes a window. Returns true when the database is slow: its median latency is several times the baseline
  // though it completes no more statements than usual. The median is used because packet loss on the link
  // delays only some answers. Completed statements are counted rather than offered ones, because statements
  // that the database refuses are offered again.
  bool close_window() {
    bool slow = false;
    if (latencies_.size() >= std::size_t(kMinAnswersInWindow)) {
      auto middle = latencies_.begin() + std::ptrdiff_t(latencies_.size() / 2);
      std::nth_element(latencies_.begin(), middle, latencies_.end());
      double median = double(*middle), answers = double(latencies_.size());
      bool slower =
          baseline_ > 0 && median >= kSlowLatencyFactor * baseline_ && median >= baseline_ + kMinSlowdownMs;
      slow = slower && answers <= kBusyThroughputFactor * baseline_answers_;
      if (!slower) {
        baseline_ = baseline_ == 0 ? median : baseline_ + (median - baseline_) * kBaselineWeight;
        baseline_answers_ = baseline_answers_ == 0
                                ? answers
                                : baseline_answers_ + (answers - baseline_answers_) * kBaselineWeight;
      }
    }
    latencies_.clear();
    return slow;
  }

 private:
  std::vector<Millis> latencies_;
  double baseline_ = 0, baseline_answers_ = 0;
};

}  // namespace pebblespindle::pooler
