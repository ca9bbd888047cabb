// The half of a sidecar beside a database, through which alone requests come to it. So it knows exactly what
// runs there: it keeps the queue, never gives the database more than its slots, refuses early and truly, and
// judges it by every result. No I/O.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "config/state_rows.h"
#include "net/timer_queue.h"
#include "sidecar/call.h"
#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

class InboundPort {
 public:
  virtual ~InboundPort() = default;
  virtual void reply(LinkId, const Json& frame) = 0;
  virtual void open_app_connection(ConnId) = 0;
  virtual void send_to_app(ConnId, const Call&) = 0;
  virtual void close_app_connection(ConnId) = 0;
};

class Inbound {
 public:
  Inbound(InboundPort& port, TimerQueue& timers) : port_(port), timers_(timers) {}
  void set_time(Millis now) { now_ = now; }

  // The database that is here now; none once it has ended.
  void set_database(std::optional<Instance> i);
  const std::optional<Instance>& database() const { return here_; }

  void offer(LinkId link, const Json& m);
  // Nobody waits for it any more: what has not been written to the database never will be, and what may be
  // repeated is broken off there unless it ends soon.
  void cancel(LinkId link, std::uint64_t n);
  void link_closed(LinkId link);

  void app_connection_up(ConnId id);
  // Something has come from the database, perhaps a part of an answer only.
  void app_bytes_received(ConnId id);
  // keep_ms: how long the database says it keeps the connection unused; below 0: it closes it.
  void app_reply_received(ConnId id, Reply r, Millis keep_alive_ms);
  void app_connection_down(ConnId id, bool refused);
  std::size_t pending_count() const { return running_ + queue_.size(); }
  // The end of this process: what is here is run, and nothing more is taken.
  void stop_accepting() { accepting_ = false; }
  // Whatever has no answer yet is told of, as not run or as a failure.
  void fail_pending();

 private:
  struct Job {
    LinkId link = 0;
    std::uint64_t n = 0;
    Call call;
    Millis started = 0, deadline = 0, until = 0, sent = 0, rested = 0;
    Millis due = 0;
    bool safe = false, wanted = true, again = false;
    bool alone = false;  // on a connection of its own: a late answer there could be taken for its own
    std::string caller;
    ConnId conn = 0;
    TimerQueue::Id timer = 0;
  };
  struct Server {
    InstanceId life;  // the database it was opened to
    bool up = false, used = false;
    std::uint64_t job = 0;  // 0: idle
    Millis idle_since = 0, keep_alive_ms = 0;
    TimerQueue::Id timer = 0;
  };
  using Rank = std::pair<Millis, std::uint64_t>;  // when it is due, job
  static Rank rank(std::uint64_t id, const Job& j) { return {j.due, id}; }

  Json load() const;
  void say_no(LinkId link, std::uint64_t n, const char* why, bool waited);
  void say_not_run(const Job& j, const char* why, bool waited);
  void say_fail(const Job& j);
  bool here(const InstanceId& id) const { return here_ && here_->id == id; }
  void turn_away(const char* why);
  std::size_t slots() const;
  double expected_wait_ms(const Rank& rank) const;
  void admit(std::uint64_t id);
  void pump();
  void start(std::uint64_t id);
  void run_on(std::uint64_t id, ConnId conn);
  void on_deadline(std::uint64_t id);
  bool abandon(std::uint64_t id);
  void break_off(std::uint64_t id);
  void end_job(std::uint64_t id);
  void drop_server(ConnId id);
  void distrust(Millis rested);
  void met(bool good, bool silent);
  void met_error();
  void set_down();
  ConnId idle_server(bool safe);

  InboundPort& port_;
  TimerQueue& timers_;
  Millis now_ = 0;
  std::optional<Instance> here_;
  std::map<std::uint64_t, Job> jobs_;
  std::set<Rank> queue_;
  std::map<ConnId, Server> servers_;
  std::size_t running_ = 0;
  std::uint64_t last_job_ = 0;
  ConnId last_conn_ = 0;
  double ill_ = 0, mean_ = 0;    // share of results that were failures; how long a request has its slot, ms
  int silent_ = 0, failed_ = 0;  // in a row
  bool down_ = false, trial_ = false, accepting_ = true;
  Millis trial_at_ = 0, idle_most_ = kInitialIdleLimitMs;
};

}  // namespace pebblespindle::sidecar
