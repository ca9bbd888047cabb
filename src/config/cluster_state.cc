#include "config/cluster_state.h"

#include <set>

#include "base/exception_barrier.h"

namespace pebblespindle {

bool ClusterState::apply(SequenceNumber sequence, const std::vector<Row>& rows) {
  if (sequence <= sequence_) return false;
  const SequenceNumber before = sequence_;
  sequence_ = sequence;
  bool instances_changed = false;
  bool tenants_changed = false;
  for (auto& row : rows) {
    if (row.sequence <= before) continue;
    tenants_changed = tenants_changed || row.key.starts_with(kTenantPrefix);
    // A row that cannot be decoded stands for no item: the others are applied all the same.
    if (!run_guarded(Boundary::kStoredRow, [&] { apply_row(row, instances_changed); }))
      apply_row({row.key, {}, row.sequence, true}, instances_changed);
  }
  if (instances_changed) index_instances();
  if (tenants_changed) index_tenant_keys();
  return true;
}

void ClusterState::apply_row(const Row& row, bool& instances_changed) {
  const auto set_route = [this](const std::string& route_key, std::optional<Route> route) {
    if (route)
      routes_[route_key] = std::make_shared<const Route>(std::move(*route));
    else
      routes_.erase(route_key);
  };
  const std::string* value = row.deleted ? nullptr : &row.value;
  if (apply_configuration_row(configuration_, row.key, value, set_route)) return;
  if (row.key.starts_with(kInstancePrefix)) {
    const InstanceId id{row.key.substr(kInstancePrefix.size())};
    auto instance = value ? decode_instance(id, *value) : std::nullopt;
    if (instance)
      instances_[id] = *instance;
    else
      instances_.erase(id);
    instances_changed = true;
  } else if (row.key.starts_with(kPrimaryPrefix)) {
    const std::string service = row.key.substr(kPrimaryPrefix.size());
    auto assignment = value ? decode_primary(*value) : std::nullopt;
    if (assignment)
      primaries_[service] = *assignment;
    else
      primaries_.erase(service);
  } else {
    apply_failover_row(row);
  }
}

void ClusterState::apply_failover_row(const Row& row) {
  if (row.key.starts_with(kDepartedPrefix)) {
    const InstanceId id{row.key.substr(kDepartedPrefix.size())};
    auto departed = row.deleted ? std::nullopt : decode_departed(id, row.value);
    if (departed)
      departed_[id] = *departed;
    else
      departed_.erase(id);
  } else if (row.key.starts_with(kFailoverPrefix)) {
    const std::string service = row.key.substr(kFailoverPrefix.size());
    auto record = row.deleted ? std::nullopt : decode_failover(row.value);
    if (record)
      failovers_[service] = *record;
    else
      failovers_.erase(service);
  }
}

std::vector<Row> ClusterState::diff_to_snapshot(SequenceNumber sequence, std::vector<Row> snapshot) const {
  std::set<std::string> snapshot_keys;
  for (auto& row : snapshot) snapshot_keys.insert(row.key);
  const auto delete_unless_in_snapshot = [&](std::string key) {
    if (!snapshot_keys.count(key)) snapshot.push_back({std::move(key), {}, sequence, true});
  };
  for (auto& [key, route] : routes_) delete_unless_in_snapshot(kRoutePrefix + key);
  for (auto& [name, service] : configuration_.services) delete_unless_in_snapshot(kServicePrefix + name);
  for (auto& [name, tenant] : configuration_.tenants) delete_unless_in_snapshot(kTenantPrefix + name);
  for (auto& [id, instance] : instances_) delete_unless_in_snapshot(instance_key(id));
  for (auto& [service, assignment] : primaries_) delete_unless_in_snapshot(primary_key(service));
  return snapshot;
}

bool ClusterState::update_from(const StateTable& table) {
  if (table.change_count() == table_changes_ && table.generation() == table_generation_) return false;
  // Starts over if the content of the table was replaced, since the same sequence number may then stand for
  // other rows, or if the table no longer lists all deletions since the last update.
  if (table.generation() != table_generation_ || sequence_ < table.compacted_to()) {
    *this = ClusterState();
    table_generation_ = table.generation();
  }
  table_changes_ = table.change_count();
  return apply(table.last_sequence(), table.rows_after(sequence_));
}

void ClusterState::index_instances() {
  instances_by_service_.clear();
  for (auto& [id, instance] : instances_) instances_by_service_[instance.service].push_back(&instance);
}

void ClusterState::index_tenant_keys() {
  tenants_by_key_.clear();
  for (auto& [name, tenant] : configuration_.tenants)
    for (auto& key : tenant.keys) tenants_by_key_[key] = name;
}

const Tenant* ClusterState::tenant_with_key(const std::string& key) const {
  auto it = tenants_by_key_.find(key);
  return it == tenants_by_key_.end() ? nullptr : &configuration_.tenants.at(it->second);
}

const FailoverRecord* ClusterState::failover_of(const std::string& service) const {
  auto it = failovers_.find(service);
  return it == failovers_.end() ? nullptr : &it->second;
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

const std::vector<const Instance*>& ClusterState::instances_of(const std::string& service) const {
  static const std::vector<const Instance*> none;
  auto it = instances_by_service_.find(service);
  return it == instances_by_service_.end() ? none : it->second;
}

const PrimaryAssignment* ClusterState::primary_of(const std::string& service) const {
  auto it = primaries_.find(service);
  return it == primaries_.end() ? nullptr : &it->second;
}

}  // namespace pebblespindle
