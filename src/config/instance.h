// A database as it tells of itself, and who is the primary of a service.
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
  std::uint64_t call_count = 0;  // rises with each call of the database, so that a late one can be known
  bool equals_ignoring_call_count(const Instance& other) const;
};

// Reads the body of a database's PUT /instances/ID. kInvalidArgument says in one line what is wrong.
Result<Instance> read_instance_heartbeat(const std::string& id, std::string_view body);

// Who is the primary of a service, and whether that is about to change. Written by the failover duty alone,
// once the first primary has named itself.
struct PrimaryAssignment {
  InstanceId primary;
  bool suspended = false;  // no node sends it anything on primary routes
  bool planned = false;    // the former primary is alive and hands over in order
  std::uint64_t term = 0;
  bool releasing = false;  // after a failover: replicas may still be paused, a former primary may not know
};

}  // namespace pebblespindle
