#include "failover/suspicions.h"

#include <set>

#include "failover/constants.h"

namespace pebblespindle::failover {

void Suspicions::report_missed_reply(Instant now, const InstanceId& id, const std::string& zone,
                                     const std::string& node, bool refused, bool single_miss) {
  Reports& reports = reports_[id];
  reports.missed_replies[node] = {zone, now, single_miss};
  if (refused) reports.refused_at = now;
}

void Suspicions::report_slow(Instant now, const InstanceId& id, const std::string& zone,
                             const std::string& node) {
  reports_[id].slow[node] = {zone, now};
}

void Suspicions::clear_missed_reply(const InstanceId& id, const std::string& node) {
  auto reports = reports_.find(id);
  if (reports != reports_.end()) reports->second.missed_replies.erase(node);
}

bool Suspicions::should_query(Instant now, const InstanceId& id) {
  auto it = reports_.find(id);
  if (it == reports_.end()) return false;
  const Reports& reports = it->second;
  const std::size_t zones = zones_missing_replies(now, id);
  if (zones == 0 || reports.query_under_way || now < reports.quiet_until) return false;
  const bool refused = reports.refused_at && *reports.refused_at > now - kSuspicionWindowMs;
  return refused || zones >= 2;
}

void Suspicions::on_query_answered(Instant now, const InstanceId& id) {
  Reports& reports = reports_[id];
  reports = {};
  reports.quiet_until = now + kSuspicionPauseMs;
}

std::size_t Suspicions::zones_missing_replies(Instant now, const InstanceId& id) {
  Reports& reports = reports_[id];
  std::erase_if(reports.missed_replies,
                [&](auto& entry) { return entry.second.at < now - kSuspicionWindowMs; });
  // A single missed reply of one node is weak evidence. Single misses of several nodes count as much as
  // repeated misses of one.
  const bool count_single_misses = reports.missed_replies.size() >= kMinNodesWithSingleMiss;
  std::set<std::string> zones;
  for (auto& [node, missed] : reports.missed_replies)
    if (count_single_misses || !missed.single_miss) zones.insert(missed.zone);
  return zones.size();
}

bool Suspicions::nodes_agree_slow(Instant now, const InstanceId& id, std::size_t nodes) {
  auto it = reports_.find(id);
  if (it == reports_.end()) return false;
  Reports& reports = it->second;
  std::erase_if(reports.slow, [&](auto& entry) { return entry.second.at < now - kSlowReportTtlMs; });
  std::set<std::string> zones;
  for (auto& [node, slow] : reports.slow) zones.insert(slow.zone);
  if (zones.size() < 2 || 2 * reports.slow.size() < nodes) {
    reports.agreed_slow_since.reset();
    return false;
  }
  if (!reports.agreed_slow_since) reports.agreed_slow_since = now;
  return now >= *reports.agreed_slow_since + kSlowAgreementMs;  // a shorter stall passes by itself
}

}  // namespace pebblespindle::failover
