// A database as described by its own heartbeats, and the assignment of a service's primary.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "base/status.h"
#include "settings/settings.h"

namespace pebblespindle {

struct Instance {
  InstanceId id;
  std::string service, zone;
  Endpoint address;
  int capacity = 1;
  bool draining = false, primary = false;
  std::uint64_t call_count = 0;  // increases with each heartbeat, so that a delayed one can be recognized
  bool equals_ignoring_call_count(const Instance& other) const;
};

// Parses the body of a database's PUT /instances/ID. Returns kInvalidArgument with a one-line description if
// it is invalid.
Result<Instance> read_instance_heartbeat(const std::string& id, std::string_view body);

// The primary of a service, and whether it is being replaced. The first database that registers as primary is
// assigned automatically; afterwards only the controller that runs failovers changes the assignment.
struct PrimaryAssignment {
  InstanceId primary;
  bool suspended = false;  // nodes send it no requests of primary routes
  bool planned = false;    // the former primary is alive and takes part in the handover
  std::uint64_t term = 0;
  bool releasing = false;  // after a failover: replicas may still be paused, and a former primary may not
                           // know that it was replaced
};

}  // namespace pebblespindle
