// JSON in which no object names a field twice: what one reader takes for the first of two fields, and another
// for the last, nobody can rely on.
#pragma once
#include <string_view>

#include "base/json_schema.h"

namespace pebblespindle {

// kInvalidArgument for text that is no JSON, or names a field twice.
Result<Json> parse_unambiguous_json(std::string_view text);

}  // namespace pebblespindle
