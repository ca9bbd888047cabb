// The failover duty: replaces the primary of a service that is dead, leaving or slow.
//
// Steps of one failover: suspend the service in the replicated state; wait until every node with a lease has
// acknowledged that, or its lease has ended, so that nobody is told of a commit any more; survey the
// databases for the newest term; pause all that receive; promote, by the platform's API, one that has
// received the most; learn that it leads; announce it in the state, and release the others. Any step may be
// repeated, also by another controller that has taken the duty over: the state alone says what is under way.
//
// Invariant: no acknowledged commit is lost. Nothing is promoted while a database that may have received more
// is out of reach (where the service asks for synchronous replicas), and nothing below what a living primary
// had committed. Every promote carries the fencing token, the term of the head that acts.
//
// No I/O of its own; all calls come from one event loop, callbacks included.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "config/cluster_state.h"
#include "failover/departed_databases.h"
#include "failover/suspicions.h"
#include "replication/pending_requests.h"

namespace pebblespindle::failover {

struct FailoverCallbacks {
  // Whether this controller holds the duty; asked right before each step that needs it.
  std::function<bool()> is_leader;
  // Rises whenever the duty goes to another; 0: not this controller's.
  std::function<std::uint64_t()> fencing_token;
  std::function<void(const Instance&, const std::string& statement, std::function<void(DatabaseReply)>)>
      query;
  // The status of the platform's answer; 0 when there was none, below 0 when the call was not sent.
  std::function<void(const std::string& service, const InstanceId&, std::function<void(int status)>)> promote;
  std::function<void(Json command, replication::SubmitCallback)> submit;
  std::function<bool(SequenceNumber sequence)> acknowledged_by_all_nodes;  // that have a live lease
  std::function<std::size_t()> node_count;                                 // with a live lease
  std::function<void(const std::string& event)> log_event;
};

class Failover {
 public:
  // state outlives the failover.
  Failover(const StateTable& state, FailoverCallbacks callbacks)
      : state_(state), callbacks_(std::move(callbacks)) {}

  void tick(Instant now);
  bool is_under_way() const;
  Suspicions& suspicions() { return suspicions_; }
  // A database has told of itself.
  void on_heartbeat(Instant now, const Instance& instance);

 private:
  enum class Step {
    kIdle,
    kSuspending,       // until the suspension is committed
    kWaitingForNodes,  // until all nodes know of it; also the pause before another attempt
    kSurveying,
    kPausing,
    kPromoting,
    kAwaitingPrimary,  // until the promoted database tells that it leads
    kAnnouncing,
  };
  struct Operation {
    Step step = Step::kIdle;
    Instant since = 0, retry_at = 0;
    std::uint64_t round = 0;  // answers of earlier rounds are dropped
    std::size_t awaited = 0;  // answers of this round
    std::map<InstanceId, DatabaseReply> replies;
    InstanceId successor;
    Instant suspended_at = 0;
    SequenceNumber suspension = 0;            // the change that suspended the service
    std::uint64_t term = 0;                   // the newest that is known
    std::map<InstanceId, Position> received;  // by replicas, as they told
    Position committed;             // where a living primary stood once nobody was told of commits any more
    int position_unknown = 0;       // attempts in which a primary said to be alive did not tell that
    bool primary_alive = false;     // the former primary told in this round that it leads
    bool primary_follows = false;   // or that it does not lead any more
    std::uint64_t follow_term = 0;  // the newest term known then
    int lacking = 0;               // attempts in which the others lacked what one that has ended had received
    bool promote_called = false;   // a promote may have been carried out
    bool successor_heard = false;  // it has told that it leads
  };
  struct Release {
    std::size_t awaited = 0, attempts = 0;
    std::uint64_t serial = 0;
    Instant retry_at = 0;
    bool second_pass = false;
    std::set<InstanceId> done;
    std::map<InstanceId, int> refusals;  // in a row
  };
  // The replicas that answered a pause, and who did not.
  struct PausedReplicas {
    std::vector<Instance> reachable;
    std::optional<Position> furthest;
    bool any_missing = false;
    std::string missing;  // the last one, for the log
  };
  struct SurveyResult {
    std::uint64_t newest_term = 0;
    std::uint64_t former_primary_term = 0;  // 0: it did not tell that it leads
    InstanceId leader;                      // another that leads already; empty: none
    std::uint64_t leader_term = 0;
  };

  const ClusterState& cluster();
  std::optional<PrimaryAssignment> assignment(const std::string& service);
  std::optional<Instance> instance(const InstanceId& id);
  std::vector<Instance> databases(const std::string& service);
  std::vector<Instance> receivers(const std::string& service, const Operation& operation);
  int sync_replicas(const std::string& service);

  void advance(const std::string& service, Operation& operation);
  void consider_failover(const std::string& service, Operation& operation, const PrimaryAssignment& current);
  bool consider_departed_primary(const std::string& service, const PrimaryAssignment& current);
  void query_suspect(const std::string& service, const Instance& primary, const PrimaryAssignment& current);
  void on_suspect_reply(const std::string& service, const InstanceId& primary, const DatabaseReply& reply);
  bool is_slow(const std::string& service, const InstanceId& primary);
  void begin(const std::string& service, const PrimaryAssignment& current, bool planned,
             const std::string& reason);
  void on_suspended(const std::string& service, std::uint64_t round);
  void survey(const std::string& service, Operation& operation);
  void on_surveyed(const std::string& service, Operation& operation);
  SurveyResult read_survey(const PrimaryAssignment& current, Operation& operation);
  void pause_receivers(const std::string& service, Operation& operation, const PrimaryAssignment& current);
  void on_paused(const std::string& service, Operation& operation);
  PausedReplicas read_pauses(const std::string& service, Operation& operation,
                             const PrimaryAssignment& current);
  bool waits_for_departed_log(const std::string& service, Operation& operation, const PausedReplicas& paused,
                              const std::optional<Instance>& former);
  const Instance& choose_successor(const PausedReplicas& paused, Operation& operation) const;
  void let_receive(const std::string& service, Operation& operation, const std::vector<Instance>& replicas);
  void promote(const std::string& service, Operation& operation);
  void on_promoted(const std::string& service, Operation& operation, int status);
  void confirm_successor(const std::string& service, Operation& operation);
  void announce(const std::string& service, Operation& operation, const InstanceId& primary,
                std::uint64_t term);
  void abandon(const std::string& service, Operation& operation);
  void release(const std::string& service);
  void begin_second_pass(Release& release);
  void finish_release(const std::string& service, const PrimaryAssignment& current, Release& release);
  void release_instance(const std::string& service, const Instance& instance, std::uint64_t term,
                        std::uint64_t serial);
  void on_released(const std::string& service, const InstanceId& id, std::uint64_t serial,
                   const DatabaseReply& reply);

  void enter(Operation& operation, Step step);
  void retry_later(Operation& operation);
  void note_departing(const std::string& service, Operation& operation);
  void query_all(const std::string& service, Operation& operation, const std::vector<Instance>& instances,
                 const std::string& statement, void (Failover::*then)(const std::string&, Operation&));
  void retry_operation(const std::string&, Operation& operation) { retry_later(operation); }
  void log(const std::string& service, const std::string& event);

  const StateTable& state_;
  FailoverCallbacks callbacks_;
  ClusterState cluster_;
  Suspicions suspicions_;
  DepartedDatabases departed_;
  Instant now_ = 0;  // of the last call
  std::uint64_t token_ = 0;
  std::map<std::string, Operation> operations_;              // by service
  std::map<std::string, Release> releases_;                  // by service
  std::map<std::string, Instant> handed_over_for_slowness_;  // by service, the last time
  std::uint64_t last_release_ = 0;
};

}  // namespace pebblespindle::failover
