// Catching up: a member is sent what it lacks, a newcomer a whole state in pieces, and half a state is never
// used.
#include "net/constants.h"
#include "replication/encoded_messages.h"
#include "replication/replica_cluster.h"
#include "replication/timing.h"
#include "seeds.h"

namespace pebblespindle::test {
namespace {

// A fleet that counts what is sent to each core of the state.
struct Counted : ReplicaCluster {
  using ReplicaCluster::ReplicaCluster;
  std::map<std::string, std::size_t> bytes, messages;
  std::size_t longest = 0;
  std::function<bool(const std::string& to, const std::string& from, const Json&)> lost;
  void count() {
    net.deliver = [this](const std::string& to, const std::string& from, const Json& m) {
      if (lost && lost(to, from, m)) return;
      const std::string t = m.value("t", "");
      if (t == "up" || t == "pc") {
        const std::size_t n = m.dump().size();
        bytes[to] += n;
        messages[to] += m["r"].empty() ? 0 : 1;
        longest = std::max(longest, n);
      }
      auto& c = cores[to];
      if (c && c->replica) receive_encoded(*c->replica, net.now, from, m);
    };
  }
  void fill(int rows, std::size_t size) {
    int done = 0;
    for (int i = 0; i < rows; ++i) {
      at(hosts[0]).submit(
          net.now, {{"key", "k" + std::to_string(i)}, {"expect", ""}, {"value", std::string(size, 'v')}},
          [&done](Status a) { done += a.is_ok(); });
      if (i % 200 == 199) run(60);
    }
    run(1000);
    ASSERT_EQ(done, rows);
  }
  bool stands(const std::string& host) {
    return is_running(host) && at(host).in_sync() && at(host).view().has_member(at(host).self());
  }
};

std::vector<Row> by_key(const StateTable& l) {
  auto rows = l.rows_after(0);
  std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) { return a.key < b.key; });
  return rows;
}

TEST(StateTransfer, ARestartedMemberIsSentWhatItLacks) {
  for (Millis away : {200, 3000}) {  // still a member, and put out meanwhile
    Counted f(31);
    f.count();
    f.run(3000);
    ASSERT_NO_FATAL_FAILURE(f.fill(1000, 300));
    for (std::string host : {"core2", "core1", "core0"}) {
      SCOPED_TRACE(host + " away for " + std::to_string(away));
      f.stop(host);
      int status = -1;
      f.at(host == "core0" ? "core1" : "core0")
          .submit(f.net.now, {{"key", "of " + host}, {"expect", ""}, {"value", "v"}},
                  [&status](Status a) { status = answer_code(a); });
      f.run(away);
      f.bytes.clear();
      f.start(host);
      f.run(4000);
      EXPECT_NE(status, -1);
      EXPECT_TRUE(f.stands(host));
      EXPECT_EQ(by_key(f.at(host).state()), by_key(f.at("core1").state()));
      for (auto& [to, n] : f.bytes) EXPECT_LT(n, 1000 * 300 / 20) << to;
    }
  }
}

TEST(StateTransfer, AnEmptyMemberTakesAStateBeyondOneMessage) {
  Counted f(32);
  f.count();
  f.run(3000);
  ASSERT_NO_FATAL_FAILURE(f.fill(900, 10000));  // 9 MB; a link takes 8 MiB a message
  const std::uint64_t view = f.at("core0").view().number;
  f.stop("core2", true);
  f.run(100);
  f.bytes.clear();
  f.start("core2");
  int changes = 0, asked = 0;
  for (int i = 0; i < 60; ++i) {  // live changes beside it
    ++asked;
    f.at("core0").submit(f.net.now, {{"key", "live" + std::to_string(i)}, {"expect", ""}, {"value", "v"}},
                         [&changes](Status a) { changes += a.is_ok(); });
    f.run(100);
  }
  f.run(2000);
  EXPECT_TRUE(f.stands("core2"));
  EXPECT_EQ(by_key(f.at("core2").state()), by_key(f.at("core0").state()));
  EXPECT_LT(f.longest, kMaxLinkBytes / 4);
  EXPECT_LT(f.bytes["core2"], 900 * 10000 * 6 / 5) << "sent again";
  EXPECT_GT(changes, asked / 2) << "the chain stood still";
  // The lost one is put out, it joins, it votes: no more views than that.
  EXPECT_LE(f.at("core0").view().number, view + 3);
}

// Seen to take part only when the state is whole; what is there after a break is not sent again.
TEST(StateTransfer, AHalfTakenStateIsNeverUsedAndGoesOnAfterABreak) {
  Counted f(33, 4, 3, 1);
  f.chunk_bytes = 2000;
  for (auto& h : f.hosts) f.stop(h, true);
  f.cores.clear();
  f.seeds = {"core0", "core1", "core2"};
  for (auto& h : f.seeds) f.start(h, true);
  f.count();
  f.run(3000);
  ASSERT_NO_FATAL_FAILURE(f.fill(800, 300));
  f.start("core3");
  int breaks = 0;
  for (int i = 0; i < 4000 && !(f.at("core3").received_row_count() > 200 * std::size_t(breaks + 1)); ++i)
    f.run(1);
  const std::size_t before = f.at("core3").received_row_count();
  ASSERT_GT(before, 100u);
  ASSERT_LT(before, 700u);
  EXPECT_EQ(f.at("core3").state().size(), 0u) << "half a state is in use";
  // The core dies, and so does the one it took the state from: another one goes on.
  f.stop("core3");
  f.stop(f.at("core0").view().tail());
  f.run(300);
  f.start("core3");
  EXPECT_EQ(f.at("core3").received_row_count(), before) << "what was taken is on the disk";
  EXPECT_EQ(f.at("core3").state().size(), 0u);
  f.bytes.clear();
  f.run(6000);
  EXPECT_TRUE(f.stands("core3"));
  EXPECT_EQ(by_key(f.at("core3").state()), by_key(f.at("core0").state()));
  EXPECT_LT(f.bytes["core3"], (800 - before) * 400 * 6 / 5) << "what was there was sent again";
}

// A head numbers a change that nobody gets and dies; the others give the number again. It comes back with the
// same number and another row.
TEST(StateTransfer, NumbersOfALostSuffixAreToldApart) {
  for (bool as_head : {false, true}) {
    Counted f(34);
    f.count();
    f.run(3000);
    ASSERT_EQ(f.submit("core0", "a", "", "1"), 200);
    f.lost = [](const std::string&, const std::string& from, const Json& m) {
      return from == "core0" && m.value("t", "") == "up";
    };
    f.at("core0").submit(f.net.now, {{"key", "lost"}, {"expect", ""}, {"value", "x"}}, [](Status) {});
    f.at("core0").submit(f.net.now, {{"key", "a"}, {"expect", "1"}, {"value", "x"}}, [](Status) {});
    f.run(5);
    const std::uint64_t number = f.at("core0").state().last_sequence();
    f.stop("core0");
    f.lost = {};
    f.run(3000);
    ASSERT_EQ(f.submit("core1", "b", "", "1"), 200);
    ASSERT_EQ(f.submit("core1", "c", "", "1"), 200);
    ASSERT_GE(f.at("core1").state().last_sequence(), number);
    f.start("core0");
    f.run(4000);
    ASSERT_TRUE(f.stands("core0"));
    if (as_head) {  // and it may lead with that state
      f.stop("core1");
      f.run(3000);
    }
    EXPECT_EQ(f.at("core0").state().find("lost"), nullptr);
    EXPECT_EQ(f.at("core0").state().find("a")->value, "1");
    EXPECT_EQ(by_key(f.at("core0").state()), by_key(f.at("core2").state()));
  }
}

TEST(StateTransfer, WhoIsBehindTheTrimTakesTheStateWhole) {
  Counted f(35);
  f.count();
  f.run(3000);
  for (auto* v : {"1", "2"}) ASSERT_EQ(f.submit("core0", "a", v[0] == '1' ? "" : "1", v), 200);
  ASSERT_EQ(f.submit("core0", "b", "", "1"), 200);
  f.stop("core2");
  f.run(2000);
  ASSERT_EQ(f.submit("core0", "b", "1", ""), 200);
  for (auto* host : {"core0", "core1"}) {
    f.at(host).compact(f.net.now, 1000);
    EXPECT_TRUE(f.at(host).state().find_including_deleted("b")) << "gone a moment ago";
    f.at(host).compact(f.net.now + replication::kCompactAfterMs, 1);
    EXPECT_TRUE(f.at(host).state().find_including_deleted("b")) << "a node has not heard of it";
    f.at(host).compact(f.net.now + 2 * replication::kCompactAfterMs, 1000);
    EXPECT_FALSE(f.at(host).state().find_including_deleted("b"));
    EXPECT_FALSE(f.cores[host]->disk.stored_rows.count("b"));
  }
  f.start("core2");
  f.run(4000);
  EXPECT_TRUE(f.stands("core2"));
  EXPECT_FALSE(f.at("core2").state().find_including_deleted("b")) << "what is gone lives on";
  f.stop("core1");
  f.start("core1");
  EXPECT_GT(f.at("core1").state().compacted_to(), 0u) << "it is on the disk";
}

// A disk put back to an older copy: the next member has been sent more.
TEST(StateTransfer, ADiskThatHasGoneBackDoesNotLead) {
  ReplicaCluster f(36);
  f.run(3000);
  ASSERT_EQ(f.submit("core0", "a", "", "1"), 200);
  MemoryStorage old = f.cores["core0"]->disk;
  ASSERT_EQ(f.submit("core0", "a", "1", "2"), 200);
  f.stop("core0");
  f.cores["core0"]->disk = old;
  f.start("core0");
  f.run(5000);
  EXPECT_EQ(f.read("core0", "a"), "2");
  EXPECT_EQ(f.submit("core1", "a", "2", "3"), 200);
  EXPECT_EQ(f.at("core0").state().find("a")->value, "3");
}

// A newcomer whose questions are answered by the test alone.
struct Asked : ReplicaCluster {
  Json question;
  explicit Asked(std::uint32_t seed) : ReplicaCluster(seed) {
    run(3000);
    stop("core2", true);
    run(100);
    start("core2");
    auto through = net.deliver;
    net.deliver = [this, through](const std::string& to, const std::string& from, const Json& m) {
      const std::string t = m.value("t", "");
      if (t == "have" && from != "core0" && from != "core1") question = m;
      if (to != "core2" || (t != "up" && t != "pc")) through(to, from, m);
    };
    run(300);
  }
  Replica& newcomer() { return at("core2"); }
  // A piece as the last question wants it; `left` is false for the one that makes the state whole, of `size`
  // rows.
  void piece(bool fresh, const std::string& key, bool left, std::size_t size = 0) {
    Json m{{"t", "pc"},
           {"n", question["n"]},
           {"q", question["q"]},
           {"st", {{"w", true}, {"e", !left}, {"c", key}, {"b", 5}, {"bk", ""}, {"k", 4}, {"kt", 1}}},
           {"r", Json::array({Json::array({key, 4, "v"})})}};
    if (fresh) m["new"] = true;
    if (!left) m["e"] = Json::array({Json::array({1, 1})}), m["trimmed"] = 0, m["size"] = size;
    receive_encoded(newcomer(), net.now, "core1", Json::parse(m.dump()));  // as it comes over a link
    run(20);
  }
};

TEST(StateTransfer, AStateBegunAnewHoldsNothingOfTheOneBefore) {
  Asked f(42);
  f.piece(true, "of another", true);
  ASSERT_EQ(f.newcomer().received_row_count(), 1u);
  f.piece(true, "a", true);
  ASSERT_EQ(f.newcomer().received_row_count(), 1u);
  f.piece(false, "b", false, 2);
  EXPECT_EQ(f.newcomer().state().size(), 2u);
  EXPECT_EQ(f.newcomer().state().find("of another"), nullptr);
  EXPECT_EQ(f.cores["core2"]->disk.stored_rows.count("of another"), 0u) << "it comes back with a restart";
  EXPECT_EQ(f.cores["core2"]->disk.stored_rows.size(), 2u);
}

TEST(StateTransfer, AStateThatLacksRowsIsDropped) {
  Asked f(39);
  f.piece(true, "a", true);
  ASSERT_EQ(f.newcomer().received_row_count(), 1u);
  f.piece(false, "b", false, 3);
  EXPECT_EQ(f.newcomer().state().size(), 0u);
  EXPECT_FALSE(f.newcomer().is_receiving_state());
  EXPECT_TRUE(f.cores["core2"]->disk.stored_staged_rows.empty());
}

// What a core asks is answered from where it stands only if that place is in the history of who answers.
TEST(StateTransfer, AStageOfAnotherHistoryIsBegunAnew) {
  Asked f(40);
  f.chunk_bytes = 10;
  for (auto* h : {"core0", "core1"}) f.stop(h), f.start(h);
  f.run(5000);
  for (int i = 0; i < 5; ++i) ASSERT_EQ(f.submit("core0", "k" + std::to_string(i), "", "v"), 200);
  Replica& tail = f.at(f.at("core0").view().tail());
  Json answer;
  auto through = f.net.deliver;
  f.net.deliver = [&](const std::string& to, const std::string& from, const Json& m) {
    if (to == "elsewhere")
      answer = m;
    else
      through(to, from, m);
  };
  auto ask = [&](std::uint64_t term) {
    answer = Json();
    Json stage{{"w", true}, {"e", false}, {"c", "k1"}, {"b", 99}, {"bk", ""}, {"k", 3}, {"kt", term}};
    Json m{{"t", "have"}, {"n", tail.view().number}, {"q", 1}, {"s", 0}, {"c", 0}, {"k", 0}, {"kt", 0},
           {"st", stage}};
    receive_encoded(tail, f.net.now, "elsewhere", Json::parse(m.dump()));
    f.run(500);
    return answer.contains("new");
  };
  std::uint64_t term = tail.view().term;
  EXPECT_FALSE(ask(term)) << answer.dump();
  EXPECT_EQ(answer["r"][0][0], "k2") << "it goes on where it stood";
  EXPECT_TRUE(ask(term + 7)) << answer.dump();
  EXPECT_EQ(answer["r"][0][0], "k0");
}

// An update says on what it follows. One that follows on another term's number is not taken.
TEST(StateTransfer, AnUpdateOnAnotherTermsNumberIsNotTaken) {
  ReplicaCluster f(41);
  f.run(3000);
  ASSERT_EQ(f.submit("core0", "a", "", "1"), 200);
  auto view = f.at("core0").view();
  Replica& next = f.at(view.members[1].id);
  const std::uint64_t k = next.state().last_sequence();
  auto up = [&](std::uint64_t term) {
    Json m{{"t", "up"},  {"n", view.number}, {"base", k},
           {"bt", term}, {"k", k + 1},       {"r", Json::array({Json::array({"b", k + 1, "1"})})}};
    receive_encoded(next, f.net.now, view.head(), Json::parse(m.dump()));
    return next.state().last_sequence();
  };
  EXPECT_EQ(up(view.term + 1), k);
  EXPECT_EQ(up(view.term), k + 1);
}

// Hundreds of changes, and in between cores killed, emptied, cut off and all killed at once, never more at a
// time than may be lost. Pieces are so small that every state goes in many; gone rows are trimmed at once, so
// that whoever was away is behind the trim. Nothing acknowledged is lost or comes back, and in the end all
// hold the same.
void mixed(std::uint32_t seed) {
  ReplicaCluster f(seed, 4, 3, 1);
  f.chunk_bytes = 20 + std::size_t(f.net.pick(300));
  f.run(1400);
  struct Key {
    std::string acked, last;
    bool known = true;  // what stands there is what was acknowledged
  };
  std::map<std::string, Key> keys;
  int serial = 0;
  std::vector<std::string> down;
  Millis lost_until = 0;  // a loss counts until the time to catch up has passed
  auto change = [&] {
    std::string key = "k" + std::to_string(f.net.pick(25));
    Key& k = keys[key];
    auto& host = f.hosts[std::size_t(f.net.pick(4))];
    if (!k.known || !f.is_running(host)) return;
    std::string value = f.net.chance(0.25) && !k.acked.empty()
                            ? ""
                            : std::to_string(++serial) + std::string(std::size_t(f.net.pick(60)), 'v');
    k.known = false;
    f.at(host).submit(f.net.now, {{"key", key}, {"expect", k.acked}, {"value", value}},
                      [&k, value](Status a) {
                        if (a.is_ok()) k.acked = value, k.known = true;
                      });
  };
  for (int round = 0; round < 10; ++round) {
    if (f.net.now >= lost_until && !down.empty()) {
      f.net.blocked_links.clear();
      for (auto& h : down)
        if (!f.is_running(h)) f.start(h);
      down.clear();
      lost_until = f.net.now + 4000;
    }
    auto& one = f.hosts[std::size_t(f.net.pick(4))];
    switch (f.net.now >= lost_until ? f.net.pick(4) : 4) {
      case 0:  // killed, perhaps with its disk, for a moment or longer
        f.stop(one, f.net.chance(0.5));
        down.push_back(one);
        lost_until = f.net.now + f.net.pick(2500);
        break;
      case 1:
        f.isolate(one, f.net.chance(0.5));
        down.push_back(one);
        lost_until = f.net.now + f.net.pick(2500);
        break;
      case 2:  // all processes at once; the disks stay
        for (auto& h : f.hosts) f.stop(h);
        f.run(f.net.pick(400));
        for (auto& h : f.hosts) f.start(h);
        lost_until = f.net.now + 4000;
        break;
      default:
        break;
    }
    for (int i = 0; i < 10; ++i) {
      change();
      ASSERT_NO_FATAL_FAILURE(f.run(f.net.pick(100)));
      // What is gone is forgotten at once, by each core for itself.
      for (auto& h : f.hosts)
        if (f.is_running(h) && f.net.chance(0.1)) {
          f.at(h).compact(f.net.now, ~0ull);
          f.at(h).compact(f.net.now + replication::kCompactAfterMs, ~0ull);
        }
    }
  }
  f.net.blocked_links.clear();
  for (auto& h : down)
    if (!f.is_running(h)) f.start(h);
  ASSERT_NO_FATAL_FAILURE(f.run(5000));
  auto live = [&](const std::string& host) {
    std::map<std::string, std::string> out;
    for (auto& r : f.at(host).state().rows_after(0))
      if (!r.deleted) out[r.key] = r.value;
    return out;
  };
  std::size_t in_step = 0;
  std::optional<std::map<std::string, std::string>> all;
  for (auto& h : f.hosts) {
    if (!f.at(h).in_sync()) continue;
    ++in_step;
    if (!all) all = live(h);
    EXPECT_EQ(live(h), *all) << h;
  }
  EXPECT_GE(in_step, 3u) << "not in step after the trouble has ended";
  EXPECT_EQ(f.at(f.hosts[0]).view().voters.size(), 3u);
  ASSERT_TRUE(all);
  for (auto& [key, k] : keys) {
    if (!k.known) continue;
    auto it = all->find(key);
    EXPECT_EQ(it == all->end() ? "" : it->second, k.acked) << key;
  }
}

TEST(StateTransfer, AllHoldTheSameAfterHundredsOfChangesAndAnyMixOfTroubles) {
  for (std::uint32_t seed = 1; seed <= seeds(500); ++seed) {
    SCOPED_TRACE(seed);
    mixed(seed);
    if (HasFailure()) return;
  }
}

}  // namespace
}  // namespace pebblespindle::test
