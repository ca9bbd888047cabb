#include "storage/row.h"

namespace pebblespindle {
namespace {

constexpr std::size_t kTombstoneFields = 2;
constexpr std::size_t kRowFields = 3;

bool is_row(const Json& fields) {
  if (!fields.is_array() || fields.size() < kTombstoneFields || fields.size() > kRowFields) return false;
  if (!fields[0].is_string() || !fields[1].is_number_unsigned()) return false;
  return fields.size() == kTombstoneFields || fields[2].is_string();
}

Row decode_row(const Json& fields) {
  Row row;
  row.key = fields[0];
  row.sequence = fields[1];
  row.deleted = fields.size() == kTombstoneFields;
  if (!row.deleted) row.value = fields[2];
  return row;
}

}  // namespace

Json encode_rows(const std::vector<Row>& rows) {
  Json encoded = Json::array();
  for (auto& row : rows) {
    Json fields = Json::array({row.key, row.sequence});
    if (!row.deleted) fields.push_back(row.value);
    encoded.push_back(std::move(fields));
  }
  return encoded;
}

Result<std::vector<Row>> decode_rows(const Json& encoded) {
  if (!encoded.is_array()) return Status::invalid_argument("rows: not a list");
  std::vector<Row> rows;
  rows.reserve(encoded.size());
  for (auto& fields : encoded) {
    if (!is_row(fields)) return Status::invalid_argument("rows: a row is not [key, sequence, value]");
    rows.push_back(decode_row(fields));
  }
  return rows;
}

}  // namespace pebblespindle
