#include "agent/relay.h"

#include <set>

#include "base/json_fields.h"

namespace pebblespindle {
namespace {

// Messages of the controller that are for the proxy, and go to it as they are.
bool is_for_proxy(const std::string& type) {
  static const std::set<std::string> types{"grant", "tight", "avoid", "depth", "beaten", "paid"};
  return types.count(type) > 0;
}

}  // namespace

void Relay::on_controller_up() {
  controller_up_ = true;
  cache_.on_new_link();
  const Json hello{{"t", "hi"}, {"node", node_}, {"zone", zone_}, {"have", cache_.sequence()}};
  port_.send_to_controller(hello.dump() + "\n");
  if (!last_renewal_.is_null()) renew(last_renewal_);
}

void Relay::leave_controller() {
  if (!controller_up_) return;
  controller_up_ = false;
  port_.leave_controller();
}

void Relay::on_controller_line(std::string_view line) {
  if (!controller_up_) return;
  Json message = parse_message(line);
  if (!message.is_object()) return leave_controller();
  const std::string type = field<std::string>(message, "t", "");
  if (type == "away") {
    port_.on_controller_list(message["l"]);
    leave_controller();
  } else if (type == "cores") {
    port_.on_controller_list(message["l"]);
  } else if (type == "up") {
    apply_feed(message, line);
  } else if (is_for_proxy(type) && proxy_up_) {
    port_.send_to_proxy(std::string(line) + "\n");
  }
}

void Relay::apply_feed(const Json& feed, std::string_view line) {
  const auto applied = cache_.apply(feed, line);
  if (applied.out_of_order) return leave_controller();
  if (applied.acknowledge) port_.send_to_controller("{\"t\":\"got\"}\n");
  if (proxy_up_ && !applied.forward.empty()) port_.send_to_proxy(applied.forward);
}

void Relay::on_proxy_up() {
  if (proxy_up_) on_proxy_down();
  proxy_up_ = true;
  if (cache_.sequence() > 0) port_.send_to_proxy(cache_.encode_whole_state());
}

void Relay::on_proxy_down() {
  proxy_up_ = false;
  last_renewal_ = Json();
  if (!controller_up_) return;
  port_.send_to_controller(Json{{"t", "bye"}}.dump() + "\n");
  leave_controller();
}

void Relay::on_proxy_line(std::string_view line) {
  if (!proxy_up_) return;
  const Json message = parse_message(line);
  if (!message.is_object()) return;
  if (field<std::string>(message, "t", "") == "renew") return renew(message);
  if (controller_up_) port_.send_to_controller(std::string(line) + "\n");
}

void Relay::renew_without_proxy(Instant now) {
  if (!proxy_up_) renew(Json{{"t", "renew"}, {"at", now}, {"ack", cache_.sequence()}});
}

void Relay::renew(const Json& renewal) {
  if (proxy_up_) last_renewal_ = renewal;
  if (!controller_up_) return;
  port_.on_renewal_sent();
  port_.send_to_controller(renewal.dump() + "\n");
}

}  // namespace pebblespindle
