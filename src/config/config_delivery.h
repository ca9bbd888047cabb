// Sends state updates from a controller to one node: committed state only, divided into chunks, with flow
// control by the node's acknowledgements. Does no I/O itself.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "storage/state_table.h"

namespace pebblespindle {

// Encodes the rows that bring a node from one sequence number to another as lines, one per chunk of about
// kUpdateChunkBytes. The node applies them together when it has the last chunk. With from == 0 the lines hold
// a snapshot of the whole state and are marked as such.
std::vector<std::string> encode_update_lines(SequenceNumber from, SequenceNumber to,
                                             const std::vector<Row>& rows);

class ConfigDelivery {
 public:
  using Lines = std::shared_ptr<const std::vector<std::string>>;
  using Send = std::function<void(const std::string& line)>;
  // The last encoded update, shared by all nodes of a controller: most nodes hold the state at the same
  // sequence number, so that one encoding serves many of them.
  struct SharedUpdate {
    SequenceNumber from = 0, to = 0;
    std::uint64_t generation = 0;  // of the state table from which it was encoded
    Lines lines;
  };

  // The node has connected and holds the state up to `held`; 0 means that it holds nothing.
  void start(SequenceNumber held);
  bool started() const { return started_; }
  void on_chunk_acknowledged() { ++acknowledged_lines_; }
  // Sends the chunks that flow control permits now. A new update is started only if all_committed is true,
  // that is, if the state table holds no uncommitted rows.
  void send_pending(const StateTable& state, SequenceNumber committed, bool all_committed,
                    SharedUpdate& shared, const Send& send);

 private:
  SequenceNumber sent_sequence_ = 0;  // sequence number of the newest update that was started
  bool started_ = false;
  Lines pending_lines_;                                 // the update being sent; null if none
  std::size_t next_line_ = 0, acknowledged_lines_ = 0;  // indexes into pending_lines_
};

}  // namespace pebblespindle
