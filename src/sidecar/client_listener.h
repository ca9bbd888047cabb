// Accepts the connections of clients on this machine and applies their limits and timeouts. Pipeline handles
// the HTTP on each connection.
#pragma once
#include <functional>
#include <map>

#include "net/event_loop.h"
#include "net/line_connection.h"
#include "sidecar/pipeline.h"

namespace pebblespindle::sidecar {

class ClientListener {
 public:
  struct Callbacks {
    std::function<void(CallId, Call)> on_call;
    std::function<void(CallId)> on_client_gone;  // the client of a call has left
    std::function<const Limits&()> limits;
  };
  ClientListener(EventLoop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}
  std::string listen(const Endpoint& at);  // empty, or the error
  // Sends a response to its client. Ignored if the client has left or the call has been answered.
  void answer(CallId id, Reply reply);
  // Accepts no new connections and closes idle ones; other connections are closed after their last response.
  void drain();
  // Requests without a response, plus connections whose responses are not fully written or that are closing.
  std::size_t pending_count() const;

 private:
  struct Client {
    explicit Client(const Limits& limits) : pipeline(limits) {}
    LineConnection::Ptr conn;
    Pipeline pipeline;
    TimerQueue::Id timer = 0;
  };
  using Ptr = std::shared_ptr<Client>;
  void accept(asio::ip::tcp::socket socket);
  void on_read(const Ptr& client, std::string_view bytes);
  void write(const Ptr& client, const std::string& bytes);
  void on_written(const Ptr& client);
  void restart_timer(const Ptr& client);
  void on_timer(const Ptr& client);
  void answer_failed(const Ptr& client);
  void on_closed(const Ptr& client);

  EventLoop& loop_;
  Callbacks callbacks_;
  std::unique_ptr<Acceptor> acceptor_;
  std::map<CallId, Ptr> calls_;
  std::map<Client*, Ptr> clients_;
  CallId last_id_ = 0;
  bool draining_ = false;
};

}  // namespace pebblespindle::sidecar
