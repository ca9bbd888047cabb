// A simulated network of named nodes: messages are delayed, lost across cuts, and kept in order per link.
#pragma once
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "base/json_schema.h"
#include "storage/state_table.h"

namespace pebblespindle::test {

class SimNet {
 public:
  explicit SimNet(std::uint32_t seed) : rng(seed) {}
  Millis now = 1000;
  std::mt19937 rng;
  std::set<std::pair<std::string, std::string>> cuts;  // one way
  double loss = 0;
  std::function<void(const std::string& to, const std::string& from, const Json&)> deliver;

  int pick(int n) { return int(rng() % std::uint32_t(n)); }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng) < p; }

  void send(const std::string& from, const std::string& to, const Json& m) {
    if (cuts.count({from, to}) || chance(loss)) return;
    Millis at = std::max(now + 1 + pick(chance(0.02) ? 400 : 5), last_[{from, to}]);
    last_[{from, to}] = at;
    queue_.emplace(at, Message{from, to, m});
  }
  // Lets one millisecond pass; true when a message arrived.
  bool step() {
    ++now;
    bool arrived = false;
    while (!queue_.empty() && queue_.begin()->first <= now) {
      Message m = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      if (cuts.count({m.from, m.to})) continue;
      arrived = true;
      deliver(m.to, m.from, m.body);
    }
    return arrived;
  }
  // A process ends: what was on its way to and from it is gone.
  void forget(const std::string& node) {
    std::erase_if(queue_, [&](auto& e) { return e.second.from == node || e.second.to == node; });
  }

 private:
  struct Message {
    std::string from, to;
    Json body;
  };
  std::multimap<Millis, Message> queue_;
  std::map<std::pair<std::string, std::string>, Millis> last_;
};

// A disk that survives its process. What was committed stays; nothing else does.
struct MemoryDisk : Disk {
  std::map<std::string, Row> stored_rows, staged_rows;
  std::map<std::string, std::string> stored_meta;
  bool full = false;  // refuses writes
  bool reopen() override { return !full; }
  bool commit(const Batch& b) override {
    if (full) return false;
    if (b.clear_staged) staged_rows.clear();
    for (auto& r : b.staged) staged_rows[r.key] = r;
    if (b.promote == Batch::Promote::kReplace) stored_rows.clear();
    if (b.promote != Batch::Promote::kNo) {
      for (auto& [k, r] : staged_rows) stored_rows[k] = r;
      staged_rows.clear();
    }
    for (auto& r : b.rows) stored_rows[r.key] = r;
    std::erase_if(stored_rows, [&](auto& e) { return e.second.gone && e.second.number <= b.trim; });
    for (auto& [k, v] : b.meta) stored_meta[k] = v;
    return true;
  }
  std::vector<Row> rows() override { return list(stored_rows); }
  std::vector<Row> staged() override { return list(staged_rows); }
  static std::vector<Row> list(const std::map<std::string, Row>& rows) {
    std::vector<Row> out;
    for (auto& [k, r] : rows) out.push_back(r);
    return out;
  }
  std::map<std::string, std::string> meta() override { return stored_meta; }
};

}  // namespace pebblespindle::test
