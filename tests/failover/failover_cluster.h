// Model databases of one service, the platform and the holders of the failover duty, on simulated time.
// After each step the log of whoever leads the newest term holds all that was acknowledged.
#pragma once
#include <gtest/gtest.h>

#include <random>

#include "config/command_validation.h"
#include "failover/constants.h"
#include "failover/failover.h"
#include "replication/simulated_network.h"

namespace pebblespindle::test {

using failover::DatabaseReply;
using failover::Failover;
using failover::PromoteOutcome;

constexpr Millis kDrainMs = 7000;

struct Sea {
  struct Db {
    bool up = true, dark = false, primary = false, draining = false, deaf = false;
    bool full = false, ended = false;  // no place for another connection; ended for good
    Millis reset_at = 0;               // resets strike at a moment, and not the next connection as well
    std::uint64_t term = 1, held = 0, told = 0;  // told: the term in its last answer
    Position received{1, 0};
    std::string followed_by;  // the ID under which its address answers now; empty: none
  };
  explicit Sea(std::uint32_t seed, int count = 3) : rng(seed) {
    state.put({kConfigurationHeadKey, "[1,3000]", 1, false});
    state.put({kServicePrefix + "s", "[16,1]", 1, false});
    for (int i = 0; i < count; ++i) tell(i, i == 0);
    dbs["db0"].primary = true;
    fresh_holder();
  }
  Instance instance(const std::string& name) {
    Instance in;
    in.id = {name};
    in.service = "s";
    in.zone = "z";
    auto address = addresses.find(name);
    in.address = address != addresses.end() ? address->second
                                            : Endpoint{"10.0.0.1", std::uint16_t(1 + name.back() - '0')};
    in.primary = dbs[name].primary;
    in.draining = dbs[name].draining;
    in.call_count = ++calls;
    return in;
  }
  void tell(int i, bool primary) {
    std::string name = "db" + std::to_string(i);
    dbs[name].primary = primary;
    apply(put_instance(instance(name)));
  }
  Status submit(const Json& u) {
    auto v = validate_command(state, u);
    std::uint64_t n = state.last_sequence() + 1;
    for (auto& r : v.rows) {
      r.sequence = n;
      state.put(r);
    }
    return v.status;
  }
  void apply(const Json& u) { EXPECT_TRUE(submit(u).is_ok()); }
  void later(Millis ms, std::function<void()> fn) { events.emplace(now + ms, std::move(fn)); }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng) < p; }

  // A holder that has died is followed by one that knows nothing but the state.
  void fresh_holder() {
    failover = holder(++generation);
    standby = holder(generation + 1);
  }
  // It is followed by one that has been a core all along, without the duty.
  void next_holder() {
    ++generation;
    failover = std::move(standby);
    standby = holder(generation + 1);
    // The one after it has seen what this one has: it is made now to save the ticks of a third.
  }
  std::unique_ptr<Failover> holder(int g) {
    failover::FailoverCallbacks out;
    out.is_leader = [this, g] { return g == generation && holds; };
    out.fencing_token = [this, g] { return std::uint64_t(g <= generation ? g : 0); };
    out.query = [this, g](const Instance& i, const std::string& s, std::function<void(DatabaseReply)> done) {
      std::string name = i.id.value;
      Db& d = dbs[name];
      auto answer = [this, g, done](Millis in, DatabaseReply r) {
        later(in, [this, g, done, r] {
          if (g == generation) done(r);
        });
      };
      if (!d.followed_by.empty())
        return answer(2,
                      {DatabaseReply::Kind::kWrongNode, {}, "WRONGNODE " + d.followed_by, {d.followed_by}});
      if (d.dark) return answer(kInfoTimeoutMs, {DatabaseReply::Kind::kSilent, {}, {}});
      if (!d.up) return answer(2, {DatabaseReply::Kind::kRefused, {}, {}});
      if (resets > 0 && now > d.reset_at + 1000 && chance(resets))
        return d.reset_at = now, answer(2, {DatabaseReply::Kind::kRefused, {}, {}});
      if (d.full) return answer(3, {DatabaseReply::Kind::kError, {}, "CONNLIMIT"});
      if (late > 0 && chance(late)) {  // it gets there after the caller has given up
        later(kInfoTimeoutMs + Millis(rng() % 1500), [this, name, s] { obey(dbs[name], s); });
        return answer(kInfoTimeoutMs, {DatabaseReply::Kind::kSilent, {}, {}});
      }
      if (chance(0.03)) return answer(3, {DatabaseReply::Kind::kError, {}, "THROTTLED"});
      if (s.starts_with("PAUSE")) {
        if (d.primary) return answer(3, {DatabaseReply::Kind::kError, {}, "MALFORMED"});
        EXPECT_GT(term_of(s), d.told) << "PAUSE at a term that is not above the newest";
        if (term_of(s) <= d.term) return answer(3, {DatabaseReply::Kind::kError, {}, "MALFORMED"});
      }
      obey(d, s);
      d.told = d.term;
      answer(3 + Millis(rng() % 5),
             {DatabaseReply::Kind::kRow, {d.primary, d.term, d.received, d.held, 0}, {}});
    };
    out.promote = [this, g](const std::string&, const InstanceId& id,
                            std::function<void(PromoteOutcome)> done) {
      EXPECT_TRUE(holds) << "a call without the duty";
      auto answer = [this, g, done](Millis in, int status) {
        later(in, [this, g, done, status] {
          if (g == generation) done(failover::promote_outcome(status));
        });
      };
      Db& d = dbs[id.value];
      if (chance(platform_trouble)) return answer(5, 429);
      if (!d.up || d.dark) return answer(5, 409);
      bool silent = chance(platform_trouble);
      if (platform_lag > 0) silent = true;
      later(300 + platform_lag, [this, id] { take_over(id.value); });
      answer(silent ? kPromoteExpiryMs : 5, silent ? 0 : 200);
    };
    out.submit = [this, g](Json u, std::function<void(Status)> done) {
      later(10, [this, g, u, done] {
        Status status = submit(u);
        if (g == generation) done(std::move(status));
      });
    };
    out.acknowledged_by_all_nodes = [this](std::uint64_t) { return asked_of_hold = true; };
    out.node_count = [] { return std::size_t(4); };
    out.log_event = [this](const std::string& event) {
      if (std::getenv("PEBBLESPINDLE_LOG"))
        std::printf("%lld %s\n", static_cast<long long>(now), event.c_str());
    };
    return std::make_unique<Failover>(state, std::move(out), kDrainMs);
  }

  static std::uint64_t term_of(const std::string& s) {
    return s.find(' ') == std::string::npos ? 0 : std::stoull(s.substr(s.find(' ') + 1));
  }
  static void obey(Db& d, const std::string& s) {
    if (!d.up) return;
    std::uint64_t t = term_of(s);
    if (s.starts_with("PAUSE") && !d.primary && t > d.term) d.held = std::max(d.held, t);
    if (s.starts_with("CONTINUE")) d.held = 0;
    if (s.starts_with("STEPDOWN") && d.primary && d.term < t) d.primary = false, d.held = 0;
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
    newest_term_led = d.term;
    d.received = {d.term, d.received.number};
    later(50,
          [this, name] { apply(put_instance(instance(name))), failover->on_heartbeat(now, instance(name)); });
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
      auto l = decode_primary(state.find(primary_key("s"))->value);
      bool told =
          !l->suspended || !asked_of_hold;  // nodes that have acknowledged the hold pass no success on
      if (synced && told) acked = std::max(acked, p);
      if (!l->suspended) asked_of_hold = false;
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
        if (!d.primary && d.up && !d.dark && !d.deaf && d.held == 0 && leader->second.primary &&
            leader->second.up && !leader->second.dark)
          d.received = leader->second.received, d.term = leader->second.term;
        if (d.primary && (!d.up || d.dark) && !quiet)
          for (const char* zone : {"z0", "z1"})
            failover->suspicions().report_missed_reply(now, {name}, zone, std::string("n") + zone, !d.dark);
      }
      failover->tick(now);
      standby->tick(now);
    }
    check();
  }
  // The process starts anew: with its log, under another ID, and not registered yet.
  void restart_under_new_id(const std::string& name, const std::string& new_id) {
    Db& former = dbs[name];
    dbs[new_id] = former;
    dbs[new_id].up = true;
    dbs[new_id].held = 0;
    former.up = former.primary = false;
    former.ended = true;
    former.followed_by = new_id;
    addresses[new_id] = instance(name).address;
  }
  void say_gone(const std::string& name) { apply(retire_instance({name})); }
  void end(const std::string& name) { dbs[name].up = false, dbs[name].ended = true, dbs[name].held = 0; }
  void register_database(const std::string& name) { apply(put_instance(instance(name))); }
  // No acknowledged commit is missing from the log of whoever leads the newest term.
  void check() const {
    const Db* newest = nullptr;
    for (auto& [name, d] : dbs)
      if (d.primary && (!newest || d.term > newest->term)) newest = &d;
    if (newest && newest->term == newest_term_led && newest->received < acked && !failed) {
      failed = true;
      ADD_FAILURE() << "LOST: the log of the leading one ends at " << newest->received.text() << ", "
                    << acked.text() << " was acknowledged";
    }
  }
  std::string leader() {
    auto l = decode_primary(state.find(primary_key("s"))->value);
    return l->suspended ? "" : l->primary.value;
  }

  Millis now = 1000;
  std::mt19937 rng;
  StateTable state;
  std::map<std::string, Db> dbs;
  std::map<std::string, Endpoint> addresses;  // of those that follow another at its address
  std::unique_ptr<Failover> failover, standby;
  std::multimap<Millis, std::function<void()>> events;
  Position acked{};
  std::uint64_t newest_term_led = 1;
  bool holds = true, asked_of_hold = false, quiet = false;  // quiet: nodes report nothing by themselves
  int generation = 0, promotes = 0;
  std::uint64_t calls = 0;
  double platform_trouble = 0;
  double resets = 0, late = 0;  // of the statements of the core: cut; arriving after it has given up
  mutable bool failed = false;
  Millis platform_lag = 0;  // a call takes effect this much later, and is not answered
};

}  // namespace pebblespindle::test
