// When a process that was asked to end takes each step towards its end. The platform kills it after the grace
// period, so the last answers have to be written before that.
#pragma once
#include <algorithm>

#include "base/types.h"
#include "proxy/constants.h"

namespace pebblespindle {

// Spans since the signal, ms; each is at least as long as the one before it.
struct ExitSchedule {
  Millis close_idle_after = 0;   // the platform has noticed that it is unready: what rests is closed
  Millis stop_taking_after = 0;  // half of the grace period: open transactions have had their time
  Millis give_up_after = 0;      // what is still at work is answered with what can be said of it
  Millis end_after = 0;          // the process ends, whatever is left

  static ExitSchedule of(Millis grace_ms) {
    ExitSchedule schedule;
    const Millis half = std::max<Millis>(grace_ms, 0) / 2;
    schedule.stop_taking_after = half + kClockStepMs;
    schedule.close_idle_after = std::min(kUnreadinessNoticeMs, half * 3 / 4);
    schedule.give_up_after = std::max(schedule.stop_taking_after, grace_ms - kGiveUpBeforeKillMs);
    schedule.end_after = std::max(schedule.give_up_after, grace_ms - kEndBeforeKillMs);
    return schedule;
  }
};

}  // namespace pebblespindle
