// What an agent holds of the control state, and hands on to the proxy beside it. No I/O.
#pragma once
#include <string_view>

#include "storage/state_table.h"

namespace pebblespindle {

class StateCache {
 public:
  struct Taken {
    bool got = false;     // a piece: the core sends the next once it hears so
    bool torn = false;    // not the piece that comes next: the feed has to start anew, over another link
    std::string hand_on;  // a line for the proxy; empty when there is none
  };
  // A message "up" of the core, and the line it came in.
  Taken take(const Json& m, std::string_view line);
  // The link is another one: what was under way on the old one is void.
  void relinked() {
    pieces_.clear();
    next_left_.reset();
  }
  // All that is held, for a proxy that has come. It may have lived on while this process started anew, so the
  // state says that it is whole.
  std::string whole() const;
  std::uint64_t number() const { return number_; }

 private:
  StateTable rows_;
  std::vector<Row> pieces_;  // of a feed under way
  std::uint64_t pieces_of_ = 0, number_ = 0;
  std::optional<std::uint64_t> next_left_;  // pieces behind the one that comes next; none: a feed begins
  bool whole_ = false;
};

}  // namespace pebblespindle
