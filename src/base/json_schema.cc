#include "base/json_schema.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "base/bounded_json.h"

namespace pebblespindle {

Schema::Schema(const char* text) {
  const Json schema = Json::parse(text);
  auto compiled = std::make_shared<valijson::Schema>();
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), *compiled);
  compiled_ = std::move(compiled);
}

std::string Schema::check(const Json& document) const {
  const auto& compiled = *static_cast<const valijson::Schema*>(compiled_.get());
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(compiled, valijson::adapters::NlohmannJsonAdapter(document), &results)) return {};
  std::string deepest;  // the error with the longest path says most
  std::size_t depth = 0;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    if (deepest.empty() || error.context.size() > depth) {
      depth = error.context.size();
      deepest.clear();
      for (auto& part : error.context) deepest += part;
      deepest += ": " + error.description;
    }
  }
  return deepest.empty() ? "does not fit its schema" : deepest;
}

Result<Json> parse_json(std::string_view text) {
  auto document = parse_bounded(text, kMaxJsonDepth);
  if (!document) return Status::invalid_argument("not readable as JSON, or nested too deep");
  return *std::move(document);
}

Json parse_message(std::string_view text) {
  return parse_bounded(text, kMaxJsonDepth).value_or(Json(Json::value_t::discarded));
}

}  // namespace pebblespindle
