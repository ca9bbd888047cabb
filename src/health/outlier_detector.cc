#include "health/outlier_detector.h"

#include "health/constants.h"

namespace pebblespindle {
namespace {

constexpr std::size_t kReportedCounts = 4;  // in a row of a report, behind the name
// Percent failing, of many requests or of few, that tell of a database at fault.
constexpr std::int64_t kFailingPercent = 25;
constexpr std::int64_t kFailingPercentOfFew = 75;

std::int64_t percent(std::int64_t part, std::int64_t all) {
  return all > 0 ? part * 100 / all : 0;
}

// A row of a name and counts; none of them negative or beyond what a window can hold.
bool is_sound(const Json& row) {
  if (!row.is_array() || row.size() != kReportedCounts + 1 || !row[0].is_string()) return false;
  for (std::size_t i = 1; i <= kReportedCounts; ++i) {
    if (!row[i].is_number_integer()) return false;
    const auto count = row[i].get<std::int64_t>();
    if (count < 0 || count > kMaxCountInWindow) return false;
  }
  return true;
}

bool all_sound(const Json& rows) {
  for (auto& row : rows)
    if (!is_sound(row)) return false;
  return true;
}

}  // namespace

OutlierDetector::Reports& OutlierDetector::enter(Table& table, const Key& key, const std::string& node,
                                                 const Counts& counts) {
  Reports& reports = table[key];
  if (reports.by_node.empty()) reports.since = counts.at;
  reports.by_node[node] = counts;
  return reports;
}

bool OutlierDetector::report(Instant now, const std::string& zone, const std::string& node,
                             const Json& message) {
  const Json none = Json::array();
  const Json& databases = message.contains("d") ? message.at("d") : none;
  const Json& routes = message.contains("r") ? message.at("r") : none;
  if (!databases.is_array() || !routes.is_array() || !all_sound(databases) || !all_sound(routes))
    return false;
  for (auto& row : databases)
    if (row[2] > row[1]) return false;  // more failed than were asked
  for (auto& row : databases) {
    const Key key{row[0], zone};
    judge(now, key, enter(databases_, key, node, {row[1], row[2], 0, 0, row[3], row[4] != 0, now}));
  }
  for (auto& row : routes)
    enter(routes_, {row[0], zone}, node, {row[1], row[3], row[4], row[2], 0, false, now});
  return true;
}

OutlierDetector::Counts OutlierDetector::sum(const Reports& reports) {
  Counts all;
  for (auto& [node, counts] : reports.by_node) {
    all.asked += counts.asked;
    all.failed += counts.failed;
    all.late += counts.late;
    all.refused += counts.refused;
    all.mean_ms += counts.mean_ms * counts.asked;
    all.closed_off = all.closed_off || counts.closed_off;
  }
  if (all.asked > 0) all.mean_ms /= all.asked;
  return all;
}

void OutlierDetector::judge(Instant now, const Key& key, Reports& reports) {
  const Counts all = sum(reports);
  int slow = 0;
  int closed_off = 0;
  for (auto& [node, counts] : reports.by_node) {
    closed_off += counts.closed_off;
    slow += !counts.closed_off && counts.failed == 0;  // told of for its delay alone
  }
  // Nodes that met no failure say nothing: of few requests, most must have failed.
  const std::int64_t failing = percent(all.failed, all.asked);
  const bool failing_share =
      failing >= (all.asked >= kMinRequestsForShare ? kFailingPercent : kFailingPercentOfFew);
  const bool fails = reports.by_node.size() >= 2 && all.failed >= kMinFailures && failing_share;
  // Each node alone meets too little to know it: what they know together goes back to them.
  const bool fails_together = reports.by_node.size() >= kMinNodesForEjection && failing_share;
  const bool due = !reports.ejected_at || now >= *reports.ejected_at + kHealthWindowMs / 2;
  if (eject_ && (fails || fails_together || closed_off >= 2) && due) {
    reports.ejected_at = now;
    eject_(key.name, key.zone);
  }
  if (reports.logged || (!fails && slow < 2 && closed_off < 2)) return;
  reports.logged = true;
  log_event_("database unhealthy: id=" + key.name + " seen_from=" + key.zone +
             " failing_percent=" + std::to_string(failing) + " requests=" + std::to_string(all.asked) +
             " nodes=" + std::to_string(reports.by_node.size()) + " mean_ms=" + std::to_string(all.mean_ms) +
             " closed_off_by=" + std::to_string(closed_off));
}

void OutlierDetector::expire(Instant now) {
  expire(now, databases_);
  expire(now, routes_);
}

void OutlierDetector::expire(Instant now, Table& table) {
  for (auto it = table.begin(); it != table.end();) {
    auto& [key, reports] = *it;
    std::erase_if(reports.by_node, [&](auto& entry) { return now > entry.second.at + kHealthReportTtlMs; });
    if (reports.by_node.empty() && reports.logged)
      log_event_("database healthy again: id=" + key.name + " seen_from=" + key.zone);
    it = reports.by_node.empty() ? table.erase(it) : std::next(it);
  }
}

Json OutlierDetector::databases(Instant now) const {
  Json rows = Json::array();
  for (auto& [key, reports] : databases_) {
    const Counts all = sum(reports);
    rows.push_back({{"database", key.name},
                    {"seen_from", key.zone},
                    {"nodes", reports.by_node.size()},
                    {"asked", all.asked},
                    {"failing_percent", percent(all.failed, all.asked)},
                    {"mean_ms", all.mean_ms},
                    {"closed_off", all.closed_off},
                    {"for_ms", now - reports.since}});
  }
  return rows;
}

Json OutlierDetector::routes(Instant now) const {
  Json rows = Json::array();
  for (auto& [key, reports] : routes_) {
    const Counts all = sum(reports);
    rows.push_back({{"route", key.name},
                    {"seen_from", key.zone},
                    {"nodes", reports.by_node.size()},
                    {"asked", all.asked},
                    {"refused_percent", percent(all.refused, all.asked)},
                    {"failed_percent", percent(all.failed, all.asked)},
                    {"late_percent", percent(all.late, all.asked)},
                    {"for_ms", now - reports.since}});
  }
  return rows;
}

}  // namespace pebblespindle
