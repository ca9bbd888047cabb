// The databases, the control plane and the faults of the session simulation.
#include "pooler/session_cluster.h"

#include <cstdlib>

#include "config/config_delivery.h"

namespace pebblespindle::test {
namespace {

bool says_not_run(const std::string& code) {  // the protocol's own list
  return code == "THROTTLED" || code == "NOTFOUND" || code == "LAGGING" || code == "READONLY";
}

}  // namespace

SessionSimulation::SessionSimulation(std::uint32_t seed, SessionFaultRates t) : rng_(seed), faults_(t) {
  std::string routes;
  for (auto* r : {"primary", "bounded"})
    routes +=
        std::string(routes.empty() ? "" : ",") + R"({"Name":")" + r + R"(","Hostname":")" + r +
        R"(","RouteType":")" + r +
        R"(","TimeoutMs":800,"TargetLatencyMs":200,"TargetService":"s","MaxAttempts":3,"stale_ms":400})";
  const std::string body =
      R"({"Revision":1,"Routes":[)" + routes + R"(],"Services":[{"Name":"s","MaxConnections":9}],
    "Tenants":[{"Name":"ann","ApiKeys":["ka"]},{"Name":"bob","ApiKeys":["kb"],"RatePerS":500,"BurstLimit":50}],"Limits":{"TransactionIdleMs":300}})";
  feed(put_configuration(0, body));
  for (int i = 0; i < 3; ++i) {
    dbs_.push_back({"db" + std::to_string(i), 0, 1, chance(0.5)});
    feed(put_instance(instance(i)));
  }
  if (const Row* r = core_.find(primary_key("s"));
      !r || !decode_primary(r->value) || decode_primary(r->value)->suspended)
    feed(assign_primary("s", r ? r->value : "", PrimaryAssignment{{"db0"}, false, false, 1, false}));
  for (int i = 0; i < 9; ++i) {
    Client c;
    c.index = i;
    c.tenant = i % 3 ? "ann" : "bob";
    clients_.push_back(c);
  }
  start_pooler();
}

Instance SessionSimulation::instance(int db) const {
  return {{dbs_[std::size_t(db)].name},
          "s",
          "z" + std::to_string(db),
          {"10.0.0.1", std::uint16_t(1000 + db)},
          4,
          false,
          db == primary_,
          std::uint64_t(now_)};
}

void SessionSimulation::grant() {
  engine_->note_controller_clock(incarnation_, now_);
  engine_->extend_lease(now_ + 950, core_.last_sequence(), 1);
}

void SessionSimulation::request_quota(const std::string& tenant, quota::Rights want) {
  if (chance(faults_.lost * 5)) return;
  later(1 + pick(20), [this, tenant, want, life = incarnation_] {
    if (life == incarnation_)
      engine_->on_quota_granted(tenant, "core",
                                granted_quota_[tenant] += chance(faults_.refuse * 5) ? 0 : want);
  });
}

void SessionSimulation::request_position(const std::string& service) {
  if (chance(faults_.lost * 5)) return;
  later(1 + pick(20), [this, service, asked = now_, life = incarnation_] {
    if (life != incarnation_) return;
    engine_->on_position_reply(service, asked - 50,
                               chance(0.8) ? std::optional(Position{1, 1}) : std::nullopt);
  });
}

void SessionSimulation::feed(const Json& update) {
  auto v = validate_command(core_, update);
  ASSERT_TRUE(v.status.is_ok());
  std::uint64_t n = core_.last_sequence() + 1;
  for (auto& r : v.rows) r.sequence = n, core_.put(r);
  if (engine_) feed_engine();
}

void SessionSimulation::feed_engine() {
  if (agent_cache_.sequence() >= core_.last_sequence()) return;
  for (auto& line : encode_update_lines(agent_cache_.sequence(), core_.last_sequence(),
                                        core_.rows_after(agent_cache_.sequence()))) {
    auto taken = agent_cache_.apply(Json::parse(line), std::string_view(line).substr(0, line.size() - 1));
    if (taken.forward.empty()) continue;
    Json m = Json::parse(taken.forward);
    engine_->apply_update(m["k"], *decode_rows(m["r"]), m.value("whole", false));
  }
}

// Restarts the pooler: its connections end at both sides; statements in flight may or may not have run.
void SessionSimulation::start_pooler() {
  for (auto& [id, l] : connections_)
    while (!l.lost && !l.in.empty() && chance(0.8)) {
      std::string line = std::move(l.in.front());
      l.in.pop_front();
      l.open = false;
      run(id, line);
    }
  ++incarnation_;
  connections_.clear();
  for (auto& c : clients_) reset_client(c);
  engine_.reset();
  timers_ = std::make_unique<TimerQueue>();
  engine_ = std::make_unique<pooler::Engine>(*this, *timers_, "z1", 7000, rng_());
  engine_->set_time(now_);
  agent_cache_ = StateCache();
  granted_quota_.clear();
  shutting_down_ = false;
  feed_engine();
  grant();
}

void SessionSimulation::step() {
  ++now_;
  engine_->set_time(now_);
  while (!events_.empty() && events_.top().at <= now_) {
    auto fn = events_.top().fn;
    events_.pop();
    fn();
  }
  timers_->run(now_);
  for (auto& c : clients_) act(c);
  if (now_ % 300 == 0 && now_ >= lapse_until_) grant();
  if (now_ % 250 == 0) engine_->close_idle_connections();
  if (chance(faults_.lapse)) lapse_until_ = now_ + 1500;
  if (chance(faults_.stall)) dbs_[std::size_t(pick(3))].stalled_until = now_ + 20 + pick(1500);
  if (chance(faults_.reset) && !connections_.empty()) {
    auto it = std::next(connections_.begin(), pick(int(connections_.size())));
    int db = it->second.db;
    bool all = chance(0.2);  // the whole database
    std::vector<pooler::ConnectionId> ids;
    for (auto& [id, l] : connections_)
      if (all ? l.db == db : id == it->first) ids.push_back(id);
    for (auto id : ids) reset_connection(id);
  }
  if (chance(faults_.stray) && !connections_.empty()) {  // an answer to nothing
    auto it = std::next(connections_.begin(), pick(int(connections_.size())));
    if (it->second.open && it->second.answers_owed == 0) {
      pooler::ConnectionId id = it->first;
      for (auto* line : {"DATAROW r", "COMPLETE stray", "IDLE I 1.1"})
        if (!chance(0.3)) engine_->on_database_line(id, line);
      engine_->on_database_read_end(id);
    }
  }
  if (chance(faults_.agent)) {  // the restarted agent gets the whole state
    agent_cache_ = StateCache();
    feed_engine();
  }
  if (!shutting_down_ && chance(faults_.pooler)) {
    if (chance(0.5)) return start_pooler();
    shutting_down_ = true;  // an orderly shutdown
    engine_->begin_shutdown();
    engine_->close_idle_sessions();
    later(100 + pick(300), [this, life = incarnation_] {
      if (life == incarnation_) engine_->stop_accepting_statements();
    });
    later(430, [this, life = incarnation_] {
      if (life == incarnation_) engine_->abort_sessions();
    });
    later(450, [this, life = incarnation_] {
      if (life == incarnation_) start_pooler();
    });
  }
  if (removed_replica_ >= 0 && (faults_.leave == 0 || chance(0.005))) {
    feed(put_instance(instance(std::exchange(removed_replica_, -1))));
  } else if (removed_replica_ < 0 && !suspended_ && chance(faults_.leave)) {
    removed_replica_ = (primary_ + 1 + pick(2)) % 3;
    feed(remove_instance({dbs_[std::size_t(removed_replica_)].name}));
  }
  promote();
}

void SessionSimulation::promote() {
  const std::string expected(core_.find(primary_key("s"))->value);
  if (!suspended_ && chance(faults_.promote)) {
    suspended_ = true;
    suspended_at_ = now_;
    feed(assign_primary(
        "s", expected,
        PrimaryAssignment{
            {dbs_[std::size_t(primary_)].name}, true, chance(0.5), dbs_[std::size_t(primary_)].term, false}));
  } else if (suspended_ &&
             (now_ > suspended_at_ + 1100 ||
              (now_ > suspended_at_ + 50 && engine_->acknowledged_sequence() == core_.last_sequence()))) {
    suspended_ = false;
    std::uint64_t term = dbs_[std::size_t(primary_)].term + 1;
    int next = (primary_ + 1 + pick(2)) % 3;
    primary_ = next == removed_replica_ ? 3 - next - primary_ : next;
    dbs_[std::size_t(primary_)].term = term;
    feed(assign_primary("s", expected,
                        PrimaryAssignment{{dbs_[std::size_t(primary_)].name}, false, false, term, false}));
  }
}

void SessionSimulation::stop_faults() {
  faults_ = {};
  lapse_until_ = 0;
  for (auto& d : dbs_) d.stalled_until = 0;
}

void SessionSimulation::check_recovery() {
  int before = served;
  for (int i = 0; i < 1700; ++i) step();
  EXPECT_GT(served, before + 30) << "after its troubles the node serves hardly anybody";
  for (auto& c : clients_) {
    if (c.open) engine_->on_client_closed(c.session);
    reset_client(c);
    c.next = now_ + 100000;
  }
  for (int i = 0; i < 1300; ++i) step();
  EXPECT_EQ(engine_->session_count(), 0u);
  for (auto& [id, l] : connections_)
    EXPECT_TRUE(!l.open || (l.answers_owed == 0 && l.state == 'I'))
        << "a connection that nobody uses is not at rest";
}

// --- the databases -------------------------------------------------------------------

void SessionSimulation::open_connection(pooler::ConnectionId id, const Endpoint& at) {
  auto& l = connections_[id];
  l.db = at.port - 1000;
  l.answers_owed = 1;
  later(1 + pick(3), [this, id, life = incarnation_] {
    if (life == incarnation_ && connections_[id].open) engine_->on_connection_up(id);
  });
}

void SessionSimulation::send_to_database(pooler::ConnectionId id, std::string bytes) {
  auto& l = connections_[id];
  EXPECT_TRUE(l.open) << "written to a connection that was closed";
  for (auto& line : split(bytes)) {
    std::string_view rest = line;
    if (sql_protocol::take(rest) == "QUERY") {
      ++l.answers_owed;
      EXPECT_EQ(l.answers_owed, 1) << "a second statement before the first is answered";
      std::string qid(sql_protocol::take(rest));
      if (qid != "-") {
        auto a = asked_.find(qid);
        ASSERT_TRUE(a != asked_.end()) << "UNASKED: " << line;
        if (a->second.write || a->second.commit) {
          EXPECT_TRUE(a->second.not_run)
              << "TWICE: " << line << " is written again, and may have run where it was written first";
          EXPECT_FALSE(promised_.count(qid)) << "written after a promise: " << line;
          a->second.not_run = false;
        }
      }
    }
    Millis in = 1 + pick(2);
    later(in, [this, id, life = incarnation_, line] {
      if (life != incarnation_ || connections_[id].lost) return;
      connections_[id].in.push_back(line);
      database_reads(id);
    });
  }
}

void SessionSimulation::close_connection(pooler::ConnectionId id, bool orderly) {
  auto& l = connections_[id];
  if (!l.open) return;
  l.open = false;
  if (!orderly && chance(0.4)) {  // lines that the database has not read are lost
    l.lost = true;
    return;
  }
  later(3, [this, id, life = incarnation_] {
    if (life != incarnation_ || connections_[id].lost) return;
    connections_[id].in.push_back("CLOSE");
    database_reads(id);
  });
}

void SessionSimulation::reset_connection(pooler::ConnectionId id) {
  auto& l = connections_[id];
  if (!l.open) return;
  if (chance(0.5)) {
    l.lost = true;
  } else {
    later(3, [this, id, life = incarnation_] {
      if (life == incarnation_ && !connections_[id].lost)
        connections_[id].in.push_back("CLOSE"), database_reads(id);
    });
  }
  later(pick(3), [this, id, life = incarnation_] {
    if (life != incarnation_ || !connections_[id].open) return;
    engine_->on_connection_lost(id, false, false);
    EXPECT_FALSE(connections_[id].open);
  });
}

void SessionSimulation::database_reads(pooler::ConnectionId id) {
  auto& l = connections_[id];
  Millis still = dbs_[std::size_t(l.db)].stalled_until;
  if (still > now_)
    return later(still - now_, [this, id, life = incarnation_] {
      if (life == incarnation_) database_reads(id);
    });
  while (!l.lost && !l.in.empty()) {
    std::string line = std::move(l.in.front());
    l.in.pop_front();
    run(id, line);
  }
}

void SessionSimulation::run(pooler::ConnectionId id, const std::string& line) {
  auto& l = connections_[id];
  std::string_view rest = line;
  auto word = sql_protocol::take(rest);
  if (word == "CONNECT") {
    EXPECT_EQ(sql_protocol::take(rest), "s");
    l.who = std::string(sql_protocol::take(rest));
    if (!chance(faults_.refuse)) return reply(id, {"IDLE I 1.1"}, "", "");
    return reply(id, {"STMTERR CONNLIMIT full"}, "", "");
  }
  if (word != "QUERY") {
    l.lost = true;  // an open transaction is rolled back
    return;
  }
  Database& d = dbs_[std::size_t(l.db)];
  const std::string qid(sql_protocol::take(rest));
  std::string code;
  bool wrote = false;
  std::string body = statement(l, d, qid, rest, code, wrote);
  std::vector<std::string> lines = split(body);
  if (!code.empty()) {
    if (l.state == 'T') l.state = 'E';
    lines = {"STMTERR " + code + " x"};
  }
  lines.push_back(std::string("IDLE ") + l.state + " " + std::to_string(d.term) + "." +
                  std::to_string(commits + 1));
  reply(id, std::move(lines), qid, code);
}

std::string SessionSimulation::statement(DatabaseConnection& l, Database& d, const std::string& qid,
                                         std::string_view text, std::string& code, bool& wrote) {
  const bool leads = &d == &dbs_[std::size_t(primary_)];
  if (text.starts_with("WAITFOR ")) {
    sql_protocol::take(text);
    sql_protocol::take(text);
  }
  auto st = sql_protocol::parse_statement(text);
  if (l.state == 'E' && st.verb != sql_protocol::Verb::kRollback) return code = "MALFORMED", "";
  auto back = [&] {
    if (d.rollback_reverts_values) l.values = l.values_before, l.prepared = l.prepared_before;
    l.state = 'I';
    l.writes.clear();
    l.tx = 0;
  };
  if (qid == "-") {
    if (chance(faults_.refuse)) return code = "THROTTLED", "";
    if (text == "RESET") l.values.clear(), l.prepared.clear();
    if (st.verb == sql_protocol::Verb::kConfigure) l.values[std::string(st.name)] = std::string(st.rest);
    if (st.verb == sql_protocol::Verb::kPrepare) l.prepared[std::string(st.name)] = std::string(st.rest);
    if (st.verb == sql_protocol::Verb::kRollback) back();
    if (st.verb == sql_protocol::Verb::kBegin) {
      EXPECT_EQ(l.state, 'I');
      if (!leads && !st.read_only) return code = "READONLY", "";
      l.state = 'T';
      l.values_before = l.values;
      l.prepared_before = l.prepared;
      l.writes.clear();
      l.tx = 0;
    }
    return "COMPLETE -\r\n";
  }
  const SentStatement& q = asked_.at(qid);
  EXPECT_TRUE(q.runs) << "UNASKED: " << text;
  EXPECT_EQ(l.who, clients_[std::size_t(q.client)].tenant) << "a connection of another tenant";
  if (q.shape.empty()) {
    EXPECT_EQ(std::string(text), q.text) << "UNASKED: the text was changed";
  } else {
    EXPECT_EQ(l.prepared[std::string(st.name)], q.shape) << "PINNED: a prepared name of another shape";
  }
  EXPECT_EQ(l.values, q.values) << "PINNED: other session values for " << q.text;
  EXPECT_EQ(l.state == 'T', q.tx != 0) << "PINNED: outside its transaction";
  if (q.tx && l.tx == 0) l.tx = q.tx;
  EXPECT_EQ(l.tx, q.tx) << "PINNED: in another transaction";
  if (chance(faults_.refuse))
    return code = chance(0.5) ? "THROTTLED" : q.write ? "EXECFAILED" : "LAGGING", "";
  if (q.write && !leads) return code = "READONLY", "";
  std::vector<std::string> rows;
  if (q.commit) {
    auto writes = l.writes;
    if (!writes.empty() && !leads) return code = "READONLY", "";
    l.state = 'I';
    l.writes.clear();
    l.tx = 0;
    commit(writes);
  } else if (q.write) {
    if (l.state == 'T')
      l.writes.push_back(qid);
    else
      commit({qid});
  } else {
    for (int i = pick(4); i > 0; --i) rows.push_back("r" + std::to_string(++last_run_));
  }
  wrote = q.write;
  if (chance(faults_.refuse) && !q.tx) return code = "TIMEOUT", "";  // it ran, or had begun to
  const std::string stamp = "st" + std::to_string(++last_run_);
  runs_[stamp] = {qid, rows};
  std::string body;
  for (auto& r : rows) body += "DATAROW " + r + "\r\n";
  return body + "COMPLETE " + stamp + "\r\n";
}

void SessionSimulation::commit(const std::vector<std::string>& writes) {
  ++commits;
  for (auto& w : writes) {
    EXPECT_TRUE(kept_.insert(w).second) << "TWICE: " << w;
    EXPECT_FALSE(promised_.count(w)) << "REFUSED: " << w << " is kept after a promise";
  }
}

// Sends an answer, with faults: it may be late, lost, truncated, duplicated, followed by other lines, or
// invalid.
void SessionSimulation::reply(pooler::ConnectionId id, std::vector<std::string> lines, const std::string& qid,
                              const std::string& code) {
  if (!connections_[id].open) return;
  std::size_t whole = lines.size();
  if (!qid.empty() && chance(faults_.misfit)) {
    switch (pick(4)) {
      case 0:  // the end of one answer behind the end of another
        lines.insert(lines.end() - 1, "DATAROW other");
        break;
      case 1:
        lines.insert(lines.end() - 1, "COMPLETE other");
        break;
      case 2:  // no outcome
        lines.erase(lines.end() - 2);
        break;
      default:
        if (!code.empty())
          lines.back() = "IDLE X -";
        else if (qid != "-" && chance(0.5))
          lines[lines.size() - 2] = "COMPLETE -";
        else
          lines.back()[5] = lines.back()[5] == 'I' ? 'T' : 'I';
    }
    whole = lines.size();
  } else if (chance(faults_.twice)) {
    auto copy = lines;
    lines.insert(lines.end(), copy.begin(), copy.end());
  } else if (chance(faults_.tail)) {
    const char* tails[] = {"DATAROW r", "COMPLETE st", "STMTERR THROTTLED x", "IDLE I 1.1", "HUM", ""};
    lines.push_back(tails[pick(6)]);
  } else if (chance(faults_.torn)) {
    lines.resize(std::size_t(pick(int(lines.size()))));
    deliver(id, lines, qid, "", 0);
    return later(6, [this, id, life = incarnation_] {
      if (life == incarnation_) reset_connection(id);
    });
  }
  deliver(id, std::move(lines), qid, code, whole);
}

void SessionSimulation::deliver(pooler::ConnectionId id, std::vector<std::string> lines,
                                const std::string& qid, const std::string& code, std::size_t whole) {
  auto& l = connections_[id];
  if (chance(faults_.lost)) {
    if (chance(0.3)) return;
    l.last_out = std::max(l.last_out, now_ + 100 + pick(2500));
  }
  l.last_out = std::max(l.last_out, now_ + 1 + pick(4));
  // A read may end anywhere before the end of the answer; lines behind the answer come in the same read as
  // its end.
  std::size_t cut = chance(0.3) && whole > 1 ? std::size_t(pick(int(whole))) : 0;
  auto hand = [this, id, life = incarnation_, qid, code, whole](std::vector<std::string> part, bool last) {
    if (life != incarnation_ || !connections_[id].open) return;
    if (last && whole > 0) {
      --connections_[id].answers_owed;
      if (says_not_run(code)) asked_[qid].not_run = true;
    }
    for (auto& line : part)
      if (connections_[id].open) engine_->on_database_line(id, line);
    if (connections_[id].open) engine_->on_database_read_end(id);
  };
  std::vector<std::string> head(lines.begin(), lines.begin() + std::ptrdiff_t(std::min(cut, lines.size())));
  lines.erase(lines.begin(), lines.begin() + std::ptrdiff_t(head.size()));
  if (!head.empty()) later(l.last_out - now_, [hand, head] { hand(head, false); });
  l.last_out += head.empty() ? 0 : pick(3);
  later(l.last_out - now_, [hand, lines] { hand(lines, true); });
}

}  // namespace pebblespindle::test
