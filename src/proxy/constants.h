// What both proxies share. Each line above a constant says its unit and the reason for its value.
#pragma once
#include "base/types.h"

namespace pebblespindle {

// ms; the platform asks each second and needs two misses
constexpr Millis kUnreadinessNoticeMs = 2500;
// ms; the clock is read in whole milliseconds, so a span by it may be shorter by one
constexpr Millis kClockStepMs = 1;
// ms; before SIGKILL, work without an answer is given up: its last word still has to be written
constexpr Millis kGiveUpBeforeKillMs = 200;
// ms; before SIGKILL, the process ends by itself
constexpr Millis kEndBeforeKillMs = 100;
// ms; while a process ends, it looks this often whether all of its work is done
constexpr Millis kExitPollMs = 50;

}  // namespace pebblespindle
