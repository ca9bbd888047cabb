#include "agent/state_cache.h"

#include <utility>

#include "base/json_fields.h"

namespace pebblespindle {

bool StateCache::is_next(const Chunk& chunk) const {
  if (!next_left_) return !chunk.left || *chunk.left > 0;
  return chunk.left && *chunk.left == *next_left_ && chunk.sequence == pending_sequence_ &&
         chunk.whole_state == pending_whole_state_;
}

StateCache::Applied StateCache::apply(const Json& feed, std::string_view line) {
  Applied applied;
  auto rows = decode_rows(feed.value("r", Json()));
  Chunk chunk{number(feed, "k"), std::nullopt, field(feed, "whole", false)};
  if (feed.contains("left")) chunk.left = number(feed, "left");
  applied.out_of_order = !rows || !is_next(chunk);
  if (applied.out_of_order) return applied;
  std::vector<Row> all;
  if (!chunk.left) {
    all = std::move(*rows);
  } else {
    // Each chunk is acknowledged, even one that comes too late to count: the controller waits for that with
    // the next.
    applied.acknowledge = true;
    pending_sequence_ = chunk.sequence;
    pending_whole_state_ = chunk.whole_state;
    next_left_.reset();
    if (*chunk.left > 0) next_left_ = *chunk.left - 1;
    pending_rows_.insert(pending_rows_.end(), rows->begin(), rows->end());
    if (*chunk.left != 0) return applied;
    all = std::exchange(pending_rows_, {});
  }
  if (chunk.sequence < sequence_) return applied;
  if (chunk.whole_state) table_.clear();
  for (auto& row : all) table_.put(row);
  sequence_ = chunk.sequence;
  if (!chunk.left) {
    applied.forward = std::string(line) + "\n";
    return applied;
  }
  Json forward{{"t", "up"}, {"k", chunk.sequence}, {"r", encode_rows(all)}};
  if (chunk.whole_state) forward["whole"] = true;
  applied.forward = forward.dump() + "\n";
  return applied;
}

void StateCache::on_new_link() {
  pending_rows_.clear();
  next_left_.reset();
}

std::string StateCache::encode_whole_state() const {
  std::vector<Row> rows;
  for (auto& row : table_.rows_after(0))
    if (!row.deleted) rows.push_back(row);
  return Json{{"t", "up"}, {"k", sequence_}, {"r", encode_rows(rows)}, {"whole", true}}.dump() + "\n";
}

}  // namespace pebblespindle
