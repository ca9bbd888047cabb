// The subcommands of the program. Each module that has one registers it from a static initialiser, so that
// main() names none of them.
#pragma once
#include <functional>
#include <map>
#include <string>

namespace CLI {
class App;
}

namespace pebblespindle {

// Exit codes of every command.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;  // the command was understood and could not be carried out
constexpr int kExitUsage = 2;    // wrong words on the command line

struct Command {
  using Run = std::function<int()>;
  std::string help;
  // Adds the command's options to its own CLI11 application, and returns what runs once they are parsed.
  std::function<Run(CLI::App&)> prepare;
};

std::map<std::string, Command>& commands();

struct RegisterCommand {
  RegisterCommand(const std::string& name, Command command) { commands()[name] = std::move(command); }
  // A command without options.
  RegisterCommand(const std::string& name, const std::string& help, int (*run)()) {
    commands()[name] = {help, [run](CLI::App&) { return run; }};
  }
};

}  // namespace pebblespindle
