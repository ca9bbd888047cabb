// InstanceHeartbeats of the database beside that the core has not answered yet. Each answer goes to the call
// it answers: a beat is known by its number, which rises; an end has a number of its own, so that no beat's
// answer is taken for its acknowledgement. No I/O.
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
  void await_answer(Millis now, const InstanceId& id, std::uint64_t number, Done done) {
    on_answer(id, number, 503);  // the same again: the former caller has gone on
    waiting_[{id, number}] = {std::move(done), timers_.at(now + kHeartbeatTimeoutMs, [this, id, number] {
                                on_answer(id, number, 503);
                              })};
  }
  void on_answer(const InstanceId& id, std::uint64_t number, int status) {
    auto it = waiting_.find({id, number});
    if (it == waiting_.end()) return;
    Asked a = std::move(it->second);
    waiting_.erase(it);
    timers_.cancel(a.timer);
    a.done(status);
  }

 private:
  struct Asked {
    Done done;
    TimerQueue::Id timer = 0;
  };
  TimerQueue& timers_;
  std::map<std::pair<InstanceId, std::uint64_t>, Asked> waiting_;
};

}  // namespace pebblespindle::sidecar
