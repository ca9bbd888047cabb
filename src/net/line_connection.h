// A TCP connection that receives items: lines, messages with their length before them, or bytes as they come
// (net/framing.h). Reads and writes are buffered; a slow reader stops its writer.
#pragma once
#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/framing.h"
#include "settings/settings.h"

namespace pebblespindle {

class LineConnection : public std::enable_shared_from_this<LineConnection> {
 public:
  using Ptr = std::shared_ptr<LineConnection>;
  enum class End {
    kClosed,   // by the peer
    kReset,    // broken
    kTooLong,  // the peer sent an item above the limit
    kFailed    // a handler threw: what it was called for is done in part at most
  };
  struct Handlers {
    std::function<void(std::string_view item)> on_item;  // without its terminator or length
    // Once, unless closed from this side. With kTooLong and kFailed the connection still takes what is sent
    // within this call, and ends by itself as after close_lingering().
    std::function<void(End)> on_end;
    std::function<void()> on_batch;         // after the items of one read
    std::function<void()> on_drained = {};  // all that was sent is written; or it was the last
  };

  // max_item_bytes: a longer item ends the connection with End::kTooLong.
  LineConnection(asio::ip::tcp::socket socket, Framing framing, std::size_t max_item_bytes);
  static void connect(asio::io_context& io, const Endpoint& to, Millis timeout_ms, Framing framing,
                      std::size_t max_item_bytes, std::function<void(Ptr, const asio::error_code&)> done);

  void start(Handlers handlers);
  void send(std::string_view bytes);
  void send_frame(std::string_view frame);
  void close();              // at once; no more callbacks
  void close_after_flush();  // what was sent is written first
  // The same for a peer that may still be sending: this side ends once all is written, and the socket stays
  // until the peer has ended too, for kLingerMs at most; then on_end is called, never before this returns. A
  // close with unread bytes resets the connection, and answers still on their way would be lost with it. What
  // comes meanwhile is not read, so that its sender can tell.
  void close_lingering();
  bool open() const { return open_; }
  std::size_t queued() const { return queued_.size() + in_flight_.size(); }
  void pause(bool paused);  // stops reading while paused
  std::string peer_host() const;
  asio::ip::tcp::socket& socket() { return socket_; }

 private:
  void wait_read();
  void on_readable();
  bool deliver_items(std::string_view joined, std::size_t& from);
  void end_after_last_words(End why);
  void call_on_end(End why);
  void flush();
  void drained();
  void finish_sending();
  void linger();
  void await_peer_end();
  void end(End why);
  asio::ip::tcp::socket socket_;
  FrameDecoder decoder_;
  Handlers handlers_;
  std::string received_, queued_, in_flight_;
  bool open_ = true, started_ = false, reading_ = false, writing_ = false, flush_posted_ = false;
  bool paused_ = false, closing_ = false;
  bool lingering_ = false, half_closed_ = false;
  std::optional<asio::steady_timer> linger_timer_;
};

// Accepts connections for as long as it lives.
class Acceptor {
 public:
  static Result<std::unique_ptr<Acceptor>> listen(asio::io_context& io, const Endpoint& at,
                                                  std::function<void(asio::ip::tcp::socket)> on_socket);
  void close();

 private:
  Acceptor(asio::io_context& io, std::function<void(asio::ip::tcp::socket)> on_socket)
      : acceptor_(io), retry_(io), on_socket_(std::move(on_socket)) {}
  void accept();
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  std::function<void(asio::ip::tcp::socket)> on_socket_;
};

// Peers that fall silent are noticed by the kernel within this time.
void set_silence_limit(asio::ip::tcp::socket& socket, Millis duration);

}  // namespace pebblespindle
