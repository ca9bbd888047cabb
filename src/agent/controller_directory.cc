#include "agent/controller_directory.h"

#include <algorithm>

namespace pebblespindle {

ControllerDirectory::ControllerDirectory(const std::string& node_name, std::string zone,
                                         const std::vector<Endpoint>& seeds)
    : zone_(std::move(zone)), first_(std::hash<std::string>()(node_name)), seeds_(seeds) {
  for (auto& seed : seeds_) entries_.push_back({seed.host, ""});
}

void ControllerDirectory::set_seeds(const std::vector<Endpoint>& seeds) {
  seeds_ = seeds;
  for (auto& seed : seeds_) add(seed.host, "");
}

void ControllerDirectory::add(const std::string& host, const std::string& zone) {
  auto known =
      std::find_if(entries_.begin(), entries_.end(), [&](auto& entry) { return entry.host == host; });
  if (known == entries_.end())
    entries_.push_back({host, zone});
  else if (!zone.empty())
    known->zone = zone;
}

void ControllerDirectory::replace_with(const Json& list) {
  if (!list.is_array() || list.empty()) return;
  entries_.clear();
  for (auto& entry : list)
    if (entry.is_array() && entry.size() == 2 && entry[0].is_string() && entry[1].is_string())
      add(entry[0], entry[1]);
  for (auto& seed : seeds_) add(seed.host, "");
}

std::string ControllerDirectory::zone_of(const std::string& host) const {
  auto known =
      std::find_if(entries_.begin(), entries_.end(), [&](auto& entry) { return entry.host == host; });
  return known == entries_.end() ? std::string() : known->zone;
}

std::vector<std::string> ControllerDirectory::hosts_in_own_zone() const {
  std::vector<std::string> hosts;
  for (auto& entry : entries_)
    if (entry.zone == zone_) hosts.push_back(entry.host);
  return hosts;
}

std::string ControllerDirectory::next_host(const std::string& linked) {
  if (next_ == 0)
    for (auto& host : hosts_in_own_zone())
      if (host != linked) {
        next_ = 1;
        return host;
      }
  const std::size_t count = entries_.size();
  const std::string host = entries_[(first_ + next_) % count].host;
  next_ = (next_ + 1) % (count + 1);
  return host == linked ? std::string() : host;
}

}  // namespace pebblespindle
