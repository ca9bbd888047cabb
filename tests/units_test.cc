// The parts that stand alone: disk, wire, settings, configuration, freshness, leases of nodes.
#include <gtest/gtest.h>

#include "config/cluster_state.h"
#include "config/update_validation.h"
#include "health/outlier_detector.h"
#include "membership/node_leases.h"
#include "pooler/freshness.h"
#include "pooler/latency_tracker.h"
#include "pooler/lvector.h"
#include "sql_protocol/sql_protocol.h"
#include "storage/power_loss_vfs.h"
#include "storage/sqlite_store.h"

namespace pebblespindle::test {
namespace {

TEST(Disk, KeepsWhatItCommittedThroughPowerLossWithTornWrites) {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    PowerVfs power;
    power.rng.seed(seed);
    const char* vfs = PowerVfs::install(&power);
    std::map<std::string, std::string> sure;  // what commit() said is kept
    for (int life = 0; life < 5; ++life) {
      auto disk = SqliteStore::open("ledger.db", vfs);
      ASSERT_TRUE(disk) << disk.reason;
      auto meta = (*disk.value)->meta();
      int last = meta.count("n") ? std::stoi(meta["n"]) : 0;
      EXPECT_GE(last, sure.count("n") ? std::stoi(sure["n"]) : 0) << "a committed batch is gone";
      auto rows = (*disk.value)->rows();
      EXPECT_EQ(rows.size(), std::size_t(std::min(last, 20))) << "half a batch is there";
      for (auto& r : rows) EXPECT_LE(r.number, std::uint64_t(last)) << "rows without their number";
      power.until_loss = long(power.rng() % 200);
      for (int n = last + 1; n < last + 60; ++n) {
        Batch b;
        b.rows.push_back(
            {"k" + std::to_string(n % 20), std::string(power.rng() % 3000, 'x'), std::uint64_t(n), false});
        b.meta["n"] = std::to_string(n);
        if (!(*disk.value)->commit(b)) break;
        sure["n"] = b.meta["n"];
      }
      disk.value->reset();
      power.power_cycle();
    }
  }
}

TEST(Disk, ADamagedFileIsReported) {
  PowerVfs power;
  const char* vfs = PowerVfs::install(&power);
  {
    auto disk = SqliteStore::open("ledger.db", vfs);
    ASSERT_TRUE(disk);
    Batch b;
    for (int i = 0; i < 200; ++i)
      b.rows.push_back({"k" + std::to_string(i), std::string(200, 'x'), 1, false});
    ASSERT_TRUE((*disk.value)->commit(b));
  }
  auto& file = power.files["ledger.db"]->current;
  for (std::size_t i = 4096; i < 9000; ++i) file[i] = char(i * 31);
  auto disk = SqliteStore::open("ledger.db", vfs);
  ASSERT_FALSE(disk);
  EXPECT_NE(disk.reason.find("ledger.db"), std::string::npos);
}

TEST(Wire, StatementsAreReadStrictly) {
  using sql_protocol::Verb;
  EXPECT_EQ(sql_protocol::parse_statement("BEGIN").verb, Verb::kBegin);
  EXPECT_TRUE(sql_protocol::parse_statement("BEGIN FETCH").read_only);
  EXPECT_EQ(sql_protocol::parse_statement("BEGIN STORE").verb, Verb::kBad);
  EXPECT_EQ(sql_protocol::parse_statement("WAITFOR 1.2 FETCH a").verb, Verb::kBad);  // never a client's
  auto s = sql_protocol::parse_statement("PREPARE s1 STORE q2c");
  EXPECT_EQ(s.verb, Verb::kPrepare);
  EXPECT_EQ(s.rest, "STORE q2c");
  EXPECT_EQ(sql_protocol::parse_statement("STORE 1a4 a b  c").rest, "a b  c");
  for (const char* bad :
       {"", "FETCH", "PREPARE x SCAN y", "EXECUTE p", "COMMIT now", "CONFIGURE a", "RELEASE"})
    EXPECT_EQ(sql_protocol::parse_statement(bad).verb, Verb::kBad) << bad;
  EXPECT_FALSE(sql_protocol::parse_idle("X 1.2"));
  EXPECT_FALSE(sql_protocol::parse_idle("I 1.x"));
  EXPECT_FALSE(sql_protocol::parse_info("replica 3 nonsense 0 12"));
  EXPECT_EQ(sql_protocol::parse_info("replica 3 3.1209 0 12 2 17")->received, (Position{3, 1209}));
}

TEST(Settings, SayInOneLineWhatIsWrong) {
  const char* good =
      R"({"NodeName":"n","IpAddress":"10.0.0.1","Zone":"z","Listeners":{"Frontend":"10.0.0.1:80"},
    "InternalPortRange":[7440,7455],"SeedNodes":["10.0.0.2:80"],"Unknown":{"x":1}})";
  EXPECT_TRUE(read_settings(good)) << read_settings(good).reason;
  for (auto [from, to] : {std::pair{"\"NodeName\":\"n\",", ""},
                          {"10.0.0.2:80", "10.0.0.2"},
                          {"[7440,7455]", "[7440]"},
                          {"{\"Node", "{{"},
                          {"[7440,7455]", "[7440,7440]"}}) {
    std::string text = good;
    text.replace(text.find(from), std::strlen(from), to);
    auto s = read_settings(text);
    EXPECT_FALSE(s) << text;
    EXPECT_EQ(s.reason.find('\n'), std::string::npos);
  }
}

const std::string kConfig =
    R"({"Revision":3,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/","RouteType":"primary",
  "TimeoutMs":1000,"TargetService":"s"}],"Services":[{"Name":"s"}]})";

std::string changed(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

const std::string kMeshConfig =
    R"({"Revision":3,"Routes":[
  {"Name":"a","Hostname":"h.example","PathPrefix":"/x/","RouteType":"idempotent","TimeoutMs":1000,"TargetService":"s"},
  {"Name":"b","Hostname":"h.example","PathPrefix":"/x/y/","RouteType":"non_idempotent","TimeoutMs":700,
   "WeightedTargets":[{"TargetService":"s","Weight":90},{"TargetService":"t","Weight":10}]}],
  "Services":[{"Name":"s"},{"Name":"t"}],"Limits":{"MaxHeaderBytes":16384,"IdleTimeoutMs":15000}})";

// Each case of the page, of both kinds of deployment; the first field says where the change is made.
TEST(Configuration, EveryInvalidCaseIsRefused) {
  ASSERT_TRUE(read_configuration(kConfig)) << read_configuration(kConfig).reason;
  ASSERT_TRUE(read_configuration(kMeshConfig)) << read_configuration(kMeshConfig).reason;
  struct Case {
    const std::string& good;
    const char *from, *to;
  };
  for (auto& c : std::initializer_list<Case>{
           {kConfig, R"("Services":[{"Name":"s"}]})", R"("Services":[{"Na)"},  // cut short
           {kConfig, R"("TargetService":"s")", R"("TargetService":"t")"},
           {kConfig, R"("TargetService":"s")", R"("MaxAttempts":1)"},  // no service at all
           {kConfig, "1000", "0"},
           {kConfig, "1000", "-5"},
           {kConfig, "1000", R"("1000")"},
           {kConfig, R"("Revision":3)", R"("Revision":0)"},
           {kConfig, R"("Revision":3)", R"("Revision":3.5)"},
           {kConfig, R"("Revision":3)", R"("Revision":"3")"},
           {kConfig, R"("Revision":3)", R"("Revision":3,"Revision":4)"},
           {kConfig, R"("Revision":3,)", ""},
           {kConfig, R"("RouteType":"primary")", R"("RouteType":"other")"},
           {kConfig, R"([{"Name":"s"}])", R"([{"Name":"s"},{"Name":"s"}])"},
           {kConfig, R"([{"Name":"s"}])", R"({"Name":"s"})"},
           {kMeshConfig, "/x/y/", "/x/"},      // the same place
           {kMeshConfig, R"("b")", R"("a")"},  // the same name
           {kMeshConfig, R"("t","W)", R"("u","W)"},
           {kMeshConfig, "90", "-1"},
           {kMeshConfig, "Weight\":90},{\"TargetService\":\"t\",\"Weight\":10", "Weight\":0"},  // sum 0
           {kMeshConfig, "15000", R"("15 s")"}})
    EXPECT_FALSE(read_configuration(changed(c.good, c.from, c.to))) << c.from << " -> " << c.to;
  EXPECT_EQ(read_configuration(changed(kConfig, "1000", "0.4")).value->routes.begin()->second.timeout_ms, 1);
}

// PATCH names items; what it leaves out stays. Judged against the base it names, in one history with PUT.
TEST(Configuration, AChangeOfNamedItemsIsMergedAndJudgedAsAWhole) {
  StateTable state;
  auto put = [&](const Json& u) {
    auto v = judge_update(state, u);
    std::uint64_t n = state.stored() + 1;
    for (auto& r : v.rows) r.number = n, state.put(r);
    return v.status;
  };
  const std::string first = R"({"Revision":5,"Upsert":{"Routes":[{"Name":"c","Hostname":"h.example",
    "PathPrefix":"/z/","RouteType":"idempotent","TimeoutMs":10,"TargetService":"t"}]},"Remove":{"Routes":["a"]}})";
  EXPECT_EQ(put(patch_update(0, first)), 412) << "there is nothing yet";
  EXPECT_EQ(put(config_update(0, kMeshConfig)), 200);
  EXPECT_EQ(put(patch_update(3, first)), 200);
  EXPECT_EQ(put(patch_update(3, first)), 200) << "offered again: taken";
  ClusterState cluster;
  cluster.follow(state);
  EXPECT_EQ(cluster.config().revision, 5u);
  EXPECT_FALSE(cluster.route("h.example", "/x/q"));
  EXPECT_EQ(cluster.route("h.example", "/x/y/q/r")->name, "b");
  EXPECT_EQ(cluster.route("h.example", "/x/y/q/r")->split.size(), 2u);
  EXPECT_EQ(cluster.route("h.example", "/z/q")->service, "t");
  EXPECT_FALSE(cluster.route("h.example", "/zz/q"));
  EXPECT_FALSE(cluster.route("other.example", "/z/q"));
  for (const char* bad :
       {R"({"Revision":5})",                                                     // not above
        R"({"Revision":9,"Upsert":{"Routes":[{"Hostname")",                      // cut short
        R"({"Revision":9,"Remove":{"Services":["t"]}})",                         // a route of it is left
        R"({"Revision":9,"Upsert":{"Routes":[{"Name":"c","Hostname":"h.example","PathPrefix":"/x/y/",
             "RouteType":"idempotent","TimeoutMs":10,"TargetService":"t"}]}})",  // the same place
        R"({"Revision":9,"Upsert":{"Routes":[{"Hostname":"x"}]}})",              // no name
        R"({"Revision":9,"Remove":["c"]})"})
    EXPECT_EQ(put(patch_update(5, bad)), 400) << bad;
  EXPECT_EQ(put(patch_update(3, R"({"Revision":9})")), 412);
  EXPECT_EQ(put(patch_update(5, R"({"Revision":9,"Upsert":{"Limits":{"IdleTimeoutMs":700}}})")), 200);
  cluster.follow(state);
  EXPECT_EQ(cluster.config().limits.idle_ms, 700);
  EXPECT_EQ(cluster.config().limits.header_bytes, 16384u);
  EXPECT_EQ(Json::parse(state.find(kConfigKey)->value)["Routes"].size(), 2u);
}

TEST(Configuration, IsTakenByCompareAndSet) {
  StateTable state;
  auto offer = [&](std::uint64_t base, const std::string& body) {
    auto v = judge_update(state, config_update(base, body));
    for (auto& r : v.rows) r.number = state.stored() + 1, state.put(r);
    return v.status;
  };
  EXPECT_EQ(offer(1, kConfig), 503) << "version 1 may be on its way";
  EXPECT_EQ(offer(0, kConfig), 200);
  EXPECT_EQ(offer(0, kConfig), 200);  // the same again, as a call without a clear answer is repeated
  EXPECT_EQ(offer(0, changed(kConfig, ":3", ":7")), 412);
  EXPECT_EQ(offer(3, changed(kConfig, ":3", ":2")), 400);
  EXPECT_EQ(offer(3, changed(kConfig, ":3", ":7")), 200);
  EXPECT_EQ(offer(3, changed(kConfig, ":3", ":8")), 412);
  EXPECT_EQ(state.find(kConfigKey)->value, changed(kConfig, ":3", ":7"));
}

TEST(Registry, LateBeatsAndLateLeadersChangeNothing) {
  StateTable state;
  auto tell = [&](const std::string& id, bool primary, bool draining, int calls, int port) {
    Instance i{{id}, "s", "z", {"10.0.0.1", std::uint16_t(port)}, 4, draining, primary, std::uint64_t(calls)};
    auto v = judge_update(state, instance_update(i));
    for (auto& r : v.rows) r.number = state.stored() + 1, state.put(r);
  };
  tell("a", true, false, 1, 1);
  tell("a", true, true, 5, 1);
  tell("a", true, false, 4, 1);  // overtaken on the way
  EXPECT_TRUE(Instance::from({"a"}, state.find("i/a")->value)->draining);
  tell("b", true, false, 1, 2);  // names itself primary, but the lead is not its to take
  EXPECT_EQ(Lead::from(state.find("s/s")->value)->primary.value, "a");
  auto v = judge_update(state, leave_update({"a"}));
  v.rows[0].number = state.stored() + 1;
  state.put(v.rows[0]);
  tell("a", true, false, 9, 1);
  EXPECT_EQ(state.find("i/a"), nullptr) << "one that has left came back by a late beat";
}

TEST(Freshness, GivesTheLeastDemandingPositionThatIsYoungEnough) {
  pooler::Freshness f;
  EXPECT_FALSE(f.bound(1000, 500));
  f.observe(1000, {1, 10});
  f.observe(1200, {1, 20});
  f.observe(1400, {1, 30});
  f.observe(1500, {1, 25});  // an answer that was overtaken
  EXPECT_EQ(*f.bound(1400, 500), (Position{1, 10}));
  EXPECT_EQ(*f.bound(1600, 500), (Position{1, 20}));
  EXPECT_FALSE(f.bound(1900, 500)) << "the margin for the way is part of the bound";
}

// Feeds windows of n answers of which some take `late`, the rest `ms`; tells whether the last was found slow.
bool paced(pooler::LatencyTracker& p, int windows, int n, Millis ms, int some = 0, Millis late = 0) {
  bool slow = false;
  for (int w = 0; w < windows; ++w) {
    for (int i = 0; i < n; ++i) p.answered(i < some ? late : ms);
    slow = p.close_window();
  }
  return slow;
}

TEST(LatencyTracker, TellsSlowFromBusyAndFromALossyLink) {
  pooler::LatencyTracker slow;
  EXPECT_FALSE(paced(slow, 10, 20, 10));
  EXPECT_TRUE(paced(slow, 1, 18, 60));
  pooler::LatencyTracker busy;
  paced(busy, 10, 20, 10);
  EXPECT_FALSE(paced(busy, 6, 40, 60)) << "it gets more done than usual";
  pooler::LatencyTracker lossy;
  paced(lossy, 10, 20, 10);
  EXPECT_FALSE(paced(lossy, 6, 20, 10, 5, 400)) << "lost packets delay some answers only";
}

TEST(LVector, ANewerTermOutranksAnyNumberOfAnOlderOne) {
  pooler::LVector old(Position{3, 900}), cut(Position{4, 850});
  EXPECT_LT(old, cut);  // 900 was cut back by the promote: a session that saw it is not blocked for ever
  old.raise({4, 10});
  EXPECT_LT(old, cut);
}

TEST(OutlierDetector, TellsOfADatabaseWhenSeveralNodesOfAZoneAgree) {
  std::vector<std::string> told;
  OutlierDetector l([&](const std::string& s) { told.push_back(s); });
  Json report{{"d", Json::array({Json::array({"i-1", 40, 20, 12, 0})})}};
  EXPECT_TRUE(l.report(1000, "north", "n1", report));
  EXPECT_TRUE(l.report(1100, "south", "n2", report));
  EXPECT_TRUE(told.empty()) << "one node of a zone may be at fault itself";
  EXPECT_TRUE(l.report(1200, "north", "n3", report));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_NE(told[0].find("i-1 fails 50% of 80 requests of 2 nodes of north"), std::string::npos) << told[0];
  auto rows = l.databases(1300);
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_EQ(rows[0]["failing_percent"], 50);
  l.expire(1300 + constants::kSightLastsMs);
  ASSERT_EQ(told.size(), 2u);
  EXPECT_TRUE(l.databases(9000).empty());
}

TEST(OutlierDetector, WhatSeveralNodesMetOnceGoesBackToTheirZone) {
  std::vector<std::string> avoided;
  OutlierDetector l(
      [](const std::string&) {},
      [&](const std::string& id, const std::string& zone) { avoided.push_back(id + " " + zone); });
  auto once = [](int asked) { return Json{{"d", Json::array({Json::array({"i-1", asked, 1, 12, 0})})}}; };
  l.report(1000, "north", "n1", once(1));
  l.report(1000, "south", "s1", once(1));
  l.report(1100, "north", "n2", once(1));
  EXPECT_TRUE(avoided.empty()) << "two may have met the same bad link";
  l.report(1200, "north", "n3", once(1));
  EXPECT_EQ(avoided, std::vector<std::string>{"i-1 north"});
  l.report(1300, "north", "n4", once(1));
  EXPECT_EQ(avoided.size(), 1u) << "said once in a while";
  for (const char* n : {"s2", "s3", "s4"}) l.report(1400, "south", n, once(9));
  EXPECT_EQ(avoided.size(), 1u) << "one failure of nine requests is met on any day";
}

TEST(OutlierDetector, DropsFiguresThatCannotBe) {
  OutlierDetector l([](const std::string&) {});
  for (const char* bad :
       {R"({"d":[["i",3,9,1,0]]})", R"({"d":[["i",-1,0,1,0]]})", R"({"d":[["i",1,0,1]]})", R"({"d":{}})",
        R"({"d":[[7,1,0,1,0]]})", R"({"r":[["r",1e99,0,0,0]]})", R"({"r":[["r",99999999999,0,0,0]]})"})
    EXPECT_FALSE(l.report(1000, "z", "n", Json::parse(bad))) << bad;
  EXPECT_TRUE(l.databases(1000).empty());
}

TEST(NodeLeases, CountsLeasesItDoesNotRemember) {
  NodeLeases r(1000);
  EXPECT_EQ(r.acknowledged(1100, 9), 0u) << "leases of a former life may still run";
  Millis later = 1000 + constants::kNodeLeaseMs + constants::kDriftMarginMs;
  EXPECT_EQ(r.acknowledged(later, 9), 9u);
  r.renew(later, "n", "z", 4, true);
  EXPECT_EQ(r.acknowledged(later + 1, 9), 4u);
  r.renew(later + 10, "n", "z", 4, false);  // heard, but no lease was given: the old one runs out
  EXPECT_EQ(r.acknowledged(later + constants::kNodeLeaseMs, 9), 4u);
  EXPECT_EQ(r.acknowledged(later + constants::kNodeLeaseMs + constants::kDriftMarginMs, 9), 9u);
}

}  // namespace
}  // namespace pebblespindle::test
