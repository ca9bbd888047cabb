#include "controller/database_client.h"

#include "failover/constants.h"
#include "net/constants.h"

namespace pebblespindle {
using failover::DatabaseReply;

void DatabaseClient::ask(const Instance& to, const std::string& statement,
                         std::function<void(DatabaseReply)> done) {
  auto& line = lines_[to.id];
  bool fresh = !line;
  if (fresh) line = std::make_shared<Line>();
  LinePtr l = line;
  l->used = loop_.now();
  l->calls.push_back({statement, std::move(done), 0});
  l->calls.back().timer = loop_.timers().at(
      loop_.now() + kInfoTimeoutMs, [this, id = to.id, l] { fail(id, l, DatabaseReply::Kind::kSilent); });
  loop_.rearm();
  if (fresh)
    connect(to, l);
  else if (l->ready && l->calls.size() == 1)
    send_first(to.id, l);
}

void DatabaseClient::connect(const Instance& to, const LinePtr& line) {
  LineConnection::connect(
      loop_.io(), to.address, kInfoTimeoutMs, kMaxMessageBytes,
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
        conn->start(
            {[this, id = to.id, line](std::string_view text) { on_line(id, line, text); },
             [this, id = to.id, line](LineConnection::End) { fail(id, line, DatabaseReply::Kind::kRefused); },
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
      line->reply.error = std::string(text);
      return fail(id, line, DatabaseReply::Kind::kError);
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
    line->reply.error = std::string(text);
  } else if (word == "IDLE" && !line->calls.empty()) {
    Call call = std::move(line->calls.front());
    line->calls.erase(line->calls.begin());
    loop_.timers().cancel(call.timer);
    DatabaseReply reply = line->reply;
    if (!line->calls.empty()) send_first(id, line);
    call.done(reply);
  }
}

void DatabaseClient::fail(const InstanceId& id, const LinePtr& line, DatabaseReply::Kind kind) {
  auto it = lines_.find(id);
  if (it != lines_.end() && it->second == line) lines_.erase(it);
  if (line->conn) line->conn->close();
  auto calls = std::move(line->calls);
  line->calls.clear();
  for (auto& c : calls) loop_.timers().cancel(c.timer);
  for (auto& c : calls) c.done({kind, {}, line->reply.error});
}

void DatabaseClient::expire() {
  for (auto it = lines_.begin(); it != lines_.end();) {
    auto& l = it->second;
    if (l->calls.empty() && loop_.now() - l->used > kPlatformTimeoutMs * 3) {
      if (l->conn) {
        l->conn->send("CLOSE\r\n");
        l->conn->close_after_flush();
      }
      it = lines_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pebblespindle
