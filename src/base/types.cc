#include "base/types.h"

#include <charconv>

namespace pebblespindle {

std::string Position::text() const {
  return std::to_string(term) + "." + std::to_string(number);
}

std::optional<Position> Position::parse(std::string_view s) {
  Position p;
  const char* end = s.data() + s.size();
  auto a = std::from_chars(s.data(), end, p.term);
  if (a.ec != std::errc() || a.ptr == end || *a.ptr != '.') return std::nullopt;
  auto b = std::from_chars(a.ptr + 1, end, p.number);
  if (b.ec != std::errc() || b.ptr != end) return std::nullopt;
  return p;
}

}  // namespace pebblespindle
