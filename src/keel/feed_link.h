// A proxy's link to the tender beside it: dialled over loopback, and dialled again whenever it ends.
#pragma once
#include "keel/constants.h"
#include "keel/line_conn.h"
#include "keel/loop.h"
#include "keel/schema.h"

namespace pebblespindle {

class FeedLink {
 public:
  struct Handlers {
    std::function<void(std::string_view line)> on_line;
    std::function<void()> on_up;
  };
  FeedLink(Loop& loop, Endpoint at, Handlers h) : loop_(loop), at_(std::move(at)), h_(std::move(h)) {}

  void start() {
    LineConn::connect(loop_.io(), at_, constants::kServerConnectMs, constants::kMaxLinkBytes,
                      [this](LineConn::Ptr conn, const asio::error_code&) {
                        if (!conn) return again();
                        conn_ = conn;
                        conn->start({[this](std::string_view line) { h_.on_line(line); },
                                     [this](LineConn::End) {
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
    loop_.timers().at(loop_.now() + constants::kReconnectMs, [this] { start(); });
    loop_.rearm();
  }
  Loop& loop_;
  Endpoint at_;
  Handlers h_;
  LineConn::Ptr conn_;
};

}  // namespace pebblespindle
