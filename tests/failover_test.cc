// The failover duty against model databases and a moody platform: no acknowledged commit is ever left
// behind by a promote, no abandoned attempt leaves a replica held, and the lead always settles.
#include "duty/failover.h"

#include <gtest/gtest.h>

#include <random>

#include "keel/constants.h"
#include "ordinance/ordinance.h"
#include "sim_net.h"

namespace pebblespindle::test {
namespace {

using duty::DbReply;
using duty::Failover;

struct Sea {
  struct Db {
    bool up = true, dark = false, primary = false, draining = false, deaf = false;
    std::uint64_t term = 1, held = 0;
    Position received{1, 0};
  };
  explicit Sea(std::uint32_t seed) : rng(seed) {
    ledger.put({kConfigHeadKey, "[1,3000]", 1, false});
    ledger.put({kServicePrefix + "s", "[16,1]", 1, false});
    for (int i = 0; i < 3; ++i) tell(i, i == 0);
    dbs["db0"].primary = true;
    fresh_holder();
  }
  Instance instance(const std::string& name) {
    Instance in;
    in.id = {name};
    in.service = "s";
    in.zone = "z";
    in.address = {"10.0.0.1", std::uint16_t(1 + name.back() - '0')};
    in.primary = dbs[name].primary;
    in.draining = dbs[name].draining;
    in.calls = ++calls;
    return in;
  }
  void tell(int i, bool primary) {
    std::string name = "db" + std::to_string(i);
    dbs[name].primary = primary;
    submit(instance_update(instance(name)));
  }
  int submit(const Json& u) {
    auto v = judge_update(ledger, u);
    std::uint64_t n = ledger.stored() + 1;
    for (auto& r : v.rows) {
      r.number = n;
      ledger.put(r);
    }
    return v.status;
  }
  void later(Millis ms, std::function<void()> fn) { events.emplace(now + ms, std::move(fn)); }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng) < p; }

  // A holder that has died is followed by one that knows nothing but the ledger.
  void fresh_holder() {
    ++generation;
    int g = generation;
    Failover::Out out;
    out.holds = [this, g] { return g == generation && holds; };
    out.token = [g] { return std::uint64_t(g); };
    out.ask = [this, g](const Instance& i, const std::string& s, std::function<void(DbReply)> done) {
      std::string name = i.id.value;
      Db& d = dbs[name];
      auto answer = [this, g, done](Millis in, DbReply r) {
        later(in, [this, g, done, r] {
          if (g == generation) done(r);
        });
      };
      if (d.dark) return answer(constants::kInfoTimeoutMs, {DbReply::Kind::kSilent, {}, {}});
      if (!d.up) return answer(2, {DbReply::Kind::kRefused, {}, {}});
      if (chance(0.03)) return answer(3, {DbReply::Kind::kError, {}, "THROTTLED"});
      std::uint64_t t = s.find(' ') == std::string::npos ? 0 : std::stoull(s.substr(s.find(' ') + 1));
      if (s.starts_with("PAUSE")) {
        if (d.primary) return answer(3, {DbReply::Kind::kError, {}, "MALFORMED"});
        EXPECT_GT(t, d.term) << "PAUSE at a term that is not above the newest";
        d.held = std::max(d.held, t);
      }
      if (s.starts_with("CONTINUE")) d.held = 0;
      if (s.starts_with("STEPDOWN") && d.primary && d.term < t) d.primary = false, d.held = 0;
      answer(3 + Millis(rng() % 5), {DbReply::Kind::kRow, {d.primary, d.term, d.received, d.held, 0}, {}});
    };
    out.promote = [this, g](const std::string&, const InstanceId& id, std::function<void(int)> done) {
      EXPECT_TRUE(holds) << "a call without the duty";
      auto answer = [this, g, done](Millis in, int status) {
        later(in, [this, g, done, status] {
          if (g == generation) done(status);
        });
      };
      Db& d = dbs[id.value];
      if (chance(platform_trouble)) return answer(5, 429);
      if (!d.up || d.dark) return answer(5, 409);
      bool silent = chance(platform_trouble);
      if (platform_lag > 0) silent = true;
      later(300 + platform_lag, [this, id] { take_over(id.value); });
      answer(silent ? constants::kPlatformTimeoutMs : 5, silent ? 0 : 200);
    };
    out.submit = [this, g](Json u, std::function<void(chain::Answer)> done) {
      later(10, [this, g, u, done] {
        int status = submit(u);
        if (g == generation) done({status, {}});
      });
    };
    out.all_acknowledged = [this](std::uint64_t) { return asked_of_hold = true; };
    out.members = [] { return std::size_t(4); };
    out.note = [](const std::string&) {};
    failover = std::make_unique<Failover>(ledger, std::move(out));
  }

  void take_over(const std::string& name) {
    Db& d = dbs[name];
    if (!d.up || d.primary) return;
    ++promotes;
    EXPECT_GE(d.received, acked) << "LOST: " << name << " was promoted without an acknowledged commit";
    std::uint64_t newest = 0;
    for (auto& [n, x] : dbs) newest = std::max(newest, x.term);
    for (auto& [n, x] : dbs)
      if (n != name && !x.primary) x.received = std::min(x.received, d.received);
    d.primary = true;
    d.held = 0;
    d.term = newest + 1;
    d.received = {d.term, d.received.number};
    later(50, [this, name] { submit(instance_update(instance(name))), failover->told(now, instance(name)); });
  }

  void write() {  // a client's commit at whoever believes to lead
    for (auto& [name, d] : dbs) {
      if (!d.primary || !d.up || d.dark) continue;
      Position p{d.term, d.received.number + 1};
      d.received = p;
      bool synced = false;
      for (auto& [other, r] : dbs) {
        bool follows = !r.primary && r.up && !r.dark && !r.deaf && r.held == 0 && r.term <= d.term;
        bool newest = std::none_of(dbs.begin(), dbs.end(),
                                   [&](auto& x) { return x.second.primary && x.second.term > d.term; });
        if (other == name || !follows || !newest || chance(0.3)) continue;
        r.received = p;
        r.term = d.term;
        synced = true;
      }
      auto l = Lead::from(ledger.find(lead_key("s"))->value);
      bool told = !l->hold || !asked_of_hold;  // nodes that have acknowledged the hold pass no success on
      if (synced && told) acked = std::max(acked, p);
      if (!l->hold) asked_of_hold = false;
    }
  }
  void step() {
    ++now;
    while (!events.empty() && events.begin()->first <= now) {
      auto fn = std::move(events.begin()->second);
      events.erase(events.begin());
      fn();
    }
    if (now % 7 == 0) write();
    if (now % 50 == 0) {
      for (auto& [name, d] : dbs) {  // those that follow catch up, unless held or deaf
        auto leader = std::max_element(dbs.begin(), dbs.end(), [](auto& a, auto& b) {
          return (a.second.primary ? a.second.term : 0) < (b.second.primary ? b.second.term : 0);
        });
        if (d.primary && d.term < leader->second.term && d.up && leader->second.up) d.primary = false;
        if (!d.primary && d.up && !d.dark && !d.deaf && d.held == 0 && leader->second.up &&
            !leader->second.dark)
          d.received = leader->second.received, d.term = leader->second.term;
        if (d.primary && (!d.up || d.dark) && !quiet)
          for (const char* zone : {"z0", "z1"})
            failover->suspect(now, {name}, zone, std::string("n") + zone, !d.dark);
      }
      failover->tick(now);
    }
  }
  std::string leader() {
    auto l = Lead::from(ledger.find(lead_key("s"))->value);
    return l->hold ? "" : l->primary.value;
  }

  Millis now = 1000;
  std::mt19937 rng;
  Ledger ledger;
  std::map<std::string, Db> dbs;
  std::unique_ptr<Failover> failover;
  std::multimap<Millis, std::function<void()>> events;
  Position acked{};
  bool holds = true, asked_of_hold = false, quiet = false;  // quiet: nodes report nothing by themselves
  int generation = 0, promotes = 0;
  std::uint64_t calls = 0;
  double platform_trouble = 0;
  Millis platform_lag = 0;  // a call takes effect this much later, and is not answered
};

TEST(Failover, LosesNoAcknowledgedCommit) {
  int promotes = 0;
  for (std::uint32_t seed = 1; seed <= 60 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Sea sea(seed);
    sea.platform_trouble = seed % 3 == 0 ? 0.4 : 0;
    for (int round = 0; round < 8; ++round) {
      std::string victim = "db" + std::to_string(sea.rng() % 3);
      auto& d = sea.dbs[victim];
      switch (sea.rng() % 4) {
        case 0:
          d.up = false;
          break;
        case 1:
          d.dark = true;
          break;
        case 2:
          d.deaf = true;
          break;
        default:
          if (d.primary) {
            d.draining = true;
            sea.submit(instance_update(sea.instance(victim)));
          }
      }
      for (int i = 0, n = int(sea.rng() % 1500); i < n; ++i) sea.step();
      if (sea.chance(0.4)) sea.fresh_holder();
      std::string lead = sea.leader();
      if (sea.chance(0.5) && !lead.empty()) sea.dbs[lead].up = false;  // another trouble on top
      for (int i = 0, n = int(sea.rng() % 1500); i < n; ++i) sea.step();
      for (auto& [name, x] : sea.dbs) {
        if (!x.up) x.held = 0;  // a restart ends a hold
        x.up = true, x.dark = x.deaf = x.draining = false;
        sea.submit(instance_update(sea.instance(name)));
      }
      for (int i = 0; i < 6000; ++i) sea.step();
      std::string leader = sea.leader();
      ASSERT_FALSE(leader.empty()) << "the lead did not settle";
      EXPECT_TRUE(sea.dbs[leader].primary) << "the lead names one that does not lead";
      for (auto& [name, x] : sea.dbs) EXPECT_EQ(x.held, 0u) << name << " is still held";
    }
    promotes += sea.promotes;
  }
  EXPECT_GT(promotes, 60) << "hardly anything was promoted";
}

TEST(Failover, ASilentLinkOfOneZoneMovesNothing) {
  Sea sea(5);
  for (int i = 0; i < 5000; ++i) {
    if (i % 50 == 0) sea.failover->suspect(sea.now, {"db0"}, "z0", "n0", false);
    sea.step();
  }
  EXPECT_EQ(sea.promotes, 0);
}

// Where a node asks a database twice a minute it will not miss two answers: those of several nodes count
// together.
TEST(Failover, OneMissedAnswerOfSeveralNodesIsAsGoodAsSeveralOfOne) {
  auto promotes = [](int nodes, int zones, bool dark) {
    Sea sea(11);
    sea.dbs["db0"].dark = dark;
    sea.quiet = true;  // no other reports
    for (int i = 0; i < 4000; ++i) {
      if (i < 500 && i % 100 == 0)
        for (int n = 0; n < nodes; ++n)
          sea.failover->suspect(sea.now, {"db0"}, "z" + std::to_string(n % zones), "n" + std::to_string(n),
                                false, true);
      sea.step();
    }
    return sea.promotes;
  };
  EXPECT_EQ(promotes(3, 2, true), 0);  // they may all have met a bad link
  EXPECT_EQ(promotes(8, 1, true), 0);
  EXPECT_EQ(promotes(4, 2, true), 1);
  EXPECT_EQ(promotes(8, 2, false), 0) << "it answers when it is asked";
}

TEST(Failover, HandsTheLeadOverWhenNodesOfSeveralZonesFindItSlow) {
  Sea sea(8);
  auto report = [&](int nodes, int zones) {
    for (int i = 0; i < 3000; ++i) {
      if (i % 500 == 0)
        for (int n = 0; n < nodes; ++n)
          sea.failover->slow(sea.now, {"db0"}, "z" + std::to_string(n % zones), "n" + std::to_string(n));
      sea.step();
    }
  };
  report(1, 1);
  report(3, 1);  // one zone: its link may be at fault
  EXPECT_EQ(sea.promotes, 0);
  report(2, 2);
  EXPECT_EQ(sea.promotes, 1);
  EXPECT_NE(sea.leader(), "db0");
}

TEST(Failover, KeepsASlowPrimaryWhenAReplicaCanNotBeHeld) {
  Sea sea(9);
  sea.dbs["db1"].dark = true;
  for (int i = 0; i < 2000; ++i) {
    if (i == 100)
      for (int n = 0; n < 4; ++n)
        sea.failover->slow(sea.now, {"db0"}, "z" + std::to_string(n % 2), "n" + std::to_string(n));
    sea.step();
  }
  EXPECT_EQ(sea.promotes, 0);
  EXPECT_EQ(sea.leader(), "db0") << "it leads on: slow is better than not at all";
}

// A call to the platform that was not answered may take effect at any time: the primary, though it is back,
// does not lead again, for what it would acknowledge then might be left behind.
TEST(Failover, WhoeverMayHaveBeenReplacedIsNotLetGoOn) {
  int promotes = 0;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Sea sea(seed);
    sea.platform_lag = 3000;
    for (int i = 0; i < 500; ++i) sea.step();
    sea.dbs["db0"].dark = true;
    for (int i = 0; i < 2500; ++i) sea.step();
    sea.dbs["db0"].dark = false;
    for (int i = 0; i < 9000; ++i) sea.step();  // take_over() checks what is promoted
    promotes += sea.promotes;
  }
  EXPECT_GT(promotes, 10);
}

TEST(Failover, WaitsWhenAReplicaThatMayHoldMoreIsOutOfReach) {
  Sea sea(6);
  sea.dbs["db1"].dark = true;
  sea.dbs["db0"].up = false;
  for (int i = 0; i < 6000; ++i) sea.step();
  EXPECT_EQ(sea.promotes, 0);
  sea.dbs["db1"].dark = false;
  for (int i = 0; i < 3000; ++i) sea.step();
  EXPECT_EQ(sea.promotes, 1);
}

TEST(Failover, ADatabaseBackAtItsAddressUnderANewNameEndsTheOldOne) {
  Sea sea(7);
  auto back = sea.instance("db1");
  back.id = {"new1"};
  sea.submit(instance_update(back));
  EXPECT_EQ(sea.ledger.find(instance_key({"db1"})), nullptr);
  sea.submit(instance_update(sea.instance("db1")));  // a late beat of the old one
  EXPECT_EQ(sea.ledger.find(instance_key({"db1"})), nullptr);
}

TEST(Failover, WhatADepartingReplicaAloneHasReceivedIsNotLeftBehind) {
  // db2 has told of its end and still receives for a moment; db1 receives nothing more of the last commits.
  for (Millis ends : {20, 100, 3000}) {
    Sea sea(12);
    for (int i = 0; i < 500; ++i) sea.step();
    sea.submit(leave_update({"db2"}));
    sea.dbs["db1"].deaf = true;
    sea.later(ends, [&] { sea.dbs["db2"].up = false; });
    sea.later(400, [&] { sea.dbs["db1"].deaf = false; });
    sea.dbs["db0"].draining = true;
    sea.submit(instance_update(sea.instance("db0")));
    for (int i = 0; i < 5000; ++i) sea.step();  // take_over() checks what is promoted
    EXPECT_EQ(sea.leader(), "db1");
  }
}

}  // namespace
}  // namespace pebblespindle::test
