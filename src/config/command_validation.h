// What the head of the chain decides about a command: a pure function of the state, so that a command offered
// again is decided alike.
//
// A refusal is final, so it is given only where no later state could answer otherwise: versions of the
// configuration rise, and each has one successor. While that is open the answer is kUnavailable.
#pragma once
#include "config/commands.h"
#include "replication/environment.h"

namespace pebblespindle {

// Ok with the rows to write, none when nothing changes. kInvalidArgument: it is wrong by itself. kConflict:
// it builds on a version or an assignment that is not the present one. kUnavailable: not known yet, or no
// more.
replication::ValidationResult validate_command(const StateTable& state, const Json& encoded);

}  // namespace pebblespindle
