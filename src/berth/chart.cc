#include "berth/chart.h"

namespace pebblespindle::berth {

bool Chart::apply(std::uint64_t number, const std::vector<Row>& rows) {
  if (number <= number_) return false;
  std::uint64_t before = number_;
  number_ = number;
  for (auto& r : rows) {
    if (r.number <= before) continue;
    if (r.key == kConfigKey) {
      if (auto c = read_configuration(r.value)) {
        config_ = std::move(*c.value);
        routes_.clear();
        for (auto& [host, route] : config_.routes) routes_[host] = std::make_shared<const Route>(route);
      }
    } else if (r.key.starts_with("i/")) {
      InstanceId id{r.key.substr(2)};
      auto i = r.gone ? std::nullopt : Instance::from(id, r.value);
      if (i)
        instances_[id] = *i;
      else
        instances_.erase(id);
    } else if (r.key.starts_with("s/")) {
      auto l = r.gone ? std::nullopt : Lead::from(r.value);
      if (l)
        leads_[r.key.substr(2)] = *l;
      else
        leads_.erase(r.key.substr(2));
    }
  }
  return true;
}

std::shared_ptr<const Route> Chart::route(const std::string& host) const {
  auto it = routes_.find(host);
  return it == routes_.end() ? nullptr : it->second;
}

const Instance* Chart::instance(const InstanceId& id) const {
  auto it = instances_.find(id);
  return it == instances_.end() ? nullptr : &it->second;
}

const Lead* Chart::lead(const std::string& service) const {
  auto it = leads_.find(service);
  return it == leads_.end() ? nullptr : &it->second;
}

}  // namespace pebblespindle::berth
