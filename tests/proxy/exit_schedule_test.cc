#include "proxy/exit_schedule.h"

#include <gtest/gtest.h>

namespace pebblespindle {
namespace {

TEST(ExitSchedule, StepsFollowTheGracePeriod) {
  const ExitSchedule schedule = ExitSchedule::of(6000);
  EXPECT_EQ(schedule.close_idle_after, 2250);
  EXPECT_EQ(schedule.stop_taking_after, 3001) << "an open transaction has all of the first half";
  EXPECT_EQ(schedule.give_up_after, 5800);
  EXPECT_EQ(schedule.end_after, 5900);
}

TEST(ExitSchedule, StepsStayInOrderForAnyGracePeriod) {
  for (Millis grace_ms = 0; grace_ms <= 60000; grace_ms += 10) {
    const ExitSchedule schedule = ExitSchedule::of(grace_ms);
    EXPECT_LE(0, schedule.close_idle_after);
    EXPECT_LE(schedule.close_idle_after, schedule.stop_taking_after);
    EXPECT_LE(schedule.stop_taking_after, schedule.give_up_after);
    EXPECT_LE(schedule.give_up_after, schedule.end_after);
    EXPECT_GT(2 * schedule.stop_taking_after, grace_ms) << "also by a clock of whole milliseconds";
    EXPECT_LE(schedule.end_after, std::max<Millis>(grace_ms, kClockStepMs));
  }
}

}  // namespace
}  // namespace pebblespindle
