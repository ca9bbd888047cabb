#include "controller/database_client.h"

#include "base/exception_barrier.h"
#include "base/text.h"
#include "failover/constants.h"
#include "net/constants.h"

namespace pebblespindle {
using failover::DatabaseReply;

namespace {

// What stands behind STMTERR: a code, and with WRONGNODE the ID of the database that answers there.
DatabaseReply parse_error(std::string_view text) {
  DatabaseReply reply{DatabaseReply::Kind::kError, {}, std::string(text), {}};
  if (sql_protocol::take(text) != "WRONGNODE") return reply;
  reply.kind = DatabaseReply::Kind::kWrongNode;
  const std::string id(sql_protocol::take(text));
  reply.answering_id = {is_printable_ascii(id) && !id.empty() ? id : "unknown"};
  return reply;
}

}  // namespace

void DatabaseClient::ask(const Instance& to, const std::string& statement,
                         std::function<void(DatabaseReply)> done) {
  LinePtr& stored = lines_[to.id];
  const bool fresh = !stored;
  if (fresh) stored = std::make_shared<Line>();
  const LinePtr line = stored;
  line->used_at = loop_.now();
  line->calls.push_back({statement, std::move(done), 0});
  line->calls.back().timer = loop_.timers().at(loop_.now() + kInfoTimeoutMs, [this, id = to.id, line] {
    fail(id, line, DatabaseReply::Kind::kSilent);
  });
  loop_.rearm();
  if (fresh)
    connect(to, line);
  else if (line->ready && line->calls.size() == 1)
    send_first(to.id, line);
}

void DatabaseClient::connect(const Instance& to, const LinePtr& line) {
  LineConnection::connect(
      loop_.io(), to.address, kInfoTimeoutMs, Framing::kCrLfLines, kMaxMessageBytes,
      [this, to, line](LineConnection::Ptr conn, const asio::error_code& ec) {
        if (line->calls.empty()) {  // given up meanwhile
          if (conn) conn->close();
          return;
        }
        if (!conn) {
          bool silent = ec == asio::error::operation_aborted || ec == asio::error::timed_out;
          return fail(to.id, line, silent ? DatabaseReply::Kind::kSilent : DatabaseReply::Kind::kRefused);
        }
        line->conn = conn;
        conn->start({[this, id = to.id, line](std::string_view text) { on_line(id, line, text); },
                     [this, id = to.id, line](LineConnection::End end) {
                       // A handler that threw says nothing about the database.
                       const bool by_database = end != LineConnection::End::kFailed;
                       fail(id, line,
                            by_database ? DatabaseReply::Kind::kRefused : DatabaseReply::Kind::kSilent);
                     },
                     [this] { loop_.rearm(); }});
        conn->send("CONNECT " + to.service + " controller " + to.id.value + "\r\n");
      });
}

void DatabaseClient::send_first(const InstanceId& id, const LinePtr& line) {
  if (line->calls.front().statement != "INFO" && may_act && !may_act())
    return fail(id, line, DatabaseReply::Kind::kSilent);
  line->reply = {};
  line->reply.kind = DatabaseReply::Kind::kError;
  line->conn->send(sql_protocol::query("-", line->calls.front().statement));
}

void DatabaseClient::on_line(const InstanceId& id, const LinePtr& line, std::string_view text) {
  auto word = sql_protocol::take(text);
  if (!line->ready) {
    if (word != "IDLE") {
      return fail(id, line, parse_error(text));
    }
    line->ready = true;
    if (!line->calls.empty()) send_first(id, line);
    return;
  }
  if (word == "DATAROW") {
    if (auto info = sql_protocol::parse_info(text)) {
      line->reply.kind = DatabaseReply::Kind::kRow;
      line->reply.info = *info;
    }
  } else if (word == "STMTERR") {
    line->reply = parse_error(text);
  } else if (word == "IDLE" && !line->calls.empty()) {
    Call call = std::move(line->calls.front());
    line->calls.erase(line->calls.begin());
    loop_.timers().cancel(call.timer);
    DatabaseReply reply = line->reply;
    if (!line->calls.empty()) send_first(id, line);
    run_guarded(Boundary::kDatabaseReply, [&] { call.done(reply); });
  }
}

void DatabaseClient::fail(const InstanceId& id, const LinePtr& line, DatabaseReply::Kind kind) {
  fail(id, line, {kind, {}, line->reply.error, {}});
}

void DatabaseClient::fail(const InstanceId& id, const LinePtr& line, const DatabaseReply& reply) {
  auto it = lines_.find(id);
  if (it != lines_.end() && it->second == line) lines_.erase(it);
  if (line->conn) line->conn->close();
  auto calls = std::move(line->calls);
  line->calls.clear();
  for (auto& call : calls) loop_.timers().cancel(call.timer);
  for (auto& call : calls) run_guarded(Boundary::kDatabaseReply, [&] { call.done(reply); });
}

void DatabaseClient::expire() {
  for (auto it = lines_.begin(); it != lines_.end();) {
    const LinePtr& line = it->second;
    if (line->calls.empty() && loop_.now() - line->used_at > kPlatformTimeoutMs * 3) {
      if (line->conn) {
        line->conn->send("CLOSE\r\n");
        line->conn->close_after_flush();
      }
      it = lines_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pebblespindle
