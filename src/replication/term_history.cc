#include "replication/term_history.h"

namespace pebblespindle::replication {
namespace {

// Number of terms kept. A replica whose last sequence number is in an older term is sent the whole state.
constexpr std::size_t kMaxTerms = 64;

}  // namespace

TermNumber TermHistory::term_of(SequenceNumber sequence) const {
  if (sequence == 0) return 0;
  for (auto it = terms_.rbegin(); it != terms_.rend(); ++it)
    if (it->first_sequence <= sequence) return it->term;
  return 0;
}

void TermHistory::record(TermNumber term, SequenceNumber first) {
  std::erase_if(terms_, [&](const TermStart& start) { return start.first_sequence >= first; });
  terms_.push_back({term, first});
  if (terms_.size() > kMaxTerms) terms_.erase(terms_.begin());
}

void TermHistory::record(const std::vector<TermStart>& terms) {
  for (auto& start : terms) record(start.term, start.first_sequence);
}

std::vector<TermStart> TermHistory::terms_after(SequenceNumber sequence) const {
  std::vector<TermStart> terms;
  for (auto& start : terms_)
    if (start.first_sequence > sequence) terms.push_back(start);
  return terms;
}

}  // namespace pebblespindle::replication
