#include "base/log.h"

#include <unistd.h>

namespace pebblespindle {

void Log::say(const std::string& sentence) const {
  std::string line = prefix_ + ": " + sentence + "\n";
  // A log line that cannot be written is dropped: nothing depends on it.
  [[maybe_unused]] auto written = ::write(2, line.data(), line.size());
}

}  // namespace pebblespindle
