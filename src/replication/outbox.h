// Where the parts of a replica put their messages.
#pragma once
#include "replication/messages.h"

namespace pebblespindle::replication {

class Outbox {
 public:
  Outbox() = default;
  virtual ~Outbox() = default;
  Outbox(const Outbox&) = delete;
  Outbox& operator=(const Outbox&) = delete;

  // A message to oneself is handled before this returns.
  virtual void send(const ReplicaId& to, const Message& message) = 0;
  virtual void send_to_others(const Message& message) = 0;
};

}  // namespace pebblespindle::replication
