#include "health/outlier_detector.h"

#include "health/constants.h"

namespace pebblespindle {
namespace {

constexpr std::size_t kReportedCounts = 4;  // in a row of a report, after the name
// Percentage of failed requests from which a database counts as failing. The higher one applies to fewer than
// kMinRequestsForShare requests.
constexpr std::int64_t kFailingPercent = 25;
constexpr std::int64_t kFailingPercentOfFew = 75;

std::int64_t percent(std::int64_t part, std::int64_t all) {
  return all > 0 ? part * 100 / all : 0;
}

// True for a row of a name and counts, none of which is negative or larger than a window can hold.
bool is_valid_row(const Json& row) {
  if (!row.is_array() || row.size() != kReportedCounts + 1 || !row[0].is_string()) return false;
  for (std::size_t i = 1; i <= kReportedCounts; ++i) {
    if (!row[i].is_number_integer()) return false;
    const auto count = row[i].get<std::int64_t>();
    if (count < 0 || count > kMaxCountInWindow) return false;
  }
  return true;
}

bool are_valid_rows(const Json& rows) {
  for (auto& row : rows)
    if (!is_valid_row(row)) return false;
  return true;
}

}  // namespace

OutlierDetector::Reports& OutlierDetector::record(Table& table, const Key& key, const std::string& node,
                                                  const Counts& counts) {
  Reports& reports = table[key];
  if (reports.by_node.empty()) reports.since = counts.reported_at;
  reports.by_node[node] = counts;
  return reports;
}

bool OutlierDetector::report(Instant now, const std::string& zone, const std::string& node,
                             const Json& message) {
  const Json none = Json::array();
  const Json& databases = message.contains("d") ? message.at("d") : none;
  const Json& routes = message.contains("r") ? message.at("r") : none;
  if (!databases.is_array() || !routes.is_array() || !are_valid_rows(databases) || !are_valid_rows(routes))
    return false;
  for (auto& row : databases)
    if (row[2] > row[1]) return false;  // more failures than requests
  for (auto& row : databases) {
    const Key key{row[0], zone};
    evaluate(now, key, record(databases_, key, node, {row[1], row[2], 0, 0, row[3], row[4] != 0, now}));
  }
  for (auto& row : routes)
    record(routes_, {row[0], zone}, node, {row[1], row[3], row[4], row[2], 0, false, now});
  return true;
}

OutlierDetector::Counts OutlierDetector::sum(const Reports& reports) {
  Counts all;
  for (auto& [node, counts] : reports.by_node) {
    all.requests += counts.requests;
    all.failed += counts.failed;
    all.late += counts.late;
    all.refused += counts.refused;
    all.mean_ms += counts.mean_ms * counts.requests;
    all.circuit_open = all.circuit_open || counts.circuit_open;
  }
  if (all.requests > 0) all.mean_ms /= all.requests;
  return all;
}

void OutlierDetector::evaluate(Instant now, const Key& key, Reports& reports) {
  const Counts all = sum(reports);
  int slow = 0;
  int open_circuits = 0;
  for (auto& [node, counts] : reports.by_node) {
    open_circuits += counts.circuit_open;
    slow += !counts.circuit_open && counts.failed == 0;  // reported only because of its delay
  }
  // Nodes that saw nothing unusual send no report, so these counts overstate the share: of few requests, most
  // must have failed.
  const std::int64_t failing_percent = percent(all.failed, all.requests);
  const bool has_high_failure_share =
      failing_percent >= (all.requests >= kMinRequestsForShare ? kFailingPercent : kFailingPercentOfFew);
  const bool is_unhealthy =
      reports.by_node.size() >= 2 && all.failed >= kMinFailures && has_high_failure_share;
  // A single node may see too few requests to decide on its own, but the nodes of a zone together see enough,
  // and are told the result.
  const bool fails_at_many_nodes = reports.by_node.size() >= kMinNodesForEjection && has_high_failure_share;
  const bool due = !reports.ejected_at || now >= *reports.ejected_at + kHealthWindowMs / 2;
  if (eject_ && (is_unhealthy || fails_at_many_nodes || open_circuits >= 2) && due) {
    reports.ejected_at = now;
    eject_(key.name, key.zone);
  }
  if (reports.logged || (!is_unhealthy && slow < 2 && open_circuits < 2)) return;
  reports.logged = true;
  log_event_("database unhealthy: id=" + key.name + " seen_from=" + key.zone + " failing_percent=" +
             std::to_string(failing_percent) + " requests=" + std::to_string(all.requests) +
             " nodes=" + std::to_string(reports.by_node.size()) + " mean_ms=" + std::to_string(all.mean_ms) +
             " closed_off_by=" + std::to_string(open_circuits));
}

void OutlierDetector::expire(Instant now) {
  expire(now, databases_);
  expire(now, routes_);
}

void OutlierDetector::expire(Instant now, Table& table) {
  for (auto it = table.begin(); it != table.end();) {
    auto& [key, reports] = *it;
    std::erase_if(reports.by_node,
                  [&](auto& entry) { return now > entry.second.reported_at + kHealthReportTtlMs; });
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
                    {"asked", all.requests},
                    {"failing_percent", percent(all.failed, all.requests)},
                    {"mean_ms", all.mean_ms},
                    {"closed_off", all.circuit_open},
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
                    {"asked", all.requests},
                    {"refused_percent", percent(all.refused, all.requests)},
                    {"failed_percent", percent(all.failed, all.requests)},
                    {"late_percent", percent(all.late, all.requests)},
                    {"for_ms", now - reports.since}});
  }
  return rows;
}

}  // namespace pebblespindle
