// Helpers that pass messages to replicas in their encoded form, as between processes.
#pragma once
#include "net/http.h"
#include "replication/codec.h"
#include "replication/replica.h"

namespace pebblespindle::test {

// Drops malformed messages, as a controller does.
inline void receive_encoded(replication::Replica& replica, Instant now, const std::string& from,
                            const Json& encoded) {
  if (auto message = replication::decode(encoded)) replica.receive(now, from, *message);
}

inline bool well_formed(const Json& encoded) {
  return bool(replication::decode(encoded));
}

// The HTTP status that a caller would receive; 0 if the chain gave no answer.
inline int answer_code(const Status& status) {
  return status.code() == StatusCode::kNoAnswer ? 0 : http_status(status);
}

}  // namespace pebblespindle::test
