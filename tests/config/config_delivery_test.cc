// The whole way of a configuration: operators that race and repeat themselves, cores, agents and proxies as
// the same code on a simulated network, single processes killed at any moment. After each step CONFIG is
// checked.
#include "config/config_delivery.h"

#include <gtest/gtest.h>

#include <memory>

#include "agent/state_cache.h"
#include "config/cluster_state.h"
#include "config/command_validation.h"
#include "config/configuration_reader.h"
#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "replication/simulated_network.h"
#include "storage/memory_storage.h"

namespace pebblespindle::test {
namespace {

using replication::Replica;

std::string body_of(std::uint64_t revision, std::uint64_t salt, int routes) {
  Json c{{"Revision", revision}, {"Routes", Json::array()}, {"Services", {{{"Name", "s"}}}}};
  for (int i = 0; i < routes; ++i)
    c["Routes"].push_back({{"Name", std::string(600, 'r') + std::to_string(i)},  // so that it takes pieces
                           {"Hostname", "h" + std::to_string((salt + std::uint64_t(i)) % 40)},
                           {"RouteType", "primary"},
                           {"TimeoutMs", 100 + salt},
                           {"TargetService", "s"}});
  return c.dump();
}

struct Way;

struct Core : replication::Environment {
  Way& way;
  std::string host;
  MemoryStorage disk;
  std::unique_ptr<Replica> node;
  ConfigDelivery::SharedUpdate news;
  struct Link {
    std::uint64_t epoch = 0;
    ConfigDelivery delivery;
  };
  std::map<std::string, Link> links;  // by agent
  Core(Way& w, std::string h) : way(w), host(std::move(h)) {}
  void send(const std::string& to, const replication::Message& m) override;
  replication::ValidationResult validate(const StateTable& l, const Json& u) override {
    return validate_command(l, u);
  }
  void on_committed() override { feed(); }
  void log_event(const std::string&) override {}
  void feed();
};

// A machine: the agent's hold and the proxy's cluster, each with a life of its own.
struct Machine {
  std::string name, core;
  std::uint64_t epoch = 0;
  StateCache hold;
  ClusterState cluster;
  std::uint64_t revision = 0;  // the newest seen in this life of the proxy
  bool fed = false;            // the proxy's link to the agent is up
  std::uint64_t checked = 0;
  void hand_on(const std::string& line) {
    if (!fed || line.empty()) return;
    Json m = Json::parse(line);
    auto rows = *decode_rows(m["r"]);
    std::uint64_t k = m["k"];
    if (m.value("whole", false)) rows = cluster.diff_to_snapshot(k, std::move(rows));
    cluster.apply(k, rows);
  }
};

struct Way {
  explicit Way(std::uint32_t seed) : net(seed) {
    for (int i = 0; i < 5; ++i) hosts.push_back("core" + std::to_string(i));
    for (auto& h : hosts) start(h, true);
    for (int i = 0; i < 3; ++i) machines.push_back({"m" + std::to_string(i), "", 0, {}, {}, 0, true, 0});
    net.deliver = [this](const std::string& to, const std::string& from, const Json& m) {
      take(to, from, m);
    };
  }
  void start(const std::string& host, bool bootstrap = false) {
    auto& c = cores[host];
    if (!c) c = std::make_unique<Core>(*this, host);
    c->links.clear();
    c->node = std::make_unique<Replica>(
        replication::ReplicaOptions{
            host, {"core0", "core1", "core2"}, bootstrap, 2, std::uint64_t(net.rng()) << 20 | net.rng()},
        c->disk, *c, net.now);
  }
  void take(const std::string& to, const std::string& from, const Json& m) {
    auto c = cores.find(to);
    if (c != cores.end()) {
      Core& core = *c->second;
      if (!core.node) return;
      const std::string t = m.value("t", "");
      if (t == "hi") {
        core.links[from] = {m["e"], {}};
        core.links[from].delivery.start(m["have"]);
      } else if (t == "got") {
        if (core.links.count(from) && core.links[from].epoch == m["e"])
          core.links[from].delivery.on_chunk_acknowledged();
      } else {
        return receive_encoded(*core.node, net.now, from, m);
      }
      return core.feed();
    }
    for (auto& x : machines) {
      if (x.name != to || m["e"] != x.epoch) continue;
      const std::string line = m["line"];
      auto taken = x.hold.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1));
      if (taken.acknowledge) net.send(x.name, x.core, {{"t", "got"}, {"e", x.epoch}});
      x.hand_on(taken.forward);
    }
  }
  // The agent turns to a core that has a place, with a new link.
  void link(Machine& x) {
    auto& host = hosts[std::size_t(net.pick(int(hosts.size())))];
    auto& c = cores[host];
    if (!c->node || !c->node->holds_lease(net.now)) return;
    x.core = host;
    ++x.epoch;
    x.hold.on_new_link();
    net.send(x.name, host, {{"t", "hi"}, {"e", x.epoch}, {"have", x.hold.sequence()}});
  }
  void check() {
    for (auto& x : machines) {
      if (!x.cluster.has_configuration() || x.cluster.sequence() == x.checked) continue;
      x.checked = x.cluster.sequence();
      const std::uint64_t r = x.cluster.configuration().revision;
      ASSERT_GE(r, x.revision) << x.name << " goes back";
      x.revision = r;
      ASSERT_TRUE(bodies.count(r));
      auto wanted = read_configuration(bodies[r]);
      std::size_t held = 0;
      for (int i = 0; i < 40; ++i) {
        auto route = x.cluster.route("h" + std::to_string(i));
        auto w = std::find_if(wanted->routes.begin(), wanted->routes.end(),
                              [&](auto& e) { return e.second.hostname == "h" + std::to_string(i); });
        ASSERT_EQ(bool(route), w != wanted->routes.end())
            << x.name << " at " << r << ": route h" << i << (route ? " was dropped" : " was added");
        if (route) {
          ASSERT_EQ(route->timeout_ms, w->second.timeout_ms);
        }
        held += bool(route);
      }
      ASSERT_EQ(held, wanted->routes.size());
      ASSERT_FALSE(refused.count(r)) << "what was refused is in force";
    }
  }
  void run(Millis ms) {
    for (Millis i = 0; i < ms; ++i) {
      net.step();
      for (auto& h : hosts)
        if (cores[h]->node && net.now % 20 == 0) cores[h]->node->tick(net.now), cores[h]->feed();
      for (auto& x : machines) {
        auto c = cores.find(x.core);
        bool lost = c == cores.end() || !c->second->node || !c->second->links.count(x.name);
        if (net.now % 300 == 0 && (lost || !c->second->node->holds_lease(net.now))) link(x);
      }
      ASSERT_NO_FATAL_FAILURE(check());
    }
  }
  SimulatedNetwork net;
  std::vector<std::string> hosts;
  std::map<std::string, std::unique_ptr<Core>> cores;
  std::vector<Machine> machines;
  std::map<std::uint64_t, std::string> bodies;  // all that were ever sent, by Revision
  std::set<std::uint64_t> refused;              // whose operator was told no
};

void Core::send(const std::string& to, const replication::Message& m) {
  way.net.send(node ? node->self() : host, replication::host_of(to), replication::encode(m));
}
void Core::feed() {
  if (!node) return;
  for (auto& [name, l] : links)
    l.delivery.send_pending(node->state(), node->committed(), node->all_committed(), news,
                            [&, name = name, epoch = l.epoch](const std::string& line) {
                              way.net.send(host, name, {{"e", epoch}, {"line", line}});
                            });
}

// An operator: offers one change until it is answered clearly, each time at any core, as it was.
struct Operator {
  std::uint64_t base = 0, revision = 0;
  bool done = true;
  int status = 0;
  Millis next = 0;
};

void day(std::uint32_t seed) {
  SCOPED_TRACE(seed);
  Way w(seed);
  w.run(3000);
  std::uint64_t newest = 0, acked = 0, top = 0;
  Operator ops[2];
  auto offer = [&](Operator& o) {
    auto& c = w.cores[w.hosts[std::size_t(w.net.pick(5))]];
    o.next = w.net.now + 400 + w.net.pick(900);
    if (!c->node) return;
    c->node->submit(w.net.now, put_configuration(o.base, w.bodies[o.revision]),
                    [&o, rev = o.revision](Status a) {
                      if (o.revision == rev && !o.done && a.code() != StatusCode::kNoAnswer)
                        o.done = true, o.status = answer_code(a);
                    });
  };
  std::map<std::uint64_t, std::uint64_t> taken_on;  // by base: the change that was acknowledged
  for (int step = 0; step < 400; ++step) {
    for (auto& o : ops) {
      if (o.done && o.revision) {
        if (o.status == 200) {
          auto [it, fresh] = taken_on.emplace(o.base, o.revision);
          ASSERT_TRUE(fresh || it->second == o.revision) << "two changes on one base";
          acked = std::max(acked, o.revision);
          newest = std::max(newest, o.revision);
        } else {
          w.refused.insert(o.revision);
        }
        o.revision = 0;
      }
      if (!o.revision && w.net.chance(0.3)) {
        for (auto& m : w.machines) newest = std::max(newest, m.cluster.configuration().revision);
        o = {newest, top += 1 + std::uint64_t(w.net.pick(3)), false, 0, 0};
        w.bodies[o.revision] =
            body_of(o.revision, o.revision * 7, w.net.chance(0.2) ? 30 : 3 + w.net.pick(9));
      }
      if (o.revision && !o.done && w.net.now >= o.next) offer(o);
    }
    auto& m = w.machines[std::size_t(w.net.pick(3))];
    auto& host = w.hosts[std::size_t(w.net.pick(5))];
    switch (w.net.pick(14)) {
      case 0:  // the agent alone is killed: the proxy lives on
        m.hold = StateCache();
        m.core.clear();
        ++m.epoch;
        if (m.fed && w.net.chance(0.7)) m.hand_on(m.hold.sequence() ? m.hold.encode_whole_state() : "");
        break;
      case 1:  // the proxy alone
        m.cluster = ClusterState();
        m.revision = m.checked = 0;
        if (m.hold.sequence()) m.hand_on(m.hold.encode_whole_state());
        break;
      case 2:  // the link is reset, perhaps between two pieces
        w.link(m);
        break;
      case 3: {  // a core straight back, or put out
        if (!w.cores[host]->node) break;
        w.cores[host]->node.reset();
        w.net.drop_messages_of(host);
        w.run(w.net.chance(0.6) ? w.net.pick(200) : 1500 + w.net.pick(1500));
        w.start(host);
        break;
      }
      case 4: {  // a core loses touch with the others; nodes still reach it
        for (auto& other : w.hosts)
          if (other != host)
            w.net.blocked_links.insert({host, other}), w.net.blocked_links.insert({other, host});
        ASSERT_NO_FATAL_FAILURE(w.run(300 + w.net.pick(2000)));
        w.net.blocked_links.clear();
        break;
      }
      default:
        break;
    }
    ASSERT_NO_FATAL_FAILURE(w.run(20 + w.net.pick(120)));
  }
  w.run(4000);
  for (auto& m : w.machines) {
    if (m.core.empty()) w.link(m);
    ASSERT_GE(m.cluster.configuration().revision, acked)
        << m.name << " has not heard of what was acknowledged";
  }
  EXPECT_GT(acked, 20u) << "a day without changes shows nothing";
}

TEST(ConfigDelivery, ConfigurationsHoldWhileAnySingleProcessDies) {
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    day(seed);
    if (HasFatalFailure()) return;
  }
}

// An agent that starts anew is fed from nothing; the proxy that lived on must lose what is gone.
TEST(ConfigDelivery, AWholeStateReplacesWhatAProxyHolds) {
  StateTable core;
  auto offer = [&](const Json& u) {
    auto v = validate_command(core, u);
    std::uint64_t n = core.last_sequence() + 1;
    for (auto& r : v.rows) r.sequence = n, core.put(r);
    EXPECT_TRUE(v.status.is_ok());
  };
  Machine m{"m", "", 0, {}, {}, 0, true, 0};
  auto feed = [&] {
    for (auto& line :
         encode_update_lines(m.hold.sequence(), core.last_sequence(), core.rows_after(m.hold.sequence())))
      m.hand_on(m.hold.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1)).forward);
  };
  offer(put_configuration(0, body_of(1, 0, 5)));
  Instance i{{"i-1"}, "s", "z", {"10.0.0.1", 1}, 4, false, true, 1};
  offer(put_instance(i));
  feed();
  ASSERT_TRUE(m.cluster.route("h4") && m.cluster.instance({"i-1"}));
  m.hold = StateCache();
  offer(put_configuration(1, body_of(2, 0, 3)));
  offer(remove_instance({"i-1"}));
  feed();
  EXPECT_FALSE(m.cluster.route("h4")) << "a dropped route lives on";
  EXPECT_TRUE(m.cluster.route("h2"));
  EXPECT_FALSE(m.cluster.instance({"i-1"})) << "a database that has left lives on";
  EXPECT_TRUE(m.cluster.instances_of("s").empty());
}

// AppliedChange, replaced, and offered again by one who has not heard: it was taken.
TEST(ConfigDelivery, AConfigurationThatWasReplacedIsStillKnownAsTaken) {
  StateTable core;
  auto offer = [&](std::uint64_t base, std::uint64_t revision) {
    auto v = validate_command(core, put_configuration(base, body_of(revision, revision, 2)));
    std::uint64_t n = core.last_sequence() + 1;
    for (auto& r : v.rows) r.sequence = n, core.put(r);
    return answer_code(v.status);
  };
  EXPECT_EQ(offer(0, 1), 200);
  EXPECT_EQ(offer(1, 4), 200);
  EXPECT_EQ(offer(1, 3), 412) << "it lost the race";
  EXPECT_EQ(offer(0, 1), 200);
  std::uint64_t stored = core.last_sequence();
  EXPECT_EQ(offer(0, 1), 200);
  EXPECT_EQ(core.last_sequence(), stored) << "it changes nothing";
  for (std::uint64_t r = 5; r < 305; ++r) ASSERT_EQ(offer(r - 1, r), 200);
  EXPECT_EQ(offer(0, 1), 200) << "also after hundreds of others";
  EXPECT_EQ(offer(1, 3), 412);
}

// A piece that comes too late to count is told of all the same: the core waits for that with the next.
TEST(ConfigDelivery, EveryPieceIsToldOf) {
  StateCache h;
  auto up = [&](std::uint64_t k, int left, const char* key) {
    Json m{{"t", "up"}, {"k", k}, {"r", {{key, k, "v"}}}};
    if (left >= 0) m["left"] = left;
    return h.apply(m, m.dump());
  };
  EXPECT_FALSE(up(7, -1, "a").forward.empty());
  EXPECT_TRUE(up(5, 1, "b").acknowledge);
  auto last = up(5, 0, "c");
  EXPECT_TRUE(last.acknowledge);
  EXPECT_TRUE(last.forward.empty()) << "never back";
  EXPECT_TRUE(up(9, 1, "d").acknowledge);
  h.on_new_link();
  auto alone = up(9, 0, "e");
  EXPECT_EQ(alone.forward.find("\"d\""), std::string::npos) << "a piece of a link that ended";
}

}  // namespace
}  // namespace pebblespindle::test
