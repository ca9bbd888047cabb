// A view: the ordered members of the chain, head first, and the voters that decide the view after it.
#pragma once
#include <optional>
#include <vector>

#include "base/json_schema.h"
#include "replication/types.h"

namespace pebblespindle::replication {

struct View {
  struct Member {
    ReplicaId id;
    ViewNumber joined = 0;  // the view since which it has been a member without a gap
    bool operator==(const Member&) const = default;
  };
  ViewNumber number = 0;  // 0: no view is known
  TermNumber term = 0;
  std::vector<Member> members;
  std::vector<ReplicaId> voters;  // sorted

  const Member* find(const ReplicaId& id) const;  // null when it is no member
  bool has_member(const ReplicaId& id) const { return find(id) != nullptr; }
  bool has_voter(const ReplicaId& id) const;
  std::size_t majority() const { return voters.size() / 2 + 1; }
  // Each is empty where there is none.
  ReplicaId head() const { return members.empty() ? ReplicaId() : members.front().id; }
  ReplicaId tail() const { return members.empty() ? ReplicaId() : members.back().id; }
  ReplicaId successor(const ReplicaId& id) const;
  ReplicaId predecessor(const ReplicaId& id) const;
  // Whether it could have been proposed on top of `former`: a majority stays, in its order, and at most one
  // voter changes.
  bool is_valid_successor_of(const View& former) const;
  bool operator==(const View&) const = default;
};

// The form in messages and on the disk.
Json encode_view(const View& view);
// None when it is not a view.
std::optional<View> decode_view(const Json& encoded);

}  // namespace pebblespindle::replication
