// The inputs of the step machine, passed to it with each event as plain values: the replicated state of one
// service, and the situation of the controller that runs the failover.
#pragma once
#include <string>
#include <vector>

#include "config/cluster_state.h"

namespace pebblespindle::failover {

struct ServiceView {
  std::string service;
  PrimaryAssignment assignment;
  SequenceNumber assignment_sequence = 0;      // of the change that wrote the assignment
  SequenceNumber state_sequence = 0;           // of the newest change to the state
  std::string assignment_value, record_value;  // as stored; the next change is conditional on them
  FailoverRecord record;                       // its id is empty if there is none
  std::vector<Instance> registered;            // the service's databases
  std::vector<DepartedInstance> departed;      // no longer registered, but their logs may still be needed
  bool has_sync_replicas = true;  // commits are acknowledged only after a replica has them (SyncReplicas > 0)

  const Instance* find_registered(const InstanceId& id) const;        // null if not registered
  const DepartedInstance* find_departed(const InstanceId& id) const;  // null if not known as departed
};

// Reads the view from the state table; `cluster` must be up to date with the table.
ServiceView read_service_view(const StateTable& state, const ClusterState& cluster,
                              const std::string& service);

struct Environment {
  Instant now = 0;
  bool is_leader = false;           // this controller holds the failover duty
  std::uint64_t token = 0;          // its fencing token
  bool nodes_acknowledged = false;  // every node with a live lease knows the current assignment
  Millis drain_ms = 0;  // minimum time that a database keeps serving after it has announced its shutdown
};

}  // namespace pebblespindle::failover
