// Shutdown of a sidecar: accepted requests are answered, later ones are refused as not run, and peers choose
// other databases (docs/incidents/exit-cut-statements.md).
#include "sidecar/sidecar_halves.h"

namespace pebblespindle::test::mesh {
namespace {

// Guards against requests that are accepted long after SIGTERM and lost while their database works on them.
TEST(SidecarExit, ARequestThatComesLateIsRefusedAndOfferedToNobody) {
  OutboundHalf s;
  s.ask(1, true);
  s.out.stop_accepting();
  s.ask(2, true);
  EXPECT_EQ(s.status(2), 503) << "refused as not run: its client can go to another machine";
  EXPECT_EQ(s.offers.size(), 1u);
  EXPECT_EQ(s.status(1), 0) << "accepted requests continue";
  s.reply_to(0, kOk);
  EXPECT_EQ(s.status(1), 200);
}

TEST(SidecarExit, WhatWasTakenInTimeMayStillBeTriedElsewhere) {
  OutboundHalf s;
  s.ask(1, false);
  s.out.stop_accepting();
  s.reply_to(0, kGone);
  ASSERT_EQ(s.offers.size(), 2u);
  s.reply_to(1, kOk);
  EXPECT_EQ(s.status(1), 200);
}

// Guards against a complete request that gets no response at all.
TEST(SidecarExit, WhatIsGivenUpIsAnswered) {
  OutboundHalf s;
  s.ask(1, false);
  s.ask(2, false);
  s.held = {s.offer_number(0)};
  s.out.stop_accepting();
  s.out.fail_pending();
  EXPECT_EQ(s.status(1), 503) << "it was never sent";
  EXPECT_EQ(s.status(2), 502) << "it may still run";
  EXPECT_EQ(s.withdrawn.size(), 2u);
  EXPECT_EQ(s.out.open_calls(), 0u);
}

TEST(SidecarExit, APeerThatEndsIsOfferedNothingUntilItsLinkHasEnded) {
  OutboundHalf s;
  s.ask(1, false);
  const Endpoint ending = s.offers.at(0).first;
  s.out.peer_shutting_down(ending);
  for (CallId id = 2; id <= 60; ++id) s.ask(id, false);
  const auto offered = [&] {
    return std::count_if(s.offers.begin() + 1, s.offers.end(),
                         [&](auto& offer) { return offer.first == ending; });
  };
  EXPECT_EQ(offered(), 0);
  s.reply_to(0, kOk);
  EXPECT_EQ(s.status(1), 200) << "accepted requests are answered";
  s.out.link_down(ending, true);
  for (CallId id = 61; id <= 160; ++id) s.ask(id, false);
  EXPECT_GT(offered(), 0) << "its next process is used";
}

// Guards against requests of other machines that a sidecar accepts while it shuts down, and then loses.
TEST(SidecarExit, OffersThatComeLateAreTurnedAwayAndWhatRunsIsAnswered) {
  InboundHalf b;
  b.offer(1, false);
  b.in.app_connection_up(b.opened.at(0));
  b.in.stop_accepting();
  b.offer(2, false);
  EXPECT_EQ(b.reply_type(2), "no");
  EXPECT_EQ(b.replies[2]["y"], "gone");
  EXPECT_EQ(b.in.pending_count(), 1u);
  b.answer(b.opened.at(0), "q1");
  EXPECT_EQ(b.reply_type(1), "a");
  EXPECT_EQ(b.in.pending_count(), 0u);
}

TEST(SidecarExit, OffersThatAreGivenUpAreToldOf) {
  InboundHalf b;
  b.offer(1, false);
  b.offer(2, false);
  b.offer(3, false, "GET", 200);
  b.in.app_connection_up(b.opened.at(0));
  b.in.stop_accepting();
  b.in.fail_pending();
  EXPECT_EQ(b.reply_type(1), "fail") << "it may have run";
  EXPECT_EQ(b.reply_type(2), "no") << "its connection was not up";
  EXPECT_EQ(b.reply_type(3), "no") << "it was queued";
  EXPECT_TRUE(b.is_closed(b.opened.at(0)));
  EXPECT_EQ(b.in.pending_count(), 0u);
  b.step(1000);
}

}  // namespace
}  // namespace pebblespindle::test::mesh
