// Detects failing databases from the request results that the nodes of this controller report, per database
// and zone and per route and zone. Only results of requests count, not answers to health checks. Several
// nodes of a zone have to agree, because a single node may be at fault itself. Does no I/O; callers pass the
// time.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/json_schema.h"

namespace pebblespindle {

class OutlierDetector {
 public:
  // Called when the nodes of a zone together find that a database fails, and repeated while they do.
  using Eject = std::function<void(const std::string& database, const std::string& zone)>;
  explicit OutlierDetector(std::function<void(const std::string&)> log_event, Eject eject = {})
      : log_event_(std::move(log_event)), eject_(std::move(eject)) {}

  // Records a node's report of the databases and routes that were conspicuous in its last window:
  // {"d": [[database, requests, failed, mean ms, circuit open], ...],
  //  "r": [[route, requests, refused, failed, late], ...]}.
  // Returns false and records nothing if the report is malformed or a count is out of range.
  bool report(Instant now, const std::string& zone, const std::string& node, const Json& message);
  void expire(Instant now);
  // For the status page: one row for each database (or route) and zone whose nodes have reported it.
  Json databases(Instant now) const;
  Json routes(Instant now) const;

 private:
  struct Counts {
    std::int64_t requests = 0, failed = 0, late = 0, refused = 0, mean_ms = 0;
    bool circuit_open = false;  // the node sends no requests to the database
    Instant reported_at = 0;
  };
  struct Reports {
    std::map<std::string, Counts> by_node;
    Instant since = 0;                  // when the first of these reports arrived
    bool logged = false;                // the database was logged as unhealthy
    std::optional<Instant> ejected_at;  // time of the last call of Eject
  };
  struct Key {
    std::string name;  // of a database or a route
    std::string zone;  // of the nodes
    auto operator<=>(const Key&) const = default;
  };
  using Table = std::map<Key, Reports>;
  static Counts sum(const Reports& reports);
  static Reports& record(Table& table, const Key& key, const std::string& node, const Counts& counts);
  void evaluate(Instant now, const Key& key, Reports& reports);
  void expire(Instant now, Table& table);

  std::function<void(const std::string&)> log_event_;
  Eject eject_;
  Table databases_, routes_;
};

}  // namespace pebblespindle
