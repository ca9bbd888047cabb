// `check FILE`: whether a settings or configuration file is valid.
#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

#include "cli/command_registry.h"
#include "config/configuration_reader.h"
#include "settings/settings.h"

namespace pebblespindle {
namespace {

// Only a configuration has a revision.
bool is_configuration(const Json& document) {
  return document.is_object() && document.contains("Revision");
}

int check(const std::string& file) {
  auto text = read_file(file);
  if (!text) {
    std::cerr << "check: " << text.status().message() << "\n";
    return kExitFailure;
  }
  auto document = parse_json(*text);
  const bool configuration = document && is_configuration(*document);
  std::string error = document.status().message();
  if (document)
    error = configuration ? read_configuration(*text).status().message()
                          : read_settings(*text).status().message();
  if (!error.empty()) {
    std::cerr << file << ": " << error << "\n";
    return kExitFailure;
  }
  std::cout << file << ": a valid " << (configuration ? "configuration" : "settings file") << "\n";
  return kExitOk;
}

Command::Run prepare_check(CLI::App& app) {
  auto file = std::make_shared<std::string>();
  app.add_option("file", *file, "the file to check")->required();
  return [file] { return check(*file); };
}

const RegisterCommand kCheckCommand("check", {"checks a settings or configuration file", prepare_check});

}  // namespace
}  // namespace pebblespindle
