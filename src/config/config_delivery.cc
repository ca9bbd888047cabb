#include "config/config_delivery.h"

#include "config/applied_changes.h"
#include "config/constants.h"
#include "config/state_rows.h"

namespace pebblespindle {
namespace {

constexpr std::size_t kRowOverheadBytes = 16;  // bytes; what a row adds to key and value in a chunk, about

// The body as sent and the record of applied changes are for controllers alone.
bool is_for_nodes(const Row& row) {
  return row.key != kConfigurationKey && !row.key.starts_with(kAppliedChangesPrefix);
}

std::vector<std::vector<Row>> divide(const std::vector<Row>& rows, bool whole_state) {
  std::vector<std::vector<Row>> chunks(1);
  std::size_t size = 0;
  for (auto& row : rows) {
    if (!is_for_nodes(row) || (whole_state && row.deleted)) continue;
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
  const bool whole_state = from == 0;
  const auto chunks = divide(rows, whole_state);
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    Json fields{{"t", "up"}, {"k", to}, {"r", encode_rows(chunks[i])}};
    if (chunks.size() > 1) fields["left"] = chunks.size() - 1 - i;
    if (whole_state) fields["whole"] = true;  // it replaces what is held, wherever it has passed through
    lines.push_back(fields.dump() + "\n");
  }
  return lines;
}

void ConfigDelivery::start(SequenceNumber held) {
  sent_ = held;
  started_ = true;
  feeding_ = nullptr;
}

void ConfigDelivery::send_pending(const StateTable& state, SequenceNumber committed, bool all_committed,
                                  SharedUpdate& shared, const Send& send) {
  for (;;) {
    // The next chunk goes only as the node acknowledges: leases are not held up behind it.
    while (feeding_ && next_ < feeding_->size() && next_ < acknowledged_ + kMaxUnacknowledgedChunks)
      send((*feeding_)[next_++]);
    if (feeding_ && feeding_->size() > 1 && acknowledged_ < feeding_->size()) return;
    feeding_ = nullptr;
    // Only committed states go out: between two changes of a row there is nothing to send.
    if (!started_ || !all_committed || sent_ >= committed) return;
    if (sent_ < state.compacted_to()) sent_ = 0;  // deletions are no longer known: it takes the whole state
    if (shared.from != sent_ || shared.to != committed || shared.generation != state.generation()) {
      auto lines = encode_update_lines(sent_, committed, state.rows_after(sent_));
      shared = {sent_, committed, state.generation(),
                std::make_shared<const std::vector<std::string>>(std::move(lines))};
    }
    sent_ = committed;
    feeding_ = shared.lines;
    next_ = acknowledged_ = 0;
  }
}

}  // namespace pebblespindle
