#include "replication/local_state.h"

#include <algorithm>
#include <exception>

#include "base/json_fields.h"
#include "replication/codec.h"

namespace pebblespindle::replication {
namespace {

// Metadata keys. They are part of the storage format and must not change.
const char* const kDurableKey = "durable";
const char* const kViewKey = "view";
const char* const kLastSequenceKey = "stored";

}  // namespace

Status LocalState::load() {
  disk_failed_ = true;  // until all of it is read
  written_metadata_.clear();
  try {
    if (Status read = read_members(); !read.is_ok()) return read;
  } catch (const std::exception& error) {
    return Status::io_error(error.what());
  }
  disk_failed_ = false;
  return Status::ok();
}

Status LocalState::read_members() {
  auto metadata = storage_.metadata();
  if (!metadata) return metadata.status();
  auto rows = storage_.rows();
  if (!rows) return rows.status();
  auto staged_rows = storage_.staged_rows();
  if (!staged_rows) return staged_rows.status();
  const Json durable = Json::parse((*metadata)[kDurableKey], nullptr, false);
  const auto stored_view = decode_view(Json::parse((*metadata)[kViewKey], nullptr, false));
  view = stored_view.value_or(View());
  promised = accepted = {};
  accepted_view.reset();
  synced_view = 0;
  table.clear();
  history = TermHistory();
  transfer.reset();
  staged_table.clear();
  if (!stored_view || !durable.is_object()) return Status::ok();
  self = field<std::string>(durable, "self", self);
  promised = {number(durable, "pi"), number(durable, "pb")};
  accepted = {number(durable, "ai"), number(durable, "ab")};
  if (durable.contains("av")) accepted_view = decode_view(durable["av"]);
  synced_view = number(durable, "synced");
  for (auto& row : *rows) table.put(row);
  const Json last_sequence = Json::parse((*metadata)[kLastSequenceKey], nullptr, false);
  if (last_sequence.is_number_unsigned())
    table.set_last_sequence(std::max<SequenceNumber>(table.last_sequence(), last_sequence));
  table.compact(number(durable, "trimmed"));
  // Older versions stored no terms: all their rows are assigned to the term of the present head.
  if (auto terms = decode_terms(durable.value("terms", Json())))
    history.record(*terms);
  else if (table.last_sequence() > 0)
    history.record(view.term, 1);
  transfer = decode_progress(durable.value("stage", Json()));
  if (!transfer) return Status::ok();
  for (auto& row : *staged_rows) staged_table.put(row);
  return Status::ok();
}

Json LocalState::encode_durable() const {
  Json durable{{"self", self},
               {"pi", promised.view},
               {"pb", promised.number},
               {"ai", accepted.view},
               {"ab", accepted.number},
               {"synced", synced_view},
               {"terms", encode_terms(history.terms_after(0))},
               {"trimmed", table.compacted_to()}};
  if (transfer) durable["stage"] = encode_progress(*transfer);
  if (accepted_view) durable["av"] = encode_view(*accepted_view);
  return durable;
}

Status LocalState::update(const Change& change) {
  Status written = Status::io_error("not written");
  try {
    written = apply_and_write(change);
  } catch (const std::exception& error) {
    written = Status::io_error(error.what());
  }
  if (written.is_ok()) return written;
  disk_failed_ = true;
  on_update_failed_(written.message());
  return written;
}

Status LocalState::apply_and_write(const Change& change) {
  WriteBatch batch;
  change(batch);
  batch.metadata[kDurableKey] = encode_durable().dump();
  batch.metadata[kViewKey] = encode_view(view).dump();
  batch.metadata[kLastSequenceKey] = std::to_string(table.last_sequence());
  if (batch.has_only_metadata() && batch.metadata == written_metadata_) return Status::ok();
  Status written = storage_.commit(batch);
  if (written.is_ok()) written_metadata_ = std::move(batch.metadata);
  return written;
}

Status LocalState::reopen() {
  return storage_.reopen();
}

void LocalState::drop_transfer(WriteBatch& batch) {
  if (!transfer) return;
  transfer.reset();
  staged_table.clear();
  batch.clear_staged = true;
}

}  // namespace pebblespindle::replication
