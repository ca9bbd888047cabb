// The agent process, beside a proxy on each machine: keeps the machine's lease and the link to a controller,
// and feeds the proxy.
//
// It holds one link to a controller that has a place for it, in its own zone if there is one, and asks others
// as soon as a renewal stays unanswered, while the lease still runs. All on one event loop.
#pragma once
#include <map>
#include <memory>

#include "agent/controller_directory.h"
#include "agent/relay.h"
#include "base/log.h"
#include "net/event_loop.h"
#include "net/line_connection.h"

namespace pebblespindle {

class Agent : private Relay::Port {
 public:
  explicit Agent(Settings settings);
  int run();  // until it is asked to end; an exit code

 private:
  // A controller that has been asked for a place.
  struct Candidate {
    LineConnection::Ptr connection;  // null while it is being connected
    Instant since = 0;
  };

  // Relay::Port
  void send_to_controller(const std::string& line) override;
  void send_to_proxy(const std::string& line) override;
  void on_renewal_sent() override;
  void on_controller_list(const Json& list) override;
  void leave_controller() override;

  void begin_exit();
  void reload_settings();
  void tick();
  void drop_silent_controller(Instant now);
  void look_for_controller(Instant now);
  void expire_candidates(Instant now);

  void query_next();
  void query(const std::string& host);
  void on_connected(const std::string& host, const LineConnection::Ptr& connection);
  void on_line(const LineConnection::Ptr& connection, const std::string& host, std::string_view line);
  void on_query_answer(const LineConnection::Ptr& connection, const std::string& host, std::string_view line);
  void on_end(const LineConnection::Ptr& connection, const std::string& host);
  void link_to(const LineConnection::Ptr& connection, const std::string& host);
  void drop_controller();
  std::string linked_host() const { return controller_ ? controller_host_ : std::string(); }

  void accept_proxy(asio::ip::tcp::socket socket);
  void on_proxy_end(const LineConnection::Ptr& connection);

  Log log_{"agent"};
  Settings settings_;
  EventLoop loop_;
  std::unique_ptr<Acceptor> acceptor_;
  ControllerDirectory directory_;
  LineConnection::Ptr controller_, proxy_;
  std::string controller_host_, controller_zone_;
  std::map<std::string, Candidate> candidates_;  // by host
  Instant heard_at_ = 0;                         // the last line of the controller
  Instant renewal_sent_at_ = 0;                  // the oldest renewal without an answer
  Instant next_renewal_at_ = 0, next_home_query_at_ = 0, next_query_at_ = 0;
  bool exiting_ = false;
  Relay relay_;
};

}  // namespace pebblespindle
