// The replicated state in memory: rows by key, and in the order of their sequence numbers.
//
// Each replica owns one table and writes it from its event loop alone; all others hold const references. A
// row that is deleted stays as a tombstone until it is compacted, so that whoever asks for "all after
// sequence N" hears of the deletion. Below compacted_to() such an answer would miss deletions: ask for the
// whole state.
#pragma once
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "storage/row.h"

namespace pebblespindle {

class StateTable {
 public:
  StateTable() = default;
  ~StateTable() = default;
  StateTable(const StateTable& other) { *this = other; }
  StateTable& operator=(const StateTable& other);
  StateTable(StateTable&&) = default;
  StateTable& operator=(StateTable&&) = default;

  // The row of a key; null when there is none, or only a tombstone.
  const Row* find(const std::string& key) const;
  const Row* find_including_deleted(const std::string& key) const;
  std::size_t size() const { return rows_.size(); }  // tombstones too
  // The highest sequence number stored, also when its row has been overwritten since.
  SequenceNumber last_sequence() const { return last_sequence_; }
  std::uint64_t change_count() const { return change_count_; }  // rises with every row put
  std::uint64_t generation() const { return generation_; }      // rises when the content is replaced
  SequenceNumber compacted_to() const { return compacted_to_; }

  void put(const Row& row);
  void set_last_sequence(SequenceNumber sequence) { last_sequence_ = sequence; }
  void clear();
  // Takes the content of another table, which is empty afterwards.
  void replace_with(StateTable& other);
  // Forgets tombstones up to a sequence number.
  void compact(SequenceNumber sequence);

  std::vector<Row> rows_after(SequenceNumber sequence) const;  // in the order of sequence numbers

  // Scans are bounded by bytes, so that a state of any size goes in chunks. The row at which the bound is
  // reached comes whole, so that each chunk gets on.
  struct Position {  // in the order by sequence, then by key
    SequenceNumber sequence = 0;
    std::string key;
  };
  struct Chunk {
    std::vector<Row> rows;
    bool complete = false;  // nothing is left behind it
  };
  Chunk scan_by_key(const std::string& after, std::size_t bytes) const;
  Chunk scan_by_sequence(const Position& after, std::size_t bytes) const;

  // Calls visit(row) for each row, tombstones excepted, whose key begins with prefix.
  template <class Visitor>
  void for_each(const std::string& prefix, Visitor visit) const {
    for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix); ++it)
      if (!it->second.deleted) visit(it->second);
  }

 private:
  std::map<std::string, Row> rows_;
  std::set<std::pair<SequenceNumber, std::string_view>> by_sequence_;  // the keys are those of rows_
  SequenceNumber last_sequence_ = 0, compacted_to_ = 0;
  std::uint64_t change_count_ = 0, generation_ = 1;
};

}  // namespace pebblespindle
