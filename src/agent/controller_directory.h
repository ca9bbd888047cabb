// The controllers that an agent knows, and which of them to ask next.
#pragma once
#include <string>
#include <vector>

#include "base/json_schema.h"
#include "settings/settings.h"

namespace pebblespindle {

class ControllerDirectory {
 public:
  struct Entry {
    std::string host, zone;  // the zone is empty until a controller has told it
  };
  ControllerDirectory(const std::string& node_name, std::string zone, const std::vector<Endpoint>& seeds);

  void set_seeds(const std::vector<Endpoint>& seeds);
  // The controllers in the view, as one of them tells, and the seeds; others are forgotten. An empty list
  // changes nothing: who tells it does not know.
  void replace_with(const Json& list);
  std::string zone_of(const std::string& host) const;  // empty when it is not known
  std::vector<std::string> hosts_in_own_zone() const;
  // Whom to ask next: the one in the own zone first, then all in turn, from a place of this node's own, so
  // that nodes spread over the controllers while zones are not known yet. `linked` is not asked; empty:
  // nobody just now.
  std::string next_host(const std::string& linked);
  void restart_turn() { next_ = 0; }

 private:
  void add(const std::string& host, const std::string& zone);

  const std::string zone_;
  const std::size_t first_;
  std::vector<Endpoint> seeds_;
  std::vector<Entry> entries_;
  std::size_t next_ = 0;
};

}  // namespace pebblespindle
