// The one program: reads the command line and runs the subcommand it names.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "cli/command_registry.h"

namespace {

// By default it would end a process that has no handler for it yet; EventLoop::on_signal lets it through.
void hold_back_hang_up() {
  sigset_t held;
  sigemptyset(&held);
  sigaddset(&held, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace pebblespindle;
  hold_back_hang_up();
  // A peer that closes its connection is an error of that write, not the end of the process.
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{
      "pebblespindle: pools client sessions onto replicated databases, and carries calls of services"};
  app.require_subcommand(1);
  app.footer("Exit codes: 0 done; 1 could not be done; 2 wrong words on the command line.");
  std::map<std::string, Command::Run> run;
  for (auto& [name, command] : commands())
    run[name] = command.prepare(*app.add_subcommand(name, command.help));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const bool asked_for_help = app.exit(error, std::cout, std::cerr) == 0;
    return asked_for_help ? kExitOk : kExitUsage;
  }
  return run.at(app.get_subcommands().front()->get_name())();
}
