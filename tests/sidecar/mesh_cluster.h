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
  bool promised_not_run = false;  // the client was told that it has not run and will not
  bool gone = false;              // its client or its sidecar has gone
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
  explicit ClientConn(const Limits& l) : line(l) {}
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

  Node(MeshSimulation& world, int n);
  void set_time();
  void answer(CallId id, Reply r) override;
  void offer(const Endpoint& to, const Json& frame) override;
  bool is_linked(const Endpoint& to) override;
  void connect(const Endpoint& to) override;
  bool withdraw(const Endpoint& to, std::uint64_t n) override;
  void reply(LinkId link, const Json& frame) override;
  void open_app_connection(ConnId id) override;
  void send_to_app(ConnId id, const Call& c) override;
  void close_app_connection(ConnId id) override;
  void connection_lost(ConnId id);  // the database has closed the connection
  void client_bytes(const std::shared_ptr<ClientConn>& c, std::string_view bytes);
  void to_client(const std::shared_ptr<ClientConn>& c, const std::string& bytes);
  void close_client(const std::shared_ptr<ClientConn>& c);
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

  static Endpoint address_of(int i) { return {"10.0.0." + std::to_string(i + 1), 7002}; }
  static int node_at(const Endpoint& e) { return std::stoi(e.host.substr(7)) - 1; }
  int pick(int n) { return int(rng() % std::uint32_t(n)); }
  bool chance(double p) { return double(rng()) < p * 4294967296.0; }
  void schedule(Millis ms, std::function<void()> fn) { events.emplace(now + ms, std::move(fn)); }
  bool is_partitioned(int a, int b) const { return partitions.count({std::min(a, b), std::max(a, b)}) > 0; }

  // --- faults ---------------------------------------------------------------
  void start_database(int i, const std::string& of_service);
  void register_database(int i);  // a heartbeat reaches the sidecar
  void kill(int i);
  void reset(const std::shared_ptr<Link>& l);
  void inject_fault();

  // --- steps ------------------------------------------------------------------
  void send_request(int node);
  void deliver_client_bytes(Node& s);
  void deliver_frames();
  void deliver_responses(Node& s);
  void execute_request(Node& s, ConnId conn, const HttpMessage& m);
  void queue_bytes(DatabaseConn& c, Millis after, const std::string& bytes);
  void finish_connect(const std::shared_ptr<Link>& l);
  void close_outgoing(const std::shared_ptr<Link>& l);
  void close_incoming(const std::shared_ptr<Link>& l);
  void step();
  void check_invariants();
};

inline void Node::set_time() {
  out.set_time(w.now);
  in.set_time(w.now);
}

inline Node::Node(MeshSimulation& world, int n)
    : w(world),
      index(n),
      incarnation(world.incarnations[std::size_t(n)]),
      out(*this, timers, cluster,
          {"z" + std::to_string(n % 2), "caller", 0.5, 20.0, 10000, std::uint32_t(world.rng())}),
      in(*this, timers) {
  cluster.apply(w.number, w.rows);
  set_time();
  out.set_node_count(kNodes);
  out.set_state_current(true);
}

// --- clients ------------------------------------------------------------------

inline void Node::client_bytes(const std::shared_ptr<ClientConn>& c, std::string_view bytes) {
  std::string written;
  set_time();
  auto got = c->line.read(bytes, last_call, written);
  for (auto& a : got) calls[a.id] = c;
  to_client(c, written);
  for (auto& a : got)
    if (calls.count(a.id)) out.start_call(a.id, std::move(a.call));
}

inline void Node::answer(CallId id, Reply r) {
  auto it = calls.find(id);
  if (it == calls.end()) return;
  auto c = it->second;
  calls.erase(it);
  to_client(c, c->line.answer(id, std::move(r)));
}

// The client reads its responses: they have to come in the order of its requests.
inline void Node::to_client(const std::shared_ptr<ClientConn>& c, const std::string& written) {
  std::string_view bytes = written;
  while (!bytes.empty() && !c->closed) {
    ASSERT_FALSE(c->asked.empty()) << "a response without a request";
    const std::string id = c->asked.front();
    ClientRequest& t = w.requests[id];
    c->answers.no_body(t.head);
    std::size_t took = 0;
    ASSERT_EQ(int(c->answers.feed(bytes, took)), int(HttpReader::State::kDone)) << "an incomplete response";
    bytes.remove_prefix(took);
    HttpMessage m = c->answers.take();
    c->asked.pop_front();
    ++t.answers;
    t.status = m.status;
    auto* named = find_field(m.fields, kRequestIdField);
    ASSERT_TRUE(!named || *named == id) << "the response to another request";
    if (auto* run = find_field(m.fields, "X-Run")) {
      const Execution& r = w.runs[std::size_t(std::stoi(*run))];
      ASSERT_EQ(r.id, id) << "the response to another request";
      ASSERT_EQ(t.head ? "" : r.body, m.body) << "parts of two responses";
      ASSERT_FALSE(r.aborted) << "a response from a connection that had ended";
    } else {
      ASSERT_TRUE(m.body.empty()) << "a body that no database sent";
      ASSERT_GE(m.status, 400);
    }
    ASSERT_TRUE(m.status != 200 || find_field(m.fields, kResponseSealField));
    for (int s : {408, 421, 429, 503}) t.promised_not_run = t.promised_not_run || m.status == s;
    for (auto& x : t.deliveries)
      ASSERT_TRUE(x.reported_not_run || !t.promised_not_run)
          << id << " was reported as not run, but was sent to a database";
    ++(m.status == 200 ? w.served : m.status == 503 ? w.refused : w.unknown);
    if (m.keep_alive) continue;
    c->closed = true;
    ASSERT_TRUE(bytes.empty()) << "bytes after a response that closes";
    // Requests after a response that closes count as not read: clients send them again, idempotent or not.
    for (auto& rest : c->asked) w.requests[rest].promised_not_run = true;
  }
  if (c->line.is_finished()) c->closed = true;
}

inline void Node::close_client(const std::shared_ptr<ClientConn>& c) {
  c->closed = true;
  for (auto& id : c->asked) w.requests[id].gone = true;
  set_time();
  for (auto id : c->line.unanswered())
    if (calls.erase(id)) out.client_gone(id);
}

inline void MeshSimulation::send_request(int n) {
  Node& s = *nodes[std::size_t(n)];
  std::shared_ptr<ClientConn> c;
  for (auto& x : s.clients)
    if (!x->closed && x->asked.size() < 3 && (x->asked.empty() || chance(0.5))) c = x;
  if (!c) {
    if (s.leaving || s.clients.size() >= 4) return;
    c = s.clients.emplace_back(std::make_shared<ClientConn>(Limits{}));
  }
  const std::string id = "q" + std::to_string(++asked);
  ClientRequest& t = requests[id];
  t.idempotent = chance(0.5);
  t.service = chance(0.5) ? "s" : "t";
  t.head = t.idempotent && chance(0.08);
  t.method = t.head ? "HEAD" : t.idempotent ? "GET" : "POST";
  t.path = "/" + t.service + (t.idempotent ? "/safe/" : "/once/") + id;
  if (!t.idempotent) t.body = "body of " + id + std::string(std::size_t(pick(200)), 'b');
  t.node = n;
  t.started_at = now;
  std::string bytes = t.method + " " + t.path + " HTTP/1.1\r\nHost: h\r\n" + kRequestIdField + ": " + id +
                      "\r\n" + kDeadlineField + ": " + std::to_string(60 + pick(400)) + "\r\n";
  if (chance(0.02)) bytes += "Connection: close\r\n";
  if (t.body.empty()) {
    bytes += "\r\n";
  } else if (chance(0.5)) {
    bytes += "Content-Length: " + std::to_string(t.body.size()) + "\r\n\r\n" + t.body;
  } else {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", t.body.size());
    bytes += "Transfer-Encoding: chunked\r\n\r\n" + std::string(size) + "\r\n" + t.body +
             "\r\n0\r\nX-Pebblespindle-Request-Id: forged\r\n\r\n";
  }
  c->asked.push_back(id);
  Millis at = c->in.empty() ? now : c->in.back().at;
  while (!bytes.empty()) {
    std::size_t n_bytes = chance(0.7) ? bytes.size() : 1 + std::size_t(pick(int(bytes.size())));
    c->in.push_back({at += pick(2), bytes.substr(0, n_bytes), n_bytes == bytes.size() ? id : ""});
    bytes.erase(0, n_bytes);
    if (!bytes.empty() && chance(0.05)) at += 60;
  }
}

inline void MeshSimulation::deliver_client_bytes(Node& s) {
  auto list = s.clients;
  for (auto& c : list) {
    while (!c->closed && !c->in.empty() && c->in.front().at <= now) {
      Chunk p = std::move(c->in.front());
      c->in.pop_front();
      if (!p.whole.empty()) requests[p.whole].whole = true;
      s.client_bytes(c, p.bytes);
    }
    if (!c->closed && chance(0.0015)) s.close_client(c);
  }
  std::erase_if(s.clients, [](auto& c) { return c->closed; });
}

// --- links --------------------------------------------------------------------

inline void Node::offer(const Endpoint& to, const Json& frame) {
  const int peer = MeshSimulation::node_at(to);
  if (peer == index) {  // the inbound half of this node
    auto l = incarnation;
    w.schedule(0, [this, &world = w, n = index, l, bytes = encode_frame(frame)] {
      if (world.incarnations[std::size_t(n)] != l) return;
      set_time();
      auto m = decode_frame(bytes);
      text_field(*m, "t") == "q" ? in.offer(0, *m) : in.cancel(0, sidecar::unsigned_field(*m, "n"));
    });
    return;
  }
  connect(to);
  auto& l = links[to];
  if (!l->up)
    l->held.emplace_back(sidecar::unsigned_field(frame, "n"), encode_frame(frame));
  else
    l->to_peer.emplace_back(w.now + 1 + w.pick(2), encode_frame(frame));
}

inline bool Node::is_linked(const Endpoint& to) {
  const auto it = links.find(to);
  return MeshSimulation::node_at(to) == index || (it != links.end() && it->second->up);
}

inline void Node::connect(const Endpoint& to) {
  auto& l = links[to];
  if (l) return;
  l = std::make_shared<Link>();
  l->from = index;
  l->to = MeshSimulation::node_at(to);
  l->at = to;
  w.links.push_back(l);
  w.schedule(w.is_partitioned(index, l->to) || w.chance(0.1) ? 40 + w.pick(80) : 1 + w.pick(3),
             [&world = w, link = l] { world.finish_connect(link); });
}

inline bool Node::withdraw(const Endpoint& to, std::uint64_t n) {
  auto it = links.find(to);
  if (it != links.end() && !it->second->up) {
    bool held = std::erase_if(it->second->held, [&](auto& h) { return h.first == n; }) > 0;
    w.withdrawn_offers += held;
    return held;
  }
  if (it != links.end() || MeshSimulation::node_at(to) == index) offer(to, {{"t", "x"}, {"n", n}});
  return false;
}

inline void Node::reply(LinkId link, const Json& frame) {
  if (link == 0) {
    auto l = incarnation;
    w.schedule(0, [this, &world = w, n = index, l, bytes = encode_frame(frame)] {
      if (world.incarnations[std::size_t(n)] != l) return;
      set_time();
      out.handle_frame(MeshSimulation::address_of(index), *decode_frame(bytes));
    });
    return;
  }
  for (auto& l : w.links)
    if (l->to == index && l->to_incarnation == incarnation && l->id == link && l->in_open)
      l->back.emplace_back(w.now + 1 + w.pick(2), encode_frame(frame));
}

inline void MeshSimulation::finish_connect(const std::shared_ptr<Link>& l) {
  if (!l->out_open) return;
  Node& from = *nodes[std::size_t(l->from)];
  if (!nodes[std::size_t(l->to)] || is_partitioned(l->from, l->to)) {
    l->out_open = false;
    from.links.erase(l->at);
    from.set_time();
    return from.out.link_down(l->at, false);
  }
  Node& to = *nodes[std::size_t(l->to)];
  l->to_incarnation = to.incarnation;
  l->id = ++to.last_link;
  l->up = l->in_open = true;
  for (auto& [n, bytes] : std::exchange(l->held, {})) l->to_peer.emplace_back(now + 1, bytes);
}

inline void MeshSimulation::close_outgoing(const std::shared_ptr<Link>& l) {
  if (!std::exchange(l->out_open, false)) return;
  Node& from = *nodes[std::size_t(l->from)];
  from.links.erase(l->at);
  from.set_time();
  from.out.link_down(l->at, true);
}

inline void MeshSimulation::close_incoming(const std::shared_ptr<Link>& l) {
  if (!std::exchange(l->in_open, false)) return;
  Node& to = *nodes[std::size_t(l->to)];
  to.set_time();
  to.in.link_closed(l->id);
}

// Both ends learn of the reset at different times; frames on the way may or may not arrive.
inline void MeshSimulation::reset(const std::shared_ptr<Link>& l) {
  if (!l->up) return;
  if (chance(0.5)) l->to_peer.clear();
  if (chance(0.5)) l->back.clear();
  schedule(pick(30), [this, l] { close_outgoing(l); });
  schedule(pick(200), [this, l] { close_incoming(l); });
}

inline void MeshSimulation::deliver_frames() {
  for (auto list = links; auto& l : list) {
    if (!l->up) continue;
    if (is_partitioned(l->from, l->to)) {  // the kernel keeps sent bytes and reports an error after a while
      if (l->out_open && !l->to_peer.empty() && l->to_peer.front().first + kStallMs <= now) {
        if (chance(0.5))
          l->to_peer.clear();  // otherwise it had arrived, and only its acknowledgement was lost
        close_outgoing(l);
      }
      continue;
    }
    while (l->in_open && !l->to_peer.empty() && l->to_peer.front().first <= now) {
      auto m = decode_frame(l->to_peer.front().second);
      l->to_peer.pop_front();
      Node& to = *nodes[std::size_t(l->to)];
      to.set_time();
      text_field(*m, "t") == "q" ? to.in.offer(l->id, *m)
                                 : to.in.cancel(l->id, sidecar::unsigned_field(*m, "n"));
    }
    while (l->out_open && !l->back.empty() && l->back.front().first <= now) {
      auto m = decode_frame(l->back.front().second);
      l->back.pop_front();
      Node& from = *nodes[std::size_t(l->from)];
      from.set_time();
      from.out.handle_frame(l->at, *m);
    }
    if (!l->out_open && l->in_open && chance(0.02)) close_incoming(l);
    if (l->out_open && !l->in_open && chance(0.1)) close_outgoing(l);
  }
  std::erase_if(links, [](auto& l) { return !l->out_open && !l->in_open; });
}

}  // namespace pebblespindle::test::mesh
