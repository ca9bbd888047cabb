#include "net/event_loop.h"

#include <chrono>
#include <csignal>

#include "base/exception_barrier.h"

namespace pebblespindle {

EventLoop::EventLoop() = default;

Millis EventLoop::now() const {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

void EventLoop::on_signal(int number, std::function<void()> callback) {
  signals_.add(number);
  bool first = handlers_.empty();
  handlers_[number] = std::move(callback);
  if (first) wait_signal();
  sigset_t handled;
  sigemptyset(&handled);
  sigaddset(&handled, number);
  pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

void EventLoop::wait_signal() {
  signals_.async_wait([this](const asio::error_code& ec, int number) {
    if (ec) return;
    auto it = handlers_.find(number);
    if (it != handlers_.end()) run_guarded(Boundary::kSignal, it->second);
    wait_signal();
    rearm();
  });
}

void EventLoop::every(Millis period, std::function<void()> callback) {
  timers_.at(now() + period, [this, period, callback] {
    run_guarded(Boundary::kTimer, callback);
    every(period, callback);
  });
  rearm();
}

void EventLoop::rearm() {
  auto next = timers_.next();
  if (!next) {
    if (armed_for_ >= 0) kernel_timer_.cancel();
    armed_for_ = -1;
    return;
  }
  // A timer that fires early only finds nothing due and re-arms: an earlier arming is left alone.
  if (armed_for_ >= 0 && armed_for_ <= *next) return;
  armed_for_ = *next;
  kernel_timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::milliseconds(*next)));
  kernel_timer_.async_wait([this](const asio::error_code& ec) {
    if (ec) return;
    armed_for_ = -1;
    run_due_timers();
    rearm();
  });
}

// A timer that throws has left the queue by then; the others that are due still run.
void EventLoop::run_due_timers() {
  while (!run_guarded(Boundary::kTimer, [this] { timers_.run(now()); })) {
  }
}

void EventLoop::run() {
  rearm();
  while (!run_guarded(Boundary::kEventLoop, [this] { io_.run(); })) {
  }
}

}  // namespace pebblespindle
