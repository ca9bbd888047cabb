// Submissions and reads that this process has sent to the chain and that await a reply. They are sent again
// until they are answered or time out.
//
// An acknowledgement is accepted from any member of the chain, as a change that was taken stays taken. A
// refusal counts only if it comes from the head that was asked last and refers to the last attempt: the
// change may have been taken after an earlier attempt. A value counts only if it comes from the tail that was
// asked last.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "replication/outbox.h"

namespace pebblespindle::replication {

// Called with ok if the change is committed or changes nothing, with kNoAnswer if the outcome is unknown (the
// change may have been committed), else with the head's refusal.
using SubmitCallback = std::function<void(Status)>;
// Called with the value, with none if there is no such row, or with kNoAnswer if the chain did not reply.
using ReadCallback = std::function<void(Result<std::optional<std::string>>)>;

class PendingRequests {
 public:
  PendingRequests(Outbox& outbox, RequestId initial_request_id)
      : outbox_(outbox), last_request_id_(initial_request_id) {}

  void submit(Instant now, const View& view, Json command, SubmitCallback done);
  void read(Instant now, const View& view, const std::string& key, ReadCallback done);
  void on_reply(const ReplicaId& from, const View& view, const SubmitReply& reply);
  void on_reply(const ReplicaId& from, const ReadReply& reply);
  // Sends requests again that are due for a retry, and fails those that have timed out.
  void tick(Instant now, const View& view);
  // Called when the process is about to exit: answers all pending and all later requests at once with
  // kNoAnswer. A submitted change may still be committed.
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
