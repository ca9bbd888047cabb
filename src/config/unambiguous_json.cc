#include "config/unambiguous_json.h"

#include <set>
#include <vector>

namespace pebblespindle {
namespace {

// Finds an object with two fields of the same name. This is a separate pass over the text because parsing
// with a callback is slow: as the callback may discard values, the library searches the whole array after
// each item.
class DuplicateFieldFinder : public nlohmann::json_sax<Json> {
 public:
  std::string duplicate;  // name of the last duplicate field; empty if there is none
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(Json::number_integer_t) override { return true; }
  bool number_unsigned(Json::number_unsigned_t) override { return true; }
  bool number_float(Json::number_float_t, const std::string&) override { return true; }
  bool string(std::string&) override { return true; }
  bool binary(Json::binary_t&) override { return true; }
  bool start_object(std::size_t) override { return open_objects_.emplace_back(), true; }
  bool end_object() override { return open_objects_.pop_back(), true; }
  bool start_array(std::size_t) override { return true; }
  bool end_array() override { return true; }
  bool key(std::string& name) override {
    if (!open_objects_.back().insert(name).second) duplicate = name;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  std::vector<std::set<std::string>> open_objects_;  // field names seen so far, innermost object last
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
