#include "config/configuration_reader.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/text.h"
#include "config/unambiguous_json.h"

namespace pebblespindle {
namespace {

const Schema& configuration_schema() {
  static const Schema schema(R"({
    "type": "object",
    "required": ["Revision", "Routes", "Services"],
    "properties": {
      "Revision": {"type": "integer", "minimum": 1},
      "Routes": {"type": "array", "items": {
        "type": "object",
        "required": ["Name", "Hostname", "RouteType", "TimeoutMs"],
        "properties": {
          "Name": {"type": "string"},
          "Hostname": {"type": "string", "minLength": 1},
          "PathPrefix": {"type": "string"},
          "Public": {"type": "boolean"},
          "RouteType": {"enum": ["primary", "bounded", "bounded_staleness", "read_your_writes", "idempotent", "non_idempotent"]},
          "WeightedTargets": {"type": "array", "minItems": 1, "items": {
            "type": "object",
            "required": ["TargetService", "Weight"],
            "properties": {"TargetService": {"type": "string"}, "Weight": {"type": "integer", "minimum": 0,
              "maximum": 1000000}}}},
          "TimeoutMs": {"type": "number", "minimum": 0},
          "TargetLatencyMs": {"type": "number", "minimum": 0},
          "Priority": {"type": "integer"},
          "TargetService": {"type": "string"},
          "MaxAttempts": {"type": "integer", "minimum": 0},
          "stale_ms": {"type": "number", "minimum": 0},
          "MaxStalenessMs": {"type": "number", "minimum": 0}
        }}},
      "Services": {"type": "array", "items": {
        "type": "object",
        "required": ["Name"],
        "properties": {
          "Name": {"type": "string", "minLength": 1},
          "MaxConnections": {"type": "integer", "minimum": 1},
          "SyncReplicas": {"type": "integer", "minimum": 0}
        }}},
      "Tenants": {"type": "array", "items": {
        "type": "object",
        "required": ["Name", "ApiKeys"],
        "properties": {
          "Name": {"type": "string", "minLength": 1, "maxLength": 256},
          "ApiKeys": {"type": "array", "items": {"type": "string", "minLength": 1, "maxLength": 256}},
          "RatePerS": {"type": "number", "minimum": 0, "maximum": 1000000000},
          "BurstLimit": {"type": "number", "minimum": 0, "maximum": 1000000000},
          "Priority": {"type": "integer"}
        }}},
      "Limits": {"type": "object", "properties": {
        "TransactionIdleMs": {"type": "number", "minimum": 0},
        "HeaderTimeoutMs": {"type": "number", "minimum": 0},
        "IdleTimeoutMs": {"type": "number", "minimum": 0},
        "MaxHeaderBytes": {"type": "integer", "minimum": 0},
        "MaxBodyBytes": {"type": "integer", "minimum": 0}
      }}
    }
  })");
  return schema;
}

const Schema& patch_schema() {
  static const Schema schema(R"({
    "type": "object",
    "required": ["Revision"],
    "additionalProperties": true,
    "properties": {
      "Revision": {"type": "integer", "minimum": 1},
      "Upsert": {"type": "object", "properties": {"Limits": {"type": "object"}},
        "additionalProperties": {"type": "array", "items": {
          "type": "object", "required": ["Name"], "properties": {"Name": {"type": "string"}}}}},
      "Remove": {"type": "object", "additionalProperties": {"type": "array", "items": {"type": "string"}}}
    }
  })");
  return schema;
}

// Rounds up, so that a time of less than a millisecond does not become 0.
Millis millis(const Json& fields, const char* name, Millis fallback) {
  return fields.contains(name) ? Millis(std::ceil(fields[name].get<double>())) : fallback;
}

RouteType route_type(const std::string& name) {
  if (name == "primary") return RouteType::kPrimary;
  if (name == "bounded" || name == "bounded_staleness") return RouteType::kBounded;
  if (name == "read_your_writes") return RouteType::kReadYourWrites;
  return name == "idempotent" ? RouteType::kIdempotent : RouteType::kNonIdempotent;
}

std::string normalized_prefix(std::string prefix) {
  if (prefix.empty() || prefix.front() != '/') prefix.insert(0, "/");
  if (prefix.back() != '/') prefix += '/';
  return prefix;
}

Status unknown_service(const std::string& service) {
  return Status::invalid_argument("names the unknown service " + service);
}

Status read_targets(const Json& fields, const Configuration& configuration, Route& route) {
  if (fields.contains("TargetService")) {
    route.service = fields["TargetService"];
    if (!configuration.services.count(route.service)) return unknown_service(route.service);
  } else if (!fields.contains("WeightedTargets")) {
    return Status::invalid_argument("names no service");
  }
  if (!fields.contains("WeightedTargets")) return Status::ok();
  long sum = 0;
  for (auto& target : fields["WeightedTargets"]) {
    route.weighted_targets.push_back({target["TargetService"], target["Weight"]});
    const WeightedTarget& added = route.weighted_targets.back();
    if (!configuration.services.count(added.service)) return unknown_service(added.service);
    sum += added.weight;
  }
  return sum == 0 ? Status::invalid_argument("has weights that sum to 0") : Status::ok();
}

Status read_route(const Json& fields, const Configuration& configuration, Route& route) {
  route.name = fields["Name"];
  route.hostname = fields["Hostname"];
  route.type = route_type(fields["RouteType"]);
  route.timeout_ms = millis(fields, "TimeoutMs", 0);
  route.latency_target_ms = millis(fields, "TargetLatencyMs", 100);
  route.max_staleness_ms = millis(fields, "stale_ms", millis(fields, "MaxStalenessMs", 0));
  route.is_public = fields.value("Public", false);
  route.priority = fields.value("Priority", 1);
  route.max_attempts = std::max(1, fields.value("MaxAttempts", 1));
  route.prefix = normalized_prefix(fields.value("PathPrefix", "/"));
  if (Status targets = read_targets(fields, configuration, route); !targets.is_ok()) return targets;
  if (!(fields["TimeoutMs"].get<double>() > 0)) return Status::invalid_argument("has a TimeoutMs of 0");
  return Status::ok();
}

Status read_services(const Json& fields, Configuration& configuration) {
  for (auto& service : fields["Services"]) {
    if (has_control_character(service["Name"].get_ref<const std::string&>()))
      return Status::invalid_argument("Services: a Name holds a control character");
    ServiceSpec spec{service["Name"], service.value("MaxConnections", 16), service.value("SyncReplicas", 0)};
    if (!configuration.services.emplace(spec.name, spec).second)
      return Status::invalid_argument("two services are named " + spec.name);
  }
  return Status::ok();
}

Status read_routes(const Json& fields, Configuration& configuration) {
  std::set<std::string> names;
  for (auto& route_fields : fields["Routes"]) {
    Route route;
    const Status valid = read_route(route_fields, configuration, route);
    if (!valid.is_ok()) return Status::invalid_argument("route " + route.name + " " + valid.message());
    if (!names.insert(route.name).second)
      return Status::invalid_argument("two routes are named " + route.name);
    if (!configuration.routes.emplace(route.key(), route).second)
      return Status::invalid_argument("two routes share the place of route " + route.name);
  }
  return Status::ok();
}

Status read_tenants(const Json& fields, Configuration& configuration) {
  std::set<std::string> keys;
  for (auto& tenant_fields : fields.value("Tenants", Json::array())) {
    Tenant tenant{tenant_fields["Name"], tenant_fields["ApiKeys"], tenant_fields.value("RatePerS", 0.0),
                  tenant_fields.value("BurstLimit", 0.0), tenant_fields.value("Priority", 1)};
    if (has_control_character(tenant.name))
      return Status::invalid_argument("Tenants: a Name holds a control character");
    for (auto& key : tenant.keys)
      if (!keys.insert(key).second)
        return Status::invalid_argument("a key of " + tenant.name + " is held twice");
    if (!configuration.tenants.emplace(tenant.name, tenant).second)
      return Status::invalid_argument("two tenants are named " + tenant.name);
  }
  return Status::ok();
}

void read_limits(const Json& fields, Limits& limits) {
  limits.transaction_idle_timeout_ms =
      millis(fields, "TransactionIdleMs", limits.transaction_idle_timeout_ms);
  limits.header_timeout_ms = millis(fields, "HeaderTimeoutMs", limits.header_timeout_ms);
  limits.idle_timeout_ms = millis(fields, "IdleTimeoutMs", limits.idle_timeout_ms);
  limits.max_header_bytes = fields.value("MaxHeaderBytes", limits.max_header_bytes);
  limits.max_body_bytes = fields.value("MaxBodyBytes", limits.max_body_bytes);
}

const char* const kLimits = "Limits";  // an object rather than a list of named items

using OrderedJson = nlohmann::ordered_json;  // keeps the order of the operator's text

bool is_named(const OrderedJson& item, const std::string& name) {
  if (!item.is_object()) return false;
  const auto field = item.find("Name");
  return field != item.end() && field->is_string() && *field == name;
}

OrderedJson::iterator find_named(OrderedJson& items, const std::string& name) {
  return std::find_if(items.begin(), items.end(), [&](auto& item) { return is_named(item, name); });
}

Status not_a_list(const char* operation, const std::string& kind) {
  return Status::invalid_argument(std::string(operation) + "." + kind + ": " + kind +
                                  " is not a list of named items");
}

Status remove_items(OrderedJson& configuration, const OrderedJson& removed) {
  for (auto& [kind, names] : removed.items()) {
    if (!configuration.contains(kind)) continue;
    OrderedJson& items = configuration[kind];
    if (!items.is_array()) return not_a_list("Remove", kind);
    for (auto& name : names)
      if (auto it = find_named(items, name); it != items.end()) items.erase(it);
  }
  return Status::ok();
}

void upsert_item(OrderedJson& items, const OrderedJson& item) {
  auto it = find_named(items, item["Name"]);
  if (it == items.end())
    items.push_back(item);
  else
    *it = item;
}

Status upsert_items(OrderedJson& configuration, const OrderedJson& upserted) {
  for (auto& [kind, items] : upserted.items()) {
    if (kind == kLimits) {
      for (auto& [field, value] : items.items()) configuration[kind][field] = value;
      continue;
    }
    if (!configuration.contains(kind)) configuration[kind] = OrderedJson::array();
    if (!configuration[kind].is_array()) return not_a_list("Upsert", kind);
    for (auto& item : items) upsert_item(configuration[kind], item);
  }
  return Status::ok();
}

}  // namespace

Result<Configuration> read_configuration(std::string_view text) {
  auto parsed = parse_unambiguous_json(text);
  if (!parsed) return parsed.status();
  const Json& fields = *parsed;
  if (auto error = configuration_schema().check(fields); !error.empty())
    return Status::invalid_argument(error);
  Configuration configuration;
  configuration.revision = fields["Revision"];
  for (auto* read : {read_services, read_routes, read_tenants})
    if (Status valid = read(fields, configuration); !valid.is_ok()) return valid;
  if (fields.contains("Limits")) read_limits(fields["Limits"], configuration.limits);
  return configuration;
}

Status check_patch(std::string_view patch) {
  auto parsed = parse_unambiguous_json(patch);
  if (!parsed) return parsed.status();
  if (auto error = patch_schema().check(*parsed); !error.empty()) return Status::invalid_argument(error);
  // In no configuration are these lists of named items, so no state makes such a patch valid.
  for (auto [operation, kind] :
       {std::pair{"Upsert", "Revision"}, {"Remove", "Revision"}, {"Remove", kLimits}})
    if (parsed->contains(operation) && (*parsed)[operation].contains(kind))
      return not_a_list(operation, kind);
  return Status::ok();
}

Result<std::string> apply_patch(const std::string& configuration, std::string_view patch) {
  if (Status valid = check_patch(patch); !valid.is_ok()) return valid;
  // An older build may have stored a text that is nested deeper than what can be serialized again.
  if (auto stored = parse_json(configuration); !stored) return stored.status();
  const OrderedJson change = OrderedJson::parse(patch);
  OrderedJson changed = OrderedJson::parse(configuration);
  changed["Revision"] = change["Revision"];
  if (change.contains("Remove"))
    if (Status removed = remove_items(changed, change["Remove"]); !removed.is_ok()) return removed;
  if (change.contains("Upsert"))
    if (Status upserted = upsert_items(changed, change["Upsert"]); !upserted.is_ok()) return upserted;
  return changed.dump();
}

}  // namespace pebblespindle
