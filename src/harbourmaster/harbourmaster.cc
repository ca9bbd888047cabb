#include "harbourmaster/harbourmaster.h"

#include <algorithm>
#include <csignal>

#include "keel/constants.h"
#include "keel/registry.h"
#include "keel/role.h"
#include "ordinance/ordinance.h"

namespace pebblespindle {
using namespace constants;

chain::Verdict Harbourmaster::judge_update(const Ledger& ledger, const Json& update) {
  return pebblespindle::judge_update(ledger, update);
}

Harbourmaster::Harbourmaster(Settings settings, std::unique_ptr<SqliteDisk> disk)
    : settings_(std::move(settings)), disk_(std::move(disk)), roster_(loop_.now()) {
  std::vector<std::string> founders;
  for (auto& s : settings_.seeds) founders.push_back(s.host);
  node_ =
      std::make_unique<chain::Node>(settings_.ip, founders, settings_.bootstrap, *disk_, *this, loop_.now());
  auto meta = disk_->meta();
  Json duty = Json::parse(meta.count("duty") ? meta["duty"] : "{}", nullptr, false);
  if (!duty.is_object()) duty = Json::object();
  lease_ = std::make_unique<duty::Lease>(
      settings_.ip, node_->founders(), duty.value("token", std::uint64_t(0)), duty.value("holder", ""),
      loop_.now(),
      duty::Lease::Out{[this](const std::string& to, const Json& m) { send(to, m); },
                       [this](std::uint64_t token, const std::string& holder) {
                         Batch b;
                         b.meta["duty"] = Json{{"token", token}, {"holder", holder}}.dump();
                         if (disk_->commit(b)) return true;
                         disk_failed();
                         return false;
                       }});
  duty::Failover::Out out;
  out.holds = [this] { return lease_->holds(loop_.now()) && node_->seated(loop_.now()); };
  out.ask = [this](const Instance& i, const std::string& s, std::function<void(duty::DbReply)> done) {
    db_.ask(i, s, std::move(done));
  };
  out.promote = [this](const std::string& service, const InstanceId& id, std::function<void(int)> done) {
    if (!settings_.platform) return done(503);
    HttpRequest r{"POST",
                  "/failovers",
                  Json{{"TargetService", service}, {"InstanceId", id.value}}.dump(),
                  {{"Content-Type", "application/json"},
                   {"X-Pebblespindle-Duty-Holder", settings_.node_name},
                   {"X-Pebblespindle-Fence-Token", std::to_string(lease_->token())}}};
    http_call(loop_.io(), *settings_.platform, r, kPlatformTimeoutMs, [this, done](HttpReply reply) {
      done(reply.status);
      loop_.rearm();
    });
  };
  out.submit = [this](Json u, std::function<void(chain::Answer)> done) {
    node_->submit(loop_.now(), std::move(u), std::move(done));
  };
  out.all_acknowledged = [this](std::uint64_t n) { return all_acknowledged(n); };
  out.members = [this] { return members(); };
  out.note = [this](const std::string& s) { log_.say(s); };
  failover_ = std::make_unique<duty::Failover>(node_->ledger(), std::move(out));
  for (auto& f : node_->founders())
    if (f != settings_.ip) peers_[f].at = {f, settings_.inner_first};
}

void Harbourmaster::disk_failed() {
  log_.say("A write to the disk failed. The process stops rather than trust it.");
  std::_Exit(1);
}

int Harbourmaster::run() {
  auto inner = Acceptor::listen(loop_.io(), settings_.inner(),
                                [this](asio::ip::tcp::socket s) { accept_inner(std::move(s)); });
  if (!inner) {
    log_.say(inner.reason);
    return 1;
  }
  inner_ = std::move(*inner.value);
  auto at = settings_.listeners.find("ControlPlane");
  if (at == settings_.listeners.end()) {
    log_.say("The settings name no ControlPlane listener.");
    return 1;
  }
  auto http = HttpServer::listen(loop_.io(), at->second, [this](HttpRequest r, HttpDone done) {
    on_http(std::move(r), std::move(done));
  });
  if (!http) {
    log_.say(http.reason);
    return 1;
  }
  control_ = std::move(*http.value);
  loop_.on_signal(SIGTERM, [this] {
    log_.say("Asked to end.");
    loop_.stop();
  });
  loop_.on_signal(SIGHUP, [this] {
    auto s = load_settings(settings_path());
    log_.say(s ? "Settings read again." : "Settings not taken: " + s.reason);
    if (s) settings_.platform = s.value->platform;
  });
  log_.say("Core " + settings_.node_name + " serves at " + at->second.text() + ".");
  loop_.every(kCoreBeatMs / 5, [this] { tick(); });
  loop_.run();
  return 0;
}

void Harbourmaster::tick() {
  Millis now = loop_.now();
  if (node_->view().number != view_seen_) {
    view_seen_ = node_->view().number;
    view_since_ = now;
  }
  for (auto& [name, p] : peers_)
    if (!p.conn && !p.dialling) dial(name);
  node_->tick(now);
  roster_.expire(now);
  lease_->tick(now, node_->view().head() == settings_.ip && node_->seated(now));
  bool holds = lease_->holds(now);
  if (holds != held_duty_) {
    held_duty_ = holds;
    log_.say(holds ? "Holds the failover duty with token " + std::to_string(lease_->token()) + "."
                   : "No longer holds the failover duty.");
  }
  failover_->tick(now);
  db_.expire();
  tell_peers(false);
}

// --- links to the other cores and to tenders ---------------------------------

void Harbourmaster::dial(const std::string& name) {
  auto& p = peers_[name];
  p.dialling = true;
  LineConn::connect(
      loop_.io(), p.at, kCoreSilentMs, kMaxLinkBytes,
      [this, name](LineConn::Ptr conn, const asio::error_code&) {
        auto& peer = peers_[name];
        peer.dialling = false;
        if (!conn) return;
        peer.conn = conn;
        conn->start(
            {[](std::string_view) {}, [this, name](LineConn::End) { peers_[name].conn = nullptr; }, {}});
        conn->send(Json{{"t", "core"}, {"name", settings_.ip}, {"zone", settings_.zone}}.dump() + "\n");
        told_at_ = 0;
      });
}

void Harbourmaster::send(const std::string& to, const Json& message) {
  auto it = peers_.find(to);
  if (it == peers_.end() || !it->second.conn) return;
  if (it->second.conn->queued() > kMaxLinkBytes) {  // a peer that takes nothing: start anew
    it->second.conn->close();
    it->second.conn = nullptr;
    return;
  }
  it->second.conn->send(message.dump() + "\n");
}

void Harbourmaster::accept_inner(asio::ip::tcp::socket socket) {
  set_silence_limit(socket, kCoreSilentMs * 3);
  auto t = std::make_shared<Tender>();
  t->conn = std::make_shared<LineConn>(std::move(socket), kMaxLinkBytes);
  tenders_[t] = false;
  t->conn->start({[this, t](std::string_view line) { on_inner(t, line); },
                  [this, t](LineConn::End) { tenders_.erase(t); }, [this] { loop_.rearm(); }});
}

void Harbourmaster::on_inner(const std::shared_ptr<Tender>& link, std::string_view line) {
  Json m = Json::parse(line, nullptr, false);
  if (!m.is_object()) {
    link->conn->close();
    tenders_.erase(link);
    return;
  }
  try {
    if (tenders_[link]) {
      on_core(link->node, m);
    } else if (m.value("t", "") == "core") {
      link->node = m.value("name", "");
      if (!peers_.count(link->node)) {  // a core with an unknown name: not one of the founders
        peers_[link->node].at = {link->node, settings_.inner_first};
      }
      peers_[link->node].zone = m.value("zone", "");
      tenders_[link] = true;
    } else {
      on_tender(link, m);
    }
  } catch (const Json::exception&) {  // a field of the wrong type: the peer is not understood
    link->conn->close();
    tenders_.erase(link);
  }
}

void Harbourmaster::on_core(const std::string& from, const Json& m) {
  Millis now = loop_.now();
  const std::string t = m.value("t", "");
  if (t == "hm") {
    auto& p = peers_[from];
    p.acked = m.value("k", std::uint64_t(0));
    p.nodes = m.value("n", std::size_t(0));
    p.told = now;
    failover_->tick(now);
  } else if (t == "dask" || t == "dgr") {
    lease_->receive(now, from, m);
  } else if (t == "sus") {
    on_suspect(m);
  } else if (t == "told") {
    if (auto i = Instance::from({m.value("id", "")}, m.value("v", ""))) failover_->told(now, *i);
  } else {
    node_->receive(now, from, m);
  }
}

bool Harbourmaster::may_grant() const {
  return node_->seated(loop_.now());
}

std::size_t Harbourmaster::members() const {
  Millis now = loop_.now();
  std::size_t n = roster_.count(now);
  for (auto& [name, p] : peers_)
    if (now - p.told < 3 * kCoreSilentMs) n += p.nodes;
  return n;
}

Json Harbourmaster::core_list() const {
  Json l = Json::array({Json::array({settings_.ip, settings_.zone})});
  for (auto& [name, p] : peers_)
    if (!p.zone.empty() && p.conn) l.push_back(Json::array({name, p.zone}));
  return l;
}

void Harbourmaster::on_tender(const std::shared_ptr<Tender>& t, const Json& m) {
  Millis now = loop_.now();
  const std::string kind = m.value("t", "");
  if (kind == "hi") {
    t->node = m.value("node", "");
    t->zone = m.value("zone", "");
    t->sent = m.value("have", std::uint64_t(0));
    t->greeted = true;
    t->conn->send(Json{{"t", "cores"}, {"l", core_list()}}.dump() + "\n");
    feed(*t);
  } else if (kind == "renew") {
    bool grant = may_grant();
    roster_.renew(now, t->node, t->zone, m.value("ack", std::uint64_t(0)), grant);
    if (grant) {
      t->conn->send(Json{{"t", "grant"},
                         {"at", m.value("at", Json())},
                         {"ms", kNodeLeaseMs},
                         {"k", node_->ledger().stored()},
                         {"n", members()}}
                        .dump() +
                    "\n");
    }
    feed(*t);
    tell_peers(false);
    failover_->tick(now);
  } else if (kind == "sus") {
    Json report = m;
    report["z"] = t->zone;
    report["n"] = t->node;
    on_suspect(report);
  } else if (kind == "bye") {
    roster_.left(t->node);
    tell_peers(false);
  } else if (kind == "status") {
    t->conn->send(status().dump() + "\n");
  }
}

// What a node met at a database: to whoever holds the duty.
void Harbourmaster::on_suspect(const Json& report) {
  Millis now = loop_.now();
  if (!lease_->holds(now)) {
    const std::string head = node_->view().head();
    if (head != settings_.ip) send(head, report);
    return;
  }
  InstanceId id{report.value("id", "")};
  const std::string node = report.value("n", "");
  if (report.value("ok", false))
    failover_->cleared(now, id, node);
  else if (report.value("slow", false))
    failover_->slow(now, id, report.value("z", ""), node);
  else
    failover_->suspect(now, id, report.value("z", ""), node, report.value("r", false));
  failover_->tick(now);
}

void Harbourmaster::feed(Tender& t) {
  // Only whole, committed states go out: between two changes of a row there is nothing to send.
  if (!t.greeted || !node_->settled() || t.sent >= node_->committed()) return;
  t.conn->send(
      Json{{"t", "up"}, {"k", node_->committed()}, {"r", rows_to_json(node_->ledger().since(t.sent))}}
          .dump() +
      "\n");
  t.sent = node_->committed();
}

void Harbourmaster::feed_all() {
  for (auto& [t, core] : tenders_)
    if (!core) feed(*t);
}

void Harbourmaster::committed(std::uint64_t) {
  feed_all();
  loop_.rearm();
}

// The other cores hear how many nodes hang here and what they all have acknowledged.
void Harbourmaster::tell_peers(bool always) {
  Millis now = loop_.now();
  std::uint64_t acked = roster_.acknowledged(now, node_->ledger().stored());
  std::size_t nodes = roster_.count(now);
  bool holding = false;
  node_->ledger().each("s/", [&](const Row& r) {
    auto l = Lead::from(r.value);
    holding = holding || (l && l->hold);
  });
  bool due =
      always || now >= told_at_ + kCoreSilentMs || nodes != told_nodes_ || (holding && acked != told_acked_);
  if (!due) return;
  told_at_ = now;
  told_acked_ = acked;
  told_nodes_ = nodes;
  for (auto& [name, p] : peers_) send(name, {{"t", "hm"}, {"n", nodes}, {"k", acked}});
}

bool Harbourmaster::all_acknowledged(std::uint64_t number) const {
  Millis now = loop_.now();
  if (now < view_since_ + kNodeLeaseMs + kViewLeaseMs) {
    // A core put out lately may have granted leases that still run.
    for (auto& f : node_->founders())
      if (!node_->view().has(f) && f != settings_.ip) return false;
  }
  if (roster_.acknowledged(now, node_->ledger().stored()) < number) return false;
  for (auto& m : node_->view().members) {
    if (m.name == settings_.ip) continue;
    auto p = peers_.find(m.name);
    if (p == peers_.end() || p->second.acked < number) return false;
  }
  return true;
}

// --- the control plane --------------------------------------------------------

namespace {

HttpReply plain(int status, const std::string& why = {}) {
  HttpReply r{status, why.empty() ? std::string() : Json{{"ErrorMessage", why}}.dump(), {}};
  return r;
}

}  // namespace

void Harbourmaster::on_http(HttpRequest r, HttpDone done) {
  auto answer = [this, done = std::move(done)](HttpReply reply) {
    done(std::move(reply));
    loop_.rearm();
  };
  const std::string kInstances = "/instances/";
  if (r.path == "/configuration" && r.method == "PUT") return on_config(r, answer);
  if (r.path == "/configuration" && r.method == "GET") {
    return node_->read(loop_.now(), kConfigKey, [answer](std::optional<std::string> body, bool ok) {
      if (!ok) return answer(plain(503, "the chain gives no answer"));
      if (!body) return answer(plain(404, "no configuration yet"));
      answer({200, *body, {}});
    });
  }
  if (r.path.starts_with(kInstances) && r.path.size() > kInstances.size()) {
    std::string id = r.path.substr(kInstances.size());
    if (r.method == "PUT") return on_beat(id, r, answer);
    if (r.method == "DELETE") {
      if (!may_grant()) return answer(plain(503, "out of the view"));
      return node_->submit(loop_.now(), leave_update({id}), [answer](chain::Answer a) {
        answer(a.status == 200 ? HttpReply{} : plain(503, a.reason));
      });
    }
  }
  if (r.path == "/status" && r.method == "GET") return answer({200, status().dump(2) + "\n", {}});
  answer(plain(404, "no such place"));
}

std::string Harbourmaster::beat_answer(const Instance& i) const {
  // Later beats go to the core in the database's own zone: no bytes between zones.
  auto port = settings_.listeners.at("ControlPlane").port;
  if (i.zone == settings_.zone)
    return Json{{"HeartbeatEndpoint", settings_.listeners.at("ControlPlane").text()}}.dump();
  for (auto& [name, p] : peers_)
    if (p.zone == i.zone && p.conn && node_->view().has(name))
      return Json{{"HeartbeatEndpoint", Endpoint{name, port}.text()}}.dump();
  return "{}";
}

void Harbourmaster::on_beat(const std::string& id, const HttpRequest& r, HttpDone done) {
  if (!may_grant()) return done(plain(503, "out of the view"));
  auto beat = read_beat(id, r.body);
  if (!beat) return done(plain(400, beat.reason));
  const Instance& i = *beat.value;
  auto& newest = calls_[i.id];
  if (i.calls < newest) return done({200, beat_answer(i), {}});  // a late one
  newest = i.calls;
  const Row* row = node_->ledger().find_any(instance_key(i.id));
  auto old = row && !row->gone ? Instance::from(i.id, row->value) : std::nullopt;
  bool plain_renewal = row && (row->gone || (old && old->same_but_calls(i)));
  if (plain_renewal && node_->settled()) return done({200, beat_answer(i), {}});
  node_->submit(loop_.now(), instance_update(i), [this, i, done](chain::Answer a) {
    if (a.status != 200) return done(plain(a.status == 0 ? 503 : a.status, a.reason));
    done({200, beat_answer(i), {}});
    if (i.primary) {
      if (lease_->holds(loop_.now()))
        failover_->told(loop_.now(), i);
      else
        send(node_->view().head(), {{"t", "told"}, {"id", i.id.value}, {"v", i.json().dump()}});
    }
  });
}

void Harbourmaster::on_config(const HttpRequest& r, HttpDone done) {
  auto match = r.headers.find("if-match");
  std::uint64_t base = 0;
  if (match != r.headers.end()) {
    std::string digits = match->second;
    std::erase(digits, '"');
    if (digits.empty() || digits.size() > 18 || digits.find_first_not_of("0123456789") != std::string::npos)
      return done(plain(400, "If-Match is not a number"));
    base = std::stoull(digits);
  } else {
    return done(plain(400, "If-Match is missing"));
  }
  auto checked = read_configuration(r.body);
  if (!checked) {
    log_.say("A configuration was refused: " + checked.reason + ".");
    return done(plain(400, checked.reason));
  }
  std::uint64_t revision = checked.value->revision;
  node_->submit(loop_.now(), config_update(base, r.body), [this, done, revision](chain::Answer a) {
    if (a.status == 200) {
      log_.say("Configuration " + std::to_string(revision) + " is acknowledged.");
      return done(plain(200));
    }
    log_.say("Configuration " + std::to_string(revision) + " is not acknowledged: " + a.reason + ".");
    done(plain(a.status == 0 ? 503 : a.status, a.reason));
  });
}

Json Harbourmaster::status() const {
  Millis now = loop_.now();
  Json nodes = Json::object(), databases = Json::array(), leads = Json::object(), members = Json::array();
  for (auto& m : node_->view().members) members.push_back(m.name);
  for (auto& [name, e] : roster_.nodes())
    nodes[name] = {{"zone", e.zone}, {"acknowledged", e.acked}, {"lease_ms", e.until - now}};
  node_->ledger().each("i/", [&](const Row& r) {
    Json i = Json::parse(r.value, nullptr, false);
    databases.push_back({{"id", r.key.substr(2)},
                         {"service", i["s"]},
                         {"zone", i["z"]},
                         {"address", i["a"]},
                         {"draining", i["d"]},
                         {"primary", i["p"]}});
  });
  node_->ledger().each("s/", [&](const Row& r) {
    auto l = Lead::from(r.value);
    if (l)
      leads[r.key.substr(2)] = {{"primary", l->primary.value}, {"suspended", l->hold}, {"term", l->term}};
  });
  const Row* c = node_->ledger().find(kConfigKey);
  Json revision;
  if (c)
    if (auto parsed = read_configuration(c->value)) revision = parsed.value->revision;
  return {{"core", settings_.node_name},
          {"view", {{"number", node_->view().number}, {"chain", members}}},
          {"seated", node_->seated(now)},
          {"change", {{"stored", node_->ledger().stored()}, {"committed", node_->committed()}}},
          {"configuration", revision},
          {"duty", {{"holder", lease_->holder()}, {"held_here", lease_->holds(now)}}},
          {"nodes", nodes},
          {"services", leads},
          {"databases", databases}};
}

namespace {

int run_harbourmaster(const std::string&) {
  return run_role("harbourmaster", [](Settings settings) {
    Log log("harbourmaster");
    if (settings.data_directory.empty()) {
      log.say("The settings name no DataDirectory.");
      return 1;
    }
    auto disk = SqliteDisk::open(settings.data_directory + "/ledger.db");
    if (!disk) {
      log.say("The disk cannot be used: " + disk.reason + ".");
      return 1;
    }
    return Harbourmaster(std::move(settings), std::move(*disk.value)).run();
  });
}

RegisterCommand harbourmaster_command("harbourmaster",
                                      {"serves the control plane on a core machine", "", run_harbourmaster});

}  // namespace
}  // namespace pebblespindle
