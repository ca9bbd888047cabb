// Storage that survives its process: what was committed stays, and nothing else does.
#pragma once
#include <stdexcept>

#include "storage/storage.h"

namespace pebblespindle::test {

class MemoryStorage : public Storage {
 public:
  MemoryStorage() = default;
  MemoryStorage(const MemoryStorage& other) : Storage() { *this = other; }
  MemoryStorage& operator=(const MemoryStorage& other) {
    full = other.full;
    stored_rows = other.stored_rows;
    stored_staged_rows = other.stored_staged_rows;
    stored_metadata = other.stored_metadata;
    return *this;
  }

  Status commit(const WriteBatch& batch) override {
    if (throws) throw std::runtime_error("a fault below the disk's interface");
    if (full) return Status::io_error("full");
    if (batch.clear_staged) stored_staged_rows.clear();
    for (auto& row : batch.staged_rows) stored_staged_rows[row.key] = row;
    if (batch.staged_action == WriteBatch::StagedAction::kReplaceRows) stored_rows.clear();
    if (batch.staged_action != WriteBatch::StagedAction::kKeep) {
      for (auto& [key, row] : stored_staged_rows) stored_rows[key] = row;
      stored_staged_rows.clear();
    }
    for (auto& row : batch.rows) stored_rows[row.key] = row;
    std::erase_if(stored_rows, [&](auto& entry) {
      return entry.second.deleted && entry.second.sequence <= batch.compact_to;
    });
    for (auto& [key, value] : batch.metadata) stored_metadata[key] = value;
    if (throws_after_writing) throw std::runtime_error("a fault after the write");
    return Status::ok();
  }
  Status reopen() override {
    const bool works = !full && !throws && !throws_after_writing;
    return works ? Status::ok() : Status::io_error("still at fault");
  }
  void repair() { full = throws = throws_after_writing = unreadable = false; }
  Result<std::vector<Row>> rows() override {
    if (unreadable) return Status::io_error("unreadable");
    return values(stored_rows);
  }
  Result<std::vector<Row>> staged_rows() override { return values(stored_staged_rows); }
  Result<std::map<std::string, std::string>> metadata() override { return stored_metadata; }

  bool full = false;    // refuses writes
  bool throws = false;  // throws instead of writing
  bool throws_after_writing = false;
  bool unreadable = false;  // refuses to be read
  std::map<std::string, Row> stored_rows, stored_staged_rows;
  std::map<std::string, std::string> stored_metadata;

 private:
  static std::vector<Row> values(const std::map<std::string, Row>& rows) {
    std::vector<Row> values;
    for (auto& [key, row] : rows) values.push_back(row);
    return values;
  }
};

}  // namespace pebblespindle::test
