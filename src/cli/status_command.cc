// `status [ADDRESS] [--verbose]`: what the controllers know, put together. Without an address the seeds of
// the settings file are asked, and the controllers that they name.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <memory>
#include <set>

#include "cli/command_registry.h"
#include "failover/constants.h"
#include "net/http.h"

namespace pebblespindle {
namespace {

// The status of one controller; null when there is no answer in time.
Json ask_controller(const Endpoint& address, bool verbose) {
  asio::io_context io;
  HttpReply reply;
  http_call(io, address, {"GET", verbose ? "/status/whole" : "/status", "", {}},
            {kPlatformTimeoutMs, kPlatformTimeoutMs},
            [&reply](HttpReply received) { reply = std::move(received); });
  io.run();
  Json status = Json::parse(reply.body, nullptr, false);
  return reply.status == 200 && status.is_object() ? status : Json();
}

// The answers of several controllers as one document: that of the first, and what each one alone knows.
class CombinedStatus {
 public:
  void add_silent(const Endpoint& address) {
    controllers_.push_back({{"core", address.text()}, {"answers", false}});
  }
  void add(const Endpoint& address, Json status) {
    const std::string name = status.value("core", address.text());
    // Which side of a partition holds the view, and which zones' nodes it reaches.
    controllers_.push_back({{"core", name},
                            {"zone", status.value("zone", "")},
                            {"answers", true},
                            {"seated", status.value("seated", false)},
                            {"view", status["view"]["number"]},
                            {"nodes", status["nodes"]["by_zone"]}});
    for (auto& [zone, nodes] : status["nodes"]["by_zone"].items())
      nodes_by_zone_[zone] = nodes_by_zone_.value(zone, 0) + nodes.get<int>();
    for (const char* kind : {"databases", "routes"})
      for (auto& row : status["trouble"][kind]) trouble_[kind].push_back(row);
    for (Json event : status["events"]) {
      event["core"] = name;
      events_.push_back(std::move(event));
    }
    if (first_.is_null()) first_ = std::move(status);
  }
  bool empty() const { return first_.is_null(); }
  Json document() const {
    Json events = events_;
    std::sort(events.begin(), events.end(), [](const Json& left, const Json& right) {
      return left.value("ago_ms", 0) > right.value("ago_ms", 0);
    });
    Json all = first_;
    all["cores"] = controllers_;
    all["nodes"]["by_zone_all_cores"] = nodes_by_zone_;
    all["trouble"] = trouble_;
    all["events"] = std::move(events);
    return all;
  }

 private:
  Json first_, controllers_ = Json::array(), nodes_by_zone_ = Json::object(), events_ = Json::array();
  Json trouble_{{"databases", Json::array()}, {"routes", Json::array()}};
};

int print_status(std::vector<Endpoint> addresses, bool follow_members, bool verbose) {
  CombinedStatus combined;
  std::set<std::string> asked;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const Endpoint address = addresses[i];
    if (!asked.insert(address.text()).second) continue;
    Json status = ask_controller(address, verbose);
    if (status.is_null()) {
      std::cerr << "status: no answer from " << address.text() << "\n";
      combined.add_silent(address);
      continue;
    }
    combined.add(address, status);
    if (!follow_members) continue;
    for (auto& member : status["view"]["chain"]) {
      const std::string name = member.get<std::string>();
      addresses.push_back({name.substr(0, name.find('~')), address.port});
    }
  }
  if (combined.empty()) return kExitFailure;
  std::cout << combined.document().dump(2) << "\n";
  return kExitOk;
}

int run_status(const std::string& address, bool verbose) {
  if (!address.empty()) {
    auto endpoint = Endpoint::parse(address);
    if (endpoint) return print_status({*endpoint}, false, verbose);
    std::cerr << "status: not an address with a port: " << address << "\n";
    return kExitUsage;
  }
  auto settings = load_settings(settings_path());
  if (settings) return print_status(settings->seeds, true, verbose);
  std::cerr << "status: " << settings.status().message() << "\n";
  return kExitFailure;
}

Command::Run prepare_status(CLI::App& app) {
  auto address = std::make_shared<std::string>();
  auto verbose = std::make_shared<bool>(false);
  app.add_option("address", *address, "ask this controller alone, HOST:PORT");
  app.add_flag("--verbose", *verbose, "name every node, database and service");
  return [address, verbose] { return run_status(*address, *verbose); };
}

const RegisterCommand kStatusCommand("status", {"prints what the controllers know", prepare_status});

}  // namespace
}  // namespace pebblespindle
