#include "storage/sqlite_store.h"

#include <sqlite3.h>

#include "storage/sqlite_statement.h"

namespace pebblespindle {
namespace {

const char* const kRowColumns =
    "(key TEXT PRIMARY KEY, value TEXT, number INTEGER, gone INTEGER) WITHOUT ROWID";

bool is_damage(int code) {
  return code == SQLITE_CORRUPT || code == SQLITE_NOTADB;
}

}  // namespace

Result<std::unique_ptr<SqliteStore>> SqliteStore::open(const std::string& path, const char* vfs) {
  std::unique_ptr<SqliteStore> store(new SqliteStore(path, vfs));
  const int code = store->connect();
  if (code == SQLITE_OK) return store;
  if (is_damage(code)) return Status::corruption(path + ": the file is damaged");
  return Status::io_error(path + ": " + sqlite3_errstr(code));
}

SqliteStore::~SqliteStore() {
  sqlite3_close(database_);
}

int SqliteStore::connect() {
  sqlite3_close(database_);
  database_ = nullptr;
  const int code =
      sqlite3_open_v2(path_.c_str(), &database_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, vfs_);
  if (code != SQLITE_OK) return code;
  // A rollback journal that is kept and overwritten: no shared memory, no file names that come and go.
  for (const char* sql :
       {"PRAGMA locking_mode=EXCLUSIVE", "PRAGMA journal_mode=PERSIST", "PRAGMA synchronous=FULL",
        "PRAGMA cache_size=-256", "PRAGMA mmap_size=0", "PRAGMA temp_store=MEMORY"})
    if (!run(sql)) return sqlite3_errcode(database_);
  if (const int damage = check_pages(); damage != SQLITE_OK) return damage;
  for (const std::string& table : {std::string("rows") + kRowColumns, std::string("staged") + kRowColumns,
                                   std::string("meta(key TEXT PRIMARY KEY, value TEXT) WITHOUT ROWID")})
    if (!run("CREATE TABLE IF NOT EXISTS " + table)) return sqlite3_errcode(database_);
  return SQLITE_OK;
}

int SqliteStore::check_pages() {
  SqliteStatement check(database_, "PRAGMA quick_check(1)");
  if (!check.next_row()) {
    const int code = sqlite3_errcode(database_);
    return code == SQLITE_OK ? SQLITE_CORRUPT : code;
  }
  return check.text(0) == "ok" ? SQLITE_OK : SQLITE_CORRUPT;
}

Status SqliteStore::reopen() {
  // A write that changes a whole page shows that the disk takes writes again.
  if (connect() == SQLITE_OK && run("INSERT OR REPLACE INTO meta VALUES('trial',hex(randomblob(2000)))"))
    return Status::ok();
  return last_error();
}

Status SqliteStore::last_error() const {
  return Status::io_error(path_ + ": " + sqlite3_errmsg(database_));
}

Status SqliteStore::commit(const WriteBatch& batch) {
  if (!run("BEGIN")) return last_error();
  if (apply(batch) && run("COMMIT")) return Status::ok();
  Status error = last_error();
  run("ROLLBACK");
  return error;
}

bool SqliteStore::apply(const WriteBatch& batch) {
  return (!batch.clear_staged || run("DELETE FROM staged")) &&
         put("INSERT OR REPLACE INTO staged VALUES(?,?,?,?)", batch.staged_rows) &&
         apply(batch.staged_action) && put("INSERT OR REPLACE INTO rows VALUES(?,?,?,?)", batch.rows) &&
         (batch.compact_to == 0 || compact(batch.compact_to)) && put_metadata(batch.metadata);
}

// Exchanging the tables costs the same for a state of any size.
bool SqliteStore::apply(WriteBatch::StagedAction action) {
  switch (action) {
    case WriteBatch::StagedAction::kKeep:
      return true;
    case WriteBatch::StagedAction::kReplaceRows:
      return run("DROP TABLE rows") && run("ALTER TABLE staged RENAME TO rows") &&
             run(std::string("CREATE TABLE staged") + kRowColumns);
    case WriteBatch::StagedAction::kMergeIntoRows:
      return run("INSERT OR REPLACE INTO rows SELECT * FROM staged") && run("DELETE FROM staged");
  }
  return false;
}

bool SqliteStore::compact(SequenceNumber sequence) {
  SqliteStatement compact(database_, "DELETE FROM rows WHERE gone AND number <= ?");
  compact.bind(1, sequence);
  return compact.execute();
}

bool SqliteStore::put_metadata(const std::map<std::string, std::string>& metadata) {
  SqliteStatement put(database_, "INSERT OR REPLACE INTO meta VALUES(?,?)");
  for (auto& [key, value] : metadata) {
    put.bind(1, key);
    put.bind(2, value);
    if (!put.execute()) return false;
  }
  return true;
}

bool SqliteStore::put(const char* sql, const std::vector<Row>& rows) {
  if (rows.empty()) return true;
  SqliteStatement put(database_, sql);
  for (auto& row : rows) {
    put.bind(1, row.key);
    put.bind(2, row.value);
    put.bind(3, row.sequence);
    put.bind(4, std::uint64_t(row.deleted));
    if (!put.execute()) return false;
  }
  return true;
}

bool SqliteStore::run(const std::string& sql) {
  return sqlite3_exec(database_, sql.c_str(), nullptr, nullptr, nullptr) == SQLITE_OK;
}

Result<std::vector<Row>> SqliteStore::read_rows(const char* sql) {
  std::vector<Row> rows;
  SqliteStatement query(database_, sql);
  while (query.next_row())
    rows.push_back({query.text(0), query.text(1), query.number(2), query.number(3) != 0});
  if (!query.is_complete()) return last_error();
  return rows;
}

Result<std::vector<Row>> SqliteStore::rows() {
  return read_rows("SELECT key, value, number, gone FROM rows");
}

Result<std::vector<Row>> SqliteStore::staged_rows() {
  return read_rows("SELECT key, value, number, gone FROM staged");
}

Result<std::map<std::string, std::string>> SqliteStore::metadata() {
  std::map<std::string, std::string> metadata;
  SqliteStatement query(database_, "SELECT key, value FROM meta");
  while (query.next_row()) metadata[query.text(0)] = query.text(1);
  if (!query.is_complete()) return last_error();
  return metadata;
}

Status SqliteStore::check_consistency() {
  SequenceNumber highest = 0;
  std::uint64_t count = 0;
  SqliteStatement query(database_, "SELECT count(*), coalesce(max(number),0) FROM rows");
  if (query.next_row()) {
    count = query.number(0);
    highest = query.number(1);
  } else {
    return last_error();
  }
  if (count == 0) return Status::ok();
  auto read = metadata();
  if (!read) return read.status();
  auto& stored = *read;
  const Json last_sequence = Json::parse(stored["stored"], nullptr, false);
  if (!last_sequence.is_number_unsigned())
    return Status::corruption("it holds rows, but not up to which sequence number");
  if (last_sequence.get<SequenceNumber>() < highest)
    return Status::corruption("its rows go up to " + std::to_string(highest) + ", it says " +
                              stored["stored"]);
  for (const char* key : {"durable", "view"})
    if (!Json::parse(stored[key], nullptr, false).is_object())
      return Status::corruption(std::string("it holds rows, but no ") + key + " state");
  return Status::ok();
}

}  // namespace pebblespindle
