#include "replication/pending_requests.h"

#include <utility>

#include "base/exception_barrier.h"
#include "replication/timing.h"

namespace pebblespindle::replication {
namespace {

const char* const kNoAnswer = "no answer from the chain";
const char* const kShuttingDown = "this controller ends";

// The caller's code: what it throws must not end the processing of the message that brought the result.
template <class Callback, class Outcome>
void call_done(const Callback& done, Outcome outcome) {
  run_guarded(Boundary::kSubmission, [&] { done(std::move(outcome)); });
}

template <class Request>
std::vector<RequestId> timed_out(Instant now, const std::map<RequestId, Request>& requests) {
  std::vector<RequestId> ids;
  for (auto& [id, request] : requests)
    if (now >= request.first_sent_at + kSubmitTimeoutMs) ids.push_back(id);
  return ids;
}

}  // namespace

void PendingRequests::submit(Instant now, const View& view, Json command, SubmitCallback done) {
  if (shut_down_) return call_done(done, Status::no_answer(kShuttingDown));
  const RequestId request = ++last_request_id_;
  Submission& submission = submissions_[request];
  submission.command = std::move(command);
  submission.done = std::move(done);
  submission.first_sent_at = now;
  send(now, view, request, submission);
}

void PendingRequests::read(Instant now, const View& view, const std::string& key, ReadCallback done) {
  if (shut_down_) return done(Status::no_answer(kShuttingDown));
  const RequestId request = ++last_request_id_;
  Read& read = reads_[request];
  read.key = key;
  read.done = std::move(done);
  read.first_sent_at = now;
  send(now, view, request, read);
}

void PendingRequests::send(Instant now, const View& view, RequestId request, Submission& submission) {
  submission.sent_at = now;
  const ReplicaId head = view.head();
  if (head.empty()) return;
  submission.target = head;
  ++submission.attempts;
  // `submission` may be dangling after this call: a reply handled within it erases the submission.
  outbox_.send(head, SubmitRequest{request, view.number, submission.attempts, submission.command});
}

void PendingRequests::send(Instant now, const View& view, RequestId request, Read& read) {
  read.sent_at = now;
  read.target = view.tail();
  if (!read.target.empty()) outbox_.send(view.tail(), ReadRequest{request, read.key});
}

void PendingRequests::on_reply(const ReplicaId& from, const View& view, const SubmitReply& reply) {
  auto it = submissions_.find(reply.request);
  if (it == submissions_.end()) return;
  const Submission& submission = it->second;
  const bool from_target = from == submission.target;
  const bool is_valid = reply.status.is_ok() ? from_target || view.has_member(from)
                                             : from_target && reply.attempt == submission.attempts;
  if (is_valid) finish_submission(reply.request, reply.status);
}

void PendingRequests::on_reply(const ReplicaId& from, const ReadReply& reply) {
  auto it = reads_.find(reply.request);
  if (it != reads_.end() && it->second.target == from) finish_read(reply.request, reply.value);
}

template <class Request>
void PendingRequests::retry(Instant now, const View& view, std::map<RequestId, Request>& requests) {
  std::vector<RequestId> due;
  for (auto& [id, request] : requests)
    if (now < request.first_sent_at + kSubmitTimeoutMs && now >= request.sent_at + kSubmitRetryMs)
      due.push_back(id);
  for (auto id : due)
    if (auto it = requests.find(id); it != requests.end()) send(now, view, id, it->second);
}

void PendingRequests::tick(Instant now, const View& view) {
  const auto timed_out_submissions = timed_out(now, submissions_);
  retry(now, view, submissions_);
  for (auto id : timed_out_submissions) finish_submission(id, Status::no_answer(kNoAnswer));
  const auto timed_out_reads = timed_out(now, reads_);
  retry(now, view, reads_);
  for (auto id : timed_out_reads) finish_read(id, Status::no_answer(kNoAnswer));
}

void PendingRequests::shut_down() {
  shut_down_ = true;
  for (auto& [id, submission] : std::exchange(submissions_, {}))
    call_done(submission.done, Status::no_answer(kShuttingDown));
  for (auto& [id, read] : std::exchange(reads_, {})) call_done(read.done, Status::no_answer(kShuttingDown));
}

void PendingRequests::finish_submission(RequestId request, Status status) {
  auto it = submissions_.find(request);
  if (it == submissions_.end()) return;
  auto done = std::move(it->second.done);
  submissions_.erase(it);
  call_done(done, std::move(status));
}

void PendingRequests::finish_read(RequestId request, Result<std::optional<std::string>> value) {
  auto it = reads_.find(request);
  if (it == reads_.end()) return;
  auto done = std::move(it->second.done);
  reads_.erase(it);
  call_done(done, std::move(value));
}

}  // namespace pebblespindle::replication
