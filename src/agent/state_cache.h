// What an agent holds of the replicated state, and forwards to the proxy beside it. No I/O.
//
// A feed of the controller comes as one line, or in chunks that count together, with the last. Chunks count
// down to it; one that is not the next belongs to another feed, and the feed has to start anew over another
// link. The state never goes back: a feed up to a lower sequence number changes nothing.
#pragma once
#include <optional>
#include <string_view>

#include "storage/state_table.h"

namespace pebblespindle {

class StateCache {
 public:
  struct Applied {
    bool acknowledge = false;   // a chunk: the controller sends the next once it hears so
    bool out_of_order = false;  // nothing was changed; see above
    std::string forward;        // a line for the proxy; empty when there is none
  };
  // feed: a message "up" of the controller, decoded; line: as it came.
  Applied apply(const Json& feed, std::string_view line);
  // The link is another one: what was under way on the old one is void.
  void on_new_link();
  // All that is held, for a proxy that has come. It may have lived on while this process started anew, so the
  // line says that it is the whole state.
  std::string encode_whole_state() const;
  SequenceNumber sequence() const { return sequence_; }

 private:
  struct Chunk {
    SequenceNumber sequence = 0;        // up to which the feed leads
    std::optional<std::uint64_t> left;  // chunks behind this one; none: the only line of its feed
    bool whole_state = false;
  };
  bool is_next(const Chunk& chunk) const;

  StateTable table_;
  SequenceNumber sequence_ = 0;
  // Of a feed under way.
  std::vector<Row> pending_rows_;
  SequenceNumber pending_sequence_ = 0;
  bool pending_whole_state_ = false;
  std::optional<std::uint64_t> next_left_;  // that the next chunk says; none: a feed begins
};

}  // namespace pebblespindle
