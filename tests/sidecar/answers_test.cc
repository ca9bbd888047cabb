// Guards against responses that reach another caller, requests that are not idempotent and run twice, and
// requests that run although their client got a response that they had not. Connections, processes and
// databases end at any time.
#include "sidecar/constants.h"
#include "sidecar/instance_heartbeats.h"
#include "sidecar/scripted_databases.h"
#include "sidecar/sidecar_halves.h"

namespace pebblespindle::test::mesh {
namespace {

// 500 seeds in CI; PEBBLESPINDLE_SEEDS sets another number.
int seeds() {
  const char* setting = std::getenv("PEBBLESPINDLE_SEEDS");
  return setting ? std::max(1, std::atoi(setting)) : 500;
}

TEST(Answers, ReachTheirOwnCallersThroughResetsRestartsAndTimeouts) {
  long asked = 0, served = 0, refused = 0, unknown = 0, second_databases = 0, withdrawn_offers = 0,
       resent = 0;
  const int seed_count = seeds();
  for (int seed = 1; seed <= seed_count; ++seed) {
    SCOPED_TRACE(seed);
    MeshSimulation simulation{std::uint32_t(seed)};
    for (int step = 0; step < 1600; ++step) {
      if (step < 1000)
        for (int node = 0; node < kNodes; ++node)
          if (simulation.nodes[std::size_t(node)] && simulation.chance(0.04)) simulation.send_request(node);
      if (step < 1100) simulation.inject_fault();
      simulation.step();
      if (HasFatalFailure()) return;
    }
    asked += simulation.asked, served += simulation.served, refused += simulation.refused,
        unknown += simulation.unknown;
    second_databases += simulation.second_databases, withdrawn_offers += simulation.withdrawn_offers,
        resent += simulation.resent;
  }
  std::printf(
      "%d seeds: %ld requests, %ld served, %ld refused, %ld with unknown outcome, %ld sent to a second "
      "database, %ld resent, %ld offers withdrawn\n",
      seed_count, asked, served, refused, unknown, second_databases, resent, withdrawn_offers);
  // The seeds have to reach each of these cases.
  EXPECT_GT(served, asked / 3);
  EXPECT_GT(refused, 0);
  EXPECT_GT(unknown, 0);
  EXPECT_GT(second_databases, 0);
  if (seed_count >= 100) {
    EXPECT_GT(withdrawn_offers, 0);
    EXPECT_GT(resent, 0);
  }
}

// --- the outbound half -----------------------------------------------------------

TEST(Answers, AreTakenOnlyFromWhereTheyWereAsked) {
  OutboundHalf outbound;
  outbound.ask(1, false);
  outbound.out.handle_frame({"10.9.9.9", 7002}, {{"t", "a"}, {"s", 200}, {"n", outbound.offer_number(0)}});
  EXPECT_EQ(outbound.status(1), 0) << "a response from another address, or to an offer of an earlier process";
  outbound.out.handle_frame(outbound.offers[0].first,
                            {{"t", "a"}, {"s", 200}, {"n", outbound.offer_number(0) + 1}});
  EXPECT_EQ(outbound.status(1), 0);
  outbound.reply_to(0, kOk);
  EXPECT_EQ(outbound.status(1), 200);
  outbound.reply_to(0, kFailed);  // a second response
}

TEST(Answers, APromiseIsGivenForWhatIsStillHeldAndForNothingThatHasLeft) {
  OutboundHalf outbound;
  outbound.ask(1, false);
  outbound.ask(2, false);
  outbound.held = {outbound.offer_number(0)};
  outbound.step(kRouteMs);
  EXPECT_EQ(outbound.status(1), 503) << "its offer was never sent";
  EXPECT_EQ(outbound.status(2), 504) << "it may still run";
  EXPECT_EQ(outbound.withdrawn.size(), 2u);
  outbound.out.link_down(outbound.offers[0].first,
                         false);  // connecting fails after the client got its response
  outbound.out.link_down(outbound.offers[1].first, true);
  EXPECT_EQ(outbound.offers.size(), 2u);
}

TEST(Answers, ADialThatFailsHasRunNothingAndALinkThatEndsMayHave) {
  OutboundHalf outbound;
  outbound.ask(1, false);
  outbound.out.link_down(outbound.offers[0].first, false);
  ASSERT_EQ(outbound.offers.size(), 2u) << "known not to have run: another database is asked";
  outbound.out.link_down(outbound.offers[1].first, true);
  EXPECT_EQ(outbound.offers.size(), 2u) << "it may have run";
  EXPECT_EQ(outbound.status(1), 502);
}

TEST(Answers, WhatMayNotRunTwiceIsNeverAskedOfASecondDatabaseInASilence) {
  OutboundHalf outbound;
  for (CallId id = 1; id <= 20; ++id) outbound.ask(id, false);
  outbound.step(kRouteMs - 20);
  EXPECT_EQ(outbound.offers.size(), 20u) << "a second database is asked while the first does not respond";
  outbound.reply_to(0, kFailed);
  EXPECT_EQ(outbound.status(1), 502);
  outbound.reply_to(1, {{"t", "a"}, {"s", 503}});  // without the Not-Executed field of the database
  EXPECT_EQ(outbound.status(2), 502) << "503 means that the request has not run, which no database reported";
  EXPECT_EQ(outbound.offers.size(), 20u);
  outbound.step(20);
  for (CallId id = 3; id <= 20; ++id) EXPECT_EQ(outbound.status(id), 504);
}

// No database responds: the budget allows 0.75 x (0.2 x 40 + 3) requests to second databases.
TEST(Answers, ASilenceOfAllIsNotAnsweredByAskingAllTwice) {
  OutboundHalf outbound;
  for (CallId id = 1; id <= 40; ++id) outbound.ask(id, true);
  outbound.step(kRouteMs - 20);
  EXPECT_GT(outbound.offers.size(), 40u);
  EXPECT_LE(outbound.offers.size(), 48u);
}

TEST(Answers, OfTwoThatAreAskedThePromiseOfOneIsNotThatOfBoth) {
  for (bool first_reports_not_run : {true, false}) {
    OutboundHalf outbound;
    outbound.ask(1, true);
    outbound.step(kRouteMs - 100);
    ASSERT_EQ(outbound.offers.size(), 2u) << "a second database is asked";
    outbound.reply_to(first_reports_not_run ? 0 : 1, kNotRun);
    EXPECT_EQ(outbound.status(1), 0);
    EXPECT_EQ(outbound.offers.size(), 2u) << "a third database is asked";
    outbound.step(200);
    EXPECT_EQ(outbound.status(1), 504) << "the other may still run it";
    outbound.reply_to(first_reports_not_run ? 1 : 0, kOk);  // late: the call has ended
    EXPECT_EQ(outbound.out.open_calls(), 0u);
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
  OutboundHalf departed;
  departed.ask(1, true);
  departed.step(kRouteMs - 100);
  departed.reply_to(0, kGone);
  departed.reply_to(1, kFailed);
  EXPECT_EQ(departed.status(1), 0);
  EXPECT_EQ(departed.offers.size(), 3u) << "only one attempt reached a database: another may follow";
  departed.reply_to(2, kFailed);
  EXPECT_EQ(departed.status(1), 502);
}

TEST(Answers, AnInvalidStatusIsAnsweredWith502) {
  OutboundHalf outbound;
  outbound.ask(1, false);
  outbound.reply_to(0, {{"t", "a"}, {"s", 0}});
  EXPECT_EQ(outbound.status(1), 502);
}

// --- the inbound half ------------------------------------------------------------

TEST(Answers, WhatNobodyWaitsForIsNotWrittenAnyMore) {
  InboundHalf inbound;
  inbound.offer(1, false);
  inbound.in.cancel(1, 1);  // while its connection is being established
  inbound.in.app_connection_up(inbound.opened[0]);
  EXPECT_TRUE(inbound.written.empty());
  inbound.offer(2, false);
  EXPECT_EQ(inbound.written.size(), 1u) << "the connection serves the next";
  EXPECT_EQ(inbound.opened.size(), 1u);
  inbound.offer(3, false);
  inbound.in.app_connection_up(inbound.opened[1]);
  inbound.offer(4, false, "GET", 100);
  inbound.offer(5, false, "GET", 100);
  inbound.in.cancel(1, 4);  // out of the queue
  inbound.in.link_closed(1);
  inbound.answer(inbound.written[0].first, "q2");
  inbound.answer(inbound.written[1].first, "q3");
  EXPECT_EQ(inbound.written.size(), 2u) << "sent for a link that has ended";
  EXPECT_TRUE(inbound.replies.empty()) << "sent after the caller cancelled";
  EXPECT_EQ(inbound.in.pending_count(), 0u);
}

TEST(Answers, NoConnectionOrRequestOfAnEarlierProcessIsUsedForItsSuccessor) {
  InboundHalf inbound;
  const ConnId idle = inbound.idle_connection();
  inbound.offer(2, false);
  ASSERT_EQ(inbound.written.back().first, idle);
  inbound.offer(3, false);
  const ConnId opening = inbound.opened.back();
  inbound.offer(4, false, "GET", 100);
  inbound.in.set_database(InboundHalf::instance("b"));
  EXPECT_EQ(inbound.reply_type(4), "no") << "it was queued for the earlier process";
  inbound.in.app_connection_up(opening);
  EXPECT_EQ(inbound.reply_type(3), "no");
  EXPECT_EQ(inbound.written.size(), 2u);
  inbound.answer(idle, "q2");  // the earlier process still answers its own request
  EXPECT_EQ(inbound.reply_type(2), "a");
  EXPECT_TRUE(inbound.is_closed(idle)) << "a connection to the earlier process is not kept";
  // A request whose connection was reset with the earlier process is not sent to its successor, which counts
  // as a second database.
  InboundHalf second_inbound;
  const ConnId old = second_inbound.idle_connection();
  second_inbound.offer(2, true);
  ASSERT_EQ(second_inbound.written.back().first, old);
  second_inbound.in.set_database(InboundHalf::instance("b"));
  second_inbound.in.app_connection_down(old, false);
  EXPECT_EQ(second_inbound.reply_type(2), "fail");
  EXPECT_EQ(second_inbound.opened.size(), 1u);
}

TEST(Answers, AKeptConnectionThatEndsOnReuseLeavesTheOutcomeUnknown) {
  InboundHalf inbound;
  const ConnId idle = inbound.idle_connection();
  inbound.offer(2, false);
  ASSERT_EQ(inbound.written.back().first, idle);
  inbound.in.app_connection_down(idle, false);
  EXPECT_EQ(inbound.reply_type(2), "fail") << "may have run";
  EXPECT_EQ(inbound.opened.size(), 1u) << "it is not sent again";
  // An idempotent request is sent once more to the same database. That it has not run there the second time
  // does not mean that it has not run.
  for (int outcome = 0; outcome < 4; ++outcome) {
    InboundHalf second_inbound;
    const ConnId old = second_inbound.idle_connection();
    second_inbound.offer(2, true);
    second_inbound.in.app_connection_down(old, false);
    ASSERT_EQ(second_inbound.opened.size(), 2u);
    if (outcome == 0) second_inbound.in.app_connection_down(second_inbound.opened[1], true);
    if (outcome == 1) second_inbound.step(600);
    if (outcome > 1) second_inbound.in.app_connection_up(second_inbound.opened[1]);
    if (outcome == 2) second_inbound.answer(second_inbound.opened[1], "q2", 503, {{kNotExecutedField, "1"}});
    if (outcome == 3) second_inbound.in.app_connection_down(second_inbound.opened[1], false);
    EXPECT_EQ(second_inbound.reply_type(2), "fail") << outcome;
    EXPECT_EQ(second_inbound.opened.size(), 2u) << "sent more than twice";
  }
}

TEST(Answers, ASecondWritingToTheSameDatabaseTakesANewConnection) {
  InboundHalf inbound;
  inbound.offer(1, true);
  inbound.offer(2, true);
  for (int i : {0, 1}) inbound.in.app_connection_up(inbound.opened[std::size_t(i)]);
  for (int i : {0, 1}) inbound.answer(inbound.written[std::size_t(i)].first, "q" + std::to_string(i + 1));
  inbound.step(5);
  inbound.offer(3, true);
  inbound.in.app_connection_down(inbound.written.back().first, false);
  EXPECT_EQ(inbound.opened.size(), 3u) << "the other connection has been idle as long, and may be dead too";
  inbound.in.app_connection_up(inbound.opened[2]);
  inbound.in.app_connection_down(inbound.opened[2], false);
  EXPECT_EQ(inbound.reply_type(3), "fail");
}

TEST(Answers, OfADatabaseAreMatchedByRequestId) {
  InboundHalf inbound;
  const ConnId idle = inbound.idle_connection();
  inbound.offer(2, false);
  inbound.answer(idle, "q1");  // a late second response
  EXPECT_EQ(inbound.reply_type(2), "") << "its own response is still to come";
  inbound.answer(idle, "q2");
  EXPECT_EQ(text_field(inbound.replies[2], "b"), "of q2");
  EXPECT_TRUE(inbound.is_closed(idle)) << "a connection with an unexpected response is not kept";
  struct Case {
    std::string id;
    int status;
    HttpFields fields;
    const char* reply_type;
    bool reported_not_run;
  };
  for (const Case& test_case :
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
    SCOPED_TRACE(test_case.id + " " + std::to_string(test_case.status));
    InboundHalf case_inbound;
    const ConnId conn = case_inbound.idle_connection();
    case_inbound.offer(2, false);
    ASSERT_EQ(case_inbound.written.back().first, conn);
    case_inbound.answer(conn, test_case.id, test_case.status, test_case.fields);
    EXPECT_EQ(case_inbound.reply_type(2), test_case.reply_type);
    EXPECT_EQ(bool_field(case_inbound.replies[2], "x"), test_case.reported_not_run);
    EXPECT_EQ(case_inbound.is_closed(conn),
              test_case.id.empty() || std::string(test_case.reply_type) == "fail");
  }
}

TEST(Answers, AConnectionWithUnsolicitedBytesIsNotReused) {
  InboundHalf inbound;
  const ConnId idle = inbound.idle_connection();
  inbound.in.app_bytes_received(idle);  // bytes that could be part of a response
  EXPECT_TRUE(inbound.is_closed(idle));
  inbound.offer(2, false);
  EXPECT_EQ(inbound.opened.size(), 2u);
}

// The length of a response to HEAD cannot be told from its bytes, so the request gets a connection of its
// own.
TEST(Answers, ARequestForAHeadOnlyHasAConnectionOfItsOwn) {
  InboundHalf inbound;
  const ConnId idle = inbound.idle_connection();
  inbound.offer(2, true, "HEAD");
  ASSERT_EQ(inbound.opened.size(), 2u);
  inbound.in.app_connection_up(inbound.opened[1]);
  inbound.answer(inbound.opened[1], "q2");
  EXPECT_TRUE(inbound.is_closed(inbound.opened[1]));
  EXPECT_FALSE(inbound.is_closed(idle));
}

TEST(Answers, AnUnsentRequestThatMissesItsTimeIsKnownNotToHaveRun) {
  InboundHalf inbound;
  inbound.offer(1, false);
  inbound.step(500);  // its connection was not established
  EXPECT_EQ(inbound.reply_type(1), "no");
  inbound.in.app_connection_up(inbound.opened[0]);
  EXPECT_TRUE(inbound.written.empty());
  inbound.offer(2, false);
  inbound.in.app_connection_up(inbound.opened[1]);
  inbound.step(500);
  EXPECT_EQ(inbound.reply_type(2), "fail");
}

TEST(Answers, TheHigherPriorityIsServedFirstAtEqualTargetLatency) {
  InboundHalf inbound;
  inbound.in.set_database(InboundHalf::instance("a", 1));
  inbound.offer(1, false);
  inbound.in.app_connection_up(inbound.opened[0]);
  inbound.offer(2, false, "GET", 100, 3);
  inbound.offer(3, false, "GET", 100, 0);
  inbound.answer(inbound.opened[0], "q1");
  ASSERT_EQ(inbound.written.size(), 2u);
  EXPECT_EQ(*find_field(inbound.written[1].second.fields, kRequestIdField), "q3");
}

// --- heartbeats ------------------------------------------------------------------------

TEST(Answers, TheEndOfADatabaseIsNotAcknowledgedByTheAnswerToItsBeat) {
  TimerQueue timers;
  InstanceHeartbeats heartbeats(timers);
  std::vector<std::pair<std::string, int>> completed;
  auto record_as = [&](const char* call) {
    return [&completed, call](int status) { completed.emplace_back(call, status); };
  };
  heartbeats.await_answer(0, {"a"}, 0, record_as("beat"));
  heartbeats.await_answer(0, {"a"}, InstanceHeartbeats::kDepartureNumber, record_as("end"));
  heartbeats.on_answer({"a"}, 0, 200);
  heartbeats.on_answer({"a"}, 0, 200);  // the same answer again
  EXPECT_EQ(completed, (std::vector<std::pair<std::string, int>>{{"beat", 200}}));
  heartbeats.await_answer(500, {"a"}, InstanceHeartbeats::kDepartureNumber, record_as("end again"));
  timers.run(kHeartbeatTimeoutMs);  // the first call times out, the second does not yet
  EXPECT_EQ(completed.back(), (std::pair<std::string, int>{"end", 503}));
  heartbeats.on_answer({"a"}, InstanceHeartbeats::kDepartureNumber, 200);
  EXPECT_EQ(completed.back(), (std::pair<std::string, int>{"end again", 200}));
}

// Guards against a database that keeps working, and occupying a slot, for a caller that has left.
TEST(Answers, WhatMayBeRepeatedIsBrokenOffOnceItsCallerHasLeft) {
  for (bool by_link : {false, true}) {
    InboundHalf inbound;
    inbound.offer(1, true);
    inbound.offer(2, false);
    for (auto conn : inbound.opened) inbound.in.app_connection_up(conn);
    const ConnId safe = inbound.opened.at(0), once = inbound.opened.at(1);
    if (by_link) {
      inbound.in.link_closed(1);
    } else {
      inbound.in.cancel(1, 1);
      inbound.in.cancel(1, 2);
    }
    inbound.step(kAbandonedRequestLimitMs - 1);
    EXPECT_FALSE(inbound.is_closed(safe)) << "closed before the limit: most such requests end soon";
    inbound.in.cancel(1, 1);  // cancelled twice: the time counts from the first
    inbound.step(1);
    EXPECT_TRUE(inbound.is_closed(safe));
    EXPECT_FALSE(inbound.is_closed(once)) << "a request that is not idempotent may run until its deadline";
    EXPECT_EQ(inbound.in.pending_count(), 1u);
    inbound.in.app_reply_received(safe, {200, "late", {{kResponseSealField, "s"}, {kRequestIdField, "q1"}}},
                                  0);
    EXPECT_EQ(inbound.reply_type(1), "");
  }
}

}  // namespace
}  // namespace pebblespindle::test::mesh
