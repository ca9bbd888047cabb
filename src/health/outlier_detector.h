// What the nodes of this core meet: by database and zone, and by route and zone. Judged by results alone,
// whatever health answers say. No I/O; time is handed in.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "base/json_schema.h"

namespace pebblespindle {

class OutlierDetector {
 public:
  // avoid: the nodes of a zone together find that a database fails; said again while they do.
  using Avoid = std::function<void(const std::string& database, const std::string& zone)>;
  explicit OutlierDetector(std::function<void(const std::string&)> note, Avoid avoid = {})
      : note_(std::move(note)), avoid_(std::move(avoid)) {}

  // A node's report of what was out of the ordinary in its last window: {"d": [[database, asked, failed, ms,
  // closed off], ...], "r": [[route, asked, refused, failed, late], ...]}. False: figures that cannot be.
  bool report(Millis now, const std::string& zone, const std::string& node, const Json& m);
  void expire(Millis now);
  Json databases(Millis now) const;
  Json routes(Millis now) const;

 private:
  struct Seen {
    std::int64_t asked = 0, bad = 0, late = 0, refused = 0, ms = 0;
    bool closed = false;
    Millis at = 0;
  };
  struct Sight {
    std::map<std::string, Seen> nodes;
    Millis since = 0;
    bool told = false;
    Millis avoided_at = -1;
  };
  using Key = std::pair<std::string, std::string>;  // database or route, zone of the nodes
  static Seen sum(const Sight& s);
  void judge(Millis now, const Key& key, Sight& s);
  std::function<void(const std::string&)> note_;
  Avoid avoid_;
  std::map<Key, Sight> databases_, routes_;
};

}  // namespace pebblespindle
