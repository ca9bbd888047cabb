#include "agent/relay.h"

#include "base/json_fields.h"

namespace pebblespindle {

void Relay::core_up() {
  core_ = true;
  hold_.relinked();
  port_.to_core(Json{{"t", "hi"}, {"node", node_}, {"zone", zone_}, {"have", hold_.number()}}.dump() + "\n");
  if (!last_renew_.is_null()) renew(last_renew_);
}

void Relay::leave() {
  if (!core_) return;
  core_ = false;
  port_.leave_core();
}

void Relay::core_line(std::string_view line) {
  if (!core_) return;
  Json m = Json::parse(line, nullptr, false);
  if (!m.is_object()) return leave();
  const std::string t = field<std::string>(m, "t", "");
  if (t == "away") {
    port_.cores(m["l"]);
    leave();
  } else if (t == "cores") {
    port_.cores(m["l"]);
  } else if (t == "up") {
    auto taken = hold_.take(m, line);
    if (taken.torn) return leave();
    if (taken.got) port_.to_core("{\"t\":\"got\"}\n");
    if (proxy_ && !taken.hand_on.empty()) port_.to_proxy(taken.hand_on);
  } else if (t == "grant" || t == "tight" || t == "avoid" || t == "depth" || t == "beaten" || t == "paid") {
    if (proxy_) port_.to_proxy(std::string(line) + "\n");
  }
}

void Relay::proxy_up() {
  if (proxy_) proxy_down();
  proxy_ = true;
  if (hold_.number() > 0) port_.to_proxy(hold_.whole());
}

void Relay::proxy_down() {
  proxy_ = false;
  last_renew_ = Json();
  if (!core_) return;
  port_.to_core(Json{{"t", "bye"}}.dump() + "\n");
  leave();
}

void Relay::proxy_line(std::string_view line) {
  if (!proxy_) return;
  Json m = Json::parse(line, nullptr, false);
  if (!m.is_object()) return;
  if (field<std::string>(m, "t", "") == "renew") return renew(m);
  if (core_) port_.to_core(std::string(line) + "\n");
}

void Relay::renew_alone(Millis now) {
  if (!proxy_) renew(Json{{"t", "renew"}, {"at", now}, {"ack", hold_.number()}});
}

void Relay::renew(const Json& m) {
  if (proxy_) last_renew_ = m;
  if (!core_) return;
  port_.renewing();
  port_.to_core(m.dump() + "\n");
}

}  // namespace pebblespindle
