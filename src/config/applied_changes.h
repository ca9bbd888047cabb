// Which changes of the configuration were taken: a ring of rows in the state, the newest kAppliedChangesKept
// changes. Each version has one successor, so a row is found by the version that its change builds on;
// versions rise, so the rows of the ring are in order and a search halves them. A new row takes the place of
// the oldest: one row is written a change, and none is ever removed.
#pragma once
#include <optional>
#include <string>

#include "config/constants.h"
#include "storage/state_table.h"

namespace pebblespindle {

inline const std::string kTakenKey = "t";  // all keys that begin so are for the cores alone

// One change that was taken.
struct Taken {
  std::uint64_t place = 0;  // counts the changes from 0
  std::uint64_t base = 0, revision = 0;
  std::string digest;
  bool operator==(const Taken&) const = default;
};

// Tells one order from every other: its kind, the version it builds on, and the body as it was sent.
std::string digest_of(bool patch, std::uint64_t base, const std::string& body);

// The newest change on record; none in a state that has no such rows yet.
std::optional<Taken> newest_taken(const StateTable& state);
// The change in that place of the order, while its row is kept.
std::optional<Taken> taken_at(const StateTable& state, std::uint64_t place);

enum class Fate {
  kTaken,
  kNotTaken,
  kUnknown,  // older than what is on record: nothing can be said
};
// What became of an order that builds on a version which is not the newest any more.
Fate fate_of(const StateTable& state, bool patch, std::uint64_t base, const std::string& body);

// The rows to write for an order that is taken now.
std::vector<Row> taken_rows(const StateTable& state, bool patch, std::uint64_t base, std::uint64_t revision,
                            const std::string& body);

}  // namespace pebblespindle
