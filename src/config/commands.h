// The commands that change the replicated state, and their JSON encoding.
//
// A controller submits the encoded command to its replica; the head of the chain decodes and validates it
// (config/command_validation.h).
#pragma once
#include <string>
#include <variant>

#include "base/json_schema.h"
#include "config/failover_record.h"
#include "config/instance.h"

namespace pebblespindle {

struct PutConfiguration {
  std::uint64_t base_revision = 0;  // the revision that it replaces; 0 for the first one
  std::string body;                 // JSON, as the operator sent it
};
struct PatchConfiguration {
  std::uint64_t base_revision = 0;
  std::string body;
};
struct PutInstance {
  InstanceId id;
  std::string value;  // encode_instance()
};
// Sent by builds that do not record departed databases.
struct RemoveInstance {
  InstanceId id;
};
// A database has announced its shutdown. It is deregistered and, if its service has a primary, recorded as
// departed, because its log may hold commits that no other database has.
struct RetireInstance {
  InstanceId id;
};
// Replaces the primary assignment of a service if it still equals `expected` (compare-and-swap).
struct AssignPrimary {
  std::string service;
  std::string expected;  // the current value of the row; empty if there is none
  std::string value;     // encode_primary()
};
// A step of a failover: replaces assignment and failover record in one change if both still equal the
// expected values (compare-and-swap).
struct UpdateFailover {
  std::string service;
  std::string expected_assignment, assignment;  // encode_primary()
  std::string expected_record, record;          // encode_failover(); empty: no record
};
// Removes the record of a departed database, once a registered database is known to have all of its log.
struct ForgetDeparted {
  InstanceId id;
};
using StateCommand = std::variant<PutConfiguration, PatchConfiguration, PutInstance, RemoveInstance,
                                  RetireInstance, AssignPrimary, UpdateFailover, ForgetDeparted>;

Json encode(const StateCommand& command);
// Returns kInvalidArgument if the value is not a command or its kind is unknown.
Result<StateCommand> decode_command(const Json& encoded);

// Shorthands that build and encode a command.
Json put_configuration(std::uint64_t base_revision, const std::string& body);
Json patch_configuration(std::uint64_t base_revision, const std::string& body);
Json put_instance(const Instance& instance);
Json remove_instance(const InstanceId& id);
Json retire_instance(const InstanceId& id);
Json forget_departed(const InstanceId& id);
Json assign_primary(const std::string& service, const std::string& expected, const PrimaryAssignment& next);

}  // namespace pebblespindle
