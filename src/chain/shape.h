// The shape of what cores say to each other. A message that has not this shape changes nothing.
#pragma once
#include "keel/schema.h"

namespace pebblespindle::chain {

bool well_formed(const Json& message);

}  // namespace pebblespindle::chain
