// Which requests the inbound half of a sidecar accepts, queues and refuses.
#include <gtest/gtest.h>

#include "sidecar/sidecar_halves.h"

namespace pebblespindle::test::mesh {
namespace {

constexpr Millis kTargetLatencyMs = 200, kDeadlineMs = 1000, kWorkMs = 50;

class Admission : public testing::Test {
 protected:
  void offer(std::uint64_t number, Millis wait_ms, Millis until_target_ms = kTargetLatencyMs) {
    receiver_.in.offer(1, {{"t", "q"},
                           {"n", number},
                           {"i", "a"},
                           {"m", "GET"},
                           {"u", "/s/safe/x"},
                           {"h", fields_to_json({{kRequestIdField, "q" + std::to_string(number)}})},
                           {"d", kDeadlineMs},
                           {"w", wait_ms},
                           {"a", until_target_ms},
                           {"s", true},
                           {"c", "caller"}});
    if (!receiver_.opened.empty() && connections_up_.insert(receiver_.opened.back()).second)
      receiver_.in.app_connection_up(receiver_.opened.back());
  }
  // Answers the request that has run longest.
  void finish_oldest(int status = 200) {
    const auto [conn, call] = receiver_.written.at(finished_count_++);
    receiver_.in.app_reply_received(
        conn,
        {status,
         "b",
         {{kRequestIdField, *find_field(call.fields, kRequestIdField)}, {kResponseSealField, "s"}}},
        10000);
  }
  // Occupies both slots, after one request has taken kWorkMs.
  void occupy_slots() {
    offer(1, 0);
    receiver_.step(kWorkMs);
    finish_oldest();
    offer(2, 0);
    offer(3, 0);
  }
  std::string refusal(std::uint64_t number) const {
    return receiver_.replies.count(number) ? text_field(receiver_.replies.at(number), "y") : "";
  }

  InboundHalf receiver_;
  std::set<ConnId> connections_up_;
  std::size_t finished_count_ = 0;
};

// Guards against refusing a request with a near latency target because of queued requests that it would
// overtake.
TEST_F(Admission, OnlyRequestsAheadInTheQueueCountForTheWait) {
  occupy_slots();
  for (std::uint64_t number = 4; number < 10; ++number) offer(number, kDeadlineMs, 2 * kDeadlineMs);
  offer(10, kWorkMs, 4 * kWorkMs);
  EXPECT_EQ(refusal(10), "");
  finish_oldest();
  EXPECT_EQ(*find_field(receiver_.written.back().second.fields, kRequestIdField), "q10");
}

TEST_F(Admission, ARequestThatCannotMeetItsLatencyTargetIsRefusedAtOnce) {
  occupy_slots();
  offer(4, kTargetLatencyMs, kWorkMs);
  EXPECT_EQ(refusal(4), "full");
  EXPECT_TRUE(bool_field(receiver_.replies.at(4), "w")) << "the sender must not queue it at another database";
}

TEST_F(Admission, ErrorResponsesDoNotMarkADatabaseAsDown) {
  for (std::uint64_t number = 1; number <= 4 * kFailuresUntilDown; ++number) {
    offer(number, 0);
    finish_oldest(500);
    ASSERT_EQ(text_field(receiver_.replies.at(number), "t"), "a") << number;
  }
  EXPECT_GT(receiver_.replies.at(4 * kFailuresUntilDown).at("l").at(3).get<int>(), 50)
      << "the reply reports the share of failures to the sender";
}

}  // namespace
}  // namespace pebblespindle::test::mesh
