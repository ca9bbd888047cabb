// `controller`: runs the controller on a core machine.
#include <chrono>
#include <thread>

#include "cli/command_registry.h"
#include "controller/controller.h"
#include "replication/timing.h"
#include "settings/run_role.h"
#include "storage/store_recovery.h"

namespace pebblespindle {
namespace {

// Full or stalled disks come back; until then there is nothing to serve.
std::unique_ptr<SqliteStore> open_store_patiently(const std::string& directory, const Log& log) {
  const auto notice = [&log](const std::string& message) { log.say(message); };
  auto store = open_store(directory, notice);
  if (!store) log.say("disk cannot be used, is tried again: " + store.status().message());
  while (!store) {
    std::this_thread::sleep_for(std::chrono::milliseconds(replication::kDiskRetryMs));
    store = open_store(directory, notice);
  }
  return std::move(*store);
}

int run_with(Settings settings) {
  const Log log("controller");
  if (settings.data_directory.empty()) {
    log.say("settings rejected: no DataDirectory");
    return kExitFailure;
  }
  auto store = open_store_patiently(settings.data_directory, log);
  return Controller(std::move(settings), std::move(store)).run();
}

int run_controller() {
  return run_role("controller", run_with);
}

const RegisterCommand kControllerCommand("controller", "serves the control plane on a core machine",
                                         run_controller);

}  // namespace
}  // namespace pebblespindle
