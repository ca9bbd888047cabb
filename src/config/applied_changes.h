// Record of the configuration changes that were applied: a ring buffer of rows in the replicated state that
// holds the newest kAppliedChangesKept changes. An operator that got no answer to a change sends it again;
// the record tells whether the change was applied the first time.
//
// At most one change is applied on top of each revision, so a row is identified by its base revision.
// Revisions only increase, so the rows of the ring are sorted and can be searched by bisection. A new row
// overwrites the oldest one: each change writes one row, and rows of the ring are never deleted.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "storage/state_table.h"

namespace pebblespindle {

// Rows whose keys start with this prefix are kept by controllers only and never sent to nodes.
inline const std::string kAppliedChangesPrefix = "t";

enum class ChangeKind { kPut, kPatch };

// A change as the operator sent it.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kPut;
  std::uint64_t base_revision = 0;  // the revision to which the change applies
  std::string body;
};
// Returns a hash of the kind, base revision and body that identifies the change.
std::string digest_of(const ConfigurationChange& change);

// One row of the record.
struct AppliedChange {
  std::uint64_t index = 0;  // number of the change; the first one has 0
  std::uint64_t base_revision = 0, revision = 0;
  std::string digest;
  bool operator==(const AppliedChange&) const = default;
};

// Returns nullopt if the state has no rows of the record yet.
std::optional<AppliedChange> newest_applied_change(const StateTable& state);
// Returns nullopt if the ring does not hold the change with this index.
std::optional<AppliedChange> applied_change_at(const StateTable& state, std::uint64_t index);

enum class ChangeOutcome {
  kApplied,
  kNotApplied,
  kUnknown,  // older than the oldest recorded change, so the outcome cannot be determined
};
// Returns the outcome of a change whose base revision is no longer the current one.
ChangeOutcome find_outcome(const StateTable& state, const ConfigurationChange& change);

// Returns the rows to write to the record when the change is applied and produces `revision`.
std::vector<Row> applied_change_rows(const StateTable& state, const ConfigurationChange& change,
                                     std::uint64_t revision);

}  // namespace pebblespindle
