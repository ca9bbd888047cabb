#include "sidecar/client_listener.h"

#include <algorithm>

#include "net/constants.h"
#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

std::string ClientListener::listen(const Endpoint& at) {
  auto a = Acceptor::listen(loop_.io(), at, [this](asio::ip::tcp::socket s) { accept(std::move(s)); });
  if (!a) return a.status().message();
  acceptor_ = std::move(*a);
  return {};
}

void ClientListener::accept(asio::ip::tcp::socket socket) {
  auto c = std::make_shared<Client>(out_.limits());
  c->conn = std::make_shared<LineConnection>(std::move(socket), kMaxCallBytes, LineConnection::Kind::kBytes);
  if (leaving_) c->line.leave();
  clients_[c.get()] = c;
  c->conn->start({[this, c](std::string_view bytes) { read(c, bytes); },
                  [this, c](LineConnection::End) { ended(c); }, [this] { loop_.rearm(); },
                  [this, c] { written(c); }});
  watch(c);
}

// A head must be complete in time; a body may go on as long as it moves; a connection may rest only so long.
void ClientListener::watch(const Ptr& c) {
  loop_.timers().cancel(c->timer);
  if (c->line.waits() == Pipeline::Waits::kNothing && !c->line.over()) return;
  const Limits& l = out_.limits();
  Millis most = c->line.waits() == Pipeline::Waits::kHead ? l.header_ms : l.idle_ms;
  c->timer = loop_.timers().at(loop_.now() + most, [this, c] {
    c->timer = 0;
    on_timer(c);
  });
  loop_.rearm();
}

void ClientListener::on_timer(const Ptr& c) {
  if (c->line.over()) {  // its client takes nothing
    c->conn->close();
    return ended(c);
  }
  // The client's rest begins when the answer has left.
  if (c->line.resting() && c->conn->queued() > 0) return watch(c);
  write(c, c->line.expired());
}

void ClientListener::read(const Ptr& c, std::string_view bytes) {
  c->line.limits(out_.limits());
  const auto before = c->line.waits();
  std::string out;
  auto asked = c->line.read(bytes, last_, out);
  for (auto& a : asked) calls_[a.id] = c;
  if (!out.empty() || c->line.over()) write(c, out);
  for (auto& a : asked)
    if (calls_.count(a.id)) out_.call(a.id, std::move(a.call));
  if (c->line.over()) return;
  if (c->line.waiting() > kBacklogLines || c->conn->queued() > kBackpressureBytes) c->conn->pause(true);
  const auto now = c->line.waits();
  if (now != before || !asked.empty() || now == Pipeline::Waits::kBody) watch(c);
}

void ClientListener::answer(CallId id, Reply r) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Ptr c = it->second;
  calls_.erase(it);
  write(c, c->line.answer(id, std::move(r)));
}

void ClientListener::write(const Ptr& c, const std::string& bytes) {
  if (!bytes.empty()) c->conn->send(bytes);
  if (c->line.over()) {
    watch(c);
    if (leaving_)  // its client may be about to send
      c->conn->close_lingering();
    else
      c->conn->close_after_flush();
    if (!c->conn->open()) ended(c);
    return;
  }
  if (!bytes.empty()) watch(c);
}

// All that was sent is out: the client may go on, or the connection has ended.
void ClientListener::written(const Ptr& c) {
  if (!c->conn->open()) return ended(c);
  if (c->line.waiting() <= kBacklogLines) c->conn->pause(false);
  watch(c);
}

void ClientListener::ended(const Ptr& c) {
  loop_.timers().cancel(c->timer);
  for (auto id : c->line.open())
    if (calls_.erase(id)) out_.gone(id);
  clients_.erase(c.get());
  loop_.rearm();
}

std::size_t ClientListener::waiting() const {
  return calls_.size() + std::size_t(std::count_if(clients_.begin(), clients_.end(), [](auto& e) {
           return e.second->conn->open() && (e.second->conn->queued() > 0 || e.second->line.over());
         }));
}

void ClientListener::leave() {
  leaving_ = true;
  if (acceptor_) acceptor_->close();
  std::vector<Ptr> resting;
  for (auto& [key, c] : clients_) {
    c->line.leave();
    if (c->line.resting()) resting.push_back(c);
  }
  for (auto& c : resting) write(c, c->line.expired());
}

}  // namespace pebblespindle::sidecar
