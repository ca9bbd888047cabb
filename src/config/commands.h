// The commands that change the replicated state, and their form in messages.
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
  std::uint64_t base_revision = 0;  // the version that it builds on; 0 for the first
  std::string body;                 // as the operator sent it
};
struct PatchConfiguration {
  std::uint64_t base_revision = 0;
  std::string body;
};
struct PutInstance {
  InstanceId id;
  std::string value;  // encode_instance()
};
// As builds send it that keep no record of databases that have left.
struct RemoveInstance {
  InstanceId id;
};
// A database has announced its end: it is no longer registered, and is remembered as departed where its log
// counts.
struct RetireInstance {
  InstanceId id;
};
// Only if the assignment still stands as expected.
struct AssignPrimary {
  std::string service;
  std::string expected;  // the row's value; empty: none yet
  std::string value;     // encode_primary()
};
// A step of a failover: assignment and record change together, only if both still stand as expected.
struct UpdateFailover {
  std::string service;
  std::string expected_assignment, assignment;  // encode_primary()
  std::string expected_record, record;          // encode_failover(); empty: none
};
// The log of a database that has left is known to be covered by one that stays.
struct ForgetDeparted {
  InstanceId id;
};
using StateCommand = std::variant<PutConfiguration, PatchConfiguration, PutInstance, RemoveInstance,
                                  RetireInstance, AssignPrimary, UpdateFailover, ForgetDeparted>;

Json encode(const StateCommand& command);
// kInvalidArgument for what is no command, or one of an unknown kind.
Result<StateCommand> decode_command(const Json& encoded);

// The encoded forms, for callers that submit.
Json put_configuration(std::uint64_t base_revision, const std::string& body);
Json patch_configuration(std::uint64_t base_revision, const std::string& body);
Json put_instance(const Instance& instance);
Json remove_instance(const InstanceId& id);
Json retire_instance(const InstanceId& id);
Json forget_departed(const InstanceId& id);
Json assign_primary(const std::string& service, const std::string& expected, const PrimaryAssignment& next);

}  // namespace pebblespindle
