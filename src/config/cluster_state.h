// The replicated state decoded into types and updated as rows change: the configuration, the registered
// databases, and the primary of each service. Controllers update it from their state table; nodes apply the
// updates that they receive from a controller.
#pragma once
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "config/failover_record.h"
#include "config/state_rows.h"
#include "storage/state_table.h"

namespace pebblespindle {

class ClusterState {
 public:
  // Applies the rows that bring the state up to `sequence`, and skips those that were applied before. Returns
  // false if the state is already at `sequence` or beyond.
  bool apply(SequenceNumber sequence, const std::vector<Row>& rows);
  // Returns the rows that turn this state into the snapshot: the snapshot's own rows, and a deletion for each
  // key that is held here but missing from the snapshot.
  std::vector<Row> diff_to_snapshot(SequenceNumber sequence, std::vector<Row> snapshot) const;
  // Applies what has changed in the table since the last call. Returns false, at little cost, if nothing has.
  bool update_from(const StateTable& table);

  SequenceNumber sequence() const { return sequence_; }
  bool has_configuration() const { return configuration_.revision > 0; }
  const Configuration& configuration() const { return configuration_; }
  // Returns the route of the host with the longest path prefix that matches, or null.
  std::shared_ptr<const Route> route(const std::string& host, std::string_view path = "/") const;
  const Tenant* tenant_with_key(const std::string& key) const;  // null if no tenant has this key
  const std::map<InstanceId, Instance>& instances() const { return instances_; }
  const Instance* instance(const InstanceId& id) const;  // null if not registered
  const std::vector<const Instance*>& instances_of(const std::string& service) const;
  const std::map<std::string, PrimaryAssignment>& primaries() const { return primaries_; }  // by service
  const PrimaryAssignment* primary_of(
      const std::string& service) const;  // null if no primary was ever assigned
  // Held by controllers only; nodes do not receive these rows.
  const std::map<InstanceId, DepartedInstance>& departed_instances() const { return departed_; }
  const FailoverRecord* failover_of(const std::string& service) const;  // null if there is no record

 private:
  void apply_row(const Row& row, bool& instances_changed);
  void apply_failover_row(const Row& row);
  void index_instances();
  void index_tenant_keys();

  SequenceNumber sequence_ = 0;
  std::uint64_t table_changes_ = 0, table_generation_ = 0;  // of the table in the last update_from()
  Configuration configuration_;
  std::map<std::string, std::shared_ptr<const Route>> routes_;  // by key
  std::map<InstanceId, Instance> instances_;
  std::map<std::string, std::vector<const Instance*>> instances_by_service_;
  std::map<std::string, PrimaryAssignment> primaries_;
  std::map<InstanceId, DepartedInstance> departed_;
  std::map<std::string, FailoverRecord> failovers_;  // by service
  std::map<std::string, std::string> tenants_by_key_;
};

}  // namespace pebblespindle
