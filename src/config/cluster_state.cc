#include "config/cluster_state.h"

#include <set>

namespace pebblespindle {

bool ClusterState::apply(std::uint64_t number, const std::vector<Row>& rows) {
  if (number <= number_) return false;
  std::uint64_t before = number_;
  number_ = number;
  bool moved = false, keys = false;
  auto take_route = [this](const std::string& place, std::optional<Route> route) {
    if (route)
      routes_[place] = std::make_shared<const Route>(std::move(*route));
    else
      routes_.erase(place);
  };
  for (auto& r : rows) {
    if (r.sequence <= before) continue;
    keys = keys || r.key.starts_with(kTenantPrefix);
    if (enter_part(config_, r.key, r.deleted ? nullptr : &r.value, take_route)) continue;
    if (r.key.starts_with("i/")) {
      InstanceId id{r.key.substr(2)};
      auto i = r.deleted ? std::nullopt : Instance::from(id, r.value);
      if (i)
        instances_[id] = *i;
      else
        instances_.erase(id);
      moved = true;
    } else if (r.key.starts_with("s/")) {
      auto l = r.deleted ? std::nullopt : Lead::from(r.value);
      if (l)
        leads_[r.key.substr(2)] = *l;
      else
        leads_.erase(r.key.substr(2));
    }
  }
  if (moved) index();
  if (keys) index_keys();
  return true;
}

std::vector<Row> ClusterState::changes_to(std::uint64_t number, std::vector<Row> whole) const {
  std::set<std::string> named;
  for (auto& r : whole) named.insert(r.key);
  auto unless_named = [&](std::string key) {
    if (!named.count(key)) whole.push_back({std::move(key), {}, number, true});
  };
  for (auto& [place, r] : routes_) unless_named(kRoutePrefix + place);
  for (auto& [name, s] : config_.services) unless_named(kServicePrefix + name);
  for (auto& [name, t] : config_.tenants) unless_named(kTenantPrefix + name);
  for (auto& [id, i] : instances_) unless_named(instance_key(id));
  for (auto& [service, l] : leads_) unless_named(lead_key(service));
  return whole;
}

bool ClusterState::follow(const StateTable& state) {
  if (state.change_count() == changes_ && state.generation() == lives_) return false;
  // The state was taken anew, and its numbers may stand for other rows; or it no longer names all that is
  // gone.
  if (state.generation() != lives_ || number_ < state.compacted_to()) {
    *this = ClusterState();
    lives_ = state.generation();
  }
  changes_ = state.change_count();
  return apply(state.last_sequence(), state.rows_after(number_));
}

void ClusterState::index() {
  by_service_.clear();
  for (auto& [id, i] : instances_) by_service_[i.service].push_back(&i);
}

void ClusterState::index_keys() {
  tenants_by_key_.clear();
  for (auto& [name, t] : config_.tenants)
    for (auto& k : t.keys) tenants_by_key_[k] = name;
}

const Tenant* ClusterState::tenant_of(const std::string& key) const {
  auto it = tenants_by_key_.find(key);
  return it == tenants_by_key_.end() ? nullptr : &config_.tenants.at(it->second);
}

std::shared_ptr<const Route> ClusterState::route(const std::string& host) const {
  return route(host, "/");
}

std::shared_ptr<const Route> ClusterState::route(const std::string& host, std::string_view path) const {
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;) {
    auto it = routes_.find(host + std::string(path.substr(0, slash + 1)));
    if (it != routes_.end()) return it->second;
    if (slash == 0) break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const Instance* ClusterState::instance(const InstanceId& id) const {
  auto it = instances_.find(id);
  return it == instances_.end() ? nullptr : &it->second;
}

const std::vector<const Instance*>& ClusterState::of(const std::string& service) const {
  static const std::vector<const Instance*> none;
  auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

const Lead* ClusterState::lead(const std::string& service) const {
  auto it = leads_.find(service);
  return it == leads_.end() ? nullptr : &it->second;
}

}  // namespace pebblespindle
