#include "storage/directory.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace pebblespindle {
namespace {

Status status_of(const std::error_code& error, const std::string& path) {
  return error ? Status::io_error(path + ": " + error.message()) : Status::ok();
}

Status sync_directory(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY);
  if (fd < 0) return Status::io_error(path + ": " + std::strerror(errno));
  const bool synced = ::fsync(fd) == 0;
  const int error = errno;
  ::close(fd);
  return synced ? Status::ok() : Status::io_error(path + ": " + std::strerror(error));
}

}  // namespace

Directory Directory::on_file_system(const std::string& path) {
  Directory directory;
  directory.exists = [](const std::string& name) {
    std::error_code ignored;
    return std::filesystem::exists(name, ignored);
  };
  directory.rename = [](const std::string& from, const std::string& to) {
    std::error_code error;
    std::filesystem::rename(from, to, error);
    return status_of(error, from);
  };
  directory.remove = [](const std::string& name) {
    std::error_code error;
    std::filesystem::remove(name, error);
    return status_of(error, name);
  };
  directory.sync = [path] { return sync_directory(path); };
  return directory;
}

}  // namespace pebblespindle
