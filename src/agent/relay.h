// What an agent passes on between the proxy beside it and its core, and whose lives and links that belongs
// to. No I/O.
//
// Answers of the core name what they answer by a number or not at all. So one link to a core serves one life
// of the proxy: when the proxy's link ends, the core's ends as well, and with it all that is still on its
// way.
#pragma once
#include <string>

#include "agent/state_cache.h"

namespace pebblespindle {

class Relay {
 public:
  class Port {
   public:
    virtual ~Port() = default;
    virtual void to_core(const std::string& line) = 0;
    virtual void to_proxy(const std::string& line) = 0;
    virtual void renewing() = 0;          // a renewal goes to the core
    virtual void cores(const Json&) = 0;  // the cores in the view
    virtual void leave_core() = 0;        // after what was sent to it; another link is wanted
  };
  Relay(Port& port, std::string node, std::string zone)
      : port_(port), node_(std::move(node)), zone_(std::move(zone)) {}

  void core_up();  // the link is another one
  void core_down() { core_ = false; }
  void core_line(std::string_view line);
  void proxy_up();  // a link of the proxy; the former one counts no more
  void proxy_down();
  void proxy_line(std::string_view line);
  // Without a proxy the machine's lease is kept all the same.
  void renew_alone(Millis now);

  bool proxy() const { return proxy_; }
  std::uint64_t number() const { return hold_.number(); }

 private:
  void renew(const Json& m);
  void leave();
  Port& port_;
  std::string node_, zone_;
  StateCache hold_;
  Json last_renew_;  // of this life of the proxy
  bool core_ = false, proxy_ = false;
};

}  // namespace pebblespindle
