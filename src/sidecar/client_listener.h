// The clients of a sidecar: their connections, limits and timers; what is said on them is Pipeline's.
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
    std::function<void(CallId)> on_client_gone;  // nobody waits for it any more
    std::function<const Limits&()> limits;
  };
  ClientListener(EventLoop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}
  std::string listen(const Endpoint& at);  // empty, or why not
  void answer(CallId id, Reply r);
  // No new connections, and those that rest are closed; answers close theirs.
  void drain();
  // Requests without an answer, and connections with an answer that is not written out or not yet ended.
  std::size_t pending_count() const;

 private:
  struct Client {
    explicit Client(const Limits& l) : line(l) {}
    LineConnection::Ptr conn;
    Pipeline line;
    TimerQueue::Id timer = 0;
  };
  using Ptr = std::shared_ptr<Client>;
  void accept(asio::ip::tcp::socket socket);
  void read(const Ptr& c, std::string_view bytes);
  void write(const Ptr& c, const std::string& bytes);
  void written(const Ptr& c);
  void watch(const Ptr& c);
  void on_timer(const Ptr& c);
  void ended(const Ptr& c);

  EventLoop& loop_;
  Callbacks callbacks_;
  std::unique_ptr<Acceptor> acceptor_;
  std::map<CallId, Ptr> calls_;
  std::map<Client*, Ptr> clients_;
  CallId last_ = 0;
  bool draining_ = false;
};

}  // namespace pebblespindle::sidecar
