// Heartbeats of the database on this machine that the core has not answered yet. A heartbeat is identified by
// its number, which increases. A departure has a reserved number, so that the answer to a heartbeat is not
// taken for its acknowledgement. Does no I/O.
#pragma once
#include <functional>
#include <limits>
#include <map>

#include "net/timer_queue.h"
#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

class InstanceHeartbeats {
 public:
  static constexpr std::uint64_t kDepartureNumber = std::numeric_limits<std::uint64_t>::max();
  using Done = std::function<void(int status)>;
  explicit InstanceHeartbeats(TimerQueue& timers) : timers_(timers) {}
  // Calls `done` with the status from the core, or with 503 after kHeartbeatTimeoutMs.
  void await_answer(Millis now, const InstanceId& id, std::uint64_t number, Done done) {
    on_answer(id, number, 503);  // sent again: the earlier caller no longer waits
    waiting_[{id, number}] = {std::move(done), timers_.at(now + kHeartbeatTimeoutMs, [this, id, number] {
                                on_answer(id, number, 503);
                              })};
  }
  void on_answer(const InstanceId& id, std::uint64_t number, int status) {
    auto it = waiting_.find({id, number});
    if (it == waiting_.end()) return;
    Pending pending = std::move(it->second);
    waiting_.erase(it);
    timers_.cancel(pending.timer);
    pending.done(status);
  }

 private:
  struct Pending {
    Done done;
    TimerQueue::Id timer = 0;
  };
  TimerQueue& timers_;
  std::map<std::pair<InstanceId, std::uint64_t>, Pending> waiting_;
};

}  // namespace pebblespindle::sidecar
