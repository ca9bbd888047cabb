// Simulates a small mesh in steps of a millisecond: clients that pipeline requests, both halves of every
// sidecar, the links between them with connects, stalls and resets, and databases that fail, send responses
// twice, do not respond, or restart. Inbound, Outbound, Pipeline and all parsers are the real code; only
// sockets are simulated.
#pragma once
#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <memory>

#include "config/command_validation.h"
#include "sidecar/app_response_reader.h"
#include "sidecar/frame.h"
#include "sidecar/inbound.h"
#include "sidecar/outbound.h"
#include "sidecar/pipeline.h"

namespace pebblespindle::test::mesh {

using namespace sidecar;

constexpr int kNodes = 4, kDatabaseSlots = 2;
constexpr Millis kRouteMs = 300, kStallMs = 120;

struct Delivery {  // a request that was sent to a database
  std::string database;
  int conn = 0;
  bool reported_not_run = false;  // the sidecar has read the database's statement that it has not run
};

struct ClientRequest {
  bool idempotent = false, head = false, whole = false;  // whole: the client has sent its last byte
  std::string service, method, path, body;
  std::vector<Delivery> deliveries;
  int runs = 0, answers = 0, status = 0;
  bool promised_not_run = false;  // the client may assume that it has not run and will not
  bool gone = false;              // its client has disconnected or its sidecar was killed
  int node = 0;
  Millis started_at = 0;
};

struct Execution {
  std::string id, body;
  bool aborted = false;  // its connection ended before its response was read
};

struct MeshSimulation;

struct Chunk {  // bytes that a client sends
  Millis at;
  std::string bytes, whole;  // `whole`: id of the request that these bytes complete
};

struct ClientConn {
  explicit ClientConn(const Limits& limits) : line(limits) {}
  Pipeline line;
  HttpReader answers{HttpReader::Kind::kResponses, 1 << 16, 1 << 20};
  std::deque<std::string> asked;  // ids of requests without a response, in order
  std::deque<Chunk> in;
  bool closed = false;
};

struct Link {  // one sidecar's link to another
  int from = 0, to = 0;
  Endpoint at;
  std::uint64_t to_incarnation = 0;
  LinkId id = 0;  // at the far end
  bool up = false, out_open = true, in_open = false;
  std::vector<std::pair<std::uint64_t, std::string>> held;
  std::deque<std::pair<Millis, std::string>> to_peer, back;
};

struct DatabaseConn {
  int serial = 0;
  std::string database;
  bool up = false;
  AppResponseReader reader;                                            // the sidecar's side
  HttpReader requests{HttpReader::Kind::kRequests, 1 << 16, 1 << 20};  // the database's side
  std::vector<std::string> before;                                     // ids of earlier requests on it
  std::string current_request;                                         // id of the request sent last
  std::vector<int> runs;                           // executions without a complete response
  std::deque<std::pair<Millis, std::string>> out;  // to the sidecar; empty: the connection ends
};

struct Node : OutboundPort, InboundPort {
  MeshSimulation& w;
  int index;
  std::uint64_t incarnation;
  TimerQueue timers;
  ClusterState cluster;
  Outbound out;
  Inbound in;
  std::map<CallId, std::shared_ptr<ClientConn>> calls;
  std::vector<std::shared_ptr<ClientConn>> clients;
  std::map<Endpoint, std::shared_ptr<Link>> links;
  std::map<ConnId, std::shared_ptr<DatabaseConn>> conns;
  CallId last_call = 0;
  LinkId last_link = 0;
  std::uint64_t number = 0;
  bool leaving = false;

  Node(MeshSimulation& world, int node);
  void set_time();
  void answer(CallId id, Reply response) override;
  void offer(const Endpoint& to, const Json& frame) override;
  bool is_linked(const Endpoint& to) override;
  void connect(const Endpoint& to) override;
  bool withdraw(const Endpoint& to, std::uint64_t offer_number) override;
  void reply(LinkId link, const Json& frame) override;
  void open_app_connection(ConnId id) override;
  void send_to_app(ConnId id, const Call& call) override;
  void close_app_connection(ConnId id) override;
  void connection_lost(ConnId id);  // the database has closed the connection
  void client_bytes(const std::shared_ptr<ClientConn>& client, std::string_view bytes);
  void to_client(const std::shared_ptr<ClientConn>& client, const std::string& bytes);
  void close_client(const std::shared_ptr<ClientConn>& client);
};

struct MeshSimulation {
  explicit MeshSimulation(std::uint32_t seed);
  std::mt19937 rng;
  Millis now = 1000;
  std::multimap<Millis, std::function<void()>> events;
  std::array<std::unique_ptr<Node>, kNodes> nodes;
  std::array<std::uint64_t, kNodes> incarnations{};
  std::array<std::string, kNodes> database, service;  // id of the database there now; empty: none
  std::array<double, kNodes> failure_rates{};
  std::set<std::pair<int, int>> partitions;
  std::vector<std::shared_ptr<Link>> links;
  std::map<std::string, ClientRequest> requests;
  std::vector<Execution> runs;
  std::map<std::string, std::string> service_of_database;
  std::vector<Row> rows;
  std::uint64_t number = 1;
  int asked = 0, databases_started = 0, connections_opened = 0, served = 0, refused = 0, unknown = 0,
      second_databases = 0, withdrawn_offers = 0, resent = 0;

  static Endpoint address_of(int node) { return {"10.0.0." + std::to_string(node + 1), 7002}; }
  static int node_at(const Endpoint& endpoint) { return std::stoi(endpoint.host.substr(7)) - 1; }
  int pick(int count) { return int(rng() % std::uint32_t(count)); }
  bool chance(double probability) { return double(rng()) < probability * 4294967296.0; }
  void schedule(Millis ms, std::function<void()> event) { events.emplace(now + ms, std::move(event)); }
  bool is_partitioned(int a, int b) const { return partitions.count({std::min(a, b), std::max(a, b)}) > 0; }

  // --- faults ---------------------------------------------------------------
  void start_database(int node, const std::string& of_service);
  void register_database(int node);  // a heartbeat reaches the sidecar
  void kill(int node);
  void reset(const std::shared_ptr<Link>& link);
  void inject_fault();

  // --- steps ------------------------------------------------------------------
  void send_request(int node);
  void deliver_client_bytes(Node& node);
  void deliver_frames();
  void deliver_responses(Node& node);
  void execute_request(Node& node, ConnId conn, const HttpMessage& request);
  void queue_bytes(DatabaseConn& conn, Millis after, const std::string& bytes);
  void finish_connect(const std::shared_ptr<Link>& link);
  void close_outgoing(const std::shared_ptr<Link>& link);
  void close_incoming(const std::shared_ptr<Link>& link);
  void step();
  void check_invariants();
};

inline void Node::set_time() {
  out.set_time(w.now);
  in.set_time(w.now);
}

inline Node::Node(MeshSimulation& world, int node)
    : w(world),
      index(node),
      incarnation(world.incarnations[std::size_t(node)]),
      out(*this, timers, cluster,
          {"z" + std::to_string(node % 2), "caller", 0.5, 20.0, 10000, std::uint32_t(world.rng())}),
      in(*this, timers) {
  cluster.apply(w.number, w.rows);
  set_time();
  out.set_node_count(kNodes);
  out.set_state_current(true);
}

// --- clients ------------------------------------------------------------------

inline void Node::client_bytes(const std::shared_ptr<ClientConn>& client, std::string_view bytes) {
  std::string written;
  set_time();
  auto read_calls = client->line.read(bytes, last_call, written);
  for (auto& call : read_calls) calls[call.id] = client;
  to_client(client, written);
  for (auto& call : read_calls)
    if (calls.count(call.id)) out.start_call(call.id, std::move(call.call));
}

inline void Node::answer(CallId id, Reply response) {
  auto it = calls.find(id);
  if (it == calls.end()) return;
  auto client = it->second;
  calls.erase(it);
  to_client(client, client->line.answer(id, std::move(response)));
}

// The client reads its responses: they have to come in the order of its requests.
inline void Node::to_client(const std::shared_ptr<ClientConn>& client, const std::string& written) {
  std::string_view bytes = written;
  while (!bytes.empty() && !client->closed) {
    ASSERT_FALSE(client->asked.empty()) << "a response without a request";
    const std::string id = client->asked.front();
    ClientRequest& request = w.requests[id];
    client->answers.no_body(request.head);
    std::size_t consumed = 0;
    ASSERT_EQ(int(client->answers.feed(bytes, consumed)), int(HttpReader::State::kDone))
        << "an incomplete response";
    bytes.remove_prefix(consumed);
    HttpMessage response = client->answers.take();
    client->asked.pop_front();
    ++request.answers;
    request.status = response.status;
    auto* response_id = find_field(response.fields, kRequestIdField);
    ASSERT_TRUE(!response_id || *response_id == id) << "the response to another request";
    if (auto* run = find_field(response.fields, "X-Run")) {
      const Execution& execution = w.runs[std::size_t(std::stoi(*run))];
      ASSERT_EQ(execution.id, id) << "the response to another request";
      ASSERT_EQ(request.head ? "" : execution.body, response.body)
          << "the body contains parts of another response";
      ASSERT_FALSE(execution.aborted) << "a response from a database connection that had closed";
    } else {
      ASSERT_TRUE(response.body.empty()) << "a body that no database sent";
      ASSERT_GE(response.status, 400);
    }
    ASSERT_TRUE(response.status != 200 || find_field(response.fields, kResponseSealField));
    for (int refusal_status : {408, 421, 429, 503})
      request.promised_not_run = request.promised_not_run || response.status == refusal_status;
    for (auto& delivery : request.deliveries)
      ASSERT_TRUE(delivery.reported_not_run || !request.promised_not_run)
          << id << " was reported as not run, but was sent to a database";
    ++(response.status == 200 ? w.served : response.status == 503 ? w.refused : w.unknown);
    if (response.keep_alive) continue;
    client->closed = true;
    ASSERT_TRUE(bytes.empty()) << "bytes follow a response that closes the connection";
    // Requests after a response that closes the connection count as not read: clients send them again,
    // idempotent or not.
    for (auto& unread_id : client->asked) w.requests[unread_id].promised_not_run = true;
  }
  if (client->line.is_finished()) client->closed = true;
}

inline void Node::close_client(const std::shared_ptr<ClientConn>& client) {
  client->closed = true;
  for (auto& id : client->asked) w.requests[id].gone = true;
  set_time();
  for (auto id : client->line.unanswered())
    if (calls.erase(id)) out.client_gone(id);
}

inline void MeshSimulation::send_request(int node_index) {
  Node& node = *nodes[std::size_t(node_index)];
  std::shared_ptr<ClientConn> client;
  for (auto& candidate : node.clients)
    if (!candidate->closed && candidate->asked.size() < 3 && (candidate->asked.empty() || chance(0.5)))
      client = candidate;
  if (!client) {
    if (node.leaving || node.clients.size() >= 4) return;
    client = node.clients.emplace_back(std::make_shared<ClientConn>(Limits{}));
  }
  const std::string id = "q" + std::to_string(++asked);
  ClientRequest& request = requests[id];
  request.idempotent = chance(0.5);
  request.service = chance(0.5) ? "s" : "t";
  request.head = request.idempotent && chance(0.08);
  request.method = request.head ? "HEAD" : request.idempotent ? "GET" : "POST";
  request.path = "/" + request.service + (request.idempotent ? "/safe/" : "/once/") + id;
  if (!request.idempotent) request.body = "body of " + id + std::string(std::size_t(pick(200)), 'b');
  request.node = node_index;
  request.started_at = now;
  std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\nHost: h\r\n" + kRequestIdField +
                      ": " + id + "\r\n" + kDeadlineField + ": " + std::to_string(60 + pick(400)) + "\r\n";
  if (chance(0.02)) bytes += "Connection: close\r\n";
  if (request.body.empty()) {
    bytes += "\r\n";
  } else if (chance(0.5)) {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  } else {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", request.body.size());
    bytes += "Transfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" + request.body +
             "\r\n0\r\nX-Pebblespindle-Request-Id: forged\r\n\r\n";
  }
  client->asked.push_back(id);
  Millis sent_at = client->in.empty() ? now : client->in.back().at;
  while (!bytes.empty()) {
    std::size_t chunk_size = chance(0.7) ? bytes.size() : 1 + std::size_t(pick(int(bytes.size())));
    client->in.push_back(
        {sent_at += pick(2), bytes.substr(0, chunk_size), chunk_size == bytes.size() ? id : ""});
    bytes.erase(0, chunk_size);
    if (!bytes.empty() && chance(0.05)) sent_at += 60;
  }
}

inline void MeshSimulation::deliver_client_bytes(Node& node) {
  auto clients = node.clients;
  for (auto& client : clients) {
    while (!client->closed && !client->in.empty() && client->in.front().at <= now) {
      Chunk chunk = std::move(client->in.front());
      client->in.pop_front();
      if (!chunk.whole.empty()) requests[chunk.whole].whole = true;
      node.client_bytes(client, chunk.bytes);
    }
    if (!client->closed && chance(0.0015)) node.close_client(client);
  }
  std::erase_if(node.clients, [](auto& client) { return client->closed; });
}

// --- links --------------------------------------------------------------------

inline void Node::offer(const Endpoint& to, const Json& frame) {
  const int peer = MeshSimulation::node_at(to);
  if (peer == index) {  // the inbound half of this node
    auto started_incarnation = incarnation;
    w.schedule(0, [this, &world = w, node = index, started_incarnation, bytes = encode_frame(frame)] {
      if (world.incarnations[std::size_t(node)] != started_incarnation) return;
      set_time();
      auto received = decode_frame(bytes);
      text_field(*received, "t") == "q" ? in.offer(0, *received)
                                        : in.cancel(0, sidecar::unsigned_field(*received, "n"));
    });
    return;
  }
  connect(to);
  auto& link = links[to];
  if (!link->up)
    link->held.emplace_back(sidecar::unsigned_field(frame, "n"), encode_frame(frame));
  else
    link->to_peer.emplace_back(w.now + 1 + w.pick(2), encode_frame(frame));
}

inline bool Node::is_linked(const Endpoint& to) {
  const auto it = links.find(to);
  return MeshSimulation::node_at(to) == index || (it != links.end() && it->second->up);
}

inline void Node::connect(const Endpoint& to) {
  auto& link = links[to];
  if (link) return;
  link = std::make_shared<Link>();
  link->from = index;
  link->to = MeshSimulation::node_at(to);
  link->at = to;
  w.links.push_back(link);
  w.schedule(w.is_partitioned(index, link->to) || w.chance(0.1) ? 40 + w.pick(80) : 1 + w.pick(3),
             [&world = w, connecting = link] { world.finish_connect(connecting); });
}

inline bool Node::withdraw(const Endpoint& to, std::uint64_t offer_number) {
  auto it = links.find(to);
  if (it != links.end() && !it->second->up) {
    bool was_held =
        std::erase_if(it->second->held, [&](auto& frame) { return frame.first == offer_number; }) > 0;
    w.withdrawn_offers += was_held;
    return was_held;
  }
  if (it != links.end() || MeshSimulation::node_at(to) == index) offer(to, {{"t", "x"}, {"n", offer_number}});
  return false;
}

inline void Node::reply(LinkId link, const Json& frame) {
  if (link == 0) {
    auto started_incarnation = incarnation;
    w.schedule(0, [this, &world = w, node = index, started_incarnation, bytes = encode_frame(frame)] {
      if (world.incarnations[std::size_t(node)] != started_incarnation) return;
      set_time();
      out.handle_frame(MeshSimulation::address_of(index), *decode_frame(bytes));
    });
    return;
  }
  for (auto& peer_link : w.links)
    if (peer_link->to == index && peer_link->to_incarnation == incarnation && peer_link->id == link &&
        peer_link->in_open)
      peer_link->back.emplace_back(w.now + 1 + w.pick(2), encode_frame(frame));
}

inline void MeshSimulation::finish_connect(const std::shared_ptr<Link>& link) {
  if (!link->out_open) return;
  Node& from = *nodes[std::size_t(link->from)];
  if (!nodes[std::size_t(link->to)] || is_partitioned(link->from, link->to)) {
    link->out_open = false;
    from.links.erase(link->at);
    from.set_time();
    return from.out.link_down(link->at, false);
  }
  Node& to = *nodes[std::size_t(link->to)];
  link->to_incarnation = to.incarnation;
  link->id = ++to.last_link;
  link->up = link->in_open = true;
  for (auto& [offer_number, bytes] : std::exchange(link->held, {}))
    link->to_peer.emplace_back(now + 1, bytes);
}

inline void MeshSimulation::close_outgoing(const std::shared_ptr<Link>& link) {
  if (!std::exchange(link->out_open, false)) return;
  Node& from = *nodes[std::size_t(link->from)];
  from.links.erase(link->at);
  from.set_time();
  from.out.link_down(link->at, true);
}

inline void MeshSimulation::close_incoming(const std::shared_ptr<Link>& link) {
  if (!std::exchange(link->in_open, false)) return;
  Node& to = *nodes[std::size_t(link->to)];
  to.set_time();
  to.in.link_closed(link->id);
}

// Both ends learn of the reset at different times; frames on the way may or may not arrive.
inline void MeshSimulation::reset(const std::shared_ptr<Link>& link) {
  if (!link->up) return;
  if (chance(0.5)) link->to_peer.clear();
  if (chance(0.5)) link->back.clear();
  schedule(pick(30), [this, link] { close_outgoing(link); });
  schedule(pick(200), [this, link] { close_incoming(link); });
}

inline void MeshSimulation::deliver_frames() {
  for (auto open_links = links; auto& link : open_links) {
    if (!link->up) continue;
    // Without a connection, the kernel keeps sent bytes and reports an error after a while.
    if (is_partitioned(link->from, link->to)) {
      if (link->out_open && !link->to_peer.empty() && link->to_peer.front().first + kStallMs <= now) {
        if (chance(0.5))
          link->to_peer.clear();  // otherwise it had arrived, and only its acknowledgement was lost
        close_outgoing(link);
      }
      continue;
    }
    while (link->in_open && !link->to_peer.empty() && link->to_peer.front().first <= now) {
      auto frame = decode_frame(link->to_peer.front().second);
      link->to_peer.pop_front();
      Node& to = *nodes[std::size_t(link->to)];
      to.set_time();
      text_field(*frame, "t") == "q" ? to.in.offer(link->id, *frame)
                                     : to.in.cancel(link->id, sidecar::unsigned_field(*frame, "n"));
    }
    while (link->out_open && !link->back.empty() && link->back.front().first <= now) {
      auto frame = decode_frame(link->back.front().second);
      link->back.pop_front();
      Node& from = *nodes[std::size_t(link->from)];
      from.set_time();
      from.out.handle_frame(link->at, *frame);
    }
    if (!link->out_open && link->in_open && chance(0.02)) close_incoming(link);
    if (link->out_open && !link->in_open && chance(0.1)) close_outgoing(link);
  }
  std::erase_if(links, [](auto& link) { return !link->out_open && !link->in_open; });
}

}  // namespace pebblespindle::test::mesh
