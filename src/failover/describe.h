// Formats replies of databases and outcomes of promote calls for log lines.
#pragma once
#include <map>
#include <string>

#include "failover/database_reply.h"
#include "failover/operation.h"

namespace pebblespindle::failover {

// "ID:role@position/term/held", or "ID:failure(error)" if the database did not reply with a row. `held` is
// the term that the database is paused for.
std::string describe(const InstanceId& id, const DatabaseReply& reply);
std::string describe(const std::map<InstanceId, DatabaseReply>& replies);
std::string describe(PromoteOutcome outcome);

}  // namespace pebblespindle::failover
