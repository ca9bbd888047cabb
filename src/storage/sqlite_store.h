// The state's disk on SQLite: one connection, exclusive, synced at every commit.
#pragma once
#include <functional>
#include <memory>

#include "storage/state_table.h"

struct sqlite3;

namespace pebblespindle {

// The names in the state's folder. Made, changed and removed ones last once sync() has said so.
struct Folder {
  std::function<bool(const std::string& path)> exists;
  std::function<bool(const std::string& from, const std::string& to)> rename;
  std::function<bool(const std::string& path)> remove;  // true as well where there is nothing
  std::function<bool()> sync;
  static Folder of(const std::string& directory);  // on the machine's own file system
};

class SqliteStore : public Disk {
 public:
  // vfs: the name of an SQLite VFS, for tests that lose power; null for the system's own.
  // A file that is damaged fails with `damaged` set; other failures may pass.
  static Outcome<std::unique_ptr<SqliteStore>> open(const std::string& path, const char* vfs = nullptr,
                                                    bool* damaged = nullptr);
  ~SqliteStore() override;
  bool commit(const Batch& batch) override;
  bool reopen() override;
  // Why rows and meta cannot be of one history; empty when they can.
  std::string contradiction();
  std::vector<Row> rows() override;
  std::vector<Row> staged() override;
  std::map<std::string, std::string> meta() override;

 private:
  SqliteStore(std::string path, const char* vfs) : path_(std::move(path)), vfs_(vfs) {}
  int connect();  // an SQLite code
  bool run(const std::string& sql);
  bool put(const char* sql, const std::vector<Row>& rows);
  bool promote(Batch::Promote how);
  std::vector<Row> read(const char* sql);
  std::string path_;
  const char* vfs_;
  sqlite3* db_ = nullptr;
};

// Opens the state in a directory. A file that is damaged or contradicts itself is set aside under another
// name and not used: the core is a newcomer.
Outcome<std::unique_ptr<SqliteStore>> open_store(const std::string& directory,
                                                 const std::function<void(const std::string&)>& note);
Outcome<std::unique_ptr<SqliteStore>> open_store(const std::string& directory, const Folder& folder,
                                                 const char* vfs,
                                                 const std::function<void(const std::string&)>& note);

}  // namespace pebblespindle
