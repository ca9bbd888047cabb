// Properties of texts that come from outside.
#pragma once
#include <algorithm>
#include <string_view>

namespace pebblespindle {

// The bounds of the printable ASCII characters
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDeleteCharacter = 0x7f;

// Whether the text holds an ASCII control character, such as CR or LF. A name that does would end a line of
// the SQL wire, or a header of HTTP, in its middle.
inline bool has_control_character(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte < kFirstPrintable || byte == kDeleteCharacter;
  });
}

// Whether the text holds printable ASCII characters alone, so that it can stand in JSON, in a log and on the
// wire.
inline bool is_printable_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte >= kFirstPrintable && byte < kDeleteCharacter;
  });
}

}  // namespace pebblespindle
