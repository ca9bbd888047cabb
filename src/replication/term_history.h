// Which head numbered what: a number means a row only together with its term, the view since which the head
// that gave it had been the head. Numbers of a lost head's suffix are given again; their terms differ.
#pragma once
#include <vector>

#include "base/json_schema.h"

namespace pebblespindle::replication {

class History {
 public:
  // The term of a number; 0 when it is not known (older than what is kept), and for number 0, which is
  // nothing.
  std::uint64_t at(std::uint64_t number) const;
  // Two cores whose terms of a number agree hold the same rows up to it.
  bool agrees(std::uint64_t number, std::uint64_t term) const {
    return number == 0 ? term == 0 : term != 0 && at(number) == term;
  }
  // Numbers from here on belong to a new term.
  void begin(std::uint64_t term, std::uint64_t from);
  // The terms that begin above a number, as they stand in messages and on the disk.
  Json above(std::uint64_t number) const;
  // Enters terms told by another core, or read from the disk. False, and nothing is changed, when they are
  // none.
  bool enter(const Json& terms);
  bool empty() const { return terms_.empty(); }

 private:
  struct Term {
    std::uint64_t term = 0, from = 0;
  };
  std::vector<Term> terms_;  // rising
};

}  // namespace pebblespindle::replication
