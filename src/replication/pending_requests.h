// Submissions and reads of this process that wait for their answer from the chain. They are sent again until
// they are answered or their callers would have given up.
//
// That a change was taken is true whoever of the chain says so. A refusal counts only from the head that was
// asked last, and for the last attempt: after an earlier one the change may have been taken. A value counts
// only from the tail that was asked last.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "replication/outbox.h"

namespace pebblespindle::replication {

// ok: committed, or nothing to change. kNoAnswer: it may have been committed.
using SubmitCallback = std::function<void(Status)>;
// none: there is no such row. kNoAnswer when the chain was silent.
using ReadCallback = std::function<void(Result<std::optional<std::string>>)>;

class PendingRequests {
 public:
  PendingRequests(Outbox& outbox, RequestId initial_request_id)
      : outbox_(outbox), last_request_id_(initial_request_id) {}

  void submit(Instant now, const View& view, Json command, SubmitCallback done);
  void read(Instant now, const View& view, const std::string& key, ReadCallback done);
  void on_reply(const ReplicaId& from, const View& view, const SubmitReply& reply);
  void on_reply(const ReplicaId& from, const ReadReply& reply);
  // Sends again what is due, and ends what has taken too long.
  void tick(Instant now, const View& view);
  // This process ends: whoever waits is told so now, and so is whoever comes later. What was submitted may
  // still be committed.
  void shut_down();

 private:
  struct Submission {
    Json command;
    SubmitCallback done;
    Instant first_sent_at = 0, sent_at = 0;
    ReplicaId target{};
    std::uint64_t attempts = 0;
  };
  struct Read {
    std::string key;
    ReadCallback done;
    Instant first_sent_at = 0, sent_at = 0;
    ReplicaId target{};
  };
  void send(Instant now, const View& view, RequestId request, Submission& submission);
  void send(Instant now, const View& view, RequestId request, Read& read);
  void finish_submission(RequestId request, Status status);
  void finish_read(RequestId request, Result<std::optional<std::string>> value);
  template <class Request>
  void retry(Instant now, const View& view, std::map<RequestId, Request>& requests);

  Outbox& outbox_;
  RequestId last_request_id_;
  bool shut_down_ = false;
  std::map<RequestId, Submission> submissions_;
  std::map<RequestId, Read> reads_;
};

}  // namespace pebblespindle::replication
