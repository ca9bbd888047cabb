#include "health/outlier_detector.h"

#include <algorithm>

#include "health/constants.h"

namespace pebblespindle {

namespace {

std::int64_t percent(std::int64_t part, std::int64_t all) {
  return all > 0 ? part * 100 / all : 0;
}

// A row of a name and counts; none of them negative or beyond what a window can hold.
bool sound(const Json& row, std::size_t counts) {
  if (!row.is_array() || row.size() != counts + 1 || !row[0].is_string()) return false;
  for (std::size_t i = 1; i <= counts; ++i)
    if (!row[i].is_number_integer() || row[i].get<std::int64_t>() < 0 ||
        row[i].get<std::int64_t>() > kMaxCountInWindow)
      return false;
  return true;
}

}  // namespace

bool OutlierDetector::report(Millis now, const std::string& zone, const std::string& node, const Json& m) {
  const Json none = Json::array();
  const Json &d = m.contains("d") ? m.at("d") : none, &r = m.contains("r") ? m.at("r") : none;
  if (!d.is_array() || !r.is_array()) return false;
  for (auto& row : d)
    if (!sound(row, 4) || row[2] > row[1]) return false;
  for (auto& row : r)
    if (!sound(row, 4)) return false;
  auto enter = [&](std::map<Key, Sight>& table, const std::string& name, Seen seen) {
    seen.at = now;
    auto& s = table[{name, zone}];
    if (s.nodes.empty()) s.since = now;
    s.nodes[node] = seen;
    return &s;
  };
  for (auto& row : d) {
    auto* s = enter(databases_, row[0], {row[1], row[2], 0, 0, row[3], row[4] != 0, 0});
    judge(now, {row[0], zone}, *s);
  }
  for (auto& row : r) enter(routes_, row[0], {row[1], row[3], row[4], row[2], 0, false, 0});
  return true;
}

OutlierDetector::Seen OutlierDetector::sum(const Sight& s) {
  Seen all;
  for (auto& [node, x] : s.nodes) {
    all.asked += x.asked;
    all.bad += x.bad;
    all.late += x.late;
    all.refused += x.refused;
    all.ms += x.ms * x.asked;
    all.closed = all.closed || x.closed;
  }
  if (all.asked > 0) all.ms /= all.asked;
  return all;
}

// One line when several nodes of a zone agree: a single one may be at fault itself.
void OutlierDetector::judge(Millis now, const Key& key, Sight& s) {
  Seen all = sum(s);
  int slow = 0, closed = 0;
  for (auto& [node, x] : s.nodes) {
    closed += x.closed;
    slow += !x.closed && x.bad == 0;  // told of for its delay alone
  }
  // Nodes that met no failure say nothing: of few requests, most must have failed.
  std::int64_t least = all.asked >= kMinRequestsForShare ? 25 : 75;
  bool fails = s.nodes.size() >= 2 && all.bad >= kMinFailures && percent(all.bad, all.asked) >= least;
  // Each node alone meets too little to know it: what they know together goes back to them.
  bool thin = s.nodes.size() >= kMinNodesForEjection && percent(all.bad, all.asked) >= least;
  if (avoid_ && (fails || thin || closed >= 2) &&
      (s.avoided_at < 0 || now >= s.avoided_at + kHealthWindowMs / 2)) {
    s.avoided_at = now;
    avoid_(key.first, key.second);
  }
  if (s.told || (!fails && slow < 2 && closed < 2)) return;
  s.told = true;
  note_("Database " + key.first + " fails " + std::to_string(percent(all.bad, all.asked)) + "% of " +
        std::to_string(all.asked) + " requests of " + std::to_string(s.nodes.size()) + " nodes of " +
        key.second + " and takes " + std::to_string(all.ms) + " ms" +
        (closed > 0 ? "; " + std::to_string(closed) + " have closed it off." : "."));
}

void OutlierDetector::expire(Millis now) {
  for (auto* table : {&databases_, &routes_})
    for (auto it = table->begin(); it != table->end();) {
      auto& [key, s] = *it;
      std::erase_if(s.nodes, [&](auto& n) { return now > n.second.at + kHealthReportTtlMs; });
      if (s.nodes.empty() && s.told)
        note_("Database " + key.first + " serves the nodes of " + key.second + " again.");
      it = s.nodes.empty() ? table->erase(it) : std::next(it);
    }
}

Json OutlierDetector::databases(Millis now) const {
  Json out = Json::array();
  for (auto& [key, s] : databases_) {
    Seen all = sum(s);
    out.push_back({{"database", key.first},
                   {"seen_from", key.second},
                   {"nodes", s.nodes.size()},
                   {"asked", all.asked},
                   {"failing_percent", percent(all.bad, all.asked)},
                   {"mean_ms", all.ms},
                   {"closed_off", all.closed},
                   {"for_ms", now - s.since}});
  }
  return out;
}

Json OutlierDetector::routes(Millis now) const {
  Json out = Json::array();
  for (auto& [key, s] : routes_) {
    Seen all = sum(s);
    out.push_back({{"route", key.first},
                   {"seen_from", key.second},
                   {"nodes", s.nodes.size()},
                   {"asked", all.asked},
                   {"refused_percent", percent(all.refused, all.asked)},
                   {"failed_percent", percent(all.bad, all.asked)},
                   {"late_percent", percent(all.late, all.asked)},
                   {"for_ms", now - s.since}});
  }
  return out;
}

}  // namespace pebblespindle
