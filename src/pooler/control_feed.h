// What a pooler is told by its core, over the agent: read, checked, and handed to the engine. No I/O.
#pragma once
#include "pooler/engine.h"

namespace pebblespindle::pooler {

class News {
 public:
  explicit News(Engine& engine) : engine_(engine) {}
  // The link to the agent is another one: what answers questions of former links, or of a former life of
  // this process, is void.
  void linked(Millis now) { linked_at_ = now; }
  // A line of the agent. True: the control state may have moved, and is to be acknowledged.
  bool hear(Millis now, std::string_view line);
  const quota::Holder& core() const { return core_; }  // the core that last gave rights

 private:
  bool asked_here(Millis now, Millis at) const { return at >= linked_at_ && at <= now; }
  void grant(Millis now, const Json& m);
  void depth(Millis now, const Json& m);
  Engine& engine_;
  Millis linked_at_ = 0;
  quota::Holder core_;
};

}  // namespace pebblespindle::pooler
