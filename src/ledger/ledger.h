// The control state: keys with values, each stamped with the number of the change that set it.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "keel/schema.h"

namespace pebblespindle {

struct Row {
  std::string key, value;
  std::uint64_t number = 0;
  bool gone = false;
  bool operator==(const Row&) const = default;
};

Json rows_to_json(const std::vector<Row>& rows);
Outcome<std::vector<Row>> rows_from_json(const Json& j);

class Ledger {
 public:
  const Row* find(const std::string& key) const;  // null when absent or gone
  const Row* find_any(const std::string& key) const;
  void put(const Row& row);
  void clear() {
    rows_.clear();
    stored_ = 0;
    ++lives_;
  }
  std::uint64_t stored() const { return stored_; }
  void set_stored(std::uint64_t n) { stored_ = n; }
  std::uint64_t changes() const { return changes_; }   // rises with every row put
  std::uint64_t lives() const { return lives_; }       // rises when the state is taken anew
  std::vector<Row> since(std::uint64_t number) const;  // rows above number, in number order
  template <class F>
  void each(const std::string& prefix, F f) const {
    for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix); ++it)
      if (!it->second.gone) f(it->second);
  }

 private:
  std::map<std::string, Row> rows_;
  std::uint64_t stored_ = 0, changes_ = 0, lives_ = 1;
};

// What a disk must do in one step, all or nothing.
struct Batch {
  bool clear_rows = false;
  std::vector<Row> rows;
  std::map<std::string, std::string> meta;
};

// Durable storage. commit() returns only when the batch is synced; false means it is not to be trusted.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual bool commit(const Batch& batch) = 0;
  virtual bool reopen() = 0;  // after a failed commit: makes what is synced readable again
  virtual std::vector<Row> rows() = 0;
  virtual std::map<std::string, std::string> meta() = 0;
};

}  // namespace pebblespindle
