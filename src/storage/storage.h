// What a replica asks of its disk: batches that are written whole or not at all, and synced before they
// count.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "storage/row.h"

namespace pebblespindle {

// The changes of one commit.
struct WriteBatch {
  // The state that is being received from another replica is staged apart from the rows until it is complete.
  enum class StagedAction { kKeep, kReplaceRows, kMergeIntoRows };

  bool clear_staged = false;     // first: what was staged before is dropped
  std::vector<Row> staged_rows;  // then these are added to it
  StagedAction staged_action = StagedAction::kKeep;
  std::vector<Row> rows;          // then these overwrite the rows of their keys
  SequenceNumber compact_to = 0;  // then tombstones up to here are deleted
  std::map<std::string, std::string> metadata;

  // Whether it changes nothing but metadata.
  bool has_only_metadata() const {
    return !clear_staged && staged_rows.empty() && staged_action == StagedAction::kKeep && rows.empty() &&
           compact_to == 0;
  }
};

// Owned by one replica and used from its event loop alone. Calls block until the disk has answered.
class Storage {
 public:
  Storage() = default;
  virtual ~Storage() = default;
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;

  // Ok once the batch is synced. kIoError: whether it is stored is not known; nothing that was read before
  // counts until reopen() succeeds and it is read again.
  virtual Status commit(const WriteBatch& batch) = 0;
  // Ok when the disk takes writes again and what is synced can be read.
  virtual Status reopen() = 0;
  // All of it, or kIoError: a part is never returned.
  virtual Result<std::vector<Row>> rows() = 0;
  virtual Result<std::vector<Row>> staged_rows() = 0;
  virtual Result<std::map<std::string, std::string>> metadata() = 0;
};

}  // namespace pebblespindle
