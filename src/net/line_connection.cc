#include "net/line_connection.h"

#include <netinet/tcp.h>

#include "base/exception_barrier.h"
#include "net/constants.h"

namespace pebblespindle {

using asio::ip::tcp;

void set_silence_limit(tcp::socket& socket, Millis duration) {
  asio::error_code ignored;
  int value = int(duration);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

LineConnection::LineConnection(tcp::socket socket, Framing framing, std::size_t max_item_bytes)
    : socket_(std::move(socket)), decoder_(framing, max_item_bytes) {
  asio::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(tcp::no_delay(true), ignored);
}

void LineConnection::connect(asio::io_context& io, const Endpoint& to, Millis timeout_ms, Framing framing,
                             std::size_t max_item_bytes,
                             std::function<void(Ptr, const asio::error_code&)> done) {
  asio::error_code ec;
  auto address = asio::ip::make_address(to.host, ec);
  auto conn = std::make_shared<LineConnection>(tcp::socket(io), framing, max_item_bytes);
  if (!ec) conn->socket_.open(tcp::v4(), ec);
  if (ec) {
    asio::post(io, [done, ec] { done(nullptr, ec); });
    return;
  }
  conn->socket_.non_blocking(true, ec);
  auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(timeout_ms));
  timer->async_wait([conn](const asio::error_code& e) {
    asio::error_code ignored;
    if (!e) conn->socket_.close(ignored);
  });
  conn->socket_.async_connect(tcp::endpoint(address, to.port),
                              [conn, timer, done](const asio::error_code& e) {
                                timer->cancel();
                                if (e) return done(nullptr, e);
                                asio::error_code ignored;
                                conn->socket_.set_option(tcp::no_delay(true), ignored);
                                if (!run_guarded(Boundary::kConnection, [&] { done(conn, e); }))
                                  conn->end(End::kFailed);
                              });
}

void LineConnection::start(Handlers h) {
  handlers_ = std::move(h);
  started_ = true;
  wait_read();
}

void LineConnection::wait_read() {
  if (!open_ || reading_ || paused_) return;
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& ec) {
    self->reading_ = false;
    if (!self->open_) return;
    if (self->lingering_) return self->await_peer_end();
    if (ec) return self->end(End::kReset);
    self->on_readable();
  });
}

void LineConnection::on_readable() {
  static char chunk[kReadChunkBytes];
  asio::error_code ec;
  const std::size_t length = socket_.read_some(asio::buffer(chunk), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again) return wait_read();
  if (ec) return end(ec == asio::error::eof ? End::kClosed : End::kReset);
  auto self = shared_from_this();
  const std::string_view data(chunk, length);
  std::string joined;  // the handlers may read on other connections, so the chunk is not used past them
  joined.reserve(received_.size() + length);
  joined.append(received_).append(data);
  received_.clear();
  std::size_t from = 0;
  if (!deliver_items(joined, from)) return;
  if (from < joined.size()) {
    received_.assign(joined, from);
  } else {
    received_.shrink_to_fit();
  }
  if (handlers_.on_batch && !run_guarded(Boundary::kConnection, handlers_.on_batch))
    end_after_last_words(End::kFailed);
  if (open_ && !lingering_) wait_read();
}

// Hands the complete items to the owner; false when the connection has ended meanwhile.
bool LineConnection::deliver_items(std::string_view joined, std::size_t& from) {
  std::string_view item;
  for (;;) {
    switch (decoder_.next(joined, from, item)) {
      case FrameDecoder::Outcome::kIncomplete:
        return true;
      case FrameDecoder::Outcome::kTooLong:
        end_after_last_words(End::kTooLong);
        return false;
      case FrameDecoder::Outcome::kItem:
        break;
    }
    if (!run_guarded(Boundary::kConnection, [&] { handlers_.on_item(item); })) {
      end_after_last_words(End::kFailed);
      return false;
    }
    if (!open_) return false;
  }
}

// The owner may answer: the peer reads the answer before the end, though it may be sending on.
void LineConnection::end_after_last_words(End why) {
  if (!open_) return;
  auto self = shared_from_this();
  lingering_ = true;  // reads no more
  call_on_end(why);
  close_after_flush();
}

void LineConnection::call_on_end(End why) {
  auto on_end = std::exchange(handlers_.on_end, nullptr);
  if (on_end) run_guarded(Boundary::kConnection, [&] { on_end(why); });
}

void LineConnection::send_frame(std::string_view frame) {
  char length[4];
  for (int i = 0; i < 4; ++i) length[i] = char(frame.size() >> (24 - 8 * i));
  send({length, 4});
  send(frame);
}

void LineConnection::send(std::string_view bytes) {
  if (!open_ || closing_) return;
  queued_.append(bytes);
  if (writing_ || flush_posted_) return;
  flush_posted_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->flush();
  });
}

void LineConnection::flush() {
  if (!open_ || writing_) return;
  if (queued_.empty()) {
    if (closing_) finish_sending();
    return;
  }
  asio::error_code ec;
  const std::size_t written = socket_.write_some(asio::buffer(queued_), ec);
  if (ec && ec != asio::error::would_block && ec != asio::error::try_again) return end(End::kReset);
  if (written == queued_.size()) {
    queued_ = std::string();
    return drained();
  }
  in_flight_ = queued_.substr(written);
  queued_ = std::string();
  writing_ = true;
  asio::async_write(socket_, asio::buffer(in_flight_),
                    [self = shared_from_this()](const asio::error_code& e, std::size_t) {
                      self->writing_ = false;
                      self->in_flight_ = std::string();
                      if (!self->open_) return;
                      if (e) return self->end(End::kReset);
                      if (self->queued_.empty()) return self->drained();
                      self->flush();
                    });
}

void LineConnection::drained() {
  auto self = shared_from_this();
  if (closing_) finish_sending();
  if (handlers_.on_drained && !run_guarded(Boundary::kConnection, handlers_.on_drained)) end(End::kFailed);
}

void LineConnection::finish_sending() {
  if (!lingering_) return close();
  if (std::exchange(half_closed_, true)) return;
  asio::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  linger();
}

void LineConnection::linger() {
  linger_timer_.emplace(socket_.get_executor(), std::chrono::milliseconds(kLingerMs));
  linger_timer_->async_wait([self = shared_from_this()](const asio::error_code& ec) {
    if (!ec) self->end(End::kClosed);
  });
  // Not from within this call: the peer may have ended already, and on_end would surprise the caller.
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->await_peer_end(); });
}

// Looks without reading. Once there are bytes, the end behind them cannot be seen any more.
void LineConnection::await_peer_end() {
  if (!open_ || !half_closed_ || reading_) return;
  char byte = 0;
  asio::error_code ec;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  if (!ec) return;
  if (ec != asio::error::would_block && ec != asio::error::try_again) return end(End::kClosed);
  paused_ = false;
  wait_read();
}

void LineConnection::end(End why) {
  if (!open_) return;
  auto self = shared_from_this();
  close();
  call_on_end(why);
}

void LineConnection::close() {
  if (!open_) return;
  open_ = false;
  asio::error_code ignored;
  socket_.close(ignored);
  linger_timer_.reset();
  // Handlers may hold what holds this connection; let go of them, but not under a running one.
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
}

void LineConnection::close_after_flush() {
  if (!open_) return;
  closing_ = true;
  if (!writing_ && !flush_posted_) flush();
}

void LineConnection::close_lingering() {
  lingering_ = true;
  close_after_flush();
}

void LineConnection::pause(bool paused) {
  if (paused_ == paused) return;
  paused_ = paused;
  if (!paused_ && started_ && !lingering_) wait_read();
}

std::string LineConnection::peer_host() const {
  asio::error_code ec;
  auto e = socket_.remote_endpoint(ec);
  return ec ? std::string() : e.address().to_string();
}

Result<std::unique_ptr<Acceptor>> Acceptor::listen(asio::io_context& io, const Endpoint& at,
                                                   std::function<void(tcp::socket)> on_socket) {
  std::unique_ptr<Acceptor> a(new Acceptor(io, std::move(on_socket)));
  asio::error_code ec;
  auto address = asio::ip::make_address(at.host, ec);
  if (ec) return Status::io_error("not an address: " + at.host);
  auto& s = a->acceptor_;
  s.open(tcp::v4(), ec);
  if (!ec) s.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) s.bind(tcp::endpoint(address, at.port), ec);
  if (!ec) s.listen(1024, ec);
  if (ec) return Status::io_error("cannot listen at " + at.text() + ": " + ec.message());
  a->accept();
  return a;
}

void Acceptor::accept() {
  acceptor_.async_accept([this](const asio::error_code& ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {  // out of descriptors or the like: pause, then go on
      retry_.expires_after(std::chrono::milliseconds(kReconnectMs));
      retry_.async_wait([this](const asio::error_code& e) {
        if (!e) accept();
      });
      return;
    }
    run_guarded(Boundary::kAcceptor, [&] { on_socket_(std::move(socket)); });
    accept();
  });
}

void Acceptor::close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace pebblespindle
