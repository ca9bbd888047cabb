// The ledger's disk on SQLite: one connection, exclusive, synced at every commit.
#pragma once
#include <functional>
#include <memory>

#include "ledger/ledger.h"

struct sqlite3;

namespace pebblespindle {

class SqliteDisk : public Disk {
 public:
  // vfs: the name of an SQLite VFS, for tests that lose power; null for the system's own.
  // A file that is damaged fails with `damaged` set; other failures may pass.
  static Outcome<std::unique_ptr<SqliteDisk>> open(const std::string& path, const char* vfs = nullptr,
                                                   bool* damaged = nullptr);
  ~SqliteDisk() override;
  bool commit(const Batch& batch) override;
  bool reopen() override;
  std::vector<Row> rows() override;
  std::vector<Row> staged() override;
  std::map<std::string, std::string> meta() override;

 private:
  SqliteDisk(std::string path, const char* vfs) : path_(std::move(path)), vfs_(vfs) {}
  int connect();  // an SQLite code
  bool run(const std::string& sql);
  bool put(const char* sql, const std::vector<Row>& rows);
  bool promote(Batch::Promote how);
  std::vector<Row> read(const char* sql);
  std::string path_;
  const char* vfs_;
  sqlite3* db_ = nullptr;
};

// Opens the ledger in a directory. A damaged file is set aside under another name and not used.
Outcome<std::unique_ptr<SqliteDisk>> open_ledger(const std::string& directory,
                                                 const std::function<void(const std::string&)>& note);

}  // namespace pebblespindle
