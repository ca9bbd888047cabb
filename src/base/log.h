// Short sentences with a fixed prefix for each part, on standard error.
#pragma once
#include <string>

namespace pebblespindle {

class Log {
 public:
  explicit Log(std::string prefix) : prefix_(std::move(prefix)) {}
  void say(const std::string& sentence) const;

 private:
  std::string prefix_;
};

}  // namespace pebblespindle
