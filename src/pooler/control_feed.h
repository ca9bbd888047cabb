// Parses and checks the messages that the controller sends to a pooler through the agent, and passes them to
// the engine. Does no I/O.
#pragma once
#include "pooler/engine.h"

namespace pebblespindle::pooler {

class ControlFeed {
 public:
  explicit ControlFeed(Engine& engine) : engine_(engine) {}
  // Called when a new link to the agent is up. Replies to requests from earlier links, or from an earlier run
  // of this process, are ignored from then on.
  void on_link_up(Millis now) { link_up_at_ = now; }
  // Handles one line from the agent. Returns true if the control state may have changed, so that the caller
  // acknowledges it.
  bool handle_line(Millis now, std::string_view line);
  const quota::HolderId& controller() const { return controller_; }  // the controller that last granted quota

 private:
  bool requested_on_this_link(Millis now, Millis at) const { return at >= link_up_at_ && at <= now; }
  void apply_grant(Millis now, const Json& message);
  void apply_position(Millis now, const Json& message);
  Engine& engine_;
  Millis link_up_at_ = 0;
  quota::HolderId controller_;
};

}  // namespace pebblespindle::pooler
