// A proxy's link to the agent beside it: dialled over loopback, and dialled again whenever it ends.
#pragma once
#include "base/json_schema.h"
#include "net/constants.h"
#include "net/event_loop.h"
#include "net/line_connection.h"

namespace pebblespindle {

class AgentLink {
 public:
  struct Handlers {
    std::function<void(std::string_view line)> on_line;
    std::function<void()> on_up;
  };
  AgentLink(EventLoop& loop, Endpoint at, Handlers h) : loop_(loop), at_(std::move(at)), h_(std::move(h)) {}

  void start() {
    LineConnection::connect(loop_.io(), at_, kServerConnectMs, Framing::kLfLines, kMaxLinkBytes,
                            [this](LineConnection::Ptr conn, const asio::error_code&) {
                              if (!conn) return again();
                              conn_ = conn;
                              conn->start({[this](std::string_view line) { h_.on_line(line); },
                                           [this](LineConnection::End) {
                                             conn_ = nullptr;
                                             again();
                                           },
                                           [this] { loop_.rearm(); }});
                              h_.on_up();
                            });
  }
  // False, and nothing is sent, while it is down.
  bool send(const Json& m) {
    if (conn_) conn_->send(m.dump() + "\n");
    return conn_ != nullptr;
  }
  bool up() const { return conn_ != nullptr; }

 private:
  void again() {
    loop_.timers().at(loop_.now() + kReconnectMs, [this] { start(); });
    loop_.rearm();
  }
  EventLoop& loop_;
  Endpoint at_;
  Handlers h_;
  LineConnection::Ptr conn_;
};

}  // namespace pebblespindle
