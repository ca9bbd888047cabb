// Replaces the primary of a service when it is dead, shutting down or slow. One controller at a time holds
// this duty.
//
// The Failover class decides whether a failover is due and connects the parts to the controller: the steps of
// a failover (step_machine.h), the tracking of departed databases (departed_tracker.h), and the release of
// paused databases (release.h). All decisions rest on the replicated state, so a controller that takes over
// the duty continues where the previous one stopped.
//
// It does no I/O of its own. All calls, including callbacks, come from one event loop.
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
  // Whether this controller holds the failover duty; called right before each step that needs it.
  std::function<bool()> is_leader;
  // The fencing token of the duty, which increases whenever the duty moves to another controller; 0 if this
  // controller doesn't hold it.
  std::function<std::uint64_t()> fencing_token;
  QueryDatabase query;
  // Asks the platform to promote a database. The callback is called once, when the platform has answered or
  // the call has expired.
  std::function<void(const std::string& service, const InstanceId&, std::function<void(PromoteOutcome)>)>
      promote;
  std::function<void(Json command, replication::SubmitCallback)> submit;
  // Both count only nodes with a live lease.
  std::function<bool(SequenceNumber sequence)> acknowledged_by_all_nodes;
  std::function<std::size_t()> node_count;
  std::function<void(const std::string& event)> log_event;
};

class Failover {
 public:
  // state must outlive this object. drain_ms: how long a database keeps serving after it has announced its
  // shutdown.
  Failover(const StateTable& state, FailoverCallbacks callbacks, Millis drain_ms);

  void tick(Instant now);
  bool is_under_way() const;
  Suspicions& suspicions() { return suspicions_; }
  // A database has sent a heartbeat.
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

  // Each begins a failover if it finds one due.
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
  Instant now_ = 0;  // time of the last tick() or on_heartbeat()
  std::uint64_t token_ = 0;
  std::map<std::string, Operation> operations_;             // by service
  std::map<std::string, Instant> last_slow_hand_over_;      // by service
  std::map<std::string, Instant> other_leader_queried_at_;  // by service
};

}  // namespace pebblespindle::failover
