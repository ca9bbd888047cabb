#include "settings/settings.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace pebblespindle {
namespace {

const char* schema_text = R"({
  "type": "object",
  "required": ["NodeName", "IpAddress", "Zone", "Listeners", "InternalPortRange", "SeedNodes"],
  "properties": {
    "NodeName": {"type": "string", "minLength": 1},
    "IpAddress": {"type": "string", "minLength": 7},
    "Zone": {"type": "string", "minLength": 1},
    "Listeners": {"type": "object", "additionalProperties": {"type": "string"}},
    "InternalPortRange": {"type": "array", "minItems": 2, "maxItems": 2,
                          "items": {"type": "integer", "minimum": 1, "maximum": 65535}},
    "SeedNodes": {"type": "array", "minItems": 1, "items": {"type": "string"}},
    "Bootstrap": {"type": "boolean"},
    "DataDirectory": {"type": ["string", "null"]},
    "HeartbeatMs": {"type": "number", "minimum": 1},
    "Limits": {"type": "object"},
    "Bounds": {"type": "object"},
    "FaultTolerance": {"type": "object", "properties": {
      "MachineLosses": {"type": "integer", "minimum": 0, "maximum": 3}}},
    "TargetService": {"type": "string", "minLength": 1},
    "AppServerAddr": {"type": "string"},
    "PlatformApi": {"type": ["object", "null"]}
  }
})";

}  // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view s) {
  auto colon = s.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  Endpoint e{std::string(s.substr(0, colon)), 0};
  auto r = std::from_chars(s.data() + colon + 1, s.data() + s.size(), e.port);
  if (r.ec != std::errc() || r.ptr != s.data() + s.size() || e.port == 0) return std::nullopt;
  return e;
}

Result<Settings> read_settings(std::string_view text) {
  auto parsed = parse_json(text);
  if (!parsed) return parsed.status();
  const Json& j = *parsed;
  static const Schema schema(schema_text);
  if (auto wrong = schema.check(j); !wrong.empty()) return Status::invalid_argument(wrong);
  Settings s;
  s.node_name = j["NodeName"];
  s.ip = j["IpAddress"];
  s.zone = j["Zone"];
  for (auto& [name, address] : j["Listeners"].items()) {
    auto e = Endpoint::parse(address.get<std::string>());
    if (!e) return Status::invalid_argument("Listeners." + name + ": not an address with a port");
    s.listeners[name] = *e;
  }
  s.inner_first = j["InternalPortRange"][0];
  s.inner_last = j["InternalPortRange"][1];
  if (s.inner_last < s.inner_first + 1)
    return Status::invalid_argument("InternalPortRange: wants two ports or more");
  for (auto& seed : j["SeedNodes"]) {
    auto e = Endpoint::parse(seed.get<std::string>());
    if (!e)
      return Status::invalid_argument("SeedNodes: not an address with a port: " + seed.get<std::string>());
    s.seeds.push_back(*e);
  }
  s.bootstrap = j.value("Bootstrap", false);
  if (j.contains("DataDirectory") && j["DataDirectory"].is_string()) s.data_directory = j["DataDirectory"];
  if (j.contains("HeartbeatMs")) s.heartbeat_ms = Millis(j["HeartbeatMs"].get<double>());
  const Json bounds = j.value("Bounds", Json::object());
  auto number = [](const Json& o, const char* name, double fallback) {
    return o.contains(name) && o[name].is_number() ? o[name].get<double>() : fallback;
  };
  s.drain_ms = Millis(number(bounds, "DrainMs", double(s.drain_ms)));
  s.grace_ms = Millis(number(bounds, "GracePeriodS", double(s.grace_ms) / 1000.0) * 1000.0);
  const Json limits = j.value("Limits", Json::object());
  s.machine_losses = j.value("FaultTolerance", Json::object()).value("MachineLosses", s.machine_losses);
  s.max_open_files = int(number(limits, "MaxOpenFiles", 1024));
  if (j.contains("PlatformApi") && j["PlatformApi"].is_object() && j["PlatformApi"].contains("Address") &&
      j["PlatformApi"]["Address"].is_string()) {
    s.platform = Endpoint::parse(j["PlatformApi"]["Address"].get<std::string>());
    if (!s.platform) return Status::invalid_argument("PlatformApi.Address: not an address with a port");
  }
  s.target_service = j.value("TargetService", "");
  if (j.contains("AppServerAddr")) {
    s.app = Endpoint::parse(j["AppServerAddr"].get<std::string>());
    if (!s.app) return Status::invalid_argument("AppServerAddr: not an address with a port");
  }
  s.retry_ratio = std::max(0.0, number(bounds, "RetryRatio", s.retry_ratio));
  s.retry_window_ms = Millis(std::max(0.001, number(bounds, "RetryWindowS", 10)) * 1000.0);
  s.retry_slack = std::max(0.0, number(bounds, "RetrySlack", s.retry_slack));
  return s;
}

Result<std::string> read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return Status::invalid_argument("cannot open " + path);
  std::ostringstream all;
  all << in.rdbuf();
  return all.str();
}

Result<Settings> load_settings(const std::string& path) {
  auto text = read_file(path);
  if (!text) return text.status();
  return read_settings(*text);
}

std::string settings_path() {
  const char* p = std::getenv("PEBBLESPINDLE_SETTINGS");
  return p && *p ? p : "/etc/pebblespindle/local.json";
}

}  // namespace pebblespindle
