// The databases of the simulated mesh, the faults that are injected, and the invariants checked after each
// step.
#pragma once
#include "config/configuration_reader.h"
#include "sidecar/mesh_cluster.h"

namespace pebblespindle::test::mesh {

// --- databases ----------------------------------------------------------------

inline void Node::open_app_connection(ConnId id) {
  auto conn = std::make_shared<DatabaseConn>();
  conn->serial = ++w.connections_opened;
  conns[id] = conn;
  w.schedule(
      w.chance(0.05) ? 30 + w.pick(600) : 1 + w.pick(2),
      [this, &simulation = w, node_index = index, expected_incarnation = incarnation, id, conn] {
        if (simulation.incarnations[std::size_t(node_index)] != expected_incarnation || !conns.count(id))
          return;
        set_time();
        if (simulation.database[std::size_t(node_index)].empty()) {
          conns.erase(id);
          return in.app_connection_down(id, true);
        }
        conn->up = true;
        conn->database = simulation.database[std::size_t(node_index)];
        in.app_connection_up(id);
      });
}

inline void Node::close_app_connection(ConnId id) {
  auto it = conns.find(id);
  if (it == conns.end()) return;
  for (int run : it->second->runs) w.runs[std::size_t(run)].aborted = true;
  conns.erase(it);
}

inline void Node::connection_lost(ConnId id) {
  if (!conns.count(id)) return;
  close_app_connection(id);
  set_time();
  in.app_connection_down(id, false);
}

inline void Node::send_to_app(ConnId id, const Call& call) {
  auto conn = conns.at(id);
  // A request that reaches another database process at the same address is rejected with 421 there, so the
  // intended database counts.
  const std::string request_id = *find_field(call.fields, kRequestIdField),
                    target_database = *find_field(call.fields, kTargetInstanceField);
  ClientRequest& request = w.requests[request_id];
  ASSERT_TRUE(request.whole) << request_id << " is sent before it was read completely";
  ASSERT_EQ(call.method + call.target + call.body, request.method + request.path + request.body)
      << "the request was changed on the way";
  ASSERT_EQ(count_fields(call.fields, kRequestIdField), 1u);
  ASSERT_FALSE(request.promised_not_run) << request_id << " is sent after it was reported as not run";
  for (auto& delivery : request.deliveries)
    ASSERT_TRUE(request.idempotent || delivery.reported_not_run)
        << request_id << " is sent twice, and may have run before";
  w.second_databases += !request.deliveries.empty() && request.deliveries.back().database != target_database;
  w.resent += !request.deliveries.empty() && request.deliveries.back().database == target_database;
  request.deliveries.push_back({target_database, conn->serial, false});
  std::set<std::string> databases;
  for (auto& delivery : request.deliveries) databases.insert(delivery.database);
  ASSERT_LE(databases.size(), 2u) << request_id << " reaches more databases than its route allows";
  conn->reader.request_sent(call.method == "HEAD");
  conn->current_request = request_id;
  const std::string bytes = serialize_request(call);
  // Sometimes the connection ends after part of the request.
  const std::size_t sent_bytes = w.chance(0.01) ? std::size_t(w.pick(int(bytes.size()))) : bytes.size();
  w.schedule(1, [this, &simulation = w, node_index = index, expected_incarnation = incarnation, id, conn,
                 sent = bytes.substr(0, sent_bytes), truncated = sent_bytes < bytes.size()] {
    if (simulation.incarnations[std::size_t(node_index)] != expected_incarnation) return;
    std::size_t consumed = 0;
    if (conn->requests.feed(sent, consumed) == HttpReader::State::kDone)
      simulation.execute_request(*this, id, conn->requests.take());
    if (truncated) connection_lost(id);
  });
}

// Empty bytes end the connection.
inline void MeshSimulation::queue_bytes(DatabaseConn& conn, Millis delay_ms, const std::string& bytes) {
  Millis send_at = std::max(now + delay_ms, conn.out.empty() ? 0 : conn.out.back().first);
  if (bytes.size() > 1 && chance(0.3)) {
    std::size_t cut_at = 1 + std::size_t(pick(int(bytes.size() - 1)));
    conn.out.emplace_back(send_at, bytes.substr(0, cut_at));
    conn.out.emplace_back(send_at + pick(8), bytes.substr(cut_at));
  } else {
    conn.out.emplace_back(send_at, bytes);
  }
}

inline void MeshSimulation::execute_request(Node& node, ConnId conn_id, const HttpMessage& received) {
  auto it = node.conns.find(conn_id);
  const std::string id = *find_field(received.fields, kRequestIdField),
                    current_database = database[std::size_t(node.index)];
  ClientRequest& request = requests[id];
  if (it == node.conns.end()) {  // the connection was closed meanwhile, but the request may still run
    if (!current_database.empty() && *find_field(received.fields, kTargetInstanceField) == current_database &&
        chance(0.4))
      ++request.runs;
    return;
  }
  DatabaseConn& conn = *it->second;
  if (conn.database != current_database)
    return queue_bytes(conn, 0, "");  // opened to an earlier database process
  auto make_response = [](int status, const HttpFields& fields, const std::string& body, bool has_body) {
    return serialize_reply({status, body, fields}, false, !has_body);
  };
  const bool has_body = received.method != "HEAD";
  const HttpFields id_field{{kRequestIdField, id}};
  if (*find_field(received.fields, kTargetInstanceField) != current_database)
    return queue_bytes(conn, 1, make_response(421, chance(0.5) ? id_field : HttpFields{}, "", true));
  int fault = chance(failure_rates[std::size_t(node.index)]) ? 1 + pick(20) : 0;
  if (fault == 1) return queue_bytes(conn, pick(3), "");
  if (fault == 2 || fault == 3) {
    HttpFields response_fields = fault == 2 ? id_field : HttpFields{};
    response_fields.emplace_back(kNotExecutedField, "1");
    return queue_bytes(conn, 1 + pick(20), make_response(fault == 2 ? 503 : 429, response_fields, "", true));
  }
  ASSERT_EQ(service_of_database[current_database], request.service) << "the request runs in another service";
  ++request.runs;
  const int run = int(runs.size());
  runs.push_back(
      {id, "run " + std::to_string(run) + std::string(std::size_t(pick(300)), char('a' + run % 26))});
  conn.runs.push_back(run);
  HttpFields response_fields = id_field;
  response_fields.emplace_back("X-Run", std::to_string(run));
  if (fault != 4) response_fields.emplace_back(kResponseSealField, "seal");
  if (fault == 5) std::erase_if(response_fields, [](auto& field) { return field.first == kRequestIdField; });
  const std::string response =
      make_response(fault == 6 ? 500 : 200, response_fields, has_body ? runs.back().body : "", has_body);
  const Millis duration_ms = 2 + pick(15) + (chance(0.02) ? 200 : 0) + (fault == 7 ? 350 : 0);
  if (fault == 8) return;  // no response
  if (fault == 9) return queue_bytes(conn, duration_ms, "");
  if (fault == 10) queue_bytes(conn, 1, "HTTP/1.1 100 Continue\r\n\r\n");
  if (fault == 11 && !conn.before.empty())  // a second response to an earlier request
    queue_bytes(
        conn, 1,
        make_response(200, {{kRequestIdField, conn.before.back()}, {kResponseSealField, "x"}}, "late", true));
  if (fault == 12) {
    queue_bytes(conn, duration_ms, response.substr(0, std::size_t(pick(int(response.size())))));
    return queue_bytes(conn, pick(20), "");
  }
  if (fault == 13) return queue_bytes(conn, duration_ms, "\x01\x02 no answer\r\n\r\n");
  if (fault == 14)
    return queue_bytes(conn, duration_ms,
                       "HTTP/1.1 000 OK\r\nX-Pebblespindle-Response-Seal: s\r\n" +
                           std::string(kRequestIdField) + ": " + id + "\r\nContent-Length: 0\r\n\r\n");
  queue_bytes(conn, duration_ms, response);
  if (fault == 15) queue_bytes(conn, pick(2) * pick(30), response);  // twice
  if (fault == 16) queue_bytes(conn, pick(30), response.substr(0, response.size() / 2));
  if (fault == 17)
    queue_bytes(conn, pick(30), make_response(200, {{kResponseSealField, "x"}}, "of nobody", true));
  if (fault == 18) queue_bytes(conn, pick(30), "");
  if (fault == 19) queue_bytes(conn, 0, "excess");
  conn.before.push_back(id);
}

inline void MeshSimulation::deliver_responses(Node& node) {
  std::vector<ConnId> ids;
  for (auto& [id, conn] : node.conns)
    if (!conn->out.empty() && conn->out.front().first <= now) ids.push_back(id);
  for (auto id : ids) {
    while (node.conns.count(id)) {
      auto conn = node.conns[id];
      if (conn->out.empty() || conn->out.front().first > now) break;
      std::string bytes = std::move(conn->out.front().second);
      conn->out.pop_front();
      if (bytes.empty()) {
        node.connection_lost(id);
        break;
      }
      node.set_time();
      node.in.app_bytes_received(id);
      if (!node.conns.count(id)) break;
      std::vector<AppResponseReader::Response> responses;
      bool parsed = conn->reader.feed(bytes, responses);
      for (auto& response : responses) {
        if (!node.conns.count(id)) break;
        auto* request_id = find_field(response.reply.fields, kRequestIdField);
        if (auto* run = find_field(response.reply.fields, "X-Run")) std::erase(conn->runs, std::stoi(*run));
        const bool not_run =
            response.reply.status == 421 || find_field(response.reply.fields, kNotExecutedField);
        if (not_run && (request_id ? requests.count(*request_id) : !conn->current_request.empty())) {
          auto& deliveries = requests[request_id ? *request_id : conn->current_request].deliveries;
          for (auto& delivery : deliveries)
            delivery.reported_not_run = delivery.reported_not_run || delivery.conn == conn->serial;
        }
        node.in.app_reply_received(id, std::move(response.reply), response.keep_alive_ms);
      }
      if (!parsed && node.conns.count(id)) node.connection_lost(id);
    }
  }
}

// --- faults -------------------------------------------------------------------

inline void MeshSimulation::start_database(int node_index, const std::string& service_name) {
  auto& database_id = database[std::size_t(node_index)];
  ++number;
  if (!database_id.empty()) rows.push_back({instance_key({database_id}), "", number, true});
  database_id = "db" + std::to_string(++databases_started);
  service[std::size_t(node_index)] = service_name;
  service_of_database[database_id] = service_name;
  Instance instance{{database_id},
                    service_name,
                    "z" + std::to_string(node_index % 2),
                    address_of(node_index),
                    kDatabaseSlots,
                    false,
                    false,
                    1};
  rows.push_back({instance_key(instance.id), encode_instance(instance), number, false});
  for (int target_index = 0; target_index < kNodes; ++target_index)
    schedule(1 + pick(60), [this, target_index] {
      if (auto& node = nodes[std::size_t(target_index)]) node->cluster.apply(number, rows);
    });
}

inline void MeshSimulation::register_database(int node_index) {
  auto& node = nodes[std::size_t(node_index)];
  if (!node || database[std::size_t(node_index)].empty()) return;
  node->set_time();
  node->in.set_database(Instance{{database[std::size_t(node_index)]},
                                 service[std::size_t(node_index)],
                                 "z" + std::to_string(node_index % 2),
                                 address_of(node_index),
                                 kDatabaseSlots,
                                 false,
                                 false,
                                 1});
}

// Kills a sidecar. Another starts at its address a moment later, perhaps with another database.
inline void MeshSimulation::kill(int node_index) {
  auto& node = nodes[std::size_t(node_index)];
  if (!node) return;
  for (auto& client : node->clients)
    for (auto& id : client->asked) requests[id].gone = true;
  for (auto& [id, conn] : node->conns)
    for (int run : conn->runs) runs[std::size_t(run)].aborted = true;
  ++incarnations[std::size_t(node_index)];
  for (auto current_links = links; auto& link : current_links) {
    if (link->from == node_index) {
      link->out_open = false;
      if (link->in_open) schedule(pick(60), [this, link] { close_incoming(link); });
    } else if (link->to == node_index && link->up) {
      link->in_open = false;
      link->to_peer.clear();
      schedule(pick(60), [this, link] { close_outgoing(link); });
    }
  }
  node.reset();
  const bool new_database = chance(0.4);
  if (new_database) start_database(node_index, chance(0.5) ? "s" : "t");
  schedule(5 + pick(50), [this, node_index] {
    nodes[std::size_t(node_index)] = std::make_unique<Node>(*this, node_index);
    schedule(pick(20), [this, node_index] { register_database(node_index); });
  });
}

inline void MeshSimulation::inject_fault() {
  if (chance(0.02))
    for (auto& rate : failure_rates) rate = chance(0.4) ? 0.6 : 0.02;
  if (chance(0.006)) partitions.clear();
  if (chance(0.004)) partitions.insert({pick(2), 2 + pick(2)});
  if (chance(0.004) && !links.empty()) reset(links[std::size_t(pick(int(links.size())))]);
  if (chance(0.003)) kill(pick(kNodes));
  const int node_index = pick(kNodes);
  auto& node = nodes[std::size_t(node_index)];
  if (node && chance(0.003)) {  // the database restarts; the sidecar learns of it later
    auto conns = node->conns;
    start_database(node_index, service[std::size_t(node_index)]);
    for (auto& [id, conn] : conns)
      if (chance(0.6)) node->connection_lost(id);  // the other connections are reset once they are used
    schedule(pick(40), [this, node_index] { register_database(node_index); });
  }
  if (node && chance(0.003)) {  // the database closes idle connections
    auto conns = node->conns;
    for (auto& [id, conn] : conns)
      if (conn->runs.empty()) queue_bytes(*conn, pick(3), "");
  }
  if (node && chance(0.001)) {  // the sidecar shuts down gracefully
    node->leaving = true;
    for (auto& client : node->clients) client->line.drain();
    schedule(kRouteMs, [this, node_index, expected_incarnation = node->incarnation] {
      if (incarnations[std::size_t(node_index)] == expected_incarnation) kill(node_index);
    });
  }
}

// --- steps ----------------------------------------------------------------------

inline MeshSimulation::MeshSimulation(std::uint32_t seed) : rng(seed) {
  Json configuration{
      {"Revision", 1}, {"Services", {{{"Name", "s"}}, {{"Name", "t"}}}}, {"Routes", Json::array()}};
  for (const char* service_name : {"s", "t"})
    for (bool idempotent : {true, false})
      configuration["Routes"].push_back(
          {{"Name", std::string(service_name) + (idempotent ? "safe" : "once")},
           {"Hostname", "h"},
           {"PathPrefix", std::string("/") + service_name + (idempotent ? "/safe/" : "/once/")},
           {"RouteType", idempotent ? "idempotent" : "non_idempotent"},
           {"TimeoutMs", kRouteMs},
           {"TargetLatencyMs", 80},
           {"MaxAttempts", 2},
           {"TargetService", service_name}});
  for (auto& [key, value] : encode_configuration(*read_configuration(configuration.dump())))
    rows.push_back({key, value, 1, false});
  for (int node_index = 0; node_index < kNodes; ++node_index)
    start_database(node_index, node_index % 2 ? "s" : "t");
  for (int node_index = 0; node_index < kNodes; ++node_index) {
    nodes[std::size_t(node_index)] = std::make_unique<Node>(*this, node_index);
    register_database(node_index);
  }
}

inline void MeshSimulation::step() {
  ++now;
  while (!events.empty() && events.begin()->first <= now) events.extract(events.begin()).mapped()();
  for (auto& node : nodes) {
    if (!node) continue;
    node->set_time();
    node->timers.run(now);
    deliver_client_bytes(*node);
    deliver_responses(*node);
  }
  deliver_frames();
  check_invariants();
}

inline void MeshSimulation::check_invariants() {
  for (auto& [id, request] : requests) {
    ASSERT_LE(request.answers, 1) << id << " is answered twice";
    ASSERT_TRUE(request.idempotent || request.runs <= 1) << id << " runs twice";
    ASSERT_FALSE(request.promised_not_run && request.runs > 0)
        << id << " runs, though it was reported as not run";
    ASSERT_TRUE(request.answers || request.gone || request.promised_not_run ||
                now < request.started_at + 3 * kRouteMs)
        << id << " has no response";
  }
  std::erase_if(requests, [&](auto& entry) { return now > entry.second.started_at + 6 * kRouteMs; });
}

}  // namespace pebblespindle::test::mesh
