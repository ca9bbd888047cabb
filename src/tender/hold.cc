#include "tender/hold.h"

namespace pebblespindle {

Hold::Taken Hold::take(const Json& m, std::string_view line) {
  Taken t;
  auto rows = rows_from_json(m.value("r", Json()));
  if (!rows) return t;
  const std::uint64_t k = m.value("k", std::uint64_t(0)), left = m.value("left", std::uint64_t(0));
  const bool whole = m.value("whole", false), alone = !m.contains("left");
  std::vector<Row> all;
  if (alone) {
    all = std::move(*rows.value);
  } else {
    // One of several pieces: they count once the last is here. Each is told of, even one that comes too late
    // to count: the core waits for that with the next.
    t.got = true;
    if (k != pieces_of_) pieces_.clear();
    pieces_of_ = k;
    pieces_.insert(pieces_.end(), rows.value->begin(), rows.value->end());
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
  Json up{{"t", "up"}, {"k", k}, {"r", rows_to_json(all)}};
  if (whole) up["whole"] = true;
  t.hand_on = up.dump() + "\n";
  return t;
}

std::string Hold::whole() const {
  std::vector<Row> rows;
  for (auto& r : rows_.since(0))
    if (!r.gone) rows.push_back(r);
  return Json{{"t", "up"}, {"k", number_}, {"r", rows_to_json(rows)}, {"whole", true}}.dump() + "\n";
}

}  // namespace pebblespindle
