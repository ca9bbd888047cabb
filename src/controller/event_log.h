// What the person on call may want to know: each event is a log line, and the newest ones are shown by
// status.
#pragma once
#include <deque>
#include <string>

#include "base/log.h"
#include "base/types.h"

namespace pebblespindle {

class EventLog {
 public:
  struct Event {
    Instant at = 0;
    std::string text;
  };

  explicit EventLog(const Log& log) : log_(log) {}
  void add(Instant now, const std::string& event);
  const std::deque<Event>& newest() const { return events_; }  // the newest last

 private:
  const Log& log_;
  std::deque<Event> events_;
};

}  // namespace pebblespindle
