// Configuration changes under difficult conditions: several on the same base revision, submitted repeatedly,
// with lost answers.
#include <gtest/gtest.h>

#include <algorithm>

#include "config/command_cluster.h"
#include "config/config_delivery.h"
#include "config/constants.h"
#include "config/state_rows.h"
#include "replication/timing.h"

namespace pebblespindle::test::config_commands {
namespace {

// The state of a chain head that commits every change at once.
struct ImmediateHead {
  StateTable state;
  int submit(const ChangeRequest& request) {
    auto result = validate_command(state, request.command());
    const std::uint64_t sequence = state.last_sequence() + 1;
    for (auto& row : result.rows) row.sequence = sequence, state.put(row);
    return answer_code(result.status);
  }
  // Submits a change again, checks that this writes nothing, and returns the answer.
  int resubmit(const ChangeRequest& request) {
    const std::uint64_t before = state.change_count();
    const int status = submit(request);
    EXPECT_EQ(state.change_count(), before) << "a change was applied twice";
    return status;
  }
  void restart() {
    StateTable restored;
    for (auto& row : state.rows_after(0)) restored.put(row);
    state = restored;
  }
};

TEST(ConfigurationCommands, AChangeIsKnownAsTakenAfterThousandsOfOthersAndARestart) {
  ImmediateHead head;
  std::vector<ChangeRequest> applied{put(0, 2)};
  ASSERT_EQ(head.submit(applied[0]), 200);
  for (std::uint64_t n = 1; n < kAppliedChangesKept; ++n) {
    const std::uint64_t base_revision = applied.back().revision;
    applied.push_back(n % 3 ? patch(base_revision, base_revision + 1 + n % 4, n)
                            : put(base_revision, base_revision + 1 + n % 4, n));
    ASSERT_EQ(head.submit(applied.back()), 200) << n;
  }
  head.restart();
  for (std::size_t n = 0; n < applied.size(); n += n < 80 || n + 80 > applied.size() ? 1 : 37) {
    ASSERT_EQ(head.resubmit(applied[n]), 200) << n;
    ChangeRequest other = applied[n];
    other.body += " ";
    // For the last change this is a conflict with the current configuration, which has the same revision.
    ASSERT_EQ(head.resubmit(other), 412) << n << ": another change on the same base revision";
    ChangeRequest elsewhere = applied[n];
    elsewhere.base_revision = applied.back().revision;  // an old configuration as a new change
    if (n + 1 < applied.size()) {
      ASSERT_EQ(head.resubmit(elsewhere), 400) << n << ": a replaced configuration must not be applied again";
    }
  }
}

TEST(ConfigurationCommands, TheRecordIsARingAndWhatItForgetsIsLeftUnclear) {
  ImmediateHead head;
  std::vector<ChangeRequest> applied;
  const std::size_t count = 2 * kAppliedChangesKept + 37;
  for (std::uint64_t n = 0; n < count; ++n) {
    applied.push_back(put(n ? applied.back().revision : 0, 3 * n + 2, n));
    const std::uint64_t before = head.state.change_count();
    ASSERT_EQ(head.submit(applied.back()), 200);
    if (n > 0) {
      ASSERT_LE(head.state.change_count() - before, 3u)
          << "each change writes one row of the record, the body and the head";
    }
    if (n % 499 == 0 || n + 5 > count ||
        (n + 3) % kAppliedChangesKept < 6) {  // also where the ring wraps around
      auto newest = newest_applied_change(head.state);
      ASSERT_TRUE(newest && newest->index == n && newest->revision == 3 * n + 2) << n;
      const std::size_t oldest = n < kAppliedChangesKept ? 0 : n - kAppliedChangesKept + 1;
      ASSERT_EQ(head.resubmit(applied[oldest]), 200);
      ASSERT_EQ(head.resubmit(applied[(oldest + n) / 2]), 200);
      if (oldest > 0) {
        ASSERT_EQ(head.resubmit(applied[oldest - 1]), 503) << "it was applied, so it must not be refused";
      }
      if (oldest > 1) {
        ASSERT_EQ(head.resubmit(applied[0]), 503);
      }
    }
  }
  std::size_t rows = 0;
  for (auto& r : head.state.rows_after(0)) rows += r.key.starts_with(kAppliedChangesPrefix);
  EXPECT_EQ(rows, kAppliedChangesKept) << "the record is bounded, including deleted rows";
}

TEST(ConfigurationCommands, TwoOrdersUnderOneRevisionAreToldApart) {
  ImmediateHead head;
  ASSERT_EQ(head.submit(put(0, 5, 1)), 200);
  EXPECT_EQ(head.resubmit(put(0, 5, 2)), 412) << "another body with the current revision";
  ASSERT_EQ(head.submit(patch(5, 9, 3)), 200);
  EXPECT_EQ(head.resubmit(patch(5, 9, 4)), 412);
  EXPECT_EQ(head.resubmit(put(5, 9, 3)), 412) << "a full configuration is not a patch";
  for (std::uint64_t r = 10; r < 400; ++r) ASSERT_EQ(head.submit(put(r - 1, r, r)), 200);
  EXPECT_EQ(head.resubmit(put(0, 5, 1)), 200);
  EXPECT_EQ(head.resubmit(patch(5, 9, 3)), 200);
  EXPECT_EQ(head.resubmit(put(0, 5, 2)), 412);
  EXPECT_EQ(head.resubmit(patch(5, 9, 4)), 412);
  EXPECT_EQ(head.resubmit(put(5, 9, 3)), 412);
  EXPECT_EQ(head.resubmit(put(399, 5, 1)), 400)
      << "an old configuration as a new change: its revision is not above its base";
  EXPECT_EQ(head.resubmit(put(6, 8, 1)), 412) << "on a revision that never existed";
  ChangeRequest same = patch(5, 9, 3);
  same.base_revision = 399;  // the same body with another base revision is another change
  EXPECT_EQ(head.resubmit(same), 400);
  ChangeRequest bytes = put(399, 401, 3);
  ASSERT_EQ(head.submit(bytes), 200);
  bytes.base_revision = 401;
  EXPECT_EQ(head.resubmit(bytes), 200) << "it is the current configuration";
  ASSERT_EQ(head.submit(put(401, 402, 4)), 200);
  bytes.base_revision = 399;
  EXPECT_EQ(head.resubmit(bytes), 200);
  bytes.patch = true;
  EXPECT_EQ(head.resubmit(bytes), 412) << "the same body as a patch";
}

// The base revision may still be produced. If the change were refused now, another controller could
// acknowledge it later.
TEST(ConfigurationCommands, AnOrderOnAVersionThatIsNotThereYetIsNotRefused) {
  ImmediateHead head;
  EXPECT_EQ(head.resubmit(put(4, 6)), 503);
  ASSERT_EQ(head.submit(put(0, 2)), 200);
  EXPECT_EQ(head.resubmit(put(4, 6)), 503);
  EXPECT_EQ(head.resubmit(patch(4, 6)), 503);
  ChangeRequest malformed = put(4, 6);
  malformed.body.pop_back();
  EXPECT_EQ(head.resubmit(malformed), 400) << "it is malformed in any state";
  EXPECT_EQ(head.resubmit(put(4, 4)), 400);
  malformed = patch(4, 6);
  malformed.body.pop_back();
  EXPECT_EQ(head.resubmit(malformed), 400);
  ASSERT_EQ(head.submit(put(2, 4)), 200);
  EXPECT_EQ(head.submit(put(4, 6)), 200);
}

// Earlier builds wrote one row with a list of hashes: length and FNV-1a of each change.
TEST(ConfigurationCommands, TheListOfAFormerVersionIsStillRead) {
  const ChangeRequest first = put(0, 2), second = patch(2, 5), third = put(5, 6, 9);
  auto state_with = [&](std::vector<std::string> hashes) {
    ImmediateHead head;
    EXPECT_EQ(head.submit(first), 200);
    EXPECT_EQ(head.submit(second), 200);
    EXPECT_EQ(head.submit(third), 200);
    StateTable former;
    for (auto& r : head.state.rows_after(0))
      if (!r.key.starts_with(kAppliedChangesPrefix)) former.put(r);
    former.put({kAppliedChangesPrefix, Json(hashes).dump(), former.last_sequence() + 1, false});
    head.state = former;
    return head;
  };
  // The hashes that such a build wrote for these bodies.
  const std::vector<std::string> hashes{"171.4878634827111472009", "191.15563891274061379737",
                                        "171.2061441877084686447"};
  ImmediateHead head = state_with(hashes);
  EXPECT_EQ(head.resubmit(first), 200);
  EXPECT_EQ(head.resubmit(second), 200);
  EXPECT_EQ(head.resubmit(third), 200);
  EXPECT_EQ(head.resubmit(put(2, 5)), 412) << "another change on the same base revision was applied";
  EXPECT_EQ(head.submit(put(6, 8)), 200);
  head.restart();
  EXPECT_EQ(head.resubmit(first), 200);
  EXPECT_EQ(head.resubmit(third), 200);
  EXPECT_EQ(head.resubmit(put(6, 8)), 200);
  EXPECT_EQ(head.resubmit(put(2, 5)), 412);

  std::vector<std::string> full = hashes;  // older changes may have been dropped from the list
  while (full.size() < 64) full.push_back("1." + std::to_string(full.size()));
  ImmediateHead head_with_full_list = state_with(full);
  EXPECT_EQ(head_with_full_list.resubmit(second), 200);
  EXPECT_EQ(head_with_full_list.resubmit(put(1, 2, 8)), 503)
      << "the record no longer tells whether it was applied";
  ASSERT_EQ(head_with_full_list.submit(put(6, 8)), 200);
  EXPECT_EQ(head_with_full_list.resubmit(put(6, 9)), 412);
  EXPECT_EQ(head_with_full_list.resubmit(put(1, 2, 8)), 503);
  std::uint64_t r = 8;
  for (std::size_t n = 1; n < kAppliedChangesKept; ++n, ++r)
    ASSERT_EQ(head_with_full_list.submit(put(r, r + 1)), 200);
  EXPECT_EQ(head_with_full_list.resubmit(second), 200);
  ASSERT_TRUE(head_with_full_list.state.find(kAppliedChangesPrefix));
  ASSERT_EQ(head_with_full_list.submit(put(r, r + 1)), 200);
  EXPECT_FALSE(head_with_full_list.state.find(kAppliedChangesPrefix))
      << "the ring drops changes, so the older list is deleted";
  EXPECT_EQ(head_with_full_list.resubmit(second), 503);
  EXPECT_EQ(head_with_full_list.resubmit(put(6, 8)), 503);
  EXPECT_EQ(head_with_full_list.resubmit(put(8, 9)), 200);
}

TEST(ConfigurationCommands, NodesDoNotReceiveTheRecord) {
  ImmediateHead head;
  for (std::uint64_t r = 1; r < 30; ++r) ASSERT_EQ(head.submit(put(r - 1, r)), 200);
  StateTable former = head.state;
  former.put({kAppliedChangesPrefix, "[]", former.last_sequence() + 1, false});
  std::size_t rows = 0;
  for (std::uint64_t from : {0, 5})
    for (auto& line : encode_update_lines(from, former.last_sequence(), former.rows_after(from))) {
      const Json chunk = Json::parse(line);
      for (auto& row : chunk["r"]) {
        const std::string key = row[0];
        EXPECT_TRUE(key[0] != 't' && key != kConfigurationKey) << key;
        ++rows;
      }
    }
  EXPECT_GE(rows, 3u);
}

// --- on a simulated network ---

// Y is refused because of X, which the next controller in the chain never receives. The refusal must wait
// until X is committed, so it is lost together with X.
TEST(ConfigurationCommands, ARefusalIsNotGivenBeforeWhatItRestsOnIsCommitted) {
  ControllerCluster cluster(5);
  cluster.run(3000);
  const std::string head = head_of(cluster);
  ASSERT_FALSE(head.empty());
  auto first = cluster.add(put(0, 3, 1));
  cluster.submit(first, head);
  cluster.run(200);
  ASSERT_TRUE(cluster.requests[first].acknowledged);
  const std::string next = cluster.at(head).view().successor(cluster.at(head).self());
  auto before = cluster.add(put(3, 5, 2)), x = cluster.add(put(5, 8, 3)), y = cluster.add(put(5, 9, 4)),
       same = cluster.add(put(5, 10, 5));
  cluster.submit(before, head);  // not committed yet, so that the next two are validated together
  int answers = 0;
  auto count = [&](int status) { answers += status != 0; };
  cluster.submit(x, head, count);
  cluster.submit(y, head, count);
  cluster.submit(x, head, count);  // twice: the second finds that it is applied
  const auto stored = cluster.at(head).state().last_sequence();
  while (cluster.at(next).state().last_sequence() < stored) cluster.run(1);
  cluster.net.blocked_links.insert({head, next});
  cluster.run(replication::kSubmitRetryMs / 2);
  // The previous commit message arrives again and makes the head check which answers are due.
  receive_encoded(cluster.at(head), cluster.net.now, next,
                  {{"t", "com"}, {"n", cluster.at(head).view().number}, {"k", stored}});
  cluster.run(replication::kSubmitRetryMs / 2);
  ASSERT_GT(cluster.at(head).state().last_sequence(), stored) << "X and Y were validated";
  ASSERT_EQ(newest_applied_change(cluster.at(head).state())->revision, 8u);
  EXPECT_EQ(answers, 0) << "an answer that depends on an uncommitted change";
  cluster.kill(head, true);
  cluster.net.blocked_links.clear();
  cluster.run(6000);
  ASSERT_FALSE(cluster.requests[y].refused);
  cluster.submit(y, next);
  cluster.run(1000);
  EXPECT_TRUE(cluster.requests[y].acknowledged) << "it is now the first change on its base revision";
  cluster.submit(x, next);
  cluster.submit(same, next);
  cluster.start(head);
  cluster.run(5000);
  EXPECT_TRUE(cluster.requests[x].refused && cluster.requests[same].refused);
  EXPECT_EQ(cluster.history.back().revision, 9u);
}

// The answer is lost between two controllers, another change follows, and the controller that was asked
// repeats the first change on its own.
TEST(ConfigurationCommands, TheChainsOwnRepeatFindsItsOrderTakenAndReplaced) {
  for (bool by_patch : {false, true}) {
    ControllerCluster cluster(by_patch ? 6 : 7, 4);
    cluster.run(3000);
    const std::string head = head_of(cluster),
                      asked = "core3";  // the fourth controller, which is not a member of the chain
    ASSERT_FALSE(cluster.at(head).view().has_member(cluster.at(asked).self()));
    cluster.submit(cluster.add(put(0, 3, 1)), head);
    cluster.run(200);
    auto x = cluster.add(by_patch ? patch(3, 4, 2) : put(3, 4, 2));
    int status = -1;
    cluster.submit(x, asked, [&](int answer) { status = answer; });
    while (cluster.history.size() < 2) cluster.run(1);  // committed at the tail; the answer is on its way
    for (auto& host : cluster.hosts)
      if (host != asked) cluster.net.blocked_links.insert({host, asked});
    cluster.run(20);
    cluster.net.blocked_links.clear();
    ASSERT_EQ(status, -1);
    auto after = cluster.add(put(4, 6, 3));
    cluster.submit(after, head);
    cluster.run(100);
    ASSERT_TRUE(cluster.requests[after].acknowledged);
    ASSERT_EQ(status, -1);
    cluster.run(replication::kSubmitRetryMs);
    EXPECT_EQ(status, 200) << "applied, and replaced since";
    EXPECT_EQ(cluster.history.size(), 3u);
  }
}

// A controller that has lost its membership refuses nothing, whatever state it holds.
TEST(ConfigurationCommands, ACoreThatIsCutOffRefusesNothing) {
  ControllerCluster cluster(8);
  cluster.run(3000);
  const std::string head = head_of(cluster);
  cluster.submit(cluster.add(put(0, 3, 1)), head);
  cluster.run(1000);
  ASSERT_TRUE(cluster.at(head).all_committed() && cluster.history.size() == 1)
      << "it has no uncommitted changes";
  for (auto& host : cluster.hosts)
    if (host != head)
      cluster.net.blocked_links.insert({host, head}), cluster.net.blocked_links.insert({head, host});
  std::vector<std::size_t> asked{cluster.add(put(0, 9, 2)), cluster.add(put(3, 8, 3)),
                                 cluster.add(patch(3, 7, 4)), cluster.add(put(3, 2, 5))};
  int answers = 0;
  cluster.run(replication::kPeerTimeoutMs);  // its lease has expired
  for (int n = 0; n < 4; ++n) {
    for (auto id : asked) cluster.submit(id, head, [&](int status) { answers += status != 0; });
    cluster.run(replication::kSubmitTimeoutMs + 50);
  }
  EXPECT_EQ(answers, 0);
  EXPECT_EQ(cluster.history.size(), 1u);
  cluster.net.blocked_links.clear();
  cluster.run(4000);
  for (auto id : asked) {
    cluster.submit(id, head);
    cluster.run(1000);
    EXPECT_NE(cluster.requests[id].acknowledged, cluster.requests[id].refused);
  }
  EXPECT_EQ(cluster.history.size(), 2u);
}

// Eight operators submit changes at the same time, each on the newest revision that it knows. One that gets a
// conflict submits its change again on a newer revision.
TEST(ConfigurationCommands, EightUnderWayAreAcknowledgedSoon) {
  ControllerCluster cluster(11);
  cluster.run(3000);
  struct PendingChange {
    std::size_t id = 0;
    bool open = false;
    Millis begun = 0, sent = 0, next = 0;
  } pending_changes[8];
  std::vector<Millis> attempt_ms, total_ms;  // of the attempt that was acknowledged; since the first attempt
  std::uint64_t salt = 0;
  int refusals = 0, newest_refused = 0;
  while (total_ms.size() < 400) {
    for (auto& pending : pending_changes) {
      if (pending.open || cluster.net.now < pending.next) continue;
      pending.open = true;
      pending.sent = cluster.net.now;
      if (pending.begun == 0) pending.begun = pending.sent;
      ++salt;
      const std::uint64_t revision = cluster.newest_acknowledged + 1 + salt % 3;
      pending.id = cluster.add(salt % 4 || !cluster.newest_acknowledged
                                   ? put(cluster.newest_acknowledged, revision, salt)
                                   : patch(cluster.newest_acknowledged, revision, salt));
      cluster.submit(pending.id, cluster.hosts[std::size_t(cluster.net.pick(3))], [&](int status) {
        pending.open = false;
        pending.next = cluster.net.now + 10 + cluster.net.pick(100);
        if (status == 200) {
          attempt_ms.push_back(cluster.net.now - pending.sent);
          total_ms.push_back(cluster.net.now - pending.begun);
          pending.begun = 0;
        } else {
          ++refusals;
          newest_refused += cluster.requests[pending.id].base_revision == cluster.history.back().revision;
        }
      });
    }
    ASSERT_NO_FATAL_FAILURE(cluster.run(1));
    ASSERT_LT(cluster.net.now, 120000);
  }
  std::sort(attempt_ms.begin(), attempt_ms.end());
  std::sort(total_ms.begin(), total_ms.end());
  std::printf(
      "one attempt: median %d, 99 of 100 %d, most %d ms; with retries: median %d, 99 of 100 %d, most %d ms; "
      "%d refusals, %d on the newest\n",
      int(attempt_ms[attempt_ms.size() / 2]), int(attempt_ms[attempt_ms.size() * 99 / 100]),
      int(attempt_ms.back()), int(total_ms[total_ms.size() / 2]), int(total_ms[total_ms.size() * 99 / 100]),
      int(total_ms.back()), refusals, newest_refused);
  EXPECT_EQ(newest_refused, 0) << "refused although its base was the newest revision";
  EXPECT_LT(attempt_ms[attempt_ms.size() / 2], 60)
      << "a message each way and a pass through the chain, twice";
  EXPECT_LT(attempt_ms.back(), replication::kSubmitTimeoutMs);
  EXPECT_LT(total_ms[total_ms.size() * 99 / 100], 4000);
}

}  // namespace
}  // namespace pebblespindle::test::config_commands
