#include "config/records.h"

#include <algorithm>
#include <cmath>
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

// A time of less than a millisecond is still a time: nothing is rounded down to none.
Millis millis(const Json& o, const char* name, Millis fallback) {
  return o.contains(name) ? Millis(std::ceil(o[name].get<double>())) : fallback;
}

// Looks for an object that names a field twice. A pass of its own: a callback of the library's parser, which
// might discard values, looks through a whole list at the end of each of its items.
class TwiceNamed : public nlohmann::json_sax<Json> {
 public:
  std::string name;  // empty: none
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(Json::number_integer_t) override { return true; }
  bool number_unsigned(Json::number_unsigned_t) override { return true; }
  bool number_float(Json::number_float_t, const std::string&) override { return true; }
  bool string(std::string&) override { return true; }
  bool binary(Json::binary_t&) override { return true; }
  bool start_object(std::size_t) override { return names_.emplace_back(), true; }
  bool end_object() override { return names_.pop_back(), true; }
  bool start_array(std::size_t) override { return true; }
  bool end_array() override { return true; }
  bool key(std::string& k) override {
    if (!names_.back().insert(k).second) name = k;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  std::vector<std::set<std::string>> names_;
};

// What one reader takes for the first of two fields of a name, and another for the last, nobody can rely on.
Result<Json> parse_unambiguous(std::string_view text) {
  auto parsed = parse_json(text);
  if (!parsed) return parsed;
  TwiceNamed twice;
  Json::sax_parse(text, &twice);
  if (!twice.name.empty()) return Status::invalid_argument("two fields are named " + twice.name);
  return parsed;
}

RouteType type_of(const std::string& word) {
  if (word == "primary") return RouteType::kPrimary;
  if (word == "bounded" || word == "bounded_staleness") return RouteType::kBounded;
  if (word == "read_your_writes") return RouteType::kReadYourWrites;
  return word == "idempotent" ? RouteType::kIdempotent : RouteType::kNonIdempotent;
}

// Reads one route; empty when it is well, else what is wrong with it.
std::string read_route(const Json& r, const Configuration& c, Route& route) {
  route.name = r["Name"];
  route.hostname = r["Hostname"];
  route.type = type_of(r["RouteType"]);
  route.timeout_ms = millis(r, "TimeoutMs", 0);
  route.target_ms = millis(r, "TargetLatencyMs", 100);
  route.stale_ms = millis(r, "stale_ms", millis(r, "MaxStalenessMs", 0));
  route.open_to_all = r.value("Public", false);
  route.priority = r.value("Priority", 1);
  route.max_attempts = std::max(1, r.value("MaxAttempts", 1));
  route.prefix = r.value("PathPrefix", "/");
  if (route.prefix.empty() || route.prefix.front() != '/') route.prefix.insert(0, "/");
  if (route.prefix.back() != '/') route.prefix += '/';
  if (r.contains("TargetService")) {
    route.service = r["TargetService"];
    if (!c.services.count(route.service)) return "names the unknown service " + route.service;
  } else if (!r.contains("WeightedTargets")) {
    return "names no service";
  }
  long sum = 0;
  if (r.contains("WeightedTargets"))
    for (auto& t : r["WeightedTargets"]) {
      route.split.emplace_back(t["TargetService"], t["Weight"]);
      if (!c.services.count(route.split.back().first))
        return "names the unknown service " + route.split.back().first;
      sum += route.split.back().second;
    }
  if (!route.split.empty() && sum == 0) return "has weights that sum to 0";
  if (!(r["TimeoutMs"].get<double>() > 0)) return "has a TimeoutMs of 0";
  return {};
}

}  // namespace

Result<Configuration> read_configuration(std::string_view text) {
  auto parsed = parse_unambiguous(text);
  if (!parsed) return parsed.status();
  const Json& j = *parsed;
  if (auto wrong = configuration_schema().check(j); !wrong.empty()) return Status::invalid_argument(wrong);
  Configuration c;
  c.revision = j["Revision"];
  for (auto& s : j["Services"]) {
    ServiceSpec spec{s["Name"], s.value("MaxConnections", 16), s.value("SyncReplicas", 0)};
    if (!c.services.emplace(spec.name, spec).second)
      return Status::invalid_argument("two services are named " + spec.name);
  }
  std::set<std::string> names;
  for (auto& r : j["Routes"]) {
    Route route;
    if (auto wrong = read_route(r, c, route); !wrong.empty())
      return Status::invalid_argument("route " + route.name + " " + wrong);
    if (!names.insert(route.name).second)
      return Status::invalid_argument("two routes are named " + route.name);
    if (!c.routes.emplace(route.place(), route).second)
      return Status::invalid_argument("two routes share the place of route " + route.name);
  }
  std::set<std::string> keys;
  for (auto& t : j.value("Tenants", Json::array())) {
    Tenant tenant{t["Name"], t["ApiKeys"], t.value("RatePerS", 0.0), t.value("BurstLimit", 0.0),
                  t.value("Priority", 1)};
    for (auto& k : tenant.keys)
      if (!keys.insert(k).second)
        return Status::invalid_argument("a key of " + tenant.name + " is held twice");
    if (!c.tenants.emplace(tenant.name, tenant).second)
      return Status::invalid_argument("two tenants are named " + tenant.name);
  }
  if (j.contains("Limits")) {
    const Json& l = j["Limits"];
    c.limits.transaction_idle_ms = millis(l, "TransactionIdleMs", c.limits.transaction_idle_ms);
    c.limits.header_ms = millis(l, "HeaderTimeoutMs", c.limits.header_ms);
    c.limits.idle_ms = millis(l, "IdleTimeoutMs", c.limits.idle_ms);
    c.limits.header_bytes = l.value("MaxHeaderBytes", c.limits.header_bytes);
    c.limits.body_bytes = l.value("MaxBodyBytes", c.limits.body_bytes);
  }
  return c;
}

std::string wrong_with_patch(std::string_view patch) {
  auto parsed = parse_unambiguous(patch);
  return parsed ? patch_schema().check(*parsed) : parsed.status().message();
}

Result<std::string> patched(const std::string& whole, std::string_view patch) {
  if (auto wrong = wrong_with_patch(patch); !wrong.empty()) return Status::invalid_argument(wrong);
  using Ordered = nlohmann::ordered_json;  // the whole keeps the order it was sent in
  Ordered p = Ordered::parse(patch), w = Ordered::parse(whole);
  w["Revision"] = p["Revision"];
  auto named = [](Ordered& list, const std::string& name) {
    return std::find_if(list.begin(), list.end(), [&](auto& e) { return e.value("Name", "") == name; });
  };
  if (p.contains("Remove"))
    for (auto& [kind, names] : p["Remove"].items())
      for (auto& name : names)
        if (w.contains(kind))
          if (auto it = named(w[kind], name); it != w[kind].end()) w[kind].erase(it);
  if (p.contains("Upsert"))
    for (auto& [kind, items] : p["Upsert"].items()) {
      if (!items.is_array()) {  // the limits, which have no names
        for (auto& [field, value] : items.items()) w[kind][field] = value;
        continue;
      }
      if (!w.contains(kind)) w[kind] = Ordered::array();
      for (auto& item : items) {
        auto it = named(w[kind], item["Name"]);
        if (it == w[kind].end())
          w[kind].push_back(item);
        else
          *it = item;
      }
    }
  return w.dump();
}

std::map<std::string, std::string> configuration_parts(const Configuration& c) {
  std::map<std::string, std::string> parts;
  const Limits& l = c.limits;
  parts[kConfigHeadKey] =
      Json::array({c.revision, l.transaction_idle_ms, l.header_ms, l.idle_ms, l.header_bytes, l.body_bytes})
          .dump();
  for (auto& [name, s] : c.services)
    parts[kServicePrefix + name] = Json::array({s.max_connections, s.sync_replicas}).dump();
  for (auto& [place, r] : c.routes) {
    Json j = Json::array(
        {r.service, int(r.type), r.timeout_ms, r.target_ms, r.stale_ms, r.priority, r.max_attempts, r.name});
    if (!r.split.empty() || r.open_to_all) j.push_back(r.split);
    if (r.open_to_all) j.push_back(true);
    parts[kRoutePrefix + place] = j.dump();
  }
  for (auto& [name, t] : c.tenants)
    parts[kTenantPrefix + name] = Json::array({t.rate_per_s, t.burst, t.priority, t.keys}).dump();
  return parts;
}

bool enter_part(Configuration& c, const std::string& key, const std::string* value,
                const std::function<void(const std::string&, std::optional<Route>)>& route) {
  bool service = key.starts_with(kServicePrefix), is_route = key.starts_with(kRoutePrefix);
  bool tenant = key.starts_with(kTenantPrefix);
  if (!service && !is_route && !tenant && key != kConfigHeadKey) return false;
  Json j = value ? Json::parse(*value, nullptr, false) : Json();
  if (tenant) {
    const std::string who = key.substr(kTenantPrefix.size());
    if (value)
      c.tenants[who] = {who, j.at(3), j.at(0), j.at(1), j.at(2)};
    else
      c.tenants.erase(who);
    return true;
  }
  const std::string name = key.substr(service || is_route ? 2 : 0);
  if (service) {
    if (value)
      c.services[name] = {name, j.at(0), j.at(1)};
    else
      c.services.erase(name);
  } else if (!is_route) {
    if (!value) return true;
    c.revision = j.at(0);
    c.limits.transaction_idle_ms = j.at(1);
    if (j.size() < 6) return true;  // written before there were more
    c.limits = {j.at(1), j.at(2), j.at(3), j.at(4), j.at(5)};
  } else if (value) {
    auto slash = std::min(name.find('/'), name.size());
    Route r;
    r.name = j.at(7);
    r.hostname = name.substr(0, slash);
    r.service = j.at(0);
    r.type = RouteType(j.at(1).get<int>());
    r.timeout_ms = j.at(2), r.target_ms = j.at(3), r.stale_ms = j.at(4);
    r.priority = j.at(5), r.max_attempts = j.at(6);
    if (slash < name.size()) r.prefix = name.substr(slash);
    if (j.size() > 9) r.open_to_all = j.at(9);
    if (j.size() > 8) r.split = j.at(8).get<decltype(r.split)>();
    std::string place = r.place();
    route(place, std::move(r));
  } else {
    route(name.find('/') == std::string::npos ? name + "/" : name, std::nullopt);
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

Result<Instance> read_beat(const std::string& id, std::string_view body) {
  auto parsed = parse_json(body);
  if (!parsed) return parsed.status();
  const Json& j = *parsed;
  if (auto wrong = beat_schema().check(j); !wrong.empty()) return Status::invalid_argument(wrong);
  auto address = Endpoint::parse(j["Address"].get<std::string>());
  if (!address) return Status::invalid_argument("Address: not an address with a port");
  Instance i;
  i.id = {id};
  i.address = *address;
  i.service = j["TargetService"];
  i.zone = j["Zone"];
  i.capacity = j.contains("Capacity") ? std::max(1, int(j["Capacity"].get<double>())) : 1;
  i.draining = j["State"] == "draining";
  i.primary = j.value("DatabaseRole", "") == "primary";
  i.calls = j["CallCount"];
  return i;
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
