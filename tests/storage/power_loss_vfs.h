// An SQLite VFS in memory whose power can fail at any write: what was not synced is there, missing or torn,
// and each name made, changed or removed since its folder was synced is kept or lost by itself.
#pragma once
#include <sqlite3.h>

#include <cstring>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace pebblespindle::test {

struct PowerVfs {
  struct File {
    std::string synced, current;
    struct Write {
      std::size_t at;
      std::string bytes;
      bool cut;  // sets the length to `at` instead
    };
    std::vector<Write> later;
    static void apply(std::string& s, const Write& w, std::size_t n) {
      if (w.cut) return s.resize(w.at);
      if (s.size() < w.at + n) s.resize(w.at + n);
      std::memcpy(s.data() + w.at, w.bytes.data(), n);
    }
  };
  using FilePtr = std::shared_ptr<File>;
  // A change of the folder that was not synced: kept or lost by itself at a loss of power.
  struct NameChange {
    std::string from, to;  // made: from is empty; removed: to is empty
    FilePtr file;
  };
  struct Handle {
    sqlite3_file base;
    FilePtr* file;      // a handle keeps its file, whatever becomes of the name
    bool syncs_folder;  // as the unix VFS does with the first sync of a journal it may have made
  };
  static inline PowerVfs* me = nullptr;
  std::map<std::string, FilePtr> files, synced_names;
  std::vector<NameChange> names_later;
  std::mt19937 rng{1};
  long until_loss = -1;  // writes and syncs still to succeed; below 0: no loss is planned
  bool dark = false;

  bool fails() {
    if (until_loss >= 0 && until_loss-- == 0) dark = true;
    return dark;
  }
  // Power comes back: each write since the last sync is there, missing or torn.
  void power_cycle() {
    for (auto& c : names_later) {
      if (rng() % 2) continue;
      if (auto old = synced_names.find(c.from); old != synced_names.end() && old->second == c.file)
        synced_names.erase(old);
      if (!c.to.empty()) synced_names[c.to] = c.file;
    }
    names_later.clear();
    files = synced_names;
    for (auto& [name, f] : files) {
      std::string s = f->synced;
      for (auto& w : f->later) {
        auto n = rng() % 3 == 0 ? 0 : rng() % 2 ? w.bytes.size() : rng() % (w.bytes.size() + 1);
        if (w.cut ? rng() % 2 : n > 0) File::apply(s, w, n);
      }
      f->later.clear();
      f->synced = f->current = s;
    }
    dark = false;
    until_loss = -1;
  }

  bool exists(const std::string& name) const { return files.count(name) > 0; }
  bool sync_folder() {
    if (fails()) return false;
    synced_names = files;
    names_later.clear();
    return true;
  }
  bool rename(const std::string& from, const std::string& to) {
    auto f = files.find(from);
    if (f == files.end() || fails()) return false;
    FilePtr file = f->second;
    files.erase(f);
    files[to] = file;
    names_later.push_back({from, to, file});
    return true;
  }
  bool remove(const std::string& name) {
    auto f = files.find(name);
    if (f == files.end()) return true;
    if (fails()) return false;
    names_later.push_back({name, {}, f->second});
    files.erase(f);
    return true;
  }

  static File& of(sqlite3_file* f) { return **reinterpret_cast<Handle*>(f)->file; }
  static int write(sqlite3_file* f, const void* p, int n, sqlite3_int64 at) {
    if (me->fails()) return SQLITE_IOERR_WRITE;
    File::Write w{std::size_t(at), std::string(static_cast<const char*>(p), std::size_t(n)), false};
    File::apply(of(f).current, w, w.bytes.size());
    of(f).later.push_back(std::move(w));
    return SQLITE_OK;
  }
  static int read(sqlite3_file* f, void* p, int n, sqlite3_int64 at) {
    auto& s = of(f).current;
    std::memset(p, 0, std::size_t(n));
    if (std::size_t(at) >= s.size()) return SQLITE_IOERR_SHORT_READ;
    auto have = std::min(s.size() - std::size_t(at), std::size_t(n));
    std::memcpy(p, s.data() + at, have);
    return have == std::size_t(n) ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
  }
  static int open(sqlite3_vfs*, const char* name, sqlite3_file* f, int flags, int* out) {
    static sqlite3_io_methods methods = [] {
      sqlite3_io_methods m{};
      m.iVersion = 1;
      m.xClose = [](sqlite3_file* h) {
        delete reinterpret_cast<Handle*>(h)->file;
        return SQLITE_OK;
      };
      m.xRead = read;
      m.xWrite = write;
      m.xTruncate = [](sqlite3_file* h, sqlite3_int64 n) {
        if (me->fails()) return SQLITE_IOERR_TRUNCATE;
        File::Write w{std::size_t(n), {}, true};
        File::apply(of(h).current, w, 0);
        of(h).later.push_back(w);
        return SQLITE_OK;
      };
      m.xSync = [](sqlite3_file* h, int) {
        if (me->fails()) return SQLITE_IOERR_FSYNC;
        of(h).synced = of(h).current;
        of(h).later.clear();
        auto& folder = reinterpret_cast<Handle*>(h)->syncs_folder;
        if (folder && !me->sync_folder()) return SQLITE_IOERR_DIR_FSYNC;
        folder = false;
        return SQLITE_OK;
      };
      m.xFileSize = [](sqlite3_file* h, sqlite3_int64* n) {
        *n = sqlite3_int64(of(h).current.size());
        return SQLITE_OK;
      };
      m.xLock = m.xUnlock = [](sqlite3_file*, int) { return SQLITE_OK; };
      m.xCheckReservedLock = [](sqlite3_file*, int* r) { return *r = 0, SQLITE_OK; };
      m.xFileControl = [](sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; };
      m.xSectorSize = [](sqlite3_file*) { return 512; };
      m.xDeviceCharacteristics = [](sqlite3_file*) { return 0; };
      return m;
    }();
    const bool named = name != nullptr;
    FilePtr file = named && me->exists(name) ? me->files[name] : nullptr;
    if (!file) {
      reinterpret_cast<Handle*>(f)->base.pMethods = nullptr;
      if (named && !(flags & SQLITE_OPEN_CREATE)) return SQLITE_CANTOPEN;
      if (me->fails()) return SQLITE_CANTOPEN;
      file = std::make_shared<File>();
      if (named) me->files[name] = file, me->names_later.push_back({{}, name, file});
    }
    const int journals = SQLITE_OPEN_MAIN_JOURNAL | SQLITE_OPEN_SUPER_JOURNAL | SQLITE_OPEN_WAL;
    auto* h = reinterpret_cast<Handle*>(f);
    h->base.pMethods = &methods;
    h->file = new FilePtr(file);
    h->syncs_folder = (flags & SQLITE_OPEN_CREATE) && (flags & journals);
    if (out) *out = SQLITE_OPEN_READWRITE;
    return SQLITE_OK;
  }
  static const char* install(PowerVfs* p) {
    me = p;
    static sqlite3_vfs vfs = [] {
      sqlite3_vfs v = *sqlite3_vfs_find(nullptr);
      v.szOsFile = sizeof(Handle);
      v.zName = "power";
      v.pNext = nullptr;
      v.xOpen = open;
      v.xDelete = [](sqlite3_vfs*, const char* n, int sync) -> int {
        if (!me->exists(n)) return SQLITE_IOERR_DELETE_NOENT;
        if (!me->remove(n)) return SQLITE_IOERR_DELETE;
        return !sync || me->sync_folder() ? SQLITE_OK : SQLITE_IOERR_DIR_FSYNC;
      };
      v.xAccess = [](sqlite3_vfs*, const char* n, int, int* r) -> int {
        return *r = me->files.count(n) > 0, SQLITE_OK;
      };
      v.xFullPathname = [](sqlite3_vfs*, const char* n, int size, char* o) {
        return sqlite3_snprintf(size, o, "%s", n), SQLITE_OK;
      };
      return v;
    }();
    sqlite3_vfs_register(&vfs, 0);
    return "power";
  }
};

}  // namespace pebblespindle::test
