// Fails each test in which an exception was stopped at a boundary without the test's having asked for it: the
// guards of the product must not hide faults from its tests.
#include <gtest/gtest.h>

#include "base/exception_barrier.h"

namespace pebblespindle {
namespace {

class StoppedExceptionsListener : public testing::EmptyTestEventListener {
 public:
  void OnTestStart(const testing::TestInfo&) override { reset_stopped_exceptions(); }
  void OnTestEnd(const testing::TestInfo&) override {
    EXPECT_EQ(stopped_exception_count(), 0U) << "call reset_stopped_exceptions() where they are expected";
  }
};

[[maybe_unused]] const bool registered = [] {
  testing::UnitTest::GetInstance()->listeners().Append(new StoppedExceptionsListener);
  return true;
}();

}  // namespace
}  // namespace pebblespindle
