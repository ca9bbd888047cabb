#include "net/http.h"

#include <algorithm>

#include "base/exception_barrier.h"
#include "base/json_schema.h"
#include "net/constants.h"
#include "net/http_reader.h"

namespace pebblespindle {
namespace {

using asio::ip::tcp;

std::string lower(std::string s) {
  std::transform(s.begin(), s.end(), s.begin(), [](unsigned char c) { return char(std::tolower(c)); });
  return s;
}

// What a target consists of (RFC 9112): other bytes would end up in logs, in JSON and in the stored state.
bool is_target(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

std::map<std::string, std::string> by_name(const HttpFields& fields) {
  std::map<std::string, std::string> m;
  for (auto& [name, value] : fields) m[lower(name)] = value;
  return m;
}

const char* reason_of(int status) {
  for (auto& [code, text] : {std::pair{200, "OK"},
                             {307, "Temporary Redirect"},
                             {400, "Bad Request"},
                             {404, "Not Found"},
                             {409, "Conflict"},
                             {412, "Precondition Failed"},
                             {413, "Payload Too Large"},
                             {500, "Internal Server Error"},
                             {503, "Service Unavailable"}})
    if (code == status) return text;
  return "Status";
}

std::string head_fields(const std::map<std::string, std::string>& headers, std::size_t body_size) {
  std::string fields;
  for (auto& [name, value] : headers) fields.append(name).append(": ").append(value).append("\r\n");
  return fields + "Content-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

class ServerConn : public std::enable_shared_from_this<ServerConn> {
 public:
  ServerConn(tcp::socket s, std::shared_ptr<HttpHandler> h) : socket_(std::move(s)), handler_(std::move(h)) {}
  void read() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& ec) {
      if (ec) return;
      static char chunk[kReadChunkBytes];
      asio::error_code e;
      std::size_t n = self->socket_.read_some(asio::buffer(chunk), e);
      if (e) return;
      self->pending_.append(chunk, n);
      self->parse();
    });
  }

 private:
  // Held by all copies of an HttpDone. When the last one goes without an answer, because something threw on
  // the way to it, the client is told so rather than left waiting.
  struct Responder {
    explicit Responder(std::shared_ptr<ServerConn> answered) : connection(std::move(answered)) {}
    Responder(const Responder&) = delete;
    Responder& operator=(const Responder&) = delete;
    ~Responder() {
      run_guarded(Boundary::kHttpRequest, [this] { connection->answer(internal_error()); });
    }
    std::shared_ptr<ServerConn> connection;
  };
  static HttpReply internal_error() {
    return {500,
            Json{{"ErrorMessage", "internal error: the request may have been carried out or not"}}.dump(),
            {}};
  }
  void parse() {
    std::size_t took = 0;
    auto state = in_.feed(pending_, took);
    if (state == HttpReader::State::kMore) {
      pending_.clear();
      return read();
    }
    if (state != HttpReader::State::kDone) {
      close_ = due_ = true;
      return answer({state == HttpReader::State::kBad ? 400 : 413, "", {}});
    }
    pending_.erase(0, took);
    HttpMessage m = in_.take();
    close_ = !m.keep_alive || !is_target(m.target);
    due_ = true;
    if (!is_target(m.target)) return answer({400, "", {}});
    auto responder = std::make_shared<Responder>(shared_from_this());
    run_guarded(Boundary::kHttpRequest, [&] {
      (*handler_)({m.method, m.target, std::move(m.body), by_name(m.fields)},
                  [responder](HttpReply r) { responder->connection->answer(std::move(r)); });
    });
  }
  // The next request is read only once this one is answered: answers keep the order of the requests.
  void answer(HttpReply r) {
    if (!std::exchange(due_, false)) return;
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
  HttpReader in_{HttpReader::Kind::kRequests, kMaxHttpHeaderBytes, kMaxHttpBodyBytes};
  std::string pending_;
  bool close_ = false, due_ = false;
};

struct ClientCall : std::enable_shared_from_this<ClientCall> {
  ClientCall(asio::io_context& io) : socket(io), timer(io) {}
  tcp::socket socket;
  asio::steady_timer timer;
  std::string out;
  HttpReader in{HttpReader::Kind::kResponses, kMaxHttpHeaderBytes, kMaxHttpBodyBytes};
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
  // Ends with that status unless something follows in time.
  void expect_within(Millis timeout_ms, int status) {
    timer.expires_after(std::chrono::milliseconds(timeout_ms));
    timer.async_wait([self = shared_from_this(), status](const asio::error_code& ec) {
      if (!ec) self->finish({status, "", {}});
    });
  }
  void read() {
    socket.async_read_some(asio::buffer(chunk),
                           [self = shared_from_this()](const asio::error_code& ec, size_t n) {
                             if (ec) return self->finish({0, "", {}});
                             for (std::string_view rest(self->chunk, n); !rest.empty();) {
                               std::size_t took = 0;
                               auto state = self->in.feed(rest, took);
                               if (state == HttpReader::State::kMore) break;
                               if (state != HttpReader::State::kDone) return self->finish({0, "", {}});
                               rest.remove_prefix(took);
                               HttpMessage m = self->in.take();
                               if (m.status >= 200)
                                 return self->finish({m.status, std::move(m.body), by_name(m.fields)});
                             }
                             self->read();
                           });
  }
};

}  // namespace

int http_status(const Status& status) {
  switch (status.code()) {
    case StatusCode::kOk:
      return 200;
    case StatusCode::kInvalidArgument:
      return 400;
    case StatusCode::kNotFound:
      return 404;
    case StatusCode::kConflict:
      return 412;
    default:
      return 503;
  }
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(asio::io_context& io, const Endpoint& at,
                                                       HttpHandler h) {
  auto handler = std::make_shared<HttpHandler>(std::move(h));
  auto acceptor = Acceptor::listen(io, at, [handler](tcp::socket s) {
    asio::error_code ignored;
    s.non_blocking(true, ignored);
    s.set_option(tcp::no_delay(true), ignored);
    std::make_shared<ServerConn>(std::move(s), handler)->read();
  });
  if (!acceptor) return acceptor.status();
  auto server = std::make_unique<HttpServer>();
  server->acceptor_ = std::move(*acceptor);
  return server;
}

void http_call(asio::io_context& io, const Endpoint& to, const HttpRequest& request, HttpTimeouts timeouts,
               std::function<void(HttpReply)> done, std::function<bool()> may) {
  auto call = std::make_shared<ClientCall>(io);
  call->done = std::move(done);
  auto headers = request.headers;
  headers["Host"] = to.text();
  headers["Connection"] = "close";
  call->out = request.method + " " + request.path + " HTTP/1.1\r\n" +
              head_fields(headers, request.body.size()) + request.body;
  asio::error_code ec;
  auto address = asio::ip::make_address(to.host, ec);
  if (ec) {  // else it would go to whoever listens on this machine
    asio::post(io, [call] { call->finish({kNotSent, "", {}}); });
    return;
  }
  call->expect_within(timeouts.connect_ms, kNotSent);
  call->socket.async_connect(tcp::endpoint(address, to.port), [call, may,
                                                               timeouts](const asio::error_code& e) {
    if (e || !call->done || (may && !may())) return call->finish({kNotSent, "", {}});
    call->expect_within(timeouts.answer_ms, 0);
    asio::async_write(call->socket, asio::buffer(call->out), [call](const asio::error_code& e2, std::size_t) {
      if (e2) return call->finish({0, "", {}});
      call->read();
    });
  });
}

}  // namespace pebblespindle
