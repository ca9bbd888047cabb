// Reads and checks configurations and changes of them, as the operator sends them (the page's PUT and PATCH
// /configuration).
#pragma once
#include <string>
#include <string_view>

#include "base/status.h"
#include "config/configuration.h"

namespace pebblespindle {

// kInvalidArgument says in one line what is wrong.
Result<Configuration> read_configuration(std::string_view text);
// kInvalidArgument for a change of named items that no configuration could make valid.
Status check_patch(std::string_view patch);
// The configuration that a change of named items makes of another one. What it leaves out stays; the order of
// the items does too. kInvalidArgument as check_patch(); the result is still to be read and checked.
Result<std::string> apply_patch(const std::string& configuration, std::string_view patch);

}  // namespace pebblespindle
