// Parses and validates configurations and patches, the bodies of PUT /configuration and PATCH /configuration.
#pragma once
#include <string>
#include <string_view>

#include "base/status.h"
#include "config/configuration.h"

namespace pebblespindle {

// Returns kInvalidArgument with a one-line description if the configuration is invalid.
Result<Configuration> read_configuration(std::string_view text);
// Returns kInvalidArgument if the patch is malformed, whatever the configuration that it is applied to.
Status check_patch(std::string_view patch);
// Applies a patch, which adds, replaces and removes items by name, to the JSON text of a configuration and
// returns the new text. All other items stay as they are, in their order. Returns the errors of
// check_patch(), and kInvalidArgument if the patch names items of what is not a list of named items in this
// configuration; the caller has to validate the result with read_configuration().
Result<std::string> apply_patch(const std::string& configuration, std::string_view patch);

}  // namespace pebblespindle
