// The half of a sidecar that takes requests where they begin: finds the route, draws the service, chooses the
// database once, and tries another only when a rule and the budget allow it. No I/O.
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

class OutboundPort {
 public:
  virtual ~OutboundPort() = default;
  virtual void answer(CallId, Reply) = 0;
  // To the sidecar at that address; this machine's own half is one of them.
  virtual void offer(const Endpoint&, const Json& frame) = 0;
  // Whether what is offered there leaves at once; true for this machine's own half.
  virtual bool is_linked(const Endpoint&) = 0;
  // Makes a link where there is none and none is being made; a failure is told by Outbound::link_down.
  virtual void connect(const Endpoint&) = 0;
  // Nobody waits for offer `n` any more. True: it had not left, and will not.
  virtual bool withdraw(const Endpoint&, std::uint64_t n) = 0;
};

class Outbound {
 public:
  struct Options {
    std::string zone, caller;  // where this is, and the service that runs on this machine
    double retry_ratio = 0.1, retry_slack = 0;
    Millis retry_window_ms = 10000;
    std::uint32_t seed = 1;
  };
  Outbound(OutboundPort& port, TimerQueue& timers, const ClusterState& cluster, Options options);

  void set_time(Millis now) { now_ = now; }
  void set_node_count(std::size_t nodes) {
    budget_.set_slack(options_.retry_slack / double(std::max<std::size_t>(1, nodes)));
  }
  // Whether the cluster is known to be the newest: what it does not name does not exist.
  void set_state_current(bool current) { state_current_ = current; }

  void start_call(CallId id, Call c);
  void client_gone(CallId id);
  void handle_frame(const Endpoint& from, const Json& m);
  // The link to a sidecar has ended; `sent`: what was offered may have arrived.
  void link_down(const Endpoint& at, bool sent);
  // The sidecar at that address ends: nothing is offered to it until its link has ended too.
  void peer_shutting_down(const Endpoint& at) { shutting_down_peers_.insert(at); }
  // The end of this process: requests that come from now on are refused, and none of them is offered.
  void stop_accepting() { accepting_ = false; }
  // Whatever has no answer yet is answered with what is known of it.
  void fail_pending();
  std::size_t open_calls() const { return works_.size(); }

 private:
  struct Attempt {
    CallId call = 0;
    InstanceId instance;
    Endpoint at;
    Millis sent = 0;
  };
  struct Work {
    Call call;
    std::shared_ptr<const Route> route;
    std::string service;
    bool safe = false, hedged = false;
    Millis began = 0, deadline = 0;
    int reached = 0, may_run = 0;  // databases it may have come to; those of them where it may have run
    bool counted = false;          // as a first try, for the budget
    std::set<InstanceId> tried, full;
    std::set<std::uint64_t> open;  // attempts without an outcome
    TimerQueue::Id timer = 0, hedge = 0;
  };
  struct Backoff {  // grows with each failure in a row
    Millis until = 0, pause = 0;
    void extend(Millis now);
  };
  struct Peer {  // what is known of a database
    double told = 0;
    double queued = 0;  // as it told
    double ill = 0;
    Millis told_at = -1000000, full_until = 0;
    std::map<std::string, Millis> no_room_until;  // by route, where it would have had to wait too long
    Backoff away;
    int since = 0, flying = 0;  // own requests since it told; own requests without an outcome
  };
  struct Usual {  // answers of a route
    double mean = 0, deviation = 0;
  };

  Work* find(CallId id);
  double load(const Instance& i, const Peer& p) const;
  enum class Room { kFree, kWaiting };     // a free slot, or a place to wait for one
  enum class Link { kUp, kFirstAttempt };  // up, or being made for the first time
  bool may_have_room(const Work& w, const InstanceId& id, Room room);
  const Instance* choose(const Work& w, Room room, Link link);
  const Instance* choose_among(std::vector<const Instance*>& home, std::vector<const Instance*>& away);
  bool has_link(const Endpoint& at, Link link);
  Millis wait_until(const Work& w) const;
  void next(CallId id, bool wait);
  void send(CallId id, const Instance& i, bool wait);
  void over(std::uint64_t attempt, Attempt& a);
  bool may_ask_another(const Work& w) const;
  void withdraw(Work& w);
  void failed(CallId id);
  void finish(CallId id, Reply r);
  void refuse(CallId id);
  bool spend(Work& w);
  void leave_alone(const InstanceId& id);
  void on_hedge(CallId id);
  void told(const InstanceId& id, const Json& load);
  void note_full(Peer& peer);
  void note_no_room(const Work& w, const InstanceId& id);
  bool is_crowded(const Work& w) const;
  std::string draw(const Route& r);

  OutboundPort& port_;
  TimerQueue& timers_;
  const ClusterState& cluster_;
  Options options_;
  RetryBudget budget_;
  std::mt19937 rng_;
  Millis now_ = 0;
  bool state_current_ = false, accepting_ = true;
  std::set<Endpoint> shutting_down_peers_;
  std::map<CallId, Work> works_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::map<InstanceId, Peer> peers_;
  std::map<Endpoint, Backoff> unreachable_;      // sidecars to which no link could be made
  std::map<std::string, Usual> usual_;           // by route
  std::map<std::string, Millis> crowded_until_;  // by route
  std::uint64_t last_attempt_ = 0;
};

}  // namespace pebblespindle::sidecar
