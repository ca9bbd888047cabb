// A view: the ordered members of the chain, head first, agreed by a majority of the founders.
#pragma once
#include <string>
#include <vector>

#include "keel/schema.h"

namespace pebblespindle::chain {

using CoreName = std::string;

struct View {
  struct Member {
    CoreName name;
    std::uint64_t joined = 0;  // the view since which it has been a member without a gap
    bool operator==(const Member&) const = default;
  };
  std::uint64_t number = 0;
  std::vector<Member> members;

  const Member* find(const CoreName& name) const;
  bool has(const CoreName& name) const { return find(name) != nullptr; }
  CoreName head() const { return members.empty() ? CoreName() : members.front().name; }
  CoreName tail() const { return members.empty() ? CoreName() : members.back().name; }
  CoreName after(const CoreName& name) const;   // empty at the tail
  CoreName before(const CoreName& name) const;  // empty at the head
  Json json() const;
  static std::optional<View> from(const Json& j);
  bool operator==(const View&) const = default;
};

}  // namespace pebblespindle::chain
