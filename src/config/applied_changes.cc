#include "config/applied_changes.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "base/json_schema.h"
#include "config/constants.h"

namespace pebblespindle {
namespace {

std::string key_at(std::uint64_t index) {
  return kAppliedChangesPrefix + "/" + std::to_string(index % kAppliedChangesKept);
}

// A row holds three numbers and the digest, separated by spaces. The format is cheap to parse because a
// search decodes about twenty rows.
std::optional<AppliedChange> decode_change(const Row* row) {
  if (!row) return std::nullopt;
  AppliedChange change;
  const char* position = row->value.data();
  const char* const end = position + row->value.size();
  for (auto* number : {&change.index, &change.base_revision, &change.revision}) {
    const auto read = std::from_chars(position, end, *number);
    if (read.ec != std::errc() || read.ptr == end || *read.ptr != ' ') return std::nullopt;
    position = read.ptr + 1;
  }
  change.digest.assign(position, end);
  return change;
}

std::string encode_change(const AppliedChange& change) {
  return std::to_string(change.index) + " " + std::to_string(change.base_revision) + " " +
         std::to_string(change.revision) + " " + change.digest;
}

// Earlier builds recorded the last 64 changes in a single row, as the length and the FNV-1a hash of each.
// That legacy row is still read until the ring is full and the row is deleted.
constexpr std::size_t kMaxLegacyHashes = 64;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ull;
constexpr std::uint64_t kFnvPrime = 1099511628211ull;

std::string legacy_hash_of(const ConfigurationChange& change) {
  const std::string text = change.kind == ChangeKind::kPatch
                               ? "patch " + std::to_string(change.base_revision) + " " + change.body
                               : change.body;
  std::uint64_t hash = kFnvOffset;
  for (unsigned char byte : text) hash = (hash ^ byte) * kFnvPrime;
  return std::to_string(text.size()) + "." + std::to_string(hash);
}

Json legacy_hashes(const StateTable& state) {
  const Row* row = state.find(kAppliedChangesPrefix);
  Json hashes = row ? Json::parse(row->value, nullptr, false) : Json();
  return hashes.is_array() ? hashes : Json::array();
}

std::string to_hex(const XXH128_canonical_t& hash) {
  static const char* const digits = "0123456789abcdef";
  std::string text;
  for (unsigned char byte : hash.digest) {
    text += digits[byte >> 4];
    text += digits[byte & 15];
  }
  return text;
}

std::uint64_t oldest_kept(const std::optional<AppliedChange>& newest) {
  return newest && newest->index >= kAppliedChangesKept ? newest->index - kAppliedChangesKept + 1 : 0;
}

// Looks up a change that the ring does not hold in the legacy row.
ChangeOutcome find_legacy_outcome(const StateTable& state, const ConfigurationChange& change,
                                  bool older_than_ring) {
  const Json hashes = legacy_hashes(state);
  const bool known = !hashes.empty() &&
                     std::find(hashes.begin(), hashes.end(), Json(legacy_hash_of(change))) != hashes.end();
  if (known) return ChangeOutcome::kApplied;
  return older_than_ring && hashes.size() >= kMaxLegacyHashes ? ChangeOutcome::kUnknown
                                                              : ChangeOutcome::kNotApplied;
}

}  // namespace

std::string digest_of(const ConfigurationChange& change) {
  const std::string header =
      (change.kind == ChangeKind::kPatch ? "PATCH " : "PUT ") + std::to_string(change.base_revision) + "\n";
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  XXH3_128bits_update(&state, header.data(), header.size());
  XXH3_128bits_update(&state, change.body.data(), change.body.size());
  XXH128_canonical_t bytes;  // the same byte order on every machine
  XXH128_canonicalFromHash(&bytes, XXH3_128bits_digest(&state));
  return to_hex(bytes);
}

std::optional<AppliedChange> applied_change_at(const StateTable& state, std::uint64_t index) {
  auto change = decode_change(state.find(key_at(index)));
  return change && change->index == index ? change : std::nullopt;
}

std::optional<AppliedChange> newest_applied_change(const StateTable& state) {
  auto newest = decode_change(state.find(key_at(0)));  // the first row of the current pass over the ring
  if (!newest) return std::nullopt;
  const std::uint64_t begin = newest->index;
  // Bisects for the last row of the current pass. The rows behind it belong to the previous pass.
  std::uint64_t known = 0;
  std::uint64_t beyond = kAppliedChangesKept;
  while (beyond - known > 1) {
    const std::uint64_t middle = (known + beyond) / 2;
    if (auto change = applied_change_at(state, begin + middle)) {
      known = middle;
      newest = change;
    } else {
      beyond = middle;
    }
  }
  return newest;
}

ChangeOutcome find_outcome(const StateTable& state, const ConfigurationChange& change) {
  const auto newest = newest_applied_change(state);
  const std::uint64_t oldest = oldest_kept(newest);
  std::uint64_t low = oldest;
  std::uint64_t high = newest ? newest->index + 1 : 0;
  while (low < high) {
    const std::uint64_t middle = (low + high) / 2;
    const auto applied = applied_change_at(state, middle);
    if (!applied) return ChangeOutcome::kUnknown;  // a row is missing or unreadable
    if (applied->base_revision == change.base_revision)
      return applied->digest == digest_of(change) ? ChangeOutcome::kApplied : ChangeOutcome::kNotApplied;
    if (applied->base_revision < change.base_revision)
      low = middle + 1;
    else
      high = middle;
  }
  const bool older_than_ring = low == oldest;
  if (older_than_ring && oldest > 0) return ChangeOutcome::kUnknown;
  return find_legacy_outcome(state, change, older_than_ring);
}

std::vector<Row> applied_change_rows(const StateTable& state, const ConfigurationChange& change,
                                     std::uint64_t revision) {
  const auto newest = newest_applied_change(state);
  const std::uint64_t index = newest ? newest->index + 1 : 0;
  const std::string value = encode_change({index, change.base_revision, revision, digest_of(change)});
  std::vector<Row> rows{{key_at(index), value, 0, false}};
  // The ring starts to overwrite its rows, so the older changes of the legacy row are dropped first.
  if (index >= kAppliedChangesKept && state.find(kAppliedChangesPrefix))
    rows.push_back({kAppliedChangesPrefix, {}, 0, true});
  return rows;
}

}  // namespace pebblespindle
