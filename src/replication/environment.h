// The services that a replica needs from its process.
#pragma once
#include <string>
#include <vector>

#include "replication/messages.h"
#include "storage/state_table.h"

namespace pebblespindle::replication {

// The head's decision on a submitted command.
struct ValidationResult {
  Status status{};          // kInvalidArgument, kConflict or kUnavailable if the command is refused
  std::vector<Row> rows{};  // to be written, without sequence numbers; empty: the command changes nothing
};

class Environment {
 public:
  Environment() = default;
  virtual ~Environment() = default;
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  // Hands the message to the link to a peer. The message may be lost.
  virtual void send(const ReplicaId& to, const Message& message) = 0;
  // Called at the head. Must be a pure function of its arguments.
  virtual ValidationResult validate(const StateTable& state, const Json& command) = 0;
  // Called when Replica::committed() has risen.
  virtual void on_committed() = 0;
  // Logs an event that an operator may want to know of: one line with the event and its identifiers.
  virtual void log_event(const std::string& event) = 0;
};

}  // namespace pebblespindle::replication
