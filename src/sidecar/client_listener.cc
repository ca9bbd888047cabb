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
  auto c = std::make_shared<Client>(callbacks_.limits());
  c->conn = std::make_shared<LineConnection>(std::move(socket), kMaxCallBytes, LineConnection::Kind::kBytes);
  if (draining_) c->line.drain();
  clients_[c.get()] = c;
  c->conn->start({[this, c](std::string_view bytes) { read(c, bytes); },
                  [this, c](LineConnection::End) { ended(c); }, [this] { loop_.rearm(); },
                  [this, c] { written(c); }});
  watch(c);
}

// A head must be complete in time; a body may go on as long as it moves; a connection may rest only so long.
void ClientListener::watch(const Ptr& c) {
  loop_.timers().cancel(c->timer);
  if (c->line.awaiting() == Pipeline::Awaiting::kNothing && !c->line.is_finished()) return;
  const Limits& l = callbacks_.limits();
  Millis most = c->line.awaiting() == Pipeline::Awaiting::kHead ? l.header_timeout_ms : l.idle_timeout_ms;
  c->timer = loop_.timers().at(loop_.now() + most, [this, c] {
    c->timer = 0;
    on_timer(c);
  });
  loop_.rearm();
}

void ClientListener::on_timer(const Ptr& c) {
  if (c->line.is_finished()) {  // its client takes nothing
    c->conn->close();
    return ended(c);
  }
  // The client's rest begins when the answer has left.
  if (c->line.is_idle() && c->conn->queued() > 0) return watch(c);
  write(c, c->line.on_timeout());
}

void ClientListener::read(const Ptr& c, std::string_view bytes) {
  c->line.set_limits(callbacks_.limits());
  const auto before = c->line.awaiting();
  std::string out;
  auto asked = c->line.read(bytes, last_, out);
  for (auto& a : asked) calls_[a.id] = c;
  if (!out.empty() || c->line.is_finished()) write(c, out);
  for (auto& a : asked)
    if (calls_.count(a.id)) callbacks_.on_call(a.id, std::move(a.call));
  if (c->line.is_finished()) return;
  if (c->line.pending_count() > kBacklogLines || c->conn->queued() > kBackpressureBytes) c->conn->pause(true);
  const auto now = c->line.awaiting();
  if (now != before || !asked.empty() || now == Pipeline::Awaiting::kBody) watch(c);
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
  if (c->line.is_finished()) {
    watch(c);
    if (draining_)  // its client may be about to send
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
  if (c->line.pending_count() <= kBacklogLines) c->conn->pause(false);
  watch(c);
}

void ClientListener::ended(const Ptr& c) {
  loop_.timers().cancel(c->timer);
  for (auto id : c->line.unanswered())
    if (calls_.erase(id)) callbacks_.on_client_gone(id);
  clients_.erase(c.get());
  loop_.rearm();
}

std::size_t ClientListener::pending_count() const {
  return calls_.size() + std::size_t(std::count_if(clients_.begin(), clients_.end(), [](auto& e) {
           return e.second->conn->open() && (e.second->conn->queued() > 0 || e.second->line.is_finished());
         }));
}

void ClientListener::drain() {
  draining_ = true;
  if (acceptor_) acceptor_->close();
  std::vector<Ptr> resting;
  for (auto& [key, c] : clients_) {
    c->line.drain();
    if (c->line.is_idle()) resting.push_back(c);
  }
  for (auto& c : resting) write(c, c->line.on_timeout());
}

}  // namespace pebblespindle::sidecar
