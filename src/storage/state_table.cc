#include "storage/state_table.h"

#include <algorithm>

namespace pebblespindle {
namespace {

constexpr std::size_t kRowOverheadBytes = 32;  // bytes; what a row adds to key and value in a message, about

std::size_t encoded_size(const Row& row) {
  return row.key.size() + row.value.size() + kRowOverheadBytes;
}

}  // namespace

// The order by sequence points into the rows, so a copy builds its own.
StateTable& StateTable::operator=(const StateTable& other) {
  if (this == &other) return *this;
  rows_ = other.rows_;
  by_sequence_.clear();
  for (auto& [key, row] : rows_) by_sequence_.insert({row.sequence, key});
  last_sequence_ = other.last_sequence_;
  compacted_to_ = other.compacted_to_;
  change_count_ = other.change_count_;
  generation_ = other.generation_;
  return *this;
}

const Row* StateTable::find_including_deleted(const std::string& key) const {
  auto it = rows_.find(key);
  return it == rows_.end() ? nullptr : &it->second;
}

const Row* StateTable::find(const std::string& key) const {
  const Row* row = find_including_deleted(key);
  return row && !row->deleted ? row : nullptr;
}

void StateTable::put(const Row& row) {
  auto [it, inserted] = rows_.try_emplace(row.key, row);
  if (!inserted) {
    by_sequence_.erase({it->second.sequence, it->first});
    it->second = row;
  }
  by_sequence_.insert({row.sequence, it->first});
  ++change_count_;
  last_sequence_ = std::max(last_sequence_, row.sequence);
}

void StateTable::clear() {
  by_sequence_.clear();
  rows_.clear();
  last_sequence_ = compacted_to_ = 0;
  ++generation_;
}

void StateTable::replace_with(StateTable& other) {
  clear();
  rows_.swap(other.rows_);
  by_sequence_.swap(other.by_sequence_);
  last_sequence_ = other.last_sequence_;
  ++change_count_;
  other.clear();
}

void StateTable::compact(SequenceNumber sequence) {
  compacted_to_ = std::max(compacted_to_, sequence);
  for (auto it = by_sequence_.begin(); it != by_sequence_.end() && it->first <= sequence;) {
    auto row = rows_.find(std::string(it->second));
    if (!row->second.deleted) {
      ++it;
      continue;
    }
    it = by_sequence_.erase(it);
    rows_.erase(row);
  }
}

std::vector<Row> StateTable::rows_after(SequenceNumber sequence) const {
  std::vector<Row> rows;
  for (auto it = by_sequence_.lower_bound({sequence + 1, {}}); it != by_sequence_.end(); ++it)
    rows.push_back(rows_.find(std::string(it->second))->second);
  return rows;
}

StateTable::Chunk StateTable::scan_by_key(const std::string& after, std::size_t bytes) const {
  Chunk chunk;
  std::size_t size = 0;
  auto it = rows_.upper_bound(after);
  for (; it != rows_.end() && size < bytes; ++it) {
    size += encoded_size(it->second);
    chunk.rows.push_back(it->second);
  }
  chunk.complete = it == rows_.end();
  return chunk;
}

StateTable::Chunk StateTable::scan_by_sequence(const Position& after, std::size_t bytes) const {
  Chunk chunk;
  std::size_t size = 0;
  auto it = by_sequence_.upper_bound({after.sequence, after.key});
  for (; it != by_sequence_.end() && size < bytes; ++it) {
    chunk.rows.push_back(rows_.find(std::string(it->second))->second);
    size += encoded_size(chunk.rows.back());
  }
  chunk.complete = it == by_sequence_.end();
  return chunk;
}

}  // namespace pebblespindle
