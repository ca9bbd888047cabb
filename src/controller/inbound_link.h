// A link that another process has opened to this controller: an agent's, or another controller's.
#pragma once
#include <memory>
#include <string>

#include "base/json_schema.h"
#include "config/config_delivery.h"
#include "net/line_connection.h"

namespace pebblespindle {

struct InboundLink {
  using Ptr = std::shared_ptr<InboundLink>;

  void send(const Json& message) { connection->send(message.dump() + "\n"); }
  std::string peer_name() const { return name.empty() ? "a new link" : name; }
  bool is_started_agent() const { return !is_controller && delivery.started(); }

  LineConnection::Ptr connection;
  bool is_controller = false;
  std::string name;  // of the node, or the id of the replica; empty before it has said
  std::string zone;
  ConfigDelivery delivery;  // to an agent
};

}  // namespace pebblespindle
