// The control state: keys with values, each stamped with the number of the change that set it.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/json_schema.h"

namespace pebblespindle {

struct Row {
  std::string key, value;
  std::uint64_t number = 0;
  bool gone = false;
  bool operator==(const Row&) const = default;
};

Json rows_to_json(const std::vector<Row>& rows);
Outcome<std::vector<Row>> rows_from_json(const Json& j);

class StateTable {
 public:
  StateTable() = default;
  StateTable(StateTable&&) = default;
  StateTable& operator=(StateTable&&) = default;
  StateTable(const StateTable& other) { *this = other; }
  StateTable& operator=(const StateTable& other);
  const Row* find(const std::string& key) const;  // null when absent or gone
  const Row* find_any(const std::string& key) const;
  void put(const Row& row);
  void clear();
  // What another state holds, which is empty afterwards, instead of what is held.
  void take(StateTable& other);
  std::size_t size() const { return rows_.size(); }  // gone rows too
  std::uint64_t stored() const { return stored_; }
  void set_stored(std::uint64_t n) { stored_ = n; }
  std::uint64_t changes() const { return changes_; }   // rises with every row put
  std::uint64_t lives() const { return lives_; }       // rises when the state is taken anew
  std::vector<Row> since(std::uint64_t number) const;  // rows above number, in number order
  // Gone rows up to a number are forgotten: whoever stands below it needs a whole state.
  void trim(std::uint64_t number);
  std::uint64_t trimmed() const { return trimmed_; }

  // Walks are bounded by bytes, so that a state of any size goes in pieces. The row at which one ends comes
  // whole.
  struct Place {  // in the order by number, then by key
    std::uint64_t number = 0;
    std::string key;
  };
  struct Walk {
    std::vector<Row> rows;
    bool complete = false;  // nothing is left behind it
  };
  Walk by_key(const std::string& after, std::size_t bytes) const;
  Walk by_number(const Place& after, std::size_t bytes) const;

  template <class F>
  void each(const std::string& prefix, F f) const {
    for (auto it = rows_.lower_bound(prefix); it != rows_.end() && it->first.starts_with(prefix); ++it)
      if (!it->second.gone) f(it->second);
  }

 private:
  std::map<std::string, Row> rows_;
  std::set<std::pair<std::uint64_t, std::string_view>> order_;  // by number; the keys stand in rows_
  std::uint64_t stored_ = 0, changes_ = 0, lives_ = 1, trimmed_ = 0;
};

// What a disk must do in one step, all or nothing.
struct Batch {
  // A state taken from another core is staged apart from the rows until it is whole.
  enum class Promote { kNo, kReplace, kMerge };  // once `staged` is in: instead of the rows, or over them
  bool clear_staged = false;                     // what was staged before is dropped
  std::vector<Row> staged;
  Promote promote = Promote::kNo;
  std::vector<Row> rows;
  std::uint64_t trim = 0;  // gone rows up to this number are deleted
  std::map<std::string, std::string> meta;
};

// Durable storage. commit() returns only when the batch is synced; false means it is not to be trusted.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual bool commit(const Batch& batch) = 0;
  virtual bool reopen() = 0;  // after a failed commit: makes what is synced readable again
  virtual std::vector<Row> rows() = 0;
  virtual std::vector<Row> staged() = 0;
  virtual std::map<std::string, std::string> meta() = 0;
};

}  // namespace pebblespindle
