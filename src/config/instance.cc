#include "config/instance.h"

#include <algorithm>

#include "base/json_schema.h"
#include "base/text.h"

namespace pebblespindle {
namespace {

const Schema& heartbeat_schema() {
  static const Schema schema(R"({
    "type": "object",
    "required": ["TargetService", "Address", "Zone", "State", "CallCount"],
    "properties": {
      "TargetService": {"type": "string", "minLength": 1},
      "Address": {"type": "string"},
      "Zone": {"type": "string"},
      "Capacity": {"type": "number", "minimum": 0},
      "State": {"enum": ["available", "draining"]},
      "DatabaseRole": {"enum": ["primary", "replica"]},
      "CallCount": {"type": "integer", "minimum": 0}
    }
  })");
  return schema;
}

}  // namespace

bool Instance::equals_ignoring_call_count(const Instance& other) const {
  return service == other.service && zone == other.zone && address == other.address &&
         capacity == other.capacity && draining == other.draining && primary == other.primary;
}

Result<Instance> read_instance_heartbeat(const std::string& id, std::string_view body) {
  auto parsed = parse_json(body);
  if (!parsed) return parsed.status();
  const Json& fields = *parsed;
  if (auto error = heartbeat_schema().check(fields); !error.empty()) return Status::invalid_argument(error);
  for (const char* field : {"TargetService", "Zone"})
    if (has_control_character(fields[field].get_ref<const std::string&>()))
      return Status::invalid_argument(std::string(field) + " holds a control character");
  if (has_control_character(id)) return Status::invalid_argument("the id holds a control character");
  auto address = Endpoint::parse(fields["Address"].get<std::string>());
  if (!address) return Status::invalid_argument("Address: not an address with a port");
  Instance instance;
  instance.id = {id};
  instance.address = *address;
  instance.service = fields["TargetService"];
  instance.zone = fields["Zone"];
  instance.capacity = fields.contains("Capacity") ? std::max(1, int(fields["Capacity"].get<double>())) : 1;
  instance.draining = fields["State"] == "draining";
  instance.primary = fields.value("DatabaseRole", "") == "primary";
  instance.call_count = fields["CallCount"];
  return instance;
}

}  // namespace pebblespindle
