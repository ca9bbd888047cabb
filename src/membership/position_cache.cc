#include "membership/position_cache.h"

#include "membership/constants.h"

namespace pebblespindle {

Status PositionCache::report(Instant now, const std::string& service, const Position& position,
                             Instant asked_at) {
  if (asked_at > now) return Status::invalid_argument("a position that was asked for in the future");
  if (position.none()) return Status::invalid_argument("a position of no log");
  Entry& entry = positions_[service];
  const bool newer = !entry.asked_at || (position >= entry.position && asked_at > *entry.asked_at);
  if (newer && asked_at >= 0) entry = {position, asked_at};
  return Status::ok();
}

std::optional<PositionCache::Answer> PositionCache::find(Instant now, const std::string& service) const {
  auto it = positions_.find(service);
  if (it == positions_.end() || !it->second.asked_at) return std::nullopt;
  const Millis age = now + 1 - *it->second.asked_at;  // clocks are cut to whole milliseconds
  if (age > kMaxPositionAgeMs) return std::nullopt;
  return Answer{it->second.position, age};
}

}  // namespace pebblespindle
