// The core on its worst days, on the simulated network: the code of the process, and after each step what
// must hold. docs/worst-days.md tells the argument; each guard named there has a test here that fails without
// it.
#include "controller/constants.h"
#include "replication/encoded_messages.h"
#include "replication/faulty_cluster.h"

namespace pebblespindle::test {
namespace {

// --- 1. twenty seconds cut off ---

void cut_days(std::uint32_t seed, bool twenty) {
  SCOPED_TRACE(seed);
  bool five = seed % 4 == 0;
  FaultyCluster d(seed, five ? 5 : 3, 3, five ? 2 : 1);
  d.go(five ? 4000 : 1200);
  d.busy = true;
  auto place = [&](int which) {  // head, tail, a middle, or any
    for (auto& h : d.hosts)
      if (d.is_running(h) && d.at(h).holds_lease(d.now())) {
        auto& m = d.at(h).view().members;
        auto& one = which == 0   ? m.front()
                    : which == 1 ? m.back()
                                 : m[std::size_t(d.net.pick(int(m.size())))];
        return replication::host_of(one.id);
      }
    return d.any();
  };
  auto cut = [&](const std::string& one, int way) {
    for (auto& other : d.hosts) {
      if (other == one) continue;
      if (way != 1) d.net.blocked_links.insert({one, other});  // 1: it is heard and does not hear
      if (way != 2) d.net.blocked_links.insert({other, one});  // 2: it hears and is not heard
    }
    if (way == 3) d.net.drop_messages_of(one);  // reset: what was on its way is lost
    if (way == 4)                               // a single link, one way
      std::erase_if(d.net.blocked_links, [&, keep = d.hosts[std::size_t(d.net.pick(int(d.hosts.size())))]](
                                             auto& c) { return c.first != one || c.second != keep; });
  };
  for (int round = 0; round < 2; ++round) {
    std::string one = place(d.net.pick(3));
    cut(one, d.net.pick(5));
    for (auto& x : d.hangers)
      if (d.net.chance(0.5)) x.core = one, x.heard = d.now();  // at the wrong side
    d.go(twenty ? 20000 + d.net.pick(4000) : 1200 + d.net.pick(1600));
    if (d.net.chance(0.2)) d.restart(d.net.chance(0.5) ? one : d.any(), d.net.pick(300));
    d.net.blocked_links.clear();
    if (round == 0 && d.net.chance(0.5))
      d.go(d.net.pick(800));  // the second as the first one heals
    else
      d.go(1500);
    if (testing::Test::HasFailure()) return;
  }
  d.net.blocked_links.clear();
  d.go(five ? 6000 : 4000);
  if (!testing::Test::HasFailure()) d.whole(d.hosts.size());
  EXPECT_GT(d.answered, 0);
}

TEST(ReplicaFaults, CutOffCoresHandOutNothing) {
  each_seed(500, [](std::uint32_t seed) { cut_days(seed, seed % 25 == 0); });
}

// A refusal, like a value, counts only from the core that was asked, and a refusal only for the last try: the
// update may have been taken after an earlier one.
TEST(ReplicaFaults, ARefusalCountsForTheLastTryOnly) {
  FaultyCluster d(3, 3, 3, 1);
  d.go(1500);
  auto view = d.at("core0").view();
  std::string head = view.head(), tail = view.tail(), one = view.members[1].id;
  Replica& node = d.at(one);
  d.isolate(one, true);
  int status = -1, told = -1;
  node.submit(d.now(), {{"key", "k0"}, {"expect", ""}, {"value", "1"}},
              [&](Status a) { status = answer_code(a); });
  node.read(d.now(), "k0", [&](const Result<std::optional<std::string>>& value) {
    told = value && *value ? std::stoi(**value) : 0;
  });
  // The ids of the two, as their messages name them.
  std::uint64_t id = 0;
  d.net.blocked_links.clear();
  d.net.deliver = [&](const std::string&, const std::string&, const Json& m) {
    if (m["t"] == "sub") id = m["id"];
  };
  for (int i = 0; i < 350; ++i) d.net.step(), node.tick(d.now());
  ASSERT_NE(id, 0u);
  auto refuse = [&](const std::string& from, int tried) {
    receive_encoded(node, d.now(), from, {{"t", "done"}, {"id", id}, {"s", 412}, {"why", "x"}, {"q", tried}});
  };
  refuse(head, 1);  // of the first try, and the second is out
  refuse(tail, 2);  // of one that was not asked
  EXPECT_EQ(status, -1);
  refuse(head, 2);
  EXPECT_EQ(status, 412);
  receive_encoded(node, d.now(), head, {{"t", "val"}, {"id", id + 1}, {"v", "9"}});
  EXPECT_EQ(told, -1) << "a value of a core that was not asked";
  receive_encoded(node, d.now(), tail, {{"t", "val"}, {"id", id + 1}, {"v", "9"}});
  EXPECT_EQ(told, 9);
}

// An offer that was long on its way, to the head of a former view, is taken by nobody.
TEST(ReplicaFaults, AnOfferOfAFormerViewIsNotTaken) {
  FaultyCluster d(4, 3, 3, 1);
  d.go(1500);
  Replica& head = d.at(d.at("core0").view().head());
  auto before = head.state().last_sequence();
  auto offer = [&](std::uint64_t view) {
    receive_encoded(head, d.now(), "core2",
                    {{"t", "sub"},
                     {"id", 7 + view},
                     {"n", view},
                     {"q", 1},
                     {"u", {{"key", "k0"}, {"expect", ""}, {"value", "1"}}}});
  };
  offer(head.view().number - 1);
  EXPECT_EQ(head.state().last_sequence(), before);
  offer(head.view().number);
  EXPECT_EQ(head.state().last_sequence(), before + 1);
}

// The tail's word is an acknowledgement. Without a seat it keeps it to itself, though the change has come.
TEST(ReplicaFaults, ATailWithoutASeatAcknowledgesNothing) {
  FaultyCluster d(5, 3, 3, 1);
  d.go(1500);
  auto view = d.at("core0").view();
  Replica& tail = d.at(view.tail());
  auto n = tail.state().last_sequence();
  d.isolate(replication::host_of(view.tail()), true);
  d.go(980);
  ASSERT_FALSE(tail.holds_lease(d.now()));
  ASSERT_EQ(tail.view().number, view.number);
  d.net.blocked_links.clear();
  int acks = 0;
  d.net.deliver = [&](const std::string&, const std::string&, const Json& m) { acks += m["t"] == "done"; };
  receive_encoded(tail, d.now(), view.members[1].id,
                  {{"t", "up"},
                   {"n", view.number},
                   {"base", n},
                   {"bt", 0},
                   {"k", n + 1},
                   {"r", Json::array({Json::array({"k0", n + 1, "1"})})},
                   {"o", Json::array({Json::array({n + 1, view.head(), 5})})}});
  ASSERT_EQ(tail.state().last_sequence(), n + 1);
  for (int i = 0; i < 20; ++i) d.net.step(), tail.tick(d.now());
  EXPECT_EQ(acks, 0);
}

// A head that has accepted a view without itself acts no more, though another's lease to it runs on.
TEST(ReplicaFaults, WhoHasAcceptedAViewWithoutItselfHasNoSeat) {
  FaultyCluster d(14258, 3, 3, 1);
  d.go(1500);
  auto view = d.at("core0").view();
  Replica& head = d.at(view.head());
  auto next = view;
  ++next.number;
  next.members.erase(next.members.begin());
  next.term = next.number;
  d.net.blocked_links.insert({view.members[1].id, view.head()});  // one other grants, as the head itself does
  d.go(1000);
  ASSERT_EQ(head.view().number, view.number);
  ASSERT_TRUE(head.is_leader(d.now()));
  receive_encoded(head, d.now(), view.members[1].id,
                  {{"t", "acc"}, {"n", next.number}, {"b", 1000}, {"view", replication::encode_view(next)}});
  EXPECT_FALSE(head.is_leader(d.now()));
}

// Whom a machine may turn to is told by cores that know today's view: also by one that stands by.
TEST(ReplicaFaults, OnlyWhoHearsAMajorityTellsWhereToTurn) {
  FaultyCluster d(6, 4, 3, 1);
  d.go(3000);
  auto& by = d.at("core3");
  EXPECT_FALSE(by.holds_lease(d.now()));
  EXPECT_TRUE(by.hears_majority(d.now()));
  d.isolate("core3", true);
  d.isolate("core1", false);
  d.go(1300);
  EXPECT_FALSE(by.hears_majority(d.now()));
  EXPECT_FALSE(d.at("core1").hears_majority(d.now()));
  EXPECT_TRUE(d.at("core2").hears_majority(d.now()));
}

// Messages with fields changed, dropped, or of another type, from members and from strangers: nobody ends,
// and what is committed stays as it is.
TEST(ReplicaFaults, MutatedMessagesChangeNothingThatIsCommitted) {
  each_seed(100, [](std::uint32_t seed) {
    SCOPED_TRACE(seed);
    FaultyCluster d(seed, 3, 3, 1);
    std::vector<Json> met;
    auto deliver = d.net.deliver;
    d.net.deliver = [&](const std::string& to, const std::string& from, const Json& m) {
      if (m["t"] != "line" && (m["t"] != "b" || d.net.chance(0.02))) met.push_back(m);
      deliver(to, from, m);
    };
    d.busy = true;
    d.go(1500);
    d.busy = false;
    d.go(1500);
    d.net.deliver = deliver;
    const std::vector<Json> odd{nullptr,
                                -1,
                                1.5,
                                "x",
                                true,
                                Json::array(),
                                Json::object(),
                                0,
                                std::uint64_t(-1),
                                1ull << 61,
                                Json::array({1, 2, 3}),
                                "core1"};
    for (int i = 0; i < 60; ++i) {
      Json m = met[std::size_t(d.net.pick(int(met.size())))];
      for (int k = d.net.pick(3); k >= 0 && m.is_object() && !m.empty(); --k) {
        auto flat = m.flatten();
        auto at = flat.begin();
        std::advance(at, d.net.pick(int(flat.size())));
        if (at.key().empty()) break;
        Json& field = m[Json::json_pointer(at.key())];
        if (d.net.chance(0.2))
          m.erase(m.begin());
        else if (field.is_number_integer() && d.net.chance(0.3))
          field = field.get<std::int64_t>() - 1;
        else
          field = odd[std::size_t(d.net.pick(int(odd.size())))];
      }
      std::string from = d.net.chance(0.8) ? d.any() : d.net.chance(0.5) ? "stranger" : "";
      Replica& node = d.at(d.any());
      auto committed = node.committed();
      std::map<std::string, std::string> kept;
      for (auto& r : node.state().rows_after(0))
        if (r.sequence <= committed) kept[r.key] = r.value;
      // What is well formed and only says something else than was meant is not told from a true word.
      bool true_looking = well_formed(m) && (m["t"] == "up" || m["t"] == "sub" || m["t"] == "dec");
      if (true_looking) continue;
      receive_encoded(node, d.now(), from, m);
      ASSERT_EQ(node.committed(), committed) << m;
      for (auto& [key, value] : kept) {
        ASSERT_TRUE(node.state().find(key)) << m;
        ASSERT_EQ(node.state().find(key)->value, value) << m;
      }
    }
    d.go(3000);  // and they go on
    d.busy = true;
    d.answered = 0;
    d.go(3000);
    EXPECT_GT(d.answered, 0);
  });
}

// --- 3. a second loss right after a repair ---

// Ends in order, as the process does: it hands over, steps out, and is gone 50 ms later. How long that took.
Millis end_in_order(FaultyCluster& d, const std::string& one) {
  Millis since = d.now();
  d.at(one).begin_leaving(d.now());
  while (!d.at(one).may_exit(d.now()) && d.now() < since + kHandOverTimeoutMs && !testing::Test::HasFailure())
    d.go(20);
  d.at(one).stop(d.now());
  d.go(50);
  d.stop(one);
  d.links.erase(one);
  return d.now() - since;
}

void arrive(FaultyCluster& d, const std::string& fresh) {
  d.hosts.push_back(fresh);
  d.seeds = d.hosts;
  d.start(fresh);
}

// Right after the next thing of that kind: a decided view, a member's whole state, a voter exchanged.
void until(FaultyCluster& d, int kind) {
  auto look = [&] {
    Json seen = Json::array();
    for (auto& h : d.hosts) {
      if (!d.is_running(h)) continue;
      auto& v = d.at(h).view();
      if (kind == 0) seen.push_back(v.number);
      if (kind == 1) seen.push_back(d.at(h).in_sync());
      if (kind == 2) seen.push_back(v.voters);
    }
    return seen;
  };
  Json at = look();
  for (Millis end = d.now() + 3000; d.now() < end && look() == at && !testing::Test::HasFailure();) d.go(5);
}

void loss_days(std::uint32_t seed, int rounds) {
  SCOPED_TRACE(seed);
  const bool five = seed % 4 == 0;
  bool spare = seed % 2 == 1 || seed % 8 == 0;
  const std::size_t tolerated_losses = five ? 2 : 1;
  FaultyCluster d(seed, (five ? 5 : 3) + spare, 3, tolerated_losses);
  const Millis catch_up = five ? 6000 : 4000;
  d.go(five ? 6000 : 2000);
  d.busy = true;
  d.go(300);
  for (int round = 0; round < rounds && !testing::Test::HasFailure(); ++round) {
    const std::string fresh = "core" + std::to_string(100 + round);
    auto voter = [&] {
      std::string h = d.any();
      while (!testing::Test::HasFailure() && !(d.is_running(h) && d.at(h).view().has_voter(d.at(h).self())))
        h = d.any();
      return h;
    };
    auto gone = [&](const std::string& one) {
      d.cores.erase(one);
      std::erase(d.hosts, one);
    };
    std::string one = voter();
    bool second = five;  // while the first is lost still, at a place of the simulation's choice
    switch (d.net.pick(7)) {
      case 0:  // crash; back with its disk
        d.stop(one);
        d.go(d.net.pick(4000));
        d.start(one);
        break;
      case 1:  // crash, and the disk is lost
        d.stop(one, true);
        d.go(d.net.pick(2000));
        d.start(one);
        break;
      case 2:  // replaced by another machine
        d.stop(one);
        gone(one);
        d.go(d.net.pick(4000));
        arrive(d, fresh);
        break;
      case 3: {  // removed for good, in order
        end_in_order(d, one);
        gone(one);
        if (spare) {  // it has handed over: the next loss may come at once, with its disk
          std::string next = voter();
          d.stop(next, true);
          d.go(d.net.pick(1500));
          d.start(next);
          second = false;
        } else {
          d.go(d.net.pick(3000));
        }
        arrive(d, fresh);
        break;
      }
      case 4:  // restarted in order
        end_in_order(d, one);
        d.go(d.net.pick(2000));
        d.start(one);
        break;
      case 5: {  // all lose power, and as many as may be lost their disks
        for (auto& h : d.hosts) d.stop(h);
        d.links.clear();
        for (std::size_t i = 0; i < tolerated_losses; ++i) d.cores[d.any()]->disk = MemoryStorage();
        d.go(d.net.pick(1500));
        for (auto& h : d.hosts) d.start(h);
        second = false;
        d.go(catch_up);
        break;
      }
      case 6:  // cut off
        d.isolate(one, d.net.chance(0.6));
        d.go(1500 + d.net.pick(2000));
        d.net.blocked_links.clear();
        break;
    }
    if (second) {
      until(d, d.net.pick(3));
      std::string next = d.any();
      if (next != one && d.is_running(next) && next != fresh) {
        d.stop(next, true);
        d.go(d.net.pick(1000));
        d.start(next);
      }
    }
    d.go(catch_up);
    if (testing::Test::HasFailure()) return;
    d.whole(d.hosts.size());
    int before = d.answered;
    for (Millis end = d.now() + 3000; d.now() < end && d.answered == before && !testing::Test::HasFailure();)
      d.go(20);
    EXPECT_GT(d.answered, before) << "no order is taken any more";
  }
}

TEST(ReplicaFaults, ALossAfterARepairLosesNothing) {
  each_seed(500, [](std::uint32_t seed) { loss_days(seed, seed % 3 ? 1 : 2); });
}

void head_gives_its_vote_away(FaultyCluster& d) {
  d.go(3000);
  Replica& head = d.at("core0");
  ASSERT_TRUE(head.is_leader(d.now()));
  head.begin_leaving(d.now());
  for (Millis end = d.now() + 2000;
       d.now() < end && head.view().has_voter("core0") && !testing::Test::HasFailure();)
    d.go(1);
  ASSERT_FALSE(head.view().has_voter("core0"));
}

// A head that has given its vote away, and came back, is the head still: the next view is decided over it.
TEST(ReplicaFaults, AHeadWithoutAVoteDoesNotStopTheNextView) {
  FaultyCluster d(273, 4, 3, 1);
  ASSERT_NO_FATAL_FAILURE(head_gives_its_vote_away(d));
  d.go(300);
  d.stop("core0");
  d.go(100);
  d.start("core0");
  d.go(1000);
  ASSERT_EQ(d.at("core1").view().head(), "core0");
  d.stop("core2");
  d.go(4000);
  EXPECT_FALSE(d.at("core1").view().has_member("core2"));
  EXPECT_TRUE(d.at("core1").view().has_voter("core0")) << "nobody takes the vote of the one that is gone";
}

// Who leaves on purpose is a member and votes until one that stands by holds the state and votes in its
// place.
TEST(ReplicaFaults, WhoLeavesHandsOverFirst) {
  Millis longest = 0;
  for (std::uint32_t seed = 1; seed <= 40 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    FaultyCluster d(seed, 4, 3, 1);
    d.go(2500);
    d.busy = true;
    d.go(500);
    auto before = d.at("core0").view();
    std::string one = replication::host_of(before.members[seed % 3].id);
    ASSERT_TRUE(d.at(one).view().has_voter(one));
    longest = std::max(longest, end_in_order(d, one));
    auto& v = d.newest().view();
    EXPECT_EQ(v.voters.size(), 3u);
    EXPECT_FALSE(v.has_voter(one)) << "it is gone and votes";
    std::string next = d.any();  // the next loss comes at once, with its disk
    while (next == one) next = d.any();
    d.stop(next, true);
    // Writers draw whom they ask, also cores that are down: what counts is the share of the others' answers.
    int answered = d.answered, offered = d.offered;
    d.go(4000);
    d.busy = false;
    d.go(replication::kSubmitTimeoutMs);  // what is under way still has its answer
    EXPECT_GT(d.answered, answered);
    EXPECT_GE(2 * (d.answered - answered), d.offered - offered);
  }
  EXPECT_LE(longest, 1500) << "ms from the wish to end until the process is gone";
  RecordProperty("longest_ms", std::to_string(longest));
  std::printf("handed over in %d ms at most\n", int(longest));
}

// It waits until as many know that it votes no more as can take the next loss.
TEST(ReplicaFaults, WhoLeavesIsNotTheOnlyOneToKnowTheNewVoters) {
  FaultyCluster d(13581, 4, 3, 1);
  ASSERT_NO_FATAL_FAILURE(head_gives_its_vote_away(d));
  Replica& head = d.at("core0");
  EXPECT_FALSE(head.may_exit(d.now()));
  d.go(500);
  EXPECT_TRUE(head.may_exit(d.now()));
}

// The second member dies, with its disk, just as a view is decided: those behind it have no state, and are
// not to blame for that.
TEST(ReplicaFaults, ALossRightAfterADecidedViewDoesNotStopTheCore) {
  for (std::uint32_t seed = 1; seed <= 20 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    FaultyCluster d(seed, 5, 3, 2);
    d.go(6000);
    std::string last = replication::host_of(d.newest().view().tail());
    d.isolate(last, true);
    d.go(3000);
    d.net.blocked_links.clear();
    auto number = d.newest().view().number;
    for (Millis end = d.now() + 3000;
         d.now() < end && d.newest().view().number == number && !testing::Test::HasFailure();)
      d.go(1);
    std::string second = replication::host_of(d.newest().view().members[1].id);
    d.stop(second, true);
    d.go(10 * Millis(seed));
    d.start(second);
    d.go(6000);
    d.whole(5);
    d.busy = true;
    d.go(2000);
    EXPECT_GT(d.answered, 0);
  }
}

TEST(ReplicaFaults, WithoutOneThatStandsByItGoesAtOnce) {
  FaultyCluster d(2, 3, 3, 1);
  d.go(2000);
  d.busy = true;
  d.go(500);
  EXPECT_LE(end_in_order(d, "core0"), 100);
  d.go(400);
  EXPECT_FALSE(d.at("core1").view().has_member("core0"));
  d.start("core0");
  Millis since = d.now();
  while (!(d.at("core1").view().has_member("core0") && d.at("core0").in_sync()) && d.now() < since + 5000)
    d.go(10);
  std::printf("back in step after %d ms\n", int(d.now() - since));
  d.go(4000);
  d.whole(3);
}

}  // namespace
}  // namespace pebblespindle::test
