// The links that this controller opens to the others, and what the others have told of themselves.
//
// A link goes one way: what a peer says comes over the link that it opens. Messages to a peer without a link
// are dropped; the protocols above repeat what matters.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/json_schema.h"
#include "net/event_loop.h"
#include "net/line_connection.h"
#include "replication/types.h"

namespace pebblespindle {

class PeerLinks {
 public:
  struct Peer {
    LineConnection::Ptr connection;  // null while there is none
    bool connecting = false;
    Instant next_attempt_at = 0;
    replication::ReplicaId id;  // as it names itself; empty before it has
    std::string zone;
    // Of the nodes that it gave leases to: up to where all have acknowledged, the view in which it said so,
    // how many there are, and when it said that.
    SequenceNumber acknowledged = 0;
    replication::ViewNumber acknowledged_in_view = 0;
    std::size_t node_count = 0;
    std::optional<Instant> reported_at;
  };

  // hello: the first line of a new link. on_up: a link has come up.
  PeerLinks(EventLoop& loop, std::uint16_t port, std::function<Json()> hello, std::function<void()> on_up)
      : loop_(loop), port_(port), hello_(std::move(hello)), on_up_(std::move(on_up)) {}

  void connect_missing(Instant now, const std::set<std::string>& hosts);
  void connect(const std::string& host);
  void send(const replication::ReplicaId& to, const Json& message);
  void send_to_all(const Json& message);
  Peer& at(const std::string& host) { return peers_[host]; }
  const Peer* find(const std::string& host) const;  // null when it is not known
  const std::map<std::string, Peer>& all() const { return peers_; }

 private:
  void on_connected(const std::string& host, const LineConnection::Ptr& connection);

  EventLoop& loop_;
  const std::uint16_t port_;
  std::function<Json()> hello_;
  std::function<void()> on_up_;
  std::map<std::string, Peer> peers_;  // by host
};

}  // namespace pebblespindle
