// What this node may send to a second database: its own share of the fleet's budget. Each node keeps to what
// its own first tries earn, over a sliding window, so that the sum over all nodes keeps to the fleet's bound
// without a message.
#pragma once
#include <algorithm>
#include <deque>
#include <utility>

#include "base/types.h"
#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

class RetryBudget {
 public:
  RetryBudget(double ratio, Millis window_ms) : ratio_(ratio * kRetryBudgetShare), window_ms_(window_ms) {}
  // Of the fleet's slack, what falls to this node.
  void set_slack(double slack) { slack_ = slack * kRetryBudgetShare; }
  void count_first_attempt(Millis now) {
    ++slot(now).firsts;
    ++firsts_;
  }
  // Whether one more may go to a second database; if so, it is counted.
  bool try_spend(Millis now) {
    Slot& s = slot(now);
    if (double(spent_ + 1) > ratio_ * double(firsts_) + slack_) return false;
    ++s.spent;
    ++spent_;
    return true;
  }

 private:
  struct Slot {
    Millis at = 0;
    long firsts = 0, spent = 0;
  };
  Slot& slot(Millis now) {
    // A slot's first tries leave with its oldest moment, its repeats with its newest: never too much is
    // counted.
    while (!slots_.empty() && slots_.front().at + window_ms_ + kRetryBudgetSlotMs <= now) {
      spent_ -= slots_.front().spent;
      slots_.pop_front();
    }
    for (auto& s : slots_) {
      if (s.at + window_ms_ > now) break;
      firsts_ -= std::exchange(s.firsts, 0);
    }
    if (slots_.empty() || now >= slots_.back().at + kRetryBudgetSlotMs)
      slots_.push_back({now / kRetryBudgetSlotMs * kRetryBudgetSlotMs, 0, 0});
    return slots_.back();
  }
  double ratio_, slack_ = 0;
  Millis window_ms_;
  std::deque<Slot> slots_;
  long firsts_ = 0, spent_ = 0;
};

}  // namespace pebblespindle::sidecar
