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
  static std::uint16_t last = 21000;
  const int pid = int(::getpid());
  return {"127." + std::to_string(1 + (pid >> 14 & 63)) + "." + std::to_string(pid >> 7 & 127) + "." +
              std::to_string(1 + (pid & 127)),
          last++};
}

// A socket that sends bytes and records those it receives.
struct Peer {
  explicit Peer(tcp::socket s) : socket(std::move(s)) { read(); }
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

void run_until(EventLoop& loop, const std::function<bool()>& done, Millis most = 20000) {
  const Millis end = loop.now() + most;
  loop.io().restart();
  loop.rearm();
  while (!done() && loop.now() < end) loop.io().run_one_for(std::chrono::milliseconds(5));
}

std::string get(const std::string& id, const std::string& more = "") {
  return "GET /" + id + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

struct ListenerFixture {
  EventLoop loop;
  Limits limits;
  std::map<std::string, CallId> calls;
  std::vector<CallId> gone;
  Endpoint at = unused_address();
  ClientListener listener{
      loop,
      {[this](CallId id, Call c) { calls[c.target.substr(1)] = id; },
       [this](CallId id) { gone.push_back(id); }, [this]() -> const Limits& { return limits; }}};
  ListenerFixture() { EXPECT_EQ(listener.listen(at), ""); }
  void answer(const std::string& id) { listener.answer(calls.at(id), {200, "for " + id, {}}); }
};

TEST(AnswersWire, APipelineIsAnsweredInItsOrderAndAnAnswerTwiceIsNone) {
  ListenerFixture w;
  Peer a(w.loop.io(), w.at), b(w.loop.io(), w.at);
  a.send(get("a1") + get("a2") + get("a3"));
  b.send(get("b1"));
  run_until(w.loop, [&] { return w.calls.size() == 4; });
  w.answer("a3");
  w.answer("b1");
  w.answer("a2");
  run_until(w.loop, [&] { return !b.received.empty(); });
  EXPECT_TRUE(a.received.empty()) << "an answer before the one that is due";
  w.answer("a1");
  w.listener.answer(w.calls["a1"], {200, "again", {}});
  run_until(w.loop, [&] { return a.received.find("for a3") != std::string::npos; });
  const auto one = a.received.find("for a1"), two = a.received.find("for a2"),
             three = a.received.find("for a3");
  EXPECT_TRUE(one < two && two < three && three != std::string::npos) << a.received;
  EXPECT_EQ(a.received.find("again"), std::string::npos);
  EXPECT_EQ(a.received.find("for b"), std::string::npos);
}

// Clients send requests after a response that closes again, idempotent or not, so these must not be
// forwarded.
TEST(AnswersWire, NothingIsReadBehindARequestWhoseAnswerCloses) {
  ListenerFixture w;
  Peer a(w.loop.io(), w.at);
  a.send(get("a1") + get("a2", "Connection: close\r\n") + get("a3"));
  run_until(w.loop, [&] { return w.calls.size() >= 2; });
  run_until(
      w.loop, [] { return false; }, 30);
  EXPECT_FALSE(w.calls.count("a3"));
  w.answer("a2");
  w.answer("a1");
  run_until(w.loop, [&] { return a.ended; });
  EXPECT_NE(a.received.find("for a2"), std::string::npos);
  EXPECT_EQ(w.listener.pending_count(), 0u);
}

TEST(AnswersWire, ALeavingNodeAnswersWhatItHasReadAndReadsNoMoreThanThat) {
  ListenerFixture w;
  Peer a(w.loop.io(), w.at), idle_client(w.loop.io(), w.at);
  a.send(get("a1") + get("a2"));
  run_until(w.loop, [&] { return w.calls.size() == 2; });
  w.listener.drain();
  a.send(get("a3") + get("a4"));
  run_until(w.loop, [&] { return idle_client.ended && w.calls.count("a3"); });
  EXPECT_TRUE(idle_client.ended);
  EXPECT_FALSE(w.calls.count("a4")) << "read behind one whose answer closes";
  for (auto id : {"a3", "a1", "a2"}) w.answer(id);
  run_until(w.loop, [&] { return a.ended; });
  EXPECT_NE(a.received.find("for a3"), std::string::npos);
  EXPECT_EQ(a.received.find("Connection: close"), a.received.rfind("Connection: close"));
}

TEST(AnswersWire, TheEndOfALargeAnswerIsNotLostWhenANodeLeaves) {
  ListenerFixture w;
  Peer a(w.loop.io(), w.at);
  a.send(get("a1"));
  run_until(w.loop, [&] { return w.calls.count("a1") > 0; });
  w.listener.drain();
  const std::size_t size = 6 << 20;
  w.listener.answer(w.calls["a1"], {200, std::string(size, 'x'), {}});
  EXPECT_EQ(w.listener.pending_count(), 1u) << "it is answered, and not written out";
  run_until(w.loop, [&] { return w.listener.pending_count() == 0; });
  EXPECT_EQ(w.listener.pending_count(), 0u);
  run_until(w.loop, [&] { return a.ended; });
  EXPECT_GT(a.received.size(), size);
}

TEST(AnswersWire, LimitsBindThoseTheyAreMeantFor) {
  ListenerFixture w;
  w.limits.header_timeout_ms = 300;
  w.limits.idle_timeout_ms = 1500;
  w.limits.max_body_bytes = 1000;
  w.limits.max_header_bytes = 500;
  Peer idle_client(w.loop.io(), w.at), head(w.loop.io(), w.at), body(w.loop.io(), w.at),
      idle(w.loop.io(), w.at);
  Peer large(w.loop.io(), w.at), many(w.loop.io(), w.at);
  head.send("GET /h HTTP/1.1\r\nHos");
  body.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1");
  large.send("POST /l HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x'));
  many.send(get("m", "X: " + std::string(600, 'x') + "\r\n"));
  run_until(
      w.loop, [] { return false; }, 600);  // longer than the header timeout, well within the idle timeout
  EXPECT_NE(head.received.find(" 408 "), std::string::npos) << "a head that does not end";
  EXPECT_NE(large.received.find(" 413 "), std::string::npos);
  EXPECT_NE(many.received.find(" 431 "), std::string::npos);
  EXPECT_FALSE(body.ended) << "a body that is on its way is no head";
  idle_client.send(get("r"));
  body.send("23");
  run_until(w.loop, [&] { return w.calls.count("r") > 0; });
  w.answer("r");
  run_until(w.loop, [&] { return idle.ended; });
  EXPECT_TRUE(idle.ended);
  body.send("4");
  idle_client.send(get("r2"));
  run_until(w.loop, [&] { return w.calls.count("r2") && w.calls.count("b"); });
  EXPECT_TRUE(w.calls.count("r2")) << "a connection taken up again within its limit is served";
  EXPECT_TRUE(w.calls.count("b"));
  EXPECT_FALSE(w.calls.count("l") || w.calls.count("h") || w.calls.count("m"));
}

// Guards against unbounded memory for a client that keeps sending and never reads.
TEST(AnswersWire, AClientThatOnlySendsIsNotReadForEver) {
  ListenerFixture w;
  Peer a(w.loop.io(), w.at);
  a.socket.non_blocking(true);
  std::string many;
  for (int i = 0; i < 20000; ++i) many += get("x" + std::to_string(i));
  std::size_t sent = 0;
  for (int round = 0; round < 400; ++round) {
    asio::error_code ec;
    if (sent < many.size())
      sent += a.socket.write_some(asio::buffer(many.data() + sent, many.size() - sent), ec);
    run_until(
        w.loop, [] { return false; }, 1);
    const auto next = w.calls.find("x" + std::to_string(round));
    if (next != w.calls.end()) w.listener.answer(next->second, {503, "", {}});
  }
  EXPECT_LT(w.listener.pending_count(), 1200u);
  EXPECT_GT(w.listener.pending_count(), 60u);
}

// --- links ------------------------------------------------------------------------

struct LinksFixture {
  EventLoop loop;
  std::vector<std::pair<bool, Endpoint>> down;
  std::vector<Json> offers, answers;
  std::vector<Endpoint> ending;
  PeerLinks a{
      loop,
      {[this](const Endpoint&, const Json& m) { answers.push_back(m); },
       [this](const Endpoint& at, bool sent) { down.emplace_back(sent, at); },
       [this](const Endpoint& at) { ending.push_back(at); }, [](LinkId, const Json&) {}, [](LinkId) {}}};
  PeerLinks b{loop,
              {[](const Endpoint&, const Json&) {}, [](const Endpoint&, bool) {}, [](const Endpoint&) {},
               [this](LinkId link, const Json& m) {
                 offers.push_back(m);
                 last = link;
               },
               [this](LinkId) { ++gone; }}};
  LinkId last = 0;
  int gone = 0;
};

Json offer(int n) {
  return {{"t", "q"}, {"n", n}, {"d", 1000}, {"w", 0}, {"a", 500}};
}

// Guards against offers to a sidecar that shuts down.
TEST(AnswersWire, AnEndIsAnnouncedOnOpenLinksAndOnLaterOnes) {
  LinksFixture w;
  const Endpoint at = unused_address();
  ASSERT_EQ(w.b.listen(at), "");
  w.a.send(at, offer(1));
  run_until(w.loop, [&] { return w.offers.size() == 1; });
  w.b.announce_shutdown();
  run_until(w.loop, [&] { return !w.ending.empty(); });
  ASSERT_EQ(w.ending.size(), 1u);
  EXPECT_EQ(w.ending[0], at);
  w.a.send(at, offer(2));
  run_until(w.loop, [&] { return w.offers.size() == 2; });
  w.b.reply(w.last, {{"t", "no"}, {"n", 2}});
  run_until(w.loop, [&] { return !w.answers.empty(); });
  EXPECT_EQ(w.answers.size(), 1u) << "what is under way is still answered";
  LinksFixture later;
  later.a.send(at, offer(3));
  run_until(later.loop, [&] {
    w.loop.io().poll();
    return !later.ending.empty();
  });
  EXPECT_EQ(later.ending.size(), 1u);
}

TEST(AnswersWire, AnOfferThatIsWithdrawnWhileItsLinkIsDialledNeverLeaves) {
  LinksFixture w;
  const Endpoint at = unused_address();
  ASSERT_EQ(w.b.listen(at), "");
  w.a.send(at, offer(1));
  w.a.send(at, offer(2));
  EXPECT_TRUE(w.a.withdraw(at, 1));
  EXPECT_FALSE(w.a.withdraw(at, 1)) << "once";
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  run_until(w.loop, [&] { return !w.offers.empty(); });
  ASSERT_EQ(w.offers.size(), 1u);
  EXPECT_EQ(w.offers[0]["n"], 2);
  EXPECT_LE(w.offers[0]["d"], 980) << "the time it was held is gone";
  EXPECT_FALSE(w.a.withdraw(at, 2)) << "it has left";
  run_until(w.loop, [&] { return w.offers.size() == 2; });
  ASSERT_EQ(w.offers.size(), 2u);
  EXPECT_EQ(w.offers[1]["t"], "x");
}

TEST(AnswersWire, ALinkThatCannotBeDialledHasSentNothingAndOneThatEndsMayHave) {
  LinksFixture w;
  const Endpoint nobody = unused_address(), at = unused_address();
  w.a.send(nobody, offer(1));
  run_until(w.loop, [&] { return !w.down.empty(); });
  ASSERT_EQ(w.down.size(), 1u);
  EXPECT_FALSE(w.down[0].first);
  asio::ip::tcp::acceptor acceptor(w.loop.io(), {asio::ip::make_address(at.host), at.port});
  std::unique_ptr<Peer> peer;
  acceptor.async_accept(
      [&](const asio::error_code&, tcp::socket s) { peer = std::make_unique<Peer>(std::move(s)); });
  w.a.send(at, offer(2));
  run_until(w.loop, [&] { return peer && !peer->received.empty(); });
  peer->socket.close();
  run_until(w.loop, [&] { return w.down.size() == 2; });
  ASSERT_EQ(w.down.size(), 2u);
  EXPECT_TRUE(w.down[1].first);
  EXPECT_FALSE(w.a.withdraw(at, 2)) << "of a link that has ended nothing is known";
}

TEST(AnswersWire, AFrameThatIsNoneEndsItsLinkAndNoOther) {
  LinksFixture w;
  const Endpoint at = unused_address();
  ASSERT_EQ(w.b.listen(at), "");
  Peer bad(w.loop.io(), at);
  w.a.send(at, offer(1));
  bad.send(std::string("\0\0\0\1\xc1", 5));
  run_until(w.loop, [&] { return bad.ended && !w.offers.empty(); });
  EXPECT_TRUE(bad.ended);
  EXPECT_EQ(w.gone, 1);
  EXPECT_TRUE(w.down.empty());
  EXPECT_EQ(w.offers.size(), 1u);
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
                      [this](ConnId, Reply r, Millis keep) { replies.emplace_back(std::move(r), keep); },
                      [this](ConnId, bool) { ++down; }}};
  AppFixture() {
    acceptor.async_accept(
        [this](const asio::error_code&, tcp::socket s) { database = std::make_unique<Peer>(std::move(s)); });
    app.open(1);
    run_until(loop, [this] { return up && database; });
  }
  void ask(const Call& c) {
    app.send(1, c);
    run_until(loop, [this] { return !database->received.empty(); });
  }
};

TEST(AnswersWire, WhatADatabaseSaysIsReadAsItMeansIt) {
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  struct Case {
    std::string said;
    std::vector<int> statuses;
    std::vector<Millis> keeps;
    bool down;
  };
  for (const Case& c : std::vector<Case>{
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
    SCOPED_TRACE(c.said);
    AppFixture w;
    w.ask({"GET", "/a", "", {{"Host", "h"}}});
    w.database->send(c.said);
    run_until(w.loop,
              [&] { return w.bytes && w.replies.size() == c.statuses.size() && w.down == int(c.down); });
    run_until(
        w.loop, [] { return false; }, 5);
    std::vector<int> statuses;
    std::vector<Millis> keeps;
    for (auto& [r, keep] : w.replies) {
      statuses.push_back(r.status), keeps.push_back(keep);
      EXPECT_FALSE(find_field(r.fields, "X-Late")) << "a trailer is no field of the head";
    }
    EXPECT_EQ(statuses, c.statuses);
    EXPECT_EQ(keeps, c.keeps);
    EXPECT_EQ(w.down, int(c.down));
    EXPECT_GT(w.bytes, 0);
  }
}

TEST(AnswersWire, AnAnswerBeforeItsRequestIsWrittenEndsTheConnection) {
  AppFixture w;
  w.database->socket.cancel();  // the database stops reading
  run_until(
      w.loop, [] { return false; }, 5);
  w.app.send(1, {"POST", "/a", std::string(8 << 20, 'x'), {{"Host", "h"}}});
  run_until(
      w.loop, [] { return false; }, 20);
  w.database->send("HTTP/1.1 503 Busy\r\nX-Pebblespindle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  run_until(w.loop, [&] { return !w.replies.empty(); });
  ASSERT_EQ(w.replies.size(), 1u);
  EXPECT_EQ(w.replies[0].second, -1);
}

// --- the control plane's server --------------------------------------------------------

TEST(AnswersWire, TheControlPlaneAnswersInOrderOnOneConnection) {
  EventLoop loop;
  const Endpoint at = unused_address();
  std::map<std::string, HttpDone> waiting;
  auto server = HttpServer::listen(loop.io(), at, [&](HttpRequest r, HttpDone done) {
    if (r.path == "/second")
      done({200, "\"second\"", {}});
    else
      waiting[r.path] = std::move(done);
  });
  ASSERT_TRUE(server);
  Peer a(loop.io(), at);
  a.send(get("first") + get("second"));
  run_until(loop, [&] { return waiting.count("/first") > 0; });
  run_until(
      loop, [] { return false; }, 30);
  EXPECT_TRUE(a.received.empty()) << "the second is ready first";
  waiting["/first"]({200, "\"first\"", {}});
  waiting["/first"]({503, "", {}});  // a second answer is ignored
  run_until(loop, [&] { return a.received.find("second") != std::string::npos; });
  EXPECT_LT(a.received.find("first"), a.received.find("second"));
  EXPECT_EQ(a.received.find("503"), std::string::npos);
}

TEST(AnswersWire, ACallTakesNoInterimAnswerForItsOwnAndGoesNowhereElse) {
  EventLoop loop;
  const Endpoint at = unused_address();
  tcp::acceptor acceptor(loop.io(), {asio::ip::make_address(at.host), at.port});
  std::unique_ptr<Peer> peer;
  acceptor.async_accept([&](const asio::error_code&, tcp::socket s) {
    peer = std::make_unique<Peer>(std::move(s));
    peer->send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
  });
  int status = -2, lost = -2;
  http_call(loop.io(), at, {"GET", "/", "", {}}, {1000, 1000}, [&](HttpReply r) { status = r.status; });
  const Endpoint here = unused_address();
  tcp::acceptor nobody(loop.io(), {asio::ip::make_address(here.host), here.port});
  nobody.non_blocking(true);
  http_call(loop.io(), {"no.address", here.port}, {"GET", "/", "", {}}, {1000, 1000},
            [&](HttpReply r) { lost = r.status; });
  run_until(loop, [&] { return status != -2 && lost != -2; });
  EXPECT_EQ(status, 201);
  EXPECT_EQ(lost, kNotSent);
  asio::error_code ec;
  auto stray = nobody.accept(ec);
  EXPECT_EQ(ec, asio::error::would_block) << "it went to whoever listens here";
}

}  // namespace
}  // namespace pebblespindle::test::mesh
