// A prepared SQLite statement, finalized with its owner.
#pragma once
#include <cstdint>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace pebblespindle {

class SqliteStatement {
 public:
  // Where the text cannot be prepared, next_row() and execute() are false; sqlite3_errcode() tells why.
  SqliteStatement(sqlite3* database, const char* sql);
  ~SqliteStatement();
  SqliteStatement(const SqliteStatement&) = delete;
  SqliteStatement& operator=(const SqliteStatement&) = delete;

  // Parameters count from 1, columns from 0.
  void bind(int parameter, const std::string& value);
  void bind(int parameter, std::uint64_t value);
  bool next_row();
  bool is_complete() const {
    return complete_;
  }                // the last next_row() was false since there are no more rows
  bool execute();  // to its end, and resets it for other parameters
  std::string text(int column);
  std::uint64_t number(int column);

 private:
  sqlite3_stmt* statement_ = nullptr;
  bool prepared_ = false, complete_ = false;
};

}  // namespace pebblespindle
