#include "replication/view_change.h"

#include <algorithm>

#include "replication/timing.h"

namespace pebblespindle::replication {
namespace {

// Greater than the number of voters: adding a voter's index makes its proposal numbers unique.
constexpr ProposalNumber kProposalStep = 16;

}  // namespace

ProposalNumber ViewChange::next_proposal_number(ViewNumber view) const {
  const auto& voters = state_.view.voters;
  const auto own_index =
      ProposalNumber(std::find(voters.begin(), voters.end(), state_.self) - voters.begin());
  const ProposalNumber promised = state_.promised.view == view ? state_.promised.number : 0;
  const ProposalNumber highest = std::max(proposal_number_, promised);
  return highest / kProposalStep * kProposalStep + kProposalStep + own_index;
}

void ViewChange::propose(Instant now, const View& next) {
  // Members further down the chain wait longer, so that two rarely propose at the same time.
  auto own = std::find_if(next.members.begin(), next.members.end(),
                          [&](auto& member) { return member.id == state_.self; });
  const auto position = Millis(own - next.members.begin());
  if (last_proposal_at_ && now < *last_proposal_at_ + kProposalRetryMs * (1 + position)) return;
  last_proposal_at_ = now;
  proposal_number_ = next_proposal_number(next.number);
  proposed_view_number_ = next.number;
  proposal_ = next;
  accepting_ = false;
  promises_.clear();
  accepted_by_.clear();
  const Prepare prepare{next.number, proposal_number_};
  outbox_.send_to_others(prepare);
  outbox_.send(state_.self, prepare);
}

void ViewChange::on_prepare(const ReplicaId& from, const Prepare& prepare) {
  const View& view = state_.view;
  if (view.number > 0 && prepare.view <= view.number) return outbox_.send(from, Decision{view});
  if (prepare.view != view.number + 1 || !state_.may_vote() || !view.has_voter(from)) return;
  if (state_.promised.view == prepare.view && state_.promised.number > prepare.proposal) return;
  const Status stored = state_.update([&](WriteBatch&) {
    state_.promised = {prepare.view, prepare.proposal};
  });
  if (!stored.is_ok()) return;
  Promise promise{prepare.view, prepare.proposal, state_.synced_view};
  if (state_.accepted_view && state_.accepted.view == prepare.view)
    promise.accepted = AcceptedProposal{state_.accepted.number, *state_.accepted_view};
  outbox_.send(from, promise);
}

void ViewChange::on_promise(const ReplicaId& from, const Promise& promise) {
  if (promise.view != proposed_view_number_ || promise.proposal != proposal_number_ || accepting_) return;
  if (proposed_view_number_ != state_.view.number + 1 || !state_.view.has_voter(from)) return;
  promises_[from] = promise;
  if (promises_.size() < state_.view.majority()) return;
  auto value = value_to_propose();
  if (!value) return;
  accepting_ = true;
  proposal_ = *value;
  const Accept accept{proposal_number_, *value};
  outbox_.send_to_others(accept);
  outbox_.send(state_.self, accept);
}

// The view that was accepted under the highest proposal number, as it may be decided already; else this
// replica's own proposal; none if that would lose committed changes.
std::optional<View> ViewChange::value_to_propose() const {
  std::optional<View> value;
  ProposalNumber highest = 0;
  for (auto& [id, promise] : promises_) {
    if (!promise.accepted || promise.accepted->proposal <= highest) continue;
    if (!promise.accepted->view.is_valid_successor_of(state_.view)) continue;
    highest = promise.accepted->proposal;
    value = promise.accepted->view;
  }
  if (value) return value;
  return head_has_committed_state(proposal_) ? std::optional(proposal_) : std::nullopt;
}

// Whether the proposed head holds everything that the present view has committed, that is, whether it has
// been in sync since it joined. A head without a vote sends no Promise; its heartbeats carry the same number,
// which it stored on disk before sending.
bool ViewChange::head_has_committed_state(const View& next) const {
  const View::Member& head = next.members.front();
  ViewNumber synced = 0;
  if (auto promise = promises_.find(head.id); promise != promises_.end())
    synced = promise->second.synced_view;
  else if (const Peer* peer = peers_.find(head.id); peer && !state_.view.has_voter(head.id))
    synced = peer->synced_view;
  return synced >= head.joined;
}

void ViewChange::on_accept(Instant now, const ReplicaId& from, const Accept& accept) {
  const ViewNumber number = accept.view.number;
  if (number != state_.view.number + 1 || !state_.may_vote() || !state_.view.has_voter(from)) return;
  if (!accept.view.is_valid_successor_of(state_.view)) return;
  if (state_.promised.view == number && state_.promised.number > accept.proposal) return;
  if (lease_.must_wait_for_expiry(now, accept.view)) return;
  const Status stored = state_.update([&](WriteBatch&) {
    state_.promised = state_.accepted = {number, accept.proposal};
    state_.accepted_view = accept.view;
  });
  if (!stored.is_ok()) return;
  outbox_.send(from, Accepted{number, accept.proposal});
}

std::optional<View> ViewChange::on_accepted(const ReplicaId& from, const Accepted& accepted) {
  if (!accepting_ || accepted.view != proposed_view_number_ || accepted.proposal != proposal_number_)
    return std::nullopt;
  if (proposed_view_number_ != state_.view.number + 1 || !state_.view.has_voter(from)) return std::nullopt;
  accepted_by_.insert(from);
  if (accepted_by_.size() < state_.view.majority()) return std::nullopt;
  accepting_ = false;
  const View decided = proposal_;
  outbox_.send_to_others(Decision{decided});
  return decided;
}

}  // namespace pebblespindle::replication
