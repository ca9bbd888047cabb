#include "pooler/control_feed.h"

#include "base/clock.h"
#include "base/json_fields.h"
#include "membership/constants.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {

bool ControlFeed::handle_line(Millis now, std::string_view line) {
  Json m = Json::parse(line, nullptr, false);
  if (!m.is_object()) return false;
  const std::string t = field<std::string>(m, "t", "");
  if (t == "up") {
    auto rows = decode_rows(m["r"]);
    if (!rows) return false;
    engine_.apply_update(number(m, "k"), std::move(*rows), field(m, "whole", false));
    return true;
  }
  if (t == "depth") {
    apply_position(now, m);
  } else if (t == "avoid") {
    engine_.avoid_reads({field<std::string>(m, "id", "")});
  } else if (t == "tight") {
    engine_.note_connection_limit({field<std::string>(m, "id", "")});
  } else if (t == "paid") {
    controller_ = field<std::string>(m, "from", "");
    const auto sum = field<quota::Rights>(m, "sum", -1);
    if (sum <= kMaxReportedValue) engine_.on_quota_granted(field<std::string>(m, "s", ""), controller_, sum);
  } else if (t == "grant") {
    apply_grant(now, m);
  }
  return false;
}

// A lease is counted from the time at which this node requested it. A lease requested over an earlier link is
// ignored, because the controller has been told that its holder is gone.
void ControlFeed::apply_grant(Millis now, const Json& m) {
  const Millis at = field<Millis>(m, "at", -1), ms = field<Millis>(m, "ms", 0);
  const Millis clock = field<Millis>(m, "c", 0);
  if (!requested_on_this_link(now, at)) return;
  if (clock >= 0 && clock <= kMaxReportedValue) engine_.note_controller_clock(number(m, "life"), clock);
  engine_.extend_lease(at + std::clamp<Millis>(ms, 0, kNodeLeaseMs) - kClockDriftMarginMs, number(m, "k"),
                       std::size_t(std::min<std::uint64_t>(number(m, "n"), kMaxNodes)));
}

void ControlFeed::apply_position(Millis now, const Json& m) {
  const Millis at = field<Millis>(m, "at", -1), age = field<Millis>(m, "age", -1);
  auto p = Position::parse(field<std::string>(m, "p", ""));
  if (!requested_on_this_link(now, at)) return;
  if (age < 0 || age > kMaxPositionAgeMs) p.reset();  // no position, or one too old for any route
  engine_.on_position_reply(field<std::string>(m, "s", ""), p ? at - age : at, p);
}

}  // namespace pebblespindle::pooler
