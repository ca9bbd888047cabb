#include "replication/submission_queue.h"

#include <algorithm>
#include <utility>

namespace pebblespindle::replication {

void SubmissionQueue::offer(Offer offer) {
  for (auto& entry : under_way_) {
    if (entry.origin.replica != offer.origin || entry.origin.request != offer.request) continue;
    entry.attempt = std::max(entry.attempt, offer.attempt);
    return;
  }
  for (auto& entry : waiting_) {
    if (entry.origin != offer.origin || entry.request != offer.request) continue;
    entry.attempt = std::max(entry.attempt, offer.attempt);
    return;
  }
  waiting_.push_back(std::move(offer));
}

std::vector<SubmissionQueue::Offer> SubmissionQueue::take_waiting() {
  return std::exchange(waiting_, {});
}

void SubmissionQueue::add_change(const Offer& offer, SequenceNumber sequence) {
  under_way_.push_back({{sequence, offer.origin, offer.request}, Outcome::kChanged, {}, offer.attempt});
}

void SubmissionQueue::add_unchanged(const Offer& offer, SequenceNumber sequence) {
  under_way_.push_back({{sequence, offer.origin, offer.request}, Outcome::kUnchanged, {}, offer.attempt});
}

void SubmissionQueue::add_refusal(const Offer& offer, SequenceNumber sequence, Status status) {
  under_way_.push_back(
      {{sequence, offer.origin, offer.request}, Outcome::kRefused, std::move(status), offer.attempt});
}

void SubmissionQueue::add_origins(const std::vector<Origin>& origins) {
  for (auto& origin : origins) {
    const bool known = std::any_of(under_way_.begin(), under_way_.end(), [&](auto& entry) {
      return entry.origin.replica == origin.replica && entry.origin.request == origin.request;
    });
    if (!known) under_way_.push_back({origin});
  }
}

std::vector<Origin> SubmissionQueue::origins_after(SequenceNumber sequence) const {
  std::vector<Origin> origins;
  for (auto& entry : under_way_)
    if (entry.origin.sequence > sequence && entry.outcome != Outcome::kRefused)
      origins.push_back(entry.origin);
  return origins;
}

std::vector<SubmissionQueue::Reply> SubmissionQueue::take_replies(SequenceNumber committed, bool is_tail) {
  std::vector<Reply> replies;
  std::erase_if(under_way_, [&](UnderWay& entry) {
    if (entry.origin.sequence > committed) return false;
    if (is_tail || entry.outcome != Outcome::kChanged)
      replies.push_back({entry.origin.replica, {entry.origin.request, entry.status, entry.attempt}});
    return true;
  });
  return replies;
}

}  // namespace pebblespindle::replication
