// Which requests the inbound half of a sidecar accepts, queues and refuses.
#include <gtest/gtest.h>

#include "sidecar/sidecar_halves.h"

namespace pebblespindle::test::mesh {
namespace {

constexpr Millis kAimMs = 200, kDeadlineMs = 1000, kWorkMs = 50;

class Admission : public testing::Test {
 protected:
  void offer(std::uint64_t n, Millis wait, Millis until_aim = kAimMs) {
    beside_.in.offer(1, {{"t", "q"},
                         {"n", n},
                         {"i", "a"},
                         {"m", "GET"},
                         {"u", "/s/safe/x"},
                         {"h", fields_to_json({{kRequestIdField, "q" + std::to_string(n)}})},
                         {"d", kDeadlineMs},
                         {"w", wait},
                         {"a", until_aim},
                         {"s", true},
                         {"c", "caller"}});
    if (!beside_.opened.empty() && up_.insert(beside_.opened.back()).second)
      beside_.in.app_connection_up(beside_.opened.back());
  }
  // Ends the request that has run longest.
  void end_one(int status = 200) {
    const auto [conn, call] = beside_.written.at(ended_++);
    beside_.in.app_reply_received(
        conn,
        {status,
         "b",
         {{kRequestIdField, *find_field(call.fields, kRequestIdField)}, {kResponseSealField, "s"}}},
        10000);
  }
  // Occupies both slots, after one request has taken kWorkMs.
  void fill() {
    offer(1, 0);
    beside_.step(kWorkMs);
    end_one();
    offer(2, 0);
    offer(3, 0);
  }
  std::string refusal(std::uint64_t n) const {
    return beside_.replies.count(n) ? text_field(beside_.replies.at(n), "y") : "";
  }

  InboundHalf beside_;
  std::set<ConnId> up_;
  std::size_t ended_ = 0;
};

// Guards against refusing a request with a near latency target because of queued requests that it would
// overtake.
TEST_F(Admission, OnlyThoseThatGoBeforeARequestCountForItsWait) {
  fill();
  for (std::uint64_t n = 4; n < 10; ++n) offer(n, kDeadlineMs, 2 * kDeadlineMs);
  offer(10, kWorkMs, 4 * kWorkMs);
  EXPECT_EQ(refusal(10), "");
  end_one();
  EXPECT_EQ(*find_field(beside_.written.back().second.fields, kRequestIdField), "q10");
}

TEST_F(Admission, WhatCouldNotEndWithinItsAimIsRefusedAtOnce) {
  fill();
  offer(4, kAimMs, kWorkMs);
  EXPECT_EQ(refusal(4), "full");
  EXPECT_TRUE(bool_field(beside_.replies.at(4), "w")) << "it is not offered elsewhere to wait there";
}

TEST_F(Admission, ErrorsOfADatabasesOwnDoNotCloseItOff) {
  for (std::uint64_t n = 1; n <= 4 * kFailuresUntilDown; ++n) {
    offer(n, 0);
    end_one(500);
    ASSERT_EQ(text_field(beside_.replies.at(n), "t"), "a") << n;
  }
  EXPECT_GT(beside_.replies.at(4 * kFailuresUntilDown).at("l").at(3).get<int>(), 50) << "others know of it";
}

}  // namespace
}  // namespace pebblespindle::test::mesh
