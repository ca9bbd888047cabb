// What the nodes of this controller meet: by database and zone, and by route and zone. Judged by results
// alone, whatever health answers say: several nodes of a zone have to agree, for a single one may be at fault
// itself. No I/O; time is handed in.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/json_schema.h"

namespace pebblespindle {

class OutlierDetector {
 public:
  // The nodes of a zone together find that a database fails; called again while they do.
  using Eject = std::function<void(const std::string& database, const std::string& zone)>;
  explicit OutlierDetector(std::function<void(const std::string&)> log_event, Eject eject = {})
      : log_event_(std::move(log_event)), eject_(std::move(eject)) {}

  // A node's report of what was out of the ordinary in its last window: {"d": [[database, asked, failed, ms,
  // closed off], ...], "r": [[route, asked, refused, failed, late], ...]}. False, and nothing is entered:
  // counts that cannot be.
  bool report(Instant now, const std::string& zone, const std::string& node, const Json& message);
  void expire(Instant now);
  // For status: a row for each database, or route, and zone that reports it.
  Json databases(Instant now) const;
  Json routes(Instant now) const;

 private:
  struct Counts {
    std::int64_t asked = 0, failed = 0, late = 0, refused = 0, mean_ms = 0;
    bool closed_off = false;  // the node sends it nothing
    Instant at = 0;
  };
  struct Reports {
    std::map<std::string, Counts> by_node;
    Instant since = 0;
    bool logged = false;
    std::optional<Instant> ejected_at;
  };
  struct Key {
    std::string name;  // of a database or a route
    std::string zone;  // of the nodes
    auto operator<=>(const Key&) const = default;
  };
  using Table = std::map<Key, Reports>;
  static Counts sum(const Reports& reports);
  static Reports& enter(Table& table, const Key& key, const std::string& node, const Counts& counts);
  void judge(Instant now, const Key& key, Reports& reports);
  void expire(Instant now, Table& table);

  std::function<void(const std::string&)> log_event_;
  Eject eject_;
  Table databases_, routes_;
};

}  // namespace pebblespindle
