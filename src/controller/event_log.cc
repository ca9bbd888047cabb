#include "controller/event_log.h"

#include "controller/constants.h"

namespace pebblespindle {

void EventLog::add(Instant now, const std::string& event) {
  log_.say(event);
  events_.push_back({now, event});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

}  // namespace pebblespindle
