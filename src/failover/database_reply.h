// The reply of a database to a statement that a controller sends during a failover.
#pragma once
#include <functional>
#include <string>

#include "base/types.h"
#include "config/instance.h"
#include "sql_protocol/sql_protocol.h"

namespace pebblespindle::failover {

struct DatabaseReply {
  enum class Kind {
    kRow,        // the database replied; `info` holds its role, term and position
    kError,      // the database replied with an error; `error` holds it
    kWrongNode,  // another database runs at the address: the process of the queried one has ended
    kRefused,    // the connection was refused or reset
    kSilent,     // no reply within the timeout
  };
  Kind kind = Kind::kSilent;
  sql_protocol::Info info{};
  std::string error{};        // the text that the database sent
  InstanceId answering_id{};  // with kWrongNode: the database that runs at the address

  bool is_row() const { return kind == Kind::kRow; }
};

// Sends a statement to a database. The callback is called exactly once, also when the query fails.
using QueryDatabase = std::function<void(const Instance& to, const std::string& statement,
                                         std::function<void(DatabaseReply)> done)>;

}  // namespace pebblespindle::failover
