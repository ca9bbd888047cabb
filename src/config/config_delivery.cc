#include "config/config_delivery.h"

#include "config/applied_changes.h"
#include "config/constants.h"
#include "config/state_rows.h"

namespace pebblespindle {
namespace {

constexpr std::size_t kRowOverheadBytes = 16;  // approximate size of a row's encoding beyond key and value

// The configuration text and the rows with kAppliedChangesPrefix are held by controllers only.
bool is_for_nodes(const Row& row) {
  return row.key != kConfigurationKey && !row.key.starts_with(kAppliedChangesPrefix);
}

std::vector<std::vector<Row>> split_into_chunks(const std::vector<Row>& rows, bool is_snapshot) {
  std::vector<std::vector<Row>> chunks(1);
  std::size_t size = 0;
  for (auto& row : rows) {
    if (!is_for_nodes(row) || (is_snapshot && row.deleted)) continue;
    if (size >= kUpdateChunkBytes) {
      chunks.emplace_back();
      size = 0;
    }
    chunks.back().push_back(row);
    size += row.key.size() + row.value.size() + kRowOverheadBytes;
  }
  return chunks;
}

}  // namespace

std::vector<std::string> encode_update_lines(SequenceNumber from, SequenceNumber to,
                                             const std::vector<Row>& rows) {
  const bool is_snapshot = from == 0;
  const auto chunks = split_into_chunks(rows, is_snapshot);
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    Json fields{{"t", "up"}, {"k", to}, {"r", encode_rows(chunks[i])}};
    if (chunks.size() > 1) fields["left"] = chunks.size() - 1 - i;
    if (is_snapshot)
      fields["whole"] = true;  // the receiver replaces its state, also if an agent relayed the line
    lines.push_back(fields.dump() + "\n");
  }
  return lines;
}

void ConfigDelivery::start(SequenceNumber held) {
  sent_sequence_ = held;
  started_ = true;
  pending_lines_ = nullptr;
}

void ConfigDelivery::send_pending(const StateTable& state, SequenceNumber committed, bool all_committed,
                                  SharedUpdate& shared, const Send& send) {
  for (;;) {
    // Limits the unacknowledged chunks, so that lease messages are not delayed behind a large update.
    while (pending_lines_ && next_line_ < pending_lines_->size() &&
           next_line_ < acknowledged_lines_ + kMaxUnacknowledgedChunks)
      send((*pending_lines_)[next_line_++]);
    if (pending_lines_ && pending_lines_->size() > 1 && acknowledged_lines_ < pending_lines_->size()) return;
    pending_lines_ = nullptr;
    // The table holds only the newest version of a row. While that version is uncommitted, there is no
    // committed state that could be sent.
    if (!started_ || !all_committed || sent_sequence_ >= committed) return;
    if (sent_sequence_ < state.compacted_to())
      sent_sequence_ = 0;  // the table no longer lists all deletions since then: send a snapshot
    if (shared.from != sent_sequence_ || shared.to != committed || shared.generation != state.generation()) {
      auto lines = encode_update_lines(sent_sequence_, committed, state.rows_after(sent_sequence_));
      shared = {sent_sequence_, committed, state.generation(),
                std::make_shared<const std::vector<std::string>>(std::move(lines))};
    }
    sent_sequence_ = committed;
    pending_lines_ = shared.lines;
    next_line_ = acknowledged_lines_ = 0;
  }
}

}  // namespace pebblespindle
