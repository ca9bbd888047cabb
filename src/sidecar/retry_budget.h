// The share of the fleet's retry budget that this node may use to send requests to a second database. Each
// node limits its retries to a ratio of its own first attempts within a sliding window, so the sum over all
// nodes stays within the limit of the fleet without any communication.
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
  // Retries that this node may always send within a window, whatever its first attempts: its part of the
  // fleet's slack.
  void set_slack(double slack) { slack_ = slack * kRetryBudgetShare; }
  void count_first_attempt(Millis now) {
    ++slot(now).first_attempts;
    ++first_attempts_;
  }
  // Whether one more request may be sent to a second database. If so, it is counted.
  bool try_spend(Millis now) {
    Slot& current = slot(now);
    if (double(retries_ + 1) > ratio_ * double(first_attempts_) + slack_) return false;
    ++current.retries;
    ++retries_;
    return true;
  }

 private:
  struct Slot {
    Millis at = 0;
    long first_attempts = 0, retries = 0;
  };
  Slot& slot(Millis now) {
    // The first attempts of a slot expire once its start is out of the window, its retries only once its end
    // is: the budget is never overestimated.
    while (!slots_.empty() && slots_.front().at + window_ms_ + kRetryBudgetSlotMs <= now) {
      retries_ -= slots_.front().retries;
      slots_.pop_front();
    }
    for (auto& entry : slots_) {
      if (entry.at + window_ms_ > now) break;
      first_attempts_ -= std::exchange(entry.first_attempts, 0);
    }
    if (slots_.empty() || now >= slots_.back().at + kRetryBudgetSlotMs)
      slots_.push_back({now / kRetryBudgetSlotMs * kRetryBudgetSlotMs, 0, 0});
    return slots_.back();
  }
  double ratio_, slack_ = 0;
  Millis window_ms_;
  std::deque<Slot> slots_;
  long first_attempts_ = 0, retries_ = 0;
};

}  // namespace pebblespindle::sidecar
