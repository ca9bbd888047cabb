#include "failover/service_view.h"

#include <algorithm>

namespace pebblespindle::failover {

const Instance* ServiceView::find_registered(const InstanceId& id) const {
  auto it =
      std::find_if(registered.begin(), registered.end(), [&](auto& instance) { return instance.id == id; });
  return it == registered.end() ? nullptr : &*it;
}

const DepartedInstance* ServiceView::find_departed(const InstanceId& id) const {
  auto it =
      std::find_if(departed.begin(), departed.end(), [&](auto& entry) { return entry.instance.id == id; });
  return it == departed.end() ? nullptr : &*it;
}

ServiceView read_service_view(const StateTable& state, const ClusterState& cluster,
                              const std::string& service) {
  ServiceView view;
  view.service = service;
  view.state_sequence = state.last_sequence();
  if (const PrimaryAssignment* assignment = cluster.primary_of(service)) view.assignment = *assignment;
  if (const Row* row = state.find(primary_key(service))) {
    view.assignment_value = row->value;
    view.assignment_sequence = row->sequence;
  }
  if (const FailoverRecord* record = cluster.failover_of(service)) view.record = *record;
  if (const Row* row = state.find(failover_key(service))) view.record_value = row->value;
  for (auto* instance : cluster.instances_of(service)) view.registered.push_back(*instance);
  for (auto& [id, departed] : cluster.departed_instances())
    if (departed.instance.service == service) view.departed.push_back(departed);
  const auto& services = cluster.configuration().services;
  auto spec = services.find(service);
  view.has_sync_replicas = spec == services.end() || spec->second.sync_replicas > 0;
  return view;
}

}  // namespace pebblespindle::failover
