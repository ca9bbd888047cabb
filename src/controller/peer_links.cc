#include "controller/peer_links.h"

#include "controller/constants.h"
#include "net/constants.h"
#include "replication/timing.h"

namespace pebblespindle {

const PeerLinks::Peer* PeerLinks::find(const std::string& host) const {
  auto it = peers_.find(host);
  return it == peers_.end() ? nullptr : &it->second;
}

void PeerLinks::connect_missing(Instant now, const std::set<std::string>& hosts) {
  for (auto& host : hosts) {
    const Peer& peer = peers_[host];
    if (!peer.connection && !peer.connecting && now >= peer.next_attempt_at) connect(host);
  }
}

void PeerLinks::connect(const std::string& host) {
  Peer& peer = peers_[host];
  peer.connecting = true;
  peer.next_attempt_at = loop_.now() + kReconnectMs;
  LineConnection::connect(loop_.io(), {host, port_}, kControllerConnectMs, Framing::kLfLines, kMaxLinkBytes,
                          [this, host](const LineConnection::Ptr& connection, const asio::error_code&) {
                            on_connected(host, connection);
                          });
}

void PeerLinks::on_connected(const std::string& host, const LineConnection::Ptr& connection) {
  Peer& peer = peers_[host];
  peer.connecting = false;
  if (!connection) return;
  if (peer.connection) return connection->close();
  peer.connection = connection;
  set_silence_limit(connection->socket(), replication::kPeerTimeoutMs * 3);
  connection->start({[](std::string_view) {},
                     [this, host, connection](LineConnection::End) {
                       Peer& ended = peers_[host];
                       if (ended.connection == connection) ended.connection = nullptr;
                     },
                     {}});
  connection->send(hello_().dump() + "\n");
  on_up_();
}

void PeerLinks::send(const replication::ReplicaId& to, const Json& message) {
  auto it = peers_.find(replication::host_of(to));
  if (it == peers_.end() || !it->second.connection) return;
  LineConnection::Ptr& connection = it->second.connection;
  if (connection->queued() > kMaxPeerQueueBytes) {  // a peer that takes nothing: the link starts anew
    connection->close();
    connection = nullptr;
    return;
  }
  connection->send(message.dump() + "\n");
}

void PeerLinks::send_to_all(const Json& message) {
  for (auto& [host, peer] : peers_) send(host, message);
}

}  // namespace pebblespindle
