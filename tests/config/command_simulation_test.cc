// Days drawn from a seed: operators that race, repeat themselves and lose answers, while cores are killed,
// cut off, emptied and started again.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "config/command_cluster.h"
#include "replication/timing.h"

namespace pebblespindle::test::orders {
namespace {

// Offers one order, each time as it was and at any core, until it hears a clear answer or gives up.
struct Caller {
  std::size_t id = 0;
  bool open = false, hard = false;  // hard of hearing: many answers are lost on their way to it
  Millis next = 0;
  int tries = 0;
};

class Day {
 public:
  explicit Day(std::uint32_t seed)
      : p_(seed,
           seed % 3 == 0   ? 5
           : seed % 3 == 1 ? 4
                           : 3,
           seed % 3 == 0 ? 2 : 1) {
    p_.net.loss_rate = seed % 5 == 0 ? 0.01 : 0;
  }
  void run(int steps) {
    ASSERT_NO_FATAL_FAILURE(p_.run(400));
    for (int step = 0; step < steps; ++step) {
      for (auto& c : callers_) call(c);
      if (p_.orders.size() && chance(0.3)) recall();
      trouble();
      ASSERT_NO_FATAL_FAILURE(p_.run(10 + p_.net.pick(chance(0.03) ? 400 : 30)));
    }
    ASSERT_NO_FATAL_FAILURE(calm());
  }
  std::size_t changes() const { return p_.history.size(); }

 private:
  bool chance(double c) { return p_.net.chance(c); }
  const std::string& any() { return p_.hosts[std::size_t(p_.net.pick(int(p_.hosts.size())))]; }

  void call(Caller& c) {
    if (!c.open) {
      if (!chance(0.5)) return;
      c = {draw(), true, chance(0.2), 0, 0};
    }
    if (p_.net.now < c.next) return;
    if (++c.tries > 12) return void(c.open = false);  // it gives up: its order may come back all the same
    c.next = p_.net.now + 30 + p_.net.pick(chance(0.2) ? 1500 : 300);
    for (int n = chance(0.1) ? 2 : 1; n > 0; --n)  // at times at two cores at once
      p_.offer(c.id, any(), [this, &c, id = c.id](int status) {
        if (chance(c.hard ? 0.8 : 0.2) || c.id != id || !c.open || status == 0 || status == 503) return;
        c.open = false;
      });
  }

  std::size_t draw() {
    Order o;
    o.base = p_.newest;
    if (chance(0.1) && !p_.orders.empty())  // on any version that was ever named, also one on its way
      o.base = p_.orders[std::size_t(p_.net.pick(int(p_.orders.size())))].revision;
    o.patch = o.base > 0 && chance(0.4);
    o.revision = o.base + 1 + std::uint64_t(p_.net.pick(3));
    if (chance(0.04)) o.revision = o.base;  // not above
    if (o.revision == 0) o.revision = 1;
    const std::uint64_t salt = 1 + p_.orders.size();
    o.body = o.patch ? change(o.revision, salt) : whole(o.revision, salt);
    if (chance(0.04)) o.sound = false, o.body.pop_back();
    return p_.draw(o);
  }

  // Any order of the day is offered again, lately or long ago, taken, refused or never answered.
  void recall() {
    const int n = int(p_.orders.size());
    p_.offer(std::size_t(chance(0.5) ? p_.net.pick(n) : n - 1 - p_.net.pick(std::min(n, 10))), any());
  }

  void trouble() {
    Millis now = p_.net.now;
    if (healed_ && now >= healed_) p_.net.blocked_links.clear(), healed_ = 0;
    for (auto& [host, at] : back_)
      if (now >= at && !p_.up(host)) p_.start(host);
    const std::string host = any();
    switch (p_.net.pick(250)) {
      case 0:
      case 1:
      case 2:  // one is killed, and is back at once or is put out
        if (p_.up(host)) {
          p_.kill(host);
          back_[host] = now + (chance(0.5) ? p_.net.pick(300) : 1200 + p_.net.pick(2000));
        }
        break;
      case 3: {  // the head alone, right now
        const std::string head = head_of(p_);
        if (!head.empty()) p_.kill(head), back_[head] = now + (chance(0.5) ? 0 : 2500);
        break;
      }
      case 4:  // all at once
        if (chance(0.3))
          for (auto& h : p_.hosts)
            if (p_.up(h)) p_.kill(h), back_[h] = now + p_.net.pick(400);
        break;
      case 5:  // one loses its disk, while nothing else is amiss
        if (whole_for(5000) && now >= wiped_ + 6000) {
          wiped_ = now;
          p_.kill(host, true);
          back_[host] = now + p_.net.pick(3000);
        }
        break;
      case 6:
      case 7:
      case 8:  // cut off, both ways or one
        if (healed_) break;
        for (auto& other : p_.hosts)
          if (other != host) {
            if (!chance(0.2)) p_.net.blocked_links.insert({host, other});
            if (!chance(0.2)) p_.net.blocked_links.insert({other, host});
          }
        healed_ = now + 100 + p_.net.pick(chance(0.5) ? 500 : 3000);
        break;
      default:
        break;
    }
    bool calm = !healed_;
    for (auto& h : p_.hosts) calm = calm && p_.up(h) && p_.at(h).in_sync();
    if (!calm) troubled_ = now;
  }
  bool settled() {
    std::size_t seated = 0;
    for (auto& h : p_.hosts) seated += p_.at(h).holds_lease(p_.net.now);
    return seated >= 2 * p_.losses + 1 && !head_of(p_).empty();
  }
  bool whole_for(Millis ms) const { return p_.net.now >= troubled_ + ms; }

  // All is well again: every order gets its clear answer, at any core, and the same as ever.
  void calm() {
    p_.net.blocked_links.clear();
    p_.net.loss_rate = 0;
    for (auto& h : p_.hosts)
      if (!p_.up(h)) p_.start(h);
    for (int step = 0, still = 0; step < 100 && still < 3; ++step) {
      ASSERT_NO_FATAL_FAILURE(p_.run(100));
      still = settled() ? still + 1 : 0;
    }
    ASSERT_TRUE(settled()) << "ten seconds of calm";
    std::vector<int> heard(p_.orders.size(), 0);
    auto newest = [&] { return p_.history.empty() ? 0 : p_.history.back().revision; };
    // The orders offered now may bring about the version that another one waited for.
    auto open = [&](std::size_t id) {
      return heard[id] == 0 || (heard[id] == 503 && p_.orders[id].base <= newest());
    };
    for (int round = 0; round < 20; ++round) {
      bool any_open = false;
      for (std::size_t id = 0; id < heard.size(); ++id) {
        if (!open(id)) continue;
        any_open = true;
        heard[id] = 0;
        p_.offer(id, any(), [&heard, id](int status) { heard[id] = status; });
      }
      if (!any_open) break;
      for (int n = 0; n < 12 && std::count(heard.begin(), heard.end(), 0); ++n)
        ASSERT_NO_FATAL_FAILURE(p_.run(replication::kSubmitTimeoutMs / 10));
    }
    const std::uint64_t current = newest();
    for (std::size_t id = 0; id < heard.size(); ++id) {
      auto& o = p_.orders[id];
      if (heard[id] == 503 && o.base > current) continue;  // on a version that never came
      ASSERT_EQ(heard[id] == 200, o.in_force) << heard[id] << " for " << p_.tell(id);
      ASSERT_TRUE(heard[id] == 200 || heard[id] == 412 || heard[id] == 400)
          << heard[id] << " for " << p_.tell(id);
    }
  }

  Port p_;
  Caller callers_[8];
  std::map<std::string, Millis> back_;
  Millis healed_ = 0, troubled_ = 0, wiped_ = -10000;
};

// PEBBLESPINDLE_SEEDS asks for a longer run, PEBBLESPINDLE_FIRST_SEED says where it begins.
TEST(ConfigurationCommands, OneSuccessorToEachVersionWhateverHappens) {
  auto asked = [](const char* name, int fallback) {
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : fallback;
  };
  const int seeds = asked("PEBBLESPINDLE_SEEDS", 500), first = asked("PEBBLESPINDLE_FIRST_SEED", 1);
  std::size_t changes = 0;
  for (int seed = first; seed < first + seeds; ++seed) {
    SCOPED_TRACE(seed);
    Day day{std::uint32_t(seed)};
    day.run(seed % 100 ? 120 : 1500);  // and now and then a long one, with hundreds of changes
    if (HasFatalFailure()) return;
    changes += day.changes();
  }
  std::printf("%d days, %zu changes taken\n", seeds, changes);
  EXPECT_GT(changes, std::size_t(seeds) * 10) << "days without changes show nothing";
}

}  // namespace
}  // namespace pebblespindle::test::orders
