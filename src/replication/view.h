// A view: the ordered members of the chain, head first, and the cores that vote on the next view.
#pragma once
#include <string>
#include <vector>

#include "base/json_schema.h"

namespace pebblespindle::replication {

// A core's identity: its host, and for a core that started on an empty disk after the first start also a
// mark drawn then ("10.1.0.4~9f31"). A disk that is lost takes the identity, and its votes, with it.
using CoreName = std::string;
std::string host_of(const CoreName& name);

struct View {
  struct Member {
    CoreName name;
    std::uint64_t joined = 0;  // the view since which it has been a member without a gap
    bool operator==(const Member&) const = default;
  };
  std::uint64_t number = 0;
  std::uint64_t headed = 0;  // the view since which the head has been the head: the duty's token
  std::vector<Member> members;
  std::vector<CoreName> voters;  // they decide the view after this one

  const Member* find(const CoreName& name) const;
  bool has(const CoreName& name) const { return find(name) != nullptr; }
  bool votes(const CoreName& name) const;
  std::size_t majority() const { return voters.size() / 2 + 1; }
  CoreName head() const { return members.empty() ? CoreName() : members.front().name; }
  CoreName tail() const { return members.empty() ? CoreName() : members.back().name; }
  CoreName after(const CoreName& name) const;   // empty at the tail
  CoreName before(const CoreName& name) const;  // empty at the head
  bool follows(const View& former) const;       // could have been proposed on top of it
  Json json() const;
  static std::optional<View> from(const Json& j);
  bool operator==(const View&) const = default;
};

}  // namespace pebblespindle::replication
