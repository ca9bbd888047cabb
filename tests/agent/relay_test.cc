// The agent between a proxy and its core: links, lives, and pieces of a feed.
#include "agent/relay.h"

#include <gtest/gtest.h>

#include "config/cluster_state.h"
#include "config/command_validation.h"
#include "config/config_delivery.h"

namespace pebblespindle::test {
namespace {

struct Machine : Relay::Port {
  void send_to_controller(const std::string& line) override { core.push_back(line); }
  void send_to_proxy(const std::string& line) override { proxy.push_back(line); }
  void on_renewal_sent() override {}
  void on_controller_list(const Json&) override {}
  void leave_controller() override { ++left; }
  std::vector<std::string> core, proxy;
  int left = 0;
  Relay relay{*this, "n1", "z1"};
};

std::string piece(std::uint64_t k, int left, const char* key, bool whole = false) {
  Json m{{"t", "up"}, {"k", k}, {"r", {{key, k, "v"}}}};
  if (left >= 0) m["left"] = left;
  if (whole) m["whole"] = true;
  return m.dump();
}

std::set<std::string> keys(const std::string& line) {
  std::set<std::string> out;
  auto rows = decode_rows(Json::parse(line)["r"]);
  for (auto& r : *rows) out.insert(r.key);
  return out;
}

// What answers questions of a proxy's former life (a beat, a renewal, a wish for rights, a position) does not
// reach the one that has come in its place: its link to the core ends with it.
TEST(Relay, AnswersOfAFormerLifeReachNobody) {
  for (bool noticed : {true, false}) {
    Machine m;
    m.relay.on_controller_up();
    m.relay.on_proxy_up();
    m.relay.on_proxy_line(R"({"t":"beat","id":"i-1","calls":4})");
    m.relay.on_proxy_line(R"({"t":"renew","at":5,"ack":0})");
    if (noticed) m.relay.on_proxy_down();
    m.relay.on_proxy_up();
    EXPECT_EQ(m.left, 1);
    EXPECT_NE(m.core.back().find("bye"), std::string::npos) << "the lease of the former life is given back";
    for (auto* t : {"beaten", "grant", "paid", "depth", "tight", "avoid"})
      m.relay.on_controller_line(R"({"t":")" + std::string(t) + R"(","id":"i-1","calls":4,"s":200})");
    m.relay.on_controller_line(piece(3, -1, "a"));
    EXPECT_TRUE(m.proxy.empty()) << m.proxy.front();
    m.core.clear();
    m.relay.on_controller_up();
    EXPECT_EQ(m.core.size(), 1u) << "a renewal of the former life is said again";
    m.relay.on_controller_line(R"({"t":"beaten","id":"i-1","calls":1,"s":200})");
    EXPECT_EQ(m.proxy.size(), 1u);
  }
}

TEST(Relay, AnswersOfAFormerLinkReachNobody) {
  Machine m;
  m.relay.on_proxy_up();
  m.relay.on_controller_up();
  m.relay.on_proxy_line(R"({"t":"renew","at":5,"ack":0})");
  m.relay.on_controller_down();
  m.relay.on_controller_line(R"({"t":"beaten","id":"i-1","calls":4,"s":200})");
  EXPECT_TRUE(m.proxy.empty());
  m.relay.on_proxy_line(R"({"t":"pay","s":"a"})");  // nobody is there to be asked
  m.core.clear();
  m.relay.on_controller_up();
  EXPECT_EQ(m.core.size(), 2u) << "the lease is asked for anew, what was asked of the former core is not";
}

// Pieces count together, and only those of one feed.
TEST(Relay, PiecesOfTwoFeedsAreNeverMixed) {
  Machine m;
  m.relay.on_proxy_up();
  m.relay.on_controller_up();
  m.relay.on_controller_line(piece(9, 2, "a"));
  m.relay.on_controller_line(piece(9, 1, "b"));
  m.relay.on_controller_down();  // between two pieces; the next core stands at the same number
  m.relay.on_controller_up();
  m.relay.on_controller_line(piece(9, 1, "c", true));
  EXPECT_TRUE(m.proxy.empty());
  m.relay.on_controller_line(piece(9, 0, "d", true));
  ASSERT_EQ(m.proxy.size(), 1u);
  EXPECT_EQ(keys(m.proxy[0]), (std::set<std::string>{"c", "d"}));
  const std::vector<std::vector<std::string>> torn = {
      {piece(12, 2, "e"), piece(12, 0, "f")},        // one is missing
      {piece(12, 2, "e"), piece(12, 2, "e")},        // one comes twice
      {piece(12, 2, "e"), piece(13, 1, "f")},        // of another number
      {piece(12, 2, "e"), piece(12, 1, "f", true)},  // of a whole state
      {piece(12, 2, "e"), piece(12, -1, "f")},       // a feed of its own
      {piece(12, 0, "f")},                           // the end of one whose beginning went elsewhere
      {R"({"t":"up","k":12,"r":[["a"]]})"},          // no rows
  };
  for (auto& lines : torn) {
    int before = m.left;
    m.proxy.clear();
    for (auto& l : lines) m.relay.on_controller_line(l);
    EXPECT_EQ(m.left, before + 1) << lines.back();
    EXPECT_TRUE(m.proxy.empty()) << lines.back();
    EXPECT_EQ(m.relay.sequence(), 9u);
    m.relay.on_controller_up();
  }
  m.relay.on_controller_line(piece(12, 1, "g"));
  m.relay.on_controller_line(piece(12, 0, "h"));
  ASSERT_EQ(m.proxy.size(), 1u);
  EXPECT_EQ(keys(m.proxy[0]), (std::set<std::string>{"g", "h"})) << "what was torn has left something behind";
}

// Hundreds of changes, an agent that starts anew, and a core that is behind what the proxy holds: the proxy
// does not go back, and then holds exactly what the core does.
TEST(Relay, ARestartAtACoreThatIsBehindDoesNotGoBack) {
  StateTable ahead, behind;
  auto put = [](StateTable& l, std::uint64_t n) {
    Instance i{{"i-" + std::to_string(n % 90)},
               "s",
               "z",
               {"10.0.0.1", std::uint16_t(n % 900 + 1)},
               4,
               false,
               false,
               n};
    Row r{instance_key(i.id), encode_instance(i), n, n % 3 == 0};
    if (r.deleted) r.value.clear();
    l.put(r);
  };
  for (std::uint64_t n = 1; n <= 700; ++n) {
    put(ahead, n);
    if (n <= 520) put(behind, n);
  }
  ClusterState cluster;
  auto m = std::make_unique<Machine>();
  std::size_t seen = 0;
  auto feed = [&](const StateTable& core) {
    for (auto& line : encode_update_lines(m->relay.sequence(), core.last_sequence(),
                                          core.rows_after(m->relay.sequence()))) {
      m->relay.on_controller_line(std::string_view(line).substr(0, line.size() - 1));
      for (; seen < m->proxy.size(); ++seen) {
        Json u = Json::parse(m->proxy[seen]);
        auto rows = *decode_rows(u["r"]);
        std::uint64_t before = cluster.sequence();
        if (u.value("whole", false)) rows = cluster.diff_to_snapshot(u["k"], std::move(rows));
        cluster.apply(u["k"], rows);
        EXPECT_GE(cluster.sequence(), before);
      }
    }
  };
  auto start = [&] {
    m = std::make_unique<Machine>();
    seen = 0;
    m->relay.on_controller_up();
    m->relay.on_proxy_up();
  };
  auto same = [&](const StateTable& core) {
    std::set<InstanceId> wanted, held;
    core.for_each("i/", [&](const Row& r) { wanted.insert({r.key.substr(2)}); });
    for (auto& [id, i] : cluster.instances()) held.insert(id);
    EXPECT_EQ(held, wanted);
    for (auto& [id, i] : cluster.instances())
      EXPECT_EQ(i.call_count, decode_instance(id, core.find(instance_key(id))->value)->call_count);
  };
  start();
  feed(ahead);
  EXPECT_EQ(cluster.sequence(), 700u);
  same(ahead);
  start();
  feed(behind);  // a whole state of 520
  EXPECT_EQ(m->relay.sequence(), 520u);
  EXPECT_EQ(cluster.sequence(), 700u);
  same(ahead);
  for (std::uint64_t n = 521; n <= 1100; ++n) {
    put(behind, n);
    if (n <= 700 ? n % 40 == 0 : n % 25 == 0) feed(behind);
  }
  feed(behind);
  EXPECT_EQ(cluster.sequence(), 1100u);
  same(behind);
}

}  // namespace
}  // namespace pebblespindle::test
