// The outbound half of a sidecar handles the requests of clients on its machine: it finds the route, picks
// the service by weight, chooses a database, and tries a second one only when the at-most-once rule and the
// retry budget allow it. It does no I/O of its own.
#pragma once
#include <map>
#include <optional>
#include <random>
#include <set>

#include "config/cluster_state.h"
#include "net/timer_queue.h"
#include "sidecar/call.h"
#include "sidecar/retry_budget.h"

namespace pebblespindle::sidecar {

// What Outbound needs from its environment.
class OutboundPort {
 public:
  virtual ~OutboundPort() = default;
  // Sends the response of a call to its client.
  virtual void answer(CallId, Reply) = 0;
  // Sends an offer to the sidecar at that address, which may be the one of this machine.
  virtual void offer(const Endpoint&, const Json& frame) = 0;
  // Whether an offer to that address is sent at once; always true for this machine.
  virtual bool is_linked(const Endpoint&) = 0;
  // Starts to establish a link unless there is one or it is under way. A failure is reported through
  // Outbound::link_down.
  virtual void connect(const Endpoint&) = 0;
  // Withdraws the offer with that number. True: it has not been sent and will not be. False: it may have been
  // sent, and the peer is asked to cancel it.
  virtual bool withdraw(const Endpoint&, std::uint64_t offer_number) = 0;
};

class Outbound {
 public:
  struct Options {
    std::string zone, caller;  // the zone of this machine and the service that runs on it
    double retry_ratio = 0.1, retry_slack = 0;
    Millis retry_window_ms = 10000;
    std::uint32_t seed = 1;
  };
  Outbound(OutboundPort& port, TimerQueue& timers, const ClusterState& cluster, Options options);

  void set_time(Millis now) { now_ = now; }
  // Divides the retry slack of the fleet by the number of its nodes.
  void set_node_count(std::size_t nodes) {
    budget_.set_slack(options_.retry_slack / double(std::max<std::size_t>(1, nodes)));
  }
  // Whether the cluster state is known to be current, so that a route it does not name does not exist.
  void set_state_current(bool current) { state_current_ = current; }

  // Every call ends with one OutboundPort::answer, unless its client leaves first.
  void start_call(CallId id, Call call);
  void client_gone(CallId id);
  // Handles the frame with which a peer answers an offer.
  void handle_frame(const Endpoint& from, const Json& frame);
  // The link to a sidecar has ended or could not be established. `sent`: offers may have arrived there.
  void link_down(const Endpoint& at, bool sent);
  // The sidecar at that address shuts down: it gets no more offers until the link to it has ended.
  void peer_shutting_down(const Endpoint& at) { shutting_down_peers_.insert(at); }
  // This process shuts down: new requests are answered with 503 and not offered to any database.
  void stop_accepting() { accepting_ = false; }
  // Answers all pending calls: 502 if a database may have run the request, 503 otherwise.
  void fail_pending();
  std::size_t open_calls() const { return calls_.size(); }

 private:
  struct Attempt {  // one offer of a call to one database
    CallId call_id = 0;
    InstanceId instance;
    Endpoint address;
    Millis sent_at = 0;
  };
  struct PendingCall {
    Call call;
    std::shared_ptr<const Route> route;
    std::string service;
    bool idempotent = false, hedged = false;
    Millis started_at = 0, deadline = 0;
    int databases_reached = 0,
        possible_runs = 0;  // databases that may have received the request, and those that may have run it
    bool counted = false;   // as a first attempt, in the retry budget
    std::set<InstanceId> tried, full;       // databases it was offered to, and those without a free slot
    std::set<std::uint64_t> open_attempts;  // attempts without an outcome
    TimerQueue::Id deadline_timer = 0, hedge_timer = 0;
  };
  struct Backoff {  // the pause doubles with each consecutive failure
    Millis until = 0, pause = 0;
    void extend(Millis now);
  };
  struct Database {             // what this node knows about a database
    double reported_load = 0;   // requests running and queued there, from its last report
    double reported_queue = 0;  // requests queued there, from its last report
    double failure_share = 0;   // 0 to 1, from its last report
    Millis reported_at = -1000000, full_until = 0;
    std::map<std::string, Millis> no_room_until;  // by route: refused, as the wait would have been too long
    Backoff backoff;
    int sent_since_report = 0, in_flight = 0;  // requests from this node
  };
  struct ResponseTimes {  // of a route, in ms
    double mean = 0, deviation = 0;
  };

  PendingCall* find_call(CallId id);
  // Estimated load of a database in multiples of its slots, with penalties for failures and for another zone.
  double load(const Instance& instance, const Database& database) const;
  enum class Place { kSlot, kQueue };      // a free slot, or room in the queue
  enum class Link { kUp, kFirstAttempt };  // established, or being established for the first time
  bool may_have_place(const PendingCall& pending, const InstanceId& id, Place place);
  const Instance* choose_instance(const PendingCall& pending, Place place, Link link);
  const Instance* least_loaded(std::vector<const Instance*>& same_zone,
                               std::vector<const Instance*>& other_zones);
  bool has_link(const Endpoint& at, Link link);
  // The time until which a request may wait in the queue of a database.
  Millis queue_deadline(const PendingCall& pending) const;
  void try_next(CallId id, bool may_queue);
  void send(CallId id, const Instance& instance, bool may_queue);
  void close_attempt(std::uint64_t attempt_id, Attempt& attempt);
  bool may_ask_another(const PendingCall& pending) const;
  void withdraw_attempts(PendingCall& pending);
  void attempt_failed(CallId id);
  void finish(CallId id, Reply reply);
  void fail_call(CallId id);
  bool spend_retry(PendingCall& pending);
  void back_off(const InstanceId& id);
  void on_hedge(CallId id);
  void record_load(const InstanceId& id, const Json& report);
  void record_full(Database& database);
  void record_no_room(const PendingCall& pending, const InstanceId& id);
  bool is_crowded(const PendingCall& pending) const;
  std::string pick_service(const Route& route);

  OutboundPort& port_;
  TimerQueue& timers_;
  const ClusterState& cluster_;
  Options options_;
  RetryBudget budget_;
  std::mt19937 rng_;
  Millis now_ = 0;
  bool state_current_ = false, accepting_ = true;
  std::set<Endpoint> shutting_down_peers_;
  std::map<CallId, PendingCall> calls_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::map<InstanceId, Database> databases_;
  std::map<Endpoint, Backoff> unreachable_;              // sidecars to which no link could be established
  std::map<std::string, ResponseTimes> response_times_;  // by route
  std::map<std::string, Millis> crowded_until_;          // by route
  std::uint64_t last_attempt_ = 0;
};

}  // namespace pebblespindle::sidecar
