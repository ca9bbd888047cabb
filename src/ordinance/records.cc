#include "ordinance/records.h"

#include <set>

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
        "required": ["Name", "Hostname", "RouteType", "TimeoutMs", "TargetService"],
        "properties": {
          "Name": {"type": "string"},
          "Hostname": {"type": "string", "minLength": 1},
          "PathPrefix": {"type": "string"},
          "RouteType": {"enum": ["primary", "bounded", "read_your_writes"]},
          "TimeoutMs": {"type": "number", "minimum": 0},
          "TargetLatencyMs": {"type": "number", "minimum": 0},
          "Priority": {"type": "integer"},
          "TargetService": {"type": "string"},
          "MaxAttempts": {"type": "integer", "minimum": 0},
          "stale_ms": {"type": "number", "minimum": 0}
        }}},
      "Services": {"type": "array", "items": {
        "type": "object",
        "required": ["Name"],
        "properties": {
          "Name": {"type": "string", "minLength": 1},
          "MaxConnections": {"type": "integer", "minimum": 1},
          "SyncReplicas": {"type": "integer", "minimum": 0}
        }}},
      "Limits": {"type": "object", "properties": {
        "TransactionIdleMs": {"type": "number", "minimum": 0}
      }}
    }
  })");
  return schema;
}

const Schema& beat_schema() {
  static const Schema schema(R"({
    "type": "object",
    "required": ["TargetService", "Address", "Zone", "State", "CallCount"],
    "properties": {
      "TargetService": {"type": "string", "minLength": 1},
      "Address": {"type": "string"},
      "Zone": {"type": "string"},
      "Capacity": {"type": "number", "minimum": 0},
      "State": {"enum": ["available", "draining"]},
      "DatabaseRole": {"enum": ["primary", "replica"]},
      "CallCount": {"type": "integer", "minimum": 0}
    }
  })");
  return schema;
}

Millis millis(const Json& o, const char* name, Millis fallback) {
  return o.contains(name) ? Millis(o[name].get<double>()) : fallback;
}

}  // namespace

Outcome<Configuration> read_configuration(std::string_view text) {
  using Out = Outcome<Configuration>;
  auto parsed = parse_json(text);
  if (!parsed) return Out::fail(parsed.reason);
  const Json& j = *parsed.value;
  if (auto wrong = configuration_schema().check(j); !wrong.empty()) return Out::fail(wrong);
  Configuration c;
  c.revision = j["Revision"];
  for (auto& s : j["Services"]) {
    ServiceSpec spec{s["Name"], s.value("MaxConnections", 16), s.value("SyncReplicas", 0)};
    if (!c.services.emplace(spec.name, spec).second) return Out::fail("two services are named " + spec.name);
  }
  std::set<std::pair<std::string, std::string>> places;
  for (auto& r : j["Routes"]) {
    Route route;
    route.name = r["Name"];
    route.hostname = r["Hostname"];
    route.service = r["TargetService"];
    const std::string type = r["RouteType"];
    route.type = type == "primary"   ? RouteType::kPrimary
                 : type == "bounded" ? RouteType::kBounded
                                     : RouteType::kReadYourWrites;
    route.timeout_ms = millis(r, "TimeoutMs", 0);
    route.target_ms = millis(r, "TargetLatencyMs", 100);
    route.stale_ms = millis(r, "stale_ms", 0);
    route.priority = r.value("Priority", 1);
    route.max_attempts = std::max(1, r.value("MaxAttempts", 1));
    if (!c.services.count(route.service))
      return Out::fail("route " + route.name + " names the unknown service " + route.service);
    if (!(r["TimeoutMs"].get<double>() > 0))
      return Out::fail("route " + route.name + " has a TimeoutMs of 0");
    if (!places.emplace(route.hostname, r.value("PathPrefix", "/")).second)
      return Out::fail("two routes share the place of route " + route.name);
    c.routes.emplace(route.hostname, route);
  }
  if (j.contains("Limits")) c.transaction_idle_ms = millis(j["Limits"], "TransactionIdleMs", 3000);
  return Out::ok(std::move(c));
}

std::map<std::string, std::string> configuration_parts(const Configuration& c) {
  std::map<std::string, std::string> parts;
  parts[kConfigHeadKey] = Json::array({c.revision, c.transaction_idle_ms}).dump();
  for (auto& [name, s] : c.services)
    parts[kServicePrefix + name] = Json::array({s.max_connections, s.sync_replicas}).dump();
  for (auto& [host, r] : c.routes)
    parts[kRoutePrefix + host] = Json::array({r.service, int(r.type), r.timeout_ms, r.target_ms, r.stale_ms,
                                              r.priority, r.max_attempts, r.name})
                                     .dump();
  return parts;
}

bool enter_part(Configuration& c, const std::string& key, const std::string* value,
                const std::function<void(const std::string&, std::optional<Route>)>& route) {
  bool service = key.starts_with(kServicePrefix), is_route = key.starts_with(kRoutePrefix);
  if (!service && !is_route && key != kConfigHeadKey) return false;
  Json j = value ? Json::parse(*value, nullptr, false) : Json();
  const std::string name = key.substr(service || is_route ? 2 : 0);
  if (service) {
    if (value)
      c.services[name] = {name, j.at(0), j.at(1)};
    else
      c.services.erase(name);
  } else if (!is_route) {
    if (value) c.revision = j.at(0), c.transaction_idle_ms = j.at(1);
  } else if (value) {
    route(name, Route{j.at(7), name, j.at(0), RouteType(j.at(1).get<int>()), j.at(2), j.at(3), j.at(4),
                      j.at(5), j.at(6)});
  } else {
    route(name, std::nullopt);
  }
  return true;
}

// A list, not an object: a node that starts is told of every database over a thin link.
Json Instance::json() const {
  return Json::array({service, address.text(), zone, capacity, int(draining), int(primary), calls});
}

std::optional<Instance> Instance::from(const InstanceId& id, const std::string& text) {
  Json j = Json::parse(text, nullptr, false);
  if (!j.is_array() || j.size() != 7) return std::nullopt;
  for (std::size_t n = 0; n < 7; ++n)
    if (n < 3 ? !j[n].is_string() : !j[n].is_number_integer()) return std::nullopt;
  auto address = Endpoint::parse(j[1].get<std::string>());
  if (!address) return std::nullopt;
  return Instance{id, j[0], j[2], *address, j[3], j[4] != 0, j[5] != 0, j[6]};
}

bool Instance::same_but_calls(const Instance& o) const {
  return service == o.service && zone == o.zone && address == o.address && capacity == o.capacity &&
         draining == o.draining && primary == o.primary;
}

Outcome<Instance> read_beat(const std::string& id, std::string_view body) {
  using Out = Outcome<Instance>;
  auto parsed = parse_json(body);
  if (!parsed) return Out::fail(parsed.reason);
  const Json& j = *parsed.value;
  if (auto wrong = beat_schema().check(j); !wrong.empty()) return Out::fail(wrong);
  auto address = Endpoint::parse(j["Address"].get<std::string>());
  if (!address) return Out::fail("Address: not an address with a port");
  Instance i;
  i.id = {id};
  i.address = *address;
  i.service = j["TargetService"];
  i.zone = j["Zone"];
  i.capacity = j.contains("Capacity") ? std::max(1, int(j["Capacity"].get<double>())) : 1;
  i.draining = j["State"] == "draining";
  i.primary = j.value("DatabaseRole", "") == "primary";
  i.calls = j["CallCount"];
  return Out::ok(std::move(i));
}

Json Lead::json() const {
  Json j{{"p", primary.value}, {"h", hold}, {"pl", planned}, {"t", term}};
  if (release) j["r"] = true;
  return j;
}

std::optional<Lead> Lead::from(const std::string& text) {
  Json j = Json::parse(text, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  return Lead{{j.value("p", "")},
              j.value("h", false),
              j.value("pl", false),
              j.value("t", std::uint64_t(0)),
              j.value("r", false)};
}

}  // namespace pebblespindle
