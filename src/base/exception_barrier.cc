#include "base/exception_barrier.h"

#include <bit>

#include "base/log.h"

namespace pebblespindle {
namespace {

constexpr std::uint64_t kAlwaysLogged = 16;  // exceptions of a boundary; after these, each power of two

std::map<Boundary, std::uint64_t>& counts() {
  static std::map<Boundary, std::uint64_t> counts;
  return counts;
}

}  // namespace

const char* name_of(Boundary boundary) {
  switch (boundary) {
    case Boundary::kHttpRequest:
      return "http_request";
    case Boundary::kConnection:
      return "connection";
    case Boundary::kAcceptor:
      return "acceptor";
    case Boundary::kTimer:
      return "timer";
    case Boundary::kSignal:
      return "signal";
    case Boundary::kSubmission:
      return "submission";
    case Boundary::kDatabaseReply:
      return "database_reply";
    case Boundary::kReplication:
      return "replication";
    case Boundary::kStoredRow:
      return "stored_row";
    case Boundary::kEventLoop:
      return "event_loop";
  }
  return "unknown";
}

void record_stopped_exception(Boundary boundary, const char* what) noexcept {
  try {
    const std::uint64_t count = ++counts()[boundary];
    if (count > kAlwaysLogged && !std::has_single_bit(count)) return;
    Log("exceptions")
        .say("exception stopped: boundary=" + std::string(name_of(boundary)) +
             " count=" + std::to_string(count) + " what=" + what);
  } catch (...) {  // no memory for the record: the process goes on without it
  }
}

const std::map<Boundary, std::uint64_t>& stopped_exceptions() {
  return counts();
}

std::uint64_t stopped_exception_count() {
  std::uint64_t total = 0;
  for (auto& [boundary, count] : counts()) total += count;
  return total;
}

void reset_stopped_exceptions() {
  counts().clear();
}

}  // namespace pebblespindle
