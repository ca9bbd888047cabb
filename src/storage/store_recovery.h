// Opens the store of a directory at the start of a process.
//
// A file that is damaged or contradicts itself is renamed and not used: the replica starts without a state,
// as a newcomer, and takes it from the others. The file is kept for people to look at. Names are renamed and
// removed one after the other, each lasting before the next: a database without its journal, or beside that
// of another, may look whole.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "storage/directory.h"
#include "storage/sqlite_store.h"

namespace pebblespindle {

using StoreNotice = std::function<void(const std::string& message)>;

// notice is called when a file is set aside. kIoError: try again later.
Result<std::unique_ptr<SqliteStore>> open_store(const std::string& path, const StoreNotice& notice);
// The same on a given directory and SQLite VFS (null: the system's own), for tests.
Result<std::unique_ptr<SqliteStore>> open_store(const std::string& path, const Directory& directory,
                                                const char* vfs, const StoreNotice& notice);

}  // namespace pebblespindle
