#include "storage/sqlite_statement.h"

#include <sqlite3.h>

namespace pebblespindle {

SqliteStatement::SqliteStatement(sqlite3* database, const char* sql) {
  prepared_ = sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr) == SQLITE_OK;
}

SqliteStatement::~SqliteStatement() {
  sqlite3_finalize(statement_);
}

void SqliteStatement::bind(int parameter, const std::string& value) {
  sqlite3_bind_text(statement_, parameter, value.data(), int(value.size()), SQLITE_TRANSIENT);
}

void SqliteStatement::bind(int parameter, std::uint64_t value) {
  sqlite3_bind_int64(statement_, parameter, sqlite3_int64(value));
}

bool SqliteStatement::next_row() {
  if (!prepared_) return false;
  const int code = sqlite3_step(statement_);
  complete_ = code == SQLITE_DONE;
  return code == SQLITE_ROW;
}

bool SqliteStatement::execute() {
  const bool done = prepared_ && sqlite3_step(statement_) == SQLITE_DONE;
  sqlite3_reset(statement_);
  return done;
}

std::string SqliteStatement::text(int column) {
  auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
  return bytes ? std::string(bytes, std::size_t(sqlite3_column_bytes(statement_, column))) : std::string();
}

std::uint64_t SqliteStatement::number(int column) {
  return std::uint64_t(sqlite3_column_int64(statement_, column));
}

}  // namespace pebblespindle
