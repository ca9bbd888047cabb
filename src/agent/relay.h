// What an agent passes on between the proxy beside it and its controller. No I/O.
//
// Answers of the controller name what they answer by a number or not at all. So one link to a controller
// serves one process of the proxy: when the proxy's link ends, the controller's ends as well, and with it all
// that is still on its way.
#pragma once
#include <string>

#include "agent/state_cache.h"

namespace pebblespindle {

class Relay {
 public:
  // What the relay asks of the process around it.
  class Port {
   public:
    Port() = default;
    virtual ~Port() = default;
    Port(const Port&) = delete;
    Port& operator=(const Port&) = delete;
    virtual void send_to_controller(const std::string& line) = 0;
    virtual void send_to_proxy(const std::string& line) = 0;
    virtual void on_renewal_sent() = 0;
    virtual void on_controller_list(const Json& list) = 0;  // the controllers in the view
    // After what was sent to it; another link is wanted.
    virtual void leave_controller() = 0;
  };
  Relay(Port& port, std::string node, std::string zone)
      : port_(port), node_(std::move(node)), zone_(std::move(zone)) {}

  void on_controller_up();  // over another link than before
  void on_controller_down() { controller_up_ = false; }
  void on_controller_line(std::string_view line);
  void on_proxy_up();  // a link of the proxy; the former one counts no more
  void on_proxy_down();
  void on_proxy_line(std::string_view line);
  // Without a proxy the machine's lease is kept all the same.
  void renew_without_proxy(Instant now);

  bool is_proxy_up() const { return proxy_up_; }
  SequenceNumber sequence() const { return cache_.sequence(); }

 private:
  void apply_feed(const Json& feed, std::string_view line);
  void renew(const Json& renewal);
  void leave_controller();

  Port& port_;
  std::string node_, zone_;
  StateCache cache_;
  Json last_renewal_;  // of this process of the proxy; null: none
  bool controller_up_ = false, proxy_up_ = false;
};

}  // namespace pebblespindle
