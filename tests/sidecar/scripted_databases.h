// The databases of the simulated mesh, the faults that are injected, and the invariants checked after each
// step.
#pragma once
#include "config/configuration_reader.h"
#include "sidecar/mesh_cluster.h"

namespace pebblespindle::test::mesh {

// --- databases ----------------------------------------------------------------

inline void Node::open_app_connection(ConnId id) {
  auto c = std::make_shared<DatabaseConn>();
  c->serial = ++w.connections_opened;
  conns[id] = c;
  w.schedule(w.chance(0.05) ? 30 + w.pick(600) : 1 + w.pick(2),
             [this, &world = w, n = index, l = incarnation, id, c] {
               if (world.incarnations[std::size_t(n)] != l || !conns.count(id)) return;
               set_time();
               if (world.database[std::size_t(n)].empty()) {
                 conns.erase(id);
                 return in.app_connection_down(id, true);
               }
               c->up = true;
               c->database = world.database[std::size_t(n)];
               in.app_connection_up(id);
             });
}

inline void Node::close_app_connection(ConnId id) {
  auto it = conns.find(id);
  if (it == conns.end()) return;
  for (int r : it->second->runs) w.runs[std::size_t(r)].aborted = true;
  conns.erase(it);
}

inline void Node::connection_lost(ConnId id) {
  if (!conns.count(id)) return;
  close_app_connection(id);
  set_time();
  in.app_connection_down(id, false);
}

inline void Node::send_to_app(ConnId id, const Call& c) {
  auto conn = conns.at(id);
  // A request that reaches another database process at the same address is rejected with 421 there, so the
  // intended database counts.
  const std::string tried = *find_field(c.fields, kRequestIdField),
                    target_database = *find_field(c.fields, kTargetInstanceField);
  ClientRequest& t = w.requests[tried];
  ASSERT_TRUE(t.whole) << tried << " is sent before it was read completely";
  ASSERT_EQ(c.method + c.target + c.body, t.method + t.path + t.body) << "a changed request";
  ASSERT_EQ(count_fields(c.fields, kRequestIdField), 1u);
  ASSERT_FALSE(t.promised_not_run) << tried << " is sent after it was reported as not run";
  for (auto& x : t.deliveries)
    ASSERT_TRUE(t.idempotent || x.reported_not_run) << tried << " is sent twice, and may have run before";
  w.second_databases += !t.deliveries.empty() && t.deliveries.back().database != target_database;
  w.resent += !t.deliveries.empty() && t.deliveries.back().database == target_database;
  t.deliveries.push_back({target_database, conn->serial, false});
  std::set<std::string> where;
  for (auto& x : t.deliveries) where.insert(x.database);
  ASSERT_LE(where.size(), 2u) << tried << " reaches more databases than its route allows";
  conn->reader.request_sent(c.method == "HEAD");
  conn->current_request = tried;
  const std::string bytes = serialize_request(c);
  // Sometimes the connection ends after part of the request.
  const std::size_t upto = w.chance(0.01) ? std::size_t(w.pick(int(bytes.size()))) : bytes.size();
  w.schedule(1, [this, &world = w, n = index, l = incarnation, id, conn, part = bytes.substr(0, upto),
                 half = upto < bytes.size()] {
    if (world.incarnations[std::size_t(n)] != l) return;
    std::size_t took = 0;
    if (conn->requests.feed(part, took) == HttpReader::State::kDone)
      world.execute_request(*this, id, conn->requests.take());
    if (half) connection_lost(id);
  });
}

// Empty bytes end the connection.
inline void MeshSimulation::queue_bytes(DatabaseConn& c, Millis after, const std::string& bytes) {
  Millis at = std::max(now + after, c.out.empty() ? 0 : c.out.back().first);
  if (bytes.size() > 1 && chance(0.3)) {
    std::size_t cut_at = 1 + std::size_t(pick(int(bytes.size() - 1)));
    c.out.emplace_back(at, bytes.substr(0, cut_at));
    c.out.emplace_back(at + pick(8), bytes.substr(cut_at));
  } else {
    c.out.emplace_back(at, bytes);
  }
}

inline void MeshSimulation::execute_request(Node& s, ConnId conn, const HttpMessage& m) {
  auto it = s.conns.find(conn);
  const std::string id = *find_field(m.fields, kRequestIdField), life = database[std::size_t(s.index)];
  ClientRequest& t = requests[id];
  if (it == s.conns.end()) {  // the connection was closed meanwhile, but the request may still run
    if (!life.empty() && *find_field(m.fields, kTargetInstanceField) == life && chance(0.4)) ++t.runs;
    return;
  }
  DatabaseConn& c = *it->second;
  if (c.database != life) return queue_bytes(c, 0, "");  // opened to an earlier database process
  auto message = [](int status, const HttpFields& fields, const std::string& body, bool bodied) {
    return serialize_reply({status, body, fields}, false, !bodied);
  };
  const bool bodied = m.method != "HEAD";
  const HttpFields named{{kRequestIdField, id}};
  if (*find_field(m.fields, kTargetInstanceField) != life)
    return queue_bytes(c, 1, message(421, chance(0.5) ? named : HttpFields{}, "", true));
  int inject_fault = chance(failure_rates[std::size_t(s.index)]) ? 1 + pick(20) : 0;
  if (inject_fault == 1) return queue_bytes(c, pick(3), "");
  if (inject_fault == 2 || inject_fault == 3) {
    HttpFields f = inject_fault == 2 ? named : HttpFields{};
    f.emplace_back(kNotExecutedField, "1");
    return queue_bytes(c, 1 + pick(20), message(inject_fault == 2 ? 503 : 429, f, "", true));
  }
  ASSERT_EQ(service_of_database[life], t.service) << "it runs in another service";
  ++t.runs;
  const int run = int(runs.size());
  runs.push_back(
      {id, "run " + std::to_string(run) + std::string(std::size_t(pick(300)), char('a' + run % 26))});
  c.runs.push_back(run);
  HttpFields f = named;
  f.emplace_back("X-Run", std::to_string(run));
  if (inject_fault != 4) f.emplace_back(kResponseSealField, "seal");
  if (inject_fault == 5) std::erase_if(f, [](auto& x) { return x.first == kRequestIdField; });
  const std::string whole = message(inject_fault == 6 ? 500 : 200, f, bodied ? runs.back().body : "", bodied);
  const Millis takes = 2 + pick(15) + (chance(0.02) ? 200 : 0) + (inject_fault == 7 ? 350 : 0);
  if (inject_fault == 8) return;  // no response
  if (inject_fault == 9) return queue_bytes(c, takes, "");
  if (inject_fault == 10) queue_bytes(c, 1, "HTTP/1.1 100 Continue\r\n\r\n");
  if (inject_fault == 11 && !c.before.empty())  // a second response to an earlier request
    queue_bytes(c, 1,
                message(200, {{kRequestIdField, c.before.back()}, {kResponseSealField, "x"}}, "late", true));
  if (inject_fault == 12) {
    queue_bytes(c, takes, whole.substr(0, std::size_t(pick(int(whole.size())))));
    return queue_bytes(c, pick(20), "");
  }
  if (inject_fault == 13) return queue_bytes(c, takes, "\x01\x02 no answer\r\n\r\n");
  if (inject_fault == 14)
    return queue_bytes(c, takes,
                       "HTTP/1.1 000 OK\r\nX-Pebblespindle-Response-Seal: s\r\n" +
                           std::string(kRequestIdField) + ": " + id + "\r\nContent-Length: 0\r\n\r\n");
  queue_bytes(c, takes, whole);
  if (inject_fault == 15) queue_bytes(c, pick(2) * pick(30), whole);  // twice
  if (inject_fault == 16) queue_bytes(c, pick(30), whole.substr(0, whole.size() / 2));
  if (inject_fault == 17)
    queue_bytes(c, pick(30), message(200, {{kResponseSealField, "x"}}, "of nobody", true));
  if (inject_fault == 18) queue_bytes(c, pick(30), "");
  if (inject_fault == 19) queue_bytes(c, 0, "excess");
  c.before.push_back(id);
}

inline void MeshSimulation::deliver_responses(Node& s) {
  std::vector<ConnId> ids;
  for (auto& [id, c] : s.conns)
    if (!c->out.empty() && c->out.front().first <= now) ids.push_back(id);
  for (auto id : ids) {
    while (s.conns.count(id)) {
      auto c = s.conns[id];
      if (c->out.empty() || c->out.front().first > now) break;
      std::string bytes = std::move(c->out.front().second);
      c->out.pop_front();
      if (bytes.empty()) {
        s.connection_lost(id);
        break;
      }
      s.set_time();
      s.in.app_bytes_received(id);
      if (!s.conns.count(id)) break;
      std::vector<AppResponseReader::Response> answers;
      bool fine = c->reader.feed(bytes, answers);
      for (auto& a : answers) {
        if (!s.conns.count(id)) break;
        auto* of = find_field(a.reply.fields, kRequestIdField);
        if (auto* run = find_field(a.reply.fields, "X-Run")) std::erase(c->runs, std::stoi(*run));
        const bool not_run = a.reply.status == 421 || find_field(a.reply.fields, kNotExecutedField);
        if (not_run && (of ? requests.count(*of) : !c->current_request.empty())) {
          auto& list = requests[of ? *of : c->current_request].deliveries;
          for (auto& x : list) x.reported_not_run = x.reported_not_run || x.conn == c->serial;
        }
        s.in.app_reply_received(id, std::move(a.reply), a.keep_alive_ms);
      }
      if (!fine && s.conns.count(id)) s.connection_lost(id);
    }
  }
}

// --- faults -------------------------------------------------------------------

inline void MeshSimulation::start_database(int i, const std::string& of_service) {
  auto& d = database[std::size_t(i)];
  ++number;
  if (!d.empty()) rows.push_back({instance_key({d}), "", number, true});
  d = "db" + std::to_string(++databases_started);
  service[std::size_t(i)] = of_service;
  service_of_database[d] = of_service;
  Instance in{{d}, of_service, "z" + std::to_string(i % 2), address_of(i), kDatabaseSlots, false, false, 1};
  rows.push_back({instance_key(in.id), encode_instance(in), number, false});
  for (int n = 0; n < kNodes; ++n)
    schedule(1 + pick(60), [this, n] {
      if (auto& s = nodes[std::size_t(n)]) s->cluster.apply(number, rows);
    });
}

inline void MeshSimulation::register_database(int i) {
  auto& s = nodes[std::size_t(i)];
  if (!s || database[std::size_t(i)].empty()) return;
  s->set_time();
  s->in.set_database(Instance{{database[std::size_t(i)]},
                              service[std::size_t(i)],
                              "z" + std::to_string(i % 2),
                              address_of(i),
                              kDatabaseSlots,
                              false,
                              false,
                              1});
}

// Kills a sidecar. Another starts at its address a moment later, perhaps with another database.
inline void MeshSimulation::kill(int i) {
  auto& s = nodes[std::size_t(i)];
  if (!s) return;
  for (auto& c : s->clients)
    for (auto& id : c->asked) requests[id].gone = true;
  for (auto& [id, c] : s->conns)
    for (int r : c->runs) runs[std::size_t(r)].aborted = true;
  ++incarnations[std::size_t(i)];
  for (auto list = links; auto& l : list) {
    if (l->from == i) {
      l->out_open = false;
      if (l->in_open) schedule(pick(60), [this, l] { close_incoming(l); });
    } else if (l->to == i && l->up) {
      l->in_open = false;
      l->to_peer.clear();
      schedule(pick(60), [this, l] { close_outgoing(l); });
    }
  }
  s.reset();
  const bool moved = chance(0.4);
  if (moved) start_database(i, chance(0.5) ? "s" : "t");
  schedule(5 + pick(50), [this, i] {
    nodes[std::size_t(i)] = std::make_unique<Node>(*this, i);
    schedule(pick(20), [this, i] { register_database(i); });
  });
}

inline void MeshSimulation::inject_fault() {
  if (chance(0.02))
    for (auto& b : failure_rates) b = chance(0.4) ? 0.6 : 0.02;
  if (chance(0.006)) partitions.clear();
  if (chance(0.004)) partitions.insert({pick(2), 2 + pick(2)});
  if (chance(0.004) && !links.empty()) reset(links[std::size_t(pick(int(links.size())))]);
  if (chance(0.003)) kill(pick(kNodes));
  const int i = pick(kNodes);
  auto& s = nodes[std::size_t(i)];
  if (s && chance(0.003)) {  // the database restarts; the sidecar learns of it later
    auto conns = s->conns;
    start_database(i, service[std::size_t(i)]);
    for (auto& [id, c] : conns)
      if (chance(0.6)) s->connection_lost(id);  // the other connections are reset once they are used
    schedule(pick(40), [this, i] { register_database(i); });
  }
  if (s && chance(0.003)) {  // the database closes idle connections
    auto conns = s->conns;
    for (auto& [id, c] : conns)
      if (c->runs.empty()) queue_bytes(*c, pick(3), "");
  }
  if (s && chance(0.001)) {  // the sidecar shuts down gracefully
    s->leaving = true;
    for (auto& c : s->clients) c->line.drain();
    schedule(kRouteMs, [this, i, l = s->incarnation] {
      if (incarnations[std::size_t(i)] == l) kill(i);
    });
  }
}

// --- steps ----------------------------------------------------------------------

inline MeshSimulation::MeshSimulation(std::uint32_t seed) : rng(seed) {
  Json c{{"Revision", 1}, {"Services", {{{"Name", "s"}}, {{"Name", "t"}}}}, {"Routes", Json::array()}};
  for (const char* service_name : {"s", "t"})
    for (bool idempotent : {true, false})
      c["Routes"].push_back(
          {{"Name", std::string(service_name) + (idempotent ? "safe" : "once")},
           {"Hostname", "h"},
           {"PathPrefix", std::string("/") + service_name + (idempotent ? "/safe/" : "/once/")},
           {"RouteType", idempotent ? "idempotent" : "non_idempotent"},
           {"TimeoutMs", kRouteMs},
           {"TargetLatencyMs", 80},
           {"MaxAttempts", 2},
           {"TargetService", service_name}});
  for (auto& [key, value] : encode_configuration(*read_configuration(c.dump())))
    rows.push_back({key, value, 1, false});
  for (int i = 0; i < kNodes; ++i) start_database(i, i % 2 ? "s" : "t");
  for (int i = 0; i < kNodes; ++i) {
    nodes[std::size_t(i)] = std::make_unique<Node>(*this, i);
    register_database(i);
  }
}

inline void MeshSimulation::step() {
  ++now;
  while (!events.empty() && events.begin()->first <= now) events.extract(events.begin()).mapped()();
  for (auto& s : nodes) {
    if (!s) continue;
    s->set_time();
    s->timers.run(now);
    deliver_client_bytes(*s);
    deliver_responses(*s);
  }
  deliver_frames();
  check_invariants();
}

inline void MeshSimulation::check_invariants() {
  for (auto& [id, t] : requests) {
    ASSERT_LE(t.answers, 1) << id << " is answered twice";
    ASSERT_TRUE(t.idempotent || t.runs <= 1) << id << " runs twice";
    ASSERT_FALSE(t.promised_not_run && t.runs > 0) << id << " runs, though it was reported as not run";
    ASSERT_TRUE(t.answers || t.gone || t.promised_not_run || now < t.started_at + 3 * kRouteMs)
        << id << " has no response";
  }
  std::erase_if(requests, [&](auto& e) { return now > e.second.started_at + 6 * kRouteMs; });
}

}  // namespace pebblespindle::test::mesh
