// Shutdown of a sidecar: accepted requests are answered, later ones are refused as not run, and peers choose
// other databases (docs/incidents/exit-cut-statements.md).
#include "sidecar/sidecar_halves.h"

namespace pebblespindle::test::mesh {
namespace {

// Guards against requests that are accepted long after SIGTERM and lost while their database works on them.
TEST(SidecarExit, ARequestAfterShutdownBeganIsRefusedAndNotOffered) {
  OutboundHalf sender;
  sender.ask(1, true);
  sender.out.stop_accepting();
  sender.ask(2, true);
  EXPECT_EQ(sender.status(2), 503) << "the client may retry on another machine";
  EXPECT_EQ(sender.offers.size(), 1u);
  EXPECT_EQ(sender.status(1), 0) << "a request accepted before shutdown stays pending";
  sender.reply_to(0, kOk);
  EXPECT_EQ(sender.status(1), 200);
}

TEST(SidecarExit, AnAcceptedRequestMayStillBeRetriedElsewhere) {
  OutboundHalf sender;
  sender.ask(1, false);
  sender.out.stop_accepting();
  sender.reply_to(0, kGone);
  ASSERT_EQ(sender.offers.size(), 2u);
  sender.reply_to(1, kOk);
  EXPECT_EQ(sender.status(1), 200);
}

// Guards against a complete request that gets no response at all.
TEST(SidecarExit, PendingRequestsAreAnsweredWhenShutdownGivesThemUp) {
  OutboundHalf sender;
  sender.ask(1, false);
  sender.ask(2, false);
  sender.held = {sender.offer_number(0)};
  sender.out.stop_accepting();
  sender.out.fail_pending();
  EXPECT_EQ(sender.status(1), 503) << "request 1 was never sent";
  EXPECT_EQ(sender.status(2), 502) << "request 2 was sent and may still run";
  EXPECT_EQ(sender.withdrawn.size(), 2u);
  EXPECT_EQ(sender.out.open_calls(), 0u);
}

TEST(SidecarExit, APeerThatEndsIsOfferedNothingUntilItsLinkHasEnded) {
  OutboundHalf sender;
  sender.ask(1, false);
  const Endpoint stopping_peer = sender.offers.at(0).first;
  sender.out.peer_shutting_down(stopping_peer);
  for (CallId id = 2; id <= 60; ++id) sender.ask(id, false);
  const auto offered = [&] {
    return std::count_if(sender.offers.begin() + 1, sender.offers.end(),
                         [&](auto& offer) { return offer.first == stopping_peer; });
  };
  EXPECT_EQ(offered(), 0);
  sender.reply_to(0, kOk);
  EXPECT_EQ(sender.status(1), 200) << "a request accepted before the shutdown notice is answered";
  sender.out.link_down(stopping_peer, true);
  for (CallId id = 61; id <= 160; ++id) sender.ask(id, false);
  EXPECT_GT(offered(), 0) << "the peer is chosen again once its link has ended";
}

// Guards against requests of other machines that a sidecar accepts while it shuts down, and then loses.
TEST(SidecarExit, OffersAfterShutdownBeganAreRefusedAndRunningOnesAnswered) {
  InboundHalf receiver;
  receiver.offer(1, false);
  receiver.in.app_connection_up(receiver.opened.at(0));
  receiver.in.stop_accepting();
  receiver.offer(2, false);
  EXPECT_EQ(receiver.reply_type(2), "no");
  EXPECT_EQ(receiver.replies[2]["y"], "gone");
  EXPECT_EQ(receiver.in.pending_count(), 1u);
  receiver.answer(receiver.opened.at(0), "q1");
  EXPECT_EQ(receiver.reply_type(1), "a");
  EXPECT_EQ(receiver.in.pending_count(), 0u);
}

TEST(SidecarExit, PendingOffersAreAnsweredWhenShutdownGivesThemUp) {
  InboundHalf receiver;
  receiver.offer(1, false);
  receiver.offer(2, false);
  receiver.offer(3, false, "GET", 200);
  receiver.in.app_connection_up(receiver.opened.at(0));
  receiver.in.stop_accepting();
  receiver.in.fail_pending();
  EXPECT_EQ(receiver.reply_type(1), "fail") << "request 1 was sent to the database and may have run";
  EXPECT_EQ(receiver.reply_type(2), "no") << "the connection of request 2 was not up";
  EXPECT_EQ(receiver.reply_type(3), "no") << "request 3 was still queued";
  EXPECT_TRUE(receiver.is_closed(receiver.opened.at(0)));
  EXPECT_EQ(receiver.in.pending_count(), 0u);
  receiver.step(1000);
}

}  // namespace
}  // namespace pebblespindle::test::mesh
