#include "sidecar/frame.h"

#include <algorithm>

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

namespace {

// Rejects deep nesting, which the parser of the library follows without limit.
class DepthLimitedParser : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Dom = nlohmann::detail::json_sax_dom_parser<Json>;
  explicit DepthLimitedParser(Json& out) : Dom(out, false) {}
  bool start_object(std::size_t size) { return ++depth_ <= kMaxFrameDepth && Dom::start_object(size); }
  bool start_array(std::size_t size) { return ++depth_ <= kMaxFrameDepth && Dom::start_array(size); }
  bool end_object() { return --depth_, Dom::end_object(); }
  bool end_array() { return --depth_, Dom::end_array(); }

 private:
  int depth_ = 0;
};

}  // namespace

std::string encode_frame(const Json& frame) {
  std::string out;
  Json::to_msgpack(frame, out);
  return out;
}

std::optional<Json> decode_frame(std::string_view bytes) {
  Json frame;
  DepthLimitedParser parser(frame);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &parser, Json::input_format_t::msgpack, true) ||
      !frame.is_object())
    return std::nullopt;
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
