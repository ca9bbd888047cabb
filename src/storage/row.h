// One entry of the replicated state, and its form in messages.
#pragma once
#include <string>
#include <vector>

#include "base/json_schema.h"
#include "base/types.h"

namespace pebblespindle {

struct Row {
  std::string key, value;
  SequenceNumber sequence = 0;  // of the change that wrote it
  bool deleted = false;         // a tombstone: the value is empty
  bool operator==(const Row&) const = default;
};

// A row is [key, sequence, value]; a tombstone is [key, sequence].
Json encode_rows(const std::vector<Row>& rows);
// kInvalidArgument when a row has another form.
Result<std::vector<Row>> decode_rows(const Json& encoded);

}  // namespace pebblespindle
