#include "settings/settings.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace pebblespindle {
namespace {

const char* const kSettingsSchema = R"({
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
    "AgentLinkAddr": {"type": "string"},
    "ControlLinkAddr": {"type": "string"},
    "PlatformApi": {"type": ["object", "null"]}
  }
})";

// Leaves endpoint as it is where there is no such field.
Status read_endpoint(const Json& fields, const char* name, std::optional<Endpoint>& endpoint) {
  if (!fields.contains(name)) return Status::ok();
  endpoint = Endpoint::parse(fields[name].get<std::string>());
  return endpoint ? Status::ok()
                  : Status::invalid_argument(std::string(name) + ": not an address with a port");
}

}  // namespace

std::optional<Endpoint> Endpoint::parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (read.ec != std::errc() || read.ptr != end || endpoint.port == 0) return std::nullopt;
  return endpoint;
}

Result<Settings> read_settings(std::string_view text) {
  auto parsed = parse_json(text);
  if (!parsed) return parsed.status();
  const Json& fields = *parsed;
  static const Schema schema(kSettingsSchema);
  if (auto wrong = schema.check(fields); !wrong.empty()) return Status::invalid_argument(wrong);
  Settings settings;
  settings.node_name = fields["NodeName"];
  settings.ip = fields["IpAddress"];
  settings.zone = fields["Zone"];
  for (auto& [name, address] : fields["Listeners"].items()) {
    auto endpoint = Endpoint::parse(address.get<std::string>());
    if (!endpoint) return Status::invalid_argument("Listeners." + name + ": not an address with a port");
    settings.listeners[name] = *endpoint;
  }
  settings.internal_port_first = fields["InternalPortRange"][0];
  settings.internal_port_last = fields["InternalPortRange"][1];
  if (settings.internal_port_last < settings.internal_port_first + 1)
    return Status::invalid_argument("InternalPortRange: wants two ports or more");
  for (auto& seed : fields["SeedNodes"]) {
    auto endpoint = Endpoint::parse(seed.get<std::string>());
    if (!endpoint)
      return Status::invalid_argument("SeedNodes: not an address with a port: " + seed.get<std::string>());
    settings.seeds.push_back(*endpoint);
  }
  settings.bootstrap = fields.value("Bootstrap", false);
  if (fields.contains("DataDirectory") && fields["DataDirectory"].is_string())
    settings.data_directory = fields["DataDirectory"];
  if (fields.contains("HeartbeatMs")) settings.heartbeat_ms = Millis(fields["HeartbeatMs"].get<double>());
  const Json bounds = fields.value("Bounds", Json::object());
  auto number = [](const Json& object, const char* name, double fallback) {
    return object.contains(name) && object[name].is_number() ? object[name].get<double>() : fallback;
  };
  settings.drain_ms = Millis(number(bounds, "DrainMs", double(settings.drain_ms)));
  settings.grace_ms = Millis(number(bounds, "GracePeriodS", double(settings.grace_ms) / 1000.0) * 1000.0);
  const Json limits = fields.value("Limits", Json::object());
  settings.machine_losses =
      fields.value("FaultTolerance", Json::object()).value("MachineLosses", settings.machine_losses);
  settings.max_open_files = int(number(limits, "MaxOpenFiles", 1024));
  if (fields.contains("PlatformApi") && fields["PlatformApi"].is_object() &&
      fields["PlatformApi"].contains("Address") && fields["PlatformApi"]["Address"].is_string()) {
    settings.platform = Endpoint::parse(fields["PlatformApi"]["Address"].get<std::string>());
    if (!settings.platform)
      return Status::invalid_argument("PlatformApi.Address: not an address with a port");
  }
  if (auto wrong = read_endpoint(fields, "AgentLinkAddr", settings.agent_link); !wrong.is_ok()) return wrong;
  if (auto wrong = read_endpoint(fields, "ControlLinkAddr", settings.control_link); !wrong.is_ok())
    return wrong;
  settings.target_service = fields.value("TargetService", "");
  if (auto wrong = read_endpoint(fields, "AppServerAddr", settings.app); !wrong.is_ok()) return wrong;
  settings.retry_ratio = std::max(0.0, number(bounds, "RetryRatio", settings.retry_ratio));
  settings.retry_window_ms = Millis(std::max(0.001, number(bounds, "RetryWindowS", 10)) * 1000.0);
  settings.retry_slack = std::max(0.0, number(bounds, "RetrySlack", settings.retry_slack));
  return settings;
}

Result<std::string> read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Status::invalid_argument("cannot open " + path);
  std::ostringstream all;
  all << file.rdbuf();
  return all.str();
}

Result<Settings> load_settings(const std::string& path) {
  auto text = read_file(path);
  if (!text) return text.status();
  return read_settings(*text);
}

std::string settings_path() {
  const char* path = std::getenv("PEBBLESPINDLE_SETTINGS");
  return path && *path ? path : "/etc/pebblespindle/local.json";
}

}  // namespace pebblespindle
