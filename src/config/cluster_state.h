// The control state read into types, and kept so as rows change: configuration, databases, leads.
#pragma once
#include <map>
#include <memory>
#include <vector>

#include "config/records.h"
#include "storage/state_table.h"

namespace pebblespindle {

class ClusterState {
 public:
  // Applies rows up to number; older numbers are ignored. True when something changed.
  bool apply(std::uint64_t number, const std::vector<Row>& rows);
  // A whole state as the changes that lead to it from here: what it does not name is gone.
  std::vector<Row> changes_to(std::uint64_t number, std::vector<Row> whole) const;
  // Brings the cluster to what a state holds. False, and cheap, while the state has not changed.
  bool follow(const StateTable& state);

  std::uint64_t number() const { return number_; }
  bool fed() const { return config_.revision > 0; }
  const Configuration& config() const { return config_; }
  std::shared_ptr<const Route> route(const std::string& host) const;
  // The route of that host whose prefix is the longest to begin the path.
  std::shared_ptr<const Route> route(const std::string& host, std::string_view path) const;
  // The tenant that holds a key; null when none does.
  const Tenant* tenant_of(const std::string& key) const;
  const std::map<InstanceId, Instance>& instances() const { return instances_; }
  const Instance* instance(const InstanceId& id) const;
  const std::vector<const Instance*>& of(const std::string& service) const;
  const std::map<std::string, Lead>& leads() const { return leads_; }
  const Lead* lead(const std::string& service) const;

 private:
  void index();
  void index_keys();
  std::uint64_t number_ = 0, changes_ = 0, lives_ = 0;
  Configuration config_;
  std::map<std::string, std::shared_ptr<const Route>> routes_;  // by place
  std::map<InstanceId, Instance> instances_;
  std::map<std::string, std::vector<const Instance*>> by_service_;
  std::map<std::string, Lead> leads_;
  std::map<std::string, std::string> tenants_by_key_;
};

}  // namespace pebblespindle
