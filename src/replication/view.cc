#include "replication/view.h"

#include <algorithm>

namespace pebblespindle::replication {

std::string host_of(const CoreName& name) {
  return name.substr(0, name.find('~'));
}

const View::Member* View::find(const CoreName& name) const {
  for (auto& m : members)
    if (m.name == name) return &m;
  return nullptr;
}

bool View::votes(const CoreName& name) const {
  return std::find(voters.begin(), voters.end(), name) != voters.end();
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

bool View::follows(const View& former) const {
  if (number != former.number + 1 || members.size() < former.majority()) return false;
  if (headed != (head() == former.head() ? former.headed : number)) return false;
  std::size_t at = 0;  // the members kept stand in their order, then those that join
  for (auto& m : members) {
    if (former.has(m.name)) {
      while (at < former.members.size() && !(former.members[at] == m)) ++at;
      if (at++ >= former.members.size()) return false;
    } else {
      if (m.joined != number) return false;
      at = former.members.size();
    }
  }
  auto kept = std::size_t(
      std::count_if(voters.begin(), voters.end(), [&](const CoreName& v) { return former.votes(v); }));
  return kept + 1 >= former.voters.size() && kept + 1 >= voters.size();
}

Json View::json() const {
  Json m = Json::array();
  for (auto& x : members) m.push_back(Json::array({x.name, x.joined}));
  return Json{{"n", number}, {"h", headed}, {"m", m}, {"v", voters}};
}

std::optional<View> View::from(const Json& j) {
  auto is_number = [&](const char* f) { return j.contains(f) && j[f].is_number_unsigned(); };
  auto is_list = [&](const char* f) { return j.contains(f) && j[f].is_array(); };
  if (!j.is_object() || !is_number("n") || !is_number("h") || !is_list("m") || !is_list("v"))
    return std::nullopt;
  View v;
  v.number = j["n"];
  v.headed = j["h"];
  for (auto& e : j["m"]) {
    if (!e.is_array() || e.size() != 2 || !e[0].is_string() || !e[1].is_number_unsigned())
      return std::nullopt;
    v.members.push_back({e[0], e[1]});
  }
  for (auto& e : j["v"]) {
    if (!e.is_string()) return std::nullopt;
    v.voters.push_back(e);
  }
  if (v.number == 0 || v.headed > v.number || v.members.empty() || v.voters.empty()) return std::nullopt;
  for (std::size_t i = 0; i < v.members.size(); ++i)
    if (v.members[i].name.empty() || v.members[i].joined > v.number ||
        v.find(v.members[i].name) != &v.members[i])
      return std::nullopt;
  auto names = v.voters;
  std::sort(names.begin(), names.end());
  if (names.front().empty() || std::adjacent_find(names.begin(), names.end()) != names.end())
    return std::nullopt;
  return v;
}

}  // namespace pebblespindle::replication
