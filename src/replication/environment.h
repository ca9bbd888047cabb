// What a replica needs from the process around it.
#pragma once
#include <string>
#include <vector>

#include "replication/messages.h"
#include "storage/state_table.h"

namespace pebblespindle::replication {

// What the head decides about a submitted command.
struct ValidationResult {
  Status status{};          // kInvalidArgument, kConflict or kUnavailable: refused
  std::vector<Row> rows{};  // to write, sequence numbers not yet given; none: nothing changes
};

class Environment {
 public:
  Environment() = default;
  virtual ~Environment() = default;
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  // Hands the message to the link to a peer. It may be lost.
  virtual void send(const ReplicaId& to, const Message& message) = 0;
  // Runs at the head: a pure function of the state.
  virtual ValidationResult validate(const StateTable& state, const Json& command) = 0;
  // More is committed than before; Replica::committed() tells how much.
  virtual void on_committed() = 0;
  // Something that the person on call may want to know: one line, an event and its identifiers.
  virtual void log_event(const std::string& event) = 0;
};

}  // namespace pebblespindle::replication
