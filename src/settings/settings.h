// The settings file of a process: read, checked, and turned into types.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/json_schema.h"

namespace pebblespindle {

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
  std::string text() const { return host + ":" + std::to_string(port); }
  static std::optional<Endpoint> parse(std::string_view text);
};

struct Settings {
  std::string node_name, zone, ip;
  std::map<std::string, Endpoint> listeners;
  std::uint16_t internal_port_first = 0, internal_port_last = 0;
  std::vector<Endpoint> seeds;
  bool bootstrap = false;
  std::string data_directory;
  Millis heartbeat_ms = 1000;
  Millis drain_ms = 7000, grace_ms = 6000;
  int max_open_files = 0;
  int machine_losses = 1;  // of controllers, at once, while every rule still holds
  std::optional<Endpoint> platform;
  std::optional<Endpoint> control_link;  // where others reach this controller's links over a forwarder
  std::optional<Endpoint> agent_link;    // where several nodes share a host, each with an address of its own
  // On the machine of an application database: its service, and where it listens.
  std::string target_service;
  std::optional<Endpoint> app;
  // What all nodes together may send to a second database: a share of first tries in a window, and a slack.
  double retry_ratio = 0.1;
  Millis retry_window_ms = 10000;
  double retry_slack = 0;

  // Where a controller listens for links of agents and of other controllers. They call its IpAddress and the
  // first internal port; what forwards from there to another address needs that one here.
  Endpoint control_link_endpoint() const { return control_link.value_or(Endpoint{ip, internal_port_first}); }
  // Where an agent takes the link of the proxy beside it.
  Endpoint agent_endpoint() const {
    return agent_link.value_or(Endpoint{"127.0.0.1", std::uint16_t(internal_port_first + 1)});
  }
  // Where a sidecar takes links of other sidecars.
  Endpoint sidecar_endpoint() const { return {ip, std::uint16_t(internal_port_first + 2)}; }
};

// kInvalidArgument says in one line what is wrong.
Result<Settings> read_settings(std::string_view text);
Result<Settings> load_settings(const std::string& path);
std::string settings_path();  // from PEBBLESPINDLE_SETTINGS
Result<std::string> read_file(const std::string& path);

}  // namespace pebblespindle
