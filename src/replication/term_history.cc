#include "replication/term_history.h"

#include <algorithm>

#include "base/constants.h"

namespace pebblespindle::replication {

std::uint64_t History::at(std::uint64_t number) const {
  if (number == 0) return 0;
  for (auto t = terms_.rbegin(); t != terms_.rend(); ++t)
    if (t->from <= number) return t->term;
  return 0;
}

void History::begin(std::uint64_t term, std::uint64_t from) {
  std::erase_if(terms_, [&](const Term& t) { return t.from >= from; });
  terms_.push_back({term, from});
  if (terms_.size() > constants::kTermsKept) terms_.erase(terms_.begin());
}

Json History::above(std::uint64_t number) const {
  Json a = Json::array();
  for (auto& t : terms_)
    if (t.from > number) a.push_back(Json::array({t.term, t.from}));
  return a;
}

bool History::enter(const Json& terms) {
  if (!terms.is_array()) return false;
  for (auto& t : terms)
    if (!t.is_array() || t.size() != 2 || !t[0].is_number_unsigned() || !t[1].is_number_unsigned())
      return false;
  for (auto& t : terms) begin(t[0], t[1]);
  return true;
}

}  // namespace pebblespindle::replication
