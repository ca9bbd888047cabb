// What must not grow with the fleet: what a change costs a node, and how much it may be behind another's
// word.
#include <gtest/gtest.h>

#include <random>

#include "config/cluster_state.h"
#include "config/command_validation.h"
#include "config/config_delivery.h"
#include "config/constants.h"
#include "membership/position_cache.h"
#include "pooler/freshness.h"

namespace pebblespindle::test {
namespace {

std::string configuration(std::uint64_t revision, int services, int routes, int timeout_of_first = 800) {
  Json c{{"Revision", revision}, {"Routes", Json::array()}, {"Services", Json::array()}};
  for (int i = 0; i < services; ++i) c["Services"].push_back({{"Name", "svc" + std::to_string(i)}});
  for (int i = 0; i < routes; ++i)
    c["Routes"].push_back({{"Name", "r" + std::to_string(i)},
                           {"Hostname", "host" + std::to_string(i)},
                           {"RouteType", i % 2 ? "bounded" : "primary"},
                           {"TimeoutMs", i ? 800 : timeout_of_first},
                           {"stale_ms", 1500},
                           {"TargetService", "svc" + std::to_string(i % services)}});
  return c.dump();
}

struct Core {
  StateTable state;
  void offer(const Json& update) {
    auto v = validate_command(state, update);
    ASSERT_TRUE(v.status.is_ok());
    std::uint64_t n = state.last_sequence() + 1;
    for (auto& r : v.rows) r.sequence = n, state.put(r);
  }
  auto lines(std::uint64_t from) {
    return encode_update_lines(from, state.last_sequence(), state.rows_after(from));
  }
};

// As an agent does: pieces count together, with the last.
void take(ClusterState& cluster, const std::vector<std::string>& lines) {
  std::vector<Row> rows;
  for (auto& line : lines) {
    Json m = Json::parse(line);
    auto piece = decode_rows(m["r"]);
    ASSERT_TRUE(piece);
    rows.insert(rows.end(), piece->begin(), piece->end());
    if (m.value("left", 0) == 0) cluster.apply(m["k"], rows);
  }
}

std::size_t bytes(const std::vector<std::string>& lines) {
  std::size_t n = 0;
  for (auto& l : lines) n += l.size();
  return n;
}

TEST(Fleet, ANodeIsToldWhatAChangeHasChanged) {
  Core core;
  const int databases = 360, services = 120;
  core.offer(put_configuration(0, configuration(1, services, 400)));
  for (int i = 0; i < databases; ++i) {
    Instance in{{"i" + std::to_string(i)},
                "svc" + std::to_string(i % services),
                "z",
                {"10.0.0.1", std::uint16_t(i + 1)},
                4,
                false,
                i < services,
                1};
    core.offer(put_instance(in));
  }
  ClusterState node;
  take(node, core.lines(0));
  EXPECT_EQ(node.instances().size(), std::size_t(databases));
  // One time-out of 400 routes.
  core.offer(put_configuration(1, configuration(2, services, 400, 700)));
  auto small = core.lines(node.sequence());
  EXPECT_LT(bytes(small), 400u);
  take(node, small);
  EXPECT_EQ(node.configuration().revision, 2u);
  EXPECT_EQ(node.route("host0")->timeout_ms, 700);
  // A configuration that grows by 1,400 routes: what is new, in pieces between which a lease can pass.
  core.offer(put_configuration(2, configuration(3, services, 1800, 700)));
  auto grown = core.lines(node.sequence());
  EXPECT_LT(bytes(grown), 1400u * 100u);
  for (auto& piece : grown) EXPECT_LT(piece.size(), 2 * kUpdateChunkBytes);
  EXPECT_GT(grown.size(), 3u);
  take(node, {grown.begin(), grown.end() - 1});
  EXPECT_EQ(node.configuration().revision, 2u) << "a feed that ends midway changes nothing";
  take(node, grown);
  EXPECT_TRUE(node.route("host1799"));
  // And back: what is gone is gone at a node that was there, and unknown to one that starts from nothing.
  core.offer(put_configuration(3, configuration(4, services, 400, 700)));
  take(node, core.lines(node.sequence()));
  EXPECT_FALSE(node.route("host1799"));
  EXPECT_TRUE(node.route("host399"));
  auto whole = core.lines(0);
  EXPECT_LT(bytes(whole), 150000u);
  ClusterState fresh;
  take(fresh, whole);
  EXPECT_FALSE(fresh.route("host1799"));
  EXPECT_EQ(fresh.route("host0")->timeout_ms, 700);
  EXPECT_EQ(core.state.find(kConfigurationKey)->value, configuration(4, services, 400, 700));
}

// Nodes with clocks of their own, messages that take any time and overtake each other: a position that
// another node has met may be thought older than it is, never younger.
TEST(Fleet, APositionFromAnotherNodeIsNeverYoungerThanItIs) {
  std::mt19937 rng(3);
  auto pick = [&](int n) { return Millis(rng() % std::uint32_t(n)); };
  for (int round = 0; round < 200; ++round) {
    const Millis core_clock = pick(100000), a_clock = pick(100000), b_clock = pick(100000);
    PositionCache core;
    pooler::Freshness fresh;      // of B
    std::vector<Millis> commits;  // the time at which number n was acknowledged
    std::multimap<Millis, std::function<void()>> events;
    Millis now = 0, ahead = -1000000;  // true time; the core's clock less A's, as A has heard it
    int answers = 0;
    auto later = [&](int most, std::function<void()> fn) { events.emplace(now + pick(most), std::move(fn)); };
    auto all = [&] {
      commits.push_back(now);
      later(500, [&, c = now + core_clock] { ahead = c - (now + a_clock + 1); });  // a grant to A
      later(300, [&, asked = now + a_clock, p = Position{1, commits.size()}] {  // A's answer of the primary
        later(800, [&, stamp = asked + ahead, p] { (void)core.report(now + core_clock, "s", p, stamp); });
      });
      later(400, [&, at = now + b_clock] {  // B asks the core
        if (auto d = core.find(now + core_clock, "s"))
          later(400, [&, at, d] { fresh.observe(at - d->age, d->position), ++answers; });
      });
    };
    for (Millis t = 0; t < 4000; t += 1 + pick(40)) events.emplace(t, all);
    while (!events.empty()) {
      now = events.begin()->first;
      events.extract(events.begin()).mapped()();
      const Millis stale = 1500;
      auto bound = fresh.bound(now + b_clock, stale);
      auto old = std::count_if(commits.begin(), commits.end(), [&](Millis at) { return at < now - stale; });
      if (bound) {
        ASSERT_GE(bound->number, std::uint64_t(old)) << "a commit that is old enough is missing";
      }
    }
    EXPECT_GT(answers, 10);
  }
}

}  // namespace
}  // namespace pebblespindle::test
