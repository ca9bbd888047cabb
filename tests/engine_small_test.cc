// Single behaviours of the berth's engine, each against databases that a test answers for by hand.
#include <gtest/gtest.h>

#include "berth/engine.h"

namespace pebblespindle::test {
namespace {

using berth::ConnId;
using berth::SessionId;

struct Quay : berth::Port {
  struct Line {
    Endpoint at;
    std::vector<std::string> heard;  // statements not yet answered
    bool open = true;
  };
  explicit Quay(int cap = 16, std::uint64_t lot = 7, const std::string& zone = "z0")
      : engine(*this, timers, zone, 7000, lot) {
    engine.set_time(now);
    config = R"({"Revision":1,"Routes":[
      {"Name":"p","Hostname":"prim","RouteType":"primary","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2},
      {"Name":"b","Hostname":"bound","RouteType":"bounded","TimeoutMs":800,"TargetLatencyMs":100,"TargetService":"s","MaxAttempts":2,"stale_ms":5000}],
      "Services":[{"Name":"s","MaxConnections":)" +
             std::to_string(cap) + "}]}";
  }
  void feed(bool hold = false, const std::string& lead = "db0") {
    std::vector<Row> rows;
    ++number;
    for (auto& [key, value] : configuration_parts(*read_configuration(config).value))
      rows.push_back({key, value, number, false});
    for (int i = 0; i < 3; ++i) {
      Instance in{{"db" + std::to_string(i)},
                  "s",
                  "z" + std::to_string(i),
                  {"10.0.0.1", std::uint16_t(i + 1)},
                  4,
                  false,
                  i == 0,
                  1};
      rows.push_back({instance_key(in.id), in.json().dump(), number, false});
    }
    rows.push_back({lead_key("s"), Lead{{lead}, hold, true, 1, false}.json().dump(), number, false});
    engine.feed(number, rows);
  }
  void lease(Millis ms = 100000, std::size_t members = 1) { engine.lease(now + ms, number, members); }
  void pass(Millis ms) {
    for (Millis end = now + ms; now < end;) {
      engine.set_time(++now);
      timers.run(now);
    }
  }
  void say(SessionId id, const std::string& line) { engine.client_line(id, line); }
  // Greets new connections; answers statements of the core's own kind; leaves the clients' to the test.
  void serve() {
    for (bool more = true; more;) {
      more = false;
      for (auto& [id, l] : lines) {
        if (!l.open || l.heard.empty()) continue;
        std::string s = l.heard.front();
        if (s.starts_with("CONNECT")) {
          l.heard.erase(l.heard.begin());
          engine.server_line(id, "IDLE I 1.1");
        } else if (s.starts_with("QUERY - ")) {
          l.heard.erase(l.heard.begin());
          engine.server_line(id, "COMPLETE -");
          engine.server_line(id, s.find("BEGIN") == std::string::npos ? "IDLE I 1.1" : "IDLE T 1.1");
        } else {
          continue;
        }
        more = true;
        break;
      }
    }
  }
  // Answers the first client's statement that waits at a database; its port tells which. 0: none waits.
  int answer(const std::string& body) {
    serve();
    for (auto& [id, l] : lines)
      if (l.open && !l.heard.empty()) {
        int port = l.at.port;
        l.heard.erase(l.heard.begin());
        engine.server_line(id, body);
        engine.server_line(id, "IDLE I 1.2");
        serve();
        return port;
      }
    return 0;
  }
  std::size_t open_lines() const {
    return std::size_t(std::count_if(lines.begin(), lines.end(), [](auto& l) { return l.second.open; }));
  }

  void to_client(SessionId id, std::string bytes) override { told[id] += bytes; }
  void end_client(SessionId id) override { ended.insert(id); }
  void open_server(ConnId id, const Endpoint& at) override {
    lines[id].at = at;
    timers.at(now, [this, id] {
      if (lines[id].open) engine.server_up(id);
    });
    pass(1);
  }
  void to_server(ConnId id, std::string bytes) override {
    lines[id].heard.push_back(bytes.substr(0, bytes.find("\r\n")));
  }
  void close_server(ConnId id, bool) override { lines[id].open = false; }
  void suspect(const InstanceId&, Trouble) override {}
  void full(const InstanceId&) override {}
  void pay(const std::string&, tally::Rights) override {}
  void sound(const std::string& service) override { asked_depth.push_back(service); }
  void slow(const InstanceId&) override {}
  void cleared(const InstanceId&) override {}

  Timers timers;
  Millis now = 10000;
  std::uint64_t number = 0;
  std::string config;
  std::vector<std::string> asked_depth;
  berth::Engine engine;
  std::map<ConnId, Line> lines;
  std::map<SessionId, std::string> told;
  std::set<SessionId> ended;
};

TEST(Engine, SessionsWaitForTheFirstFeedAndLease) {
  Quay q;
  q.engine.client_open(1);
  q.say(1, "CONNECT prim a");
  EXPECT_EQ(q.told[1], "") << "a database may exist that is not known yet";
  q.feed();
  EXPECT_EQ(q.told[1], "");
  q.lease();
  EXPECT_EQ(q.told[1], "IDLE I -\r\n");
  Quay late;
  late.engine.client_open(1);
  late.say(1, "CONNECT prim a");
  late.pass(constants::kFirstFeedMs + 1);
  EXPECT_TRUE(late.told[1].starts_with("STMTERR THROTTLED")) << late.told[1];
  EXPECT_TRUE(late.ended.count(1));
}

TEST(Engine, ASessionThatWaitedForALeaseIsGreetedOnce) {
  Quay q;
  q.engine.client_open(1);
  q.say(1, "CONNECT prim a");
  q.feed();
  q.pass(constants::kFirstFeedMs + 1);  // the lease is late: the session is greeted without it
  EXPECT_EQ(q.told[1], "IDLE I -\r\n");
  q.lease();
  EXPECT_EQ(q.told[1], "IDLE I -\r\n") << "an answer to nothing";
}

TEST(Engine, ACommitThatIsAnsweredAfterTheSuspensionIsNotPassedOnAsKept) {
  Quay q;
  q.feed();
  q.lease();
  q.engine.client_open(1);
  q.say(1, "CONNECT prim a");
  q.say(1, "QUERY x1 STORE k v");
  q.serve();
  q.told[1].clear();
  q.feed(true);  // suspended while the write runs
  q.lease();
  EXPECT_LT(q.engine.acknowledged(), q.number) << "running work may end for a moment";
  q.pass(constants::kSwitchDrainMs + 1);
  EXPECT_EQ(q.engine.acknowledged(), q.number);
  EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
  EXPECT_TRUE(q.told[1].starts_with("STMTERR UNKNOWN")) << q.told[1];
}

TEST(Engine, ANodeWhoseLeaseHasEndedSendsItsClientsElsewhere) {
  Quay q;
  q.feed();
  q.lease(1000);
  for (SessionId id : {1, 2}) {
    q.engine.client_open(id);
    q.say(id, "CONNECT prim a");
  }
  EXPECT_TRUE(q.engine.ready());
  q.pass(1001);
  q.say(1, "QUERY x1 FETCH k");
  q.pass(100);
  EXPECT_NE(q.told[1].find("STMTERR THROTTLED"), std::string::npos);
  EXPECT_TRUE(q.ended.count(1)) << "it can be served nowhere but at another node";
  q.pass(constants::kUnleasedReadyMs);
  EXPECT_FALSE(q.engine.ready());
  q.engine.shed_idle();
  EXPECT_TRUE(q.ended.count(2));
  q.lease();
  EXPECT_TRUE(q.engine.ready());
}

TEST(Engine, WhereConnectionsAreScarceEachNodeKeepsOneUntilOneIsTurnedAway) {
  for (bool scarce : {false, true}) {
    Quay q(50);
    q.feed();
    q.lease(100000, scarce ? 60 : 4);
    for (SessionId id : {1, 2}) {
      q.engine.client_open(id);
      q.say(id, "CONNECT prim a");
      q.say(id, "QUERY x FETCH k");
    }
    EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
    EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
    EXPECT_EQ(q.open_lines(), scarce ? 1u : 2u);
    q.pass(constants::kShedStepMs);
    q.engine.shed_idle();
    EXPECT_EQ(q.open_lines(), scarce ? 1u : 2u);
  }
  double kept = 0;  // of one that has turned a connection away, by 200 nodes
  for (std::uint64_t lot = 0; lot < 200; ++lot) {
    Quay q(50, lot * 7919);
    q.feed();
    q.lease(100000, 60);
    q.engine.client_open(1);
    q.say(1, "CONNECT prim a");
    q.say(1, "QUERY x FETCH k");
    EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
    q.engine.tight({"db0"});
    q.engine.shed_idle();
    kept += double(q.open_lines());
  }
  EXPECT_NEAR(kept / 200, constants::kKeptShare * 46 / 60, 0.1);
}

// A node that has not asked a service of late asks its core how far the primary stands, so that a replica at
// home can serve the read; it is asked once, and not waited for when nothing comes.
TEST(Engine, AReadWithoutAPositionAsksTheCoreAndGoesToTheReplicaAtHome) {
  for (bool answered : {true, false}) {
    Quay q;
    q.feed(false, "db1");  // the lead is elsewhere, db0 is the replica at home
    q.lease();
    q.engine.hear_clock(5, 70000);
    q.engine.client_open(1);
    q.say(1, "CONNECT bound a");
    auto read = [&] {
      q.say(1, "QUERY a FETCH k");
      answered ? q.engine.sounded("s", q.now - 900, Position{1, 2}) : q.pass(constants::kSoundMs);
      return q.answer("COMPLETE 7.1");
    };
    EXPECT_EQ(read(), answered ? 1 : 2);
    EXPECT_EQ(q.asked_depth.size(), 1u);
    if (!answered) continue;
    q.engine.avoid({"db0"});  // its zone finds it failing
    EXPECT_NE(read(), 1);
    q.pass(constants::kAvoidToldMs);
    EXPECT_EQ(read(), 1) << "it is tried again";
  }
}

TEST(Engine, ReadsLeaveAPrimaryThatHasMoreCallersThanPlaces) {
  for (bool tight : {false, true}) {
    Quay q(16, 7, "z9");  // no database at home
    q.feed();
    q.lease();
    q.engine.hear_clock(5, 70000);
    if (tight) q.engine.tight({"db0"});
    q.engine.client_open(1);
    q.say(1, "CONNECT bound a");
    q.say(1, "QUERY a FETCH k");
    if (tight) q.engine.sounded("s", q.now - 900, Position{1, 1});
    EXPECT_EQ(q.answer("COMPLETE 7.1") == 1, !tight);
  }
}

TEST(Engine, ReadsLeaveADatabaseThatFailsThem) {
  Quay q;
  q.feed();
  q.lease();
  q.engine.client_open(1);
  q.say(1, "CONNECT bound a");
  q.say(1, "QUERY a FETCH k");  // nothing is known of the primary's position yet: it is asked
  EXPECT_EQ(q.answer("COMPLETE 7.1"), 1);
  std::map<int, int> failed;
  for (int i = 0; i < 12; ++i) {
    q.say(1, "QUERY b FETCH k");
    int port = q.answer("STMTERR EXECFAILED");
    ++failed[port];
    int other = q.answer("COMPLETE 7.1");
    EXPECT_NE(other, port) << "tried again where it failed";
  }
  EXPECT_GT(failed.size(), 1u) << "all reads went on to the database that fails";
  Json sights = q.engine.take_sights();
  ASSERT_FALSE(sights.is_null());
  EXPECT_GE(sights["d"].size(), 1u);
}

// Behind the change that its lease names, or without a lease, a node cannot tell a route that is missing from
// one it has not heard of.
TEST(Engine, ARouteNotHeardOfIsNotDenied) {
  Quay q;
  q.feed();
  q.lease();
  auto ask = [&](SessionId id) {
    q.engine.client_open(id);
    q.say(id, "CONNECT elsewhere u1");
    return q.told[id];
  };
  EXPECT_NE(ask(1).find("NODATABASE"), std::string::npos);
  q.engine.lease(q.now + 100000, q.number + 1, 1);
  EXPECT_NE(ask(2).find("THROTTLED"), std::string::npos);
  q.feed();
  EXPECT_NE(ask(3).find("NODATABASE"), std::string::npos);
}

}  // namespace
}  // namespace pebblespindle::test
