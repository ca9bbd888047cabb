// A JSON parser that rejects duplicate field names in an object: some readers take the first of the two
// values, others the last, so the meaning of such text is ambiguous.
#pragma once
#include <string_view>

#include "base/json_schema.h"

namespace pebblespindle {

// Returns kInvalidArgument if the text is not JSON or an object has two fields of the same name.
Result<Json> parse_unambiguous_json(std::string_view text);

}  // namespace pebblespindle
