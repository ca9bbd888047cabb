#include "base/bounded_json.h"

namespace pebblespindle {
namespace {

using Json = nlohmann::json;

class DepthLimitedParser : public nlohmann::detail::json_sax_dom_parser<Json> {
 public:
  using Dom = nlohmann::detail::json_sax_dom_parser<Json>;
  DepthLimitedParser(Json& out, int max_depth) : Dom(out, false), max_depth_(max_depth) {}
  bool start_object(std::size_t size) { return ++depth_ <= max_depth_ && Dom::start_object(size); }
  bool start_array(std::size_t size) { return ++depth_ <= max_depth_ && Dom::start_array(size); }
  bool end_object() { return --depth_, Dom::end_object(); }
  bool end_array() { return --depth_, Dom::end_array(); }

 private:
  const int max_depth_;
  int depth_ = 0;
};

}  // namespace

std::optional<Json> parse_bounded(std::string_view input, int max_depth, Json::input_format_t format) {
  Json document;
  DepthLimitedParser parser(document, max_depth);
  if (!Json::sax_parse(input.begin(), input.end(), &parser, format, true)) return std::nullopt;
  return document;
}

}  // namespace pebblespindle
