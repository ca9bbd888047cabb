// Guards against responses that reach another caller, requests that are not idempotent and run twice, and
// requests that run although their client was told that they had not. Connections, processes and databases
// end at any time.
#include "sidecar/constants.h"
#include "sidecar/instance_heartbeats.h"
#include "sidecar/scripted_databases.h"
#include "sidecar/sidecar_halves.h"

namespace pebblespindle::test::mesh {
namespace {

// 500 seeds in CI; PEBBLESPINDLE_SEEDS sets another number.
int seeds() {
  const char* more = std::getenv("PEBBLESPINDLE_SEEDS");
  return more ? std::max(1, std::atoi(more)) : 500;
}

TEST(Answers, ReachTheirOwnCallersThroughResetsRestartsAndSilence) {
  long asked = 0, served = 0, refused = 0, unknown = 0, second_databases = 0, withdrawn_offers = 0,
       resent = 0;
  const int most = seeds();
  for (int seed = 1; seed <= most; ++seed) {
    SCOPED_TRACE(seed);
    MeshSimulation w{std::uint32_t(seed)};
    for (int t = 0; t < 1600; ++t) {
      if (t < 1000)
        for (int n = 0; n < kNodes; ++n)
          if (w.nodes[std::size_t(n)] && w.chance(0.04)) w.send_request(n);
      if (t < 1100) w.inject_fault();
      w.step();
      if (HasFatalFailure()) return;
    }
    asked += w.asked, served += w.served, refused += w.refused, unknown += w.unknown;
    second_databases += w.second_databases, withdrawn_offers += w.withdrawn_offers, resent += w.resent;
  }
  std::printf(
      "%d seeds: %ld asked, %ld served, %ld refused, %ld unknown, %ld elsewhere, %ld again, %ld taken back\n",
      most, asked, served, refused, unknown, second_databases, resent, withdrawn_offers);
  // The seeds have to reach each of these cases.
  EXPECT_GT(served, asked / 3);
  EXPECT_GT(refused, 0);
  EXPECT_GT(unknown, 0);
  EXPECT_GT(second_databases, 0);
  if (most >= 100) {
    EXPECT_GT(withdrawn_offers, 0);
    EXPECT_GT(resent, 0);
  }
}

// --- the outbound half -----------------------------------------------------------

TEST(Answers, AreTakenOnlyFromWhereTheyWereAsked) {
  OutboundHalf s;
  s.ask(1, false);
  s.out.handle_frame({"10.9.9.9", 7002}, {{"t", "a"}, {"s", 200}, {"n", s.offer_number(0)}});
  EXPECT_EQ(s.status(1), 0) << "a response from another address, or to an offer of an earlier process";
  s.out.handle_frame(s.offers[0].first, {{"t", "a"}, {"s", 200}, {"n", s.offer_number(0) + 1}});
  EXPECT_EQ(s.status(1), 0);
  s.reply_to(0, kOk);
  EXPECT_EQ(s.status(1), 200);
  s.reply_to(0, kFailed);  // a second response
}

TEST(Answers, APromiseIsGivenForWhatIsStillHeldAndForNothingThatHasLeft) {
  OutboundHalf s;
  s.ask(1, false);
  s.ask(2, false);
  s.held = {s.offer_number(0)};
  s.step(kRouteMs);
  EXPECT_EQ(s.status(1), 503) << "it was never sent";
  EXPECT_EQ(s.status(2), 504) << "it may still run";
  EXPECT_EQ(s.withdrawn.size(), 2u);
  s.out.link_down(s.offers[0].first, false);  // connecting fails after the client got its response
  s.out.link_down(s.offers[1].first, true);
  EXPECT_EQ(s.offers.size(), 2u);
}

TEST(Answers, ADialThatFailsHasRunNothingAndALinkThatEndsMayHave) {
  OutboundHalf s;
  s.ask(1, false);
  s.out.link_down(s.offers[0].first, false);
  ASSERT_EQ(s.offers.size(), 2u) << "known not to have run: another database is asked";
  s.out.link_down(s.offers[1].first, true);
  EXPECT_EQ(s.offers.size(), 2u) << "it may have run";
  EXPECT_EQ(s.status(1), 502);
}

TEST(Answers, WhatMayNotRunTwiceIsNeverAskedOfASecondDatabaseInASilence) {
  OutboundHalf s;
  for (CallId id = 1; id <= 20; ++id) s.ask(id, false);
  s.step(kRouteMs - 20);
  EXPECT_EQ(s.offers.size(), 20u) << "a second database is asked while the first does not respond";
  s.reply_to(0, kFailed);
  EXPECT_EQ(s.status(1), 502);
  s.reply_to(1, {{"t", "a"}, {"s", 503}});  // without the Not-Executed field of the database
  EXPECT_EQ(s.status(2), 502) << "503 says that it has not run, which no database has stated";
  EXPECT_EQ(s.offers.size(), 20u);
  s.step(20);
  for (CallId id = 3; id <= 20; ++id) EXPECT_EQ(s.status(id), 504);
}

// No database responds: the budget allows 0.75 x (0.2 x 40 + 3) requests to second databases.
TEST(Answers, ASilenceOfAllIsNotAnsweredByAskingAllTwice) {
  OutboundHalf s;
  for (CallId id = 1; id <= 40; ++id) s.ask(id, true);
  s.step(kRouteMs - 20);
  EXPECT_GT(s.offers.size(), 40u);
  EXPECT_LE(s.offers.size(), 48u);
}

TEST(Answers, OfTwoThatAreAskedThePromiseOfOneIsNotThatOfBoth) {
  for (bool first_promises : {true, false}) {
    OutboundHalf s;
    s.ask(1, true);
    s.step(kRouteMs - 100);
    ASSERT_EQ(s.offers.size(), 2u) << "a second database is asked";
    s.reply_to(first_promises ? 0 : 1, kNotRun);
    EXPECT_EQ(s.status(1), 0);
    EXPECT_EQ(s.offers.size(), 2u) << "no third";
    s.step(200);
    EXPECT_EQ(s.status(1), 504) << "the other may still run it";
    s.reply_to(first_promises ? 1 : 0, kOk);  // late: the call has ended
    EXPECT_EQ(s.out.open_calls(), 0u);
  }
  OutboundHalf both;
  both.ask(1, true);
  both.step(kRouteMs - 100);
  both.reply_to(0, kNotRun);
  both.reply_to(1, kNotRun);
  EXPECT_EQ(both.status(1), 503);
  OutboundHalf late;
  late.ask(1, true);
  late.step(kRouteMs - 100);
  late.reply_to(1, kOk);
  EXPECT_EQ(late.status(1), 200);
  late.reply_to(0, kFailed);
  late.reply_to(0, kOk);
  OutboundHalf gone;
  gone.ask(1, true);
  gone.step(kRouteMs - 100);
  gone.reply_to(0, kGone);
  gone.reply_to(1, kFailed);
  EXPECT_EQ(gone.status(1), 0);
  EXPECT_EQ(gone.offers.size(), 3u) << "only one attempt reached a database: another may follow";
  gone.reply_to(2, kFailed);
  EXPECT_EQ(gone.status(1), 502);
}

TEST(Answers, AStatusThatIsNoneEndsNobodysWait) {
  OutboundHalf s;
  s.ask(1, false);
  s.reply_to(0, {{"t", "a"}, {"s", 0}});
  EXPECT_EQ(s.status(1), 502);
}

// --- the inbound half ------------------------------------------------------------

TEST(Answers, WhatNobodyWaitsForIsNotWrittenAnyMore) {
  InboundHalf b;
  b.offer(1, false);
  b.in.cancel(1, 1);  // while its connection is being established
  b.in.app_connection_up(b.opened[0]);
  EXPECT_TRUE(b.written.empty());
  b.offer(2, false);
  EXPECT_EQ(b.written.size(), 1u) << "the connection serves the next";
  EXPECT_EQ(b.opened.size(), 1u);
  b.offer(3, false);
  b.in.app_connection_up(b.opened[1]);
  b.offer(4, false, "GET", 100);
  b.offer(5, false, "GET", 100);
  b.in.cancel(1, 4);  // out of the queue
  b.in.link_closed(1);
  b.answer(b.written[0].first, "q2");
  b.answer(b.written[1].first, "q3");
  EXPECT_EQ(b.written.size(), 2u) << "sent for a link that has ended";
  EXPECT_TRUE(b.replies.empty()) << "sent to a caller that has gone";
  EXPECT_EQ(b.in.pending_count(), 0u);
}

TEST(Answers, NothingOfAFormerLifeIsUsedForTheNext) {
  InboundHalf b;
  const ConnId idle = b.idle_connection();
  b.offer(2, false);
  ASSERT_EQ(b.written.back().first, idle);
  b.offer(3, false);
  const ConnId opening = b.opened.back();
  b.offer(4, false, "GET", 100);
  b.in.set_database(InboundHalf::instance("b"));
  EXPECT_EQ(b.reply_type(4), "no") << "it was queued for the earlier process";
  b.in.app_connection_up(opening);
  EXPECT_EQ(b.reply_type(3), "no");
  EXPECT_EQ(b.written.size(), 2u);
  b.answer(idle, "q2");  // the earlier process still answers its own request
  EXPECT_EQ(b.reply_type(2), "a");
  EXPECT_TRUE(b.is_closed(idle)) << "a connection to the earlier process is not kept";
  // A request whose connection was reset with the earlier process is not sent to its successor, which counts
  // as a second database.
  InboundHalf c;
  const ConnId old = c.idle_connection();
  c.offer(2, true);
  ASSERT_EQ(c.written.back().first, old);
  c.in.set_database(InboundHalf::instance("b"));
  c.in.app_connection_down(old, false);
  EXPECT_EQ(c.reply_type(2), "fail");
  EXPECT_EQ(c.opened.size(), 1u);
}

TEST(Answers, AKeptConnectionThatEndsAsItIsUsedProvesNothing) {
  InboundHalf b;
  const ConnId idle = b.idle_connection();
  b.offer(2, false);
  ASSERT_EQ(b.written.back().first, idle);
  b.in.app_connection_down(idle, false);
  EXPECT_EQ(b.reply_type(2), "fail") << "may have run";
  EXPECT_EQ(b.opened.size(), 1u) << "it is not sent again";
  // An idempotent request is sent once more to the same database. That it has not run there the second time
  // does not mean that it has not run.
  for (int how = 0; how < 4; ++how) {
    InboundHalf c;
    const ConnId old = c.idle_connection();
    c.offer(2, true);
    c.in.app_connection_down(old, false);
    ASSERT_EQ(c.opened.size(), 2u);
    if (how == 0) c.in.app_connection_down(c.opened[1], true);
    if (how == 1) c.step(600);
    if (how > 1) c.in.app_connection_up(c.opened[1]);
    if (how == 2) c.answer(c.opened[1], "q2", 503, {{kNotExecutedField, "1"}});
    if (how == 3) c.in.app_connection_down(c.opened[1], false);
    EXPECT_EQ(c.reply_type(2), "fail") << how;
    EXPECT_EQ(c.opened.size(), 2u) << "twice at most";
  }
}

TEST(Answers, ASecondWritingToTheSameDatabaseTakesANewConnection) {
  InboundHalf b;
  b.offer(1, true);
  b.offer(2, true);
  for (int i : {0, 1}) b.in.app_connection_up(b.opened[std::size_t(i)]);
  for (int i : {0, 1}) b.answer(b.written[std::size_t(i)].first, "q" + std::to_string(i + 1));
  b.step(5);
  b.offer(3, true);
  b.in.app_connection_down(b.written.back().first, false);
  EXPECT_EQ(b.opened.size(), 3u) << "the other connection has been idle as long, and may be dead too";
  b.in.app_connection_up(b.opened[2]);
  b.in.app_connection_down(b.opened[2], false);
  EXPECT_EQ(b.reply_type(3), "fail");
}

TEST(Answers, OfADatabaseAreTheirsWhoseIdTheyBear) {
  InboundHalf b;
  const ConnId idle = b.idle_connection();
  b.offer(2, false);
  b.answer(idle, "q1");  // a late second response
  EXPECT_EQ(b.reply_type(2), "") << "its own response is still to come";
  b.answer(idle, "q2");
  EXPECT_EQ(text_field(b.replies[2], "b"), "of q2");
  EXPECT_TRUE(b.is_closed(idle)) << "a connection with an unexpected response is not kept";
  struct Case {
    std::string id;
    int status;
    HttpFields fields;
    const char* said;
    bool promise;
  };
  for (const Case& c :
       std::vector<Case>{{"", 200, {{kResponseSealField, "s"}}, "fail", false},
                         {"", 503, {{kNotExecutedField, "1"}}, "a", true},
                         {"q2", 503, {{kNotExecutedField, "1"}}, "a", true},
                         {"q2", 503, {}, "a", false},
                         {"q2", 421, {}, "a", true},
                         {"q2", 200, {}, "fail", false},
                         {"q2", 200, {{kResponseSealField, "s"}, {kNotExecutedField, "1"}}, "a", false},
                         {"q2", 0, {{kResponseSealField, "s"}}, "fail", false},
                         {"q2", 999, {{kResponseSealField, "s"}}, "fail", false},
                         {"q2", 500, {}, "a", false}}) {
    SCOPED_TRACE(c.id + " " + std::to_string(c.status));
    InboundHalf x;
    const ConnId conn = x.idle_connection();
    x.offer(2, false);
    ASSERT_EQ(x.written.back().first, conn);
    x.answer(conn, c.id, c.status, c.fields);
    EXPECT_EQ(x.reply_type(2), c.said);
    EXPECT_EQ(bool_field(x.replies[2], "x"), c.promise);
    EXPECT_EQ(x.is_closed(conn), c.id.empty() || std::string(c.said) == "fail");
  }
}

TEST(Answers, AConnectionThatSpeaksUnaskedIsNotUsedAgain) {
  InboundHalf b;
  const ConnId idle = b.idle_connection();
  b.in.app_bytes_received(idle);  // bytes that could be part of a response
  EXPECT_TRUE(b.is_closed(idle));
  b.offer(2, false);
  EXPECT_EQ(b.opened.size(), 2u);
}

// The length of a response to HEAD cannot be told from its bytes, so the request gets a connection of its
// own.
TEST(Answers, ARequestForAHeadOnlyHasAConnectionOfItsOwn) {
  InboundHalf b;
  const ConnId idle = b.idle_connection();
  b.offer(2, true, "HEAD");
  ASSERT_EQ(b.opened.size(), 2u);
  b.in.app_connection_up(b.opened[1]);
  b.answer(b.opened[1], "q2");
  EXPECT_TRUE(b.is_closed(b.opened[1]));
  EXPECT_FALSE(b.is_closed(idle));
}

TEST(Answers, AnUnsentRequestThatMissesItsTimeIsKnownNotToHaveRun) {
  InboundHalf b;
  b.offer(1, false);
  b.step(500);  // its connection was not established
  EXPECT_EQ(b.reply_type(1), "no");
  b.in.app_connection_up(b.opened[0]);
  EXPECT_TRUE(b.written.empty());
  b.offer(2, false);
  b.in.app_connection_up(b.opened[1]);
  b.step(500);
  EXPECT_EQ(b.reply_type(2), "fail");
}

TEST(Answers, TheMoreUrgentIsServedFirstWhereAimsAreAlike) {
  InboundHalf b;
  b.in.set_database(InboundHalf::instance("a", 1));
  b.offer(1, false);
  b.in.app_connection_up(b.opened[0]);
  b.offer(2, false, "GET", 100, 3);
  b.offer(3, false, "GET", 100, 0);
  b.answer(b.opened[0], "q1");
  ASSERT_EQ(b.written.size(), 2u);
  EXPECT_EQ(*find_field(b.written[1].second.fields, kRequestIdField), "q3");
}

// --- heartbeats ------------------------------------------------------------------------

TEST(Answers, TheEndOfADatabaseIsNotAcknowledgedByTheAnswerToItsBeat) {
  TimerQueue timers;
  InstanceHeartbeats beats(timers);
  std::vector<std::pair<std::string, int>> done;
  auto to = [&](const char* who) { return [&done, who](int status) { done.emplace_back(who, status); }; };
  beats.await_answer(0, {"a"}, 0, to("beat"));
  beats.await_answer(0, {"a"}, InstanceHeartbeats::kDepartureNumber, to("end"));
  beats.on_answer({"a"}, 0, 200);
  beats.on_answer({"a"}, 0, 200);  // the same answer again
  EXPECT_EQ(done, (std::vector<std::pair<std::string, int>>{{"beat", 200}}));
  beats.await_answer(500, {"a"}, InstanceHeartbeats::kDepartureNumber, to("end again"));
  timers.run(kHeartbeatTimeoutMs);  // the first call times out, the second does not yet
  EXPECT_EQ(done.back(), (std::pair<std::string, int>{"end", 503}));
  beats.on_answer({"a"}, InstanceHeartbeats::kDepartureNumber, 200);
  EXPECT_EQ(done.back(), (std::pair<std::string, int>{"end again", 200}));
}

// Guards against a database that keeps working, and occupying a slot, for a caller that has left.
TEST(Answers, WhatMayBeRepeatedIsBrokenOffOnceItsCallerHasLeft) {
  for (bool by_link : {false, true}) {
    InboundHalf b;
    b.offer(1, true);
    b.offer(2, false);
    for (auto conn : b.opened) b.in.app_connection_up(conn);
    const ConnId safe = b.opened.at(0), once = b.opened.at(1);
    if (by_link) {
      b.in.link_closed(1);
    } else {
      b.in.cancel(1, 1);
      b.in.cancel(1, 2);
    }
    b.step(kAbandonedRequestLimitMs - 1);
    EXPECT_FALSE(b.is_closed(safe)) << "most end soon, and the connection is kept";
    b.in.cancel(1, 1);  // cancelled twice: the time counts from the first
    b.step(1);
    EXPECT_TRUE(b.is_closed(safe));
    EXPECT_FALSE(b.is_closed(once)) << "a request that is not idempotent may run until its deadline";
    EXPECT_EQ(b.in.pending_count(), 1u);
    b.in.app_reply_received(safe, {200, "late", {{kResponseSealField, "s"}, {kRequestIdField, "q1"}}}, 0);
    EXPECT_EQ(b.reply_type(1), "");
  }
}

}  // namespace
}  // namespace pebblespindle::test::mesh
