#include "pooler/lvector.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

TEST(LVector, APositionOfANewerTermIsGreaterThanAnyOfAnOlderTerm) {
  pooler::LVector old_term(Position{3, 900}), new_term(Position{4, 850});
  // The promotion truncated the log below 900. A session that has read 900 must not wait for that number
  // forever.
  EXPECT_LT(old_term, new_term);
  old_term.raise({4, 10});
  EXPECT_LT(old_term, new_term);
}

}  // namespace
}  // namespace pebblespindle::test
