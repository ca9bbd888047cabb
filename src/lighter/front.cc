#include "lighter/front.h"

#include <algorithm>

#include "keel/constants.h"

namespace pebblespindle::lighter {
using namespace constants;

std::string Front::listen(const Endpoint& at) {
  auto a = Acceptor::listen(loop_.io(), at, [this](asio::ip::tcp::socket s) { accept(std::move(s)); });
  if (!a) return a.reason;
  acceptor_ = std::move(*a.value);
  return {};
}

void Front::accept(asio::ip::tcp::socket socket) {
  const Limits& l = out_.limits();
  auto c = std::make_shared<Client>(l.header_bytes, std::min(l.body_bytes, kMaxCallBytes));
  c->conn = std::make_shared<LineConn>(std::move(socket), kMaxCallBytes, LineConn::Kind::kBytes);
  clients_[c.get()] = c;
  c->conn->start({[this, c](std::string_view bytes) { read(c, bytes); },
                  [this, c](LineConn::End) { ended(c); }, [this] { loop_.rearm(); }});
  watch(c);
}

// A head must be complete in time, and a connection may rest only so long.
void Front::watch(const Ptr& c) {
  loop_.timers().cancel(c->timer);
  if (c->closing || (!c->reader.begun() && !c->places.empty())) return;
  bool begun = c->reader.begun();
  Millis most = begun ? out_.limits().header_ms : out_.limits().idle_ms;
  c->timer = loop_.timers().at(loop_.now() + most, [this, c, begun] {
    c->timer = 0;
    if (begun) return refuse(c, 408);
    c->closing = true;
    c->conn->close_after_flush();
    clients_.erase(c.get());
  });
  loop_.rearm();
}

void Front::read(const Ptr& c, std::string_view bytes) {
  bool was_begun = c->reader.begun();
  while (!c->closing && !bytes.empty()) {
    std::size_t took = 0;
    switch (c->reader.feed(bytes, took)) {
      case HttpReader::State::kMore:
        bytes = {};
        break;
      case HttpReader::State::kDone:
        bytes.remove_prefix(took);
        take(c, c->reader.take());
        was_begun = false;
        break;
      case HttpReader::State::kBad:
        return refuse(c, 400);
      case HttpReader::State::kHeadTooLong:
        return refuse(c, 431);
      case HttpReader::State::kBodyTooLong:
        return refuse(c, 413);
    }
  }
  if (c->closing) return;
  if (c->places.size() > kBacklogLines) c->conn->pause(true);
  if (c->reader.begun() != was_begun || !c->reader.begun()) watch(c);
}

// What cannot be understood is answered after all that came before it, and ends the connection.
void Front::refuse(const Ptr& c, int status) {
  if (c->closing) return;
  c->closing = true;
  c->places.push_back({0, true, true, false, own_reply(status)});
  flush(c);
}

void Front::take(const Ptr& c, HttpMessage m) {
  // Two lengths, two hosts or a length beside pieces: what one reader takes for the end another may not.
  if (count_fields(m.fields, "Host") != 1 || count_fields(m.fields, "Content-Length") > 1 ||
      (find_field(m.fields, "Transfer-Encoding") && find_field(m.fields, "Content-Length")))
    return refuse(c, 400);
  CallId id = ++last_;
  c->places.push_back({id, false, !m.keep_alive || leaving_, m.method == "HEAD", {}});
  if (!m.keep_alive || leaving_) c->closing = true;
  calls_[id] = c;
  out_.call(id, {m.method, m.target, std::move(m.body), end_to_end(m.fields)});
}

void Front::answer(CallId id, Reply r) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Ptr c = it->second;
  calls_.erase(it);
  for (auto& p : c->places)
    if (p.id == id) p.done = true, p.reply = std::move(r);
  flush(c);
}

void Front::flush(const Ptr& c) {
  bool sent = false;
  while (!c->places.empty() && c->places.front().done) {
    Place p = std::move(c->places.front());
    c->places.pop_front();
    bool close = p.close || (leaving_ && c->places.empty());
    c->conn->send(reply_bytes(p.reply, close, p.no_body));
    sent = true;
    if (!close) continue;
    // Requests behind this one count as not read.
    c->closing = true;
    for (auto& rest : c->places)
      if (rest.id && calls_.erase(rest.id)) out_.gone(rest.id);
    c->places.clear();
    loop_.timers().cancel(c->timer);
    c->conn->close_after_flush();
    clients_.erase(c.get());
    return;
  }
  if (!sent) return;
  c->conn->pause(false);
  watch(c);
}

void Front::ended(const Ptr& c) {
  loop_.timers().cancel(c->timer);
  c->closing = true;
  for (auto& p : c->places)
    if (p.id && calls_.erase(p.id)) out_.gone(p.id);
  c->places.clear();
  clients_.erase(c.get());
  loop_.rearm();
}

void Front::leave() {
  leaving_ = true;
  if (acceptor_) acceptor_->close();
  std::vector<Ptr> resting;
  for (auto& [key, c] : clients_)
    if (c->places.empty() && !c->reader.begun()) resting.push_back(c);
  for (auto& c : resting) {
    loop_.timers().cancel(c->timer);
    c->closing = true;
    c->conn->close_after_flush();
    clients_.erase(c.get());
  }
}

}  // namespace pebblespindle::lighter
