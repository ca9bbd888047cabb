#include "agent/state_cache.h"

#include "base/json_fields.h"

namespace pebblespindle {

StateCache::Taken StateCache::take(const Json& m, std::string_view line) {
  Taken t;
  auto rows = decode_rows(m.value("r", Json()));
  const std::uint64_t k = pebblespindle::number(m, "k"), left = pebblespindle::number(m, "left");
  const bool whole = field(m, "whole", false), alone = !m.contains("left");
  // Pieces count down to the last; one that is not the next belongs to another feed.
  const bool next =
      !next_left_ ? alone || left > 0 : !alone && left == *next_left_ && k == pieces_of_ && whole == whole_;
  t.torn = !rows || !next;
  if (t.torn) return t;
  std::vector<Row> all;
  if (alone) {
    all = std::move(*rows);
  } else {
    // One of several pieces: they count once the last is here. Each is told of, even one that comes too late
    // to count: the core waits for that with the next.
    t.got = true;
    pieces_of_ = k;
    whole_ = whole;
    next_left_.reset();
    if (left > 0) next_left_ = left - 1;
    pieces_.insert(pieces_.end(), rows->begin(), rows->end());
    if (left != 0) return t;
    all = std::exchange(pieces_, {});
  }
  if (k < number_) return t;  // never back
  if (whole) rows_.clear();
  for (auto& r : all) rows_.put(r);
  number_ = k;
  if (alone) {
    t.hand_on = std::string(line) + "\n";
    return t;
  }
  Json up{{"t", "up"}, {"k", k}, {"r", encode_rows(all)}};
  if (whole) up["whole"] = true;
  t.hand_on = up.dump() + "\n";
  return t;
}

std::string StateCache::whole() const {
  std::vector<Row> rows;
  for (auto& r : rows_.rows_after(0))
    if (!r.deleted) rows.push_back(r);
  return Json{{"t", "up"}, {"k", number_}, {"r", encode_rows(rows)}, {"whole", true}}.dump() + "\n";
}

}  // namespace pebblespindle
