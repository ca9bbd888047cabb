// Random and mutated lines at every parser of the pooler: no crash, bounded
// memory, no answer to another caller. PEBBLESPINDLE_FUZZ asks for more rounds than an ordinary run.
#include <cstdlib>
#include <random>

#include "agent/relay.h"
#include "net/line_connection.h"
#include "pooler/control_feed.h"
#include "pooler/manual_databases.h"

namespace pebblespindle::test {
namespace {

int rounds(int ordinary) {
  const char* many = std::getenv("PEBBLESPINDLE_FUZZ");
  return many ? ordinary * std::max(1, std::atoi(many)) : ordinary;
}

struct Bytes {
  explicit Bytes(std::uint32_t seed) : rng(seed) {}
  int pick(int n) { return int(rng() % std::uint32_t(n)); }
  char any() {
    switch (pick(4)) {
      case 0:
        return ' ';
      case 1:
        return char('A' + pick(26));
      case 2:
        return char('0' + pick(10));
      default:
        return char(pick(256));
    }
  }
  std::string random(int most) {
    std::string s;
    for (int n = pick(most + 1); n > 0; --n) s += any();
    return s;
  }
  // Cut, doubled, swapped, strewn with other bytes.
  std::string mutated(std::string s) {
    for (int n = 1 + pick(4); n > 0; --n) {
      std::size_t at = s.empty() ? 0 : std::size_t(pick(int(s.size())));
      switch (pick(6)) {
        case 0:
          s.insert(at, 1, any());
          break;
        case 1:
          s.erase(at, std::size_t(1 + pick(4)));
          break;
        case 2:
          if (!s.empty()) s[at] = any();
          break;
        case 3:
          s.resize(at);
          break;
        case 4:
          s.insert(at, s.substr(at, std::size_t(pick(20))));
          break;
        default:
          s.insert(at, std::string(std::size_t(pick(40)), any()));
      }
    }
    return s;
  }
  std::mt19937 rng;
};

std::string one_line(std::string s) {  // as a reader of lines hands it on
  std::erase(s, '\n');
  if (!s.empty() && s.back() == '\r') s.pop_back();
  return s;
}

TEST(Fuzz, TheReadersOfFieldsTakeAnyBytes) {
  Bytes b(1);
  const char* good[] = {"WAITFOR 3.1 FETCH a",     "BEGIN FETCH",   "EXECUTE n k v",
                        "PREPARE n STORE q",       "CONFIGURE a b", "I 3.17",
                        "primary 3 3.9 0 12 2 17", "RELEASE n",     "99999999999999999999.1",
                        "1.18446744073709551615"};
  for (int i = 0; i < rounds(20000); ++i) {
    std::string s = b.pick(3) ? b.mutated(good[b.pick(int(std::size(good)))]) : b.random(60);
    auto inside = [&](std::string_view v) {
      return v.empty() || (v.data() >= s.data() && v.data() + v.size() <= s.data() + s.size());
    };
    auto st = sql_protocol::parse_statement(s);
    ASSERT_TRUE(inside(st.name) && inside(st.rest));
    std::string_view rest = s;
    for (std::size_t n = 0; !rest.empty(); ++n) {
      ASSERT_EQ(sql_protocol::take(rest).find(' '), std::string_view::npos);
      ASSERT_LE(n, s.size());
    }
    auto idle = sql_protocol::parse_idle(s);
    ASSERT_TRUE(!idle || idle->state == 'I' || idle->state == 'T' || idle->state == 'E');
    sql_protocol::parse_info(s);
    auto p = Position::parse(s);
    ASSERT_TRUE(!p || Position::parse(p->text()) == p);
  }
}

// Lines come out as they went in, however the stream is cut; one that is too long ends it.
TEST(Fuzz, TheReaderOfLinesHandsOnWhatWasSent) {
  Bytes b(2);
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  constexpr std::size_t kMost = 64;
  for (int i = 0; i < rounds(150); ++i) {
    std::string stream;
    std::vector<std::string> wanted;
    bool too_long = false;
    for (int n = b.pick(60); n > 0; --n) {
      std::string raw = b.random(b.pick(40) ? 50 : 90);
      std::erase(raw, '\n');
      stream += raw + "\n";
      too_long = too_long || raw.size() > kMost;
      if (!too_long) wanted.push_back(one_line(raw));
    }
    const std::string rest = one_line(b.random(40));  // a line that is never ended
    stream += rest;
    asio::ip::tcp::socket far(io), near(io);
    far.connect(acceptor.local_endpoint());
    acceptor.accept(near);
    auto conn = std::make_shared<LineConnection>(std::move(near), kMost);
    std::vector<std::string> got;
    std::optional<LineConnection::End> end;
    conn->start({[&](std::string_view line) { got.emplace_back(line); },
                 [&](LineConnection::End e) { end = e; },
                 {}});
    for (std::size_t from = 0; from < stream.size();) {
      std::size_t n = std::min(stream.size() - from, std::size_t(1 + b.pick(200)));
      asio::error_code ignored;
      asio::write(far, asio::buffer(stream.data() + from, n), ignored);
      from += n;
      if (b.pick(2)) io.restart(), io.poll();
    }
    asio::error_code ignored;
    far.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    for (int turn = 0; turn < 20000 && !end; ++turn) io.restart(), io.poll();
    ASSERT_TRUE(end);
    ASSERT_EQ(*end == LineConnection::End::kTooLong, too_long);
    ASSERT_EQ(got, wanted);
    conn->close();
    io.restart(), io.poll();
  }
}

// Answers as well-behaved databases do, with the name of the statement in each answer.
void serve_well(ManualDatabases& q, std::map<ConnectionId, bool>& tx) {
  for (bool more = true; more;) {
    more = false;
    for (auto& [conn, l] : q.connections) {
      if (!l.open || l.pending.empty()) continue;
      const std::string line = std::move(l.pending.front());
      l.pending.erase(l.pending.begin());
      more = true;
      std::string_view rest = line;
      if (sql_protocol::take(rest) == "CONNECT") {
        q.read(conn, {"IDLE I 1.1"});
        break;
      }
      const std::string name(sql_protocol::take(rest));
      if (rest.starts_with("BEGIN") || rest.find(" BEGIN") != std::string_view::npos) tx[conn] = true;
      if (rest == "COMMIT" || rest == "ROLLBACK") tx[conn] = false;
      const std::string idle = tx[conn] ? "IDLE T 1.2" : "IDLE I 1.2";
      auto verb = sql_protocol::parse_statement(rest).verb;
      bool own = name == "-" && verb != sql_protocol::Verb::kFetch && verb != sql_protocol::Verb::kStore &&
                 verb != sql_protocol::Verb::kExecute && verb != sql_protocol::Verb::kCommit;
      if (own)
        q.read(conn, {"COMPLETE -", idle});
      else
        q.read(conn, {"DATAROW of-" + name, "COMPLETE st-" + name, idle});
      break;
    }
  }
}

// One client sends arbitrary lines; another, on the same pool, gets its own answers and nothing else.
TEST(Fuzz, AClientsBytesTouchNoOther) {
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
  for (int i = 0; i < rounds(60); ++i) {
    Bytes b(std::uint32_t(1000 + i));
    ManualDatabases q(16);
    q.feed();
    q.lease(1000000);
    std::map<ConnectionId, bool> tx;
    q.answers_setup_by_hand = true;
    q.connect(1);
    q.take_output(1);
    SessionId wild = 1;
    for (int n = 0; n < 120; ++n) {
      if (q.ended.count(wild) || wild == 1) {
        q.engine.on_client_connected(++wild);
        if (b.pick(4)) q.send_line(wild, "CONNECT prim a");
      }
      int lines = 1 + b.pick(3);
      for (int k = 0; k < lines && !q.engine.has_backlog(wild); ++k)
        q.send_line(wild,
                    one_line(b.pick(5) ? b.mutated(good[b.pick(int(std::size(good)))]) : b.random(200)));
      if (b.pick(30) == 0) q.send_line(wild, "QUERY z STORE k " + std::string(100000, 'x'));
      const std::string id = "mine" + std::to_string(n);
      q.send_line(1, "QUERY " + id + " FETCH k");
      serve_well(q, tx);
      ASSERT_EQ(q.take_output(1), "DATAROW of-" + id + "\r\nCOMPLETE st-" + id + "\r\nIDLE I -\r\n")
          << "round " << i;
      ASSERT_LE(q.take_output(wild).size(), 4096u);
      if (b.pick(10) == 0) q.engine.on_client_closed(wild), q.ended.insert(wild);
    }
    EXPECT_FALSE(q.ended.count(1));
  }
}

// Marks each statement of a client by the connection and the turn at which it is written.
struct Marked : ManualDatabases {
  using ManualDatabases::ManualDatabases;
  static std::string tag(ConnectionId conn, int turn) {
    std::string s = std::to_string(conn) + "." + std::to_string(turn);
    return s + "." + std::to_string(std::hash<std::string>()(s));
  }
  static bool is_tag(const std::string& s) {  // not a mutated one
    auto dot = s.rfind('.');
    return dot != std::string::npos &&
           s.substr(dot + 1) == std::to_string(std::hash<std::string>()(s.substr(0, dot)));
  }
  void send_to_database(ConnectionId id, std::string bytes) override {
    ManualDatabases::send_to_database(id, bytes);
    std::string_view rest = connections[id].pending.back();
    if (sql_protocol::take(rest) != "QUERY") return;
    std::string name(sql_protocol::take(rest));
    if (name != "-") marks[name].insert(tag(id, ++wrote[id]));
  }
  std::map<ConnectionId, int> wrote;
  std::map<std::string, std::set<std::string>> marks;  // by statement
};

// A database sends arbitrary lines. A client gets only whole answers, in order, and only lines that came
// after its statement on the connection to which the statement was sent.
TEST(Fuzz, ADatabasesBytesReachOnlyWhoAsked) {
  long heard = 0, served = 0;
  for (int i = 0; i < rounds(60); ++i) {
    Bytes b(std::uint32_t(5000 + i));
    Marked q(9);
    q.feed();
    q.lease(1000000);
    q.answers_setup_by_hand = true;
    struct Caller {
      std::string mine;  // what it waits for; empty: nothing
      std::string rows;
      bool outcome = false, open = false;
    };
    std::map<SessionId, Caller> callers;
    for (SessionId s = 1; s <= 9; ++s) callers[s];
    int last = 0;
    for (int n = 0; n < 250; ++n) {
      for (auto& [s, c] : callers) {
        if (q.ended.erase(s)) c = {};
        if (!c.open) {
          q.engine.on_client_closed(s);
          q.connect(s, b.pick(2) ? "prim" : "bound");
          q.take_output(s);
          c.open = true;
        } else if (c.mine.empty()) {
          c.mine = "q" + std::to_string(++last);
          q.send_line(s, "QUERY " + c.mine + (b.pick(2) ? " FETCH k" : " STORE k v"));
        }
      }
      std::vector<ConnectionId> open;
      for (auto& [conn, l] : q.connections)
        if (l.open) open.push_back(conn);
      for (auto conn : open) {
        auto& l = q.connections[conn];
        if (!l.open || b.pick(2)) continue;
        if (!l.pending.empty() && l.pending.front().starts_with("CONNECT") && b.pick(8)) {
          l.pending.clear();
          q.read(conn, {"IDLE I 1.1"});
          continue;
        }
        if (l.pending.empty() && b.pick(20)) continue;
        l.pending.clear();
        const std::string t = Marked::tag(conn, q.wrote[conn]);
        std::vector<std::string> lines = {"DATAROW " + t, "COMPLETE " + t, "IDLE I 1.2"};
        if (b.pick(4) == 0)
          lines[std::size_t(b.pick(3))] = one_line(b.mutated(lines[std::size_t(b.pick(3))]));
        if (b.pick(8) == 0) lines.insert(lines.begin() + b.pick(4), one_line(b.random(40)));
        if (b.pick(8) == 0) lines.push_back(lines[std::size_t(b.pick(int(lines.size())))]);
        if (b.pick(8) == 0) lines.insert(lines.end(), {"DATAROW " + t, "COMPLETE " + t, "IDLE I 1.2"});
        if (b.pick(8) == 0) lines.erase(lines.begin() + b.pick(int(lines.size())));
        q.read(conn, lines);
      }
      q.advance(1 + b.pick(20));
      for (auto& [s, c] : callers) {
        std::string output = q.take_output(s);
        for (std::size_t nl; (nl = output.find("\r\n")) != std::string::npos; output.erase(0, nl + 2)) {
          std::string_view rest = std::string_view(output).substr(0, nl);
          auto word = sql_protocol::take(rest);
          ASSERT_FALSE(c.mine.empty()) << "an answer to nothing: " << output.substr(0, nl);
          if (word == "IDLE") {
            ASSERT_TRUE(c.outcome);
            c.mine.clear(), c.rows.clear();
            c.outcome = false;
            ++heard;
            continue;
          }
          ASSERT_FALSE(c.outcome) << "an answer goes on behind its outcome";
          c.outcome = word != "DATAROW";
          const std::string t(rest);
          served += word == "COMPLETE";
          bool tagged = (word == "DATAROW" || word == "COMPLETE") && Marked::is_tag(t);
          ASSERT_TRUE(!tagged || q.marks[c.mine].count(t))
              << "the answer to another: " << t << " for " << c.mine;
        }
        ASSERT_FALSE(c.outcome) << "an answer without its end";
      }
      ASSERT_LE(q.open_connections(), 3u * 9u);
    }
  }
  EXPECT_GT(heard, 1000);
  EXPECT_GT(served, 500) << "hardly anything came through";
}

// The lines between core, agent and proxy, with any field missing, of another type, or out of all bounds.
TEST(Fuzz, InnerMessagesOfAnyShapeDoNoHarm) {
  struct Ends : Relay::Port {
    void send_to_controller(const std::string& line) override { core += line.size(); }
    void send_to_proxy(const std::string& line) override { proxy.push_back(line); }
    void on_renewal_sent() override {}
    void on_controller_list(const Json&) override {}
    void leave_controller() override { left = true; }
    std::size_t core = 0;
    std::vector<std::string> proxy;
    bool left = false;
  };
  for (int i = 0; i < rounds(40); ++i) {
    Bytes b(std::uint32_t(9000 + i));
    Ends ends;
    Relay relay(ends, "n", "z");
    ManualDatabases q;
    pooler::ControlFeed control_feed(q.engine);
    q.feed();
    q.lease(100);
    control_feed.on_link_up(q.now);
    q.connect(1);
    q.engine.note_controller_clock(5, 70000);
    auto value = [&]() -> Json {
      switch (b.pick(12)) {
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
          return Json::array({Json::array({"zz/" + b.random(4), 3, "v"})});
        case 6:
          return Json::array({1, "x", Json()});
        case 7:
          return true;
        case 8:
          return "s";
        case 9:
          return q.now;
        case 10:
          return "1.7";
        default:
          return b.pick(2000);
      }
    };
    const char* kinds[] = {"up",     "grant", "paid",  "depth", "avoid", "tight",
                           "beaten", "away",  "cores", "renew", "pay",   "hi"};
    const char* fields[] = {"k", "r", "left", "whole", "at", "ms",  "n",  "life",
                            "c", "s", "sum",  "from",  "p",  "age", "id", "l"};
    std::size_t bytes = 0;
    for (int n = 0; n < 300; ++n) {
      Json m = Json::object();
      if (b.pick(20))
        m["t"] = kinds[b.pick(int(std::size(kinds)))];
      else
        m["t"] = value();
      for (int f = b.pick(8); f > 0; --f) m[fields[b.pick(int(std::size(fields)))]] = value();
      std::string line = m.dump(-1, ' ', false, Json::error_handler_t::replace);
      if (b.pick(6) == 0) line = b.pick(3) ? one_line(b.mutated(line)) : b.random(80);
      bytes += line.size();
      control_feed.handle_line(q.now, line);
      switch (b.pick(8)) {
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
      if (ends.left || b.pick(10) == 0) relay.on_controller_up(), ends.left = false;
      q.send_line(1, "QUERY a FETCH k");
      q.advance(1);
      q.serve();
      for (auto& out : ends.proxy) {
        ASSERT_LE(out.size(), 4 * bytes + 200) << "more is held than ever came in";
        control_feed.handle_line(q.now, out.substr(0, out.size() - 1));
      }
      ends.proxy.clear();
    }
  }
}

}  // namespace
}  // namespace pebblespindle::test
