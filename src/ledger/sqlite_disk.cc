#include "ledger/sqlite_disk.h"

#include <sqlite3.h>

namespace pebblespindle {
namespace {

class Prepared {
 public:
  Prepared(sqlite3* db, const char* sql) { ok_ = sqlite3_prepare_v2(db, sql, -1, &s_, nullptr) == SQLITE_OK; }
  ~Prepared() { sqlite3_finalize(s_); }
  Prepared(const Prepared&) = delete;
  void text(int i, const std::string& v) {
    sqlite3_bind_text(s_, i, v.data(), int(v.size()), SQLITE_TRANSIENT);
  }
  void number(int i, std::uint64_t v) { sqlite3_bind_int64(s_, i, sqlite3_int64(v)); }
  bool row() { return ok_ && sqlite3_step(s_) == SQLITE_ROW; }
  bool done() {
    bool good = ok_ && sqlite3_step(s_) == SQLITE_DONE;
    sqlite3_reset(s_);
    return good;
  }
  std::string column(int i) {
    auto p = reinterpret_cast<const char*>(sqlite3_column_text(s_, i));
    return p ? std::string(p, std::size_t(sqlite3_column_bytes(s_, i))) : std::string();
  }
  std::uint64_t column_number(int i) { return std::uint64_t(sqlite3_column_int64(s_, i)); }

 private:
  sqlite3_stmt* s_ = nullptr;
  bool ok_ = false;
};

}  // namespace

Outcome<std::unique_ptr<SqliteDisk>> SqliteDisk::open(const std::string& path, const char* vfs) {
  using Out = Outcome<std::unique_ptr<SqliteDisk>>;
  sqlite3* db = nullptr;
  int rc = sqlite3_open_v2(path.c_str(), &db, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, vfs);
  std::unique_ptr<SqliteDisk> disk(new SqliteDisk(db));
  if (rc != SQLITE_OK) return Out::fail("cannot open " + path + ": " + sqlite3_errstr(rc));
  // A rollback journal that is kept and overwritten: no shared memory, no file names that come and go.
  for (const char* sql :
       {"PRAGMA locking_mode=EXCLUSIVE", "PRAGMA journal_mode=PERSIST", "PRAGMA synchronous=FULL",
        "PRAGMA cache_size=-256", "PRAGMA mmap_size=0", "PRAGMA temp_store=MEMORY"})
    if (!disk->run(sql)) return Out::fail(path + ": " + sqlite3_errmsg(db));
  {
    Prepared check(db, "PRAGMA quick_check(1)");
    if (!check.row() || check.column(0) != "ok") return Out::fail(path + ": the file is damaged");
  }
  for (const char* sql : {"CREATE TABLE IF NOT EXISTS rows(key TEXT PRIMARY KEY, value TEXT, number INTEGER, "
                          "gone INTEGER) WITHOUT ROWID",
                          "CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value TEXT) WITHOUT ROWID"})
    if (!disk->run(sql)) return Out::fail(path + ": " + sqlite3_errmsg(db));
  return Out::ok(std::move(disk));
}

SqliteDisk::~SqliteDisk() {
  sqlite3_close(db_);
}

bool SqliteDisk::run(const char* sql) {
  return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

bool SqliteDisk::commit(const Batch& b) {
  if (!run("BEGIN")) return false;
  bool good = !b.clear_rows || run("DELETE FROM rows");
  {
    Prepared put(db_, "INSERT OR REPLACE INTO rows VALUES(?,?,?,?)");
    for (auto& r : b.rows) {
      put.text(1, r.key);
      put.text(2, r.value);
      put.number(3, r.number);
      put.number(4, r.gone);
      good = good && put.done();
    }
    Prepared set(db_, "INSERT OR REPLACE INTO meta VALUES(?,?)");
    for (auto& [key, value] : b.meta) {
      set.text(1, key);
      set.text(2, value);
      good = good && set.done();
    }
  }
  if (good && run("COMMIT")) return true;
  run("ROLLBACK");
  return false;
}

std::vector<Row> SqliteDisk::rows() {
  std::vector<Row> out;
  Prepared q(db_, "SELECT key, value, number, gone FROM rows ORDER BY number");
  while (q.row()) out.push_back({q.column(0), q.column(1), q.column_number(2), q.column_number(3) != 0});
  return out;
}

std::map<std::string, std::string> SqliteDisk::meta() {
  std::map<std::string, std::string> out;
  Prepared q(db_, "SELECT key, value FROM meta");
  while (q.row()) out[q.column(0)] = q.column(1);
  return out;
}

}  // namespace pebblespindle
