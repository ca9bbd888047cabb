#include "config/state_rows.h"

#include <algorithm>

#include "base/json_schema.h"

namespace pebblespindle {
namespace {

// Earlier builds, which had no limits for headers and bodies, wrote a head with fewer fields.
constexpr std::size_t kHeadFields = 6;
constexpr std::size_t kInstanceFields = 7;
constexpr std::size_t kInstanceTextFields = 3;

Json encode_targets(const std::vector<WeightedTarget>& targets) {
  Json encoded = Json::array();
  for (auto& target : targets) encoded.push_back(Json::array({target.service, target.weight}));
  return encoded;
}

std::string encode_route(const Route& route) {
  Json fields = Json::array({route.service, int(route.type), route.timeout_ms, route.latency_target_ms,
                             route.max_staleness_ms, route.priority, route.max_attempts, route.name});
  if (!route.weighted_targets.empty() || route.is_public)
    fields.push_back(encode_targets(route.weighted_targets));
  if (route.is_public) fields.push_back(true);
  return fields.dump();
}

Route decode_route(const std::string& route_key, const Json& fields) {
  const auto slash = std::min(route_key.find('/'), route_key.size());
  Route route;
  route.hostname = route_key.substr(0, slash);
  if (slash < route_key.size()) route.prefix = route_key.substr(slash);
  route.service = fields.at(0);
  route.type = RouteType(fields.at(1).get<int>());
  route.timeout_ms = fields.at(2);
  route.latency_target_ms = fields.at(3);
  route.max_staleness_ms = fields.at(4);
  route.priority = fields.at(5);
  route.max_attempts = fields.at(6);
  route.name = fields.at(7);
  if (fields.size() > 8)
    for (auto& target : fields.at(8)) route.weighted_targets.push_back({target.at(0), target.at(1)});
  if (fields.size() > 9) route.is_public = fields.at(9);
  return route;
}

bool is_configuration_key(const std::string& key) {
  return key == kConfigurationHeadKey || key.starts_with(kServicePrefix) || key.starts_with(kRoutePrefix) ||
         key.starts_with(kTenantPrefix);
}

void apply_head(Configuration& configuration, const Json& fields) {
  const std::uint64_t revision = fields.at(0);
  Limits limits = configuration.limits;
  if (fields.size() < kHeadFields)
    limits.transaction_idle_timeout_ms = fields.at(1);
  else
    limits = {fields.at(1), fields.at(2), fields.at(3), fields.at(4), fields.at(5)};
  configuration.revision = revision;
  configuration.limits = limits;
}

}  // namespace

std::string instance_key(const InstanceId& id) {
  return kInstancePrefix + id.value;
}

std::string primary_key(const std::string& service) {
  return kPrimaryPrefix + service;
}

std::map<std::string, std::string> encode_configuration(const Configuration& configuration) {
  std::map<std::string, std::string> rows;
  const Limits& limits = configuration.limits;
  rows[kConfigurationHeadKey] =
      Json::array({configuration.revision, limits.transaction_idle_timeout_ms, limits.header_timeout_ms,
                   limits.idle_timeout_ms, limits.max_header_bytes, limits.max_body_bytes})
          .dump();
  for (auto& [name, service] : configuration.services)
    rows[kServicePrefix + name] = Json::array({service.max_connections, service.sync_replicas}).dump();
  for (auto& [key, route] : configuration.routes) rows[kRoutePrefix + key] = encode_route(route);
  for (auto& [name, tenant] : configuration.tenants)
    rows[kTenantPrefix + name] =
        Json::array({tenant.rate_per_s, tenant.burst, tenant.priority, tenant.keys}).dump();
  return rows;
}

bool apply_configuration_row(Configuration& configuration, const std::string& key, const std::string* value,
                             const RouteVisitor& visit_route) {
  if (!is_configuration_key(key)) return false;
  const Json fields = value ? Json::parse(*value, nullptr, false) : Json();
  if (key.starts_with(kTenantPrefix)) {
    const std::string name = key.substr(kTenantPrefix.size());
    if (value)
      configuration.tenants[name] = {name, fields.at(3), fields.at(0), fields.at(1), fields.at(2)};
    else
      configuration.tenants.erase(name);
    return true;
  }
  if (key.starts_with(kServicePrefix)) {
    const std::string name = key.substr(kServicePrefix.size());
    if (value)
      configuration.services[name] = {name, fields.at(0), fields.at(1)};
    else
      configuration.services.erase(name);
    return true;
  }
  if (key.starts_with(kRoutePrefix)) {
    std::string route_key = key.substr(kRoutePrefix.size());
    if (value) {
      Route route = decode_route(route_key, fields);
      route_key = route.key();
      visit_route(route_key, std::move(route));
    } else {
      visit_route(route_key.find('/') == std::string::npos ? route_key + "/" : route_key, std::nullopt);
    }
    return true;
  }
  if (value) apply_head(configuration, fields);
  return true;
}

// Encoded as an array because it is smaller than an object: a node that starts receives every database over a
// slow link.
std::string encode_instance(const Instance& instance) {
  return Json::array({instance.service, instance.address.text(), instance.zone, instance.capacity,
                      int(instance.draining), int(instance.primary), instance.call_count})
      .dump();
}

std::optional<Instance> decode_instance(const InstanceId& id, const std::string& value) {
  const Json fields = Json::parse(value, nullptr, false);
  if (!fields.is_array() || fields.size() != kInstanceFields) return std::nullopt;
  for (std::size_t i = 0; i < kInstanceFields; ++i)
    if (i < kInstanceTextFields ? !fields[i].is_string() : !fields[i].is_number_integer())
      return std::nullopt;
  auto address = Endpoint::parse(fields[1].get<std::string>());
  if (!address) return std::nullopt;
  return Instance{id, fields[0], fields[2], *address, fields[3], fields[4] != 0, fields[5] != 0, fields[6]};
}

std::string encode_primary(const PrimaryAssignment& assignment) {
  Json fields{{"p", assignment.primary.value},
              {"h", assignment.suspended},
              {"pl", assignment.planned},
              {"t", assignment.term}};
  if (assignment.releasing) fields["r"] = true;
  return fields.dump();
}

std::optional<PrimaryAssignment> decode_primary(const std::string& value) {
  const Json fields = Json::parse(value, nullptr, false);
  if (!fields.is_object()) return std::nullopt;
  return PrimaryAssignment{{fields.value("p", "")},
                           fields.value("h", false),
                           fields.value("pl", false),
                           fields.value("t", std::uint64_t(0)),
                           fields.value("r", false)};
}

}  // namespace pebblespindle
