#include "replication/view.h"

#include <algorithm>

namespace pebblespindle::replication {

const View::Member* View::find(const ReplicaId& id) const {
  auto it = std::find_if(members.begin(), members.end(), [&](auto& member) { return member.id == id; });
  return it == members.end() ? nullptr : &*it;
}

bool View::has_voter(const ReplicaId& id) const {
  return std::find(voters.begin(), voters.end(), id) != voters.end();
}

ReplicaId View::successor(const ReplicaId& id) const {
  for (std::size_t i = 0; i + 1 < members.size(); ++i)
    if (members[i].id == id) return members[i + 1].id;
  return {};
}

ReplicaId View::predecessor(const ReplicaId& id) const {
  for (std::size_t i = 1; i < members.size(); ++i)
    if (members[i].id == id) return members[i - 1].id;
  return {};
}

bool View::is_valid_successor_of(const View& former) const {
  if (number != former.number + 1 || members.size() < former.majority()) return false;
  if (term != (head() == former.head() ? former.term : number)) return false;
  std::size_t next = 0;  // members that stay come first, in their former order, then new ones
  for (auto& member : members) {
    if (former.has_member(member.id)) {
      while (next < former.members.size() && !(former.members[next] == member)) ++next;
      if (next++ >= former.members.size()) return false;
    } else {
      if (member.joined != number) return false;
      next = former.members.size();
    }
  }
  const auto kept = std::size_t(
      std::count_if(voters.begin(), voters.end(), [&](auto& voter) { return former.has_voter(voter); }));
  return kept + 1 >= former.voters.size() && kept + 1 >= voters.size();
}

Json encode_view(const View& view) {
  Json members = Json::array();
  for (auto& member : view.members) members.push_back(Json::array({member.id, member.joined}));
  return Json{{"n", view.number}, {"h", view.term}, {"m", members}, {"v", view.voters}};
}

namespace {

bool is_consistent(const View& view) {
  if (view.number == 0 || view.term > view.number || view.members.empty() || view.voters.empty())
    return false;
  for (auto& member : view.members)
    if (member.id.empty() || member.joined > view.number || view.find(member.id) != &member) return false;
  auto voters = view.voters;
  std::sort(voters.begin(), voters.end());
  return !voters.front().empty() && std::adjacent_find(voters.begin(), voters.end()) == voters.end();
}

}  // namespace

std::optional<View> decode_view(const Json& encoded) {
  const auto is_number = [&](const char* field) {
    return encoded.contains(field) && encoded[field].is_number_unsigned();
  };
  const auto is_list = [&](const char* field) {
    return encoded.contains(field) && encoded[field].is_array();
  };
  if (!encoded.is_object() || !is_number("n") || !is_number("h") || !is_list("m") || !is_list("v"))
    return std::nullopt;
  View view;
  view.number = encoded["n"];
  view.term = encoded["h"];
  for (auto& member : encoded["m"]) {
    if (!member.is_array() || member.size() != 2 || !member[0].is_string() || !member[1].is_number_unsigned())
      return std::nullopt;
    view.members.push_back({member[0], member[1]});
  }
  for (auto& voter : encoded["v"]) {
    if (!voter.is_string()) return std::nullopt;
    view.voters.push_back(voter);
  }
  if (!is_consistent(view)) return std::nullopt;
  return view;
}

}  // namespace pebblespindle::replication
