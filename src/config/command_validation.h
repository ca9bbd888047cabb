// Validates commands at the head of the replication chain. The result depends only on the state and the
// command, so a command that is submitted again to the same state gets the same result.
//
// kInvalidArgument and kConflict are final: they are returned only if no later state could accept the
// command. This can be decided because configuration revisions only increase and at most one change is
// applied on top of each. Otherwise the result is kUnavailable, and the sender may try again.
#pragma once
#include "config/commands.h"
#include "replication/environment.h"

namespace pebblespindle {

// Returns Ok with the rows to write, which are none if the command changes nothing. Errors:
// - kInvalidArgument: the command is invalid in any state.
// - kConflict: the command expects a revision, assignment or failover record other than the current one.
// - kUnavailable: the base revision has not been reached here yet, or is too old to be on record.
replication::ValidationResult validate_command(const StateTable& state, const Json& encoded);

}  // namespace pebblespindle
