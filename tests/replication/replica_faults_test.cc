// Tests of the replicas under faults on the simulated network: the same code as in the process, with the
// invariants checked after each step. docs/worst-days.md explains the scenarios; each safeguard named there
// has a test here that fails without it.
#include "controller/constants.h"
#include "replication/encoded_messages.h"
#include "replication/faulty_cluster.h"

namespace pebblespindle::test {
namespace {

// --- Partitions (docs/worst-days.md, 1) ---

void run_partitions(std::uint32_t seed, bool long_partition) {
  SCOPED_TRACE(seed);
  bool five_replicas = seed % 4 == 0;
  FaultyCluster cluster(seed, five_replicas ? 5 : 3, 3, five_replicas ? 2 : 1);
  cluster.run_checked(five_replicas ? 4000 : 1200);
  cluster.writing = true;
  auto choose_host = [&](int role) {  // the host of the head, the tail, any member, or any replica
    for (auto& host : cluster.hosts)
      if (cluster.is_running(host) && cluster.at(host).holds_lease(cluster.now())) {
        auto& members = cluster.at(host).view().members;
        auto& victim = role == 0   ? members.front()
                       : role == 1 ? members.back()
                                   : members[std::size_t(cluster.net.pick(int(members.size())))];
        return replication::host_of(victim.id);
      }
    return cluster.random_host();
  };
  auto partition = [&](const std::string& victim, int kind) {
    for (auto& other : cluster.hosts) {
      if (other == victim) continue;
      // 1: the others receive the victim's messages, it receives none. 2: the reverse.
      if (kind != 1) cluster.net.blocked_links.insert({victim, other});
      if (kind != 2) cluster.net.blocked_links.insert({other, victim});
    }
    if (kind == 3)
      cluster.net.drop_messages_of(victim);  // connections are reset: messages under way are lost
    if (kind == 4)                           // only the link to one other replica, in one direction
      std::erase_if(cluster.net.blocked_links,
                    [&, keep = cluster.hosts[std::size_t(cluster.net.pick(int(cluster.hosts.size())))]](
                        auto& link) { return link.first != victim || link.second != keep; });
  };
  for (int round = 0; round < 2; ++round) {
    std::string victim = choose_host(cluster.net.pick(3));
    partition(victim, cluster.net.pick(5));
    for (auto& node : cluster.nodes)
      // The node is connected to the isolated replica.
      if (cluster.net.chance(0.5)) node.controller_host = victim, node.heard_at = cluster.now();
    cluster.run_checked(long_partition ? 20000 + cluster.net.pick(4000) : 1200 + cluster.net.pick(1600));
    if (cluster.net.chance(0.2))
      cluster.restart(cluster.net.chance(0.5) ? victim : cluster.random_host(), cluster.net.pick(300));
    cluster.net.blocked_links.clear();
    if (round == 0 && cluster.net.chance(0.5))
      cluster.run_checked(cluster.net.pick(800));  // the second partition begins while the first one heals
    else
      cluster.run_checked(1500);
    if (testing::Test::HasFailure()) return;
  }
  cluster.net.blocked_links.clear();
  cluster.run_checked(five_replicas ? 6000 : 4000);
  if (!testing::Test::HasFailure()) cluster.expect_healthy(cluster.hosts.size());
  EXPECT_GT(cluster.answered, 0);
}

TEST(ReplicaFaults, PartitionedReplicasServeNothing) {
  each_seed(500, [](std::uint32_t seed) { run_partitions(seed, seed % 25 == 0); });
}

// A refusal or a value counts only if it comes from the replica that was asked, and a refusal only for the
// last attempt: the change may have been applied by an earlier one.
TEST(ReplicaFaults, ARefusalCountsForTheLastAttemptOnly) {
  FaultyCluster cluster(3, 3, 3, 1);
  cluster.run_checked(1500);
  auto view = cluster.at("core0").view();
  std::string head = view.head(), tail = view.tail(), victim = view.members[1].id;
  Replica& replica = cluster.at(victim);
  cluster.isolate(victim, true);
  int status = -1, value_read = -1;
  replica.submit(cluster.now(), {{"key", "k0"}, {"expect", ""}, {"value", "1"}},
                 [&](Status answer) { status = answer_code(answer); });
  replica.read(cluster.now(), "k0", [&](const Result<std::optional<std::string>>& value) {
    value_read = value && *value ? std::stoi(**value) : 0;
  });
  // The request ids, taken from the messages.
  std::uint64_t id = 0;
  cluster.net.blocked_links.clear();
  cluster.net.deliver = [&](const std::string&, const std::string&, const Json& message) {
    if (message["t"] == "sub") id = message["id"];
  };
  for (int i = 0; i < 350; ++i) cluster.net.step(), replica.tick(cluster.now());
  ASSERT_NE(id, 0u);
  auto refuse = [&](const std::string& from, int attempt) {
    receive_encoded(replica, cluster.now(), from,
                    {{"t", "done"}, {"id", id}, {"s", 412}, {"why", "x"}, {"q", attempt}});
  };
  refuse(head, 1);  // refuses the first attempt, while the second is under way
  refuse(tail, 2);  // from a replica that was not asked
  EXPECT_EQ(status, -1);
  refuse(head, 2);
  EXPECT_EQ(status, 412);
  receive_encoded(replica, cluster.now(), head, {{"t", "val"}, {"id", id + 1}, {"v", "9"}});
  EXPECT_EQ(value_read, -1) << "a value from a replica that was not asked counts";
  receive_encoded(replica, cluster.now(), tail, {{"t", "val"}, {"id", id + 1}, {"v", "9"}});
  EXPECT_EQ(value_read, 9);
}

// Guards against a delayed submission that reaches the head of a later view: another head may have refused it
// since.
TEST(ReplicaFaults, ASubmissionOfAFormerViewIsNotApplied) {
  FaultyCluster cluster(4, 3, 3, 1);
  cluster.run_checked(1500);
  Replica& head = cluster.at(cluster.at("core0").view().head());
  auto before = head.state().last_sequence();
  auto submit = [&](std::uint64_t view) {
    receive_encoded(head, cluster.now(), "core2",
                    {{"t", "sub"},
                     {"id", 7 + view},
                     {"n", view},
                     {"q", 1},
                     {"u", {{"key", "k0"}, {"expect", ""}, {"value", "1"}}}});
  };
  submit(head.view().number - 1);
  EXPECT_EQ(head.state().last_sequence(), before);
  submit(head.view().number);
  EXPECT_EQ(head.state().last_sequence(), before + 1);
}

// The tail's reply acknowledges a change. A tail without a lease must not send it, although it has stored the
// change.
TEST(ReplicaFaults, ATailWithoutALeaseAcknowledgesNothing) {
  FaultyCluster cluster(5, 3, 3, 1);
  cluster.run_checked(1500);
  auto view = cluster.at("core0").view();
  Replica& tail = cluster.at(view.tail());
  auto last_sequence = tail.state().last_sequence();
  cluster.isolate(replication::host_of(view.tail()), true);
  cluster.run_checked(980);
  ASSERT_FALSE(tail.holds_lease(cluster.now()));
  ASSERT_EQ(tail.view().number, view.number);
  cluster.net.blocked_links.clear();
  int acknowledgements = 0;
  cluster.net.deliver = [&](const std::string&, const std::string&, const Json& message) {
    acknowledgements += message["t"] == "done";
  };
  receive_encoded(tail, cluster.now(), view.members[1].id,
                  {{"t", "up"},
                   {"n", view.number},
                   {"base", last_sequence},
                   {"bt", 0},
                   {"k", last_sequence + 1},
                   {"r", Json::array({Json::array({"k0", last_sequence + 1, "1"})})},
                   {"o", Json::array({Json::array({last_sequence + 1, view.head(), 5})})}});
  ASSERT_EQ(tail.state().last_sequence(), last_sequence + 1);
  for (int i = 0; i < 20; ++i) cluster.net.step(), tail.tick(cluster.now());
  EXPECT_EQ(acknowledgements, 0);
}

// A head that has accepted a view without itself must no longer act as leader, although another voter's lease
// to it has not expired.
TEST(ReplicaFaults, AHeadThatAcceptedAViewWithoutItselfHasNoLease) {
  FaultyCluster cluster(14258, 3, 3, 1);
  cluster.run_checked(1500);
  auto view = cluster.at("core0").view();
  Replica& head = cluster.at(view.head());
  auto next = view;
  ++next.number;
  next.members.erase(next.members.begin());
  next.term = next.number;
  cluster.net.blocked_links.insert(
      {view.members[1].id, view.head()});  // grants come from one other voter and the head itself
  cluster.run_checked(1000);
  ASSERT_EQ(head.view().number, view.number);
  ASSERT_TRUE(head.is_leader(cluster.now()));
  receive_encoded(head, cluster.now(), view.members[1].id,
                  {{"t", "acc"}, {"n", next.number}, {"b", 1000}, {"view", replication::encode_view(next)}});
  EXPECT_FALSE(head.is_leader(cluster.now()));
}

// Nodes are redirected only by replicas that know the present view; a standby may be one of them.
TEST(ReplicaFaults, OnlyReplicasThatHearAMajorityRedirectNodes) {
  FaultyCluster cluster(6, 4, 3, 1);
  cluster.run_checked(3000);
  auto& standby = cluster.at("core3");
  EXPECT_FALSE(standby.holds_lease(cluster.now()));
  EXPECT_TRUE(standby.hears_majority(cluster.now()));
  cluster.isolate("core3", true);
  cluster.isolate("core1", false);
  cluster.run_checked(1300);
  EXPECT_FALSE(standby.hears_majority(cluster.now()));
  EXPECT_FALSE(cluster.at("core1").hears_majority(cluster.now()));
  EXPECT_TRUE(cluster.at("core2").hears_majority(cluster.now()));
}

// Messages with fields changed, removed or of another type, from members and from unknown senders: no replica
// stops, and committed rows stay as they are.
TEST(ReplicaFaults, MutatedMessagesChangeNothingThatIsCommitted) {
  each_seed(100, [](std::uint32_t seed) {
    SCOPED_TRACE(seed);
    FaultyCluster cluster(seed, 3, 3, 1);
    std::vector<Json> recorded;
    auto deliver = cluster.net.deliver;
    cluster.net.deliver = [&](const std::string& to, const std::string& from, const Json& message) {
      if (message["t"] != "line" && (message["t"] != "b" || cluster.net.chance(0.02)))
        recorded.push_back(message);
      deliver(to, from, message);
    };
    cluster.writing = true;
    cluster.run_checked(1500);
    cluster.writing = false;
    cluster.run_checked(1500);
    cluster.net.deliver = deliver;
    const std::vector<Json> odd_values{nullptr,
                                       -1,
                                       1.5,
                                       "x",
                                       true,
                                       Json::array(),
                                       Json::object(),
                                       0,
                                       std::uint64_t(-1),
                                       1ull << 61,
                                       Json::array({1, 2, 3}),
                                       "core1"};
    for (int i = 0; i < 60; ++i) {
      Json message = recorded[std::size_t(cluster.net.pick(int(recorded.size())))];
      for (int mutations = cluster.net.pick(3); mutations >= 0 && message.is_object() && !message.empty();
           --mutations) {
        auto flat = message.flatten();
        auto chosen = flat.begin();
        std::advance(chosen, cluster.net.pick(int(flat.size())));
        if (chosen.key().empty()) break;
        Json& field = message[Json::json_pointer(chosen.key())];
        if (cluster.net.chance(0.2))
          message.erase(message.begin());
        else if (field.is_number_integer() && cluster.net.chance(0.3))
          field = field.get<std::int64_t>() - 1;
        else
          field = odd_values[std::size_t(cluster.net.pick(int(odd_values.size())))];
      }
      std::string from = cluster.net.chance(0.8)   ? cluster.random_host()
                         : cluster.net.chance(0.5) ? "stranger"
                                                   : "";
      Replica& replica = cluster.at(cluster.random_host());
      auto committed = replica.committed();
      std::map<std::string, std::string> committed_values;
      for (auto& row : replica.state().rows_after(0))
        if (row.sequence <= committed) committed_values[row.key] = row.value;
      // A well-formed message of these types with other content can't be distinguished from a genuine one.
      bool plausible =
          well_formed(message) && (message["t"] == "up" || message["t"] == "sub" || message["t"] == "dec");
      if (plausible) continue;
      receive_encoded(replica, cluster.now(), from, message);
      ASSERT_EQ(replica.committed(), committed) << message;
      for (auto& [key, value] : committed_values) {
        ASSERT_TRUE(replica.state().find(key)) << message;
        ASSERT_EQ(replica.state().find(key)->value, value) << message;
      }
    }
    cluster.run_checked(3000);  // the cluster must still work afterwards
    cluster.writing = true;
    cluster.answered = 0;
    cluster.run_checked(3000);
    EXPECT_GT(cluster.answered, 0);
  });
}

// --- A second loss right after a repair (docs/worst-days.md, 3) ---

// Shuts a replica down as the process does: it hands over its vote, leaves the view and ends 50 ms later.
// Returns the time that this took.
Millis exit_gracefully(FaultyCluster& cluster, const std::string& victim) {
  Millis since = cluster.now();
  cluster.at(victim).begin_leaving(cluster.now());
  while (!cluster.at(victim).may_exit(cluster.now()) && cluster.now() < since + kHandOverTimeoutMs &&
         !testing::Test::HasFailure())
    cluster.run_checked(20);
  cluster.at(victim).stop(cluster.now());
  cluster.run_checked(50);
  cluster.stop(victim);
  cluster.deliveries.erase(victim);
  return cluster.now() - since;
}

void add_replica(FaultyCluster& cluster, const std::string& new_host) {
  cluster.hosts.push_back(new_host);
  cluster.seeds = cluster.hosts;
  cluster.start(new_host);
}

// Runs until the next event of a kind: 0 a new view, 1 a replica in sync or no longer, 2 a change of voters.
void run_until_next(FaultyCluster& cluster, int kind) {
  auto observe = [&] {
    Json seen = Json::array();
    for (auto& host : cluster.hosts) {
      if (!cluster.is_running(host)) continue;
      auto& view = cluster.at(host).view();
      if (kind == 0) seen.push_back(view.number);
      if (kind == 1) seen.push_back(cluster.at(host).in_sync());
      if (kind == 2) seen.push_back(view.voters);
    }
    return seen;
  };
  Json initial = observe();
  for (Millis end = cluster.now() + 3000;
       cluster.now() < end && observe() == initial && !testing::Test::HasFailure();)
    cluster.run_checked(5);
}

void run_losses(std::uint32_t seed, int rounds) {
  SCOPED_TRACE(seed);
  const bool five_replicas = seed % 4 == 0;
  bool has_standby = seed % 2 == 1 || seed % 8 == 0;
  const std::size_t tolerated_losses = five_replicas ? 2 : 1;
  FaultyCluster cluster(seed, (five_replicas ? 5 : 3) + has_standby, 3, tolerated_losses);
  const Millis catch_up = five_replicas ? 6000 : 4000;
  cluster.run_checked(five_replicas ? 6000 : 2000);
  cluster.writing = true;
  cluster.run_checked(300);
  for (int round = 0; round < rounds && !testing::Test::HasFailure(); ++round) {
    const std::string new_host = "core" + std::to_string(100 + round);
    auto voter = [&] {
      std::string host = cluster.random_host();
      while (!testing::Test::HasFailure() &&
             !(cluster.is_running(host) && cluster.at(host).view().has_voter(cluster.at(host).self())))
        host = cluster.random_host();
      return host;
    };
    auto remove_replica = [&](const std::string& victim) {
      cluster.cores.erase(victim);
      std::erase(cluster.hosts, victim);
    };
    std::string victim = voter();
    bool lose_second = five_replicas;  // whether a second replica is lost during the first loss
    switch (cluster.net.pick(7)) {
      case 0:  // crash; returns with its disk
        cluster.stop(victim);
        cluster.run_checked(cluster.net.pick(4000));
        cluster.start(victim);
        break;
      case 1:  // crash with loss of the disk
        cluster.stop(victim, true);
        cluster.run_checked(cluster.net.pick(2000));
        cluster.start(victim);
        break;
      case 2:  // replaced by another machine
        cluster.stop(victim);
        remove_replica(victim);
        cluster.run_checked(cluster.net.pick(4000));
        add_replica(cluster, new_host);
        break;
      case 3: {  // shut down gracefully and never restarted
        exit_gracefully(cluster, victim);
        remove_replica(victim);
        if (has_standby) {  // its vote was handed over, so the next loss, with the disk, may come at once
          std::string next = voter();
          cluster.stop(next, true);
          cluster.run_checked(cluster.net.pick(1500));
          cluster.start(next);
          lose_second = false;
        } else {
          cluster.run_checked(cluster.net.pick(3000));
        }
        add_replica(cluster, new_host);
        break;
      }
      case 4:  // graceful restart
        exit_gracefully(cluster, victim);
        cluster.run_checked(cluster.net.pick(2000));
        cluster.start(victim);
        break;
      case 5: {  // all lose power, and as many as are tolerated lose their disks
        for (auto& host : cluster.hosts) cluster.stop(host);
        cluster.deliveries.clear();
        for (std::size_t i = 0; i < tolerated_losses; ++i)
          cluster.cores[cluster.random_host()]->disk = MemoryStorage();
        cluster.run_checked(cluster.net.pick(1500));
        for (auto& host : cluster.hosts) cluster.start(host);
        lose_second = false;
        cluster.run_checked(catch_up);
        break;
      }
      case 6:  // partition
        cluster.isolate(victim, cluster.net.chance(0.6));
        cluster.run_checked(1500 + cluster.net.pick(2000));
        cluster.net.blocked_links.clear();
        break;
    }
    if (lose_second) {
      run_until_next(cluster, cluster.net.pick(3));
      std::string next = cluster.random_host();
      if (next != victim && cluster.is_running(next) && next != new_host) {
        cluster.stop(next, true);
        cluster.run_checked(cluster.net.pick(1000));
        cluster.start(next);
      }
    }
    cluster.run_checked(catch_up);
    if (testing::Test::HasFailure()) return;
    cluster.expect_healthy(cluster.hosts.size());
    int before = cluster.answered;
    for (Millis end = cluster.now() + 3000;
         cluster.now() < end && cluster.answered == before && !testing::Test::HasFailure();)
      cluster.run_checked(20);
    EXPECT_GT(cluster.answered, before) << "no change is accepted any more";
  }
}

TEST(ReplicaFaults, ALossAfterARepairLosesNothing) {
  each_seed(500, [](std::uint32_t seed) { run_losses(seed, seed % 3 ? 1 : 2); });
}

void let_head_give_up_its_vote(FaultyCluster& cluster) {
  cluster.run_checked(3000);
  Replica& head = cluster.at("core0");
  ASSERT_TRUE(head.is_leader(cluster.now()));
  head.begin_leaving(cluster.now());
  for (Millis end = cluster.now() + 2000;
       cluster.now() < end && head.view().has_voter("core0") && !testing::Test::HasFailure();)
    cluster.run_checked(1);
  ASSERT_FALSE(head.view().has_voter("core0"));
}

// A head that has given up its vote and restarted is still the head: the others must be able to decide a next
// view with it.
TEST(ReplicaFaults, AHeadWithoutAVoteDoesNotStopTheNextView) {
  FaultyCluster cluster(273, 4, 3, 1);
  ASSERT_NO_FATAL_FAILURE(let_head_give_up_its_vote(cluster));
  cluster.run_checked(300);
  cluster.stop("core0");
  cluster.run_checked(100);
  cluster.start("core0");
  cluster.run_checked(1000);
  ASSERT_EQ(cluster.at("core1").view().head(), "core0");
  cluster.stop("core2");
  cluster.run_checked(4000);
  EXPECT_FALSE(cluster.at("core1").view().has_member("core2"));
  EXPECT_TRUE(cluster.at("core1").view().has_voter("core0"))
      << "no replica has taken the vote of the failed one";
}

// A replica that leaves stays a member and a voter until a standby holds the state and has its vote.
TEST(ReplicaFaults, ALeavingReplicaHandsOverItsVoteFirst) {
  Millis longest = 0;
  for (std::uint32_t seed = 1; seed <= 40 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    FaultyCluster cluster(seed, 4, 3, 1);
    cluster.run_checked(2500);
    cluster.writing = true;
    cluster.run_checked(500);
    auto before = cluster.at("core0").view();
    std::string victim = replication::host_of(before.members[seed % 3].id);
    ASSERT_TRUE(cluster.at(victim).view().has_voter(victim));
    longest = std::max(longest, exit_gracefully(cluster, victim));
    auto& view = cluster.newest_replica().view();
    EXPECT_EQ(view.voters.size(), 3u);
    EXPECT_FALSE(view.has_voter(victim)) << "the replica has left and still votes";
    std::string next = cluster.random_host();  // the next loss, with the disk, comes at once
    while (next == victim) next = cluster.random_host();
    cluster.stop(next, true);
    // Writers also choose replicas that are down, so the test compares the answers with the requests that
    // reached a running replica.
    int answered_before = cluster.answered, submitted_before = cluster.submitted;
    cluster.run_checked(4000);
    cluster.writing = false;
    cluster.run_checked(replication::kSubmitTimeoutMs);  // requests under way still get their answer
    EXPECT_GT(cluster.answered, answered_before);
    EXPECT_GE(2 * (cluster.answered - answered_before), cluster.submitted - submitted_before);
  }
  EXPECT_LE(longest, 1500) << "ms from begin_leaving() until the process has ended";
  RecordProperty("longest_ms", std::to_string(longest));
  std::printf("handed over in %d ms at most\n", int(longest));
}

// A leaving replica must wait until a majority of the new voters knows that it has no vote any more.
TEST(ReplicaFaults, ALeavingReplicaWaitsUntilAMajorityKnowsTheNewVoters) {
  FaultyCluster cluster(13581, 4, 3, 1);
  ASSERT_NO_FATAL_FAILURE(let_head_give_up_its_vote(cluster));
  Replica& head = cluster.at("core0");
  EXPECT_FALSE(head.may_exit(cluster.now()));
  cluster.run_checked(500);
  EXPECT_TRUE(head.may_exit(cluster.now()));
}

// The second member crashes and loses its disk right after a view is decided: the members behind it cannot
// obtain the state and must not be removed for that.
TEST(ReplicaFaults, ALossRightAfterADecidedViewDoesNotStopTheCluster) {
  for (std::uint32_t seed = 1; seed <= 20 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    FaultyCluster cluster(seed, 5, 3, 2);
    cluster.run_checked(6000);
    std::string last = replication::host_of(cluster.newest_replica().view().tail());
    cluster.isolate(last, true);
    cluster.run_checked(3000);
    cluster.net.blocked_links.clear();
    auto number = cluster.newest_replica().view().number;
    for (Millis end = cluster.now() + 3000; cluster.now() < end &&
                                            cluster.newest_replica().view().number == number &&
                                            !testing::Test::HasFailure();)
      cluster.run_checked(1);
    std::string second = replication::host_of(cluster.newest_replica().view().members[1].id);
    cluster.stop(second, true);
    cluster.run_checked(10 * Millis(seed));
    cluster.start(second);
    cluster.run_checked(6000);
    cluster.expect_healthy(5);
    cluster.writing = true;
    cluster.run_checked(2000);
    EXPECT_GT(cluster.answered, 0);
  }
}

TEST(ReplicaFaults, WithoutAStandbyALeavingReplicaExitsAtOnce) {
  FaultyCluster cluster(2, 3, 3, 1);
  cluster.run_checked(2000);
  cluster.writing = true;
  cluster.run_checked(500);
  EXPECT_LE(exit_gracefully(cluster, "core0"), 100);
  cluster.run_checked(400);
  EXPECT_FALSE(cluster.at("core1").view().has_member("core0"));
  cluster.start("core0");
  Millis since = cluster.now();
  while (!(cluster.at("core1").view().has_member("core0") && cluster.at("core0").in_sync()) &&
         cluster.now() < since + 5000)
    cluster.run_checked(10);
  std::printf("in sync again after %d ms\n", int(cluster.now() - since));
  cluster.run_checked(4000);
  cluster.expect_healthy(3);
}

}  // namespace
}  // namespace pebblespindle::test
