// How fast a primary answers, against how fast it usually does. Tells a slow database from a busy one.
#pragma once
#include <algorithm>
#include <vector>

#include "base/types.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {

class LatencyTracker {
 public:
  void record(Millis latency) { latencies_.push_back(latency); }

  // Closes a window. True when the database is slow: its usual answer (the median, which a lossy link
  // leaves alone) takes several times as long as ever, though it gets no more done than usual. What it is
  // asked tells nothing: statements it turns away are offered again.
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
