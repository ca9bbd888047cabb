#include "ordinance/ordinance.h"

namespace pebblespindle {
namespace {

using chain::Verdict;

Verdict judge_config(const Ledger& ledger, const Json& u) {
  const std::string body = u.value("body", "");
  const Row* now = ledger.find(kConfigKey);
  if (now && now->value == body) return {};
  auto next = read_configuration(body);
  if (!next) return {400, next.reason, {}};
  std::uint64_t current = 0;
  if (now) {
    auto c = read_configuration(now->value);
    if (c) current = c.value->revision;
  }
  if (u.value("base", std::uint64_t(0)) != current)
    return {412, "the version in place is " + std::to_string(current), {}};
  if (next.value->revision <= current) return {400, "Revision is not above " + std::to_string(current), {}};
  return {200, {}, {{kConfigKey, body, 0, false}}};
}

Verdict judge_instance(const Ledger& ledger, const Json& u) {
  InstanceId id{u.value("id", "")};
  const std::string text = u.value("v", "");
  auto next = Instance::from(id, text);
  if (!next) return {400, "not an instance", {}};
  const Row* now = ledger.find_any(instance_key(id));
  if (now && now->gone) return {};  // it has left; a late call changes nothing
  if (now) {
    auto old = Instance::from(id, now->value);
    if (old && (next->calls <= old->calls || next->same_but_calls(*old))) return {};
  }
  Verdict v{200, {}, {{instance_key(id), text, 0, false}}};
  // An address has one database at a time: whoever was there before has ended, and came back under a new
  // name.
  if (!now)
    ledger.each("i/", [&](const Row& r) {
      auto other = Instance::from({r.key.substr(2)}, r.value);
      if (other && other->address == next->address) v.rows.push_back({r.key, {}, 0, true});
    });
  // The first primary that names itself leads its service; after that only a failover changes the lead.
  if (next->primary && !ledger.find(lead_key(next->service)))
    v.rows.push_back({lead_key(next->service), Lead{id, false, false, 0, false}.json().dump(), 0, false});
  return v;
}

Verdict judge_leave(const Ledger& ledger, const Json& u) {
  InstanceId id{u.value("id", "")};
  const Row* now = ledger.find_any(instance_key(id));
  if (!now || now->gone) return {};
  return {200, {}, {{instance_key(id), {}, 0, true}}};
}

Verdict judge_lead(const Ledger& ledger, const Json& u) {
  const std::string key = lead_key(u.value("s", ""));
  const std::string next = u.value("v", "");
  const Row* now = ledger.find(key);
  const std::string current = now ? now->value : std::string();
  if (current == next) return {};
  if (current != u.value("x", "")) return {412, "the lead has changed", {}};
  return {200, {}, {{key, next, 0, false}}};
}

}  // namespace

Json config_update(std::uint64_t base, const std::string& body) {
  return {{"op", "config"}, {"base", base}, {"body", body}};
}
Json instance_update(const Instance& i) {
  return {{"op", "inst"}, {"id", i.id.value}, {"v", i.json().dump()}};
}
Json leave_update(const InstanceId& id) {
  return {{"op", "leave"}, {"id", id.value}};
}
Json lead_update(const std::string& service, const std::string& expected, const Lead& next) {
  return {{"op", "lead"}, {"s", service}, {"x", expected}, {"v", next.json().dump()}};
}

Verdict judge_update(const Ledger& ledger, const Json& u) {
  if (!u.is_object()) return {400, "not an update", {}};
  const std::string op = u.value("op", "");
  if (op == "config") return judge_config(ledger, u);
  if (op == "inst") return judge_instance(ledger, u);
  if (op == "leave") return judge_leave(ledger, u);
  if (op == "lead") return judge_lead(ledger, u);
  return {400, "unknown update", {}};
}

}  // namespace pebblespindle
