#include "controller/controller.h"

#include <algorithm>
#include <csignal>
#include <random>

#include "base/clock.h"
#include "base/exception_barrier.h"
#include "cli/command_registry.h"
#include "config/command_validation.h"
#include "controller/constants.h"
#include "failover/constants.h"
#include "health/constants.h"
#include "membership/constants.h"
#include "net/constants.h"
#include "quota/constants.h"
#include "replication/codec.h"
#include "replication/timing.h"

namespace pebblespindle {
namespace {

std::uint64_t draw_incarnation() {
  std::random_device random;
  return std::uint64_t(random()) << 32 | random();
}

}  // namespace

Controller::Controller(Settings settings, std::unique_ptr<SqliteStore> store)
    : settings_(std::move(settings)),
      store_(std::move(store)),
      incarnation_(draw_incarnation()),
      node_leases_(loop_.now()),
      quota_allocator_(settings_.ip + "/" + std::to_string(incarnation_)),
      peers_(
          loop_, settings_.internal_port_first,
          [this] {
            return Json{{"t", "core"}, {"name", replica_->self()}, {"zone", settings_.zone}};
          },
          [this] {
            reported_at_ = 0;
            replica_->on_link_established();
          }),
      outlier_detector_(
          [this](const std::string& event) { log_event(event); },
          [this](const std::string& id, const std::string& zone) { send_to_agents("avoid", id, zone); }),
      lease_held_at_(loop_.now()) {
  replica_ = std::make_unique<replication::Replica>(replica_options(), *store_, *this, loop_.now());
  failover_ =
      std::make_unique<failover::Failover>(replica_->state(), failover_callbacks(), settings_.drain_ms);
  database_client_.may_act = [this] { return replica_->is_leader(loop_.now()); };
}

// --- the process
// ----------------------------------------------------------------------------------------------

replication::ReplicaOptions Controller::replica_options() const {
  replication::ReplicaOptions options;
  options.host = settings_.ip;
  for (auto& seed : settings_.seeds) options.seeds.push_back(seed.host);
  options.bootstrap = settings_.bootstrap;
  options.tolerated_losses = std::size_t(settings_.machine_losses);
  options.incarnation = incarnation_;
  return options;
}

failover::FailoverCallbacks Controller::failover_callbacks() {
  failover::FailoverCallbacks callbacks;
  callbacks.is_leader = [this] { return replica_->is_leader(loop_.now()); };
  callbacks.fencing_token = [this] {
    const auto& view = replica_->view();
    return view.head() == replica_->self() ? view.term : 0;
  };
  callbacks.query = [this](const Instance& instance, const std::string& statement,
                           std::function<void(failover::DatabaseReply)> done) {
    query_database(instance, statement, std::move(done));
  };
  callbacks.promote = [this](const std::string& service, const InstanceId& id,
                             std::function<void(failover::PromoteOutcome)> done) {
    call_platform(service, id, std::move(done));
  };
  callbacks.submit = [this](Json command, replication::SubmitCallback done) {
    replica_->submit(loop_.now(), std::move(command), std::move(done));
  };
  callbacks.acknowledged_by_all_nodes = [this](SequenceNumber sequence) {
    return acknowledged_by_all_nodes(sequence);
  };
  callbacks.node_count = [this] { return node_count(); };
  callbacks.log_event = [this](const std::string& event) { log_event(event); };
  return callbacks;
}

void Controller::query_database(const Instance& instance, const std::string& statement,
                                std::function<void(failover::DatabaseReply)> done) {
  database_client_.ask(
      instance, statement,
      [this, id = instance.id, done = std::move(done)](const failover::DatabaseReply& reply) {
        if (reply.error.starts_with("CONNLIMIT")) on_connection_limit(id, nullptr);
        done(reply);
      });
}

void Controller::call_platform(const std::string& service, const InstanceId& id,
                               std::function<void(failover::PromoteOutcome)> done) {
  if (!settings_.platform) return done(failover::PromoteOutcome::kNotSent);
  HttpRequest request{"POST",
                      "/failovers",
                      Json{{"TargetService", service}, {"InstanceId", id.value}}.dump(),
                      {{"Content-Type", "application/json"},
                       {"X-Pebblespindle-Duty-Holder", settings_.node_name},
                       {"X-Pebblespindle-Fence-Token", std::to_string(replica_->view().term)}}};
  http_call(
      loop_.io(), *settings_.platform, request, {kPlatformTimeoutMs, kPromoteExpiryMs},
      [this, done](const HttpReply& reply) {
        done(failover::promote_outcome(reply.status));
        loop_.rearm();
      },
      [this] { return replica_->is_leader(loop_.now()); });
}

Status Controller::listen() {
  auto acceptor = Acceptor::listen(loop_.io(), settings_.control_link_endpoint(),
                                   [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); });
  if (!acceptor) return acceptor.status();
  acceptor_ = std::move(*acceptor);
  auto listener = settings_.listeners.find("ControlPlane");
  if (listener == settings_.listeners.end())
    return Status::invalid_argument("the settings name no ControlPlane listener");
  auto server = HttpServer::listen(
      loop_.io(), listener->second,
      [this](const HttpRequest& request, HttpDone done) { on_http(request, std::move(done)); });
  if (!server) return server.status();
  control_server_ = std::move(*server);
  return Status::ok();
}

int Controller::run() {
  if (const Status listening = listen(); !listening.is_ok()) {
    log_.say("cannot listen: " + listening.message());
    return kExitFailure;
  }
  loop_.on_signal(SIGTERM, [this] {
    log_.say("asked to end: signal=SIGTERM");
    begin_leaving();
  });
  loop_.on_signal(SIGHUP, [this] { reload_settings(); });
  log_.say("serves: name=" + settings_.node_name +
           " address=" + settings_.listeners.at("ControlPlane").text());
  loop_.every(replication::kHeartbeatMs / 5, [this] { tick(); });
  loop_.run();
  return kExitOk;
}

void Controller::reload_settings() {
  auto settings = load_settings(settings_path());
  log_.say(settings ? "settings reloaded" : "settings rejected: " + settings.status().message());
  if (!settings) return;
  settings_.platform = settings->platform;
  for (auto& seed : settings->seeds) replica_->add_host(seed.host);
}

// Hands over before it ends: its nodes turn to other controllers while their leases run, and its vote goes to
// a standby, if there is one.
void Controller::begin_leaving() {
  if (replica_->is_leaving()) return;
  const Instant now = loop_.now();
  replica_->begin_leaving(now);
  leave_by_ = now + std::min(kHandOverTimeoutMs, settings_.grace_ms / 2);
  const Json away{{"t", "away"}, {"l", controller_list()}};
  for (auto& link : links_)
    if (link->is_started_agent()) link->send(away);
  tick();
  loop_.rearm();
}

// A part that throws, however often, keeps no other one from its turn.
void Controller::tick() {
  const Instant now = loop_.now();
  for (auto part : {&Controller::exit_when_handed_over, &Controller::tick_replica, &Controller::observe_lease,
                    &Controller::expire_reports, &Controller::observe_duty, &Controller::tick_failover,
                    &Controller::report_changed_leases, &Controller::exchange_quotas})
    run_guarded(Boundary::kTimer, [&] { (this->*part)(now); });
}

void Controller::tick_replica(Instant now) {
  if (replica_->has_identity()) peers_.connect_missing(now, replica_->hosts());
  replica_->tick(now);
}

void Controller::expire_reports(Instant now) {
  node_leases_.expire(now);
  std::erase_if(connection_limited_at_,
                [now](auto& entry) { return now >= entry.second + kConnectionLimitTtlMs; });
  outlier_detector_.expire(now);
}

void Controller::tick_failover(Instant now) {
  failover_->tick(now);
  database_client_.expire();
}

void Controller::exit_when_handed_over(Instant now) {
  if (!replica_->is_leaving() || exiting_) return;
  if (now < leave_by_ && !replica_->may_exit(now)) return;
  exiting_ = true;
  log_.say("leaves the view: id=" + replica_->self());
  replica_->stop(now);
  loop_.timers().at(now + kReconnectMs / 2, [this] { loop_.stop(); });
}

void Controller::observe_lease(Instant now) {
  if (holds_lease()) {
    if (lease_held_at_ < last_tick_) feed_all();  // what was held back meanwhile
    lease_held_at_ = now;
  }
  last_tick_ = now;
}

void Controller::observe_duty(Instant now) {
  const bool holds_duty = replica_->is_leader(now);
  if (holds_duty == held_duty_) return;
  held_duty_ = holds_duty;
  log_.say(holds_duty ? "failover duty taken: token=" + std::to_string(replica_->view().term)
                      : "failover duty lost");
}

// --- replication::Environment
// ---------------------------------------------------------------------------------

void Controller::send(const replication::ReplicaId& to, const replication::Message& message) {
  peers_.send(to, replication::encode(message));
}

replication::ValidationResult Controller::validate(const StateTable& state, const Json& command) {
  return validate_command(state, command);
}

void Controller::on_committed() {
  feed_all();
  loop_.rearm();
}

// --- links of others
// ------------------------------------------------------------------------------------------

void Controller::accept(asio::ip::tcp::socket socket) {
  set_silence_limit(socket, replication::kPeerTimeoutMs * 3);
  auto link = std::make_shared<InboundLink>();
  link->connection = std::make_shared<LineConnection>(std::move(socket), Framing::kLfLines, kMaxLinkBytes);
  links_.insert(link);
  link->connection->start({[this, link](std::string_view line) { on_line(link, line); },
                           [this, link](LineConnection::End end) {
                             if (end == LineConnection::End::kTooLong)
                               log_.say("link closed: message too large, from=" + link->peer_name());
                             if (end == LineConnection::End::kFailed)
                               log_.say("link closed: message not understood, from=" + link->peer_name());
                             links_.erase(link);
                           },
                           [this] { loop_.rearm(); }});
}

void Controller::on_line(const InboundLink::Ptr& link, std::string_view line) {
  const Json message = parse_message(line);
  if (!message.is_object()) return close_misunderstood(link);
  // A field of the wrong type throws, which ends the link.
  if (link->is_controller) {
    if (!on_peer_message(link->name, message)) close_misunderstood(link);
  } else if (message.value("t", "") == "core") {
    on_peer_hello(link, message);
  } else {
    on_agent_message(link, message);
  }
}

void Controller::close_misunderstood(const InboundLink::Ptr& link) {
  log_.say("link closed: message not understood, from=" + link->peer_name());
  link->connection->close();
  links_.erase(link);
}

void Controller::on_peer_hello(const InboundLink::Ptr& link, const Json& message) {
  const std::string id = message.value("name", "");
  const std::string host = replication::host_of(id);
  if (host.empty()) return close_misunderstood(link);
  link->name = id;
  replica_->add_host(host);
  PeerLinks::Peer& peer = peers_.at(host);
  peer.zone = message.value("zone", "");
  peer.id = id;
  link->is_controller = true;
  if (!peer.connection && replica_->has_identity())
    peers_.connect(host);  // it is up: no need to wait for an opening packet it never got
}

bool Controller::on_peer_message(const std::string& from, const Json& message) {
  const Instant now = loop_.now();
  const std::string type = message.value("t", "");
  if (type == "hm") {
    PeerLinks::Peer& peer = peers_.at(replication::host_of(from));
    peer.acknowledged = message.value("k", SequenceNumber(0));
    peer.acknowledged_in_view = message.value("v", replication::ViewNumber(0));
    peer.node_count = message.value("n", std::size_t(0));
    peer.reported_at = now;
    failover_->tick(now);
  } else if (type == "sus") {
    on_suspicion(message);
  } else if (type == "sums") {
    quota_holder_hosts_[message.value("me", "")] = replication::host_of(from);
    quota_allocator_.on_peer_balances(message.value("me", ""), now, message.value("l", Json()));
  } else if (type == "pay") {
    on_rights_request(message, [&](const Json& answer) { peers_.send(from, answer); });
  } else if (type == "paid") {
    quota_allocator_.on_transfer(message.value("s", ""), message.value("from", ""),
                                 message.value("sum", quota::Rights(0)));
  } else if (type == "tight") {
    const InstanceId id{message.value("id", "")};
    connection_limited_at_[id] = now;
    send_to_agents("tight", id.value);
  } else if (type == "told") {
    if (auto instance = decode_instance({message.value("id", "")}, message.value("v", "")))
      failover_->on_heartbeat(now, *instance);
  } else {
    auto decoded = replication::decode(message);
    if (!decoded) return false;
    replica_->receive(now, from, *decoded);
  }
  return true;
}

// --- agents
// ---------------------------------------------------------------------------------------------------

void Controller::on_agent_message(const InboundLink::Ptr& link, const Json& message) {
  const std::string type = message.value("t", "");
  if (type == "who") {
    on_controllers_query(*link);
  } else if (type == "hi") {
    on_agent_hello(*link, message);
  } else if (type == "got") {
    link->delivery.on_chunk_acknowledged();
    feed(*link);
  } else if (type == "sound") {
    on_position_query(*link, message);
  } else if (type == "full") {
    on_connection_limit({message.value("id", "")}, link.get());
  } else if (type == "renew") {
    on_lease_renewal(*link, message);
  } else if (type == "sus") {
    Json report = message;
    report["z"] = link->zone;
    report["n"] = link->name;
    on_suspicion(report);
  } else if (type == "sight") {
    on_health_report(*link, message);
  } else if (type == "pay") {
    on_rights_request(message, [&](const Json& answer) { link->send(answer); });
  } else if (type == "beat" || type == "leave") {
    on_relayed_heartbeat(link, message);
  } else if (type == "bye") {
    node_leases_.remove(link->name);
    report_leases(false);
  } else if (type == "status") {
    link->send(status(false));
  }
}

void Controller::on_controllers_query(InboundLink& link) {
  const bool has_place = holds_lease() && !replica_->is_leaving();
  link.send({{"t", "cores"}, {"l", controller_list()}, {"ok", has_place}});
}

void Controller::on_agent_hello(InboundLink& link, const Json& message) {
  link.name = message.value("node", "");
  link.zone = message.value("zone", "");
  link.delivery.start(message.value("have", SequenceNumber(0)));
  feed(link);
}

void Controller::on_position_query(InboundLink& link, const Json& message) {
  const std::string service = message.value("s", "");
  Json answer{{"t", "depth"}, {"s", service}, {"at", message.value("at", Json())}};
  if (auto known = positions_.find(loop_.now(), service)) {
    answer["p"] = known->position.text();
    answer["age"] = known->age;
  }
  link.send(answer);
}

void Controller::on_lease_renewal(InboundLink& link, const Json& message) {
  const Instant now = loop_.now();
  const bool granted = holds_lease();
  node_leases_.renew(now, link.name, link.zone, message.value("ack", SequenceNumber(0)), granted);
  if (message.contains("met")) on_positions(link, message["met"]);
  if (granted) {
    link.send({{"t", "grant"},
               {"at", message.value("at", Json())},
               {"ms", kNodeLeaseMs},
               {"k", replica_->state().last_sequence()},
               {"n", node_count()},
               {"life", incarnation_},
               {"c", now}});
  } else if (now > lease_held_at_ + 2 * kNodeRenewalMs) {
    // Nothing is to be had here for now: the node turns to another controller.
    return link.send({{"t", "away"}, {"l", controller_list()}});
  }
  feed(link);
  report_leases(false);
  if (failover_->is_under_way()) failover_->tick(now);  // it may wait for this acknowledgement
}

// Positions of primaries that a node met, stamped by this controller's clock as the node knows it.
void Controller::on_positions(const InboundLink& link, const Json& positions) {
  // The clock of another controller, or of a former process, says nothing here.
  if (positions.value("life", std::uint64_t(0)) != incarnation_) return;
  for (auto& entry : positions.at("p")) {
    const auto position = Position::parse(entry.at(1).get<std::string>());
    if (!cluster_.primary_of(entry.at(0))) continue;
    if (position && positions_.report(loop_.now(), entry.at(0), *position, entry.at(2)).is_ok()) continue;
    return log_.say("position rejected: impossible, from=" + link.name);
  }
}

void Controller::on_health_report(const InboundLink& link, const Json& message) {
  if (!outlier_detector_.report(loop_.now(), link.zone, link.name, message))
    log_.say("health report rejected: impossible counts, from=" + link.name);
}

// What a node met at a database: to whoever holds the duty.
void Controller::on_suspicion(const Json& report) {
  const Instant now = loop_.now();
  if (!replica_->is_leader(now)) {
    const replication::ReplicaId head = replica_->view().head();
    if (head != replica_->self()) peers_.send(head, report);
    return;
  }
  const InstanceId id{report.value("id", "")};
  const std::string node = report.value("n", "");
  const std::string zone = report.value("z", "");
  failover::Suspicions& suspicions = failover_->suspicions();
  if (report.value("ok", false))
    suspicions.clear_missed_reply(id, node);
  else if (report.value("slow", false))
    suspicions.report_slow(now, id, zone, node);
  else
    suspicions.report_missed_reply(now, id, zone, node, report.value("r", false),
                                   report.value("once", false));
  failover_->tick(now);
}

void Controller::feed(InboundLink& link) {
  if (!holds_lease()) return;  // not even what has been begun: it goes on when the lease is back
  link.delivery.send_pending(replica_->state(), replica_->committed(), replica_->may_serve(loop_.now()),
                             shared_feed_, [&link](const std::string& line) { link.connection->send(line); });
}

void Controller::feed_all() {
  for (auto& link : links_)
    if (!link->is_controller) run_guarded(Boundary::kReplication, [&] { feed(*link); });
}

// Something passing about a database, to the nodes linked here, or to those of one zone.
void Controller::send_to_agents(const char* type, const std::string& id, const std::string& zone) {
  const Json message{{"t", type}, {"id", id}};
  for (auto& link : links_)
    if (link->is_started_agent() && (zone.empty() || link->zone == zone)) link->send(message);
}

bool Controller::is_in_view(const std::string& host) const {
  const auto& view = replica_->view();
  if (host == settings_.ip) return view.has_member(replica_->self());
  const PeerLinks::Peer* peer = peers_.find(host);
  return peer && view.has_member(peer->id);
}

// The controllers that an agent may turn to; none when this one cannot know which are in the view today.
Json Controller::controller_list() const {
  Json list = Json::array();
  if (!holds_lease() && !replica_->hears_majority(loop_.now())) return list;
  if (is_in_view(settings_.ip) && !replica_->is_leaving())
    list.push_back(Json::array({settings_.ip, settings_.zone}));
  for (auto& [host, peer] : peers_.all())
    if (!peer.zone.empty() && peer.connection && is_in_view(host))
      list.push_back(Json::array({host, peer.zone}));
  return list;
}

// A database has no more connections to give: nodes everywhere keep fewer to it for a while. Told once in
// half of that while, whoever says so how often; one that has not heard is told alone.
void Controller::on_connection_limit(const InstanceId& id, InboundLink* reporter) {
  const Instant now = loop_.now();
  if (!cluster_.instance(id)) return;
  const Json message{{"t", "tight"}, {"id", id.value}};
  auto [it, inserted] = connection_limited_at_.emplace(id, now);
  if (!inserted && now < it->second + kConnectionLimitTtlMs / 2) {
    if (reporter) reporter->send(message);
    return;
  }
  it->second = now;
  send_to_agents("tight", id.value);
  peers_.send_to_all(message);
}

// --- quotas
// ---------------------------------------------------------------------------------------------------

// Allowances grow while this controller has its place; the controllers tell each other what they hold, and
// even it out.
void Controller::exchange_quotas(Instant now) {
  cluster_.update_from(replica_->state());
  const auto& tenants = cluster_.configuration().tenants;
  if (tenants.empty()) return;
  quota_allocator_.accrue(now, tenants, holds_lease() ? replica_->view().members.size() : 0);
  if (now >= quota_sums_sent_at_ + kQuotaSyncMs) {
    quota_sums_sent_at_ = now;
    if (Json sums = quota_allocator_.balances(); !sums.is_null())
      peers_.send_to_all({{"t", "sums"}, {"me", quota_allocator_.self()}, {"l", sums}});
  }
  for (auto& shortage : quota_allocator_.transfer_requests(now)) {
    auto host = quota_holder_hosts_.find(shortage.peer);
    if (host == quota_holder_hosts_.end()) continue;
    peers_.send(host->second, {{"t", "pay"},
                               {"s", shortage.tenant},
                               {"me", quota_allocator_.self()},
                               {"known", shortage.received},
                               {"want", shortage.amount}});
  }
}

void Controller::on_rights_request(const Json& message, const Answer& answer) {
  const std::string tenant = message.value("s", "");
  auto sum =
      quota_allocator_.request(tenant, message.value("me", ""), message.value("known", quota::Rights(0)),
                               message.value("want", quota::Rights(0)));
  if (sum) answer({{"t", "paid"}, {"s", tenant}, {"from", quota_allocator_.self()}, {"sum", *sum}});
}

// --- leases of nodes, over all controllers
// --------------------------------------------------------------------

// The other controllers hear how many nodes have a lease here and what they all have acknowledged.
void Controller::report_leases(bool always) {
  const Instant now = loop_.now();
  const SequenceNumber acknowledged =
      node_leases_.acknowledged_by_all(now, replica_->state().last_sequence());
  const std::size_t nodes = node_leases_.count(now);
  const replication::ViewNumber view = replica_->view().number;
  cluster_.update_from(replica_->state());
  const auto& primaries = cluster_.primaries();
  const bool any_suspended =
      std::any_of(primaries.begin(), primaries.end(), [](auto& entry) { return entry.second.suspended; });
  const bool due = always || now >= reported_at_ + replication::kPeerTimeoutMs || nodes != reported_nodes_ ||
                   view != reported_view_ || (any_suspended && acknowledged != reported_acknowledged_);
  if (!due) return;
  reported_at_ = now;
  reported_acknowledged_ = acknowledged;
  reported_nodes_ = nodes;
  reported_view_ = view;
  peers_.send_to_all({{"t", "hm"}, {"n", nodes}, {"k", acknowledged}, {"v", view}});
}

std::size_t Controller::node_count() const {
  const Instant now = loop_.now();
  std::size_t count = node_leases_.count(now);
  for (auto& [host, peer] : peers_.all())
    if (peer.reported_at && now - *peer.reported_at < 3 * replication::kPeerTimeoutMs)
      count += peer.node_count;
  return count;
}

bool Controller::acknowledged_by_all_nodes(SequenceNumber sequence) const {
  const Instant now = loop_.now();
  // A controller that was removed lately may have granted leases that still run.
  if (now < replica_->member_removed_at() + kNodeLeaseMs + kClockDriftMarginMs) return false;
  if (node_leases_.acknowledged_by_all(now, replica_->state().last_sequence()) < sequence) return false;
  for (auto& member : replica_->view().members) {
    if (member.id == replica_->self()) continue;
    const PeerLinks::Peer* peer = peers_.find(replication::host_of(member.id));
    if (!peer || peer->id != member.id || peer->acknowledged < sequence) return false;
    // A number said in a former view may have stood for a change that was lost with its head.
    if (peer->acknowledged_in_view != replica_->view().number) return false;
  }
  return true;
}

}  // namespace pebblespindle
