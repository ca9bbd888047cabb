#include "sidecar/connections.h"

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

std::string PeerLinks::listen(const Endpoint& at) {
  auto acceptor =
      Acceptor::listen(loop_.io(), at, [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); });
  if (!acceptor) return acceptor.status().message();
  acceptor_ = std::move(*acceptor);
  return {};
}

void PeerLinks::accept(asio::ip::tcp::socket socket) {
  set_silence_limit(socket, kPeerLinkTimeoutMs);
  LinkId id = ++last_link_;
  auto conn = std::make_shared<LineConnection>(std::move(socket), Framing::kLengthPrefix, kMaxFrameBytes);
  accepted_links_[id] = conn;
  if (shutting_down_) conn->send_frame(encode_frame({{"t", kShutdownFrame}}));
  conn->start({[this, id, conn](std::string_view frame) {
                 if (auto message = decode_frame(frame)) return callbacks_.on_offer(id, *message);
                 conn->close();
                 accepted_links_.erase(id);
                 callbacks_.on_link_closed(id);
               },
               [this, id](LineConnection::End) {
                 accepted_links_.erase(id);
                 callbacks_.on_link_closed(id);
               },
               [this] { loop_.rearm(); }});
}

void PeerLinks::reply(LinkId link, const Json& frame) {
  auto it = accepted_links_.find(link);
  if (it != accepted_links_.end()) it->second->send_frame(encode_frame(frame));
}

void PeerLinks::send(const Endpoint& to, const Json& frame) {
  Peer& peer = peers_[to];
  if (peer.conn) return peer.conn->send_frame(encode_frame(frame));
  peer.queued_frames.push_back({frame, loop_.now()});
  if (!peer.connecting) open_link(to);
}

bool PeerLinks::is_linked(const Endpoint& to) const {
  const auto it = peers_.find(to);
  return it != peers_.end() && it->second.conn;
}

void PeerLinks::connect(const Endpoint& to) {
  const Peer& peer = peers_[to];
  if (!peer.conn && !peer.connecting) open_link(to);
}

bool PeerLinks::withdraw(const Endpoint& to, std::uint64_t offer_number) {
  auto it = peers_.find(to);
  if (it == peers_.end()) return false;  // the link has ended: the offer may have been sent
  if (!it->second.conn)
    return std::erase_if(it->second.queued_frames, [&](const QueuedFrame& queued) {
             return unsigned_field(queued.frame, "n") == offer_number;
           }) > 0;
  it->second.conn->send_frame(encode_frame({{"t", "x"}, {"n", offer_number}}));
  return false;
}

void PeerLinks::announce_shutdown() {
  shutting_down_ = true;
  for (auto& [id, conn] : accepted_links_) conn->send_frame(encode_frame({{"t", kShutdownFrame}}));
}

bool PeerLinks::has_unsent() const {
  for (auto& [id, conn] : accepted_links_)
    if (conn->queued() > 0) return true;
  return false;
}

void PeerLinks::open_link(const Endpoint& to) {
  peers_[to].connecting = true;
  LineConnection::connect(
      loop_.io(), to, kPeerConnectTimeoutMs, Framing::kLengthPrefix, kMaxFrameBytes,
      [this, to](LineConnection::Ptr conn, const asio::error_code&) {
        Peer& peer = peers_[to];
        peer.connecting = false;
        auto queued_frames = std::exchange(peer.queued_frames, {});
        if (!conn) {
          peers_.erase(to);
          callbacks_.on_link_down(to, false);
          return loop_.rearm();
        }
        peer.conn = conn;
        set_silence_limit(conn->socket(), kPeerLinkTimeoutMs);
        auto lost = [this, to, conn] {
          auto it = peers_.find(to);
          if (it == peers_.end() || it->second.conn != conn) return;
          peers_.erase(it);
          callbacks_.on_link_down(to, true);
          loop_.rearm();
        };
        conn->start({[this, to, conn, lost](std::string_view frame) {
                       auto message = decode_frame(frame);
                       if (message && text_field(*message, "t") == kShutdownFrame)
                         return callbacks_.on_peer_ending(to);
                       if (message) return callbacks_.on_answer(to, *message);
                       conn->close();
                       lost();
                     },
                     [lost](LineConnection::End) { lost(); }, [this] { loop_.rearm(); }});
        for (auto& queued : queued_frames) {  // the remaining times in the offer have become shorter
          for (const char* key : {"d", "w", "a"})
            if (queued.frame.contains(key))
              queued.frame[key] =
                  clamped_field(queued.frame, key, 0, 0, kMaxWaitMs) - (loop_.now() - queued.queued_at);
          conn->send_frame(encode_frame(queued.frame));
        }
      });
}

void AppConnections::open(ConnId id) {
  if (!app_) {
    asio::post(loop_.io(), [this, id] { callbacks_.on_down(id, true); });
    return;
  }
  opening_.insert(id);
  LineConnection::connect(loop_.io(), *app_, kAppConnectTimeoutMs, Framing::kBytes, kMaxCallBytes,
                          [this, id](LineConnection::Ptr conn, const asio::error_code& ec) {
                            if (opening_.erase(id) == 0) {
                              if (conn) conn->close();
                              return;
                            }
                            if (!conn) {
                              callbacks_.on_down(id, ec == asio::error::connection_refused ||
                                                         ec == asio::error::connection_reset);
                              return loop_.rearm();
                            }
                            auto connection = std::make_shared<Conn>();
                            connection->conn = conn;
                            connections_[id] = connection;
                            conn->start({[this, id](std::string_view bytes) { read(id, bytes); },
                                         [this, id](LineConnection::End) {
                                           if (connections_.erase(id)) callbacks_.on_down(id, false);
                                           loop_.rearm();
                                         },
                                         [this] { loop_.rearm(); }});
                            callbacks_.on_up(id);
                            loop_.rearm();
                          });
}

void AppConnections::send(ConnId id, const Call& call) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second->reader.request_sent(call.method == "HEAD");
  it->second->conn->send(serialize_request(call));
}

void AppConnections::read(ConnId id, std::string_view bytes) {
  callbacks_.on_bytes(id);
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  auto connection = it->second;
  std::vector<AppResponseReader::Response> responses;
  const bool valid = connection->reader.feed(bytes, responses);
  for (auto& response : responses) {
    // The response came before its request was fully written. The rest of the request must not be sent, so
    // the connection is not reused.
    if (connection->conn->queued() > 0) response.keep_alive_ms = -1;
    callbacks_.on_reply(id, std::move(response.reply), response.keep_alive_ms);
    if (!connections_.count(id)) return;
  }
  if (valid) return;
  close(id);
  callbacks_.on_down(id, false);
}

void AppConnections::close(ConnId id) {
  opening_.erase(id);
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second->conn->close();
  connections_.erase(it);
}

}  // namespace pebblespindle::sidecar
