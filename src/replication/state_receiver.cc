#include "replication/state_receiver.h"

#include <utility>

#include "replication/timing.h"

namespace pebblespindle::replication {

// The replica to ask; empty if there is none, or if this replica needs no state.
ReplicaId StateReceiver::source(Instant now) const {
  const View& view = state_.view;
  if (!state_.is_participating() || view.number == 0) return {};
  if (state_.is_member()) return view.predecessor(state_.self);
  const std::size_t count = view.members.size();
  const auto turn = std::size_t((now - source_since_) / kPeerTimeoutMs);
  return view.members[count - 1 - turn % count].id;
}

void StateReceiver::request_state(Instant now, SequenceNumber committed) {
  const ReplicaId from = source(now);
  if (from.empty()) return;
  const bool member = state_.is_member();
  const bool holds_state = member ? state_.synced_view == state_.view.number : is_caught_up();
  if (holds_state && member && requested_at_) return;
  const Millis interval = holds_state && !member ? kStandbyRequestMs : kStateRequestMs;
  if (requested_at_ && now < *requested_at_ + interval) return;
  requested_at_ = now;
  StateRequest request;
  request.view = state_.view.number;
  request.request = ++last_request_id_;
  request.synced_view = state_.synced_view;
  request.committed = committed;
  request.last_sequence = state_.table.last_sequence();
  request.last_term = state_.history.term_of(request.last_sequence);
  request.progress = state_.transfer;
  outbox_.send(from, request);
}

void StateReceiver::on_new_view(Instant now) {
  source_since_ = now;
  requested_at_.reset();
}

bool StateReceiver::mark_caught_up() {
  return std::exchange(caught_up_view_, state_.view.number) != state_.view.number;
}

bool StateReceiver::expects(const ReplicaId& from, const StateChunk& chunk) const {
  if (!state_.is_participating() || chunk.view != state_.view.number || chunk.in_reply_to != last_request_id_)
    return false;
  if (!state_.transfer && !chunk.is_first) return false;
  if (!state_.is_member()) return true;
  return state_.view.predecessor(state_.self) == from && state_.synced_view != state_.view.number;
}

StateReceiver::ChunkOutcome StateReceiver::on_chunk(const ReplicaId& from, StateChunk chunk) {
  if (!expects(from, chunk)) return ChunkOutcome::kIgnored;
  requested_at_.reset();
  ChunkOutcome outcome = ChunkOutcome::kMoreNeeded;
  const Status stored = state_.update([&](WriteBatch& batch) {
    stage(std::move(chunk.rows), chunk, batch);
    if (chunk.end) outcome = finish(chunk.progress, *chunk.end, batch);
  });
  return stored.is_ok() ? outcome : ChunkOutcome::kNotStored;
}

void StateReceiver::stage(std::vector<Row> rows, const StateChunk& chunk, WriteBatch& batch) {
  if (chunk.is_first) {
    state_.drop_transfer(batch);
    batch.clear_staged = true;
  }
  for (auto& row : rows) state_.staged_table.put(row);
  batch.staged_rows = std::move(rows);
  state_.transfer = chunk.progress;
}

StateReceiver::ChunkOutcome StateReceiver::finish(const TransferProgress& progress, const TransferEnd& end,
                                                  WriteBatch& batch) {
  state_.staged_table.compact(end.compacted_to);
  if (!end.terms || (progress.whole_state && state_.staged_table.size() != end.row_count)) {
    state_.drop_transfer(batch);
    batch.staged_rows.clear();
    return ChunkOutcome::kDropped;
  }
  received_row_count_ = state_.staged_table.size();
  if (progress.whole_state) {
    batch.staged_action = WriteBatch::StagedAction::kReplaceRows;
    state_.table.replace_with(state_.staged_table);
    state_.table.compact(end.compacted_to);
    batch.compact_to = state_.table.compacted_to();
  } else {
    batch.staged_action = WriteBatch::StagedAction::kMergeIntoRows;
    for (auto& row : state_.staged_table.rows_after(0)) state_.table.put(row);
    state_.staged_table.clear();
  }
  state_.table.set_last_sequence(progress.source_sequence);
  state_.history = TermHistory();
  state_.history.record(*end.terms);
  state_.transfer.reset();
  if (state_.is_member()) state_.synced_view = state_.view.number;
  return ChunkOutcome::kComplete;
}

}  // namespace pebblespindle::replication
