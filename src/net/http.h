// A small HTTP/1.1 server and client on the http-parser library, for control calls only.
#pragma once
#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/line_connection.h"

namespace pebblespindle {

struct HttpRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers;  // names in lower case
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::map<std::string, std::string> headers;
};

// The status code of an answer that tells how a call ended. No answer in time is told as "not now".
int http_status(const Status& status);

using HttpDone = std::function<void(HttpReply)>;
using HttpHandler = std::function<void(HttpRequest, HttpDone)>;

class HttpServer {
 public:
  static Result<std::unique_ptr<HttpServer>> listen(asio::io_context& io, const Endpoint& at,
                                                    HttpHandler handler);
  void close() { acceptor_->close(); }

 private:
  std::unique_ptr<Acceptor> acceptor_;
};

struct HttpTimeouts {
  Millis connect_ms = 0;  // to reach the server
  Millis answer_ms = 0;   // from then to the end of its answer
};

// Calls done once: with the reply, with status kNotSent when nothing of the request was written, or with
// status 0 when it was and there was no answer in time. `may` is asked right before the request is written:
// if it says no, nothing is sent.
constexpr int kNotSent = -1;
void http_call(asio::io_context& io, const Endpoint& to, const HttpRequest& request, HttpTimeouts timeouts,
               std::function<void(HttpReply)> done, std::function<bool()> may = {});

}  // namespace pebblespindle
