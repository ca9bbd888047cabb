// A queue of timers driven from outside, so tests own the clock.
#pragma once
#include <functional>
#include <map>
#include <unordered_map>

#include "base/types.h"

namespace pebblespindle {

class TimerQueue {
 public:
  using Id = std::uint64_t;
  Id at(Millis when, std::function<void()> callback) {
    Id id = ++last_;
    queue_.emplace(std::make_pair(when, id), std::move(callback));
    when_[id] = when;
    return id;
  }
  void cancel(Id& id) {
    auto it = when_.find(id);
    if (it != when_.end()) {
      queue_.erase({it->second, id});
      when_.erase(it);
    }
    id = 0;
  }
  void run(Millis now) {
    while (!queue_.empty() && queue_.begin()->first.first <= now) {
      auto node = queue_.extract(queue_.begin());
      when_.erase(node.key().second);
      node.mapped()();
    }
  }
  std::optional<Millis> next() const {
    if (queue_.empty()) return std::nullopt;
    return queue_.begin()->first.first;
  }

 private:
  Id last_ = 0;
  std::map<std::pair<Millis, Id>, std::function<void()>> queue_;
  std::unordered_map<Id, Millis> when_;
};

}  // namespace pebblespindle
