// What waits at a controller that ends.
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

// Guards against orders of the operator, and heartbeats, that are cut with the process that has taken them.
TEST(PendingRequests, OneThatEndsTellsAllWhoWait) {
  SilentOutbox outbox;
  PendingRequests requests(outbox, 0);
  const View view = view_of("other");
  std::vector<StatusCode> told;
  requests.submit(1, view, Json{{"op", "x"}}, [&](const Status& status) { told.push_back(status.code()); });
  requests.read(1, view, "key", [&](const Result<std::optional<std::string>>& value) {
    told.push_back(value.status().code());
  });
  EXPECT_TRUE(told.empty());
  requests.shut_down();
  const std::vector<StatusCode> no_answer(2, StatusCode::kNoAnswer);
  EXPECT_EQ(told, no_answer) << "not a refusal: it may have been committed";
  requests.submit(2, view, Json{{"op", "y"}}, [&](const Status& status) { told.push_back(status.code()); });
  EXPECT_EQ(told.size(), 3u) << "whoever comes later does not wait either";
  EXPECT_EQ(outbox.sent, 2);
  requests.tick(100000, view);
  EXPECT_EQ(told.size(), 3u) << "once";
}

}  // namespace
}  // namespace pebblespindle::replication
