#include "sidecar/frame.h"

#include <algorithm>

#include "base/bounded_json.h"
#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

std::string encode_frame(const Json& frame) {
  std::string out;
  Json::to_msgpack(frame, out);
  return out;
}

std::optional<Json> decode_frame(std::string_view bytes) {
  auto frame = parse_bounded(bytes, kMaxFrameDepth, Json::input_format_t::msgpack);
  if (!frame || !frame->is_object()) return std::nullopt;
  return frame;
}

Millis clamped_field(const Json& frame, const char* key, Millis fallback, Millis lowest, Millis highest) {
  auto it = frame.find(key);
  if (it == frame.end() || !it->is_number()) return fallback;
  double value = it->get<double>();
  if (!(value > double(lowest))) return lowest;
  return value < double(highest) ? Millis(value) : highest;
}

std::uint64_t unsigned_field(const Json& frame, const char* key) {
  auto it = frame.find(key);
  if (it == frame.end() || !it->is_number_integer()) return 0;
  return it->is_number_unsigned() || it->get<std::int64_t>() > 0 ? it->get<std::uint64_t>() : 0;
}

std::string text_field(const Json& frame, const char* key) {
  auto it = frame.find(key);
  return it != frame.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool bool_field(const Json& frame, const char* key) {
  auto it = frame.find(key);
  return it != frame.end() && it->is_boolean() && it->get<bool>();
}

bool is_single_line(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return character == '\r' || character == '\n' || character == '\0';
  });
}

bool is_single_word(std::string_view text) {
  return !text.empty() && is_single_line(text) && text.find_first_of(" \t") == std::string_view::npos;
}

}  // namespace pebblespindle::sidecar
