#include "config/commands.h"

#include "base/json_fields.h"
#include "config/state_rows.h"

namespace pebblespindle {
namespace {

Json encode_fields(const PutConfiguration& command) {
  return {{"op", "config"}, {"base", command.base_revision}, {"body", command.body}};
}

Json encode_fields(const PatchConfiguration& command) {
  return {{"op", "patch"}, {"base", command.base_revision}, {"body", command.body}};
}

Json encode_fields(const PutInstance& command) {
  return {{"op", "inst"}, {"id", command.id.value}, {"v", command.value}};
}

Json encode_fields(const RemoveInstance& command) {
  return {{"op", "leave"}, {"id", command.id.value}};
}

Json encode_fields(const RetireInstance& command) {
  return {{"op", "retire"}, {"id", command.id.value}};
}

Json encode_fields(const AssignPrimary& command) {
  return {{"op", "lead"}, {"s", command.service}, {"x", command.expected}, {"v", command.value}};
}

Json encode_fields(const UpdateFailover& command) {
  return {{"op", "failover"},        {"s", command.service},          {"x", command.expected_assignment},
          {"v", command.assignment}, {"rx", command.expected_record}, {"r", command.record}};
}

Json encode_fields(const ForgetDeparted& command) {
  return {{"op", "forget"}, {"id", command.id.value}};
}

}  // namespace

Json encode(const StateCommand& command) {
  return std::visit([](auto& typed) { return encode_fields(typed); }, command);
}

Result<StateCommand> decode_command(const Json& encoded) {
  if (!encoded.is_object()) return Status::invalid_argument("not an update");
  const auto text = [&](const char* name) { return field<std::string>(encoded, name, ""); };
  const std::string kind = text("op");
  if (kind == "config") return StateCommand(PutConfiguration{number(encoded, "base"), text("body")});
  if (kind == "patch") return StateCommand(PatchConfiguration{number(encoded, "base"), text("body")});
  if (kind == "inst") return StateCommand(PutInstance{{text("id")}, text("v")});
  if (kind == "leave") return StateCommand(RemoveInstance{{text("id")}});
  if (kind == "retire") return StateCommand(RetireInstance{{text("id")}});
  if (kind == "lead") return StateCommand(AssignPrimary{text("s"), text("x"), text("v")});
  if (kind == "failover")
    return StateCommand(UpdateFailover{text("s"), text("x"), text("v"), text("rx"), text("r")});
  if (kind == "forget") return StateCommand(ForgetDeparted{{text("id")}});
  return Status::invalid_argument("unknown update");
}

Json put_configuration(std::uint64_t base_revision, const std::string& body) {
  return encode(PutConfiguration{base_revision, body});
}

Json patch_configuration(std::uint64_t base_revision, const std::string& body) {
  return encode(PatchConfiguration{base_revision, body});
}

Json put_instance(const Instance& instance) {
  return encode(PutInstance{instance.id, encode_instance(instance)});
}

Json remove_instance(const InstanceId& id) {
  return encode(RemoveInstance{id});
}

Json retire_instance(const InstanceId& id) {
  return encode(RetireInstance{id});
}

Json forget_departed(const InstanceId& id) {
  return encode(ForgetDeparted{id});
}

Json assign_primary(const std::string& service, const std::string& expected, const PrimaryAssignment& next) {
  return encode(AssignPrimary{service, expected, encode_primary(next)});
}

}  // namespace pebblespindle
