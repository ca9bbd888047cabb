// Sends the messages of a replica's components.
#pragma once
#include "replication/messages.h"

namespace pebblespindle::replication {

class Outbox {
 public:
  Outbox() = default;
  virtual ~Outbox() = default;
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  // A message to this replica itself is handled before send() returns.
  virtual void send(const ReplicaId& to, const Message& message) = 0;
  virtual void send_to_others(const Message& message) = 0;
};

}  // namespace pebblespindle::replication
