// A model of a cluster that is small enough to explore every order of events: the databases of one service, a
// platform that does not check fencing tokens, one group of nodes, and the controller that holds the failover
// duty. The step machine and the commands of the replicated state are the production code.
//
// All statements of one round reach their databases at the same moment; any event may happen between two
// rounds.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/command_validation.h"
#include "config/commands.h"
#include "failover/step_machine.h"

namespace pebblespindle::test {

// Faults that are injected by hiding knowledge from the step machine; the exploration has to find the lost
// commit.
enum class InjectedFault { kNone, kIgnoresDeparted, kDropsRestarted, kIgnoresCalls };

// The maximum number of events of each kind on one path.
struct EventLimits {
  int writes = 1, crashes = 1, departures = 1, duty_moves = 1, lost_replies = 1, late_promotes = 1, ticks = 6;
};

struct ModelDatabase {
  int address = 0;
  bool up = true, primary = false, registered = true, departed = false, ended = false;
  std::uint64_t term = 1, paused_term = 0;
  Position position{1, 0};
  std::vector<int> log;  // numbers of the commits, oldest first
};

class FailoverModel {
 public:
  FailoverModel(InjectedFault fault, const EventLimits& limits, int sync_replicas);
  // The names of the events that may happen next.
  std::vector<std::string> events() const;
  void apply(const std::string& event);
  // A key that is equal for equal states of the model.
  std::string key() const;
  // The first violated invariant; empty if there is none.
  const std::string& violation() const { return violation_; }
  // Restarts all databases and answers everything from now on; returns whether the service gets a primary
  // that leads.
  bool recovers();
  std::string describe() const;

 private:
  using Databases = std::map<std::string, ModelDatabase>;
  failover::ServiceView view();
  void handle(const failover::Event& event);
  bool change(const Json& command);
  Instance instance_of(const std::string& id) const;
  failover::DatabaseReply execute_statement(const std::string& id, const std::string& statement, bool lost);
  void run_round(const std::string& lost_id);
  void commit_submission(bool reported);
  void take_effect(const std::string& successor);
  void call_platform(const std::string& how);
  void replicate(const std::string& id);
  void write(const std::string& id);
  void acknowledge(const ModelDatabase& leader);
  void restart(const std::string& id);
  void replace_controller();
  std::string leader() const;
  bool is_suspended() const;
  bool is_lost_for_good(int commit) const;

  InjectedFault fault_;
  EventLimits remaining_;
  int sync_replicas_;
  Databases databases_;
  StateTable state_;
  failover::Operation operation_;
  std::vector<failover::Query> queries_;
  std::vector<failover::Submit> submissions_;
  std::optional<failover::CallPlatform> call_;
  std::vector<std::string> late_promotes_;
  std::vector<int> acknowledged_;
  std::uint64_t token_ = 1, calls_ = 0;
  Instant now_ = 100000;
  bool nodes_blocked_ = false;
  int next_commit_ = 1, next_id_ = 3;
  std::string violation_;
};

}  // namespace pebblespindle::test
