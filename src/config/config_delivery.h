// What a core feeds one node: committed, whole states only, in pieces, the next as the node takes them. No
// I/O.
#pragma once
#include <functional>
#include <memory>

#include "storage/state_table.h"

namespace pebblespindle {

class Delivery {
 public:
  using Pieces = std::shared_ptr<const std::vector<std::string>>;
  using Send = std::function<void(const std::string& line)>;
  // What the last node was fed. Most stand at the same number: what one is told, the next is told as well.
  struct News {
    std::uint64_t from = 0, to = 0, life = 0;
    Pieces lines;
  };

  bool greeted() const { return greeted_; }
  // The node has come, and stands at `have`.
  void greet(std::uint64_t have);
  // The node has taken a piece.
  void got() { ++taken_; }
  // Sends what can go now. The state holds committed state alone when `settled` says so.
  void go_on(const StateTable& state, std::uint64_t committed, bool settled, News& news, const Send& send);

 private:
  std::uint64_t sent_ = 0;
  bool greeted_ = false;
  Pieces feeding_;  // what it is being fed, a few pieces ahead of what it has taken
  std::size_t next_ = 0, taken_ = 0;
};

}  // namespace pebblespindle
