// A simulated core with machines that hang at it, writers and readers, and what must hold after each step.
#pragma once
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>

#include "agent/constants.h"
#include "agent/state_cache.h"
#include "config/config_delivery.h"
#include "membership/constants.h"
#include "replication/encoded_messages.h"
#include "replication/replica_cluster.h"
#include "replication/timing.h"

namespace pebblespindle::test {

// Seeds of a run: the usual number, or as many as PEBBLESPINDLE_SEEDS asks for, from PEBBLESPINDLE_FIRST_SEED
// on.
inline std::uint32_t wish(const char* name, std::uint32_t usual) {
  const char* text = std::getenv(name);
  return text ? std::uint32_t(std::atol(text)) : usual;
}
template <class F>
void each_seed(std::uint32_t usual, F day) {
  std::uint32_t first = wish("PEBBLESPINDLE_FIRST_SEED", 1), count = wish("PEBBLESPINDLE_SEEDS", usual);
  for (std::uint32_t seed = first; seed < first + count && !testing::Test::HasFailure(); ++seed) day(seed);
}

inline int value_of(const Row* r) {
  return r ? std::stoi(r->value) : 0;
}

// A machine that hangs at a core: holds a lease there and is fed, under the very conditions of the process.
struct Hanger {
  std::string name, core;
  StateCache hold;
  Millis heard = -10000, renewed = 0;
};

// One writer a key, so that no order of it may ever be refused: it builds on what was acknowledged and is
// offered as it was, to any core, until it is.
struct Writer {
  std::string key;
  int value = 0, acked = 0, read = 0;  // read: the newest that a caller has been told
  bool done = true;
  Millis next = 0;
  int floor() const { return std::max(acked, read); }
};

struct FaultyCluster : ReplicaCluster {
  FaultyCluster(std::uint32_t seed, int n, int founders, std::size_t tolerated_losses)
      : ReplicaCluster(seed, n, founders, tolerated_losses) {
    for (int i = 0; i < 3; ++i) writers.push_back({"k" + std::to_string(i), 0, 0, 0, true, 0});
    for (int i = 0; i < 3; ++i) hangers.push_back({"node" + std::to_string(i), "", {}, -10000, 0});
    net.deliver = [this](const std::string& to, const std::string& from, const Json& m) {
      for (auto& x : hangers) {
        if (x.name == to) return hear(x, from, m);
        if (x.name == from) return serve(to, x, m);
      }
      if (m["t"] != "b") stirred = true;  // a beat seats nobody at the one that hears it
      auto c = cores.find(to);
      if (c != cores.end() && c->second && c->second->replica)
        receive_encoded(*c->second->replica, net.now, from, m);
    };
  }
  std::string any() { return hosts[std::size_t(net.pick(int(hosts.size())))]; }
  Millis now() const { return net.now; }

  // What a core does for a machine that hangs at it (Controller::on_agent).
  void serve(const std::string& host, Hanger& x, const Json& m) {
    if (!is_running(host)) return;
    Replica& node = at(host);
    ConfigDelivery& d = links[host][x.name];
    if (m["t"] == "hi") d = {}, d.start(m["have"]);
    if (m["t"] == "got") d.on_chunk_acknowledged();
    if (m["t"] == "renew") {
      bool grant = node.holds_lease(now());
      if (grant) shows_all(node, "a lease");
      if (node.hears_majority(now())) tells_of_today(node);
      net.send(host, x.name, {{"t", grant ? "grant" : "away"}});
    }
    feed(host, x.name, d);
  }
  void feed(const std::string& host, const std::string& to, ConfigDelivery& d) {
    Replica& node = at(host);
    if (!node.holds_lease(now())) return;
    d.send_pending(node.state(), node.committed(), node.may_serve(now()), news[host],
                   [&](const std::string& line) {
                     shows_all(node, "a feed");
                     net.send(host, to, {{"t", "line"}, {"l", line}});
                   });
  }
  // Whatever is handed out holds all that was acknowledged to anyone before.
  void shows_all(Replica& node, const char* what) {
    for (auto& w : writers)
      ASSERT_GE(value_of(node.state().find(w.key)), w.acked)
          << node.self() << " hands out " << what << " that lacks an acknowledged change of " << w.key;
  }
  // A redirect rests on a view that is the newest, or was within the last second.
  void tells_of_today(Replica& node) {
    auto next = decided.upper_bound(node.view().number);
    if (next != decided.end()) {
      ASSERT_LE(now() - next->second, replication::kPeerTimeoutMs + 500)
          << node.self() << " redirects by an old view";
    }
  }
  void hear(Hanger& x, const std::string& from, const Json& m) {
    if (from != x.core) return;
    if (m["t"] == "away") return void(x.core.clear());
    x.heard = now();
    if (m["t"] != "line") return;
    const std::string line = m["l"];
    if (x.hold.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1)).acknowledge)
      net.send(x.name, x.core, {{"t", "got"}});
  }
  void tend(Hanger& x) {
    if (x.core.empty() || now() - x.heard > kControllerTimeoutMs) {
      x.core = any();
      x.heard = now();
      x.hold.on_new_link();
      net.send(x.name, x.core, {{"t", "hi"}, {"have", x.hold.sequence()}});
    }
    net.send(x.name, x.core, {{"t", "renew"}});
  }

  void offer(Writer& w) {
    std::string host = any();
    w.next = now() + 300 + net.pick(800);
    if (!is_running(host)) return;
    if (w.done) ++w.value, w.done = false;
    ++offered;
    Millis asked = now();
    std::string expect = w.acked ? std::to_string(w.acked) : "";
    at(host).submit(asked, {{"key", w.key}, {"expect", expect}, {"value", std::to_string(w.value)}},
                    [this, &w, asked, value = w.value](Status a) {
                      EXPECT_LE(now() - asked, replication::kSubmitTimeoutMs + 20) << "no answer in time";
                      if (a.code() == StatusCode::kNoAnswer) return;
                      ++answered;
                      ASSERT_TRUE(a.is_ok() || w.acked >= value)
                          << w.key << "=" << value << " is refused, with " << w.acked << " in place";
                      if (a.is_ok() && value == w.value) w.acked = value, w.done = true;
                    });
  }
  void ask(Writer& w) {
    std::string host = any();
    if (!is_running(host)) return;
    at(host).read(now(), w.key, [&w, floor = w.floor()](const Result<std::optional<std::string>>& value) {
      if (!value) return;
      int got = *value ? std::stoi(**value) : 0;
      ASSERT_GE(got, floor) << "an older state of " << w.key << " comes back";
      w.read = std::max(w.read, got);
    });
    // A beat that says nothing new is answered on the spot.
    if (at(host).may_serve(now())) shows_all(at(host), "an answer");
  }

  // Two race for a key, each with changes of its own: one that was refused is never in force.
  void race() {
    std::string host = any();
    if (!is_running(host)) return;
    int to = ++raced;
    at(host).submit(now(), {{"key", "race"}, {"expect", race_base()}, {"value", std::to_string(to)}},
                    [this, to](Status a) {
                      if (a.code() == StatusCode::kConflict) refused.insert(to);
                      if (a.is_ok()) taken.insert(to);
                    });
  }
  // What a racer builds on: what is in place, or what another has just sent and hopes for.
  std::string race_base() {
    int base = net.chance(0.4) ? raced - 1 : (taken.empty() ? 0 : *taken.rbegin());
    return base > 0 ? std::to_string(base) : "";
  }

  void step() {
    stirred = false;
    net.step();
    bool beat = net.now % 20 == 0;
    if (beat) {
      for (auto& host : hosts)
        if (is_running(host)) {
          at(host).tick(now());
          if (net.now % 60 == 0)
            for (auto& [name, d] : links[host]) feed(host, name, d);
          auto& v = at(host).view();
          decided.emplace(v.number, now());
        }
      for (auto& x : hangers)
        if (now() >= x.renewed + kNodeRenewalMs) x.renewed = now(), tend(x);
    }
    if (busy) {
      for (auto& w : writers)
        if (now() >= w.next) offer(w), ask(w);
      if (net.now % 200 == 0) race();
    }
    if (stirred || beat) check();
  }
  void go(Millis ms) {
    for (Millis end = now() + ms; now() < end && !testing::Test::HasFailure();) step();
  }
  void check() {
    int heads = 0, tails = 0;
    for (auto& host : hosts) {
      if (!is_running(host)) continue;
      Replica& node = at(host);
      if (node.is_leader(now())) {
        ++heads;
        if (node.self() != last_leader) {
          ASSERT_GT(node.view().term, highest_term) << "a new holder without a higher token";
        }
        last_leader = node.self();
        highest_term = node.view().term;
      }
      tails += node.is_tail() && node.holds_lease(now());
      if (node.all_committed() && node.committed() > checked[host]) {
        checked[host] = node.committed();
        const Row* r = node.state().find("race");
        ASSERT_FALSE(r && refused.count(value_of(r))) << "what was refused is in force: " << r->value;
      }
    }
    ASSERT_LE(heads, 1) << "two cores act as the head";
    ASSERT_LE(tails, 1) << "two cores answer reads";
  }
  Replica& newest() {
    Replica* newest = nullptr;
    for (auto& host : hosts)
      if (is_running(host) && (!newest || at(host).view().number > newest->view().number)) newest = &at(host);
    return *newest;
  }
  // All are in step, vote in full number, and hold what was acknowledged.
  void whole(std::size_t running) {
    auto& v = newest().view();
    EXPECT_EQ(v.voters.size(), std::min(running, 2 * tolerated_losses + 1)) << now();
    for (auto& name : v.voters) {
      std::string host = replication::host_of(name);
      ASSERT_TRUE(is_running(host) && at(host).self() == name) << name << " votes and is gone, at " << now();
      EXPECT_TRUE(v.has_member(name)) << name << " votes and is no member";
    }
    for (auto& m : v.members) {
      Replica& node = at(replication::host_of(m.id));
      EXPECT_TRUE(node.self() == m.id && node.in_sync()) << m.id << " is not in step at " << now();
      shows_all(node, "a place");
    }
  }
  void restart(const std::string& host, Millis pause) {
    stop(host);
    links.erase(host);
    go(pause);
    start(host);
  }

  std::vector<Writer> writers;
  std::vector<Hanger> hangers;
  std::map<std::string, std::map<std::string, ConfigDelivery>> links;
  std::map<std::string, ConfigDelivery::SharedUpdate> news;
  std::map<std::uint64_t, Millis> decided;  // when a view was first known anywhere
  std::map<std::string, std::uint64_t> checked;
  std::set<int> refused, taken;
  int raced = 0, answered = 0, offered = 0;  // offered: to a core that runs
  bool busy = false, stirred = false;
};

}  // namespace pebblespindle::test
