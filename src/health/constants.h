// Windows and thresholds of health reports. Each line above a constant says its unit and the reason for its
// value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; a window of what a node met: hundreds of requests, few bytes
constexpr Millis kHealthWindowMs = 2000;
// ms; two windows and the way
constexpr Millis kHealthReportTtlMs = 5000;
// Requests; fewer say nothing of a window
constexpr int kMinRequestsInReport = 8;
// Failures of a zone's nodes; fewer are met on any day
constexpr std::int64_t kMinFailures = 6;
// Requests of a zone's nodes; enough that a share tells something
constexpr std::int64_t kMinRequestsForShare = 40;
// Requests or ms; more than a window can hold: not a report
constexpr std::int64_t kMaxCountInWindow = 10'000'000;
// Nodes of a zone that each met a failure; reads may go elsewhere on less than what is worth a line
constexpr std::size_t kMinNodesForEjection = 3;
// ms; a database that turned a connection away is spared this long: one refusal a minute tells
constexpr Millis kConnectionLimitTtlMs = 60000;

}  // namespace pebblespindle
