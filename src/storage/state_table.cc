#include "storage/state_table.h"

#include <algorithm>

#include "base/constants.h"

namespace pebblespindle {

Json rows_to_json(const std::vector<Row>& rows) {
  Json a = Json::array();
  for (auto& r : rows) {
    Json row = Json::array({r.key, r.number});
    if (!r.gone) row.push_back(r.value);  // a row of two fields is a deletion
    a.push_back(std::move(row));
  }
  return a;
}

Outcome<std::vector<Row>> rows_from_json(const Json& j) {
  using Out = Outcome<std::vector<Row>>;
  if (!j.is_array()) return Out::fail("rows: not a list");
  std::vector<Row> rows;
  rows.reserve(j.size());
  for (auto& e : j) {
    if (!e.is_array() || e.size() < 2 || e.size() > 3 || !e[0].is_string() || !e[1].is_number_unsigned() ||
        (e.size() == 3 && !e[2].is_string()))
      return Out::fail("rows: a row is not [key, number, value]");
    rows.push_back({e[0], e.size() == 3 ? e[2].get<std::string>() : std::string(), e[1], e.size() == 2});
  }
  return Out::ok(std::move(rows));
}

const Row* StateTable::find_any(const std::string& key) const {
  auto it = rows_.find(key);
  return it == rows_.end() ? nullptr : &it->second;
}

const Row* StateTable::find(const std::string& key) const {
  const Row* r = find_any(key);
  return r && !r->gone ? r : nullptr;
}

void StateTable::put(const Row& row) {
  auto [it, fresh] = rows_.try_emplace(row.key, row);
  if (!fresh) {
    order_.erase({it->second.number, it->first});
    it->second = row;
  }
  order_.insert({row.number, it->first});
  ++changes_;
  stored_ = std::max(stored_, row.number);
}

// The order by number points into the rows: a copy has its own.
StateTable& StateTable::operator=(const StateTable& other) {
  if (this == &other) return *this;
  rows_ = other.rows_;
  order_.clear();
  for (auto& [key, row] : rows_) order_.insert({row.number, key});
  stored_ = other.stored_;
  changes_ = other.changes_;
  lives_ = other.lives_;
  trimmed_ = other.trimmed_;
  return *this;
}

void StateTable::clear() {
  order_.clear();
  rows_.clear();
  stored_ = trimmed_ = 0;
  ++lives_;
}

void StateTable::take(StateTable& other) {
  clear();
  rows_.swap(other.rows_);
  order_.swap(other.order_);
  stored_ = other.stored_;
  trimmed_ = other.trimmed_;
  ++changes_;
  other.clear();
}

std::vector<Row> StateTable::since(std::uint64_t number) const {
  std::vector<Row> out;
  for (auto it = order_.lower_bound({number + 1, {}}); it != order_.end(); ++it)
    out.push_back(rows_.find(std::string(it->second))->second);
  return out;
}

void StateTable::trim(std::uint64_t number) {
  trimmed_ = std::max(trimmed_, number);
  for (auto it = order_.begin(); it != order_.end() && it->first <= number;) {
    auto row = rows_.find(std::string(it->second));
    it = row->second.gone ? order_.erase(it) : std::next(it);
    if (row->second.gone) rows_.erase(row);
  }
}

namespace {

std::size_t weight(const Row& r) {
  return r.key.size() + r.value.size() + constants::kRowBytes;
}

}  // namespace

StateTable::Walk StateTable::by_key(const std::string& after, std::size_t bytes) const {
  Walk w;
  std::size_t sum = 0;
  auto it = rows_.upper_bound(after);
  for (; it != rows_.end() && sum < bytes; ++it) {
    sum += weight(it->second);
    w.rows.push_back(it->second);
  }
  w.complete = it == rows_.end();
  return w;
}

StateTable::Walk StateTable::by_number(const Place& after, std::size_t bytes) const {
  Walk w;
  std::size_t sum = 0;
  auto it = order_.upper_bound({after.number, after.key});
  for (; it != order_.end() && sum < bytes; ++it) {
    w.rows.push_back(rows_.find(std::string(it->second))->second);
    sum += weight(w.rows.back());
  }
  w.complete = it == order_.end();
  return w;
}

}  // namespace pebblespindle
