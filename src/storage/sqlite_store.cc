#include "storage/sqlite_store.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <unistd.h>

#include <filesystem>

namespace pebblespindle {
namespace {

const std::string kRowColumns =
    "(key TEXT PRIMARY KEY, value TEXT, number INTEGER, gone INTEGER) WITHOUT ROWID";

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

int SqliteStore::connect() {
  sqlite3_close(db_);
  db_ = nullptr;
  int rc = sqlite3_open_v2(path_.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, vfs_);
  if (rc != SQLITE_OK) return rc;
  // A rollback journal that is kept and overwritten: no shared memory, no file names that come and go.
  for (const char* sql :
       {"PRAGMA locking_mode=EXCLUSIVE", "PRAGMA journal_mode=PERSIST", "PRAGMA synchronous=FULL",
        "PRAGMA cache_size=-256", "PRAGMA mmap_size=0", "PRAGMA temp_store=MEMORY"})
    if (!run(sql)) return sqlite3_errcode(db_);
  {
    Prepared check(db_, "PRAGMA quick_check(1)");
    if (!check.row()) {
      int code = sqlite3_errcode(db_);
      return code == SQLITE_OK ? SQLITE_CORRUPT : code;
    }
    if (check.column(0) != "ok") return SQLITE_CORRUPT;
  }
  for (auto& sql :
       {"CREATE TABLE IF NOT EXISTS rows" + kRowColumns, "CREATE TABLE IF NOT EXISTS staged" + kRowColumns,
        std::string("CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value TEXT) WITHOUT ROWID")})
    if (!run(sql)) return sqlite3_errcode(db_);
  return SQLITE_OK;
}

Outcome<std::unique_ptr<SqliteStore>> SqliteStore::open(const std::string& path, const char* vfs,
                                                        bool* damaged) {
  using Out = Outcome<std::unique_ptr<SqliteStore>>;
  std::unique_ptr<SqliteStore> disk(new SqliteStore(path, vfs));
  int rc = disk->connect();
  if (rc == SQLITE_OK) return Out::ok(std::move(disk));
  bool bad = rc == SQLITE_CORRUPT || rc == SQLITE_NOTADB;
  if (damaged) *damaged = bad;
  return Out::fail(path + ": " + (bad ? "the file is damaged" : sqlite3_errstr(rc)));
}

bool SqliteStore::reopen() {
  // A write that changes a whole page shows that the disk takes writes again.
  return connect() == SQLITE_OK && run("INSERT OR REPLACE INTO meta VALUES('trial',hex(randomblob(2000)))");
}

Folder Folder::of(const std::string& directory) {
  namespace fs = std::filesystem;
  Folder f;
  f.exists = [](const std::string& path) {
    std::error_code ec;
    return fs::exists(path, ec);
  };
  f.rename = [](const std::string& from, const std::string& to) {
    std::error_code ec;
    fs::rename(from, to, ec);
    return !ec;
  };
  f.remove = [](const std::string& path) {
    std::error_code ec;
    fs::remove(path, ec);
    return !ec;
  };
  f.sync = [directory] {
    int fd = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY);
    if (fd < 0) return false;
    bool synced = ::fsync(fd) == 0;
    ::close(fd);
    return synced;
  };
  return f;
}

// All that the chain stores goes in one batch with its meta, so each of these stands for a file that was put
// together from several.
std::string SqliteStore::contradiction() {
  std::uint64_t highest = 0, count = 0;
  Prepared q(db_, "SELECT count(*), coalesce(max(number),0) FROM rows");
  if (q.row()) count = q.column_number(0), highest = q.column_number(1);
  if (count == 0) return {};
  auto m = meta();
  auto stored = Json::parse(m["stored"], nullptr, false);
  if (!stored.is_number_unsigned()) return "it holds rows, but not up to which number";
  if (stored.get<std::uint64_t>() < highest)
    return "its rows go up to " + std::to_string(highest) + ", it says " + m["stored"];
  for (const char* key : {"durable", "view"})
    if (!Json::parse(m[key], nullptr, false).is_object())
      return std::string("it holds rows, but no ") + key + " state";
  return {};
}

Outcome<std::unique_ptr<SqliteStore>> open_store(const std::string& directory,
                                                 const std::function<void(const std::string&)>& note) {
  return open_store(directory, Folder::of(directory), nullptr, note);
}

Outcome<std::unique_ptr<SqliteStore>> open_store(const std::string& directory, const Folder& folder,
                                                 const char* vfs,
                                                 const std::function<void(const std::string&)>& note) {
  using Out = Outcome<std::unique_ptr<SqliteStore>>;
  const std::string path = directory + "/ledger.db", journal = path + "-journal";
  // The name of a new file lasts once its folder is synced: before anything is promised that rests on it.
  auto open_new = [&] {
    // A journal without its database was left by a file that is gone.
    if (folder.exists(journal) && !(folder.remove(journal) && folder.sync()))
      return Out::fail(path + ": the journal of another file cannot be removed");
    auto disk = SqliteStore::open(path, vfs);
    if (disk && !folder.sync()) return Out::fail(path + ": the folder cannot be synced");
    return disk;
  };
  if (!folder.exists(path)) return open_new();
  bool damaged = false;
  auto disk = SqliteStore::open(path, vfs, &damaged);
  if (!disk && !damaged) return disk;
  std::string reason = disk.reason;
  if (disk) {
    std::string wrong = (*disk.value)->contradiction();
    if (wrong.empty()) return disk;
    reason = path + ": the file contradicts itself: " + wrong;
    disk.value->reset();  // closed before its name goes
  }
  std::string aside;
  for (int n = 1; aside.empty() || folder.exists(aside); ++n) aside = path + ".damaged-" + std::to_string(n);
  // One name after the other, each lasting before the next: a database without its journal, or beside that of
  // another, may look whole.
  if (!folder.rename(path, aside) || !folder.sync()) return Out::fail(reason + "; it cannot be set aside");
  note(reason + ". It is kept as " + aside + " and not used.");
  return open_new();
}

SqliteStore::~SqliteStore() {
  sqlite3_close(db_);
}

bool SqliteStore::run(const std::string& sql) {
  return sqlite3_exec(db_, sql.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK;
}

bool SqliteStore::put(const char* sql, const std::vector<Row>& rows) {
  if (rows.empty()) return true;
  Prepared put(db_, sql);
  for (auto& r : rows) {
    put.text(1, r.key);
    put.text(2, r.value);
    put.number(3, r.number);
    put.number(4, r.gone);
    if (!put.done()) return false;
  }
  return true;
}

// Exchanging the tables costs the same for a state of any size.
bool SqliteStore::promote(Batch::Promote how) {
  if (how == Batch::Promote::kReplace)
    return run("DROP TABLE rows") && run("ALTER TABLE staged RENAME TO rows") &&
           run("CREATE TABLE staged" + kRowColumns);
  if (how == Batch::Promote::kMerge)
    return run("INSERT OR REPLACE INTO rows SELECT * FROM staged") && run("DELETE FROM staged");
  return true;
}

bool SqliteStore::commit(const Batch& b) {
  if (!run("BEGIN")) return false;
  bool good = !b.clear_staged || run("DELETE FROM staged");
  good = good && put("INSERT OR REPLACE INTO staged VALUES(?,?,?,?)", b.staged) && promote(b.promote);
  good = good && put("INSERT OR REPLACE INTO rows VALUES(?,?,?,?)", b.rows);
  if (b.trim > 0) {
    Prepared trim(db_, "DELETE FROM rows WHERE gone AND number <= ?");
    trim.number(1, b.trim);
    good = good && trim.done();
  }
  {
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

std::vector<Row> SqliteStore::read(const char* sql) {
  std::vector<Row> out;
  Prepared q(db_, sql);
  while (q.row()) out.push_back({q.column(0), q.column(1), q.column_number(2), q.column_number(3) != 0});
  return out;
}

std::vector<Row> SqliteStore::rows() {
  return read("SELECT key, value, number, gone FROM rows");
}

std::vector<Row> SqliteStore::staged() {
  return read("SELECT key, value, number, gone FROM staged");
}

std::map<std::string, std::string> SqliteStore::meta() {
  std::map<std::string, std::string> out;
  Prepared q(db_, "SELECT key, value FROM meta");
  while (q.row()) out[q.column(0)] = q.column(1);
  return out;
}

}  // namespace pebblespindle
