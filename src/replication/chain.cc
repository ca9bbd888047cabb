#include "replication/chain.h"

#include <algorithm>

#include "replication/timing.h"

namespace pebblespindle::replication {

void Chain::on_state_loaded() {
  last_sent_sequence_.reset();
  // The tail's rows are committed: all members before the tail hold them too.
  const bool tail_in_sync = state_.is_tail() && state_.synced_view == state_.view.number;
  committed_ = tail_in_sync ? state_.table.last_sequence() : 0;
}

void Chain::on_new_view(Instant now) {
  last_sent_sequence_.reset();
  stalled_since_.reset();
  last_progress_ = now;
}

void Chain::forward(Instant now) {
  const ReplicaId successor = state_.view.successor(state_.self);
  if (successor.empty()) return;
  last_progress_ = now;
  if (!last_sent_sequence_) {
    // The Decision goes first: a successor that is still in the former view would ignore the query.
    outbox_.send(successor, Decision{state_.view});
    outbox_.send(successor, StateQuery{state_.view.number});
    return;
  }
  const SequenceNumber base = *last_sent_sequence_;
  mark_all_sent();
  outbox_.send(successor, sender_.append_after(base, state_.table.rows_after(base)));
}

bool Chain::can_store(const Append& append) const {
  const SequenceNumber last_held = state_.table.last_sequence();
  const bool joining = state_.synced_view != state_.view.number;
  if (append.base_sequence > last_held || !state_.history.matches(append.base_sequence, append.base_term))
    return false;
  return !joining || append.base_sequence == last_held;
}

Status Chain::store(const Append& append) {
  const SequenceNumber last_held = state_.table.last_sequence();
  return state_.update([&](WriteBatch& batch) {
    state_.drop_transfer(batch);
    if (state_.is_member()) state_.synced_view = state_.view.number;
    if (append.last_sequence <= last_held) return;
    state_.history.record(append.terms);
    for (auto& row : append.rows)
      if (row.sequence > last_held) batch.rows.push_back(row);
    for (auto& row : batch.rows) state_.table.put(row);
    state_.table.set_last_sequence(append.last_sequence);
  });
}

bool Chain::accepts(const ReplicaId& from, const Commit& commit) const {
  return commit.view == state_.view.number && state_.view.successor(state_.self) == from && state_.in_sync();
}

bool Chain::commit(Instant now, SequenceNumber sequence) {
  const SequenceNumber former_committed = committed_;
  committed_ = std::max(committed_, std::min(sequence, state_.table.last_sequence()));
  last_progress_ = now;
  const ReplicaId predecessor = state_.view.predecessor(state_.self);
  if (!predecessor.empty()) outbox_.send(predecessor, Commit{state_.view.number, committed_});
  return committed_ > former_committed;
}

void Chain::on_successor_position(Instant now, SequenceNumber sequence) {
  last_sent_sequence_ = sequence;
  if (sequence < state_.table.last_sequence()) forward(now);
  stalled_since_.reset();
}

void Chain::track_stalled_successor(Instant now, bool holds_lease) {
  const bool waiting =
      state_.in_sync() && !state_.is_tail() && committed_ < state_.table.last_sequence() && holds_lease;
  if (!waiting)
    stalled_since_.reset();
  else if (!stalled_since_)
    stalled_since_ = now;
}

void Chain::retry(Instant now, bool successor_in_sync) {
  if (!state_.in_sync() || state_.is_tail()) return;
  if (committed_ >= state_.table.last_sequence() && successor_in_sync) return;
  if (now < last_progress_ + kSubmitRetryMs) return;
  last_sent_sequence_.reset();
  forward(now);
}

}  // namespace pebblespindle::replication
