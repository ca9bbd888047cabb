// The connections of a sidecar to its peers and to the database on its machine: sockets only, no decisions.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "net/event_loop.h"
#include "net/line_connection.h"
#include "sidecar/app_response_reader.h"
#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

// Links to other sidecars: one in each direction, kept open. They carry MessagePack frames.
class PeerLinks {
 public:
  struct Callbacks {
    std::function<void(const Endpoint& from, const Json&)> on_answer;  // on a link that this side opened
    std::function<void(const Endpoint&, bool sent)> on_link_down;
    std::function<void(const Endpoint&)> on_peer_ending;  // the peer has announced its shutdown
    std::function<void(LinkId, const Json&)> on_offer;    // on a link that the peer opened
    std::function<void(LinkId)> on_link_closed;
  };
  PeerLinks(EventLoop& loop, Callbacks callbacks) : loop_(loop), callbacks_(std::move(callbacks)) {}
  // Returns an empty text or the error.
  std::string listen(const Endpoint& at);
  // Sends an offer, once the link is established if there is none.
  void send(const Endpoint& to, const Json& frame);
  bool is_linked(const Endpoint& to) const;
  void connect(const Endpoint& to);
  // Removes an offer that still waits for its link. False: it may have been sent, and the peer is asked to
  // cancel it.
  bool withdraw(const Endpoint& to, std::uint64_t offer_number);
  // Sends a frame back over a link that the peer opened.
  void reply(LinkId link, const Json& frame);
  bool has_unsent() const;  // replies to peers that are not written yet
  // Announces to all peers with a link to this process, now or later, that it accepts no more offers.
  void announce_shutdown();

 private:
  struct QueuedFrame {
    Json frame;
    Millis queued_at = 0;
  };
  struct Peer {
    LineConnection::Ptr conn;
    std::vector<QueuedFrame> queued_frames;  // until the link is established
    bool connecting = false;
  };
  void accept(asio::ip::tcp::socket socket);
  void open_link(const Endpoint& to);
  EventLoop& loop_;
  Callbacks callbacks_;
  std::unique_ptr<Acceptor> acceptor_;
  std::map<Endpoint, Peer> peers_;
  std::map<LinkId, LineConnection::Ptr> accepted_links_;
  LinkId last_link_ = 0;
  bool shutting_down_ = false;
};

// Connections to the database, each with one request at a time.
class AppConnections {
 public:
  struct Callbacks {
    std::function<void(ConnId)> on_up;
    std::function<void(ConnId)> on_bytes;  // bytes have arrived, perhaps only part of a response
    std::function<void(ConnId, Reply, Millis keep_alive_ms)> on_reply;
    std::function<void(ConnId, bool refused)> on_down;
  };
  AppConnections(EventLoop& loop, std::optional<Endpoint> app, Callbacks callbacks)
      : loop_(loop), app_(std::move(app)), callbacks_(std::move(callbacks)) {}
  void open(ConnId id);
  void send(ConnId id, const Call& call);
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
  std::map<ConnId, std::shared_ptr<Conn>> connections_;
  std::set<ConnId> opening_;
};

}  // namespace pebblespindle::sidecar
