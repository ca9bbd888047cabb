// The server of the control plane and of the ready probes, over real sockets on loopback.
#include <gtest/gtest.h>

#include <random>

#include "base/json_schema.h"
#include "net/http.h"

namespace pebblespindle {
namespace {

using asio::ip::tcp;

struct HttpServerInput : testing::Test {
  HttpServerInput() {
    const std::uint16_t port = free_port();
    at = {"127.0.0.1", port};
    auto listening = HttpServer::listen(io, at, [this](const HttpRequest& request, HttpDone done) {
      paths.push_back(request.path);
      done({200, Json{{"path", request.path}}.dump(), {}});  // as the controller does: JSON of what came
    });
    EXPECT_TRUE(bool(listening));
    server = std::move(*listening);
  }
  std::uint16_t free_port() {
    tcp::acceptor probe(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint().port();
  }
  std::string say(const std::string& bytes) {
    tcp::socket client(io);
    client.connect({asio::ip::address_v4::loopback(), at.port});
    asio::write(client, asio::buffer(bytes));
    asio::error_code ignored;
    client.shutdown(tcp::socket::shutdown_send, ignored);
    client.non_blocking(true);
    std::string heard;
    for (int turn = 0; turn < 200; ++turn) {
      io.restart();
      io.run_for(std::chrono::milliseconds(1));
      std::array<char, 4096> chunk{};
      asio::error_code ec;
      heard.append(chunk.data(), client.read_some(asio::buffer(chunk), ec));
      if (ec && ec != asio::error::would_block) break;
      if (heard.find("\r\n\r\n") != std::string::npos) break;
    }
    return heard;
  }
  asio::io_context io;
  Endpoint at;
  std::unique_ptr<HttpServer> server;
  std::vector<std::string> paths;
};

// Guards against a controller that ends: DELETE /instances/ID with bytes that are not UTF-8, then GET
// /status.
TEST_F(HttpServerInput, ATargetWithBytesThatAreNoneIsRefused) {
  for (const std::string id : {"\xff", "i-\x80\x81", "\xc3\x28",
                               "a\x01"
                               "b",
                               "caf\xc3\xa9"}) {
    const std::string heard = say("DELETE /instances/" + id + " HTTP/1.1\r\nHost: c\r\n\r\n");
    EXPECT_TRUE(heard.starts_with("HTTP/1.1 400")) << heard;
  }
  EXPECT_TRUE(paths.empty());
  EXPECT_TRUE(say("GET /status HTTP/1.1\r\nHost: c\r\n\r\n").starts_with("HTTP/1.1 200"));
  EXPECT_EQ(paths, std::vector<std::string>{"/status"});
}

TEST_F(HttpServerInput, NoBytesEndTheProcess) {
  std::mt19937 random(1);
  const std::string valid = "PUT /instances/i-1 HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}";
  for (int round = 0; round < 300; ++round) {
    std::string bytes = valid;
    for (int change = 0; change < 1 + int(random() % 6); ++change)
      bytes[random() % bytes.size()] = char(random());
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    say(bytes);
  }
  EXPECT_TRUE(say("GET /status HTTP/1.1\r\nHost: c\r\n\r\n").starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace pebblespindle
