#include "sql_protocol/sql_protocol.h"

#include <charconv>

namespace pebblespindle::sql_protocol {

std::string_view take(std::string_view& line) {
  auto start = line.find_first_not_of(' ');
  if (start == std::string_view::npos) {
    line = {};
    return {};
  }
  line.remove_prefix(start);
  auto end = line.find(' ');
  auto field = line.substr(0, end);
  line.remove_prefix(end == std::string_view::npos ? line.size() : end + 1);
  return field;
}

Statement parse_statement(std::string_view text) {
  Statement s;
  auto word = take(text);
  if (word == "BEGIN") {
    if (!text.empty() && text != "FETCH") return s;
    s.read_only = !text.empty();
    s.verb = Verb::kBegin;
  } else if (word == "COMMIT") {
    if (text.empty()) s.verb = Verb::kCommit;
  } else if (word == "ROLLBACK") {
    if (text.empty()) s.verb = Verb::kRollback;
  } else if (word == "FETCH") {
    s.name = take(text);
    if (!s.name.empty()) s.verb = Verb::kFetch;
  } else if (word == "STORE") {
    s.name = take(text);
    s.rest = text;
    if (!s.name.empty()) s.verb = Verb::kStore;
  } else if (word == "CONFIGURE") {
    s.name = take(text);
    s.rest = text;
    if (!s.name.empty() && !s.rest.empty()) s.verb = Verb::kConfigure;
  } else if (word == "PREPARE") {
    s.name = take(text);
    s.rest = text;
    auto kind = take(text);
    s.read_only = kind == "FETCH";
    if (!s.name.empty() && (kind == "FETCH" || kind == "STORE") && !text.empty()) s.verb = Verb::kPrepare;
  } else if (word == "EXECUTE") {
    s.name = take(text);
    s.rest = text;
    if (!s.name.empty() && !s.rest.empty()) s.verb = Verb::kExecute;
  } else if (word == "RELEASE") {
    s.name = take(text);
    if (!s.name.empty() && text.empty()) s.verb = Verb::kRelease;
  }
  return s;
}

std::optional<Idle> parse_idle(std::string_view fields) {
  Idle i;
  auto state = take(fields);
  auto position = take(fields);
  if (state.size() != 1 || std::string_view("ITE").find(state[0]) == std::string_view::npos)
    return std::nullopt;
  i.state = state[0];
  if (position != "-") {
    i.position = Position::parse(position);
    if (!i.position) return std::nullopt;
  }
  return i;
}

std::string query(std::string_view id, std::string_view text) {
  std::string s;
  s.reserve(id.size() + text.size() + 10);
  return s.append("QUERY ").append(id).append(" ").append(text).append("\r\n");
}

std::string idle(char state, std::string_view position) {
  return std::string("IDLE ").append(1, state).append(" ").append(position).append("\r\n");
}

std::string error(std::string_view code, std::string_view text) {
  return std::string("STMTERR ").append(code).append(" ").append(text).append("\r\n");
}

bool is_promise(std::string_view code) {
  return code == "THROTTLED" || code == "ABORTED" || code == "LAGGING" || code == "READONLY" ||
         code == "WRONGNODE" || code == "CONNLIMIT";
}

std::optional<Info> parse_info(std::string_view row) {
  Info i;
  auto role = take(row);
  if (role != "primary" && role != "replica") return std::nullopt;
  i.primary = role == "primary";
  auto number = [&row](auto& out) {
    auto f = take(row);
    auto r = std::from_chars(f.data(), f.data() + f.size(), out);
    return r.ec == std::errc() && r.ptr == f.data() + f.size();
  };
  if (!number(i.term)) return std::nullopt;
  auto received = Position::parse(take(row));
  if (!received) return std::nullopt;
  i.received = *received;
  if (!number(i.held)) return std::nullopt;
  auto lag = take(row);
  double ms = 0;
  auto r = std::from_chars(lag.data(), lag.data() + lag.size(), ms);
  if (r.ec != std::errc()) return std::nullopt;
  i.lag_ms = Millis(ms);
  return i;
}

}  // namespace pebblespindle::sql_protocol
