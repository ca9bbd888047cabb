#include "replication/term_history.h"

namespace pebblespindle::replication {
namespace {

// Terms. A replica that is more changes of the head behind than this takes the whole state.
constexpr std::size_t kMaxTerms = 64;

}  // namespace

TermNumber TermHistory::term_of(SequenceNumber sequence) const {
  if (sequence == 0) return 0;
  for (auto it = terms_.rbegin(); it != terms_.rend(); ++it)
    if (it->first <= sequence) return it->term;
  return 0;
}

void TermHistory::begin(TermNumber term, SequenceNumber first) {
  std::erase_if(terms_, [&](const TermStart& start) { return start.first >= first; });
  terms_.push_back({term, first});
  if (terms_.size() > kMaxTerms) terms_.erase(terms_.begin());
}

void TermHistory::begin(const std::vector<TermStart>& terms) {
  for (auto& start : terms) begin(start.term, start.first);
}

std::vector<TermStart> TermHistory::starting_after(SequenceNumber sequence) const {
  std::vector<TermStart> terms;
  for (auto& start : terms_)
    if (start.first > sequence) terms.push_back(start);
  return terms;
}

}  // namespace pebblespindle::replication
