#include "base/types.h"

#include <charconv>

namespace pebblespindle {

std::string Position::text() const {
  return std::to_string(term) + "." + std::to_string(number);
}

std::optional<Position> Position::parse(std::string_view text) {
  Position position;
  const char* end = text.data() + text.size();
  auto term_end = std::from_chars(text.data(), end, position.term);
  if (term_end.ec != std::errc() || term_end.ptr == end || *term_end.ptr != '.') return std::nullopt;
  auto number_end = std::from_chars(term_end.ptr + 1, end, position.number);
  if (number_end.ec != std::errc() || number_end.ptr != end) return std::nullopt;
  return position;
}

}  // namespace pebblespindle
