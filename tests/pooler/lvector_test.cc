#include "pooler/lvector.h"

#include <gtest/gtest.h>

namespace pebblespindle::test {
namespace {

TEST(LVector, ANewerTermOutranksAnyNumberOfAnOlderOne) {
  pooler::LVector old(Position{3, 900}), cut(Position{4, 850});
  EXPECT_LT(old, cut);  // 900 was cut back by the promote: a session that saw it is not blocked for ever
  old.raise({4, 10});
  EXPECT_LT(old, cut);
}

}  // namespace
}  // namespace pebblespindle::test
