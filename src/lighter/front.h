// The clients of a lighter: HTTP connections, their limits, and answers in the order of the requests.
#pragma once
#include <deque>
#include <functional>
#include <map>

#include "keel/line_conn.h"
#include "keel/loop.h"
#include "lighter/call.h"
#include "ordinance/records.h"

namespace pebblespindle::lighter {

class Front {
 public:
  struct Out {
    std::function<void(CallId, Call)> call;
    std::function<void(CallId)> gone;  // nobody waits for it any more
    std::function<const Limits&()> limits;
  };
  Front(Loop& loop, Out out) : loop_(loop), out_(std::move(out)) {}
  std::string listen(const Endpoint& at);  // empty, or why not
  void answer(CallId id, Reply r);
  // No new connections, and those that rest are closed; answers close theirs.
  void leave();
  std::size_t waiting() const { return calls_.size(); }

 private:
  struct Place {  // in the order of the requests
    CallId id = 0;
    bool done = false, close = false, no_body = false;
    Reply reply;
  };
  struct Client {
    explicit Client(std::size_t head, std::size_t body) : reader(HttpReader::Kind::kRequests, head, body) {}
    LineConn::Ptr conn;
    HttpReader reader;
    std::deque<Place> places;
    bool closing = false;  // nothing more is read
    Timers::Id timer = 0;
  };
  using Ptr = std::shared_ptr<Client>;
  void accept(asio::ip::tcp::socket socket);
  void read(const Ptr& c, std::string_view bytes);
  void refuse(const Ptr& c, int status);
  void take(const Ptr& c, HttpMessage m);
  void flush(const Ptr& c);
  void watch(const Ptr& c);
  void ended(const Ptr& c);

  Loop& loop_;
  Out out_;
  std::unique_ptr<Acceptor> acceptor_;
  std::map<CallId, Ptr> calls_;
  std::map<Client*, Ptr> clients_;
  CallId last_ = 0;
  bool leaving_ = false;
};

}  // namespace pebblespindle::lighter
