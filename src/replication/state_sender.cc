#include "replication/state_sender.h"

namespace pebblespindle::replication {

Append StateSender::append_after(SequenceNumber base, std::vector<Row> rows) const {
  Append append;
  append.view = state_.view.number;
  append.base_sequence = base;
  append.base_term = state_.history.term_of(base);
  append.last_sequence = state_.table.last_sequence();
  append.rows = std::move(rows);
  append.terms = state_.history.terms_after(base);
  append.origins = submissions_.origins_after(base);
  return append;
}

// Whether the receiver's rows are a prefix of this replica's history and no row after them has been compacted
// away.
bool StateSender::history_contains(const StateRequest& request) const {
  return request.last_sequence >= state_.table.compacted_to() &&
         request.last_sequence <= state_.table.last_sequence() &&
         state_.history.matches(request.last_sequence, request.last_term);
}

StateSender::Reply StateSender::reply_to(const StateRequest& request) const {
  const bool history_known = history_contains(request);
  if (!history_known) return next_chunk(request, false);
  auto missing = state_.table.scan_by_sequence({request.last_sequence + 1, {}}, chunk_bytes_);
  if (!missing.complete) return next_chunk(request, true);
  Append append = append_after(request.last_sequence, std::move(missing.rows));
  append.in_reply_to = request.request;
  return {std::move(append), true};
}

// A transfer that began with another source can continue here if that source's position is part of this
// replica's history.
bool StateSender::can_continue(const TransferProgress& progress, bool receiver_history_known) const {
  return progress.source_sequence <= state_.table.last_sequence() &&
         state_.history.matches(progress.source_sequence, progress.source_term) &&
         progress.next_sequence > state_.table.compacted_to() &&
         (progress.whole_state || receiver_history_known);
}

StateSender::Reply StateSender::next_chunk(const StateRequest& request, bool receiver_history_known) const {
  const SequenceNumber last = state_.table.last_sequence();
  StateChunk chunk;
  chunk.view = state_.view.number;
  chunk.in_reply_to = request.request;
  chunk.is_first = !request.progress || !can_continue(*request.progress, receiver_history_known);
  TransferProgress& progress = chunk.progress;
  if (chunk.is_first) {
    progress.whole_state = !receiver_history_known || request.last_sequence == 0;
    progress.keys_scanned = !progress.whole_state;
    progress.next_sequence = (progress.whole_state ? last : request.last_sequence) + 1;
  } else {
    progress = *request.progress;
  }
  bool complete = false;
  if (!progress.keys_scanned) {
    auto scan = state_.table.scan_by_key(progress.last_key, chunk_bytes_);
    if (!scan.rows.empty()) progress.last_key = scan.rows.back().key;
    progress.keys_scanned = scan.complete;
    complete = scan.complete && progress.next_sequence > last;  // nothing has changed since the scan began
    chunk.rows = std::move(scan.rows);
  } else {
    auto scan = state_.table.scan_by_sequence({progress.next_sequence, progress.next_key}, chunk_bytes_);
    if (!scan.rows.empty()) {
      progress.next_sequence = scan.rows.back().sequence;
      progress.next_key = scan.rows.back().key;
    }
    complete = scan.complete;
    chunk.rows = std::move(scan.rows);
  }
  progress.source_sequence = last;
  progress.source_term = state_.history.term_of(last);
  if (complete)
    chunk.end = TransferEnd{state_.history.terms_after(0), state_.table.compacted_to(), state_.table.size()};
  return {std::move(chunk), complete};
}

}  // namespace pebblespindle::replication
