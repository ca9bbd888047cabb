// Strong small types shared by all parts.
#pragma once
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pebblespindle {

using Millis = std::int64_t;  // steady time, handed in by whoever drives a state machine

// A place in a database's log: TERM.NUMBER on the wire.
struct Position {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Position&) const = default;
  bool none() const { return term == 0 && number == 0; }
  std::string text() const;
  static std::optional<Position> parse(std::string_view s);
};

struct InstanceId {
  std::string value;
  auto operator<=>(const InstanceId&) const = default;
  bool empty() const { return value.empty(); }
};

// An outcome that carries either a value or a one-line reason.
template <class T>
struct Outcome {
  std::optional<T> value;
  std::string reason;
  explicit operator bool() const { return value.has_value(); }
  static Outcome ok(T v) { return {std::move(v), {}}; }
  static Outcome fail(std::string why) { return {std::nullopt, std::move(why)}; }
};

}  // namespace pebblespindle

template <>
struct std::hash<pebblespindle::InstanceId> {
  std::size_t operator()(const pebblespindle::InstanceId& i) const noexcept {
    return std::hash<std::string>()(i.value);
  }
};
