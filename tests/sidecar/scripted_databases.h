// The second half of the small mesh: its databases, its troubles, and what is checked after each step.
#pragma once
#include "config/configuration_reader.h"
#include "sidecar/mesh_cluster.h"

namespace pebblespindle::test::mesh {

// --- databases ----------------------------------------------------------------

inline void Ship::open_app_connection(ConnId id) {
  auto c = std::make_shared<DatabaseConn>();
  c->serial = ++w.dialled;
  conns[id] = c;
  w.later(w.chance(0.05) ? 30 + w.pick(600) : 1 + w.pick(2), [this, &world = w, n = no, l = life, id, c] {
    if (world.lives[std::size_t(n)] != l || !conns.count(id)) return;
    set_time();
    if (world.database[std::size_t(n)].empty()) {
      conns.erase(id);
      return in.app_connection_down(id, true);
    }
    c->up = true;
    c->life = world.database[std::size_t(n)];
    in.app_connection_up(id);
  });
}

inline void Ship::close_app_connection(ConnId id) {
  auto it = conns.find(id);
  if (it == conns.end()) return;
  for (int r : it->second->runs) w.runs[std::size_t(r)].broken_off = true;
  conns.erase(it);
}

inline void Ship::lost(ConnId id) {
  if (!conns.count(id)) return;
  close_app_connection(id);
  set_time();
  in.app_connection_down(id, false);
}

inline void Ship::send_to_app(ConnId id, const Call& c) {
  auto conn = conns.at(id);
  // Another database that answers at its address turns it away: it has not come there.
  const std::string tried = *find_field(c.fields, kRequestIdField),
                    life_meant = *find_field(c.fields, kTargetInstanceField);
  Try& t = w.tries[tried];
  ASSERT_TRUE(t.whole) << tried << " is written before it was read whole";
  ASSERT_EQ(c.method + c.target + c.body, t.method + t.path + t.body) << "a changed request";
  ASSERT_EQ(count_fields(c.fields, kRequestIdField), 1u);
  ASSERT_FALSE(t.promised) << tried << " is written after the promise that it never will run";
  for (auto& x : t.writings)
    ASSERT_TRUE(t.safe || x.denied) << tried << " is written twice, and may have run before";
  w.elsewhere += !t.writings.empty() && t.writings.back().life != life_meant;
  w.repeated += !t.writings.empty() && t.writings.back().life == life_meant;
  t.writings.push_back({life_meant, conn->serial, false});
  std::set<std::string> where;
  for (auto& x : t.writings) where.insert(x.life);
  ASSERT_LE(where.size(), 2u) << tried << " comes to more databases than its route allows";
  conn->reader.request_sent(c.method == "HEAD");
  conn->carries = tried;
  const std::string bytes = serialize_request(c);
  // Half of it may be all that arrives.
  const std::size_t upto = w.chance(0.01) ? std::size_t(w.pick(int(bytes.size()))) : bytes.size();
  w.later(1, [this, &world = w, n = no, l = life, id, conn, part = bytes.substr(0, upto),
              half = upto < bytes.size()] {
    if (world.lives[std::size_t(n)] != l) return;
    std::size_t took = 0;
    if (conn->requests.feed(part, took) == HttpReader::State::kDone)
      world.arrive(*this, id, conn->requests.take());
    if (half) lost(id);
  });
}

// Empty bytes: the connection ends there.
inline void World::say(DatabaseConn& c, Millis after, const std::string& bytes) {
  Millis at = std::max(now + after, c.out.empty() ? 0 : c.out.back().first);
  if (bytes.size() > 1 && chance(0.3)) {
    std::size_t cut_at = 1 + std::size_t(pick(int(bytes.size() - 1)));
    c.out.emplace_back(at, bytes.substr(0, cut_at));
    c.out.emplace_back(at + pick(8), bytes.substr(cut_at));
  } else {
    c.out.emplace_back(at, bytes);
  }
}

inline void World::arrive(Ship& s, ConnId conn, const HttpMessage& m) {
  auto it = s.conns.find(conn);
  const std::string id = *find_field(m.fields, kRequestIdField), life = database[std::size_t(s.no)];
  Try& t = tries[id];
  if (it == s.conns.end()) {  // closed meanwhile: it may run all the same
    if (!life.empty() && *find_field(m.fields, kTargetInstanceField) == life && chance(0.4)) ++t.runs;
    return;
  }
  DatabaseConn& c = *it->second;
  if (c.life != life) return say(c, 0, "");  // of a life that has ended
  auto message = [](int status, const HttpFields& fields, const std::string& body, bool bodied) {
    return serialize_reply({status, body, fields}, false, !bodied);
  };
  const bool bodied = m.method != "HEAD";
  const HttpFields named{{kRequestIdField, id}};
  if (*find_field(m.fields, kTargetInstanceField) != life)
    return say(c, 1, message(421, chance(0.5) ? named : HttpFields{}, "", true));
  int trouble = chance(bad[std::size_t(s.no)]) ? 1 + pick(20) : 0;
  if (trouble == 1) return say(c, pick(3), "");
  if (trouble == 2 || trouble == 3) {
    HttpFields f = trouble == 2 ? named : HttpFields{};
    f.emplace_back(kNotExecutedField, "1");
    return say(c, 1 + pick(20), message(trouble == 2 ? 503 : 429, f, "", true));
  }
  ASSERT_EQ(life_service[life], t.service) << "it runs at another service";
  ++t.runs;
  const int run = int(runs.size());
  runs.push_back(
      {id, "run " + std::to_string(run) + std::string(std::size_t(pick(300)), char('a' + run % 26))});
  c.runs.push_back(run);
  HttpFields f = named;
  f.emplace_back("X-Run", std::to_string(run));
  if (trouble != 4) f.emplace_back(kResponseSealField, "seal");
  if (trouble == 5) std::erase_if(f, [](auto& x) { return x.first == kRequestIdField; });
  const std::string whole = message(trouble == 6 ? 500 : 200, f, bodied ? runs.back().body : "", bodied);
  const Millis takes = 2 + pick(15) + (chance(0.02) ? 200 : 0) + (trouble == 7 ? 350 : 0);
  if (trouble == 8) return;  // mute
  if (trouble == 9) return say(c, takes, "");
  if (trouble == 10) say(c, 1, "HTTP/1.1 100 Continue\r\n\r\n");
  if (trouble == 11 && !c.before.empty())  // one answer too many, of one before
    say(c, 1, message(200, {{kRequestIdField, c.before.back()}, {kResponseSealField, "x"}}, "late", true));
  if (trouble == 12) {
    say(c, takes, whole.substr(0, std::size_t(pick(int(whole.size())))));
    return say(c, pick(20), "");
  }
  if (trouble == 13) return say(c, takes, "\x01\x02 no answer\r\n\r\n");
  if (trouble == 14)
    return say(c, takes,
               "HTTP/1.1 000 OK\r\nX-Pebblespindle-Response-Seal: s\r\n" + std::string(kRequestIdField) +
                   ": " + id + "\r\nContent-Length: 0\r\n\r\n");
  say(c, takes, whole);
  if (trouble == 15) say(c, pick(2) * pick(30), whole);  // twice
  if (trouble == 16) say(c, pick(30), whole.substr(0, whole.size() / 2));
  if (trouble == 17) say(c, pick(30), message(200, {{kResponseSealField, "x"}}, "of nobody", true));
  if (trouble == 18) say(c, pick(30), "");
  if (trouble == 19) say(c, 0, "excess");
  c.before.push_back(id);
}

inline void World::move_database(Ship& s) {
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
        s.lost(id);
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
        const bool no = a.reply.status == 421 || find_field(a.reply.fields, kNotExecutedField);
        if (no && (of ? tries.count(*of) : !c->carries.empty())) {
          auto& list = tries[of ? *of : c->carries].writings;
          for (auto& x : list) x.denied = x.denied || x.conn == c->serial;
        }
        s.in.app_reply_received(id, std::move(a.reply), a.keep_alive_ms);
      }
      if (!fine && s.conns.count(id)) s.lost(id);
    }
  }
}

// --- troubles -------------------------------------------------------------------

inline void World::new_database(int i, const std::string& of_service) {
  auto& d = database[std::size_t(i)];
  ++number;
  if (!d.empty()) rows.push_back({instance_key({d}), "", number, true});
  d = "db" + std::to_string(++born);
  service[std::size_t(i)] = of_service;
  life_service[d] = of_service;
  Instance in{{d}, of_service, "z" + std::to_string(i % 2), where(i), kDatabaseSlots, false, false, 1};
  rows.push_back({instance_key(in.id), encode_instance(in), number, false});
  for (int n = 0; n < kShips; ++n)
    later(1 + pick(60), [this, n] {
      if (auto& s = ships[std::size_t(n)]) s->cluster.apply(number, rows);
    });
}

inline void World::tell(int i) {
  auto& s = ships[std::size_t(i)];
  if (!s || database[std::size_t(i)].empty()) return;
  s->set_time();
  s->in.set_database(Instance{{database[std::size_t(i)]},
                              service[std::size_t(i)],
                              "z" + std::to_string(i % 2),
                              where(i),
                              kDatabaseSlots,
                              false,
                              false,
                              1});
}

// A process is killed; another starts at its address a moment later, perhaps for another database.
inline void World::kill(int i) {
  auto& s = ships[std::size_t(i)];
  if (!s) return;
  for (auto& c : s->clients)
    for (auto& id : c->asked) tries[id].gone = true;
  for (auto& [id, c] : s->conns)
    for (int r : c->runs) runs[std::size_t(r)].broken_off = true;
  ++lives[std::size_t(i)];
  for (auto list = links; auto& l : list) {
    if (l->from == i) {
      l->out_open = false;
      if (l->in_open) later(pick(60), [this, l] { end_in(l); });
    } else if (l->to == i && l->up) {
      l->in_open = false;
      l->ahead.clear();
      later(pick(60), [this, l] { end_out(l); });
    }
  }
  s.reset();
  const bool moved = chance(0.4);
  if (moved) new_database(i, chance(0.5) ? "s" : "t");
  later(5 + pick(50), [this, i] {
    ships[std::size_t(i)] = std::make_unique<Ship>(*this, i);
    later(pick(20), [this, i] { tell(i); });
  });
}

inline void World::trouble() {
  if (chance(0.02))
    for (auto& b : bad) b = chance(0.4) ? 0.6 : 0.02;
  if (chance(0.006)) cuts.clear();
  if (chance(0.004)) cuts.insert({pick(2), 2 + pick(2)});
  if (chance(0.004) && !links.empty()) reset(links[std::size_t(pick(int(links.size())))]);
  if (chance(0.003)) kill(pick(kShips));
  const int i = pick(kShips);
  auto& s = ships[std::size_t(i)];
  if (s && chance(0.003)) {  // its database starts anew; the sidecar hears of it later
    auto conns = s->conns;
    new_database(i, service[std::size_t(i)]);
    for (auto& [id, c] : conns)
      if (chance(0.6)) s->lost(id);  // the others: whatever is sent next over them is reset
    later(pick(40), [this, i] { tell(i); });
  }
  if (s && chance(0.003)) {  // idle connections are closed just now
    auto conns = s->conns;
    for (auto& [id, c] : conns)
      if (c->runs.empty()) say(*c, pick(3), "");
  }
  if (s && chance(0.001)) {  // it is asked to end, and ends
    s->leaving = true;
    for (auto& c : s->clients) c->line.drain();
    later(kRouteMs, [this, i, l = s->life] {
      if (lives[std::size_t(i)] == l) kill(i);
    });
  }
}

// --- steps ----------------------------------------------------------------------

inline World::World(std::uint32_t seed) : rng(seed) {
  Json c{{"Revision", 1}, {"Services", {{{"Name", "s"}}, {{"Name", "t"}}}}, {"Routes", Json::array()}};
  for (const char* service_name : {"s", "t"})
    for (bool safe : {true, false})
      c["Routes"].push_back({{"Name", std::string(service_name) + (safe ? "safe" : "once")},
                             {"Hostname", "h"},
                             {"PathPrefix", std::string("/") + service_name + (safe ? "/safe/" : "/once/")},
                             {"RouteType", safe ? "idempotent" : "non_idempotent"},
                             {"TimeoutMs", kRouteMs},
                             {"TargetLatencyMs", 80},
                             {"MaxAttempts", 2},
                             {"TargetService", service_name}});
  for (auto& [key, value] : encode_configuration(*read_configuration(c.dump())))
    rows.push_back({key, value, 1, false});
  for (int i = 0; i < kShips; ++i) new_database(i, i % 2 ? "s" : "t");
  for (int i = 0; i < kShips; ++i) {
    ships[std::size_t(i)] = std::make_unique<Ship>(*this, i);
    tell(i);
  }
}

inline void World::step() {
  ++now;
  while (!events.empty() && events.begin()->first <= now) events.extract(events.begin()).mapped()();
  for (auto& s : ships) {
    if (!s) continue;
    s->set_time();
    s->timers.run(now);
    move_clients(*s);
    move_database(*s);
  }
  move_links();
  check();
}

inline void World::check() {
  for (auto& [id, t] : tries) {
    ASSERT_LE(t.answers, 1) << id << " is answered twice";
    ASSERT_TRUE(t.safe || t.runs <= 1) << id << " runs twice";
    ASSERT_FALSE(t.promised && t.runs > 0) << id << " runs, though it was promised not to";
    ASSERT_TRUE(t.answers || t.gone || t.promised || now < t.began + 3 * kRouteMs) << id << " has no answer";
  }
  std::erase_if(tries, [&](auto& e) { return now > e.second.began + 6 * kRouteMs; });
}

}  // namespace pebblespindle::test::mesh
