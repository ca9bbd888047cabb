// Tests of state transfer: a member is sent only what it lacks, a new replica receives the whole state in
// chunks, and a partial state is never used.
#include "net/constants.h"
#include "replication/encoded_messages.h"
#include "replication/replica_cluster.h"
#include "replication/timing.h"
#include "seeds.h"

namespace pebblespindle::test {
namespace {

// A cluster that counts the bytes and messages of state that each replica is sent.
struct CountingCluster : ReplicaCluster {
  using ReplicaCluster::ReplicaCluster;
  std::map<std::string, std::size_t> bytes, messages;
  std::size_t longest_message = 0;
  std::function<bool(const std::string& to, const std::string& from, const Json&)> drop_message;
  void count() {
    net.deliver = [this](const std::string& to, const std::string& from, const Json& message) {
      if (drop_message && drop_message(to, from, message)) return;
      const std::string type = message.value("t", "");
      if (type == "up" || type == "pc") {
        const std::size_t size = message.dump().size();
        bytes[to] += size;
        messages[to] += message["r"].empty() ? 0 : 1;
        longest_message = std::max(longest_message, size);
      }
      auto& controller = cores[to];
      if (controller && controller->replica) receive_encoded(*controller->replica, net.now, from, message);
    };
  }
  void fill(int rows, std::size_t size) {
    int acknowledged = 0;
    for (int i = 0; i < rows; ++i) {
      at(hosts[0]).submit(
          net.now, {{"key", "k" + std::to_string(i)}, {"expect", ""}, {"value", std::string(size, 'v')}},
          [&acknowledged](Status answer) { acknowledged += answer.is_ok(); });
      if (i % 200 == 199) run(60);
    }
    run(1000);
    ASSERT_EQ(acknowledged, rows);
  }
  bool is_synced_member(const std::string& host) {
    return is_running(host) && at(host).in_sync() && at(host).view().has_member(at(host).self());
  }
};

std::vector<Row> by_key(const StateTable& table) {
  auto rows = table.rows_after(0);
  std::sort(rows.begin(), rows.end(), [](const Row& left, const Row& right) { return left.key < right.key; });
  return rows;
}

TEST(StateTransfer, ARestartedMemberIsSentWhatItLacks) {
  for (Millis downtime : {200, 3000}) {  // the replica is still a member, or has been removed meanwhile
    CountingCluster cluster(31);
    cluster.count();
    cluster.run(3000);
    ASSERT_NO_FATAL_FAILURE(cluster.fill(1000, 300));
    for (std::string host : {"core2", "core1", "core0"}) {
      SCOPED_TRACE(host + " down for " + std::to_string(downtime));
      cluster.stop(host);
      int status = -1;
      cluster.at(host == "core0" ? "core1" : "core0")
          .submit(cluster.net.now, {{"key", "of " + host}, {"expect", ""}, {"value", "v"}},
                  [&status](Status answer) { status = answer_code(answer); });
      cluster.run(downtime);
      cluster.bytes.clear();
      cluster.start(host);
      cluster.run(4000);
      EXPECT_NE(status, -1);
      EXPECT_TRUE(cluster.is_synced_member(host));
      EXPECT_EQ(by_key(cluster.at(host).state()), by_key(cluster.at("core1").state()));
      for (auto& [to, byte_count] : cluster.bytes) EXPECT_LT(byte_count, 1000 * 300 / 20) << to;
    }
  }
}

TEST(StateTransfer, AnEmptyMemberTakesAStateBeyondOneMessage) {
  CountingCluster cluster(32);
  cluster.count();
  cluster.run(3000);
  ASSERT_NO_FATAL_FAILURE(cluster.fill(900, 10000));  // 9 MB in all; a link accepts 8 MiB in one message
  const std::uint64_t view = cluster.at("core0").view().number;
  cluster.stop("core2", true);
  cluster.run(100);
  cluster.bytes.clear();
  cluster.start("core2");
  int acknowledged = 0, submitted = 0;
  for (int i = 0; i < 60; ++i) {  // changes submitted during the transfer
    ++submitted;
    cluster.at("core0").submit(cluster.net.now,
                               {{"key", "live" + std::to_string(i)}, {"expect", ""}, {"value", "v"}},
                               [&acknowledged](Status answer) { acknowledged += answer.is_ok(); });
    cluster.run(100);
  }
  cluster.run(2000);
  EXPECT_TRUE(cluster.is_synced_member("core2"));
  EXPECT_EQ(by_key(cluster.at("core2").state()), by_key(cluster.at("core0").state()));
  EXPECT_LT(cluster.longest_message, kMaxLinkBytes / 4);
  EXPECT_LT(cluster.bytes["core2"], 900 * 10000 * 6 / 5) << "rows were sent more than once";
  EXPECT_GT(acknowledged, submitted / 2) << "the chain made no progress during the transfer";
  // Three view changes suffice: the lost replica is removed, the new one joins, and it becomes a voter.
  EXPECT_LE(cluster.at("core0").view().number, view + 3);
}

// A replica participates only once its state is complete, and rows that it stored before an interruption are
// not sent again.
TEST(StateTransfer, APartialStateIsNeverUsedAndTheTransferResumes) {
  CountingCluster cluster(33, 4, 3, 1);
  cluster.chunk_bytes = 2000;
  for (auto& host : cluster.hosts) cluster.stop(host, true);
  cluster.cores.clear();
  cluster.seeds = {"core0", "core1", "core2"};
  for (auto& host : cluster.seeds) cluster.start(host, true);
  cluster.count();
  cluster.run(3000);
  ASSERT_NO_FATAL_FAILURE(cluster.fill(800, 300));
  cluster.start("core3");
  int interruptions = 0;
  for (int i = 0;
       i < 4000 && !(cluster.at("core3").received_row_count() > 200 * std::size_t(interruptions + 1)); ++i)
    cluster.run(1);
  const std::size_t rows_before = cluster.at("core3").received_row_count();
  ASSERT_GT(rows_before, 100u);
  ASSERT_LT(rows_before, 700u);
  EXPECT_EQ(cluster.at("core3").state().size(), 0u) << "a partial state is in use";
  // The receiver crashes, and so does its source: another source continues the transfer.
  cluster.stop("core3");
  cluster.stop(cluster.at("core0").view().tail());
  cluster.run(300);
  cluster.start("core3");
  EXPECT_EQ(cluster.at("core3").received_row_count(), rows_before) << "the received rows must be on the disk";
  EXPECT_EQ(cluster.at("core3").state().size(), 0u);
  cluster.bytes.clear();
  cluster.run(6000);
  EXPECT_TRUE(cluster.is_synced_member("core3"));
  EXPECT_EQ(by_key(cluster.at("core3").state()), by_key(cluster.at("core0").state()));
  EXPECT_LT(cluster.bytes["core3"], (800 - rows_before) * 400 * 6 / 5)
      << "rows that were stored before are sent again";
}

// The head assigns sequence numbers to changes that no other replica receives, and crashes; the others assign
// the same numbers again. When it returns, it holds other rows under these numbers.
TEST(StateTransfer, ReusedSequenceNumbersOfALostSuffixAreDistinguished) {
  for (bool as_head : {false, true}) {
    CountingCluster cluster(34);
    cluster.count();
    cluster.run(3000);
    ASSERT_EQ(cluster.submit("core0", "a", "", "1"), 200);
    cluster.drop_message = [](const std::string&, const std::string& from, const Json& message) {
      return from == "core0" && message.value("t", "") == "up";
    };
    cluster.at("core0").submit(cluster.net.now, {{"key", "lost"}, {"expect", ""}, {"value", "x"}},
                               [](Status) {});
    cluster.at("core0").submit(cluster.net.now, {{"key", "a"}, {"expect", "1"}, {"value", "x"}},
                               [](Status) {});
    cluster.run(5);
    const std::uint64_t lost_sequence = cluster.at("core0").state().last_sequence();
    cluster.stop("core0");
    cluster.drop_message = {};
    cluster.run(3000);
    ASSERT_EQ(cluster.submit("core1", "b", "", "1"), 200);
    ASSERT_EQ(cluster.submit("core1", "c", "", "1"), 200);
    ASSERT_GE(cluster.at("core1").state().last_sequence(), lost_sequence);
    cluster.start("core0");
    cluster.run(4000);
    ASSERT_TRUE(cluster.is_synced_member("core0"));
    if (as_head) {  // it may become the head with that state
      cluster.stop("core1");
      cluster.run(3000);
    }
    EXPECT_EQ(cluster.at("core0").state().find("lost"), nullptr);
    EXPECT_EQ(cluster.at("core0").state().find("a")->value, "1");
    EXPECT_EQ(by_key(cluster.at("core0").state()), by_key(cluster.at("core2").state()));
  }
}

TEST(StateTransfer, AReplicaBehindTheCompactionTakesTheWholeState) {
  CountingCluster cluster(35);
  cluster.count();
  cluster.run(3000);
  for (auto* value : {"1", "2"})
    ASSERT_EQ(cluster.submit("core0", "a", value[0] == '1' ? "" : "1", value), 200);
  ASSERT_EQ(cluster.submit("core0", "b", "", "1"), 200);
  cluster.stop("core2");
  cluster.run(2000);
  ASSERT_EQ(cluster.submit("core0", "b", "1", ""), 200);
  for (auto* host : {"core0", "core1"}) {
    cluster.at(host).compact(cluster.net.now, 1000);
    EXPECT_TRUE(cluster.at(host).state().find_including_deleted("b"))
        << "the tombstone is too young to be removed";
    cluster.at(host).compact(cluster.net.now + replication::kCompactAfterMs, 1);
    EXPECT_TRUE(cluster.at(host).state().find_including_deleted("b"))
        << "a node has not acknowledged the deletion";
    cluster.at(host).compact(cluster.net.now + 2 * replication::kCompactAfterMs, 1000);
    EXPECT_FALSE(cluster.at(host).state().find_including_deleted("b"));
    EXPECT_FALSE(cluster.cores[host]->disk.stored_rows.count("b"));
  }
  cluster.start("core2");
  cluster.run(4000);
  EXPECT_TRUE(cluster.is_synced_member("core2"));
  EXPECT_FALSE(cluster.at("core2").state().find_including_deleted("b")) << "a deleted row is still there";
  cluster.stop("core1");
  cluster.start("core1");
  EXPECT_GT(cluster.at("core1").state().compacted_to(), 0u) << "the compaction point is not on the disk";
}

// The head's disk is restored to an older copy: its successor holds more rows than it does.
TEST(StateTransfer, AHeadWithAnOlderCopyOfItsDiskDoesNotLead) {
  ReplicaCluster cluster(36);
  cluster.run(3000);
  ASSERT_EQ(cluster.submit("core0", "a", "", "1"), 200);
  MemoryStorage older_copy = cluster.cores["core0"]->disk;
  ASSERT_EQ(cluster.submit("core0", "a", "1", "2"), 200);
  cluster.stop("core0");
  cluster.cores["core0"]->disk = older_copy;
  cluster.start("core0");
  cluster.run(5000);
  EXPECT_EQ(cluster.read("core0", "a"), "2");
  EXPECT_EQ(cluster.submit("core1", "a", "2", "3"), 200);
  EXPECT_EQ(cluster.at("core0").state().find("a")->value, "3");
}

// A new replica whose state requests are answered only by the test.
struct ScriptedTransfer : ReplicaCluster {
  Json last_request;
  explicit ScriptedTransfer(std::uint32_t seed) : ReplicaCluster(seed) {
    run(3000);
    stop("core2", true);
    run(100);
    start("core2");
    auto deliver = net.deliver;
    net.deliver = [this, deliver](const std::string& to, const std::string& from, const Json& message) {
      const std::string type = message.value("t", "");
      if (type == "have" && from != "core0" && from != "core1") last_request = message;
      if (to != "core2" || (type != "up" && type != "pc")) deliver(to, from, message);
    };
    run(300);
  }
  Replica& newcomer() { return at("core2"); }
  // Sends a chunk in reply to the last request. more_follow: false for the last chunk, which gives the number
  // of rows as `size`.
  void send_chunk(bool is_first, const std::string& key, bool more_follow, std::size_t size = 0) {
    Json message{
        {"t", "pc"},
        {"n", last_request["n"]},
        {"q", last_request["q"]},
        {"st", {{"w", true}, {"e", !more_follow}, {"c", key}, {"b", 5}, {"bk", ""}, {"k", 4}, {"kt", 1}}},
        {"r", Json::array({Json::array({key, 4, "v"})})}};
    if (is_first) message["new"] = true;
    if (!more_follow)
      message["e"] = Json::array({Json::array({1, 1})}), message["trimmed"] = 0, message["size"] = size;
    receive_encoded(newcomer(), net.now, "core1",
                    Json::parse(message.dump()));  // parsed from text, as it comes over a link
    run(20);
  }
};

TEST(StateTransfer, AStateBegunAnewHoldsNothingOfTheOneBefore) {
  ScriptedTransfer cluster(42);
  cluster.send_chunk(true, "of another", true);
  ASSERT_EQ(cluster.newcomer().received_row_count(), 1u);
  cluster.send_chunk(true, "a", true);
  ASSERT_EQ(cluster.newcomer().received_row_count(), 1u);
  cluster.send_chunk(false, "b", false, 2);
  EXPECT_EQ(cluster.newcomer().state().size(), 2u);
  EXPECT_EQ(cluster.newcomer().state().find("of another"), nullptr);
  EXPECT_EQ(cluster.cores["core2"]->disk.stored_rows.count("of another"), 0u)
      << "the row would come back after a restart";
  EXPECT_EQ(cluster.cores["core2"]->disk.stored_rows.size(), 2u);
}

TEST(StateTransfer, AStateThatLacksRowsIsDropped) {
  ScriptedTransfer cluster(39);
  cluster.send_chunk(true, "a", true);
  ASSERT_EQ(cluster.newcomer().received_row_count(), 1u);
  cluster.send_chunk(false, "b", false, 3);
  EXPECT_EQ(cluster.newcomer().state().size(), 0u);
  EXPECT_FALSE(cluster.newcomer().is_receiving_state());
  EXPECT_TRUE(cluster.cores["core2"]->disk.stored_staged_rows.empty());
}

// A transfer continues at its position only if that position is part of the source's history.
TEST(StateTransfer, ATransferOfAnotherHistoryIsBegunAnew) {
  ScriptedTransfer cluster(40);
  cluster.chunk_bytes = 10;
  for (auto* host : {"core0", "core1"}) cluster.stop(host), cluster.start(host);
  cluster.run(5000);
  for (int i = 0; i < 5; ++i) ASSERT_EQ(cluster.submit("core0", "k" + std::to_string(i), "", "v"), 200);
  Replica& tail = cluster.at(cluster.at("core0").view().tail());
  Json answer;
  auto deliver = cluster.net.deliver;
  cluster.net.deliver = [&](const std::string& to, const std::string& from, const Json& message) {
    if (to == "elsewhere")
      answer = message;
    else
      deliver(to, from, message);
  };
  auto restarts_transfer = [&](std::uint64_t term) {
    answer = Json();
    Json progress{{"w", true}, {"e", false}, {"c", "k1"}, {"b", 99}, {"bk", ""}, {"k", 3}, {"kt", term}};
    Json message{{"t", "have"}, {"n", tail.view().number}, {"q", 1}, {"s", 0}, {"c", 0}, {"k", 0},
                 {"kt", 0},     {"st", progress}};
    receive_encoded(tail, cluster.net.now, "elsewhere", Json::parse(message.dump()));
    cluster.run(500);
    return answer.contains("new");
  };
  std::uint64_t term = tail.view().term;
  EXPECT_FALSE(restarts_transfer(term)) << answer.dump();
  EXPECT_EQ(answer["r"][0][0], "k2") << "the transfer must continue at its position";
  EXPECT_TRUE(restarts_transfer(term + 7)) << answer.dump();
  EXPECT_EQ(answer["r"][0][0], "k0");
}

// An Append names the sequence number and term that its rows follow; one that names another term is not
// stored.
TEST(StateTransfer, AnUpdateOnAnotherTermsNumberIsNotTaken) {
  ReplicaCluster cluster(41);
  cluster.run(3000);
  ASSERT_EQ(cluster.submit("core0", "a", "", "1"), 200);
  auto view = cluster.at("core0").view();
  Replica& successor = cluster.at(view.members[1].id);
  const std::uint64_t last_sequence = successor.state().last_sequence();
  auto append_with_term = [&](std::uint64_t term) {
    Json message{{"t", "up"},
                 {"n", view.number},
                 {"base", last_sequence},
                 {"bt", term},
                 {"k", last_sequence + 1},
                 {"r", Json::array({Json::array({"b", last_sequence + 1, "1"})})}};
    receive_encoded(successor, cluster.net.now, view.head(), Json::parse(message.dump()));
    return successor.state().last_sequence();
  };
  EXPECT_EQ(append_with_term(view.term + 1), last_sequence);
  EXPECT_EQ(append_with_term(view.term), last_sequence + 1);
}

// Hundreds of changes, while replicas crash, lose their disks, are cut off or all restart at once, never more
// at a time than are tolerated. Chunks are so small that each state takes many, and tombstones are compacted
// at once, so that a returning replica is behind the compaction point. No acknowledged change may be lost or
// undone, and in the end all replicas must hold the same rows.
void run_mixed_faults(std::uint32_t seed) {
  ReplicaCluster cluster(seed, 4, 3, 1);
  cluster.chunk_bytes = 20 + std::size_t(cluster.net.pick(300));
  cluster.run(1400);
  struct TrackedKey {
    std::string acknowledged, last;
    bool known = true;  // the acknowledged value is the present one
  };
  std::map<std::string, TrackedKey> keys;
  int serial = 0;
  std::vector<std::string> down;
  Millis lost_until = 0;  // a loss counts until the replica has had time to catch up
  auto change = [&] {
    std::string key = "k" + std::to_string(cluster.net.pick(25));
    TrackedKey& tracked = keys[key];
    auto& host = cluster.hosts[std::size_t(cluster.net.pick(4))];
    if (!tracked.known || !cluster.is_running(host)) return;
    std::string value = cluster.net.chance(0.25) && !tracked.acknowledged.empty()
                            ? ""
                            : std::to_string(++serial) + std::string(std::size_t(cluster.net.pick(60)), 'v');
    tracked.known = false;
    cluster.at(host).submit(cluster.net.now,
                            {{"key", key}, {"expect", tracked.acknowledged}, {"value", value}},
                            [&tracked, value](Status answer) {
                              if (answer.is_ok()) tracked.acknowledged = value, tracked.known = true;
                            });
  };
  for (int round = 0; round < 10; ++round) {
    if (cluster.net.now >= lost_until && !down.empty()) {
      cluster.net.blocked_links.clear();
      for (auto& host : down)
        if (!cluster.is_running(host)) cluster.start(host);
      down.clear();
      lost_until = cluster.net.now + 4000;
    }
    auto& victim = cluster.hosts[std::size_t(cluster.net.pick(4))];
    switch (cluster.net.now >= lost_until ? cluster.net.pick(4) : 4) {
      case 0:  // crash, perhaps with loss of the disk, for a shorter or longer time
        cluster.stop(victim, cluster.net.chance(0.5));
        down.push_back(victim);
        lost_until = cluster.net.now + cluster.net.pick(2500);
        break;
      case 1:
        cluster.isolate(victim, cluster.net.chance(0.5));
        down.push_back(victim);
        lost_until = cluster.net.now + cluster.net.pick(2500);
        break;
      case 2:  // all processes crash at once; the disks stay
        for (auto& host : cluster.hosts) cluster.stop(host);
        cluster.run(cluster.net.pick(400));
        for (auto& host : cluster.hosts) cluster.start(host);
        lost_until = cluster.net.now + 4000;
        break;
      default:
        break;
    }
    for (int i = 0; i < 10; ++i) {
      change();
      ASSERT_NO_FATAL_FAILURE(cluster.run(cluster.net.pick(100)));
      // Each replica compacts tombstones by itself, without the usual delay.
      for (auto& host : cluster.hosts)
        if (cluster.is_running(host) && cluster.net.chance(0.1)) {
          cluster.at(host).compact(cluster.net.now, ~0ull);
          cluster.at(host).compact(cluster.net.now + replication::kCompactAfterMs, ~0ull);
        }
    }
  }
  cluster.net.blocked_links.clear();
  for (auto& host : down)
    if (!cluster.is_running(host)) cluster.start(host);
  ASSERT_NO_FATAL_FAILURE(cluster.run(5000));
  auto undeleted_rows = [&](const std::string& host) {
    std::map<std::string, std::string> rows;
    for (auto& row : cluster.at(host).state().rows_after(0))
      if (!row.deleted) rows[row.key] = row.value;
    return rows;
  };
  std::size_t in_sync_count = 0;
  std::optional<std::map<std::string, std::string>> expected;
  for (auto& host : cluster.hosts) {
    if (!cluster.at(host).in_sync()) continue;
    ++in_sync_count;
    if (!expected) expected = undeleted_rows(host);
    EXPECT_EQ(undeleted_rows(host), *expected) << host;
  }
  EXPECT_GE(in_sync_count, 3u) << "not in sync after the faults have ended";
  EXPECT_EQ(cluster.at(cluster.hosts[0]).view().voters.size(), 3u);
  ASSERT_TRUE(expected);
  for (auto& [key, tracked] : keys) {
    if (!tracked.known) continue;
    auto entry = expected->find(key);
    EXPECT_EQ(entry == expected->end() ? "" : entry->second, tracked.acknowledged) << key;
  }
}

TEST(StateTransfer, AllReplicasHoldTheSameRowsAfterMixedFaults) {
  for (std::uint32_t seed = 1; seed <= seeds(500); ++seed) {
    SCOPED_TRACE(seed);
    run_mixed_faults(seed);
    if (HasFailure()) return;
  }
}

}  // namespace
}  // namespace pebblespindle::test
