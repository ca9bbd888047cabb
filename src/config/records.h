// The records of the control state: how configuration, databases and services stand in the state.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json_schema.h"
#include "settings/settings.h"

namespace pebblespindle {

enum class RouteType { kPrimary, kBounded, kReadYourWrites, kIdempotent, kNonIdempotent };

struct Route {
  std::string name, hostname, service;
  RouteType type = RouteType::kPrimary;
  Millis timeout_ms = 1000, target_ms = 100, stale_ms = 0;
  int priority = 1, max_attempts = 2;
  bool open_to_all = false;                        // needs no tenant's key
  std::string prefix = "/";                        // starts and ends with a slash
  std::vector<std::pair<std::string, int>> split;  // services with their weights; empty: `service` alone
  std::string place() const { return hostname + prefix; }
};

struct ServiceSpec {
  std::string name;
  int max_connections = 16;
  int sync_replicas = 0;
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  double rate_per_s = 0, burst = 0;  // operations, over all nodes; both 0: no limit
  int priority = 1;
};

// What a client may send, and how long it may take or rest.
struct Limits {
  Millis transaction_idle_ms = 3000, header_ms = 3000, idle_ms = 15000;
  std::size_t header_bytes = 16384, body_bytes = 1 << 20;
};

struct Configuration {
  std::uint64_t revision = 0;
  std::map<std::string, Route> routes;  // by place; a cluster keeps its own
  std::map<std::string, ServiceSpec> services;
  std::map<std::string, Tenant> tenants;
  Limits limits;
};

// Reads and checks a configuration as the operator sends it.
Result<Configuration> read_configuration(std::string_view text);
// What no whole could make sound in a change of named items; empty when there is nothing.
std::string wrong_with_patch(std::string_view patch);
// The whole that a change of named items makes of a whole.
Result<std::string> patched(const std::string& whole, std::string_view patch);

struct Instance {
  InstanceId id;
  std::string service, zone;
  Endpoint address;
  int capacity = 1;
  bool draining = false, primary = false;
  std::uint64_t calls = 0;
  Json json() const;
  static std::optional<Instance> from(const InstanceId& id, const std::string& text);
  bool same_but_calls(const Instance& o) const;
};
// Reads and checks a beat.
Result<Instance> read_beat(const std::string& id, std::string_view body);

// Who leads a service, and whether the lead is being handed over.
struct Lead {
  InstanceId primary;
  bool hold = false;     // suspended: no node sends it anything on primary routes
  bool planned = false;  // the old primary is alive and leaves in order
  std::uint64_t term = 0;
  bool release = false;  // after a switch: replicas may still be held, a former primary may not know
  Json json() const;
  static std::optional<Lead> from(const std::string& text);
};

// A configuration stands in the state twice: as it was sent, which cores alone keep, and in parts, of which
// nodes are told what a change has changed: a head, a row a service and a row a route.
// Beside it stands a record of those taken of late (taken.h).
inline const std::string kConfigKey = "c", kConfigHeadKey = "h", kServicePrefix = "v/", kRoutePrefix = "r/",
                         kTenantPrefix = "k/";
std::map<std::string, std::string> configuration_parts(const Configuration& c);  // values by key
// Enters a part into a configuration; routes are handed out. False: not a part of one.
bool enter_part(Configuration& c, const std::string& key, const std::string* value,
                const std::function<void(const std::string& place, std::optional<Route>)>& route);
inline std::string instance_key(const InstanceId& id) {
  return "i/" + id.value;
}
inline std::string lead_key(const std::string& service) {
  return "s/" + service;
}

}  // namespace pebblespindle
