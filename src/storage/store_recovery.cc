#include "storage/store_recovery.h"

namespace pebblespindle {
namespace {

class StoreOpener {
 public:
  StoreOpener(const std::string& path, const Directory& directory, const char* vfs)
      : file_(path + "/ledger.db"), journal_(file_ + "-journal"), directory_(directory), vfs_(vfs) {}

  Result<std::unique_ptr<SqliteStore>> open(const StoreNotice& notice) {
    if (!directory_.exists(file_)) return create();
    auto store = SqliteStore::open(file_, vfs_);
    if (!store && store.status().code() != StatusCode::kCorruption) return store;
    std::string damage = store.status().message();
    if (store) {
      const Status consistent = (*store)->check_consistency();
      if (consistent.is_ok()) return store;
      if (consistent.code() != StatusCode::kCorruption) return consistent;
      damage = file_ + ": the file contradicts itself: " + consistent.message();
      store->reset();  // closed before its name goes
    }
    const std::string kept = unused_name();
    if (!directory_.rename(file_, kept).is_ok() || !directory_.sync().is_ok())
      return Status::io_error(damage + "; it cannot be set aside");
    notice(damage + ". It is kept as " + kept + " and not used.");
    return create();
  }

 private:
  // The name of a new file lasts once its directory is synced: before anything is promised that rests on it.
  Result<std::unique_ptr<SqliteStore>> create() {
    // A journal without its database was left by a file that is gone.
    if (directory_.exists(journal_) && !(directory_.remove(journal_).is_ok() && directory_.sync().is_ok()))
      return Status::io_error(file_ + ": the journal of another file cannot be removed");
    auto store = SqliteStore::open(file_, vfs_);
    if (store && !directory_.sync().is_ok())
      return Status::io_error(file_ + ": the directory cannot be synced");
    return store;
  }
  std::string unused_name() const {
    int number = 1;
    while (directory_.exists(file_ + ".damaged-" + std::to_string(number))) ++number;
    return file_ + ".damaged-" + std::to_string(number);
  }

  const std::string file_, journal_;
  const Directory& directory_;
  const char* vfs_;
};

}  // namespace

Result<std::unique_ptr<SqliteStore>> open_store(const std::string& path, const StoreNotice& notice) {
  return open_store(path, Directory::on_file_system(path), nullptr, notice);
}

Result<std::unique_ptr<SqliteStore>> open_store(const std::string& path, const Directory& directory,
                                                const char* vfs, const StoreNotice& notice) {
  return StoreOpener(path, directory, vfs).open(notice);
}

}  // namespace pebblespindle
