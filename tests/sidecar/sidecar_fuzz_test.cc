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

int rounds(int default_rounds) {
  const char* setting = std::getenv("PEBBLESPINDLE_SEEDS");
  return setting ? std::max(1, std::atoi(setting)) : default_rounds;
}

struct FuzzSource {
  explicit FuzzSource(std::uint32_t seed) : rng(seed) {}
  std::mt19937 rng;
  std::size_t pick(std::size_t count) { return rng() % std::max<std::size_t>(1, count); }
  bool chance(double probability) { return double(rng()) < probability * 4294967296.0; }
  std::string random_bytes(std::size_t max_size) {
    std::string bytes(pick(max_size), ' ');
    for (auto& byte : bytes) byte = char(rng());
    return bytes;
  }
  // Applies up to three small mutations; `insertions` are texts that may be inserted.
  std::string mutate(std::string bytes, const std::vector<std::string>& insertions) {
    for (std::size_t count = pick(4); count > 0 && !bytes.empty(); --count) {
      const std::size_t position = pick(bytes.size());
      switch (pick(6)) {
        case 0:
          bytes[position] = char(rng());
          break;
        case 1:
          bytes.erase(position, 1 + pick(8));
          break;
        case 2:
          bytes.insert(position, insertions[pick(insertions.size())]);
          break;
        case 3:
          bytes.insert(position, bytes.substr(pick(bytes.size()), pick(40)));
          break;
        case 4:
          bytes.insert(position, random_bytes(12));
          break;
        default:
          bytes.resize(position);
      }
    }
    return bytes;
  }
  // Calls `feed` with the bytes in random pieces.
  template <class Feed>
  void pieces(std::string_view bytes, Feed feed) {
    while (!bytes.empty()) {
      std::size_t count = chance(0.3) ? bytes.size() : 1 + pick(std::min<std::size_t>(bytes.size(), 40));
      if (!feed(bytes.substr(0, count))) return;
      bytes.remove_prefix(count);
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

std::string requests(FuzzSource& source) {
  std::string out;
  for (std::size_t remaining = 1 + source.pick(3); remaining > 0; --remaining) {
    const std::string head = "/s/once/x HTTP/1.1\r\nHost: h\r\nX-Pebblespindle-Request-Id: q1\r\n";
    switch (source.pick(4)) {
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

Parsed read_all(HttpReader::Kind kind, std::string_view bytes, FuzzSource* splitter) {
  HttpReader reader(kind, 300, 100);
  Parsed parsed;
  auto feed = [&](std::string_view piece) {
    while (!piece.empty()) {
      std::size_t consumed = 0;
      parsed.end = reader.feed(piece, consumed);
      if (parsed.end == HttpReader::State::kMore) return true;
      if (parsed.end != HttpReader::State::kDone) return false;
      EXPECT_GT(consumed, 0u);
      EXPECT_LE(consumed, piece.size());
      piece.remove_prefix(std::min(consumed, piece.size()));
      HttpMessage message = reader.take();
      std::size_t head_size = message.target.size();
      std::string text = message.method + " " + message.target + " " + std::to_string(message.status) + "\n";
      for (auto& [name, value] : message.fields) {
        head_size += name.size() + value.size();
        EXPECT_TRUE(is_single_line(name) && is_single_line(value))
            << "a field with a line break: " << testing::PrintToString(name + ":" + value);
        text += name + ":" + value + "\n";
      }
      EXPECT_LE(head_size, 300u);
      EXPECT_LE(message.body.size(), 100u);
      parsed.messages.push_back(text + message.body);
    }
    return true;
  };
  if (splitter)
    splitter->pieces(bytes, feed);
  else
    feed(bytes);
  return parsed;
}

// The result of parsing must not depend on how the bytes are split, or two parsers would see different
// messages.
TEST(FuzzMesh, HttpReadersTakeTheSameFromAnyPieces) {
  std::size_t message_count = 0, bad_count = 0;
  for (int seed = 1; seed <= rounds(20000); ++seed) {
    SCOPED_TRACE(seed);
    FuzzSource source{std::uint32_t(seed)};
    const bool is_request = source.chance(0.5);
    std::string bytes = is_request
                            ? requests(source)
                            : "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 201 C\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    bytes = source.chance(0.05) ? source.random_bytes(300) : source.mutate(bytes, kWords);
    const auto kind = is_request ? HttpReader::Kind::kRequests : HttpReader::Kind::kResponses;
    const Parsed unsplit = read_all(kind, bytes, nullptr), split = read_all(kind, bytes, &source);
    ASSERT_EQ(unsplit.messages, split.messages) << bytes;
    const bool unsplit_bad = unsplit.end >= HttpReader::State::kBad,
               split_bad = split.end >= HttpReader::State::kBad;
    ASSERT_EQ(unsplit_bad, split_bad) << bytes;
    message_count += unsplit.messages.size();
    bad_count += unsplit_bad;
  }
  EXPECT_GT(message_count, 0u);
  EXPECT_GT(bad_count, 0u);
}

// A client gets the responses to its requests in order, and 400, 408, 413 or 431 only as the last one.
TEST(FuzzMesh, PipelinesAnswerInOrderWhateverIsSent) {
  Limits limits;
  limits.max_header_bytes = 300;
  limits.max_body_bytes = 100;
  int refused = 0;
  for (int seed = 1; seed <= rounds(10000); ++seed) {
    SCOPED_TRACE(seed);
    FuzzSource source{std::uint32_t(seed)};
    Pipeline pipeline(limits);
    CallId last_id = 0;
    std::vector<CallId> open, order;
    std::string out;
    const std::string bytes = source.mutate(requests(source), kWords);
    auto answer = [&](std::size_t index) {
      out += pipeline.answer(open[index], {200, "for " + std::to_string(open[index]), {}});
      out += pipeline.answer(open[index], {200, "again", {}});  // ignored
      open.erase(open.begin() + std::ptrdiff_t(index));
    };
    source.pieces(bytes, [&](std::string_view piece) {
      for (auto& accepted : pipeline.read(piece, last_id, out)) {
        open.push_back(accepted.id), order.push_back(accepted.id);
        EXPECT_EQ(count_fields(accepted.call.fields, "Host"), 1u);
        EXPECT_LE(count_fields(accepted.call.fields, kRequestIdField), 1u);
        EXPECT_TRUE(is_single_word(accepted.call.method) && is_single_word(accepted.call.target));
        EXPECT_LE(accepted.call.body.size(), 100u);
      }
      while (!open.empty() && source.chance(0.4)) answer(source.pick(open.size()));
      return true;
    });
    if (source.chance(0.3)) out += pipeline.on_timeout();
    while (!open.empty()) answer(source.pick(open.size()));
    EXPECT_LE(pipeline.pending_count(), 1u);
    std::size_t answered = 0;
    for (std::string_view rest = out; !rest.empty();) {
      HttpReader reader(HttpReader::Kind::kResponses, 1000, 1000);
      // Only responses to HEAD have no Content-Length here, and no body.
      const auto head_end = rest.find("\r\n\r\n");
      ASSERT_NE(head_end, std::string_view::npos);
      reader.no_body(rest.substr(0, head_end).find("Content-Length") == std::string_view::npos);
      std::size_t consumed = 0;
      ASSERT_EQ(int(reader.feed(rest, consumed)), int(HttpReader::State::kDone)) << out;
      rest.remove_prefix(consumed);
      HttpMessage message = reader.take();
      if (message.status == 200) {
        ASSERT_LT(answered, order.size());
        ASSERT_TRUE(message.body.empty() || message.body == "for " + std::to_string(order[answered]))
            << "out of order";
        ++answered;
      } else {
        ASSERT_TRUE(message.status == 400 || message.status == 408 || message.status == 413 ||
                    message.status == 431)
            << message.status;
        ASSERT_TRUE(rest.empty()) << "bytes after the last response";
        ASSERT_TRUE(pipeline.is_finished());
        ++refused;
      }
    }
    ASSERT_EQ(answered, order.size());
  }
  EXPECT_GT(refused, 0);
}

// Two parsers could disagree on the end, the id or the target of such requests.
TEST(FuzzMesh, RequestsThatCanBeReadInTwoWaysAreRefused) {
  const std::string host = "Host: h\r\n", id = "X-Pebblespindle-Request-Id: q1\r\n";
  struct Case {
    const char* description;
    std::string bytes;
    bool accepted;
  };
  for (const Case& test_case : std::vector<Case>{
           {"proper", "GET /a HTTP/1.1\r\n" + host + id + "\r\n", true},
           {"two ids", "GET /a HTTP/1.1\r\n" + host + id + id + "\r\n", false},
           {"two hosts", "GET /a HTTP/1.1\r\n" + host + host + "\r\n", false},
           {"no host", "GET /a HTTP/1.1\r\n" + id + "\r\n", false},
           {"a tunnel", "CONNECT h:1 HTTP/1.1\r\n" + host + "\r\n", false},
           {"two lengths", "POST /a HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            false},
           {"a length and chunks",
            "POST /a HTTP/1.1\r\n" + host +
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            false},
           {"NUL in a value", "GET /a HTTP/1.1\r\n" + host + std::string("X-A:\0b\r\n", 8) + "\r\n",
            false}}) {
    SCOPED_TRACE(test_case.description);
    Pipeline pipeline(Limits{});
    CallId last_id = 0;
    std::string out;
    EXPECT_EQ(pipeline.read(test_case.bytes, last_id, out).size(), test_case.accepted ? 1u : 0u);
    EXPECT_EQ(out.starts_with("HTTP/1.1 400 "), !test_case.accepted);
    EXPECT_EQ(pipeline.is_finished(), !test_case.accepted);
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
  int response_count = 0, failure_count = 0;
  void reply(LinkId, const Json& frame) override {
    const std::uint64_t offer_number = unsigned_field(frame, "n");
    ASSERT_LE(++answers[offer_number], 1) << "answered twice";
    if (text_field(frame, "t") != "a") {
      ++failure_count;
      return;
    }
    ++response_count;
    const HttpFields fields = fields_from_json(frame["h"]);
    auto* id = find_field(fields, kRequestIdField);
    ASSERT_TRUE(!id || *id == "q" + std::to_string(offer_number)) << "the response to another request";
    const auto status = clamped_field(frame, "s", 0, 0, 999);
    ASSERT_TRUE(status >= 200 && status < 600);
    ASSERT_TRUE(status >= 300 || find_field(fields, kResponseSealField));
  }
  void open_app_connection(ConnId id) override { conns[id]; }
  void send_to_app(ConnId id, const Call& call) override {
    conns[id].reader.request_sent(call.method == "HEAD");
    conns[id].id = *find_field(call.fields, kRequestIdField);
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
    std::vector<AppResponseReader::Response> responses;
    const bool parsed = conns[id].reader.feed(bytes, responses);
    for (auto& response : responses) {
      in.app_reply_received(id, std::move(response.reply), response.keep_alive_ms);
      if (!conns.count(id)) return;
    }
    if (parsed) return;
    conns.erase(id);
    in.app_connection_down(id, false);
  }
};

Json offer(std::uint64_t offer_number, FuzzSource& source) {
  const std::string id = "q" + std::to_string(offer_number);
  return {{"t", "q"},
          {"n", offer_number},
          {"i", "db"},
          {"m", source.chance(0.1) ? "HEAD" : "GET"},
          {"u", "/s/x"},
          {"h", Json::array({"Host", "h", kRequestIdField, id})},
          {"b", ""},
          {"d", 200},
          {"w", source.pick(2) * 50},
          {"a", 100},
          {"p", 1},
          {"s", source.chance(0.5)},
          {"c", "me"}};
}

TEST(FuzzMesh, ResponsesOfDatabasesReachTheirOwnCallersOnly) {
  int response_count = 0, failure_count = 0;
  for (int seed = 1; seed <= rounds(6000); ++seed) {
    SCOPED_TRACE(seed);
    FuzzSource source{std::uint32_t(seed)};
    InboundHalf inbound;
    inbound.step(0);
    inbound.in.set_database(Instance{{"db"}, "s", "z", {"10.0.0.1", 1}, 2, false, false, 1});
    for (std::uint64_t offer_number = 1; offer_number <= 12; ++offer_number) {
      inbound.in.offer(1, offer(offer_number, source));
      for (int round = 0; round < 3; ++round) {
        std::vector<ConnId> ids;
        for (auto& [id, conn] : inbound.conns) ids.push_back(id);
        for (auto id : ids) {
          if (!inbound.conns.count(id)) continue;
          if (inbound.conns[id].id.empty()) {
            inbound.in.app_connection_up(id);
            continue;
          }
          const std::string request_id =
              source.chance(0.8) ? inbound.conns[id].id : "q" + std::to_string(1 + source.pick(12));
          std::string response = std::string("HTTP/1.1 ") + (source.chance(0.8) ? "200 OK" : "503 Busy") +
                                 "\r\n" + kRequestIdField + ": " + request_id + "\r\n" + kResponseSealField +
                                 ": s\r\nContent-Length: 4\r\n\r\nbody";
          if (source.chance(0.5))
            response = source.chance(0.1) ? source.random_bytes(60) : source.mutate(response, kWords);
          source.pieces(response, [&](std::string_view piece) {
            if (inbound.conns.count(id)) inbound.receive_bytes(id, piece);
            return inbound.conns.count(id) > 0;
          });
        }
        inbound.step(Millis(source.pick(20)));
        if (HasFatalFailure()) return;
      }
    }
    inbound.step(300);
    response_count += inbound.response_count, failure_count += inbound.failure_count;
    for (std::uint64_t offer_number = 1; offer_number <= 12; ++offer_number)
      ASSERT_EQ(inbound.answers[offer_number], 1) << "no outcome for " << offer_number;
  }
  EXPECT_GT(response_count, 0);
  EXPECT_GT(failure_count, 0);
}

// --- frames -----------------------------------------------------------------------------

TEST(FuzzMesh, FramesWithDeepNestingOrFalseLengthsAreRefused) {
  EXPECT_FALSE(decode_frame(std::string(1 << 20, char(0x91)))) << "a million nested lists";
  EXPECT_FALSE(decode_frame(std::string(1 << 20, char(0x81))));
  EXPECT_FALSE(decode_frame(std::string("\xdd\xff\xff\xff\xff", 5))) << "a list length beyond the frame";
  EXPECT_FALSE(decode_frame(std::string("\xdb\xff\xff\xff\xff", 5)));
  EXPECT_FALSE(decode_frame(""));
  EXPECT_FALSE(decode_frame("\x01")) << "the frame is not an object";
  Json frame = Json::object();
  frame["h"] = Json::array({"Host", "h"});
  EXPECT_EQ(decode_frame(encode_frame(frame)), frame);
  EXPECT_FALSE(decode_frame(encode_frame(frame) + "x")) << "bytes after the frame";
  const Json out_of_range{{"a", 1e300}, {"b", -1e300}, {"c", std::nan("")},
                          {"d", "7"},   {"e", -3},     {"f", 3.9}};
  EXPECT_EQ(clamped_field(out_of_range, "a", 1, 0, 9), 9);
  EXPECT_EQ(clamped_field(out_of_range, "b", 1, 0, 9), 0);
  EXPECT_EQ(clamped_field(out_of_range, "c", 1, 0, 9), 0);
  EXPECT_EQ(clamped_field(out_of_range, "d", 1, 0, 9), 1);
  EXPECT_EQ(unsigned_field(out_of_range, "e"), 0u);
  EXPECT_EQ(clamped_field(out_of_range, "f", 1, 0, 9), 3);
}

TEST(FuzzMesh, AFieldOfAnotherProcessStaysOneLine) {
  EXPECT_EQ(fields_from_json(
                Json::array({"A", "b", "C", "d\r\nE: f", "G\r\nH", "i", "J k", "l", "", "m", 1, "n", "O"})),
            (HttpFields{{"A", "b"}}));
  FuzzSource source(1);
  for (const char* key : {"m", "u"}) {
    InboundHalf inbound;
    inbound.step(0);
    inbound.in.set_database(Instance{{"db"}, "s", "z", {"10.0.0.1", 1}, 2, false, false, 1});
    Json frame = offer(1, source);
    frame[key] = "GET /b HTTP/1.1\r\nHost: h\r\n\r\nGET";
    inbound.in.offer(1, frame);
    EXPECT_EQ(inbound.in.pending_count(), 0u) << "a line break in the method or target was accepted";
    EXPECT_EQ(inbound.answers[1], 1);
  }
}

struct OutboundHalf : OutboundPort {
  TimerQueue timers;
  ClusterState cluster;
  std::map<CallId, int> answers;
  std::vector<Json> offers;
  std::vector<Endpoint> offer_targets;
  int own = 0;
  Outbound out{*this, timers, cluster, {"z", "me", 0.2, 8.0, 10000, 1}};
  void answer(CallId id, Reply reply) override {
    ASSERT_LE(++answers[id], 1) << "answered twice";
    ASSERT_TRUE(reply.status >= 200 && reply.status < 600) << reply.status;
    for (auto& [name, value] : reply.fields)
      ASSERT_TRUE(is_single_word(name) && is_single_line(value)) << "a line break in a response field";
  }
  void offer(const Endpoint& at, const Json& frame) override {
    offers.push_back(frame), offer_targets.push_back(at);
  }
  bool is_linked(const Endpoint&) override { return true; }
  void connect(const Endpoint&) override {}
  bool withdraw(const Endpoint&, std::uint64_t) override { return false; }
};

// Frames as a faulty process may send them: with mutated fields and mutated bytes.
TEST(FuzzMesh, FramesOfAnyKindLeaveOneAnswerToEachCall) {
  Json configuration{{"Revision", 1}, {"Services", {{{"Name", "s"}}}}, {"Routes", Json::array()}};
  configuration["Routes"].push_back({{"Name", "r"},
                                     {"Hostname", "h"},
                                     {"PathPrefix", "/s/"},
                                     {"RouteType", "idempotent"},
                                     {"TimeoutMs", 300},
                                     {"TargetLatencyMs", 100},
                                     {"MaxAttempts", 2},
                                     {"TargetService", "s"}});
  std::vector<Row> rows;
  for (auto& [key, value] : encode_configuration(*read_configuration(configuration.dump())))
    rows.push_back({key, value, 1, false});
  for (int index = 0; index < 3; ++index) {
    Instance instance{
        {"db" + std::to_string(index)}, "s", "z", {"10.0.0." + std::to_string(index), 1}, 2, false, false, 1};
    rows.push_back({instance_key(instance.id), encode_instance(instance), 1, false});
  }
  const std::vector<Json> invalid_values{nullptr,
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
    FuzzSource source{std::uint32_t(seed)};
    OutboundHalf caller;
    InboundHalf inbound;
    inbound.step(0);
    inbound.in.set_database(Instance{{"db"}, "s", "z", {"10.0.0.1", 1}, 2, false, false, 1});
    caller.cluster.apply(1, rows);
    caller.out.set_time(1000);
    caller.out.set_state_current(true);
    auto mutated_frame = [&](Json frame) -> std::optional<Json> {
      for (auto& [key, value] : frame.items())
        if (source.chance(0.15)) value = invalid_values[source.pick(invalid_values.size())];
      std::string bytes = encode_frame(frame);
      if (source.chance(0.3)) bytes = source.mutate(bytes, {"\x81", "\x91", "\xc0", "\xd9", "\xcf", "\xa1t"});
      return decode_frame(bytes);
    };
    for (CallId id = 1; id <= 6; ++id)
      caller.out.start_call(
          id, {"GET", "/s/x", "", {{"Host", "h"}, {kRequestIdField, "q" + std::to_string(id)}}});
    for (std::size_t index = 0; index < caller.offers.size() && index < 60; ++index) {
      const Json offer_made = caller.offers[index];
      Json reply{{"t", std::array{"a", "no", "fail"}[source.pick(3)]},
                 {"n", unsigned_field(offer_made, "n")},
                 {"s", 200},
                 {"y", "full"},
                 {"x", source.chance(0.1)},
                 {"w", source.chance(0.1)},
                 {"h", Json::array({kRequestIdField, "q", "X-A", "b"})},
                 {"b", "body"},
                 {"l", Json::array({1, 2, 3, 4})}};
      if (auto frame = mutated_frame(reply)) caller.out.handle_frame(caller.offer_targets[index], *frame);
      if (auto frame = mutated_frame(offer_made)) inbound.in.offer(1, *frame);
      if (auto frame = mutated_frame(offer(100 + index, source))) {
        // Its number may have been mutated; a unique one lets replies be counted per frame.
        (*frame)["n"] = 1000 + index;
        inbound.in.offer(1, *frame);
      }
      inbound.answers.clear();
      if (HasFatalFailure()) return;
    }
    for (Millis now = 1000; now < 1400; now += 10) {
      caller.out.set_time(now);
      caller.timers.run(now);
    }
    for (CallId id = 1; id <= 6; ++id) ASSERT_EQ(caller.answers[id], 1) << "call " << id;
    ASSERT_EQ(caller.out.open_calls(), 0u);
    inbound.step(2 * kMaxWaitMs);
    ASSERT_EQ(inbound.in.pending_count(), 0u);
  }
}

}  // namespace
}  // namespace pebblespindle::test::fuzz
