// The ledger's disk on SQLite: one connection, exclusive, synced at every commit.
#pragma once
#include <memory>

#include "ledger/ledger.h"

struct sqlite3;

namespace pebblespindle {

class SqliteDisk : public Disk {
 public:
  // vfs: the name of an SQLite VFS, for tests that lose power; null for the system's own.
  static Outcome<std::unique_ptr<SqliteDisk>> open(const std::string& path, const char* vfs = nullptr);
  ~SqliteDisk() override;
  bool commit(const Batch& batch) override;
  std::vector<Row> rows() override;
  std::map<std::string, std::string> meta() override;

 private:
  explicit SqliteDisk(sqlite3* db) : db_(db) {}
  bool run(const char* sql);
  sqlite3* db_;
};

}  // namespace pebblespindle
