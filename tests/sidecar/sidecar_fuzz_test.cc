// Random and mutated bytes against all parsers of input from other processes: HTTP requests and responses,
// pipelines, frames and their fields. There must be no crash, no unbounded memory, either 400 or a close, and
// never a response to another caller. PEBBLESPINDLE_SEEDS sets another number of rounds.
#include <gtest/gtest.h>

#include <deque>

#include "config/command_validation.h"
#include "config/configuration_reader.h"
#include "sidecar/app_response_reader.h"
#include "sidecar/constants.h"
#include "sidecar/frame.h"
#include "sidecar/inbound.h"
#include "sidecar/outbound.h"
#include "sidecar/pipeline.h"

namespace pebblespindle::test::fuzz {
namespace {

using namespace sidecar;

int rounds(int usual) {
  const char* more = std::getenv("PEBBLESPINDLE_SEEDS");
  return more ? std::max(1, std::atoi(more)) : usual;
}

struct FuzzSource {
  explicit FuzzSource(std::uint32_t seed) : rng(seed) {}
  std::mt19937 rng;
  std::size_t pick(std::size_t n) { return rng() % std::max<std::size_t>(1, n); }
  bool chance(double p) { return double(rng()) < p * 4294967296.0; }
  std::string random_bytes(std::size_t most) {
    std::string s(pick(most), ' ');
    for (auto& c : s) c = char(rng());
    return s;
  }
  // Applies up to three small mutations; `words` are texts that may be inserted.
  std::string mutate(std::string s, const std::vector<std::string>& words) {
    for (std::size_t n = pick(4); n > 0 && !s.empty(); --n) {
      const std::size_t at = pick(s.size());
      switch (pick(6)) {
        case 0:
          s[at] = char(rng());
          break;
        case 1:
          s.erase(at, 1 + pick(8));
          break;
        case 2:
          s.insert(at, words[pick(words.size())]);
          break;
        case 3:
          s.insert(at, s.substr(pick(s.size()), pick(40)));
          break;
        case 4:
          s.insert(at, random_bytes(12));
          break;
        default:
          s.resize(at);
      }
    }
    return s;
  }
  // Calls `f` with the bytes in random pieces.
  template <class F>
  void pieces(std::string_view s, F f) {
    while (!s.empty()) {
      std::size_t n = chance(0.3) ? s.size() : 1 + pick(std::min<std::size_t>(s.size(), 40));
      if (!f(s.substr(0, n))) return;
      s.remove_prefix(n);
    }
  }
};

const std::vector<std::string> kWords{"\r\n",
                                      "\n",
                                      "\r",
                                      "\r\n\r\n",
                                      "Content-Length: 3\r\n",
                                      "Content-Length: 99999999999999999999\r\n",
                                      "Content-Length: -1\r\n",
                                      "Transfer-Encoding: chunked\r\n",
                                      "Transfer-Encoding: gzip\r\n",
                                      "Transfer-Encoding : chunked\r\n",
                                      "ffffffffffffffff\r\n",
                                      "0\r\n\r\n",
                                      "Connection: close\r\n",
                                      "Connection: upgrade\r\nUpgrade: x\r\n",
                                      "Host: other\r\n",
                                      " folded\r\n",
                                      std::string("\0", 1),
                                      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                      "HTTP/1.1 100 Continue\r\n\r\n",
                                      "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
                                      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                                      "X-Pebblespindle-Request-Id: q2\r\n",
                                      "X-Pebblespindle-Not-Executed: 1\r\n",
                                      "X-Pebblespindle-Response-Seal: s\r\n"};

std::string requests(FuzzSource& s) {
  std::string out;
  for (std::size_t n = 1 + s.pick(3); n > 0; --n) {
    const std::string head = "/s/once/x HTTP/1.1\r\nHost: h\r\nX-Pebblespindle-Request-Id: q1\r\n";
    switch (s.pick(4)) {
      case 0:
        out += "GET " + head + "\r\n";
        break;
      case 1:
        out += "POST " + head + "Content-Length: 5\r\n\r\nhello";
        break;
      case 2:
        out += "POST " + head + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nTrail: 1\r\n\r\n";
        break;
      default:
        out += "HEAD " + head + "Connection: close\r\n\r\n";
    }
  }
  return out;
}

struct Parsed {
  std::vector<std::string> messages;
  HttpReader::State end = HttpReader::State::kMore;
};

Parsed read_all(HttpReader::Kind kind, std::string_view bytes, FuzzSource* cut) {
  HttpReader r(kind, 300, 100);
  Parsed h;
  auto feed = [&](std::string_view piece) {
    while (!piece.empty()) {
      std::size_t took = 0;
      h.end = r.feed(piece, took);
      if (h.end == HttpReader::State::kMore) return true;
      if (h.end != HttpReader::State::kDone) return false;
      EXPECT_GT(took, 0u);
      EXPECT_LE(took, piece.size());
      piece.remove_prefix(std::min(took, piece.size()));
      HttpMessage m = r.take();
      std::size_t head = m.target.size();
      std::string all = m.method + " " + m.target + " " + std::to_string(m.status) + "\n";
      for (auto& [name, value] : m.fields) {
        head += name.size() + value.size();
        EXPECT_TRUE(is_single_line(name) && is_single_line(value))
            << "a field that is two lines: " << testing::PrintToString(name + ":" + value);
        all += name + ":" + value + "\n";
      }
      EXPECT_LE(head, 300u);
      EXPECT_LE(m.body.size(), 100u);
      h.messages.push_back(all + m.body);
    }
    return true;
  };
  if (cut)
    cut->pieces(bytes, feed);
  else
    feed(bytes);
  return h;
}

// The result of parsing must not depend on how the bytes are split, or two parsers would see different
// messages.
TEST(FuzzMesh, HttpReadersTakeTheSameFromAnyPieces) {
  std::size_t whole = 0, bad = 0;
  for (int seed = 1; seed <= rounds(20000); ++seed) {
    SCOPED_TRACE(seed);
    FuzzSource s{std::uint32_t(seed)};
    const bool ask = s.chance(0.5);
    std::string bytes = ask ? requests(s)
                            : "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 201 C\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    bytes = s.chance(0.05) ? s.random_bytes(300) : s.mutate(bytes, kWords);
    const auto kind = ask ? HttpReader::Kind::kRequests : HttpReader::Kind::kResponses;
    const Parsed one = read_all(kind, bytes, nullptr), two = read_all(kind, bytes, &s);
    ASSERT_EQ(one.messages, two.messages) << bytes;
    const bool bad_one = one.end >= HttpReader::State::kBad, bad_two = two.end >= HttpReader::State::kBad;
    ASSERT_EQ(bad_one, bad_two) << bytes;
    whole += one.messages.size();
    bad += bad_one;
  }
  EXPECT_GT(whole, 0u);
  EXPECT_GT(bad, 0u);
}

// A client gets the responses to its requests in order, and 400, 408, 413 or 431 only as the last one.
TEST(FuzzMesh, PipelinesAnswerInOrderWhateverIsSent) {
  Limits limits;
  limits.max_header_bytes = 300;
  limits.max_body_bytes = 100;
  int refused = 0;
  for (int seed = 1; seed <= rounds(10000); ++seed) {
    SCOPED_TRACE(seed);
    FuzzSource s{std::uint32_t(seed)};
    Pipeline line(limits);
    CallId last = 0;
    std::vector<CallId> open, order;
    std::string out;
    const std::string bytes = s.mutate(requests(s), kWords);
    auto answer = [&](std::size_t i) {
      out += line.answer(open[i], {200, "for " + std::to_string(open[i]), {}});
      out += line.answer(open[i], {200, "again", {}});  // ignored
      open.erase(open.begin() + std::ptrdiff_t(i));
    };
    s.pieces(bytes, [&](std::string_view piece) {
      for (auto& a : line.read(piece, last, out)) {
        open.push_back(a.id), order.push_back(a.id);
        EXPECT_EQ(count_fields(a.call.fields, "Host"), 1u);
        EXPECT_LE(count_fields(a.call.fields, kRequestIdField), 1u);
        EXPECT_TRUE(is_single_word(a.call.method) && is_single_word(a.call.target));
        EXPECT_LE(a.call.body.size(), 100u);
      }
      while (!open.empty() && s.chance(0.4)) answer(s.pick(open.size()));
      return true;
    });
    if (s.chance(0.3)) out += line.on_timeout();
    while (!open.empty()) answer(s.pick(open.size()));
    EXPECT_LE(line.pending_count(), 1u);
    std::size_t at = 0;
    for (std::string_view rest = out; !rest.empty();) {
      HttpReader r(HttpReader::Kind::kResponses, 1000, 1000);
      // Only responses to HEAD have no Content-Length here, and no body.
      const auto head_end = rest.find("\r\n\r\n");
      ASSERT_NE(head_end, std::string_view::npos);
      r.no_body(rest.substr(0, head_end).find("Content-Length") == std::string_view::npos);
      std::size_t took = 0;
      ASSERT_EQ(int(r.feed(rest, took)), int(HttpReader::State::kDone)) << out;
      rest.remove_prefix(took);
      HttpMessage m = r.take();
      if (m.status == 200) {
        ASSERT_LT(at, order.size());
        ASSERT_TRUE(m.body.empty() || m.body == "for " + std::to_string(order[at])) << "out of order";
        ++at;
      } else {
        ASSERT_TRUE(m.status == 400 || m.status == 408 || m.status == 413 || m.status == 431) << m.status;
        ASSERT_TRUE(rest.empty()) << "something behind the last answer";
        ASSERT_TRUE(line.is_finished());
        ++refused;
      }
    }
    ASSERT_EQ(at, order.size());
  }
  EXPECT_GT(refused, 0);
}

// Two parsers could disagree on the end, the id or the target of such requests.
TEST(FuzzMesh, RequestsThatCanBeReadInTwoWaysAreRefused) {
  const std::string host = "Host: h\r\n", id = "X-Pebblespindle-Request-Id: q1\r\n";
  struct Case {
    const char* what;
    std::string bytes;
    bool taken;
  };
  for (const Case& c : std::vector<Case>{
           {"proper", "GET /a HTTP/1.1\r\n" + host + id + "\r\n", true},
           {"two ids", "GET /a HTTP/1.1\r\n" + host + id + id + "\r\n", false},
           {"two hosts", "GET /a HTTP/1.1\r\n" + host + host + "\r\n", false},
           {"no host", "GET /a HTTP/1.1\r\n" + id + "\r\n", false},
           {"a tunnel", "CONNECT h:1 HTTP/1.1\r\n" + host + "\r\n", false},
           {"two lengths", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            false},
           {"a length and pieces",
            "POST /a HTTP/1.1\r\n" + host +
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            false},
           {"NUL in a value", "GET /a HTTP/1.1\r\n" + host + std::string("X-A:\0b\r\n", 8) + "\r\n",
            false}}) {
    SCOPED_TRACE(c.what);
    Pipeline line(Limits{});
    CallId last = 0;
    std::string out;
    EXPECT_EQ(line.read(c.bytes, last, out).size(), c.taken ? 1u : 0u);
    EXPECT_EQ(out.starts_with("HTTP/1.1 400 "), !c.taken);
    EXPECT_EQ(line.is_finished(), !c.taken);
  }
}

// --- responses of databases -----------------------------------------------------------

struct InboundHalf : InboundPort {
  TimerQueue timers;
  Inbound in{*this, timers};
  Millis now = 1000;
  struct Conn {
    AppResponseReader reader;
    std::string id;
  };
  std::map<ConnId, Conn> conns;
  std::map<std::uint64_t, int> answers;
  std::map<std::uint64_t, Call> asked;
  int given = 0, failed = 0;
  void reply(LinkId, const Json& m) override {
    const std::uint64_t n = unsigned_field(m, "n");
    ASSERT_LE(++answers[n], 1) << "answered twice";
    if (text_field(m, "t") != "a") {
      ++failed;
      return;
    }
    ++given;
    const HttpFields fields = fields_from_json(m["h"]);
    auto* id = find_field(fields, kRequestIdField);
    ASSERT_TRUE(!id || *id == "q" + std::to_string(n)) << "another caller's answer";
    const auto status = clamped_field(m, "s", 0, 0, 999);
    ASSERT_TRUE(status >= 200 && status < 600);
    ASSERT_TRUE(status >= 300 || find_field(fields, kResponseSealField));
  }
  void open_app_connection(ConnId id) override { conns[id]; }
  void send_to_app(ConnId id, const Call& c) override {
    conns[id].reader.request_sent(c.method == "HEAD");
    conns[id].id = *find_field(c.fields, kRequestIdField);
  }
  void close_app_connection(ConnId id) override { conns.erase(id); }
  void step(Millis ms) {
    now += ms;
    in.set_time(now);
    timers.run(now);
  }
  void receive_bytes(ConnId id, std::string_view bytes) {
    in.app_bytes_received(id);
    if (!conns.count(id)) return;
    std::vector<AppResponseReader::Response> got;
    const bool fine = conns[id].reader.feed(bytes, got);
    for (auto& a : got) {
      in.app_reply_received(id, std::move(a.reply), a.keep_alive_ms);
      if (!conns.count(id)) return;
    }
    if (fine) return;
    conns.erase(id);
    in.app_connection_down(id, false);
  }
};

Json offer(std::uint64_t n, FuzzSource& s) {
  const std::string id = "q" + std::to_string(n);
  return {{"t", "q"},
          {"n", n},
          {"i", "db"},
          {"m", s.chance(0.1) ? "HEAD" : "GET"},
          {"u", "/s/x"},
          {"h", Json::array({"Host", "h", kRequestIdField, id})},
          {"b", ""},
          {"d", 200},
          {"w", s.pick(2) * 50},
          {"a", 100},
          {"p", 1},
          {"s", s.chance(0.5)},
          {"c", "me"}};
}

TEST(FuzzMesh, WhatDatabasesSayReachesTheirOwnCallersOnly) {
  int given = 0, failed = 0;
  for (int seed = 1; seed <= rounds(6000); ++seed) {
    SCOPED_TRACE(seed);
    FuzzSource s{std::uint32_t(seed)};
    InboundHalf b;
    b.step(0);
    b.in.set_database(Instance{{"db"}, "s", "z", {"10.0.0.1", 1}, 2, false, false, 1});
    for (std::uint64_t n = 1; n <= 12; ++n) {
      b.in.offer(1, offer(n, s));
      for (int round = 0; round < 3; ++round) {
        std::vector<ConnId> ids;
        for (auto& [id, c] : b.conns) ids.push_back(id);
        for (auto id : ids) {
          if (!b.conns.count(id)) continue;
          if (b.conns[id].id.empty()) {
            b.in.app_connection_up(id);
            continue;
          }
          const std::string of = s.chance(0.8) ? b.conns[id].id : "q" + std::to_string(1 + s.pick(12));
          std::string ok = std::string("HTTP/1.1 ") + (s.chance(0.8) ? "200 OK" : "503 Busy") + "\r\n" +
                           kRequestIdField + ": " + of + "\r\n" + kResponseSealField +
                           ": s\r\nContent-Length: 4\r\n\r\nbody";
          if (s.chance(0.5)) ok = s.chance(0.1) ? s.random_bytes(60) : s.mutate(ok, kWords);
          s.pieces(ok, [&](std::string_view piece) {
            if (b.conns.count(id)) b.receive_bytes(id, piece);
            return b.conns.count(id) > 0;
          });
        }
        b.step(Millis(s.pick(20)));
        if (HasFatalFailure()) return;
      }
    }
    b.step(300);
    given += b.given, failed += b.failed;
    for (std::uint64_t n = 1; n <= 12; ++n) ASSERT_EQ(b.answers[n], 1) << "no outcome for " << n;
  }
  EXPECT_GT(given, 0);
  EXPECT_GT(failed, 0);
}

// --- frames -----------------------------------------------------------------------------

TEST(FuzzMesh, FramesThatNestOrLieAreRefused) {
  EXPECT_FALSE(decode_frame(std::string(1 << 20, char(0x91)))) << "a million lists in each other";
  EXPECT_FALSE(decode_frame(std::string(1 << 20, char(0x81))));
  EXPECT_FALSE(decode_frame(std::string("\xdd\xff\xff\xff\xff", 5))) << "a list longer than its bytes";
  EXPECT_FALSE(decode_frame(std::string("\xdb\xff\xff\xff\xff", 5)));
  EXPECT_FALSE(decode_frame(""));
  EXPECT_FALSE(decode_frame("\x01")) << "no object";
  Json deep = Json::object();
  deep["h"] = Json::array({"Host", "h"});
  EXPECT_EQ(decode_frame(encode_frame(deep)), deep);
  EXPECT_FALSE(decode_frame(encode_frame(deep) + "x")) << "more than a frame";
  const Json odd{{"a", 1e300}, {"b", -1e300}, {"c", std::nan("")}, {"d", "7"}, {"e", -3}, {"f", 3.9}};
  EXPECT_EQ(clamped_field(odd, "a", 1, 0, 9), 9);
  EXPECT_EQ(clamped_field(odd, "b", 1, 0, 9), 0);
  EXPECT_EQ(clamped_field(odd, "c", 1, 0, 9), 0);
  EXPECT_EQ(clamped_field(odd, "d", 1, 0, 9), 1);
  EXPECT_EQ(unsigned_field(odd, "e"), 0u);
  EXPECT_EQ(clamped_field(odd, "f", 1, 0, 9), 3);
}

TEST(FuzzMesh, AFieldOfAnotherProcessStaysOneLine) {
  EXPECT_EQ(fields_from_json(
                Json::array({"A", "b", "C", "d\r\nE: f", "G\r\nH", "i", "J k", "l", "", "m", 1, "n", "O"})),
            (HttpFields{{"A", "b"}}));
  FuzzSource s(1);
  for (const char* key : {"m", "u"}) {
    InboundHalf b;
    b.step(0);
    b.in.set_database(Instance{{"db"}, "s", "z", {"10.0.0.1", 1}, 2, false, false, 1});
    Json m = offer(1, s);
    m[key] = "GET /b HTTP/1.1\r\nHost: h\r\n\r\nGET";
    b.in.offer(1, m);
    EXPECT_EQ(b.in.pending_count(), 0u) << "two requests in one";
    EXPECT_EQ(b.answers[1], 1);
  }
}

struct OutboundHalf : OutboundPort {
  TimerQueue timers;
  ClusterState cluster;
  std::map<CallId, int> answers;
  std::vector<Json> offers;
  std::vector<Endpoint> where;
  int own = 0;
  Outbound out{*this, timers, cluster, {"z", "me", 0.2, 8.0, 10000, 1}};
  void answer(CallId id, Reply r) override {
    ASSERT_LE(++answers[id], 1) << "answered twice";
    ASSERT_TRUE(r.status >= 200 && r.status < 600) << r.status;
    for (auto& [name, value] : r.fields)
      ASSERT_TRUE(is_single_word(name) && is_single_line(value)) << "two answers in one";
  }
  void offer(const Endpoint& at, const Json& m) override { offers.push_back(m), where.push_back(at); }
  bool is_linked(const Endpoint&) override { return true; }
  void connect(const Endpoint&) override {}
  bool withdraw(const Endpoint&, std::uint64_t) override { return false; }
};

// Frames as a faulty process may send them: with mutated fields and mutated bytes.
TEST(FuzzMesh, FramesOfAnyKindLeaveOneAnswerToEachCall) {
  Json c{{"Revision", 1}, {"Services", {{{"Name", "s"}}}}, {"Routes", Json::array()}};
  c["Routes"].push_back({{"Name", "r"},
                         {"Hostname", "h"},
                         {"PathPrefix", "/s/"},
                         {"RouteType", "idempotent"},
                         {"TimeoutMs", 300},
                         {"TargetLatencyMs", 100},
                         {"MaxAttempts", 2},
                         {"TargetService", "s"}});
  std::vector<Row> rows;
  for (auto& [key, value] : encode_configuration(*read_configuration(c.dump())))
    rows.push_back({key, value, 1, false});
  for (int i = 0; i < 3; ++i) {
    Instance in{{"db" + std::to_string(i)}, "s", "z", {"10.0.0." + std::to_string(i), 1}, 2, false, false, 1};
    rows.push_back({instance_key(in.id), encode_instance(in), 1, false});
  }
  const std::vector<Json> odd{nullptr,
                              true,
                              -1,
                              1e300,
                              std::uint64_t(-1),
                              70000,
                              "",
                              "a\r\nb: c",
                              Json::array({1, "x"}),
                              Json::object(),
                              "q",
                              "a",
                              "no",
                              "fail",
                              "full"};
  for (int seed = 1; seed <= rounds(3000); ++seed) {
    SCOPED_TRACE(seed);
    FuzzSource s{std::uint32_t(seed)};
    OutboundHalf caller;
    InboundHalf b;
    b.step(0);
    b.in.set_database(Instance{{"db"}, "s", "z", {"10.0.0.1", 1}, 2, false, false, 1});
    caller.cluster.apply(1, rows);
    caller.out.set_time(1000);
    caller.out.set_state_current(true);
    auto injured = [&](Json m) -> std::optional<Json> {
      for (auto& [key, value] : m.items())
        if (s.chance(0.15)) value = odd[s.pick(odd.size())];
      std::string bytes = encode_frame(m);
      if (s.chance(0.3)) bytes = s.mutate(bytes, {"\x81", "\x91", "\xc0", "\xd9", "\xcf", "\xa1t"});
      return decode_frame(bytes);
    };
    for (CallId id = 1; id <= 6; ++id)
      caller.out.start_call(
          id, {"GET", "/s/x", "", {{"Host", "h"}, {kRequestIdField, "q" + std::to_string(id)}}});
    for (std::size_t i = 0; i < caller.offers.size() && i < 60; ++i) {
      const Json offer_made = caller.offers[i];
      Json told{{"t", std::array{"a", "no", "fail"}[s.pick(3)]},
                {"n", unsigned_field(offer_made, "n")},
                {"s", 200},
                {"y", "full"},
                {"x", s.chance(0.1)},
                {"w", s.chance(0.1)},
                {"h", Json::array({kRequestIdField, "q", "X-A", "b"})},
                {"b", "body"},
                {"l", Json::array({1, 2, 3, 4})}};
      if (auto m = injured(told)) caller.out.handle_frame(caller.where[i], *m);
      if (auto m = injured(offer_made)) b.in.offer(1, *m);
      if (auto m = injured(offer(100 + i, s))) {
        // Its number may have been mutated; a unique one lets replies be counted per frame.
        (*m)["n"] = 1000 + i;
        b.in.offer(1, *m);
      }
      b.answers.clear();
      if (HasFatalFailure()) return;
    }
    for (Millis t = 1000; t < 1400; t += 10) {
      caller.out.set_time(t);
      caller.timers.run(t);
    }
    for (CallId id = 1; id <= 6; ++id) ASSERT_EQ(caller.answers[id], 1) << "call " << id;
    ASSERT_EQ(caller.out.open_calls(), 0u);
    b.step(2 * kMaxWaitMs);
    ASSERT_EQ(b.in.pending_count(), 0u);
  }
}

}  // namespace
}  // namespace pebblespindle::test::fuzz
