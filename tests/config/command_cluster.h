// Operators' orders and a fleet of cores that judges them, on a simulated network: each answer and each
// committed change is checked against all that came before.
#pragma once
#include <gtest/gtest.h>

#include <memory>

#include "config/applied_changes.h"
#include "config/command_validation.h"
#include "config/state_rows.h"
#include "replication/encoded_messages.h"
#include "replication/replica.h"
#include "replication/simulated_network.h"
#include "storage/memory_storage.h"

namespace pebblespindle::test::orders {

using replication::Replica;

inline std::string whole(std::uint64_t revision, std::uint64_t salt, int routes = 1) {
  Json c{{"Revision", revision},
         {"Routes", Json::array()},
         {"Services", {{{"Name", "s"}}}},
         {"Limits", {{"HeaderTimeoutMs", salt}}}};
  for (int i = 0; i < routes; ++i)
    c["Routes"].push_back({{"Name", "r" + std::to_string(i)},
                           {"Hostname", "h" + std::to_string(i)},
                           {"RouteType", "primary"},
                           {"TimeoutMs", 1000},
                           {"TargetService", "s"}});
  return c.dump();
}

inline std::string change(std::uint64_t revision, std::uint64_t salt) {
  const std::string place = "p" + std::to_string(salt % 5);
  Json upsert{{"Limits", {{"HeaderTimeoutMs", salt}}},
              {"Routes",
               {{{"Name", place},
                 {"Hostname", place},
                 {"RouteType", "primary"},
                 {"TimeoutMs", 1000},
                 {"TargetService", "s"}}}}};
  return Json{{"Revision", revision},
              {"Upsert", upsert},
              {"Remove", {{"Routes", {"p" + std::to_string((salt + 2) % 5)}}}}}
      .dump();
}

struct Order {
  bool patch = false, sound = true;
  std::uint64_t base = 0, revision = 0;
  std::string body;
  Json update() const { return patch ? patch_configuration(base, body) : put_configuration(base, body); }
};

inline Order put(std::uint64_t base, std::uint64_t revision, std::uint64_t salt = 7) {
  return {false, true, base, revision, whole(revision, salt)};
}
inline Order patch(std::uint64_t base, std::uint64_t revision, std::uint64_t salt = 7) {
  return {true, true, base, revision, change(revision, salt)};
}

struct Port;

struct OrderCore : replication::Environment {
  Port& port;
  std::string host;
  MemoryStorage disk;
  std::unique_ptr<Replica> node;
  OrderCore(Port& p, std::string h) : port(p), host(std::move(h)) {}
  void send(const std::string& to, const replication::Message& m) override;
  replication::ValidationResult validate(const StateTable& l, const Json& u) override {
    return validate_command(l, u);
  }
  void on_committed() override;
  void log_event(const std::string&) override {}
};

// The cores, and all that was ever offered to them.
struct Port {
  struct Sent : Order {
    bool acknowledged = false, refused = false, in_force = false;
  };
  explicit Port(std::uint32_t seed, int n = 3, std::size_t bear = 1) : net(seed), losses(bear) {
    for (int i = 0; i < n; ++i) hosts.push_back("core" + std::to_string(i));
    for (auto& h : hosts) start(h, true);
    net.deliver = [this](const std::string& to, const std::string& from, const Json& m) {
      if (up(to)) receive_encoded(*cores[to]->node, net.now, from, m);
    };
  }
  bool up(const std::string& host) { return cores[host]->node != nullptr; }
  Replica& at(const std::string& host) { return *cores[host]->node; }
  void start(const std::string& host, bool bootstrap = false) {
    auto& c = cores[host];
    if (!c) c = std::make_unique<OrderCore>(*this, host);
    c->node =
        std::make_unique<Replica>(replication::ReplicaOptions{host,
                                                              {hosts.begin(), hosts.begin() + 3},
                                                              bootstrap,
                                                              losses,
                                                              std::uint64_t(net.rng()) << 20 | net.rng()},
                                  c->disk, *c, net.now);
  }
  void kill(const std::string& host, bool wipe = false) {
    cores[host]->node.reset();
    net.drop_messages_of(host);
    if (wipe) cores[host]->disk = MemoryStorage();
  }
  void run(Millis ms) {
    for (Millis i = 0; i < ms; ++i) {
      net.step();
      for (auto& h : hosts)
        if (net.now % 20 == 0 && up(h)) at(h).tick(net.now);
      for (auto id : fresh) {  // by now the tail has told of its commit
        ASSERT_TRUE(orders[id].in_force) << "acknowledged and not committed: " << tell(id);
      }
      fresh.clear();
      ASSERT_FALSE(::testing::Test::HasFatalFailure());
    }
  }
  std::string tell(std::size_t id) {
    auto& o = orders[id];
    return std::to_string(id) + (o.patch ? " PATCH " : " PUT ") + std::to_string(o.revision) + " on " +
           std::to_string(o.base);
  }
  std::size_t draw(Order o) {
    orders.push_back({o});
    by_digest[digest_of({o.patch ? ChangeKind::kPatch : ChangeKind::kPut, o.base, o.body})] =
        orders.size() - 1;
    return orders.size() - 1;
  }
  // Each answer of a core is checked here, whether it reaches the operator or not.
  void offer(std::size_t id, const std::string& host, std::function<void(int)> heard = {}) {
    if (!up(host)) return;
    at(host).submit(net.now, orders[id].update(), [this, id, heard = std::move(heard)](Status a) {
      check(id, a);
      if (heard) heard(answer_code(a));
    });
  }
  void check(std::size_t id, const Status& a) {
    auto& o = orders[id];
    if (a.code() == StatusCode::kNoAnswer || a.code() == StatusCode::kUnavailable) return;
    if (a.is_ok()) {
      ASSERT_FALSE(o.refused) << "acknowledged after a refusal: " << tell(id);
      ASSERT_TRUE(o.sound && o.revision > o.base) << "what is invalid is acknowledged: " << tell(id);
      auto [it, first] = successor.emplace(o.base, id);
      ASSERT_TRUE(first || it->second == id)
          << "two on one version: " << tell(id) << ", " << tell(it->second);
      o.acknowledged = true;
      newest = std::max(newest, o.revision);
      fresh.push_back(id);
      return;
    }
    ASSERT_TRUE(a.code() == StatusCode::kConflict || a.code() == StatusCode::kInvalidArgument)
        << answer_code(a);
    ASSERT_FALSE(o.acknowledged || o.in_force)
        << "refused although it was taken: " << tell(id) << ": " << a.message();
    const std::uint64_t current = history.empty() ? 0 : history.back().revision;
    if (a.code() == StatusCode::kConflict) {
      ASSERT_GT(current, o.base) << "a refusal that rests on nothing committed: " << tell(id);
    } else {
      ASSERT_TRUE(!o.sound || o.revision <= o.base) << tell(id) << ": " << a.message();
    }
    o.refused = true;
  }
  // The record of a core whose state is committed: one history, each change on the one before it.
  void look(const StateTable& l) {
    auto top = newest_applied_change(l);
    if (!top) return;
    for (std::uint64_t n = top->index + 1; n-- > 0;) {
      auto t = applied_change_at(l, n);
      ASSERT_TRUE(t);
      if (n < history.size()) {
        ASSERT_EQ(history[n], *t) << "two histories at change " << n;
        break;
      }
      if (n + 1 == top->index + 1) {
        ASSERT_EQ(Json::parse(l.find(kConfigurationHeadKey)->value)[0], t->revision);
      }
    }
    while (history.size() <= top->index) {
      auto t = *applied_change_at(l, history.size());
      ASSERT_EQ(t.base_revision, history.empty() ? 0 : history.back().revision)
          << "a change on another version";
      ASSERT_GT(t.revision, t.base_revision);
      ASSERT_TRUE(by_digest.count(t.digest)) << "nobody offered this";
      auto& o = orders[by_digest[t.digest]];
      ASSERT_FALSE(o.in_force) << "taken twice: " << tell(by_digest[t.digest]);
      ASSERT_FALSE(o.refused) << "refused and in force: " << tell(by_digest[t.digest]);
      o.in_force = true;
      history.push_back(t);
    }
  }

  SimulatedNetwork net;
  std::size_t losses;
  std::vector<std::string> hosts;
  std::map<std::string, std::unique_ptr<OrderCore>> cores;
  std::vector<Sent> orders;
  std::map<std::string, std::size_t> by_digest;
  std::map<std::uint64_t, std::size_t> successor;  // acknowledged, by version
  std::vector<AppliedChange> history;
  std::vector<std::size_t> fresh;
  std::uint64_t newest = 0;  // acknowledged
};

inline void OrderCore::send(const std::string& to, const replication::Message& m) {
  port.net.send(node ? node->self() : host, replication::host_of(to), replication::encode(m));
}
inline void OrderCore::on_committed() {
  if (node && node->all_committed()) port.look(node->state());
}

inline std::string head_of(Port& p) {
  for (auto& h : p.hosts)
    if (p.up(h) && p.at(h).is_leader(p.net.now)) return h;
  return {};
}

}  // namespace pebblespindle::test::orders
