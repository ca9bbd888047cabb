// A view: the members of the chain in order, head first, and the voters that agree on the next view.
#pragma once
#include <optional>
#include <vector>

#include "base/json_schema.h"
#include "replication/types.h"

namespace pebblespindle::replication {

struct View {
  struct Member {
    ReplicaId id;
    ViewNumber joined = 0;  // the view since which it has been a member without interruption
    bool operator==(const Member&) const = default;
  };
  ViewNumber number = 0;  // 0: no view is known
  TermNumber term = 0;
  std::vector<Member> members;
  std::vector<ReplicaId> voters;  // sorted

  const Member* find(const ReplicaId& id) const;  // null if it is not a member
  bool has_member(const ReplicaId& id) const { return find(id) != nullptr; }
  bool has_voter(const ReplicaId& id) const;
  std::size_t majority() const { return voters.size() / 2 + 1; }
  // Each is empty if there is none.
  ReplicaId head() const { return members.empty() ? ReplicaId() : members.front().id; }
  ReplicaId tail() const { return members.empty() ? ReplicaId() : members.back().id; }
  ReplicaId successor(const ReplicaId& id) const;
  ReplicaId predecessor(const ReplicaId& id) const;
  // Whether this view may directly follow `former`: it has at least as many members as a majority of the
  // former voters, keeps the members that stay in their order, and changes at most one voter.
  bool is_valid_successor_of(const View& former) const;
  bool operator==(const View&) const = default;
};

// The encoding in messages and on disk.
Json encode_view(const View& view);
// Returns none if the encoding is malformed or the view is inconsistent.
std::optional<View> decode_view(const Json& encoded);

}  // namespace pebblespindle::replication
