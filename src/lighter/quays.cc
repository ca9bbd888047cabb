#include "lighter/quays.h"

#include <charconv>

#include "keel/constants.h"

namespace pebblespindle::lighter {
using namespace constants;

namespace {

std::string packed(const Json& j) {
  std::string out;
  Json::to_msgpack(j, out);
  return out;
}

std::optional<Json> unpacked(std::string_view bytes) {
  Json j = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!j.is_object()) return std::nullopt;
  return j;
}

}  // namespace

std::string Links::listen(const Endpoint& at) {
  auto a = Acceptor::listen(loop_.io(), at, [this](asio::ip::tcp::socket s) { accept(std::move(s)); });
  if (!a) return a.reason;
  acceptor_ = std::move(*a.value);
  return {};
}

void Links::accept(asio::ip::tcp::socket socket) {
  set_silence_limit(socket, kLighterSilentMs);
  LinkId id = ++last_;
  auto conn = std::make_shared<LineConn>(std::move(socket), kMaxFrameBytes, LineConn::Kind::kFrames);
  callers_[id] = conn;
  conn->start({[this, id, conn](std::string_view frame) {
                 auto m = unpacked(frame);
                 try {
                   if (m) return out_.offer(id, *m);
                 } catch (const Json::exception&) {  // a field is missing or of the wrong type
                 }
                 conn->close();
                 callers_.erase(id);
                 out_.gone(id);
               },
               [this, id](LineConn::End) {
                 callers_.erase(id);
                 out_.gone(id);
               },
               [this] { loop_.rearm(); }});
}

void Links::reply(LinkId link, const Json& frame) {
  auto it = callers_.find(link);
  if (it != callers_.end()) it->second->send_frame(packed(frame));
}

void Links::send(const Endpoint& to, const Json& frame) {
  Peer& p = peers_[to];
  if (p.conn) return p.conn->send_frame(packed(frame));
  p.held.push_back(packed(frame));
  if (!p.dialling) dial(to);
}

void Links::dial(const Endpoint& to) {
  peers_[to].dialling = true;
  LineConn::connect(
      loop_.io(), to, kLighterDialMs, kMaxFrameBytes,
      [this, to](LineConn::Ptr conn, const asio::error_code&) {
        Peer& p = peers_[to];
        p.dialling = false;
        auto held = std::exchange(p.held, {});
        if (!conn) {
          peers_.erase(to);
          out_.down(to, false);
          return loop_.rearm();
        }
        p.conn = conn;
        set_silence_limit(conn->socket(), kLighterSilentMs);
        auto lost = [this, to, conn] {
          auto it = peers_.find(to);
          if (it == peers_.end() || it->second.conn != conn) return;
          peers_.erase(it);
          out_.down(to, true);
          loop_.rearm();
        };
        conn->start({[this, to, conn, lost](std::string_view frame) {
                       auto m = unpacked(frame);
                       try {
                         if (m) return out_.answer(to, *m);
                       } catch (const Json::exception&) {
                       }
                       conn->close();
                       lost();
                     },
                     [lost](LineConn::End) { lost(); }, [this] { loop_.rearm(); }});
        for (auto& f : held) conn->send_frame(f);
      },
      LineConn::Kind::kFrames);
}

AppConns::Conn::Conn() : reader(HttpReader::Kind::kResponses, 1 << 16, kMaxCallBytes) {}

void AppConns::open(ConnId id) {
  if (!app_) {
    asio::post(loop_.io(), [this, id] { out_.down(id, true); });
    return;
  }
  opening_.insert(id);
  LineConn::connect(
      loop_.io(), *app_, kAppConnectMs, kMaxCallBytes,
      [this, id](LineConn::Ptr conn, const asio::error_code& ec) {
        if (opening_.erase(id) == 0) {
          if (conn) conn->close();
          return;
        }
        if (!conn) {
          out_.down(id, ec == asio::error::connection_refused || ec == asio::error::connection_reset);
          return loop_.rearm();
        }
        auto c = std::make_shared<Conn>();
        c->conn = conn;
        conns_[id] = c;
        conn->start({[this, id](std::string_view bytes) { read(id, bytes); },
                     [this, id](LineConn::End) {
                       if (conns_.erase(id)) out_.down(id, false);
                       loop_.rearm();
                     },
                     [this] { loop_.rearm(); }});
        out_.up(id);
        loop_.rearm();
      },
      LineConn::Kind::kBytes);
}

void AppConns::send(ConnId id, const Call& c) {
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  it->second->asked = true;
  it->second->reader.no_body(c.method == "HEAD");
  it->second->conn->send(request_bytes(c));
}

void AppConns::read(ConnId id, std::string_view bytes) {
  while (!bytes.empty()) {
    auto it = conns_.find(id);
    if (it == conns_.end()) return;
    auto c = it->second;
    std::size_t took = 0;
    auto state = c->reader.feed(bytes, took);
    if (state == HttpReader::State::kMore) return;
    if (state != HttpReader::State::kDone) {  // not an answer
      close(id);
      return out_.down(id, false);
    }
    bytes.remove_prefix(took);
    HttpMessage m = c->reader.take();
    if (m.status >= 100 && m.status < 200) continue;
    Millis keep =
        m.keep_alive && bytes.empty() ? 0 : -1;  // more after a whole answer: nothing after it counts
    if (auto* k = find_field(m.fields, "Keep-Alive"); k && keep == 0)
      if (auto at = k->find("timeout="); at != std::string::npos) {
        int s = 0;
        std::from_chars(k->data() + at + 8, k->data() + k->size(), s);
        keep = Millis(s) * 1000;
      }
    out_.reply(id, {m.status, std::move(m.body), std::move(m.fields)}, keep);
  }
}

void AppConns::close(ConnId id) {
  opening_.erase(id);
  auto it = conns_.find(id);
  if (it == conns_.end()) return;
  it->second->conn->close();
  conns_.erase(it);
}

}  // namespace pebblespindle::lighter
