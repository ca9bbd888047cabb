// How a database answered a statement of the controller's own.
#pragma once
#include <string>

#include "sql_protocol/sql_protocol.h"

namespace pebblespindle::failover {

struct DatabaseReply {
  enum class Kind {
    kRow,      // it answers; `info` is what it says of itself
    kError,    // it answers with an error
    kRefused,  // the connection was refused or reset
    kSilent,   // no answer in time
  };
  Kind kind = Kind::kSilent;
  sql_protocol::Info info{};
  std::string error{};  // as the database says it

  // Its address is another's by now: the database of that name is no more.
  bool is_wrong_node() const { return error.starts_with("WRONGNODE"); }
};

}  // namespace pebblespindle::failover
