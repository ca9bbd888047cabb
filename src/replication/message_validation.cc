#include "replication/message_validation.h"

#include <map>

#include "base/constants.h"
#include "base/json_fields.h"
#include "replication/view.h"

namespace pebblespindle::replication {
namespace {

bool counts(const Json& j) {
  if (!j.is_number_integer() || (!j.is_number_unsigned() && j.get<std::int64_t>() < 0)) return false;
  return j.get<std::uint64_t>() <= constants::kMaxNumber;
}

// The fields a message must have; those after the bar may lack.
struct Shape {
  std::vector<const char*> numbers, strings, lists, views;
  std::vector<const char*> maybe_numbers, maybe_strings, maybe_lists, maybe_flags, maybe_views;
};

const std::map<std::string, Shape>& shapes() {
  static const std::map<std::string, Shape> all{
      {"b", {{"v", "s", "at"}, {}, {}, {}, {"l"}, {}, {}, {"u", "x", "w"}, {}}},
      {"have", {{"n", "q", "s", "c", "k", "kt"}, {}, {}, {}, {}, {}, {}, {}, {}}},
      {"pc", {{"n", "q"}, {}, {"r"}, {}, {"trimmed", "size"}, {}, {"e"}, {"new"}, {}}},
      {"ask", {{"n"}, {}, {}, {}, {}, {}, {}, {}, {}}},
      {"a", {{"v", "at"}, {}, {}, {}, {}, {}, {}, {}, {}}},
      {"up", {{"n", "k", "base", "bt"}, {}, {"r"}, {}, {"q"}, {}, {"o", "e"}, {}, {}}},
      {"com", {{"n", "k"}, {}, {}, {}, {}, {}, {}, {}, {}}},
      {"sub", {{"id", "n", "q"}, {}, {}, {}, {}, {}, {}, {}, {}}},
      {"done", {{"id", "s"}, {}, {}, {}, {"q"}, {"why"}, {}, {}, {}}},
      {"read", {{"id"}, {"key"}, {}, {}, {}, {}, {}, {}, {}}},
      {"val", {{"id"}, {}, {}, {}, {}, {"v"}, {}, {}, {}}},
      {"prep", {{"n", "b"}, {}, {}, {}, {}, {}, {}, {}, {}}},
      {"prom", {{"n", "b", "s"}, {}, {}, {}, {"ab"}, {}, {}, {}, {"av"}}},
      {"acc", {{"n", "b"}, {}, {}, {"view"}, {}, {}, {}, {}, {}}},
      {"accd", {{"n", "b"}, {}, {}, {}, {}, {}, {}, {}, {}}},
      {"dec", {{}, {}, {}, {"view"}, {}, {}, {}, {}, {}}},
  };
  return all;
}

}  // namespace

bool well_formed(const Json& m) {
  if (!m.is_object()) return false;
  const std::string t = field<std::string>(m, "t", "");
  auto shape = shapes().find(t);
  if (shape == shapes().end()) return !t.empty();  // a word of a newer release: not understood, no harm
  auto each = [&](const std::vector<const char*>& names, bool needed, auto good) {
    for (auto* name : names) {
      auto it = m.find(name);
      if (it == m.end() ? needed : !good(*it)) return false;
    }
    return true;
  };
  auto text = [](const Json& j) { return j.is_string(); };
  auto list = [](const Json& j) { return j.is_array(); };
  auto flag = [](const Json& j) { return j.is_boolean(); };
  auto view = [](const Json& j) { return View::from(j).has_value(); };
  const Shape& s = shape->second;
  if (!each(s.numbers, true, counts) || !each(s.strings, true, text) || !each(s.lists, true, list) ||
      !each(s.views, true, view) || !each(s.maybe_numbers, false, counts) ||
      !each(s.maybe_strings, false, text) || !each(s.maybe_lists, false, list) ||
      !each(s.maybe_flags, false, flag) || !each(s.maybe_views, false, view))
    return false;
  if (t == "sub") return m.contains("u") && m["u"].is_object();
  if (t == "done") return number(m, "s") >= 100 && number(m, "s") < 600;
  if (t == "acc") return View::from(m["view"])->number == number(m, "n");
  if (t == "prom") return m.contains("ab") == m.contains("av");
  if (t == "up") {
    if (number(m, "base") > number(m, "k")) return false;  // an impossible base
    if (!m.contains("o")) return true;
    for (auto& o : m["o"])
      if (!o.is_array() || o.size() != 3 || !counts(o[0]) || !o[1].is_string() || !counts(o[2])) return false;
  }
  return true;
}

}  // namespace pebblespindle::replication
