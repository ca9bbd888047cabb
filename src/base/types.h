// Strong small types shared by all parts.
#pragma once
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pebblespindle {

using Millis = std::int64_t;   // a duration
using Instant = std::int64_t;  // milliseconds on the steady clock of this process, handed in by whoever
                               // drives a state machine

// Numbers the changes of the replicated state: each committed change has its own, and they rise by one.
using SequenceNumber = std::uint64_t;

// A place in a database's log: TERM.NUMBER on the wire.
struct Position {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Position&) const = default;
  bool none() const { return term == 0 && number == 0; }
  std::string text() const;
  static std::optional<Position> parse(std::string_view text);
};

struct InstanceId {
  std::string value;
  auto operator<=>(const InstanceId&) const = default;
  bool empty() const { return value.empty(); }
};

}  // namespace pebblespindle

template <>
struct std::hash<pebblespindle::InstanceId> {
  std::size_t operator()(const pebblespindle::InstanceId& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};
