// The controller's own statements to databases: INFO, PAUSE, CONTINUE, STEPDOWN over short-lived connections.
#pragma once
#include <map>
#include <memory>

#include "failover/failover.h"
#include "net/event_loop.h"
#include "net/line_connection.h"

namespace pebblespindle {

class DatabaseClient {
 public:
  explicit DatabaseClient(EventLoop& loop) : loop_(loop) {}
  void ask(const Instance& to, const std::string& statement,
           std::function<void(failover::DatabaseReply)> done);
  // Asked right before anything but INFO goes out: a process that was frozen while it connected may
  // have lost the duty since.
  std::function<bool()> may_act;
  void expire();  // closes connections that have not been used for a while

 private:
  struct Call {
    std::string statement;
    std::function<void(failover::DatabaseReply)> done;
    TimerQueue::Id timer = 0;
  };
  struct Line {
    LineConnection::Ptr conn;
    bool ready = false;
    std::vector<Call> calls;  // the first is under way
    failover::DatabaseReply reply;
    Instant used_at = 0;
  };
  using LinePtr = std::shared_ptr<Line>;
  void connect(const Instance& to, const LinePtr& line);
  void on_line(const InstanceId& id, const LinePtr& line, std::string_view text);
  void send_first(const InstanceId& id, const LinePtr& line);
  void fail(const InstanceId& id, const LinePtr& line, failover::DatabaseReply::Kind kind);
  void fail(const InstanceId& id, const LinePtr& line, const failover::DatabaseReply& reply);
  EventLoop& loop_;
  std::map<InstanceId, LinePtr> lines_;
};

}  // namespace pebblespindle
