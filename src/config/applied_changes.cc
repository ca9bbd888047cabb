#include "config/applied_changes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "config/constants.h"

namespace pebblespindle {
namespace {

std::string key_of(std::uint64_t place) {
  return kTakenKey + "/" + std::to_string(place % kAppliedChangesKept);
}

// Three numbers and the digest, apart by blanks: a search reads some twenty rows.
std::optional<Taken> read_row(const Row* row) {
  if (!row) return std::nullopt;
  Taken t;
  const char *at = row->value.data(), *end = at + row->value.size();
  for (auto* number : {&t.place, &t.base, &t.revision}) {
    auto read = std::from_chars(at, end, *number);
    if (read.ec != std::errc() || read.ptr == end || *read.ptr != ' ') return std::nullopt;
    at = read.ptr + 1;
  }
  t.digest.assign(at, end);
  return t;
}

std::string text_of(const Taken& t) {
  return std::to_string(t.place) + " " + std::to_string(t.base) + " " + std::to_string(t.revision) + " " +
         t.digest;
}

// A former version kept one row with the marks (length and FNV-1a) of the last 64. It is read as long as it
// is there: until the ring is full.
constexpr std::size_t kFormerMarks = 64;

std::string former_mark_of(const std::string& body) {
  std::uint64_t h = 14695981039346656037ull;
  for (unsigned char c : body) h = (h ^ c) * 1099511628211ull;
  return std::to_string(body.size()) + "." + std::to_string(h);
}

Json former_marks(const StateTable& state) {
  const Row* row = state.find(kTakenKey);
  Json marks = row ? Json::parse(row->value, nullptr, false) : Json();
  return marks.is_array() ? marks : Json::array();
}

}  // namespace

std::string digest_of(bool patch, std::uint64_t base, const std::string& body) {
  const std::string head = (patch ? "PATCH " : "PUT ") + std::to_string(base) + "\n";
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  XXH3_128bits_update(&state, head.data(), head.size());
  XXH3_128bits_update(&state, body.data(), body.size());
  XXH128_canonical_t bytes;  // the same on every machine
  XXH128_canonicalFromHash(&bytes, XXH3_128bits_digest(&state));
  static const char* hex = "0123456789abcdef";
  std::string text;
  for (unsigned char b : bytes.digest) text += hex[b >> 4], text += hex[b & 15];
  return text;
}

std::optional<Taken> taken_at(const StateTable& state, std::uint64_t place) {
  auto t = read_row(state.find(key_of(place)));
  return t && t->place == place ? t : std::nullopt;
}

std::optional<Taken> newest_taken(const StateTable& state) {
  auto newest = read_row(state.find(key_of(0)));  // where this round of the ring began
  if (!newest) return std::nullopt;
  const std::uint64_t begin = newest->place;
  std::uint64_t known = 0,
                beyond = kAppliedChangesKept;  // of this round; what follows is of the round before
  while (beyond - known > 1) {
    const std::uint64_t middle = (known + beyond) / 2;
    if (auto t = taken_at(state, begin + middle))
      known = middle, newest = t;
    else
      beyond = middle;
  }
  return newest;
}

Fate fate_of(const StateTable& state, bool patch, std::uint64_t base, const std::string& body) {
  const auto newest = newest_taken(state);
  std::uint64_t low =
      newest && newest->place >= kAppliedChangesKept ? newest->place - kAppliedChangesKept + 1 : 0;
  const std::uint64_t oldest = low;
  for (std::uint64_t high = newest ? newest->place + 1 : 0; low < high;) {
    const std::uint64_t middle = (low + high) / 2;
    const auto t = taken_at(state, middle);
    if (!t) return Fate::kUnknown;  // a ring with a gap tells nothing
    if (t->base == base) return t->digest == digest_of(patch, base, body) ? Fate::kTaken : Fate::kNotTaken;
    if (t->base < base)
      low = middle + 1;
    else
      high = middle;
  }
  const bool older = low == oldest;  // than all that the ring holds
  if (older && oldest > 0) return Fate::kUnknown;
  const Json marks = former_marks(state);
  const std::string mark =
      marks.empty() ? "" : former_mark_of(patch ? "patch " + std::to_string(base) + " " + body : body);
  if (std::find(marks.begin(), marks.end(), Json(mark)) != marks.end()) return Fate::kTaken;
  return older && marks.size() >= kFormerMarks ? Fate::kUnknown : Fate::kNotTaken;
}

std::vector<Row> taken_rows(const StateTable& state, bool patch, std::uint64_t base, std::uint64_t revision,
                            const std::string& body) {
  const auto newest = newest_taken(state);
  const std::uint64_t place = newest ? newest->place + 1 : 0;
  std::vector<Row> rows{
      {key_of(place), text_of({place, base, revision, digest_of(patch, base, body)}), 0, false}};
  // The ring begins to forget: what is older than it goes first.
  if (place >= kAppliedChangesKept && state.find(kTakenKey)) rows.push_back({kTakenKey, {}, 0, true});
  return rows;
}

}  // namespace pebblespindle
