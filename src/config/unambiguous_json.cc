#include "config/unambiguous_json.h"

#include <set>
#include <vector>

namespace pebblespindle {
namespace {

// Looks for an object that names a field twice. A pass of its own: a callback of the library's parser, which
// might discard values, looks through a whole list at the end of each of its items.
class DuplicateFieldFinder : public nlohmann::json_sax<Json> {
 public:
  std::string duplicate;  // empty: none
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(Json::number_integer_t) override { return true; }
  bool number_unsigned(Json::number_unsigned_t) override { return true; }
  bool number_float(Json::number_float_t, const std::string&) override { return true; }
  bool string(std::string&) override { return true; }
  bool binary(Json::binary_t&) override { return true; }
  bool start_object(std::size_t) override { return names_.emplace_back(), true; }
  bool end_object() override { return names_.pop_back(), true; }
  bool start_array(std::size_t) override { return true; }
  bool end_array() override { return true; }
  bool key(std::string& name) override {
    if (!names_.back().insert(name).second) duplicate = name;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  std::vector<std::set<std::string>> names_;
};

}  // namespace

Result<Json> parse_unambiguous_json(std::string_view text) {
  auto parsed = parse_json(text);
  if (!parsed) return parsed;
  DuplicateFieldFinder finder;
  Json::sax_parse(text, &finder);
  if (!finder.duplicate.empty()) return Status::invalid_argument("two fields are named " + finder.duplicate);
  return parsed;
}

}  // namespace pebblespindle
