#include "config/update_validation.h"

#include "config/applied_changes.h"
#include "config/constants.h"

namespace pebblespindle {
namespace {

using replication::ValidationResult;

// PUT brings a whole; PATCH what is to change in the whole that is in place. A refusal is final, so it is
// given only where no later state could answer otherwise: versions rise, and each has one successor.
ValidationResult judge_config(const StateTable& state, const Json& u) {
  const std::string sent = u.value("body", "");
  const bool patch = u.value("op", "") == "patch";
  const std::uint64_t base = u.value("base", std::uint64_t(0));
  const Row* now = state.find(kConfigKey);
  if (!patch && now && now->value == sent) return {};
  Configuration in_place;
  if (const Row* head = state.find(kConfigHeadKey)) enter_part(in_place, head->key, &head->value, {});
  const std::uint64_t current = in_place.revision;
  ValidationResult another{Status::conflict("the version in place is " + std::to_string(current)), {}};
  if (base < current) {
    // One that was taken, and perhaps replaced since, is answered as taken: whoever offers it again has not
    // heard.
    const Fate fate = fate_of(state, patch, base, sent);
    if (fate == Fate::kTaken) return {};
    if (fate == Fate::kUnknown)
      return {Status::unavailable("version " + std::to_string(base) + " is no longer on record"), {}};
    return another;
  }
  ValidationResult on_its_way{Status::unavailable(another.status.message()), {}};  // what it builds on may be
  std::string body;
  if (patch) {
    auto wrong = base > current ? wrong_with_patch(sent) : std::string();
    if (!wrong.empty()) return {Status::invalid_argument(wrong), {}};
    if (base > current) return on_its_way;
    if (!now) return another;
    auto whole = patched(now->value, sent);
    if (!whole) return {Status::invalid_argument(whole.status().message()), {}};
    body = std::move(*whole);
  }
  const std::string& whole = patch ? body : sent;
  auto next = read_configuration(whole);
  if (!next) return {Status::invalid_argument(next.status().message()), {}};
  if (next->revision <= base)
    return {Status::invalid_argument("Revision is not above " + std::to_string(base)), {}};
  if (base > current) return on_its_way;
  // Nodes are told what has changed, whatever the size of the whole.
  ValidationResult v{Status::ok(), taken_rows(state, patch, base, next->revision, sent)};
  v.rows.push_back({kConfigKey, whole, 0, false});
  auto parts = configuration_parts(*next);
  for (auto& prefix : {kServicePrefix, kRoutePrefix, kTenantPrefix})
    state.for_each(prefix, [&](const Row& r) {
      if (!parts.count(r.key)) v.rows.push_back({r.key, {}, 0, true});
    });
  for (auto& [key, value] : parts) {
    const Row* old = state.find(key);
    if (!old || old->value != value) v.rows.push_back({key, value, 0, false});
  }
  return v;
}

ValidationResult judge_instance(const StateTable& state, const Json& u) {
  InstanceId id{u.value("id", "")};
  const std::string text = u.value("v", "");
  auto next = Instance::from(id, text);
  if (!next) return {Status::invalid_argument("not an instance"), {}};
  const Row* now = state.find_including_deleted(instance_key(id));
  if (now && now->deleted) return {};  // it has left; a late call changes nothing
  if (now) {
    auto old = Instance::from(id, now->value);
    if (old && (next->calls <= old->calls || next->same_but_calls(*old))) return {};
  }
  ValidationResult v{Status::ok(), {{instance_key(id), text, 0, false}}};
  // An address has one database at a time: whoever was there before has ended, and came back under a new
  // name.
  const std::string there = "\"" + next->address.text() + "\"";
  if (!now)
    state.for_each("i/", [&](const Row& r) {
      if (r.value.find(there) == std::string::npos) return;  // reading every row would cost far more
      auto other = Instance::from({r.key.substr(2)}, r.value);
      if (other && other->address == next->address) v.rows.push_back({r.key, {}, 0, true});
    });
  // The first primary that names itself leads its service; after that only a failover changes the lead.
  if (next->primary && !state.find(lead_key(next->service)))
    v.rows.push_back({lead_key(next->service), Lead{id, false, false, 0, false}.json().dump(), 0, false});
  return v;
}

ValidationResult judge_leave(const StateTable& state, const Json& u) {
  InstanceId id{u.value("id", "")};
  const Row* now = state.find_including_deleted(instance_key(id));
  if (!now || now->deleted) return {};
  return {Status::ok(), {{instance_key(id), {}, 0, true}}};
}

ValidationResult judge_lead(const StateTable& state, const Json& u) {
  const std::string key = lead_key(u.value("s", ""));
  const std::string next = u.value("v", "");
  const Row* now = state.find(key);
  const std::string current = now ? now->value : std::string();
  if (current == next) return {};
  if (current != u.value("x", "")) return {Status::conflict("the lead has changed"), {}};
  return {Status::ok(), {{key, next, 0, false}}};
}

}  // namespace

Json config_update(std::uint64_t base, const std::string& body) {
  return {{"op", "config"}, {"base", base}, {"body", body}};
}
Json patch_update(std::uint64_t base, const std::string& body) {
  return {{"op", "patch"}, {"base", base}, {"body", body}};
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

std::vector<std::string> feed_lines(std::uint64_t from, std::uint64_t to, const std::vector<Row>& rows) {
  std::vector<Json> pieces;
  std::size_t size = kFeedChunkBytes;
  for (auto& r : rows) {
    // The body as sent and the record of those taken are for the cores; a whole state does not name what is
    // gone.
    if (r.key == kConfigKey || r.key.starts_with(kTakenKey) || (from == 0 && r.deleted)) continue;
    if (size >= kFeedChunkBytes) pieces.push_back(Json::array()), size = 0;
    Json row = Json::array({r.key, r.sequence});
    if (!r.deleted) row.push_back(r.value);
    pieces.back().push_back(std::move(row));
    size += r.key.size() + r.value.size() + 16;
  }
  if (pieces.empty()) pieces.push_back(Json::array());
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    Json m{{"t", "up"}, {"k", to}, {"r", std::move(pieces[i])}};
    if (pieces.size() > 1) m["left"] = pieces.size() - 1 - i;
    if (from == 0) m["whole"] = true;  // it replaces what is held, wherever it has passed through
    lines.push_back(m.dump() + "\n");
  }
  return lines;
}

ValidationResult judge_update(const StateTable& state, const Json& u) {
  if (!u.is_object()) return {Status::invalid_argument("not an update"), {}};
  const std::string op = u.value("op", "");
  if (op == "config" || op == "patch") return judge_config(state, u);
  if (op == "inst") return judge_instance(state, u);
  if (op == "leave") return judge_leave(state, u);
  if (op == "lead") return judge_lead(state, u);
  return {Status::invalid_argument("unknown update"), {}};
}

}  // namespace pebblespindle
