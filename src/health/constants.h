// Windows and thresholds of health reports. The comment above each constant gives its unit and the reason for
// its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; the period that a node's report covers: hundreds of requests in a report of a few bytes
constexpr Millis kHealthWindowMs = 2000;
// ms; two windows and the transmission delay
constexpr Millis kHealthReportTtlMs = 5000;
// Requests; a window with fewer is not significant and is not reported
constexpr int kMinRequestsInReport = 8;
// Failures seen by all nodes of a zone; fewer occur in normal operation
constexpr std::int64_t kMinFailures = 6;
// Requests of all nodes of a zone; from this number on a lower share of failures is significant
constexpr std::int64_t kMinRequestsForShare = 40;
// Requests or ms; a report with a larger count is invalid, as a window cannot hold that much
constexpr std::int64_t kMaxCountInWindow = 10'000'000;
// Nodes of a zone that each saw a failure. Lower than the threshold for a log line, because sending reads
// elsewhere costs little
constexpr std::size_t kMinNodesForEjection = 3;
// ms; how long a database that refused a connection gets no further ones: one refusal a minute is enough to
// know that it is still at its limit
constexpr Millis kConnectionLimitTtlMs = 60000;

}  // namespace pebblespindle
