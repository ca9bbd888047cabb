// The names in the directory of a store. Tests put a model in place that loses what was not synced.
#pragma once
#include <functional>
#include <string>

#include "base/status.h"

namespace pebblespindle {

// Names that are created, renamed or removed last once sync() is ok.
struct Directory {
  std::function<bool(const std::string& path)> exists;
  std::function<Status(const std::string& from, const std::string& to)> rename;
  std::function<Status(const std::string& path)> remove;  // ok as well where there is no such name
  std::function<Status()> sync;

  static Directory on_file_system(const std::string& path);
};

}  // namespace pebblespindle
