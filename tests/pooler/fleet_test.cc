// Checks that the size of an update depends on the change and not on the number of nodes, routes and
// databases, and that a position reported by another node is never taken for newer than it is.
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
  Json config{{"Revision", revision}, {"Routes", Json::array()}, {"Services", Json::array()}};
  for (int i = 0; i < services; ++i) config["Services"].push_back({{"Name", "svc" + std::to_string(i)}});
  for (int i = 0; i < routes; ++i)
    config["Routes"].push_back({{"Name", "r" + std::to_string(i)},
                                {"Hostname", "host" + std::to_string(i)},
                                {"RouteType", i % 2 ? "bounded" : "primary"},
                                {"TimeoutMs", i ? 800 : timeout_of_first},
                                {"stale_ms", 1500},
                                {"TargetService", "svc" + std::to_string(i % services)}});
  return config.dump();
}

struct Controller {
  StateTable state;
  void offer(const Json& update) {
    auto validated = validate_command(state, update);
    ASSERT_TRUE(validated.status.is_ok());
    std::uint64_t sequence = state.last_sequence() + 1;
    for (auto& row : validated.rows) row.sequence = sequence, state.put(row);
  }
  auto lines(std::uint64_t from) {
    return encode_update_lines(from, state.last_sequence(), state.rows_after(from));
  }
};

// Applies the pieces of an update together once the last has arrived, as an agent does.
void apply_lines(ClusterState& cluster, const std::vector<std::string>& lines) {
  std::vector<Row> rows;
  for (auto& line : lines) {
    Json message = Json::parse(line);
    auto piece = decode_rows(message["r"]);
    ASSERT_TRUE(piece);
    rows.insert(rows.end(), piece->begin(), piece->end());
    if (message.value("left", 0) == 0) cluster.apply(message["k"], rows);
  }
}

std::size_t total_bytes(const std::vector<std::string>& lines) {
  std::size_t total = 0;
  for (auto& line : lines) total += line.size();
  return total;
}

TEST(Fleet, ANodeReceivesOnlyTheRowsThatChanged) {
  Controller controller;
  const int databases = 360, services = 120;
  controller.offer(put_configuration(0, configuration(1, services, 400)));
  for (int i = 0; i < databases; ++i) {
    Instance instance{{"i" + std::to_string(i)},
                      "svc" + std::to_string(i % services),
                      "z",
                      {"10.0.0.1", std::uint16_t(i + 1)},
                      4,
                      false,
                      i < services,
                      1};
    controller.offer(put_instance(instance));
  }
  ClusterState node;
  apply_lines(node, controller.lines(0));
  EXPECT_EQ(node.instances().size(), std::size_t(databases));
  // Changes the timeout of one of 400 routes.
  controller.offer(put_configuration(1, configuration(2, services, 400, 700)));
  auto small = controller.lines(node.sequence());
  EXPECT_LT(total_bytes(small), 400u);
  apply_lines(node, small);
  EXPECT_EQ(node.configuration().revision, 2u);
  EXPECT_EQ(node.route("host0")->timeout_ms, 700);
  // Adds 1,400 routes. Only these are sent, in pieces between which a lease renewal can be sent.
  controller.offer(put_configuration(2, configuration(3, services, 1800, 700)));
  auto grown = controller.lines(node.sequence());
  EXPECT_LT(total_bytes(grown), 1400u * 100u);
  for (auto& piece : grown) EXPECT_LT(piece.size(), 2 * kUpdateChunkBytes);
  EXPECT_GT(grown.size(), 3u);
  apply_lines(node, {grown.begin(), grown.end() - 1});
  EXPECT_EQ(node.configuration().revision, 2u) << "an update whose last piece is missing must change nothing";
  apply_lines(node, grown);
  EXPECT_TRUE(node.route("host1799"));
  // Removes them again: a node that had the routes drops them, and one that starts empty never receives them.
  controller.offer(put_configuration(3, configuration(4, services, 400, 700)));
  apply_lines(node, controller.lines(node.sequence()));
  EXPECT_FALSE(node.route("host1799"));
  EXPECT_TRUE(node.route("host399"));
  auto whole = controller.lines(0);
  EXPECT_LT(total_bytes(whole), 150000u);
  ClusterState fresh;
  apply_lines(fresh, whole);
  EXPECT_FALSE(fresh.route("host1799"));
  EXPECT_EQ(fresh.route("host0")->timeout_ms, 700);
  EXPECT_EQ(controller.state.find(kConfigurationKey)->value, configuration(4, services, 400, 700));
}

// The clocks of the nodes differ, and messages are delayed and reordered. A node may take a position that
// another node has read for older than it is, but never for newer: a bounded read would then miss commits
// that are old enough.
TEST(Fleet, APositionFromAnotherNodeIsNeverYoungerThanItIs) {
  std::mt19937 rng(3);
  auto pick = [&](int n) { return Millis(rng() % std::uint32_t(n)); };
  for (int round = 0; round < 200; ++round) {
    const Millis controller_clock = pick(100000), a_clock = pick(100000), b_clock = pick(100000);
    PositionCache position_cache;
    pooler::Freshness freshness;  // of node B
    std::vector<Millis> commits;  // the time at which each number was acknowledged, from 1
    std::multimap<Millis, std::function<void()>> events;
    Millis now = 0, clock_offset = -1000000;  // true time; controller's clock minus A's, as A estimates it
    int answers = 0;
    auto later = [&](int max_delay, std::function<void()> fn) {
      events.emplace(now + pick(max_delay), std::move(fn));
    };
    auto commit_and_report = [&] {
      commits.push_back(now);
      later(500, [&, granted = now + controller_clock] {
        clock_offset = granted - (now + a_clock + 1);
      });  // a grant to A
      later(300,
            [&, asked = now + a_clock, position = Position{1, commits.size()}] {  // the primary's answer to A
              later(800, [&, stamp = asked + clock_offset, position] {
                (void)position_cache.report(now + controller_clock, "s", position, stamp);
              });
            });
      later(400, [&, at = now + b_clock] {  // B asks the controller
        if (auto found = position_cache.find(now + controller_clock, "s"))
          later(400, [&, at, found] { freshness.observe(at - found->age, found->position), ++answers; });
      });
    };
    for (Millis time = 0; time < 4000; time += 1 + pick(40)) events.emplace(time, commit_and_report);
    while (!events.empty()) {
      now = events.begin()->first;
      events.extract(events.begin()).mapped()();
      const Millis stale = 1500;
      auto bound = freshness.bound(now + b_clock, stale);
      auto old_commits =
          std::count_if(commits.begin(), commits.end(), [&](Millis at) { return at < now - stale; });
      if (bound) {
        ASSERT_GE(bound->number, std::uint64_t(old_commits))
            << "the bound misses a commit older than the allowed staleness";
      }
    }
    EXPECT_GT(answers, 10);
  }
}

}  // namespace
}  // namespace pebblespindle::test
