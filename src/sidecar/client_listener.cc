#include "sidecar/client_listener.h"

#include <algorithm>

#include "net/constants.h"
#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

std::string ClientListener::listen(const Endpoint& at) {
  auto acceptor =
      Acceptor::listen(loop_.io(), at, [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); });
  if (!acceptor) return acceptor.status().message();
  acceptor_ = std::move(*acceptor);
  return {};
}

void ClientListener::accept(asio::ip::tcp::socket socket) {
  auto client = std::make_shared<Client>(callbacks_.limits());
  client->conn = std::make_shared<LineConnection>(std::move(socket), Framing::kBytes, kMaxCallBytes);
  if (draining_) client->pipeline.drain();
  clients_[client.get()] = client;
  client->conn->start({[this, client](std::string_view bytes) { on_read(client, bytes); },
                       [this, client](LineConnection::End end) {
                         if (end == LineConnection::End::kFailed) answer_failed(client);
                         on_closed(client);
                       },
                       [this] { loop_.rearm(); }, [this, client] { on_written(client); }});
  restart_timer(client);
}

// The time to send a head is limited as a whole; while a body arrives, and while a connection is idle, only
// the time without any bytes is.
void ClientListener::restart_timer(const Ptr& client) {
  loop_.timers().cancel(client->timer);
  if (client->pipeline.awaiting() == Pipeline::Awaiting::kNothing && !client->pipeline.is_finished()) return;
  const Limits& limits = callbacks_.limits();
  Millis timeout_ms = client->pipeline.awaiting() == Pipeline::Awaiting::kHead ? limits.header_timeout_ms
                                                                               : limits.idle_timeout_ms;
  client->timer = loop_.timers().at(loop_.now() + timeout_ms, [this, client] {
    client->timer = 0;
    on_timer(client);
  });
  loop_.rearm();
}

void ClientListener::on_timer(const Ptr& client) {
  if (client->pipeline.is_finished()) {  // the client does not read its last response
    client->conn->close();
    return on_closed(client);
  }
  // A connection counts as idle only once its response has been written.
  if (client->pipeline.is_idle() && client->conn->queued() > 0) return restart_timer(client);
  write(client, client->pipeline.on_timeout());
}

void ClientListener::on_read(const Ptr& client, std::string_view bytes) {
  client->pipeline.set_limits(callbacks_.limits());
  const auto before = client->pipeline.awaiting();
  std::string out;
  auto new_calls = client->pipeline.read(bytes, last_id_, out);
  for (auto& new_call : new_calls) calls_[new_call.id] = client;
  if (!out.empty() || client->pipeline.is_finished()) write(client, out);
  for (auto& new_call : new_calls)
    if (calls_.count(new_call.id)) callbacks_.on_call(new_call.id, std::move(new_call.call));
  if (client->pipeline.is_finished()) return;
  if (client->pipeline.pending_count() > kBacklogLines || client->conn->queued() > kBackpressureBytes)
    client->conn->pause(true);
  const auto now = client->pipeline.awaiting();
  if (now != before || !new_calls.empty() || now == Pipeline::Awaiting::kBody) restart_timer(client);
}

void ClientListener::answer(CallId id, Reply reply) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Ptr client = it->second;
  calls_.erase(it);
  write(client, client->pipeline.answer(id, std::move(reply)));
}

void ClientListener::write(const Ptr& client, const std::string& bytes) {
  if (!bytes.empty()) client->conn->send(bytes);
  if (client->pipeline.is_finished()) {
    restart_timer(client);
    if (draining_)  // the client may be sending a request: a reset could lose the response
      client->conn->close_lingering();
    else
      client->conn->close_after_flush();
    if (!client->conn->open()) on_closed(client);
    return;
  }
  if (!bytes.empty()) restart_timer(client);
}

// All responses have been written: reading goes on, unless the connection has ended.
void ClientListener::on_written(const Ptr& client) {
  if (!client->conn->open()) return on_closed(client);
  if (client->pipeline.pending_count() <= kBacklogLines) client->conn->pause(false);
  restart_timer(client);
}

// Its processing has thrown: what it still waits for is answered as an error.
void ClientListener::answer_failed(const Ptr& client) {
  std::string replies;
  for (auto id : client->pipeline.unanswered()) {
    replies += client->pipeline.answer(id, local_reply(kInternalError));
    if (calls_.erase(id)) callbacks_.on_client_gone(id);
  }
  client->conn->send(replies);
}

void ClientListener::on_closed(const Ptr& client) {
  loop_.timers().cancel(client->timer);
  for (auto id : client->pipeline.unanswered())
    if (calls_.erase(id)) callbacks_.on_client_gone(id);
  clients_.erase(client.get());
  loop_.rearm();
}

std::size_t ClientListener::pending_count() const {
  return calls_.size() + std::size_t(std::count_if(clients_.begin(), clients_.end(), [](auto& entry) {
           return entry.second->conn->open() &&
                  (entry.second->conn->queued() > 0 || entry.second->pipeline.is_finished());
         }));
}

void ClientListener::drain() {
  draining_ = true;
  if (acceptor_) acceptor_->close();
  std::vector<Ptr> idle;
  for (auto& [key, client] : clients_) {
    client->pipeline.drain();
    if (client->pipeline.is_idle()) idle.push_back(client);
  }
  for (auto& client : idle) write(client, client->pipeline.on_timeout());
}

}  // namespace pebblespindle::sidecar
