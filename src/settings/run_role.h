// Starts a role: reads and checks the settings, says in one line what is wrong with them, else runs.
#pragma once
#include "base/log.h"
#include "settings/settings.h"

namespace pebblespindle {

template <class Run>
int run_role(const char* prefix, Run run) {
  auto settings = load_settings(settings_path());
  if (settings) return run(std::move(*settings));
  Log(prefix).say("Settings not taken: " + settings.status().message() + ".");
  return 1;
}

}  // namespace pebblespindle
