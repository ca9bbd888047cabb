#include "sidecar/connections.h"

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

std::string PeerLinks::listen(const Endpoint& at) {
  auto a = Acceptor::listen(loop_.io(), at, [this](asio::ip::tcp::socket s) { accept(std::move(s)); });
  if (!a) return a.status().message();
  acceptor_ = std::move(*a);
  return {};
}

void PeerLinks::accept(asio::ip::tcp::socket socket) {
  set_silence_limit(socket, kPeerLinkTimeoutMs);
  LinkId id = ++last_;
  auto conn =
      std::make_shared<LineConnection>(std::move(socket), kMaxFrameBytes, LineConnection::Kind::kFrames);
  callers_[id] = conn;
  if (ending_) conn->send_frame(encode_frame({{"t", kShutdownFrame}}));
  conn->start({[this, id, conn](std::string_view frame) {
                 if (auto m = decode_frame(frame)) return callbacks_.on_offer(id, *m);
                 conn->close();
                 callers_.erase(id);
                 callbacks_.on_link_closed(id);
               },
               [this, id](LineConnection::End) {
                 callers_.erase(id);
                 callbacks_.on_link_closed(id);
               },
               [this] { loop_.rearm(); }});
}

void PeerLinks::reply(LinkId link, const Json& frame) {
  auto it = callers_.find(link);
  if (it != callers_.end()) it->second->send_frame(encode_frame(frame));
}

void PeerLinks::send(const Endpoint& to, const Json& frame) {
  Peer& p = peers_[to];
  if (p.conn) return p.conn->send_frame(encode_frame(frame));
  p.held.push_back({frame, loop_.now()});
  if (!p.dialling) dial(to);
}

bool PeerLinks::is_linked(const Endpoint& to) const {
  const auto it = peers_.find(to);
  return it != peers_.end() && it->second.conn;
}

void PeerLinks::connect(const Endpoint& to) {
  const Peer& peer = peers_[to];
  if (!peer.conn && !peer.dialling) dial(to);
}

bool PeerLinks::withdraw(const Endpoint& to, std::uint64_t n) {
  auto it = peers_.find(to);
  if (it == peers_.end()) return false;  // its link has ended
  if (!it->second.conn)
    return std::erase_if(it->second.held, [&](const Held& h) { return unsigned_field(h.frame, "n") == n; }) >
           0;
  it->second.conn->send_frame(encode_frame({{"t", "x"}, {"n", n}}));
  return false;
}

void PeerLinks::announce_shutdown() {
  ending_ = true;
  for (auto& [id, conn] : callers_) conn->send_frame(encode_frame({{"t", kShutdownFrame}}));
}

bool PeerLinks::has_unsent() const {
  for (auto& [id, conn] : callers_)
    if (conn->queued() > 0) return true;
  return false;
}

void PeerLinks::dial(const Endpoint& to) {
  peers_[to].dialling = true;
  LineConnection::connect(
      loop_.io(), to, kPeerConnectTimeoutMs, kMaxFrameBytes,
      [this, to](LineConnection::Ptr conn, const asio::error_code&) {
        Peer& p = peers_[to];
        p.dialling = false;
        auto held = std::exchange(p.held, {});
        if (!conn) {
          peers_.erase(to);
          callbacks_.on_link_down(to, false);
          return loop_.rearm();
        }
        p.conn = conn;
        set_silence_limit(conn->socket(), kPeerLinkTimeoutMs);
        auto lost = [this, to, conn] {
          auto it = peers_.find(to);
          if (it == peers_.end() || it->second.conn != conn) return;
          peers_.erase(it);
          callbacks_.on_link_down(to, true);
          loop_.rearm();
        };
        conn->start({[this, to, conn, lost](std::string_view frame) {
                       auto m = decode_frame(frame);
                       if (m && text_field(*m, "t") == kShutdownFrame) return callbacks_.on_peer_ending(to);
                       if (m) return callbacks_.on_answer(to, *m);
                       conn->close();
                       lost();
                     },
                     [lost](LineConnection::End) { lost(); }, [this] { loop_.rearm(); }});
        for (auto& h : held) {  // what was left when it was offered is less by now
          for (const char* key : {"d", "w", "a"})
            if (h.frame.contains(key))
              h.frame[key] = clamped_field(h.frame, key, 0, 0, kMaxWaitMs) - (loop_.now() - h.since);
          conn->send_frame(encode_frame(h.frame));
        }
      },
      LineConnection::Kind::kFrames);
}

void AppConnections::open(ConnId id) {
  if (!app_) {
    asio::post(loop_.io(), [this, id] { callbacks_.on_down(id, true); });
    return;
  }
  opening_.insert(id);
  LineConnection::connect(
      loop_.io(), *app_, kAppConnectTimeoutMs, kMaxCallBytes,
      [this, id](LineConnection::Ptr conn, const asio::error_code& ec) {
        if (opening_.erase(id) == 0) {
          if (conn) conn->close();
          return;
        }
        if (!conn) {
          callbacks_.on_down(id,
                             ec == asio::error::connection_refused || ec == asio::error::connection_reset);
          return loop_.rearm();
        }
        auto c = std::make_shared<Conn>();
        c->conn = conn;
        conns_[id] = c;
        conn->start({[this, id](std::string_view bytes) { read(id, bytes); },
                     [this, id](LineConnection::End) {
                       if (conns_.erase(id)) callbacks_.on_down(id, false);
                       loop_.rearm();
                     },
                     [this] { loop_.rearm(); }});
        callbacks_.on_up(id);
        loop_.rearm();
      },
      LineConnection::Kind::kBytes);
}

void AppConnections::send(ConnId id, const Call& c) {
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  it->second->reader.request_sent(c.method == "HEAD");
  it->second->conn->send(serialize_request(c));
}

void AppConnections::read(ConnId id, std::string_view bytes) {
  callbacks_.on_bytes(id);
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  auto c = it->second;
  std::vector<AppResponseReader::Response> answers;
  const bool fine = c->reader.feed(bytes, answers);
  for (auto& a : answers) {
    // An answer that came before its request was written: the rest of that must not follow.
    if (c->conn->queued() > 0) a.keep_alive_ms = -1;
    callbacks_.on_reply(id, std::move(a.reply), a.keep_alive_ms);
    if (!conns_.count(id)) return;
  }
  if (fine) return;
  close(id);
  callbacks_.on_down(id, false);
}

void AppConnections::close(ConnId id) {
  opening_.erase(id);
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  it->second->conn->close();
  conns_.erase(it);
}

}  // namespace pebblespindle::sidecar
