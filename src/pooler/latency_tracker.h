// How fast a primary answers, against how fast it usually does. Tells a slow database from a busy one.
#pragma once
#include <algorithm>
#include <vector>

#include "base/types.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {

class LatencyTracker {
 public:
  void answered(Millis took) { took_.push_back(took); }

  // Closes a window. True when the database is slow: its usual answer (the median, which a lossy link
  // leaves alone) takes several times as long as ever, though it gets no more done than usual. What it is
  // asked tells nothing: statements it turns away are offered again.
  bool close_window() {
    bool slow = false;
    if (took_.size() >= std::size_t(kMinAnswersInWindow)) {
      auto middle = took_.begin() + std::ptrdiff_t(took_.size() / 2);
      std::nth_element(took_.begin(), middle, took_.end());
      double median = double(*middle), answers = double(took_.size());
      bool longer = usual_ > 0 && median >= kSlowFactor * usual_ && median >= usual_ + kMinSlowdownMs;
      slow = longer && answers <= kBusyFactor * usual_answers_;
      if (!longer) {
        usual_ = usual_ == 0 ? median : usual_ + (median - usual_) * kUsualLatencyWeight;
        usual_answers_ =
            usual_answers_ == 0 ? answers : usual_answers_ + (answers - usual_answers_) * kUsualLatencyWeight;
      }
    }
    took_.clear();
    return slow;
  }

 private:
  std::vector<Millis> took_;
  double usual_ = 0, usual_answers_ = 0;
};

}  // namespace pebblespindle::pooler
