// The event loop of a process: one thread, real time, signals, and the timers of its parts. Whatever a
// callback throws ends that callback alone (base/exception_barrier.h).
#pragma once
#include <asio.hpp>
#include <functional>

#include "net/timer_queue.h"

namespace pebblespindle {

class EventLoop {
 public:
  EventLoop();
  Millis now() const;
  asio::io_context& io() { return io_; }
  TimerQueue& timers() { return timers_; }
  // From now on; also for one that came before, if it was blocked.
  void on_signal(int number, std::function<void()> callback);
  // Calls it again and again, also after it has thrown.
  void every(Millis period, std::function<void()> callback);
  // Re-arms the one kernel timer; called after anything that may have set an earlier timer.
  void rearm();
  void run();
  void stop() { io_.stop(); }

 private:
  void wait_signal();
  void run_due_timers();
  asio::io_context io_{1};
  asio::steady_timer kernel_timer_{io_};
  asio::signal_set signals_{io_};
  std::map<int, std::function<void()>> handlers_;
  TimerQueue timers_;
  Millis armed_for_ = -1;
};

}  // namespace pebblespindle
