#include "keel/http.h"

#include <http_parser.h>

#include <algorithm>

#include "keel/constants.h"

namespace pebblespindle {
namespace {

using asio::ip::tcp;

std::string lower(std::string s) {
  std::transform(s.begin(), s.end(), s.begin(), [](unsigned char c) { return char(std::tolower(c)); });
  return s;
}

// Collects one message after the other out of a byte stream.
struct Collector {
  explicit Collector(http_parser_type type) {
    http_parser_init(&parser, type);
    parser.data = this;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* p) {
      auto& c = self(p);
      c.message = {};
      c.field.clear();
      c.in_value = false;
      return 0;
    };
    settings.on_url = [](http_parser* p, const char* at, size_t n) {
      return self(p).grow(self(p).message.path, at, n, constants::kMaxHttpHeaderBytes);
    };
    settings.on_header_field = [](http_parser* p, const char* at, size_t n) {
      auto& c = self(p);
      if (c.in_value) c.field.clear();
      c.in_value = false;
      return c.grow(c.field, at, n, constants::kMaxHttpHeaderBytes);
    };
    settings.on_header_value = [](http_parser* p, const char* at, size_t n) {
      auto& c = self(p);
      c.in_value = true;
      return c.grow(c.message.headers[lower(c.field)], at, n, constants::kMaxHttpHeaderBytes);
    };
    settings.on_body = [](http_parser* p, const char* at, size_t n) {
      return self(p).grow(self(p).message.body, at, n, constants::kMaxHttpBodyBytes);
    };
    settings.on_message_complete = [](http_parser* p) {
      auto& c = self(p);
      c.message.method = http_method_str(http_method(p->method));
      c.complete = true;
      http_parser_pause(p, 1);
      return 0;
    };
  }
  static Collector& self(http_parser* p) { return *static_cast<Collector*>(p->data); }
  int grow(std::string& s, const char* at, size_t n, size_t bound) {
    if (s.size() + n > bound) {
      too_large = true;
      return 1;
    }
    s.append(at, n);
    return 0;
  }
  // Returns the bytes taken, or -1 when they are not HTTP.
  std::ptrdiff_t feed(const char* at, std::size_t n) {
    std::size_t took = http_parser_execute(&parser, &settings, at, n);
    if (complete) {
      http_parser_pause(&parser, 0);
      return std::ptrdiff_t(took);
    }
    return HTTP_PARSER_ERRNO(&parser) == HPE_OK ? std::ptrdiff_t(took) : -1;
  }
  http_parser parser;
  http_parser_settings settings;
  HttpRequest message;
  std::string field;
  bool in_value = false, complete = false, too_large = false;
};

const char* reason_of(int status) {
  for (auto& [code, text] : {std::pair{200, "OK"},
                             {307, "Temporary Redirect"},
                             {400, "Bad Request"},
                             {404, "Not Found"},
                             {409, "Conflict"},
                             {412, "Precondition Failed"},
                             {413, "Payload Too Large"},
                             {503, "Service Unavailable"}})
    if (code == status) return text;
  return "Status";
}

std::string head_fields(const std::map<std::string, std::string>& headers, std::size_t body_size) {
  std::string s;
  for (auto& [name, value] : headers) s += name + ": " + value + "\r\n";
  return s + "Content-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

class ServerConn : public std::enable_shared_from_this<ServerConn> {
 public:
  ServerConn(tcp::socket s, std::shared_ptr<HttpHandler> h) : socket_(std::move(s)), handler_(std::move(h)) {}
  void read() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& ec) {
      if (ec) return;
      static char chunk[constants::kReadChunkBytes];
      asio::error_code e;
      std::size_t n = self->socket_.read_some(asio::buffer(chunk), e);
      if (e) return;
      self->pending_.append(chunk, n);
      self->parse();
    });
  }

 private:
  void parse() {
    std::ptrdiff_t took = in_.feed(pending_.data(), pending_.size());
    if (took < 0) {
      close_ = true;
      return answer({in_.too_large ? 413 : 400, "", {}});
    }
    pending_.erase(0, std::size_t(took));
    if (!in_.complete) return read();
    in_.complete = false;
    close_ = !http_should_keep_alive(&in_.parser);
    auto self = shared_from_this();
    (*handler_)(std::move(in_.message), [self](HttpReply r) { self->answer(std::move(r)); });
  }
  void answer(HttpReply r) {
    if (!r.body.empty() && !r.headers.count("Content-Type")) r.headers["Content-Type"] = "application/json";
    if (close_) r.headers["Connection"] = "close";
    auto out =
        std::make_shared<std::string>("HTTP/1.1 " + std::to_string(r.status) + " " + reason_of(r.status) +
                                      "\r\n" + head_fields(r.headers, r.body.size()) + r.body);
    asio::async_write(socket_, asio::buffer(*out),
                      [self = shared_from_this(), out](const asio::error_code& ec, std::size_t) {
                        if (ec || self->close_) return;
                        if (self->pending_.empty()) return self->read();
                        self->parse();
                      });
  }
  tcp::socket socket_;
  std::shared_ptr<HttpHandler> handler_;
  Collector in_{HTTP_REQUEST};
  std::string pending_;
  bool close_ = false;
};

struct ClientCall : std::enable_shared_from_this<ClientCall> {
  ClientCall(asio::io_context& io) : socket(io), timer(io) {}
  tcp::socket socket;
  asio::steady_timer timer;
  std::string out;
  Collector in{HTTP_RESPONSE};
  std::function<void(HttpReply)> done;
  char chunk[1024];

  void finish(HttpReply r) {
    if (!done) return;
    auto d = std::move(done);
    done = nullptr;
    timer.cancel();
    asio::error_code ignored;
    socket.close(ignored);
    d(std::move(r));
  }
  void read() {
    socket.async_read_some(
        asio::buffer(chunk), [self = shared_from_this()](const asio::error_code& ec, size_t n) {
          if (ec) return self->finish({0, "", {}});
          if (self->in.feed(self->chunk, n) < 0) return self->finish({0, "", {}});
          if (!self->in.complete) return self->read();
          self->finish({int(self->in.parser.status_code), self->in.message.body, self->in.message.headers});
        });
  }
};

}  // namespace

Outcome<std::unique_ptr<HttpServer>> HttpServer::listen(asio::io_context& io, const Endpoint& at,
                                                        HttpHandler h) {
  using Out = Outcome<std::unique_ptr<HttpServer>>;
  auto handler = std::make_shared<HttpHandler>(std::move(h));
  auto acceptor = Acceptor::listen(io, at, [handler](tcp::socket s) {
    asio::error_code ignored;
    s.non_blocking(true, ignored);
    s.set_option(tcp::no_delay(true), ignored);
    std::make_shared<ServerConn>(std::move(s), handler)->read();
  });
  if (!acceptor) return Out::fail(acceptor.reason);
  auto server = std::make_unique<HttpServer>();
  server->acceptor_ = std::move(*acceptor.value);
  return Out::ok(std::move(server));
}

void http_call(asio::io_context& io, const Endpoint& to, const HttpRequest& request, Millis timeout_ms,
               std::function<void(HttpReply)> done, std::function<bool()> may) {
  auto call = std::make_shared<ClientCall>(io);
  call->done = std::move(done);
  auto headers = request.headers;
  headers["Host"] = to.text();
  headers["Connection"] = "close";
  call->out = request.method + " " + request.path + " HTTP/1.1\r\n" +
              head_fields(headers, request.body.size()) + request.body;
  call->timer.expires_after(std::chrono::milliseconds(timeout_ms));
  call->timer.async_wait([call](const asio::error_code& ec) {
    if (!ec) call->finish({0, "", {}});
  });
  asio::error_code ec;
  auto address = asio::ip::make_address(to.host, ec);
  call->socket.async_connect(tcp::endpoint(address, to.port), [call, may](const asio::error_code& e) {
    if (e) return call->finish({0, "", {}});
    if (may && !may()) return call->finish({kNotSent, "", {}});
    asio::async_write(call->socket, asio::buffer(call->out), [call](const asio::error_code& e2, std::size_t) {
      if (e2) return call->finish({0, "", {}});
      call->read();
    });
  });
}

}  // namespace pebblespindle
