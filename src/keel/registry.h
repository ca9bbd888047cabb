// Plug-ins register themselves here from static initialisers.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pebblespindle {

struct Command {
  std::string help;
  std::string argument;  // name of the one optional argument, empty for none
  std::function<int(const std::string& argument)> run;
};

std::map<std::string, Command>& commands();

struct RegisterCommand {
  RegisterCommand(const std::string& name, Command c) { commands()[name] = std::move(c); }
};

}  // namespace pebblespindle
