// What a controller feeds one node: committed state only, in chunks, the next as the node acknowledges them.
// No I/O.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "storage/state_table.h"

namespace pebblespindle {

// The lines that bring a node from one sequence number to another: the rows that it needs, in chunks of
// bounded size that count together, with the last. From 0 they are the whole state, and say so.
std::vector<std::string> encode_update_lines(SequenceNumber from, SequenceNumber to,
                                             const std::vector<Row>& rows);

class ConfigDelivery {
 public:
  using Lines = std::shared_ptr<const std::vector<std::string>>;
  using Send = std::function<void(const std::string& line)>;
  // What the last node was fed. Most stand at the same number, so what one is fed, the next is fed as well.
  struct SharedUpdate {
    SequenceNumber from = 0, to = 0;
    std::uint64_t generation = 0;  // of the state table
    Lines lines;
  };

  // The node has come, and holds the state up to `held`; 0: nothing.
  void start(SequenceNumber held);
  bool started() const { return started_; }
  void on_chunk_acknowledged() { ++acknowledged_; }
  // Sends what can go now. The state holds nothing but what is committed when all_committed says so; else
  // nothing new is begun.
  void send_pending(const StateTable& state, SequenceNumber committed, bool all_committed,
                    SharedUpdate& shared, const Send& send);

 private:
  SequenceNumber sent_ = 0;  // up to which the node has been sent the state
  bool started_ = false;
  Lines feeding_;  // under way; a few chunks ahead of what is acknowledged
  std::size_t next_ = 0, acknowledged_ = 0;
};

}  // namespace pebblespindle
