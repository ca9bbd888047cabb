// What a pooler is told by its core, over the agent: read, checked, and handed to the engine. No I/O.
#pragma once
#include "pooler/engine.h"

namespace pebblespindle::pooler {

class ControlFeed {
 public:
  explicit ControlFeed(Engine& engine) : engine_(engine) {}
  // The link to the agent is another one: what answers questions of former links, or of a former life of
  // this process, is void.
  void on_link_up(Millis now) { link_up_at_ = now; }
  // A line of the agent. True: the control state may have moved, and is to be acknowledged.
  bool handle_line(Millis now, std::string_view line);
  const quota::HolderId& controller() const { return controller_; }  // the core that last gave rights

 private:
  bool requested_on_this_link(Millis now, Millis at) const { return at >= link_up_at_ && at <= now; }
  void apply_grant(Millis now, const Json& m);
  void apply_position(Millis now, const Json& m);
  Engine& engine_;
  Millis link_up_at_ = 0;
  quota::HolderId controller_;
};

}  // namespace pebblespindle::pooler
