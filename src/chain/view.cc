#include "chain/view.h"

namespace pebblespindle::chain {

const View::Member* View::find(const CoreName& name) const {
  for (auto& m : members)
    if (m.name == name) return &m;
  return nullptr;
}

CoreName View::after(const CoreName& name) const {
  for (std::size_t i = 0; i + 1 < members.size(); ++i)
    if (members[i].name == name) return members[i + 1].name;
  return {};
}

CoreName View::before(const CoreName& name) const {
  for (std::size_t i = 1; i < members.size(); ++i)
    if (members[i].name == name) return members[i - 1].name;
  return {};
}

Json View::json() const {
  Json m = Json::array();
  for (auto& x : members) m.push_back(Json::array({x.name, x.joined}));
  return Json{{"n", number}, {"m", m}};
}

std::optional<View> View::from(const Json& j) {
  if (!j.is_object() || !j.contains("n") || !j["n"].is_number_unsigned() || !j.contains("m") ||
      !j["m"].is_array())
    return std::nullopt;
  View v;
  v.number = j["n"];
  for (auto& e : j["m"]) {
    if (!e.is_array() || e.size() != 2 || !e[0].is_string() || !e[1].is_number_unsigned())
      return std::nullopt;
    v.members.push_back({e[0], e[1]});
  }
  return v;
}

}  // namespace pebblespindle::chain
