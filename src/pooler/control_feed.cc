#include "pooler/control_feed.h"

#include "base/clock.h"
#include "base/json_fields.h"
#include "membership/constants.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {

bool ControlFeed::handle_line(Millis now, std::string_view line) {
  Json message = parse_message(line);
  if (!message.is_object()) return false;
  const std::string type = field<std::string>(message, "t", "");
  if (type == "up") {
    auto rows = decode_rows(message["r"]);
    if (!rows) return false;
    engine_.apply_update(number(message, "k"), std::move(*rows), field(message, "whole", false));
    return true;
  }
  if (type == "depth") {
    apply_position(now, message);
  } else if (type == "avoid") {
    engine_.avoid_reads({field<std::string>(message, "id", "")});
  } else if (type == "tight") {
    engine_.note_connection_limit({field<std::string>(message, "id", "")});
  } else if (type == "paid") {
    controller_ = field<std::string>(message, "from", "");
    const auto sum = field<quota::Rights>(message, "sum", -1);
    if (sum <= kMaxReportedValue)
      engine_.on_quota_granted(field<std::string>(message, "s", ""), controller_, sum);
  } else if (type == "grant") {
    apply_grant(now, message);
  }
  return false;
}

// A lease is counted from the time at which this node requested it. A lease requested over an earlier link is
// ignored, because the controller has been told that its holder is gone.
void ControlFeed::apply_grant(Millis now, const Json& message) {
  const Millis at = field<Millis>(message, "at", -1), duration_ms = field<Millis>(message, "ms", 0);
  const Millis clock = field<Millis>(message, "c", 0);
  if (!requested_on_this_link(now, at)) return;
  if (clock >= 0 && clock <= kMaxReportedValue) engine_.note_controller_clock(number(message, "life"), clock);
  engine_.extend_lease(at + std::clamp<Millis>(duration_ms, 0, kNodeLeaseMs) - kClockDriftMarginMs,
                       number(message, "k"),
                       std::size_t(std::min<std::uint64_t>(number(message, "n"), kMaxNodes)));
}

void ControlFeed::apply_position(Millis now, const Json& message) {
  const Millis at = field<Millis>(message, "at", -1), age = field<Millis>(message, "age", -1);
  auto position = Position::parse(field<std::string>(message, "p", ""));
  if (!requested_on_this_link(now, at)) return;
  if (age < 0 || age > kMaxPositionAgeMs) position.reset();  // no position, or one too old for any route
  engine_.on_position_reply(field<std::string>(message, "s", ""), position ? at - age : at, position);
}

}  // namespace pebblespindle::pooler
