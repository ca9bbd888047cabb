#include "replication/submission_queue.h"

#include <algorithm>
#include <utility>

namespace pebblespindle::replication {

void SubmissionQueue::enqueue(Submission submission) {
  for (auto& entry : in_flight_) {
    if (entry.origin.replica != submission.origin || entry.origin.request != submission.request) continue;
    entry.attempt = std::max(entry.attempt, submission.attempt);
    return;
  }
  for (auto& entry : queued_) {
    if (entry.origin != submission.origin || entry.request != submission.request) continue;
    entry.attempt = std::max(entry.attempt, submission.attempt);
    return;
  }
  queued_.push_back(std::move(submission));
}

std::vector<SubmissionQueue::Submission> SubmissionQueue::take_queued() {
  return std::exchange(queued_, {});
}

void SubmissionQueue::add_change(const Submission& submission, SequenceNumber sequence) {
  in_flight_.push_back(
      {{sequence, submission.origin, submission.request}, Outcome::kChanged, {}, submission.attempt});
}

void SubmissionQueue::add_unchanged(const Submission& submission, SequenceNumber sequence) {
  in_flight_.push_back(
      {{sequence, submission.origin, submission.request}, Outcome::kUnchanged, {}, submission.attempt});
}

void SubmissionQueue::add_refusal(const Submission& submission, SequenceNumber sequence, Status status) {
  in_flight_.push_back({{sequence, submission.origin, submission.request},
                        Outcome::kRefused,
                        std::move(status),
                        submission.attempt});
}

void SubmissionQueue::add_origins(const std::vector<Origin>& origins) {
  for (auto& origin : origins) {
    const bool known = std::any_of(in_flight_.begin(), in_flight_.end(), [&](auto& entry) {
      return entry.origin.replica == origin.replica && entry.origin.request == origin.request;
    });
    if (!known) in_flight_.push_back({origin});
  }
}

std::vector<Origin> SubmissionQueue::origins_after(SequenceNumber sequence) const {
  std::vector<Origin> origins;
  for (auto& entry : in_flight_)
    if (entry.origin.sequence > sequence && entry.outcome != Outcome::kRefused)
      origins.push_back(entry.origin);
  return origins;
}

std::vector<SubmissionQueue::Reply> SubmissionQueue::take_replies(SequenceNumber committed, bool is_tail) {
  std::vector<Reply> replies;
  std::erase_if(in_flight_, [&](InFlight& entry) {
    if (entry.origin.sequence > committed) return false;
    if (is_tail || entry.outcome != Outcome::kChanged)
      replies.push_back({entry.origin.replica, {entry.origin.request, entry.status, entry.attempt}});
    return true;
  });
  return replies;
}

}  // namespace pebblespindle::replication
