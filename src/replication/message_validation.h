// The shape of what cores say to each other. A message that has not this shape changes nothing.
#pragma once
#include "base/json_schema.h"

namespace pebblespindle::replication {

bool well_formed(const Json& message);

}  // namespace pebblespindle::replication
