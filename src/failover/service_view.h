// What the replicated state says of one service, as its failover needs it, and what the step machine must
// know of the controller it runs in. Values only: handed in with each event.
#pragma once
#include <string>
#include <vector>

#include "config/cluster_state.h"

namespace pebblespindle::failover {

struct ServiceView {
  std::string service;
  PrimaryAssignment assignment;
  SequenceNumber assignment_sequence = 0;      // the change that wrote the assignment
  SequenceNumber state_sequence = 0;           // the newest change
  std::string assignment_value, record_value;  // as stored, to be expected by the next change
  FailoverRecord record;                       // id empty: none
  std::vector<Instance> registered;            // the service's databases
  std::vector<DepartedInstance> departed;      // those that have left and are remembered
  bool has_sync_replicas = true;  // a commit may be acknowledged on the word of one replica (SyncReplicas)

  const Instance* find_registered(const InstanceId& id) const;        // null when it is not registered
  const DepartedInstance* find_departed(const InstanceId& id) const;  // null when it is not remembered
};

// As the table stands; cluster follows it.
ServiceView read_service_view(const StateTable& state, const ClusterState& cluster,
                              const std::string& service);

struct Environment {
  Instant now = 0;
  bool is_leader = false;           // this controller holds the failover duty
  std::uint64_t token = 0;          // its fencing token
  bool nodes_acknowledged = false;  // all nodes with a lease know the present assignment
  Millis drain_ms = 0;              // how long a database serves on at least after it has announced its end
};

}  // namespace pebblespindle::failover
