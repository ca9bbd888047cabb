// The inbound half of a sidecar forwards the requests of all sidecars to the database on its machine. All
// requests to that database pass through here, so it knows exactly what runs there: it keeps the queue, never
// sends more requests than the database has slots, refuses early, and tracks the health of the database by
// each result. It does no I/O of its own.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "config/state_rows.h"
#include "net/timer_queue.h"
#include "sidecar/call.h"
#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

// What Inbound needs from its environment. A frame goes back over the link of its offer.
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

  // Sets the database on this machine; none after it has ended.
  void set_database(std::optional<Instance> instance);
  const std::optional<Instance>& database() const { return database_; }

  // Handles the offer of a request: every offer gets one reply, unless its caller cancels it.
  void offer(LinkId link, const Json& frame);
  // The caller of an offer no longer waits. If the request has not been sent to the database, it never will
  // be. An idempotent request that runs there is aborted after kAbandonedRequestLimitMs.
  void cancel(LinkId link, std::uint64_t offer_number);
  void link_closed(LinkId link);

  void app_connection_up(ConnId id);
  // Bytes have arrived from the database, perhaps only part of a response.
  void app_bytes_received(ConnId id);
  // keep_alive_ms: how long the database says that it keeps the connection open while idle; 0: it does not
  // say; below 0: the connection ends with this response.
  void app_reply_received(ConnId id, Reply reply, Millis keep_alive_ms);
  void app_connection_down(ConnId id, bool refused);
  std::size_t pending_count() const { return running_ + queue_.size(); }
  // This process shuts down: accepted requests still run, new offers are refused.
  void stop_accepting() { accepting_ = false; }
  // Ends all requests without a response: callers are told that they have not run, or may have run.
  void fail_pending();

 private:
  struct Job {
    LinkId link = 0;
    std::uint64_t offer_number = 0;
    Call call;
    Millis started_at = 0, deadline = 0, queue_deadline = 0, sent_at = 0, connection_idle_ms = 0;
    Millis order_time = 0;
    bool idempotent = false, caller_waiting = true, resent = false;
    // Not sent on a connection that has been used: a late response there could be taken for its own.
    bool own_connection = false;
    std::string caller;
    ConnId connection_id = 0;
    TimerQueue::Id timer = 0;
  };
  struct AppConnection {
    InstanceId instance;  // the database process it was opened to
    bool connected = false, used = false;
    std::uint64_t job_id = 0;  // 0: idle
    Millis idle_since = 0, keep_alive_ms = 0;
    TimerQueue::Id timer = 0;
  };
  using QueuePosition = std::pair<Millis, std::uint64_t>;  // order time, job id
  static QueuePosition queue_position(std::uint64_t id, const Job& job) { return {job.order_time, id}; }

  Json load_report() const;
  void refuse_offer(LinkId link, std::uint64_t offer_number, const char* why, bool waited);
  void report_not_run(const Job& job, const char* why, bool waited);
  void report_failure(const Job& job);
  bool is_current(const InstanceId& id) const { return database_ && database_->id == id; }
  void refuse_queued(const char* why);
  std::size_t slots() const;
  double expected_wait_ms(const QueuePosition& position) const;
  void admit(std::uint64_t id);
  void start_queued();
  void start(std::uint64_t id);
  void send_on(std::uint64_t id, ConnId connection_id);
  void on_deadline(std::uint64_t id);
  bool abandon(std::uint64_t id);
  void abort_job(std::uint64_t id);
  void end_job(std::uint64_t id);
  void drop_connection(ConnId id);
  void lower_idle_limit(Millis idle_ms);
  void record_result(bool succeeded, bool timed_out);
  void record_error_status();
  void mark_down();
  ConnId find_idle_connection(bool idempotent);

  InboundPort& port_;
  TimerQueue& timers_;
  Millis now_ = 0;
  std::optional<Instance> database_;
  std::map<std::uint64_t, Job> jobs_;
  std::set<QueuePosition> queue_;
  std::map<ConnId, AppConnection> connections_;
  std::size_t running_ = 0;
  std::uint64_t last_job_ = 0;
  ConnId last_connection_ = 0;
  // Moving averages: the share of failures among results, 0 to 1, and the time that a request occupies a
  // slot.
  double failure_share_ = 0, mean_slot_ms_ = 0;
  int timeouts_in_row_ = 0, failures_in_row_ = 0;
  bool down_ = false, probing_ = false, accepting_ = true;
  Millis next_probe_at_ = 0, idle_limit_ = kInitialIdleLimitMs;
};

}  // namespace pebblespindle::sidecar
