// The configuration that an operator sends, decoded into types.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/types.h"

namespace pebblespindle {

enum class RouteType { kPrimary, kBounded, kReadYourWrites, kIdempotent, kNonIdempotent };

struct WeightedTarget {
  std::string service;
  int weight = 0;
};

struct Route {
  std::string name, hostname, service;
  RouteType type = RouteType::kPrimary;
  Millis timeout_ms = 1000, latency_target_ms = 100, max_staleness_ms = 0;
  int priority = 1, max_attempts = 2;
  bool is_public = false;                        // served without a tenant's API key
  std::string prefix = "/";                      // of the path; starts and ends with a slash
  std::vector<WeightedTarget> weighted_targets;  // empty: all traffic goes to `service`
  // Unique among all routes.
  std::string key() const { return hostname + prefix; }
};

struct ServiceSpec {
  std::string name;
  int max_connections = 16;
  int sync_replicas = 0;
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  double rate_per_s = 0, burst = 0;  // operations, counted over all nodes; both 0: no limit
  int priority = 1;
};

// Limits on the size of client requests and on how long a client may be slow or idle.
struct Limits {
  Millis transaction_idle_timeout_ms = 3000, header_timeout_ms = 3000, idle_timeout_ms = 15000;
  std::size_t max_header_bytes = 16384, max_body_bytes = 1 << 20;
};

struct Configuration {
  std::uint64_t revision = 0;           // 0: no configuration yet
  std::map<std::string, Route> routes;  // by key; empty in ClusterState, which has its own index of routes
  std::map<std::string, ServiceSpec> services;
  std::map<std::string, Tenant> tenants;
  Limits limits;
};

}  // namespace pebblespindle
