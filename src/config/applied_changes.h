// Which changes of the configuration were applied: a ring of rows in the replicated state, the newest
// kAppliedChangesKept. An operator whose answer was lost sends a change again, and is answered from here.
//
// Each version has one successor, so a row is found by the version that its change builds on; versions rise,
// so the rows of the ring are in order and a search halves them. A new row takes the place of the oldest: one
// row is written a change, and none is ever removed.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "storage/state_table.h"

namespace pebblespindle {

// All keys that begin so are for the controllers alone.
inline const std::string kAppliedChangesPrefix = "t";

enum class ChangeKind { kPut, kPatch };

// A change as the operator sent it.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kPut;
  std::uint64_t base_revision = 0;  // the version that it builds on
  std::string body;
};
// Tells one change from every other.
std::string digest_of(const ConfigurationChange& change);

// One entry of the record.
struct AppliedChange {
  std::uint64_t index = 0;  // counts the changes from 0
  std::uint64_t base_revision = 0, revision = 0;
  std::string digest;
  bool operator==(const AppliedChange&) const = default;
};

// None in a state that has no such rows yet.
std::optional<AppliedChange> newest_applied_change(const StateTable& state);
// None when it is no longer kept.
std::optional<AppliedChange> applied_change_at(const StateTable& state, std::uint64_t index);

enum class ChangeOutcome {
  kApplied,
  kNotApplied,
  kUnknown,  // older than what is on record: nothing can be said
};
// What became of a change that builds on a version which is not the newest any more.
ChangeOutcome find_outcome(const StateTable& state, const ConfigurationChange& change);

// The rows to write with a change that is applied now.
std::vector<Row> applied_change_rows(const StateTable& state, const ConfigurationChange& change,
                                     std::uint64_t revision);

}  // namespace pebblespindle
