#include "config/failover_record.h"

#include "base/json_fields.h"
#include "config/state_rows.h"

namespace pebblespindle {
namespace {

Json encode_call(const PromoteCall& call) {
  return {{"n", call.number}, {"to", call.successor.value}, {"k", call.fencing_token}, {"t", call.term}};
}

PromoteCall decode_call(const Json& fields) {
  return {
      number(fields, "n"), {field<std::string>(fields, "to", "")}, number(fields, "k"), number(fields, "t")};
}

}  // namespace

std::string failover_key(const std::string& service) {
  return kFailoverPrefix + service;
}

std::string departed_key(const InstanceId& id) {
  return kDepartedPrefix + id.value;
}

std::string encode_failover(const FailoverRecord& record) {
  Json calls = Json::array();
  for (auto& call : record.calls) calls.push_back(encode_call(call));
  Json fields{{"id", record.id}, {"why", record.reason}, {"k", record.fencing_token}, {"calls", calls}};
  if (record.earlier_calls_unknown) fields["u"] = true;
  return fields.dump();
}

std::optional<FailoverRecord> decode_failover(const std::string& value) {
  const Json fields = Json::parse(value, nullptr, false);
  if (!fields.is_object()) return std::nullopt;
  FailoverRecord record{field<std::string>(fields, "id", ""),
                        field<std::string>(fields, "why", ""),
                        number(fields, "k"),
                        {},
                        field<bool>(fields, "u", false)};
  const auto calls = fields.find("calls");
  if (calls == fields.end() || !calls->is_array()) return record;
  for (auto& call : *calls)
    if (call.is_object()) record.calls.push_back(decode_call(call));
  return record;
}

std::string encode_departed(const DepartedInstance& departed) {
  return Json{{"i", encode_instance(departed.instance)}, {"heir", departed.replacement.value}}.dump();
}

std::optional<DepartedInstance> decode_departed(const InstanceId& id, const std::string& value) {
  const Json fields = Json::parse(value, nullptr, false);
  if (!fields.is_object()) return std::nullopt;
  auto instance = decode_instance(id, field<std::string>(fields, "i", ""));
  if (!instance) return std::nullopt;
  return DepartedInstance{*instance, {field<std::string>(fields, "heir", "")}};
}

}  // namespace pebblespindle
