// Responses and connections over real sockets on this machine: client pipelines, links between sidecars, the
// connection to a database, and the control plane's server.
#include <gtest/gtest.h>

#include <deque>
#include <thread>

#include "net/http.h"
#include "sidecar/client_listener.h"
#include "sidecar/connections.h"
#include "sidecar/inbound.h"

namespace pebblespindle::test::mesh {
namespace {

using namespace sidecar;
using asio::ip::tcp;

// An address that only this process uses, as tests run in parallel.
Endpoint unused_address() {
  static std::uint16_t next_port = 21000;
  const int pid = int(::getpid());
  return {"127." + std::to_string(1 + (pid >> 14 & 63)) + "." + std::to_string(pid >> 7 & 127) + "." +
              std::to_string(1 + (pid & 127)),
          next_port++};
}

// A socket that sends bytes and records those it receives.
struct Peer {
  explicit Peer(tcp::socket connected) : socket(std::move(connected)) { read(); }
  Peer(asio::io_context& io, const Endpoint& at) : socket(io) {
    socket.connect({asio::ip::make_address(at.host), at.port});
    read();
  }
  void read() {
    socket.async_read_some(asio::buffer(chunk), [this](const asio::error_code& ec, std::size_t n) {
      if (ec == asio::error::operation_aborted) return;
      received.append(chunk, n);
      if (ec)
        ended = true;
      else
        read();
    });
  }
  void send(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  tcp::socket socket;
  char chunk[4096];
  std::string received;
  bool ended = false;
};

void run_until(EventLoop& loop, const std::function<bool()>& done, Millis timeout_ms = 20000) {
  const Millis deadline = loop.now() + timeout_ms;
  loop.io().restart();
  loop.rearm();
  while (!done() && loop.now() < deadline) loop.io().run_one_for(std::chrono::milliseconds(5));
}

std::string get(const std::string& id, const std::string& extra_fields = "") {
  return "GET /" + id + " HTTP/1.1\r\nHost: h\r\n" + extra_fields + "\r\n";
}

struct ListenerFixture {
  EventLoop loop;
  Limits limits;
  std::map<std::string, CallId> calls;
  std::vector<CallId> abandoned_calls;
  Endpoint at = unused_address();
  ClientListener listener{
      loop,
      {[this](CallId id, Call call) { calls[call.target.substr(1)] = id; },
       [this](CallId id) { abandoned_calls.push_back(id); }, [this]() -> const Limits& { return limits; }}};
  ListenerFixture() { EXPECT_EQ(listener.listen(at), ""); }
  void answer(const std::string& id) { listener.answer(calls.at(id), {200, "for " + id, {}}); }
};

TEST(AnswersWire, APipelineIsAnsweredInItsOrderAndAnAnswerTwiceIsNone) {
  ListenerFixture fixture;
  Peer client(fixture.loop.io(), fixture.at), other_client(fixture.loop.io(), fixture.at);
  client.send(get("a1") + get("a2") + get("a3"));
  other_client.send(get("b1"));
  run_until(fixture.loop, [&] { return fixture.calls.size() == 4; });
  fixture.answer("a3");
  fixture.answer("b1");
  fixture.answer("a2");
  run_until(fixture.loop, [&] { return !other_client.received.empty(); });
  EXPECT_TRUE(client.received.empty()) << "a response ahead of that to an earlier request";
  fixture.answer("a1");
  fixture.listener.answer(fixture.calls["a1"], {200, "again", {}});
  run_until(fixture.loop, [&] { return client.received.find("for a3") != std::string::npos; });
  const auto first = client.received.find("for a1"), second = client.received.find("for a2"),
             third = client.received.find("for a3");
  EXPECT_TRUE(first < second && second < third && third != std::string::npos) << client.received;
  EXPECT_EQ(client.received.find("again"), std::string::npos);
  EXPECT_EQ(client.received.find("for b"), std::string::npos);
}

// Clients send requests after a response that closes again, idempotent or not, so these must not be
// forwarded.
TEST(AnswersWire, NothingIsReadBehindARequestWhoseAnswerCloses) {
  ListenerFixture fixture;
  Peer client(fixture.loop.io(), fixture.at);
  client.send(get("a1") + get("a2", "Connection: close\r\n") + get("a3"));
  run_until(fixture.loop, [&] { return fixture.calls.size() >= 2; });
  run_until(
      fixture.loop, [] { return false; }, 30);
  EXPECT_FALSE(fixture.calls.count("a3"));
  fixture.answer("a2");
  fixture.answer("a1");
  run_until(fixture.loop, [&] { return client.ended; });
  EXPECT_NE(client.received.find("for a2"), std::string::npos);
  EXPECT_EQ(fixture.listener.pending_count(), 0u);
}

TEST(AnswersWire, ALeavingNodeAnswersWhatItHasReadAndReadsNoMoreThanThat) {
  ListenerFixture fixture;
  Peer client(fixture.loop.io(), fixture.at), idle_client(fixture.loop.io(), fixture.at);
  client.send(get("a1") + get("a2"));
  run_until(fixture.loop, [&] { return fixture.calls.size() == 2; });
  fixture.listener.drain();
  client.send(get("a3") + get("a4"));
  run_until(fixture.loop, [&] { return idle_client.ended && fixture.calls.count("a3"); });
  EXPECT_TRUE(idle_client.ended);
  EXPECT_FALSE(fixture.calls.count("a4")) << "read after a request whose response closes";
  for (auto id : {"a3", "a1", "a2"}) fixture.answer(id);
  run_until(fixture.loop, [&] { return client.ended; });
  EXPECT_NE(client.received.find("for a3"), std::string::npos);
  EXPECT_EQ(client.received.find("Connection: close"), client.received.rfind("Connection: close"));
}

TEST(AnswersWire, TheEndOfALargeAnswerIsNotLostWhenANodeLeaves) {
  ListenerFixture fixture;
  Peer client(fixture.loop.io(), fixture.at);
  client.send(get("a1"));
  run_until(fixture.loop, [&] { return fixture.calls.count("a1") > 0; });
  fixture.listener.drain();
  const std::size_t size = 6 << 20;
  fixture.listener.answer(fixture.calls["a1"], {200, std::string(size, 'x'), {}});
  EXPECT_EQ(fixture.listener.pending_count(), 1u) << "the response counts as pending until it is written";
  run_until(fixture.loop, [&] { return fixture.listener.pending_count() == 0; });
  EXPECT_EQ(fixture.listener.pending_count(), 0u);
  run_until(fixture.loop, [&] { return client.ended; });
  EXPECT_GT(client.received.size(), size);
}

TEST(AnswersWire, TimeoutsAndSizeLimitsApplyToTheirOwnPhase) {
  ListenerFixture fixture;
  fixture.limits.header_timeout_ms = 300;
  fixture.limits.idle_timeout_ms = 1500;
  fixture.limits.max_body_bytes = 1000;
  fixture.limits.max_header_bytes = 500;
  Peer idle_client(fixture.loop.io(), fixture.at), head(fixture.loop.io(), fixture.at),
      body(fixture.loop.io(), fixture.at), idle(fixture.loop.io(), fixture.at);
  Peer large(fixture.loop.io(), fixture.at), many(fixture.loop.io(), fixture.at);
  head.send("GET /h HTTP/1.1\r\nHos");
  body.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1");
  large.send("POST /l HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'));
  many.send(get("m", "X: " + std::string(600, 'x') + "\r\n"));
  run_until(
      fixture.loop, [] { return false; },
      600);  // longer than the header timeout, well within the idle timeout
  EXPECT_NE(head.received.find(" 408 "), std::string::npos) << "an incomplete request head";
  EXPECT_NE(large.received.find(" 413 "), std::string::npos);
  EXPECT_NE(many.received.find(" 431 "), std::string::npos);
  EXPECT_FALSE(body.ended) << "the header timeout does not apply to bodies";
  idle_client.send(get("r"));
  body.send("23");
  run_until(fixture.loop, [&] { return fixture.calls.count("r") > 0; });
  fixture.answer("r");
  run_until(fixture.loop, [&] { return idle.ended; });
  EXPECT_TRUE(idle.ended);
  body.send("4");
  idle_client.send(get("r2"));
  run_until(fixture.loop, [&] { return fixture.calls.count("r2") && fixture.calls.count("b"); });
  EXPECT_TRUE(fixture.calls.count("r2")) << "a connection reused within the idle timeout is served";
  EXPECT_TRUE(fixture.calls.count("b"));
  EXPECT_FALSE(fixture.calls.count("l") || fixture.calls.count("h") || fixture.calls.count("m"));
}

// Guards against unbounded memory for a client that keeps sending and never reads.
TEST(AnswersWire, AClientThatOnlySendsIsNotReadForEver) {
  ListenerFixture fixture;
  Peer client(fixture.loop.io(), fixture.at);
  client.socket.non_blocking(true);
  std::string requests;
  for (int i = 0; i < 20000; ++i) requests += get("x" + std::to_string(i));
  std::size_t sent = 0;
  for (int round = 0; round < 400; ++round) {
    asio::error_code ec;
    if (sent < requests.size())
      sent += client.socket.write_some(asio::buffer(requests.data() + sent, requests.size() - sent), ec);
    run_until(
        fixture.loop, [] { return false; }, 1);
    const auto next = fixture.calls.find("x" + std::to_string(round));
    if (next != fixture.calls.end()) fixture.listener.answer(next->second, {503, "", {}});
  }
  EXPECT_LT(fixture.listener.pending_count(), 1200u);
  EXPECT_GT(fixture.listener.pending_count(), 60u);
}

// --- links ------------------------------------------------------------------------

struct LinksFixture {
  EventLoop loop;
  std::vector<std::pair<bool, Endpoint>> down;
  std::vector<Json> offers, answers;
  std::vector<Endpoint> ending;
  PeerLinks dialing{
      loop,
      {[this](const Endpoint&, const Json& frame) { answers.push_back(frame); },
       [this](const Endpoint& at, bool sent) { down.emplace_back(sent, at); },
       [this](const Endpoint& at) { ending.push_back(at); }, [](LinkId, const Json&) {}, [](LinkId) {}}};
  PeerLinks accepting{
      loop,
      {[](const Endpoint&, const Json&) {}, [](const Endpoint&, bool) {}, [](const Endpoint&) {},
       [this](LinkId link, const Json& frame) {
         offers.push_back(frame);
         last = link;
       },
       [this](LinkId) { ++closed_links; }}};
  LinkId last = 0;
  int closed_links = 0;
};

Json offer(int offer_number) {
  return {{"t", "q"}, {"n", offer_number}, {"d", 1000}, {"w", 0}, {"a", 500}};
}

// Guards against offers to a sidecar that shuts down.
TEST(AnswersWire, AnEndIsAnnouncedOnOpenLinksAndOnLaterOnes) {
  LinksFixture fixture;
  const Endpoint at = unused_address();
  ASSERT_EQ(fixture.accepting.listen(at), "");
  fixture.dialing.send(at, offer(1));
  run_until(fixture.loop, [&] { return fixture.offers.size() == 1; });
  fixture.accepting.announce_shutdown();
  run_until(fixture.loop, [&] { return !fixture.ending.empty(); });
  ASSERT_EQ(fixture.ending.size(), 1u);
  EXPECT_EQ(fixture.ending[0], at);
  fixture.dialing.send(at, offer(2));
  run_until(fixture.loop, [&] { return fixture.offers.size() == 2; });
  fixture.accepting.reply(fixture.last, {{"t", "no"}, {"n", 2}});
  run_until(fixture.loop, [&] { return !fixture.answers.empty(); });
  EXPECT_EQ(fixture.answers.size(), 1u) << "offers under way are still answered";
  LinksFixture later;
  later.dialing.send(at, offer(3));
  run_until(later.loop, [&] {
    fixture.loop.io().poll();
    return !later.ending.empty();
  });
  EXPECT_EQ(later.ending.size(), 1u);
}

TEST(AnswersWire, AnOfferThatIsWithdrawnWhileItsLinkIsDialledNeverLeaves) {
  LinksFixture fixture;
  const Endpoint at = unused_address();
  ASSERT_EQ(fixture.accepting.listen(at), "");
  fixture.dialing.send(at, offer(1));
  fixture.dialing.send(at, offer(2));
  EXPECT_TRUE(fixture.dialing.withdraw(at, 1));
  EXPECT_FALSE(fixture.dialing.withdraw(at, 1)) << "withdrawn twice";
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  run_until(fixture.loop, [&] { return !fixture.offers.empty(); });
  ASSERT_EQ(fixture.offers.size(), 1u);
  EXPECT_EQ(fixture.offers[0]["n"], 2);
  EXPECT_LE(fixture.offers[0]["d"], 980) << "the time spent connecting counts against the deadline";
  EXPECT_FALSE(fixture.dialing.withdraw(at, 2)) << "it was already sent";
  run_until(fixture.loop, [&] { return fixture.offers.size() == 2; });
  ASSERT_EQ(fixture.offers.size(), 2u);
  EXPECT_EQ(fixture.offers[1]["t"], "x");
}

TEST(AnswersWire, ALinkThatCannotBeDialledHasSentNothingAndOneThatEndsMayHave) {
  LinksFixture fixture;
  const Endpoint unreachable = unused_address(), at = unused_address();
  fixture.dialing.send(unreachable, offer(1));
  run_until(fixture.loop, [&] { return !fixture.down.empty(); });
  ASSERT_EQ(fixture.down.size(), 1u);
  EXPECT_FALSE(fixture.down[0].first);
  asio::ip::tcp::acceptor acceptor(fixture.loop.io(), {asio::ip::make_address(at.host), at.port});
  std::unique_ptr<Peer> peer;
  acceptor.async_accept([&](const asio::error_code&, tcp::socket accepted) {
    peer = std::make_unique<Peer>(std::move(accepted));
  });
  fixture.dialing.send(at, offer(2));
  run_until(fixture.loop, [&] { return peer && !peer->received.empty(); });
  peer->socket.close();
  run_until(fixture.loop, [&] { return fixture.down.size() == 2; });
  ASSERT_EQ(fixture.down.size(), 2u);
  EXPECT_TRUE(fixture.down[1].first);
  EXPECT_FALSE(fixture.dialing.withdraw(at, 2))
      << "whether an offer on a closed link was received is unknown";
}

TEST(AnswersWire, AnInvalidFrameEndsItsLinkAndNoOther) {
  LinksFixture fixture;
  const Endpoint at = unused_address();
  ASSERT_EQ(fixture.accepting.listen(at), "");
  Peer bad(fixture.loop.io(), at);
  fixture.dialing.send(at, offer(1));
  bad.send(std::string("\0\0\0\1\xc1", 5));
  run_until(fixture.loop, [&] { return bad.ended && !fixture.offers.empty(); });
  EXPECT_TRUE(bad.ended);
  EXPECT_EQ(fixture.closed_links, 1);
  EXPECT_TRUE(fixture.down.empty());
  EXPECT_EQ(fixture.offers.size(), 1u);
}

// --- the database's connection -------------------------------------------------------

struct AppFixture {
  EventLoop loop;
  Endpoint at = unused_address();
  tcp::acceptor acceptor{loop.io(), {asio::ip::make_address(at.host), at.port}};
  std::unique_ptr<Peer> database;
  std::vector<std::pair<Reply, Millis>> replies;
  int up = 0, down = 0, bytes = 0;
  AppConnections app{loop,
                     at,
                     {[this](ConnId) { ++up; }, [this](ConnId) { ++bytes; },
                      [this](ConnId, Reply reply, Millis keep_alive_ms) {
                        replies.emplace_back(std::move(reply), keep_alive_ms);
                      },
                      [this](ConnId, bool) { ++down; }}};
  AppFixture() {
    acceptor.async_accept([this](const asio::error_code&, tcp::socket accepted) {
      database = std::make_unique<Peer>(std::move(accepted));
    });
    app.open(1);
    run_until(loop, [this] { return up && database; });
  }
  void send_request(const Call& call) {
    app.send(1, call);
    run_until(loop, [this] { return !database->received.empty(); });
  }
};

TEST(AnswersWire, ResponsesOfADatabaseAreParsedWithTheirKeepAlive) {
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  struct Case {
    std::string response;
    std::vector<int> statuses;
    std::vector<Millis> keep_alive_times;
    bool down;
  };
  for (const Case& test_case : std::vector<Case>{
           {ok, {200}, {0}, false},
           {"HTTP/1.1 100 Continue\r\n\r\n" + ok, {200}, {0}, false},
           {ok + ok, {200, 200}, {-1, 0}, false},
           {ok + "more", {200}, {-1}, true},
           {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", {200}, {-1}, false},
           {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n", {200}, {7000}, false},
           {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", {200}, {-1}, false},
           {"HTTP/1.1 204 No Content\r\n\r\n", {204}, {0}, false},
           {"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", {304}, {0}, false},
           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk", {}, {}, true},
           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            {},
            {},
            true},
           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n",
            {200},
            {0},
            false},
           {"no answer at all\r\n\r\n", {}, {}, true},
           {"HTTP/1.1 200 OK\r\n\r\nto the end", {}, {}, false}}) {
    SCOPED_TRACE(test_case.response);
    AppFixture fixture;
    fixture.send_request({"GET", "/a", "", {{"Host", "h"}}});
    fixture.database->send(test_case.response);
    run_until(fixture.loop, [&] {
      return fixture.bytes && fixture.replies.size() == test_case.statuses.size() &&
             fixture.down == int(test_case.down);
    });
    run_until(
        fixture.loop, [] { return false; }, 5);
    std::vector<int> statuses;
    std::vector<Millis> keep_alive_times;
    for (auto& [reply, keep_alive_ms] : fixture.replies) {
      statuses.push_back(reply.status), keep_alive_times.push_back(keep_alive_ms);
      EXPECT_FALSE(find_field(reply.fields, "X-Late")) << "a trailer became a header field";
    }
    EXPECT_EQ(statuses, test_case.statuses);
    EXPECT_EQ(keep_alive_times, test_case.keep_alive_times);
    EXPECT_EQ(fixture.down, int(test_case.down));
    EXPECT_GT(fixture.bytes, 0);
  }
}

TEST(AnswersWire, AnAnswerBeforeItsRequestIsWrittenEndsTheConnection) {
  AppFixture fixture;
  fixture.database->socket.cancel();  // the database stops reading
  run_until(
      fixture.loop, [] { return false; }, 5);
  fixture.app.send(1, {"POST", "/a", std::string(8 << 20, 'x'), {{"Host", "h"}}});
  run_until(
      fixture.loop, [] { return false; }, 20);
  fixture.database->send("HTTP/1.1 503 Busy\r\nX-Pebblespindle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  run_until(fixture.loop, [&] { return !fixture.replies.empty(); });
  ASSERT_EQ(fixture.replies.size(), 1u);
  EXPECT_EQ(fixture.replies[0].second, -1);
}

// --- the control plane's server --------------------------------------------------------

TEST(AnswersWire, TheControlPlaneAnswersInOrderOnOneConnection) {
  EventLoop loop;
  const Endpoint at = unused_address();
  std::map<std::string, HttpDone> waiting;
  auto server = HttpServer::listen(loop.io(), at, [&](HttpRequest request, HttpDone done) {
    if (request.path == "/second")
      done({200, "\"second\"", {}});
    else
      waiting[request.path] = std::move(done);
  });
  ASSERT_TRUE(server);
  Peer client(loop.io(), at);
  client.send(get("first") + get("second"));
  run_until(loop, [&] { return waiting.count("/first") > 0; });
  run_until(
      loop, [] { return false; }, 30);
  EXPECT_TRUE(client.received.empty()) << "the second response was sent before the first";
  waiting["/first"]({200, "\"first\"", {}});
  waiting["/first"]({503, "", {}});  // a second answer is ignored
  run_until(loop, [&] { return client.received.find("second") != std::string::npos; });
  EXPECT_LT(client.received.find("first"), client.received.find("second"));
  EXPECT_EQ(client.received.find("503"), std::string::npos);
}

TEST(AnswersWire, ACallTakesNoInterimAnswerForItsOwnAndGoesNowhereElse) {
  EventLoop loop;
  const Endpoint at = unused_address();
  tcp::acceptor acceptor(loop.io(), {asio::ip::make_address(at.host), at.port});
  std::unique_ptr<Peer> peer;
  acceptor.async_accept([&](const asio::error_code&, tcp::socket accepted) {
    peer = std::make_unique<Peer>(std::move(accepted));
    peer->send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
  });
  int status = -2, unresolved = -2;
  http_call(loop.io(), at, {"GET", "/", "", {}}, {1000, 1000},
            [&](HttpReply reply) { status = reply.status; });
  const Endpoint unrelated = unused_address();
  tcp::acceptor unrelated_acceptor(loop.io(), {asio::ip::make_address(unrelated.host), unrelated.port});
  unrelated_acceptor.non_blocking(true);
  http_call(loop.io(), {"no.address", unrelated.port}, {"GET", "/", "", {}}, {1000, 1000},
            [&](HttpReply reply) { unresolved = reply.status; });
  run_until(loop, [&] { return status != -2 && unresolved != -2; });
  EXPECT_EQ(status, 201);
  EXPECT_EQ(unresolved, kNotSent);
  asio::error_code ec;
  auto unexpected = unrelated_acceptor.accept(ec);
  EXPECT_EQ(ec, asio::error::would_block) << "the call reached a listener at another address";
}

}  // namespace
}  // namespace pebblespindle::test::mesh
