// A replica's storage on SQLite: one file, one connection, exclusive, synced at every commit.
//
// Tables: rows and staged (key, value, number, gone), meta (key, value). An installation holds data of this
// form, so their names stay as they are.
#pragma once
#include <memory>

#include "storage/storage.h"

struct sqlite3;

namespace pebblespindle {

class SqliteStore : public Storage {
 public:
  // Opens the file, or creates it. vfs: the name of an SQLite VFS, for tests that lose power; null for the
  // system's own. kCorruption: the file is damaged and will not get better; kIoError: it may succeed later.
  static Result<std::unique_ptr<SqliteStore>> open(const std::string& path, const char* vfs = nullptr);
  ~SqliteStore() override;
  SqliteStore(const SqliteStore&) = delete;
  SqliteStore& operator=(const SqliteStore&) = delete;

  Status commit(const WriteBatch& batch) override;
  Status reopen() override;
  Result<std::vector<Row>> rows() override;
  Result<std::vector<Row>> staged_rows() override;
  Result<std::map<std::string, std::string>> metadata() override;
  // kCorruption when rows and metadata cannot be of one history. A replica writes both in one batch, so each
  // contradiction stands for a file that was put together from several.
  Status check_consistency();

 private:
  SqliteStore(std::string path, const char* vfs) : path_(std::move(path)), vfs_(vfs) {}
  int connect();  // an SQLite result code
  int check_pages();
  bool run(const std::string& sql);
  bool put(const char* sql, const std::vector<Row>& rows);
  bool put_metadata(const std::map<std::string, std::string>& metadata);
  bool apply(WriteBatch::StagedAction action);
  bool apply(const WriteBatch& batch);
  bool compact(SequenceNumber sequence);
  Result<std::vector<Row>> read_rows(const char* sql);
  Status last_error() const;

  std::string path_;
  const char* vfs_;
  sqlite3* database_ = nullptr;
};

}  // namespace pebblespindle
