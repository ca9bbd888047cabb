// Tests of requests that are pending when their controller shuts down.
#include "replication/pending_requests.h"

#include <gtest/gtest.h>

namespace pebblespindle::replication {
namespace {

struct SilentOutbox : Outbox {
  void send(const ReplicaId&, const Message&) override { ++sent; }
  void send_to_others(const Message&) override {}
  int sent = 0;
};

View view_of(const ReplicaId& id) {
  View view;
  view.number = 1;
  view.members.push_back({id, 1});
  view.voters = {id};
  return view;
}

// Guards against operator commands and heartbeats that get no answer because the process that accepted them
// exits.
TEST(PendingRequests, OneThatEndsTellsAllWhoWait) {
  SilentOutbox outbox;
  PendingRequests requests(outbox, 0);
  const View view = view_of("other");
  std::vector<StatusCode> answers;
  requests.submit(1, view, Json{{"op", "x"}},
                  [&](const Status& status) { answers.push_back(status.code()); });
  requests.read(1, view, "key", [&](const Result<std::optional<std::string>>& value) {
    answers.push_back(value.status().code());
  });
  EXPECT_TRUE(answers.empty());
  requests.shut_down();
  const std::vector<StatusCode> no_answer(2, StatusCode::kNoAnswer);
  EXPECT_EQ(answers, no_answer) << "not a refusal: it may have been committed";
  requests.submit(2, view, Json{{"op", "y"}},
                  [&](const Status& status) { answers.push_back(status.code()); });
  EXPECT_EQ(answers.size(), 3u) << "later requests must be answered at once too";
  EXPECT_EQ(outbox.sent, 2);
  requests.tick(100000, view);
  EXPECT_EQ(answers.size(), 3u) << "once";
}

}  // namespace
}  // namespace pebblespindle::replication
