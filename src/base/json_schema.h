// Checks JSON documents against JSON schemas (valijson).
#pragma once
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/status.h"
#include "base/types.h"

namespace pebblespindle {

using Json = nlohmann::json;

// A schema, compiled once and used often.
class Schema {
 public:
  explicit Schema(const char* text);
  // Empty when the document fits, else one line saying what is wrong.
  std::string check(const Json& document) const;

 private:
  std::shared_ptr<void> compiled_;
};

// Returns kInvalidArgument if the text is not JSON, or nested deeper than kMaxJsonDepth.
Result<Json> parse_json(std::string_view text);
// The same for a message on a link: a value that is no object (discarded) if it cannot be read.
Json parse_message(std::string_view text);

}  // namespace pebblespindle
