// Parses JSON and MessagePack with a bound on nesting. The library's parser follows any depth, but what walks
// the document afterwards (schemas, serialization) is recursive and would exhaust the stack.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace pebblespindle {

// Levels of arrays and objects in a text, far above those of any message or document of the project
constexpr int kMaxJsonDepth = 64;

// Returns nothing if the input is malformed, or nested deeper than max_depth.
std::optional<nlohmann::json> parse_bounded(
    std::string_view input, int max_depth,
    nlohmann::json::input_format_t format = nlohmann::json::input_format_t::json);

}  // namespace pebblespindle
