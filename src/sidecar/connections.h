// The connections of a sidecar to its peers and to the database beside it: sockets only, no judgement.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "net/event_loop.h"
#include "net/line_connection.h"
#include "sidecar/app_response_reader.h"
#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

// PeerLinks to other sidecars: one each way, kept; frames are MessagePack.
class PeerLinks {
 public:
  struct Callbacks {
    std::function<void(const Endpoint& from, const Json&)> on_answer;  // over a link this side has opened
    std::function<void(const Endpoint&, bool sent)> on_link_down;
    std::function<void(const Endpoint&)> on_peer_ending;  // it has announced its end
    std::function<void(LinkId, const Json&)> on_offer;    // over a link the other side has opened
    std::function<void(LinkId)> on_link_closed;
  };
  PeerLinks(EventLoop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}
  std::string listen(const Endpoint& at);
  void send(const Endpoint& to, const Json& frame);
  bool is_linked(const Endpoint& to) const;
  void connect(const Endpoint& to);
  // Takes back offer `n` where it still waits for its link. False: it may have left, and is called off there.
  bool withdraw(const Endpoint& to, std::uint64_t n);
  void reply(LinkId link, const Json& frame);
  bool has_unsent() const;  // something waits to be written
  // Tells all who have a link here that this process ends and takes nothing more.
  void announce_shutdown();

 private:
  struct Held {
    Json frame;
    Millis since = 0;
  };
  struct Peer {
    LineConnection::Ptr conn;
    std::vector<Held> held;  // until it is up
    bool dialling = false;
  };
  void accept(asio::ip::tcp::socket socket);
  void dial(const Endpoint& to);
  EventLoop& loop_;
  Callbacks callbacks_;
  std::unique_ptr<Acceptor> acceptor_;
  std::map<Endpoint, Peer> peers_;
  std::map<LinkId, LineConnection::Ptr> callers_;
  LinkId last_ = 0;
  bool ending_ = false;
};

// Connections to the database: one request at a time on each.
class AppConnections {
 public:
  struct Callbacks {
    std::function<void(ConnId)> on_up;
    std::function<void(ConnId)> on_bytes;  // something has come, which may be part of an answer
    std::function<void(ConnId, Reply, Millis keep_alive_ms)> on_reply;
    std::function<void(ConnId, bool refused)> on_down;
  };
  AppConnections(EventLoop& loop, std::optional<Endpoint> app, Callbacks callbacks)
      : loop_(loop), app_(std::move(app)), callbacks_(std::move(callbacks)) {}
  void open(ConnId id);
  void send(ConnId id, const Call& c);
  void close(ConnId id);

 private:
  struct Conn {
    LineConnection::Ptr conn;
    AppResponseReader reader;
  };
  void read(ConnId id, std::string_view bytes);
  EventLoop& loop_;
  std::optional<Endpoint> app_;
  Callbacks callbacks_;
  std::map<ConnId, std::shared_ptr<Conn>> conns_;
  std::set<ConnId> opening_;
};

}  // namespace pebblespindle::sidecar
