#include "cli/command_registry.h"

namespace pebblespindle {

std::map<std::string, Command>& commands() {
  static std::map<std::string, Command> all;
  return all;
}

}  // namespace pebblespindle
