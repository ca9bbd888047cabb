// The commands of the shore: check a file, ask for the status, tell the version.
#include <algorithm>
#include <iostream>
#include <set>

#include "keel/constants.h"
#include "keel/http.h"
#include "keel/registry.h"
#include "ordinance/records.h"

namespace pebblespindle {
namespace {

// Settings and configurations are told apart by what only a configuration has.
int run_check(const std::string& file) {
  if (file.empty()) {
    std::cerr << "check: names no file\n";
    return 2;
  }
  auto text = read_file(file);
  if (!text) {
    std::cerr << "check: " << text.reason << "\n";
    return 1;
  }
  auto parsed = parse_json(*text.value);
  bool configuration = parsed && parsed.value->is_object() && parsed.value->contains("Revision");
  std::string wrong = parsed ? std::string() : parsed.reason;
  if (wrong.empty())
    wrong = configuration ? read_configuration(*text.value).reason : read_settings(*text.value).reason;
  if (wrong.empty()) {
    std::cout << file << ": a valid " << (configuration ? "configuration" : "settings file") << "\n";
    return 0;
  }
  std::cerr << file << ": " << wrong << "\n";
  return 1;
}

// Asks the cores for what they know; whole: every node, database and service by name.
int show(const std::string& address, bool whole) {
  std::vector<Endpoint> cores;
  if (!address.empty()) {
    auto e = Endpoint::parse(address);
    if (!e) {
      std::cerr << "status: not an address with a port: " << address << "\n";
      return 2;
    }
    cores.push_back(*e);
  } else {
    auto settings = load_settings(settings_path());
    if (!settings) {
      std::cerr << "status: " << settings.reason << "\n";
      return 1;
    }
    cores = settings.value->seeds;
  }
  Json first, sides = Json::array(), zones = Json::object(),
              trouble{{"databases", Json::array()}, {"routes", Json::array()}}, events = Json::array();
  std::set<std::string> asked;
  for (std::size_t i = 0; i < cores.size(); ++i) {
    const Endpoint core = cores[i];
    if (!asked.insert(core.text()).second) continue;
    asio::io_context io;
    HttpReply reply;
    http_call(io, core, {"GET", whole ? "/status/whole" : "/status", "", {}}, constants::kPlatformTimeoutMs,
              [&reply](HttpReply r) { reply = std::move(r); });
    io.run();
    Json one = Json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !one.is_object()) {
      std::cerr << "status: no answer from " << core.text() << "\n";
      sides.push_back({{"core", core.text()}, {"answers", false}});
      continue;
    }
    // Which side holds the view, and which zones' nodes it reaches.
    sides.push_back({{"core", one.value("core", core.text())},
                     {"zone", one.value("zone", "")},
                     {"answers", true},
                     {"seated", one.value("seated", false)},
                     {"view", one["view"]["number"]},
                     {"nodes", one["nodes"]["by_zone"]}});
    for (auto& [zone, n] : one["nodes"]["by_zone"].items()) zones[zone] = zones.value(zone, 0) + n.get<int>();
    // Each core knows what the nodes linked to it meet: what they say is put together.
    const std::string name = one.value("core", core.text());
    for (const char* kind : {"databases", "routes"})
      for (auto& row : one["trouble"][kind]) trouble[kind].push_back(row);
    for (auto& e : one["events"]) {
      e["core"] = name;
      events.push_back(e);
    }
    if (first.is_null()) first = one;
    if (!address.empty()) continue;
    for (auto& member : one["view"]["chain"]) {
      const std::string text = member.get<std::string>();
      cores.push_back({text.substr(0, text.find('~')), core.port});
    }
  }
  if (first.is_null()) return 1;
  std::sort(events.begin(), events.end(),
            [](const Json& x, const Json& y) { return x.value("ago_ms", 0) > y.value("ago_ms", 0); });
  first["cores"] = sides;
  first["nodes"]["by_zone_all_cores"] = zones;
  first["trouble"] = trouble;
  first["events"] = events;
  std::cout << first.dump(2) << "\n";
  return 0;
}

int run_status(const std::string& address) {
  return show(address, false);
}

int run_muster(const std::string& address) {
  return show(address, true);
}

int run_version(const std::string&) {
  std::cout << "pebblespindle " << PEBBLESPINDLE_VERSION << "\n";
  return 0;
}

RegisterCommand check_command("check", {"checks a settings or configuration file", "file", run_check});
RegisterCommand status_command("status", {"prints what a core knows", "address", run_status});
RegisterCommand muster_command("muster", {"names every node, database and service a core knows", "address",
                                          run_muster});
RegisterCommand version_command("version", {"prints the version", "", run_version});

}  // namespace
}  // namespace pebblespindle
