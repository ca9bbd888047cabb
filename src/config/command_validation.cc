#include "config/command_validation.h"

#include "config/applied_changes.h"
#include "config/configuration_reader.h"
#include "config/failover_record.h"
#include "config/state_rows.h"

namespace pebblespindle {
namespace {

using replication::ValidationResult;

ValidationResult refuse(Status status) {
  return {std::move(status), {}};
}

Row row(std::string key, std::string value) {
  return {std::move(key), std::move(value), 0, false};
}

Row tombstone(std::string key) {
  return {std::move(key), {}, 0, true};
}

std::uint64_t current_revision(const StateTable& state) {
  Configuration head;
  if (const Row* stored = state.find(kConfigurationHeadKey))
    apply_configuration_row(head, stored->key, &stored->value, {});
  return head.revision;
}

Status revision_conflict(std::uint64_t current) {
  return Status::conflict("the version in place is " + std::to_string(current));
}

// Validates a change whose base revision is no longer current. If the change itself was applied earlier, even
// if other changes followed, the result is Ok: the sender has not received the first answer and tries again.
ValidationResult validate_old_base(const StateTable& state, const ConfigurationChange& change,
                                   std::uint64_t current) {
  switch (find_outcome(state, change)) {
    case ChangeOutcome::kApplied:
      return {};
    case ChangeOutcome::kUnknown:
      return refuse(
          Status::unavailable("version " + std::to_string(change.base_revision) + " is no longer on record"));
    case ChangeOutcome::kNotApplied:
      break;
  }
  return refuse(revision_conflict(current));
}

// Returns the rows that replace the stored configuration by the next one. Only rows that differ are written,
// so that the update sent to nodes is proportional to the change and not to the whole configuration.
std::vector<Row> change_rows(const StateTable& state, const ConfigurationChange& change,
                             const std::string& body, const Configuration& next) {
  auto rows = applied_change_rows(state, change, next.revision);
  rows.push_back(row(kConfigurationKey, body));
  const auto next_rows = encode_configuration(next);
  for (auto& prefix : {kServicePrefix, kRoutePrefix, kTenantPrefix})
    state.for_each(prefix, [&](const Row& stored) {
      if (!next_rows.count(stored.key)) rows.push_back(tombstone(stored.key));
    });
  for (auto& [key, value] : next_rows) {
    const Row* stored = state.find(key);
    if (!stored || stored->value != value) rows.push_back(row(key, value));
  }
  return rows;
}

// Validates the configuration that results from a change; `body` is its complete text.
ValidationResult validate_next(const StateTable& state, const ConfigurationChange& change,
                               const std::string& body, std::uint64_t current) {
  auto next = read_configuration(body);
  if (!next) return refuse(next.status());
  if (next->revision <= change.base_revision)
    return refuse(Status::invalid_argument("Revision is not above " + std::to_string(change.base_revision)));
  // The command that produces the base revision may still be on its way, so this change may become valid
  // later.
  if (change.base_revision > current)
    return refuse(Status::unavailable(revision_conflict(current).message()));
  return {Status::ok(), change_rows(state, change, body, *next)};
}

ValidationResult validate(const StateTable& state, const PutConfiguration& command) {
  const Row* stored = state.find(kConfigurationKey);
  if (stored && stored->value == command.body) return {};
  const std::uint64_t current = current_revision(state);
  const ConfigurationChange change{ChangeKind::kPut, command.base_revision, command.body};
  if (command.base_revision < current) return validate_old_base(state, change, current);
  return validate_next(state, change, command.body, current);
}

ValidationResult validate(const StateTable& state, const PatchConfiguration& command) {
  const std::uint64_t current = current_revision(state);
  const ConfigurationChange change{ChangeKind::kPatch, command.base_revision, command.body};
  if (command.base_revision < current) return validate_old_base(state, change, current);
  if (command.base_revision > current) {
    if (Status valid = check_patch(command.body); !valid.is_ok()) return refuse(std::move(valid));
    return refuse(Status::unavailable(revision_conflict(current).message()));
  }
  const Row* stored = state.find(kConfigurationKey);
  if (!stored) return refuse(revision_conflict(current));
  auto body = apply_patch(stored->value, command.body);
  if (!body) return refuse(body.status());
  return validate_next(state, change, *body, current);
}

bool is_assigned_primary(const StateTable& state, const Instance& instance) {
  const Row* stored = state.find(primary_key(instance.service));
  const auto assignment = stored ? decode_primary(stored->value) : std::nullopt;
  return assignment && assignment->primary == instance.id;
}

// Returns the rows that deregister a database: its row is deleted and, if the service has a primary, the
// database may have to be recorded as departed. A database that was draining takes its log along when it
// ends, so it is recorded. One that restarted was replaced by `next`, which has the same log; it is recorded
// only if it is the assigned primary, so that a failover can find its replacement.
std::vector<Row> departure_rows(const StateTable& state, const Instance& former, const Instance* next) {
  std::vector<Row> rows{tombstone(instance_key(former.id))};
  if (!state.find(primary_key(former.service))) return rows;
  const bool restarted = next && next->service == former.service && !former.draining;
  if (restarted && !is_assigned_primary(state, former)) return rows;
  const DepartedInstance departed{former, restarted ? next->id : InstanceId{}};
  rows.push_back(row(departed_key(former.id), encode_departed(departed)));
  return rows;
}

// Updates the departed databases whose replacement was `former`, which has itself been replaced by `next`.
void add_replacement_rows(const StateTable& state, const Instance& former, const Instance& next,
                          std::vector<Row>& rows) {
  state.for_each(kDepartedPrefix, [&](const Row& stored) {
    auto departed = decode_departed({stored.key.substr(kDepartedPrefix.size())}, stored.value);
    if (!departed || departed->replacement != former.id || next.service != former.service) return;
    departed->replacement = next.id;
    rows.push_back(row(stored.key, encode_departed(*departed)));
  });
}

// Deregisters the databases that were registered at the address of `next`. An address belongs to one database
// at a time, so an earlier one has ended and restarted with a new id.
std::vector<Row> replaced_instance_rows(const StateTable& state, const Instance& next) {
  std::vector<Row> rows;
  const std::string quoted_address = "\"" + next.address.text() + "\"";
  state.for_each(kInstancePrefix, [&](const Row& stored) {
    if (stored.value.find(quoted_address) == std::string::npos) return;  // cheaper than decoding every row
    auto other = decode_instance({stored.key.substr(kInstancePrefix.size())}, stored.value);
    if (!other || other->address != next.address) return;
    for (auto& departure : departure_rows(state, *other, &next)) rows.push_back(std::move(departure));
    add_replacement_rows(state, *other, next, rows);
  });
  return rows;
}

ValidationResult validate(const StateTable& state, const PutInstance& command) {
  auto next = decode_instance(command.id, command.value);
  if (!next) return refuse(Status::invalid_argument("not an instance"));
  const std::string key = instance_key(command.id);
  const Row* stored = state.find_including_deleted(key);
  if (stored && stored->deleted) return {};  // already deregistered; the heartbeat was delayed
  if (stored) {
    auto known = decode_instance(command.id, stored->value);
    if (known && (next->call_count <= known->call_count || next->equals_ignoring_call_count(*known)))
      return {};
  }
  ValidationResult result{Status::ok(), {row(key, command.value)}};
  if (!stored)
    for (auto& former : replaced_instance_rows(state, *next)) result.rows.push_back(std::move(former));
  // The first database that registers as primary is assigned to its service. Afterwards only a failover
  // changes the assignment.
  const std::string assignment = primary_key(next->service);
  if (next->primary && !state.find(assignment))
    result.rows.push_back(row(assignment, encode_primary({command.id, false, false, 0, false})));
  return result;
}

ValidationResult validate(const StateTable& state, const RemoveInstance& command) {
  const std::string key = instance_key(command.id);
  if (!state.find(key)) return {};
  return {Status::ok(), {tombstone(key)}};
}

ValidationResult validate(const StateTable& state, const RetireInstance& command) {
  const std::string key = instance_key(command.id);
  const Row* stored = state.find(key);
  if (!stored) return {};
  const auto known = decode_instance(command.id, stored->value);
  if (!known) return {Status::ok(), {tombstone(key)}};
  return {Status::ok(), departure_rows(state, *known, nullptr)};
}

ValidationResult validate(const StateTable& state, const AssignPrimary& command) {
  const std::string key = primary_key(command.service);
  const Row* stored = state.find(key);
  const std::string current = stored ? stored->value : std::string();
  if (current == command.value) return {};
  if (current != command.expected) return refuse(Status::conflict("the lead has changed"));
  return {Status::ok(), {row(key, command.value)}};
}

ValidationResult validate(const StateTable& state, const UpdateFailover& command) {
  const auto value_of = [&](const std::string& key) {
    const Row* stored = state.find(key);
    return stored ? stored->value : std::string();
  };
  const std::string assignment_key = primary_key(command.service);
  const std::string record_key = failover_key(command.service);
  const std::string assignment = value_of(assignment_key);
  const std::string record = value_of(record_key);
  if (assignment == command.assignment && record == command.record) return {};
  if (assignment != command.expected_assignment || record != command.expected_record)
    return refuse(Status::conflict("the failover has gone on"));
  ValidationResult result;
  if (assignment != command.assignment) result.rows.push_back(row(assignment_key, command.assignment));
  if (record != command.record)
    result.rows.push_back(command.record.empty() ? tombstone(record_key) : row(record_key, command.record));
  return result;
}

ValidationResult validate(const StateTable& state, const ForgetDeparted& command) {
  const std::string key = departed_key(command.id);
  if (!state.find(key)) return {};
  return {Status::ok(), {tombstone(key)}};
}

}  // namespace

ValidationResult validate_command(const StateTable& state, const Json& encoded) {
  auto command = decode_command(encoded);
  if (!command) return refuse(command.status());
  return std::visit([&](auto& typed) { return validate(state, typed); }, *command);
}

}  // namespace pebblespindle
