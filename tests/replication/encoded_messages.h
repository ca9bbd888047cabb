// Messages in tests go in their encoded form, as they do between processes.
#pragma once
#include "net/http.h"
#include "replication/codec.h"
#include "replication/replica.h"

namespace pebblespindle::test {

// As a controller does: what is malformed is not handed to the replica.
inline void receive_encoded(replication::Replica& replica, Instant now, const std::string& from,
                            const Json& encoded) {
  if (auto message = replication::decode(encoded)) replica.receive(now, from, *message);
}

inline bool well_formed(const Json& encoded) {
  return bool(replication::decode(encoded));
}

// The code that a caller gets; 0 when the chain gave no answer.
inline int answer_code(const Status& status) {
  return status.code() == StatusCode::kNoAnswer ? 0 : http_status(status);
}

}  // namespace pebblespindle::test
