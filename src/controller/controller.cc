#include "controller/controller.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

#include "base/clock.h"
#include "cli/command_registry.h"
#include "config/command_validation.h"
#include "config/configuration_reader.h"
#include "controller/constants.h"
#include "failover/constants.h"
#include "membership/constants.h"
#include "net/constants.h"
#include "quota/constants.h"
#include "replication/codec.h"
#include "replication/timing.h"
#include "settings/run_role.h"

namespace pebblespindle {

replication::ValidationResult Controller::validate_command(const StateTable& state, const Json& update) {
  return pebblespindle::validate_command(state, update);
}

Controller::Controller(Settings settings, std::unique_ptr<SqliteStore> disk)
    : settings_(std::move(settings)),
      disk_(std::move(disk)),
      node_leases_(loop_.now()),
      seated_at_(loop_.now()) {
  replication::ReplicaOptions start;
  start.host = settings_.ip;
  for (auto& s : settings_.seeds) start.seeds.push_back(s.host);
  start.bootstrap = settings_.bootstrap;
  start.tolerated_losses = std::size_t(settings_.machine_losses);
  std::random_device random;
  start.incarnation = life_ = std::uint64_t(random()) << 32 | random();
  quota_allocator_ = std::make_unique<quota::QuotaAllocator>(settings_.ip + "/" + std::to_string(life_));
  replica_ = std::make_unique<replication::Replica>(std::move(start), *disk_, *this, loop_.now());
  failover::FailoverCallbacks out;
  out.is_leader = [this] { return replica_->is_leader(loop_.now()); };
  out.fencing_token = [this] {
    auto& v = replica_->view();
    return v.head() == replica_->self() ? v.term : 0;
  };
  out.query = [this](const Instance& i, const std::string& s,
                     std::function<void(failover::DatabaseReply)> done) {
    db_.ask(i, s, [this, id = i.id, done = std::move(done)](failover::DatabaseReply r) {
      if (r.error.starts_with("CONNLIMIT")) tighten(id, nullptr);
      done(std::move(r));
    });
  };
  out.promote = [this](const std::string& service, const InstanceId& id, std::function<void(int)> done) {
    if (!settings_.platform) return done(503);
    HttpRequest r{"POST",
                  "/failovers",
                  Json{{"TargetService", service}, {"InstanceId", id.value}}.dump(),
                  {{"Content-Type", "application/json"},
                   {"X-Pebblespindle-Duty-Holder", settings_.node_name},
                   {"X-Pebblespindle-Fence-Token", std::to_string(replica_->view().term)}}};
    http_call(
        loop_.io(), *settings_.platform, r, kPlatformTimeoutMs,
        [this, done](HttpReply reply) {
          done(reply.status);
          loop_.rearm();
        },
        [this] { return replica_->is_leader(loop_.now()); });
  };
  out.submit = [this](Json u, std::function<void(Status)> done) {
    replica_->submit(loop_.now(), std::move(u), std::move(done));
  };
  out.acknowledged_by_all_nodes = [this](std::uint64_t n) { return all_acknowledged(n); };
  out.node_count = [this] { return members(); };
  out.log_event = [this](const std::string& s) { note(s); };
  db_.may_act = [this] { return replica_->is_leader(loop_.now()); };
  failover_ = std::make_unique<failover::Failover>(replica_->state(), std::move(out));
}

void Controller::note(const std::string& sentence) {
  log_.say(sentence);
  events_.push_back({loop_.now(), sentence});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

int Controller::run() {
  auto inner = Acceptor::listen(loop_.io(), settings_.control_link_endpoint(),
                                [this](asio::ip::tcp::socket s) { accept_inner(std::move(s)); });
  if (!inner) {
    log_.say(inner.status().message());
    return 1;
  }
  inner_ = std::move(*inner);
  auto at = settings_.listeners.find("ControlPlane");
  if (at == settings_.listeners.end()) {
    log_.say("The settings name no ControlPlane listener.");
    return 1;
  }
  auto http = HttpServer::listen(loop_.io(), at->second, [this](HttpRequest r, HttpDone done) {
    on_http(std::move(r), std::move(done));
  });
  if (!http) {
    log_.say(http.status().message());
    return 1;
  }
  control_ = std::move(*http);
  loop_.on_signal(SIGTERM, [this] {
    log_.say("Asked to end.");
    part();
  });
  loop_.on_signal(SIGHUP, [this] {
    auto s = load_settings(settings_path());
    log_.say(s ? "Settings read again." : "Settings not taken: " + s.status().message());
    if (!s) return;
    settings_.platform = s->platform;
    for (auto& seed : s->seeds) replica_->add_host(seed.host);
  });
  log_.say("Core " + settings_.node_name + " serves at " + at->second.text() + ".");
  loop_.every(replication::kHeartbeatMs / 5, [this] { tick(); });
  loop_.run();
  return 0;
}

// Hands over before it ends: its nodes turn to other cores while their leases run, and its vote goes to a
// core that stands by, if there is one.
void Controller::part() {
  if (replica_->is_leaving()) return;
  Millis now = loop_.now();
  replica_->begin_leaving(now);
  part_by_ = now + std::min(kHandOverTimeoutMs, settings_.grace_ms / 2);
  const std::string away = Json{{"t", "away"}, {"l", core_list()}}.dump() + "\n";
  for (auto& [t, core] : agents_)
    if (!core && t->delivery.started()) t->conn->send(away);
  tick();
  loop_.rearm();
}

void Controller::tick() {
  Millis now = loop_.now();
  if (replica_->is_leaving() && !ending_ && (now >= part_by_ || replica_->may_exit(now))) {
    ending_ = true;
    log_.say("Steps out.");
    replica_->stop(now);
    loop_.timers().at(now + kReconnectMs / 2, [this] { loop_.stop(); });
  }
  for (auto& host : replica_->hosts()) {
    auto& p = peers_[host];
    if (!p.conn && !p.dialling && now >= p.dial_at) dial(host);
  }
  replica_->tick(now);
  if (may_grant()) {
    if (seated_at_ < last_tick_) feed_all();  // the seat is back: what was held back meanwhile
    seated_at_ = now;
  }
  last_tick_ = now;
  node_leases_.expire(now);
  std::erase_if(tight_, [now](auto& t) { return now >= t.second + kConnectionLimitTtlMs; });
  outlier_detector_.expire(now);
  bool holds = replica_->is_leader(now);
  if (holds != held_duty_) {
    held_duty_ = holds;
    log_.say(holds ? "Holds the failover duty with token " + std::to_string(replica_->view().term) + "."
                   : "No longer holds the failover duty.");
  }
  failover_->tick(now);
  db_.expire();
  tell_peers(false);
  update_quotas();
}

// Allowances grow while this core has its place; the cores tell each other what they hold, and even it out.
void Controller::update_quotas() {
  Millis now = loop_.now();
  cluster_.follow(replica_->state());
  if (cluster_.configuration().tenants.empty()) return;
  quota_allocator_->pass(now, cluster_.configuration().tenants,
                         may_grant() ? replica_->view().members.size() : 0);
  if (now >= sums_at_ + kQuotaSyncMs) {
    sums_at_ = now;
    if (Json sums = quota_allocator_->sums(); !sums.is_null())
      for (auto& [host, p] : peers_)
        send(host, {{"t", "sums"}, {"me", quota_allocator_->self()}, {"l", sums}});
  }
  for (auto& a : quota_allocator_->shortages(now))
    if (auto host = quota_holder_hosts_.find(a.peer); host != quota_holder_hosts_.end())
      send(host->second, {{"t", "pay"},
                          {"s", a.tenant},
                          {"me", quota_allocator_->self()},
                          {"known", a.known},
                          {"want", a.want}});
}

void Controller::on_pay(const Json& m, const std::function<void(const Json&)>& answer) {
  const std::string tenant = m.value("s", "");
  auto sum = quota_allocator_->ask(tenant, m.value("me", ""), m.value("known", quota::Rights(0)),
                                   m.value("want", quota::Rights(0)));
  if (sum) answer({{"t", "paid"}, {"s", tenant}, {"from", quota_allocator_->self()}, {"sum", *sum}});
}

// --- links to the other cores and to agents ---------------------------------

void Controller::dial(const std::string& host) {
  auto& p = peers_[host];
  p.dialling = true;
  p.dial_at = loop_.now() + kReconnectMs;
  LineConnection::connect(
      loop_.io(), {host, settings_.internal_port_first}, kControllerConnectMs, kMaxLinkBytes,
      [this, host](LineConnection::Ptr conn, const asio::error_code&) {
        auto& peer = peers_[host];
        peer.dialling = false;
        if (!conn) return;
        if (peer.conn) return conn->close();
        peer.conn = conn;
        set_silence_limit(conn->socket(), replication::kPeerTimeoutMs * 3);
        conn->start({[](std::string_view) {},
                     [this, host, conn](LineConnection::End) {
                       if (peers_[host].conn == conn) peers_[host].conn = nullptr;
                     },
                     {}});
        conn->send(Json{{"t", "core"}, {"name", replica_->self()}, {"zone", settings_.zone}}.dump() + "\n");
        told_at_ = 0;
        replica_->on_link_established();
      });
}

void Controller::send(const std::string& to, const Json& message) {
  auto it = peers_.find(replication::host_of(to));
  if (it == peers_.end() || !it->second.conn) return;
  if (it->second.conn->queued() > kMaxPeerQueueBytes) {  // a peer that takes nothing: start anew
    it->second.conn->close();
    it->second.conn = nullptr;
    return;
  }
  it->second.conn->send(message.dump() + "\n");
}

void Controller::accept_inner(asio::ip::tcp::socket socket) {
  set_silence_limit(socket, replication::kPeerTimeoutMs * 3);
  auto t = std::make_shared<Agent>();
  t->conn = std::make_shared<LineConnection>(std::move(socket), kMaxLinkBytes);
  agents_[t] = false;
  t->conn->start({[this, t](std::string_view line) { on_inner(t, line); },
                  [this, t](LineConnection::End why) {
                    if (why == LineConnection::End::kTooLong)
                      log_.say("A message of " + (t->node.empty() ? "a new link" : t->node) +
                               " is too large; its link is closed.");
                    agents_.erase(t);
                  },
                  [this] { loop_.rearm(); }});
}

void Controller::on_inner(const std::shared_ptr<Agent>& link, std::string_view line) {
  Json m = Json::parse(line, nullptr, false);
  if (!m.is_object()) return refuse(link);
  try {
    if (agents_[link]) {
      if (!on_core(link->node, m)) refuse(link);
    } else if (m.value("t", "") == "core") {
      const std::string name = m.value("name", ""), host = replication::host_of(name);
      if (host.empty()) return refuse(link);
      link->node = name;
      replica_->add_host(host);
      peers_[host].zone = m.value("zone", "");
      peers_[host].name = link->node;
      agents_[link] = true;
      if (!peers_[host].conn) dial(host);  // it is up: no need to wait for an opening packet it never got
    } else {
      on_agent(link, m);
    }
  } catch (const Json::exception&) {  // a field of the wrong type: the peer is not understood
    refuse(link);
  }
}

void Controller::refuse(const std::shared_ptr<Agent>& link) {
  log_.say("A message of " + (link->node.empty() ? "a new link" : link->node) +
           " is not understood; its link is closed.");
  link->conn->close();
  agents_.erase(link);
}

bool Controller::on_core(const std::string& from, const Json& m) {
  Millis now = loop_.now();
  const std::string t = m.value("t", "");
  if (t == "hm") {
    auto& p = peers_[replication::host_of(from)];
    p.acked = m.value("k", std::uint64_t(0));
    p.view = m.value("v", std::uint64_t(0));
    p.nodes = m.value("n", std::size_t(0));
    p.told = now;
    failover_->tick(now);
  } else if (t == "sus") {
    on_suspect(m);
  } else if (t == "sums") {
    quota_holder_hosts_[m.value("me", "")] = replication::host_of(from);
    quota_allocator_->heard(m.value("me", ""), now, m.value("l", Json()));
  } else if (t == "pay") {
    on_pay(m, [&](const Json& a) { send(replication::host_of(from), a); });
  } else if (t == "paid") {
    quota_allocator_->paid(m.value("s", ""), m.value("from", ""), m.value("sum", quota::Rights(0)));
  } else if (t == "tight") {
    InstanceId id{m.value("id", "")};
    tight_[id] = now;
    tell_nodes("tight", id.value);
  } else if (t == "told") {
    if (auto i = decode_instance({m.value("id", "")}, m.value("v", ""))) failover_->on_heartbeat(now, *i);
  } else {
    auto message = replication::decode(m);
    if (!message) return false;
    replica_->receive(now, from, *message);
  }
  return true;
}

bool Controller::may_grant() const {
  return replica_->holds_lease(loop_.now());
}

std::size_t Controller::members() const {
  Millis now = loop_.now();
  std::size_t n = node_leases_.count(now);
  for (auto& [name, p] : peers_)
    if (now - p.told < 3 * replication::kPeerTimeoutMs) n += p.nodes;
  return n;
}

bool Controller::in_view(const std::string& host) const {
  auto p = peers_.find(host);
  return host == settings_.ip ? replica_->view().has(replica_->self())
                              : p != peers_.end() && replica_->view().has(p->second.name);
}

// The cores an agent may turn to; none when this core cannot know which are in the view today.
Json Controller::core_list() const {
  Json l = Json::array();
  if (!may_grant() && !replica_->hears_majority(loop_.now())) return l;
  if (in_view(settings_.ip) && !replica_->is_leaving())
    l.push_back(Json::array({settings_.ip, settings_.zone}));
  for (auto& [host, p] : peers_)
    if (!p.zone.empty() && p.conn && in_view(host)) l.push_back(Json::array({host, p.zone}));
  return l;
}

void Controller::on_agent(const std::shared_ptr<Agent>& t, const Json& m) {
  Millis now = loop_.now();
  const std::string kind = m.value("t", "");
  if (kind == "who") {
    t->conn->send(
        Json{{"t", "cores"}, {"l", core_list()}, {"ok", may_grant() && !replica_->is_leaving()}}.dump() +
        "\n");
  } else if (kind == "hi") {
    t->node = m.value("node", "");
    t->zone = m.value("zone", "");
    t->delivery.start(m.value("have", std::uint64_t(0)));
    feed(*t);
  } else if (kind == "got") {
    t->delivery.on_chunk_acknowledged();
    feed(*t);
  } else if (kind == "sound") {
    const std::string service = m.value("s", "");
    Json a{{"t", "depth"}, {"s", service}, {"at", m.value("at", Json())}};
    if (auto d = met_positions_.find(now, service)) a["p"] = d->position.text(), a["age"] = d->age;
    t->conn->send(a.dump() + "\n");
  } else if (kind == "full") {
    tighten({m.value("id", "")}, t.get());
  } else if (kind == "renew") {
    bool grant = may_grant();
    node_leases_.renew(now, t->node, t->zone, m.value("ack", std::uint64_t(0)), grant);
    if (m.contains("met")) on_positions(*t, m["met"]);
    if (grant) {
      t->conn->send(Json{{"t", "grant"},
                         {"at", m.value("at", Json())},
                         {"ms", kNodeLeaseMs},
                         {"k", replica_->state().last_sequence()},
                         {"n", members()},
                         {"life", life_},
                         {"c", now}}
                        .dump() +
                    "\n");
    }
    if (!grant && now > seated_at_ + 2 * kNodeRenewalMs) {
      // Nothing is to be had here for now: the node turns to another core.
      t->conn->send(Json{{"t", "away"}, {"l", core_list()}}.dump() + "\n");
      return;
    }
    feed(*t);
    tell_peers(false);
    if (failover_->is_under_way()) failover_->tick(now);  // it may wait for this acknowledgement
  } else if (kind == "sus") {
    Json report = m;
    report["z"] = t->zone;
    report["n"] = t->node;
    on_suspect(report);
  } else if (kind == "sight") {
    if (!outlier_detector_.report(now, t->zone, t->node, m))
      log_.say("A report of " + t->node + " has figures that cannot be; it is dropped.");
  } else if (kind == "pay") {
    on_pay(m, [&](const Json& a) { t->conn->send(a.dump() + "\n"); });
  } else if (kind == "beat" || kind == "leave") {
    on_relayed_beat(t, m);
  } else if (kind == "bye") {
    node_leases_.remove(t->node);
    tell_peers(false);
  } else if (kind == "status") {
    t->conn->send(status(false).dump() + "\n");
  }
}

// Positions of primaries that a node met, stamped by this core's clock as the node knows it.
void Controller::on_positions(const Agent& t, const Json& met) {
  if (met.value("life", std::uint64_t(0)) != life_) return;  // the clock of another core, or of a former life
  for (auto& e : met.at("p")) {
    auto p = Position::parse(e.at(1).get<std::string>());
    if (!cluster_.primary_of(e.at(0)) ||
        (p && met_positions_.report(loop_.now(), e.at(0), *p, e.at(2)).is_ok()))
      continue;
    return log_.say("A position told by " + t.node + " cannot be; it is dropped.");
  }
}

// What a node met at a database: to whoever holds the duty.
void Controller::on_suspect(const Json& report) {
  Millis now = loop_.now();
  if (!replica_->is_leader(now)) {
    const std::string head = replica_->view().head();
    if (head != replica_->self()) send(head, report);
    return;
  }
  InstanceId id{report.value("id", "")};
  const std::string node = report.value("n", "");
  if (report.value("ok", false))
    failover_->suspicions().clear_missing(id, node);
  else if (report.value("slow", false))
    failover_->suspicions().report_slow(now, id, report.value("z", ""), node);
  else
    failover_->suspicions().report_missing(now, id, report.value("z", ""), node, report.value("r", false),
                                           report.value("once", false));
  failover_->tick(now);
}

void Controller::feed(Agent& t) {
  if (!may_grant()) return;  // not even what has been begun: it goes on when the seat is back
  t.delivery.send_pending(replica_->state(), replica_->committed(), replica_->may_serve(loop_.now()), news_,
                          [&t](const std::string& line) { t.conn->send(line); });
}

// A database has no more connections to give: nodes everywhere keep fewer to it for a while. Told once in
// half of that while, whoever says so how often; one that has not heard is told alone.
void Controller::tighten(const InstanceId& id, Agent* teller) {
  Millis now = loop_.now();
  if (!cluster_.instance(id)) return;
  auto [it, fresh] = tight_.emplace(id, now);
  if (!fresh && now < it->second + kConnectionLimitTtlMs / 2) {
    if (teller) teller->conn->send(Json{{"t", "tight"}, {"id", id.value}}.dump() + "\n");
    return;
  }
  it->second = now;
  tell_nodes("tight", id.value);
  for (auto& [host, p] : peers_) send(host, {{"t", "tight"}, {"id", id.value}});
}

// Something passing about a database, to the nodes linked here, or to those of one zone.
void Controller::tell_nodes(const char* what, const std::string& id, const std::string& zone) {
  const std::string line = Json{{"t", what}, {"id", id}}.dump() + "\n";
  for (auto& [t, core] : agents_)
    if (!core && t->delivery.started() && (zone.empty() || t->zone == zone)) t->conn->send(line);
}

void Controller::feed_all() {
  for (auto& [t, core] : agents_)
    if (!core) feed(*t);
}

void Controller::on_committed() {
  feed_all();
  loop_.rearm();
}

// The other cores hear how many nodes hang here and what they all have acknowledged.
void Controller::tell_peers(bool always) {
  Millis now = loop_.now();
  std::uint64_t acked = node_leases_.acknowledged_by_all(now, replica_->state().last_sequence());
  std::size_t nodes = node_leases_.count(now);
  cluster_.follow(replica_->state());
  bool holding = std::any_of(cluster_.primaries().begin(), cluster_.primaries().end(),
                             [](auto& l) { return l.second.suspended; });
  bool due = always || now >= told_at_ + replication::kPeerTimeoutMs || nodes != told_nodes_ ||
             told_view_ != replica_->view().number || (holding && acked != told_acked_);
  if (!due) return;
  told_at_ = now;
  told_acked_ = acked;
  told_nodes_ = nodes;
  told_view_ = replica_->view().number;
  for (auto& [name, p] : peers_) send(name, {{"t", "hm"}, {"n", nodes}, {"k", acked}, {"v", told_view_}});
}

bool Controller::all_acknowledged(std::uint64_t number) const {
  Millis now = loop_.now();
  // A core put out lately may have granted leases that still run.
  if (now < replica_->member_removed_at() + kNodeLeaseMs + kClockDriftMarginMs) return false;
  if (node_leases_.acknowledged_by_all(now, replica_->state().last_sequence()) < number) return false;
  for (auto& m : replica_->view().members) {
    if (m.id == replica_->self()) continue;
    auto p = peers_.find(replication::host_of(m.id));
    if (p == peers_.end() || p->second.name != m.id || p->second.acked < number) return false;
    // A number said in a former view may have stood for a change that was lost with its head.
    if (p->second.view != replica_->view().number) return false;
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

void Controller::on_config(const HttpRequest& r, HttpDone done) {
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
  // What no state makes sound is refused here. All else is the head's to judge, under its lease.
  const bool patch = r.method == "PATCH";
  std::uint64_t revision = 0;
  std::string wrong;
  if (patch)
    wrong = check_patch(r.body).message();
  else if (auto read = read_configuration(r.body))
    revision = read->revision;
  else
    wrong = read.status().message();
  if (!wrong.empty()) {
    note("A configuration was refused: " + wrong + ".");
    return done(plain(400, wrong));
  }
  // What is acknowledged must bear the losses asked for: the first one waits until the voters are complete.
  if (!replica_->state().find(kConfigurationKey) && !replica_->has_all_voters() &&
      loop_.now() < born_ + kInitialVotersWaitMs)
    return done(plain(503, "the core is still growing"));
  const std::string what =
      patch ? "A change of " + std::to_string(base) : "Configuration " + std::to_string(revision);
  replica_->submit(
      loop_.now(), patch ? patch_configuration(base, r.body) : put_configuration(base, r.body),
      [this, done, what](Status a) {
        note(what + (a.is_ok() ? " is acknowledged." : " is not acknowledged: " + a.message() + "."));
        done(a.is_ok() ? plain(200) : plain(http_status(a), a.message()));
      });
}

namespace {

int run_controller() {
  return run_role("controller", [](Settings settings) {
    Log log("controller");
    if (settings.data_directory.empty()) {
      log.say("The settings name no DataDirectory.");
      return 1;
    }
    auto note = [&log](const std::string& sentence) { log.say(sentence); };
    auto disk = open_store(settings.data_directory, note);
    if (!disk) log.say("The disk cannot be used: " + disk.status().message() + ". It is tried again.");
    while (!disk) {  // full or stalled disks come back; until then there is nothing to serve
      std::this_thread::sleep_for(std::chrono::milliseconds(replication::kDiskRetryMs));
      disk = open_store(settings.data_directory, note);
    }
    return Controller(std::move(settings), std::move(*disk)).run();
  });
}

const RegisterCommand kControllerCommand("controller", "serves the control plane on a core machine",
                                         run_controller);

}  // namespace
}  // namespace pebblespindle
