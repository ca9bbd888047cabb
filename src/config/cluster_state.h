// The replicated state read into types, and kept up as rows change: the configuration, the databases, and the
// primaries of the services. Controllers follow their state table; nodes apply what they are fed.
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
  // Applies rows up to a sequence number; older ones are ignored. True when something changed.
  bool apply(SequenceNumber sequence, const std::vector<Row>& rows);
  // A whole state as the changes that lead to it from here: what it does not name is deleted.
  std::vector<Row> diff_to_snapshot(SequenceNumber sequence, std::vector<Row> snapshot) const;
  // Brings this up to what a table holds. False, and cheap, while the table has not changed.
  bool update_from(const StateTable& table);

  SequenceNumber sequence() const { return sequence_; }
  bool has_configuration() const { return configuration_.revision > 0; }
  const Configuration& configuration() const { return configuration_; }
  // The route of the host whose prefix is the longest to begin the path; null when there is none.
  std::shared_ptr<const Route> route(const std::string& host, std::string_view path = "/") const;
  const Tenant* tenant_with_key(const std::string& key) const;  // null when none holds it
  const std::map<InstanceId, Instance>& instances() const { return instances_; }
  const Instance* instance(const InstanceId& id) const;  // null when it is not known
  const std::vector<const Instance*>& instances_of(const std::string& service) const;
  const std::map<std::string, PrimaryAssignment>& primaries() const { return primaries_; }  // by service
  const PrimaryAssignment* primary_of(const std::string& service) const;  // null before the first primary
  // Controllers alone: what failovers remember.
  const std::map<InstanceId, DepartedInstance>& departed_instances() const { return departed_; }
  const FailoverRecord* failover_of(const std::string& service) const;  // null when there is no record

 private:
  void apply_row(const Row& row, bool& instances_changed);
  void apply_failover_row(const Row& row);
  void index_instances();
  void index_tenant_keys();

  SequenceNumber sequence_ = 0;
  std::uint64_t table_changes_ = 0, table_generation_ = 0;  // of the table that is followed
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
