// The failover duty: replaces the primary of a service that is dead, leaving or slow.
//
// This class decides whether a failover is due and joins the parts to the controller: the steps of a failover
// (step_machine.h), the watch over databases that have left (departed_settlement.h), and the release of those
// that were paused (release.h). What decides stands in the replicated state, so another controller that takes
// the duty over goes on where this one stopped.
//
// No I/O of its own; all calls come from one event loop, callbacks included.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "config/cluster_state.h"
#include "failover/departed_tracker.h"
#include "failover/release.h"
#include "failover/step_machine.h"
#include "failover/suspicions.h"
#include "replication/pending_requests.h"

namespace pebblespindle::failover {

struct FailoverCallbacks {
  // Whether this controller holds the duty; asked right before each step that needs it.
  std::function<bool()> is_leader;
  // Rises whenever the duty goes to another; 0: not this controller's.
  std::function<std::uint64_t()> fencing_token;
  QueryDatabase query;
  // Called once, when the platform has answered or never will.
  std::function<void(const std::string& service, const InstanceId&, std::function<void(PromoteOutcome)>)>
      promote;
  std::function<void(Json command, replication::SubmitCallback)> submit;
  std::function<bool(SequenceNumber sequence)> acknowledged_by_all_nodes;  // that have a live lease
  std::function<std::size_t()> node_count;                                 // with a live lease
  std::function<void(const std::string& event)> log_event;
};

class Failover {
 public:
  // state outlives the failover. drain_ms: how long a database serves on after it has announced its end.
  Failover(const StateTable& state, FailoverCallbacks callbacks, Millis drain_ms);

  void tick(Instant now);
  bool is_under_way() const;
  Suspicions& suspicions() { return suspicions_; }
  // A database has told of itself.
  void on_heartbeat(Instant now, const Instance& instance);

 private:
  const ClusterState& cluster();
  ServiceView view_of(const std::string& service);
  Environment environment_of(const ServiceView& view) const;

  void advance(const std::string& service, const PrimaryAssignment& assignment);
  void handle(const std::string& service, const Event& event);
  void execute(const std::string& service, const Action& action);
  void query(const std::string& service, const Query& wanted);
  void submit(const std::string& service, const Submit& wanted);
  void call_platform(const std::string& service, const CallPlatform& wanted);
  void finish_release(const std::string& service);
  void run_maintenance(const std::string& service, bool any_departed);

  // Whether a failover is due.
  void consider_failover(const std::string& service, const PrimaryAssignment& assignment);
  bool consider_departed_primary(const std::string& service, const PrimaryAssignment& assignment);
  void consider_other_leader(const std::string& service, const PrimaryAssignment& assignment);
  void on_other_leader(const std::string& service, const InstanceId& other, const DatabaseReply& reply);
  void query_suspect(const std::string& service, const Instance& primary);
  void on_suspect_reply(const std::string& service, const InstanceId& primary, const DatabaseReply& reply);
  bool is_slow(const std::string& service, const InstanceId& primary);
  bool may_hand_over(const std::string& service);
  void begin(const std::string& service, bool planned, const std::string& reason);

  const StateTable& state_;
  FailoverCallbacks callbacks_;
  const Millis drain_ms_;
  ClusterState cluster_;
  Suspicions suspicions_;
  DepartedTracker departed_tracker_;
  Releases releases_;
  Instant now_ = 0;  // of the last call
  std::uint64_t token_ = 0;
  std::map<std::string, Operation> operations_;             // by service
  std::map<std::string, Instant> last_slow_hand_over_;      // by service, the last time
  std::map<std::string, Instant> other_leader_queried_at_;  // by service
};

}  // namespace pebblespindle::failover
