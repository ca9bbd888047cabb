#include "ledger/ledger.h"

#include <algorithm>

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

const Row* Ledger::find_any(const std::string& key) const {
  auto it = rows_.find(key);
  return it == rows_.end() ? nullptr : &it->second;
}

const Row* Ledger::find(const std::string& key) const {
  const Row* r = find_any(key);
  return r && !r->gone ? r : nullptr;
}

void Ledger::put(const Row& row) {
  rows_[row.key] = row;
  ++changes_;
  stored_ = std::max(stored_, row.number);
}

std::vector<Row> Ledger::since(std::uint64_t number) const {
  std::vector<Row> out;
  for (auto& [key, row] : rows_)
    if (row.number > number) out.push_back(row);
  std::sort(out.begin(), out.end(), [](const Row& a, const Row& b) { return a.number < b.number; });
  return out;
}

}  // namespace pebblespindle
