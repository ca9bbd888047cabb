// Whatever a handler throws behind a boundary of the process ends no process and hangs none, is counted, and
// is answered where a caller waits; over real sockets on loopback.
#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>

#include "base/exception_barrier.h"
#include "net/constants.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "replication/pending_requests.h"

namespace pebblespindle {
namespace {

using asio::ip::tcp;

constexpr Millis kPatienceMs = 3000;

class ExceptionBoundaries : public testing::Test {
 protected:
  // Runs the event loop as a process does, until `done` says so.
  void run_until(const std::function<bool()>& done) {
    const Millis end = loop_.now() + kPatienceMs;
    auto waiting = std::make_shared<bool>(true);
    loop_.every(1, [this, &done, end, waiting] {
      if (*waiting && (done() || loop_.now() > end)) loop_.stop();
    });
    loop_.io().restart();
    loop_.run();
    *waiting = false;
    EXPECT_TRUE(done());
  }
  // Checks the number of exceptions that were stopped at that boundary, and forgets them.
  static void expect_stopped(Boundary boundary, std::uint64_t count) {
    const auto found = stopped_exceptions().find(boundary);
    EXPECT_EQ(found == stopped_exceptions().end() ? 0 : found->second, count) << name_of(boundary);
    reset_stopped_exceptions();
  }
  Endpoint free_endpoint() {
    tcp::acceptor probe(loop_.io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return {"127.0.0.1", probe.local_endpoint().port()};
  }
  tcp::socket connect_to(const Endpoint& at) {
    tcp::socket client(loop_.io());
    client.connect({asio::ip::make_address(at.host), at.port});
    client.non_blocking(true);
    return client;
  }
  // Appends what can be read from the socket; false once the peer has ended.
  static bool read_available(tcp::socket& client, std::string& received) {
    std::array<char, 4096> chunk{};
    asio::error_code error;
    received.append(chunk.data(), client.read_some(asio::buffer(chunk), error));
    return !error || error == asio::error::would_block;
  }

  EventLoop loop_;
};

TEST_F(ExceptionBoundaries, ATimerThatThrowsKeepsNoOtherOneFromItsTurn) {
  int periodic = 0;
  bool other_ran = false;
  const Millis due = loop_.now() + 5;
  loop_.every(2, [&] {
    ++periodic;
    throw std::runtime_error("periodic");
  });
  loop_.timers().at(due, [] { throw 7; });
  loop_.timers().at(due, [&] { other_ran = true; });
  run_until([&] { return periodic >= 3 && other_ran; });
  expect_stopped(Boundary::kTimer, std::uint64_t(periodic) + 1);
}

TEST_F(ExceptionBoundaries, ASignalWhoseHandlerThrowsIsHandledAgain) {
  int handled = 0;
  loop_.on_signal(SIGUSR1, [&] {
    ++handled;
    throw std::runtime_error("signal");
  });
  loop_.timers().at(loop_.now() + 1, [] { std::raise(SIGUSR1); });
  loop_.timers().at(loop_.now() + 20, [] { std::raise(SIGUSR1); });
  run_until([&] { return handled == 2; });
  expect_stopped(Boundary::kSignal, 2);
}

TEST_F(ExceptionBoundaries, WhatAPostedCallbackThrowsDoesNotEndTheLoop) {
  bool next_ran = false;
  asio::post(loop_.io(), [] { throw std::runtime_error("posted"); });
  asio::post(loop_.io(), [&] { next_ran = true; });
  run_until([&] { return next_ran; });
  expect_stopped(Boundary::kEventLoop, 1);
}

TEST_F(ExceptionBoundaries, AnAcceptorGoesOnAfterAHandlerThatThrows) {
  int accepted = 0;
  const Endpoint at = free_endpoint();
  auto acceptor = Acceptor::listen(loop_.io(), at, [&](const tcp::socket&) {
    if (++accepted == 1) throw std::runtime_error("accepted");
  });
  ASSERT_TRUE(bool(acceptor));
  auto first = connect_to(at);
  auto second = connect_to(at);
  run_until([&] { return accepted == 2; });
  expect_stopped(Boundary::kAcceptor, 1);
}

class HttpBoundary : public ExceptionBoundaries {
 protected:
  void SetUp() override {
    at_ = free_endpoint();
    auto server =
        HttpServer::listen(loop_.io(), at_, [this](const HttpRequest& request, const HttpDone& done) {
          if (request.path == "/throws") throw std::runtime_error("handler");
          if (request.path == "/forgets") return;
          if (request.path == "/later") {
            loop_.timers().at(loop_.now() + 5, [done] {
              const HttpDone waiting = done;
              throw std::runtime_error("on the way to the answer");
            });
            return loop_.rearm();
          }
          if (request.path == "/kept") kept_ = done;
          if (request.path == "/kept") throw std::runtime_error("after it was passed on");
          done({200, "{}", {}});
        });
    ASSERT_TRUE(bool(server));
    server_ = std::move(*server);
  }
  // The status line of the answer.
  std::string status_of(const std::string& path) {
    tcp::socket client = connect_to(at_);
    asio::write(client, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: c\r\n\r\n"));
    std::string received;
    run_until([&] {
      read_available(client, received);
      return received.find("\r\n\r\n") != std::string::npos;
    });
    return received.substr(0, received.find("\r\n"));
  }
  Endpoint at_;
  std::unique_ptr<HttpServer> server_;
  HttpDone kept_;
};

// Guards against a controller that ends when the handler of an order throws (review case 10).
TEST_F(HttpBoundary, ARequestWhoseHandlerThrowsIsAnsweredAndTheNextOneServed) {
  EXPECT_EQ(status_of("/throws"), "HTTP/1.1 500 Internal Server Error");
  expect_stopped(Boundary::kHttpRequest, 1);
  EXPECT_EQ(status_of("/well"), "HTTP/1.1 200 OK");
}

TEST_F(HttpBoundary, ARequestWhoseAnswerIsLostOnTheWayIsAnswered) {
  EXPECT_EQ(status_of("/forgets"), "HTTP/1.1 500 Internal Server Error");
  EXPECT_EQ(status_of("/later"), "HTTP/1.1 500 Internal Server Error");
  expect_stopped(Boundary::kTimer, 1);
}

// Whoever took the callback over still answers: no "not carried out" stands against what is on its way.
TEST_F(HttpBoundary, ARequestThatWasPassedOnBeforeTheThrowGetsItsAnswer) {
  loop_.timers().at(loop_.now() + 50, [this] { std::exchange(kept_, nullptr)({200, "{}", {}}); });
  EXPECT_EQ(status_of("/kept"), "HTTP/1.1 200 OK");
  expect_stopped(Boundary::kHttpRequest, 1);
}

class ConnectionBoundary : public ExceptionBoundaries {
 protected:
  void SetUp() override {
    at_ = free_endpoint();
    auto acceptor =
        Acceptor::listen(loop_.io(), at_, [this](tcp::socket socket) { serve(std::move(socket)); });
    ASSERT_TRUE(bool(acceptor));
    acceptor_ = std::move(*acceptor);
  }
  // Echoes lines; some words make a handler throw.
  void serve(tcp::socket socket) {
    auto connection =
        std::make_shared<LineConnection>(std::move(socket), Framing::kLfLines, kMaxMessageBytes);
    connection->start({[this, connection](std::string_view line) {
                         if (line == "item") throw std::runtime_error("item");
                         throws_in_batch_ = line == "batch";
                         throws_in_end_ = line == "end";
                         connection->send(std::string(line) + "\n");
                       },
                       [this, connection](LineConnection::End why) {
                         ends_.push_back(why);
                         connection->send("last words\n");
                         if (throws_in_end_) throw std::runtime_error("end");
                       },
                       [this] {
                         if (std::exchange(throws_in_batch_, false)) throw std::runtime_error("batch");
                       }});
  }
  // What comes back for that line, until the connection has ended or an echo has come.
  std::string echo_of(tcp::socket& client, const std::string& line, bool until_end) {
    asio::write(client, asio::buffer(line + "\n"));
    std::string received;
    run_until([&] {
      const bool open = read_available(client, received);
      return until_end ? !open : received.ends_with("\n");
    });
    return received;
  }
  Endpoint at_;
  std::unique_ptr<Acceptor> acceptor_;
  std::vector<LineConnection::End> ends_;
  bool throws_in_batch_ = false, throws_in_end_ = false;
};

TEST_F(ConnectionBoundary, AnItemThatThrowsEndsItsConnectionWithLastWordsAndNoOtherOne) {
  auto other = connect_to(at_);
  EXPECT_EQ(echo_of(other, "a", false), "a\n");
  auto client = connect_to(at_);
  EXPECT_EQ(echo_of(client, "item", true), "last words\n");
  EXPECT_EQ(ends_, std::vector{LineConnection::End::kFailed});
  EXPECT_EQ(echo_of(other, "b", false), "b\n");
  expect_stopped(Boundary::kConnection, 1);
}

TEST_F(ConnectionBoundary, ABatchThatThrowsEndsItsConnection) {
  auto client = connect_to(at_);
  EXPECT_EQ(echo_of(client, "batch", true), "batch\nlast words\n");
  EXPECT_EQ(ends_, std::vector{LineConnection::End::kFailed});
  expect_stopped(Boundary::kConnection, 1);
}

TEST_F(ConnectionBoundary, AnEndThatThrowsIsOverAllTheSame) {
  auto client = connect_to(at_);
  EXPECT_EQ(echo_of(client, "end", false), "end\n");
  client.close();
  run_until([&] { return !ends_.empty(); });
  expect_stopped(Boundary::kConnection, 1);
  auto next = connect_to(at_);
  EXPECT_EQ(echo_of(next, "c", false), "c\n");
}

struct SilentOutbox : replication::Outbox {
  void send(const replication::ReplicaId&, const replication::Message&) override {}
  void send_to_others(const replication::Message&) override {}
};

// A callback that throws must not keep the others, who wait for the same reply, from theirs.
TEST(SubmissionBoundary, ACallbackThatThrowsKeepsNoOtherOneFromItsAnswer) {
  SilentOutbox outbox;
  replication::PendingRequests requests(outbox, 0);
  int answered = 0;
  requests.submit(1, {}, Json::object(), [](const Status&) { throw std::runtime_error("done"); });
  requests.submit(1, {}, Json::object(), [&](const Status&) { ++answered; });
  requests.read(1, {}, "key", [](const auto&) { throw std::runtime_error("done"); });
  requests.read(1, {}, "key", [&](const auto&) { ++answered; });
  requests.shut_down();
  EXPECT_EQ(answered, 2);
  EXPECT_EQ(stopped_exception_count(), 2U);
  reset_stopped_exceptions();
}

}  // namespace
}  // namespace pebblespindle
