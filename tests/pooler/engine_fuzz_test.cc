// Random and mutated lines at every parser of the pooler: no crash, bounded
// memory, and no answer to the wrong caller. PEBBLESPINDLE_FUZZ multiplies the number of rounds.
#include "agent/relay.h"
#include "net/line_connection.h"
#include "pooler/control_feed.h"
#include "pooler/input_generator.h"
#include "pooler/manual_databases.h"

namespace pebblespindle::test {
namespace {

// Without what would end a message; all other bytes may stand in one.
std::string one_message(std::string text) {
  for (std::size_t at; (at = text.find("\r\n")) != std::string::npos;) text.erase(at, 1);
  return text;
}

TEST(Fuzz, FieldParsersAcceptAnyBytes) {
  InputGenerator generator(1);
  const char* good[] = {"WAITFOR 3.1 FETCH a",     "BEGIN FETCH",   "EXECUTE n k v",
                        "PREPARE n STORE q",       "CONFIGURE a b", "I 3.17",
                        "primary 3 3.9 0 12 2 17", "RELEASE n",     "99999999999999999999.1",
                        "1.18446744073709551615"};
  for (int i = 0; i < fuzz_rounds(20000); ++i) {
    std::string line = generator.pick(3) ? generator.mutated(good[generator.pick(int(std::size(good)))])
                                         : generator.random(60);
    auto inside = [&](std::string_view part) {
      return part.empty() ||
             (part.data() >= line.data() && part.data() + part.size() <= line.data() + line.size());
    };
    auto statement = sql_protocol::parse_statement(line);
    ASSERT_TRUE(inside(statement.name) && inside(statement.rest));
    std::string_view rest = line;
    for (std::size_t fields = 0; !rest.empty(); ++fields) {
      ASSERT_EQ(sql_protocol::take(rest).find(' '), std::string_view::npos);
      ASSERT_LE(fields, line.size());
    }
    auto idle = sql_protocol::parse_idle(line);
    ASSERT_TRUE(!idle || idle->state == 'I' || idle->state == 'T' || idle->state == 'E');
    sql_protocol::parse_info(line);
    auto position = Position::parse(line);
    ASSERT_TRUE(!position || Position::parse(position->text()) == position);
  }
}

// The messages are the same however the stream is split into pieces. One that is too long ends the
// connection.
TEST(Fuzz, LineConnectionDeliversTheMessagesThatWereSent) {
  InputGenerator generator(2);
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  constexpr std::size_t kMaxLineBytes = 64;
  for (int i = 0; i < fuzz_rounds(150); ++i) {
    std::string stream;
    std::vector<std::string> wanted;
    bool too_long = false;
    for (int n = generator.pick(60); n > 0; --n) {
      const std::string raw = one_message(generator.random(generator.pick(40) ? 50 : 90));
      stream += raw + "\r\n";
      too_long = too_long || raw.size() > kMaxLineBytes;
      if (!too_long) wanted.push_back(raw);
    }
    const std::string rest = one_message(generator.random(40));  // never ended
    stream += rest;
    asio::ip::tcp::socket far(io), near(io);
    far.connect(acceptor.local_endpoint());
    acceptor.accept(near);
    auto connection = std::make_shared<LineConnection>(std::move(near), Framing::kCrLfLines, kMaxLineBytes);
    std::vector<std::string> got;
    std::optional<LineConnection::End> end;
    connection->start({[&](std::string_view line) { got.emplace_back(line); },
                       [&](LineConnection::End reason) { end = reason; },
                       {}});
    for (std::size_t from = 0; from < stream.size();) {
      std::size_t size = std::min(stream.size() - from, std::size_t(1 + generator.pick(200)));
      asio::error_code ignored;
      asio::write(far, asio::buffer(stream.data() + from, size), ignored);
      from += size;
      if (generator.pick(2)) io.restart(), io.poll();
    }
    asio::error_code ignored;
    far.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    for (int turn = 0; turn < 20000 && !end; ++turn) io.restart(), io.poll();
    ASSERT_TRUE(end);
    ASSERT_EQ(*end == LineConnection::End::kTooLong, too_long);
    ASSERT_EQ(got, wanted);
    connection->close();
    io.restart(), io.poll();
  }
}

// Answers every pending statement correctly, with the name of the statement in each answer.
void answer_correctly(ManualDatabases& databases, std::map<ConnectionId, bool>& tx) {
  for (bool more = true; more;) {
    more = false;
    for (auto& [id, connection] : databases.connections) {
      if (!connection.open || connection.pending.empty()) continue;
      const std::string line = std::move(connection.pending.front());
      connection.pending.erase(connection.pending.begin());
      more = true;
      std::string_view rest = line;
      if (sql_protocol::take(rest) == "CONNECT") {
        databases.read(id, {"IDLE I 1.1"});
        break;
      }
      const std::string name(sql_protocol::take(rest));
      if (rest.starts_with("BEGIN") || rest.find(" BEGIN") != std::string_view::npos) tx[id] = true;
      if (rest == "COMMIT" || rest == "ROLLBACK") tx[id] = false;
      const std::string idle = tx[id] ? "IDLE T 1.2" : "IDLE I 1.2";
      auto verb = sql_protocol::parse_statement(rest).verb;
      bool is_setup = name == "-" && verb != sql_protocol::Verb::kFetch &&
                      verb != sql_protocol::Verb::kStore && verb != sql_protocol::Verb::kExecute &&
                      verb != sql_protocol::Verb::kCommit;
      if (is_setup)
        databases.read(id, {"COMPLETE -", idle});
      else
        databases.read(id, {"DATAROW of-" + name, "COMPLETE st-" + name, idle});
      break;
    }
  }
}

// One client sends arbitrary lines. Another, on the same pool, must get its own answers and nothing else.
TEST(Fuzz, InputOfOneClientDoesNotAffectAnother) {
  const char* good[] = {"QUERY x1 FETCH a",
                        "QUERY x1 STORE a b",
                        "QUERY x1 BEGIN",
                        "QUERY x1 COMMIT",
                        "QUERY x1 ROLLBACK",
                        "QUERY x1 PREPARE n FETCH s",
                        "QUERY x1 EXECUTE n a",
                        "QUERY x1 CONFIGURE v x",
                        "QUERY x1 RELEASE n",
                        "CONNECT bound k",
                        "CLOSE",
                        "QUERY - RESET",
                        "QUERY - FETCH a",
                        "QUERY x1 WAITFOR 1.1 FETCH a"};
  for (int i = 0; i < fuzz_rounds(60); ++i) {
    InputGenerator generator(std::uint32_t(1000 + i));
    ManualDatabases databases(16);
    databases.feed();
    databases.lease(1000000);
    std::map<ConnectionId, bool> tx;
    databases.answers_setup_by_hand = true;
    databases.connect(1);
    databases.take_output(1);
    SessionId fuzzing_session = 1;
    for (int n = 0; n < 120; ++n) {
      if (databases.ended.count(fuzzing_session) || fuzzing_session == 1) {
        databases.engine.on_client_connected(++fuzzing_session);
        if (generator.pick(4)) databases.send_line(fuzzing_session, "CONNECT prim a");
      }
      int lines = 1 + generator.pick(3);
      for (int sent = 0; sent < lines && !databases.engine.has_backlog(fuzzing_session); ++sent)
        databases.send_line(
            fuzzing_session,
            one_message(generator.pick(5) ? generator.mutated(good[generator.pick(int(std::size(good)))])
                                          : generator.random(200)));
      if (generator.pick(30) == 0)
        databases.send_line(fuzzing_session, "QUERY z STORE k " + std::string(100000, 'x'));
      const std::string id = "mine" + std::to_string(n);
      databases.send_line(1, "QUERY " + id + " FETCH k");
      answer_correctly(databases, tx);
      ASSERT_EQ(databases.take_output(1), "DATAROW of-" + id + "\r\nCOMPLETE st-" + id + "\r\nIDLE I -\r\n")
          << "round " << i;
      ASSERT_LE(databases.take_output(fuzzing_session).size(), 4096u);
      if (generator.pick(10) == 0)
        databases.engine.on_client_closed(fuzzing_session), databases.ended.insert(fuzzing_session);
    }
    EXPECT_FALSE(databases.ended.count(1));
  }
}

// Records for each statement of a client on which connection, and as which statement there, it was sent.
struct RecordingDatabases : ManualDatabases {
  using ManualDatabases::ManualDatabases;
  static std::string tag(ConnectionId conn, int statement) {
    std::string text = std::to_string(conn) + "." + std::to_string(statement);
    return text + "." + std::to_string(std::hash<std::string>()(text));
  }
  static bool is_tag(const std::string& text) {  // false for a mutated tag
    auto dot = text.rfind('.');
    return dot != std::string::npos &&
           text.substr(dot + 1) == std::to_string(std::hash<std::string>()(text.substr(0, dot)));
  }
  void send_to_database(ConnectionId id, std::string bytes) override {
    ManualDatabases::send_to_database(id, bytes);
    std::string_view rest = connections[id].pending.back();
    if (sql_protocol::take(rest) != "QUERY") return;
    std::string name(sql_protocol::take(rest));
    if (name != "-") tags[name].insert(tag(id, ++sent_count[id]));
  }
  std::map<ConnectionId, int> sent_count;
  std::map<std::string, std::set<std::string>> tags;  // by statement
};

// A database sends arbitrary lines. A client must get only whole answers, in order, and only lines that came
// after its statement on the connection to which the statement was sent.
TEST(Fuzz, OutputOfADatabaseReachesOnlyTheClientThatAsked) {
  long answers = 0, served = 0;
  for (int i = 0; i < fuzz_rounds(60); ++i) {
    InputGenerator generator(std::uint32_t(5000 + i));
    RecordingDatabases databases(9);
    databases.feed();
    databases.lease(1000000);
    databases.answers_setup_by_hand = true;
    struct Caller {
      std::string pending;  // the statement it waits for, if any
      std::string rows;
      bool outcome = false, open = false;
    };
    std::map<SessionId, Caller> callers;
    for (SessionId session = 1; session <= 9; ++session) callers[session];
    int last = 0;
    for (int n = 0; n < 250; ++n) {
      for (auto& [session, caller] : callers) {
        if (databases.ended.erase(session)) caller = {};
        if (!caller.open) {
          databases.engine.on_client_closed(session);
          databases.connect(session, generator.pick(2) ? "prim" : "bound");
          databases.take_output(session);
          caller.open = true;
        } else if (caller.pending.empty()) {
          caller.pending = "q" + std::to_string(++last);
          databases.send_line(session,
                              "QUERY " + caller.pending + (generator.pick(2) ? " FETCH k" : " STORE k v"));
        }
      }
      std::vector<ConnectionId> open;
      for (auto& [id, connection] : databases.connections)
        if (connection.open) open.push_back(id);
      for (auto id : open) {
        auto& connection = databases.connections[id];
        if (!connection.open || generator.pick(2)) continue;
        if (!connection.pending.empty() && connection.pending.front().starts_with("CONNECT") &&
            generator.pick(8)) {
          connection.pending.clear();
          databases.read(id, {"IDLE I 1.1"});
          continue;
        }
        if (connection.pending.empty() && generator.pick(20)) continue;
        connection.pending.clear();
        const std::string tag = RecordingDatabases::tag(id, databases.sent_count[id]);
        std::vector<std::string> lines = {"DATAROW " + tag, "COMPLETE " + tag, "IDLE I 1.2"};
        if (generator.pick(4) == 0)
          lines[std::size_t(generator.pick(3))] =
              one_message(generator.mutated(lines[std::size_t(generator.pick(3))]));
        if (generator.pick(8) == 0)
          lines.insert(lines.begin() + generator.pick(4), one_message(generator.random(40)));
        if (generator.pick(8) == 0) lines.push_back(lines[std::size_t(generator.pick(int(lines.size())))]);
        if (generator.pick(8) == 0)
          lines.insert(lines.end(), {"DATAROW " + tag, "COMPLETE " + tag, "IDLE I 1.2"});
        if (generator.pick(8) == 0) lines.erase(lines.begin() + generator.pick(int(lines.size())));
        databases.read(id, lines);
      }
      databases.advance(1 + generator.pick(20));
      for (auto& [session, caller] : callers) {
        std::string output = databases.take_output(session);
        for (std::size_t nl; (nl = output.find("\r\n")) != std::string::npos; output.erase(0, nl + 2)) {
          std::string_view rest = std::string_view(output).substr(0, nl);
          auto word = sql_protocol::take(rest);
          ASSERT_FALSE(caller.pending.empty())
              << "an answer although no statement was pending: " << output.substr(0, nl);
          if (word == "IDLE") {
            ASSERT_TRUE(caller.outcome);
            caller.pending.clear(), caller.rows.clear();
            caller.outcome = false;
            ++answers;
            continue;
          }
          ASSERT_FALSE(caller.outcome) << "the answer goes on after its outcome";
          caller.outcome = word != "DATAROW";
          const std::string tag(rest);
          served += word == "COMPLETE";
          bool tagged = (word == "DATAROW" || word == "COMPLETE") && RecordingDatabases::is_tag(tag);
          ASSERT_TRUE(!tagged || databases.tags[caller.pending].count(tag))
              << "the answer to another statement: " << tag << " for " << caller.pending;
        }
        ASSERT_FALSE(caller.outcome) << "the answer has no end";
      }
      ASSERT_LE(databases.open_connections(), 3u * 9u);
    }
  }
  EXPECT_GT(answers, 1000);
  EXPECT_GT(served, 500) << "too few statements were served";
}

// Lines between controller, agent and proxy with fields that are missing, of another type or out of range.
TEST(Fuzz, InternalMessagesOfAnyShapeAreHandled) {
  struct RecordingPort : Relay::Port {
    void send_to_controller(const std::string& line) override { controller_bytes += line.size(); }
    void send_to_proxy(const std::string& line) override { proxy.push_back(line); }
    void on_renewal_sent() override {}
    void on_controller_list(const Json&) override {}
    void leave_controller() override { left = true; }
    std::size_t controller_bytes = 0;
    std::vector<std::string> proxy;
    bool left = false;
  };
  for (int i = 0; i < fuzz_rounds(40); ++i) {
    InputGenerator generator(std::uint32_t(9000 + i));
    RecordingPort port;
    Relay relay(port, "n", "z");
    ManualDatabases databases;
    pooler::ControlFeed control_feed(databases.engine);
    databases.feed();
    databases.lease(100);
    control_feed.on_link_up(databases.now);
    databases.connect(1);
    databases.engine.note_controller_clock(5, 70000);
    auto random_value = [&]() -> Json {
      switch (generator.pick(12)) {
        case 0:
          return Json();
        case 1:
          return -1;
        case 2:
          return std::uint64_t(-1);
        case 3:
          return std::numeric_limits<std::int64_t>::min();
        case 4:
          return 1e300;
        case 5:
          return Json::array({Json::array({"zz/" + generator.random(4), 3, "v"})});
        case 6:
          return Json::array({1, "x", Json()});
        case 7:
          return true;
        case 8:
          return "s";
        case 9:
          return databases.now;
        case 10:
          return "1.7";
        default:
          return generator.pick(2000);
      }
    };
    const char* kinds[] = {"up",     "grant", "paid",  "depth", "avoid", "tight",
                           "beaten", "away",  "cores", "renew", "pay",   "hi"};
    const char* fields[] = {"k", "r", "left", "whole", "at", "ms",  "n",  "life",
                            "c", "s", "sum",  "from",  "p",  "age", "id", "l"};
    std::size_t bytes = 0;
    for (int n = 0; n < 300; ++n) {
      Json message = Json::object();
      if (generator.pick(20))
        message["t"] = kinds[generator.pick(int(std::size(kinds)))];
      else
        message["t"] = random_value();
      for (int count = generator.pick(8); count > 0; --count)
        message[fields[generator.pick(int(std::size(fields)))]] = random_value();
      std::string line = message.dump(-1, ' ', false, Json::error_handler_t::replace);
      if (generator.pick(6) == 0)
        line = generator.pick(3) ? one_message(generator.mutated(line)) : generator.random(80);
      bytes += line.size();
      control_feed.handle_line(databases.now, line);
      switch (generator.pick(8)) {
        case 0:
          relay.on_proxy_line(line);
          break;
        case 1:
          relay.on_proxy_up();
          break;
        case 2:
          relay.on_proxy_down();
          break;
        default:
          relay.on_controller_line(line);
      }
      if (port.left || generator.pick(10) == 0) relay.on_controller_up(), port.left = false;
      databases.send_line(1, "QUERY a FETCH k");
      databases.advance(1);
      databases.serve();
      for (auto& out : port.proxy) {
        ASSERT_LE(out.size(), 4 * bytes + 200)
            << "a line to the proxy is longer than the input so far allows";
        control_feed.handle_line(databases.now, out.substr(0, out.size() - 1));
      }
      port.proxy.clear();
    }
  }
}

}  // namespace
}  // namespace pebblespindle::test
