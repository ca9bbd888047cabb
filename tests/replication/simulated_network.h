// A simulated network of named nodes. Messages are delayed and may be lost, also across blocked links; each
// link keeps their order.
#pragma once
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "base/json_schema.h"

namespace pebblespindle::test {

class SimulatedNetwork {
 public:
  explicit SimulatedNetwork(std::uint32_t seed) : rng(seed) {}
  Millis now = 1000;
  std::mt19937 rng;
  std::set<std::pair<std::string, std::string>> blocked_links;  // (from, to), one direction each
  double loss_rate = 0;
  std::function<void(const std::string& to, const std::string& from, const Json&)> deliver;

  int pick(int count) { return int(rng() % std::uint32_t(count)); }
  bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(rng) < probability; }

  void send(const std::string& from, const std::string& to, const Json& message) {
    if (blocked_links.count({from, to}) || chance(loss_rate)) return;
    Millis at = std::max(now + 1 + pick(chance(0.02) ? 400 : 5), last_[{from, to}]);
    last_[{from, to}] = at;
    queue_.emplace(at, Message{from, to, message});
  }
  // Advances the time by one millisecond and delivers what is due. Returns whether a message arrived.
  bool step() {
    ++now;
    bool arrived = false;
    while (!queue_.empty() && queue_.begin()->first <= now) {
      Message message = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      if (blocked_links.count({message.from, message.to})) continue;
      arrived = true;
      deliver(message.to, message.from, message.body);
    }
    return arrived;
  }
  // Drops all messages under way from and to a node, as when its process ends.
  void drop_messages_of(const std::string& node) {
    std::erase_if(queue_, [&](auto& entry) { return entry.second.from == node || entry.second.to == node; });
  }

 private:
  struct Message {
    std::string from, to;
    Json body;
  };
  std::multimap<Millis, Message> queue_;
  std::map<std::pair<std::string, std::string>, Millis> last_;
};

}  // namespace pebblespindle::test
