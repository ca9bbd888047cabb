#include "sidecar/frame.h"

#include <algorithm>

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

namespace {

// The library's reader goes as deep as the bytes say; a frame is flat.
class Shallow : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Dom = nlohmann::detail::json_sax_dom_parser<Json>;
  explicit Shallow(Json& out) : Dom(out, false) {}
  bool start_object(std::size_t n) { return ++depth_ <= kMaxFrameDepth && Dom::start_object(n); }
  bool start_array(std::size_t n) { return ++depth_ <= kMaxFrameDepth && Dom::start_array(n); }
  bool end_object() { return --depth_, Dom::end_object(); }
  bool end_array() { return --depth_, Dom::end_array(); }

 private:
  int depth_ = 0;
};

}  // namespace

std::string encode_frame(const Json& j) {
  std::string out;
  Json::to_msgpack(j, out);
  return out;
}

std::optional<Json> decode_frame(std::string_view bytes) {
  Json j;
  Shallow sax(j);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &sax, Json::input_format_t::msgpack, true) ||
      !j.is_object())
    return std::nullopt;
  return j;
}

Millis clamped_field(const Json& m, const char* key, Millis fallback, Millis lowest, Millis highest) {
  auto it = m.find(key);
  if (it == m.end() || !it->is_number()) return fallback;
  double v = it->get<double>();
  if (!(v > double(lowest))) return lowest;
  return v < double(highest) ? Millis(v) : highest;
}

std::uint64_t unsigned_field(const Json& m, const char* key) {
  auto it = m.find(key);
  if (it == m.end() || !it->is_number_integer()) return 0;
  return it->is_number_unsigned() || it->get<std::int64_t>() > 0 ? it->get<std::uint64_t>() : 0;
}

std::string text_field(const Json& m, const char* key) {
  auto it = m.find(key);
  return it != m.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool bool_field(const Json& m, const char* key) {
  auto it = m.find(key);
  return it != m.end() && it->is_boolean() && it->get<bool>();
}

bool is_single_line(std::string_view s) {
  return std::none_of(s.begin(), s.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

bool is_single_word(std::string_view s) {
  return !s.empty() && is_single_line(s) && s.find_first_of(" \t") == std::string_view::npos;
}

}  // namespace pebblespindle::sidecar
