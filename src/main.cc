#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "keel/registry.h"

int main(int argc, char** argv) {
  using namespace pebblespindle;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"pebblespindle: pools client sessions onto replicated databases"};
  app.require_subcommand(1);
  std::string argument;
  for (auto& [name, command] : commands()) {
    auto* sub = app.add_subcommand(name, command.help);
    if (!command.argument.empty()) sub->add_option(command.argument, argument, command.argument);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    int code = app.exit(e, std::cout, std::cerr);
    return code == 0 ? 0 : 2;
  }
  return commands().at(app.get_subcommands().front()->get_name()).run(argument);
}
