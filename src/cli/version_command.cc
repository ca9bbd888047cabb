// `version`: the version of the program.
#include <iostream>

#include "cli/command_registry.h"

namespace pebblespindle {
namespace {

int print_version() {
  std::cout << "pebblespindle " << PEBBLESPINDLE_VERSION << "\n";
  return kExitOk;
}

const RegisterCommand kVersionCommand("version", "prints the version", print_version);

}  // namespace
}  // namespace pebblespindle
