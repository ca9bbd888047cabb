// The proxy's process: joins the engine to sockets, to the agent's feed, and to the ready probe.
#include <csignal>
#include <random>
#include <set>

#include "base/log.h"
#include "cli/command_registry.h"
#include "health/constants.h"
#include "membership/constants.h"
#include "net/constants.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "net/line_connection.h"
#include "pooler/constants.h"
#include "pooler/control_feed.h"
#include "pooler/engine.h"
#include "proxy/agent_link.h"
#include "proxy/exit_schedule.h"
#include "replication/timing.h"
#include "settings/run_role.h"

namespace pebblespindle {
namespace {

using pooler::ConnectionId;
using pooler::SessionId;

class Pooler : public pooler::EngineCallbacks {
 public:
  explicit Pooler(Settings s)
      : settings_(std::move(s)),
        engine_(*this, loop_.timers(), settings_.zone, settings_.drain_ms, std::random_device{}()) {}

  int run() {
    auto front = settings_.listeners.find("Frontend");
    auto ready = settings_.listeners.find("Readiness");
    if (front == settings_.listeners.end() || ready == settings_.listeners.end()) {
      log_.say("The settings name no Frontend or no Readiness listener.");
      return 1;
    }
    auto http = HttpServer::listen(loop_.io(), ready->second, [this](const HttpRequest& r, HttpDone done) {
      if (r.path != "/readiness") return done({404, "", {}});
      touch();
      done({engine_.ready() ? 200 : 503, "", {}});
    });
    if (!http) return refuse(http.status().message());
    ready_ = std::move(*http);
    auto clients = Acceptor::listen(loop_.io(), front->second,
                                    [this](asio::ip::tcp::socket s) { accept_client(std::move(s)); });
    if (!clients) return refuse(clients.status().message());
    front_ = std::move(*clients);
    loop_.on_signal(SIGTERM, [this] { leave(); });
    loop_.on_signal(SIGHUP, [this] {
      auto s = load_settings(settings_path());
      log_.say(s ? "Settings read again." : "Settings not taken: " + s.status().message());
    });
    log_.say("Pooler " + settings_.node_name + " serves at " + front->second.text() + ".");
    loop_.every(kNodeRenewalMs, [this] { renew(); });
    loop_.every(kLatencyWindowMs, [this] {
      touch();
      engine_.check_primary_latency();
    });
    loop_.every(kIdleCheckIntervalMs, [this] {
      touch();
      engine_.close_idle_connections();
    });
    loop_.every(kHealthWindowMs, [this] {
      touch();
      Json sights = engine_.take_health_report();
      if (!sights.is_null()) agent_link_.send(sights);
    });
    agent_link_.start();
    loop_.run();
    return 0;
  }

  // pooler::Port
  void send_to_client(SessionId id, std::string bytes) override {
    auto it = clients_.find(id);
    if (it != clients_.end()) it->second->send(bytes);
  }
  void close_client(SessionId id) override {
    auto it = clients_.find(id);
    if (it == clients_.end()) return;
    const LineConnection::Ptr connection = it->second;
    clients_.erase(it);
    if (!engine_.shutting_down()) return connection->close_after_flush();
    ending_.push_back(connection);
    connection->close_lingering();  // its client may be about to send
  }
  void open_connection(ConnectionId id, const Endpoint& at) override {
    LineConnection::connect(
        loop_.io(), at, kServerConnectMs, kMaxMessageBytes,
        [this, id](LineConnection::Ptr conn, const asio::error_code& ec) {
          touch();
          opening_.erase(id);
          bool abandoned = abandoned_.erase(id) > 0;
          if (!conn) {
            engine_.on_connection_lost(
                id, ec == asio::error::connection_refused || ec == asio::error::connection_reset, false);
          } else if (abandoned) {
            conn->close();
          } else {
            start_server(id, conn);
          }
          loop_.rearm();
        });
    opening_.insert(id);
  }
  void send_to_database(ConnectionId id, std::string bytes) override {
    auto it = servers_.find(id);
    if (it != servers_.end()) it->second->send(bytes);
  }
  void close_connection(ConnectionId id, bool orderly) override {
    auto it = servers_.find(id);
    if (it == servers_.end()) {
      if (opening_.count(id)) abandoned_.insert(id);
      return;
    }
    if (orderly) {
      it->second->send("CLOSE\r\n");
      it->second->close_after_flush();
    } else {
      it->second->close();
    }
    servers_.erase(it);
  }
  void report_recovered(const InstanceId& id) override {
    auto told = suspected_.find(id);
    if (told == suspected_.end()) return;
    if (!told->second.once) log_.say("Database " + id.value + " answers again.");
    suspected_.erase(told);
    agent_link_.send(Json{{"t", "sus"}, {"id", id.value}, {"ok", true}});
  }
  void report_connection_limit(const InstanceId& id) override {
    agent_link_.send(Json{{"t", "full"}, {"id", id.value}});
  }
  void report_slow_primary(const InstanceId& id) override {
    agent_link_.send(Json{{"t", "sus"}, {"id", id.value}, {"slow", true}});
  }
  void report_failure(const InstanceId& id, FailureKind trouble) override {
    Millis now = loop_.now();
    bool refused = trouble == FailureKind::kConnectionRefused, once = trouble == FailureKind::kSingleTimeout;
    auto& last = suspected_[id];
    if (last.at != 0 && now - last.at < replication::kPeerTimeoutMs && (once || !last.once)) return;
    if (!once && (last.at == 0 || last.once))
      log_.say("Database " + id.value + (refused ? " refuses connections." : " gives no answers."));
    last = {now, once};
    if (!agent_link_.up()) return;
    Json m{{"t", "sus"}, {"id", id.value}, {"r", refused}};
    if (once) m["once"] = true;
    agent_link_.send(m);
  }
  void request_quota(const std::string& tenant, quota::Rights want) override {
    if (!agent_link_.up()) return;
    agent_link_.send(Json{{"t", "pay"},
                          {"s", tenant},
                          {"me", incarnation_},
                          {"known", engine_.known_quota(tenant, control_feed_.controller())},
                          {"want", want}});
  }
  void request_position(const std::string& service) override {
    agent_link_.send(Json{{"t", "sound"}, {"s", service}, {"at", loop_.now()}});
  }

 private:
  int refuse(const std::string& why) {
    log_.say(why);
    return 1;
  }
  void touch() { engine_.set_time(loop_.now()); }

  void accept_client(asio::ip::tcp::socket socket) {
    touch();
    set_silence_limit(socket, kServerConnectMs * 10);
    SessionId id = ++last_session_;
    auto conn = std::make_shared<LineConnection>(std::move(socket), kMaxMessageBytes);
    clients_[id] = conn;
    engine_.on_client_connected(id);
    conn->start({[this, id](std::string_view line) {
                   touch();
                   engine_.on_client_line(id, line);
                   if (has_backlog(id)) hold_back(id);
                 },
                 [this, id](LineConnection::End end) {
                   touch();
                   if (end == LineConnection::End::kTooLong) engine_.on_client_line_too_long(id);
                   clients_.erase(id);
                   engine_.on_client_closed(id);
                   loop_.rearm();
                 },
                 [this, id] {
                   engine_.on_client_read_end(id);
                   loop_.rearm();
                 }});
  }

  // A client that sends ahead, or does not read, is not read until it has caught up.
  bool has_backlog(SessionId id) {
    auto it = clients_.find(id);
    return it != clients_.end() && (engine_.has_backlog(id) || it->second->queued() > kBackpressureBytes);
  }
  void hold_back(SessionId id) {
    clients_[id]->pause(true);
    if (held_back_.empty()) loop_.timers().at(loop_.now() + kReconnectMs / 4, [this] { let_on(); });
    held_back_.insert(id);
  }
  void let_on() {
    std::erase_if(held_back_, [this](SessionId id) {
      if (has_backlog(id)) return false;
      if (auto it = clients_.find(id); it != clients_.end()) it->second->pause(false);
      return true;
    });
    if (!held_back_.empty()) loop_.timers().at(loop_.now() + kReconnectMs / 4, [this] { let_on(); });
  }

  void start_server(ConnectionId id, const LineConnection::Ptr& conn) {
    servers_[id] = conn;
    conn->start({[this, id](std::string_view line) {
                   touch();
                   engine_.on_database_line(id, line);
                 },
                 [this, id](LineConnection::End) {
                   touch();
                   servers_.erase(id);
                   engine_.on_connection_lost(id, false, false);
                   loop_.rearm();
                 },
                 [this, id] {
                   engine_.on_database_read_end(id);
                   loop_.rearm();
                 }});
    engine_.on_connection_up(id);
  }

  void renew() {
    touch();
    if (!agent_link_.up()) return;
    told_ = engine_.acknowledged_sequence();
    Json m{{"t", "renew"}, {"at", loop_.now()}, {"ack", told_}};
    if (Json met = engine_.take_observed_positions(); !met.is_null()) m["met"] = std::move(met);
    agent_link_.send(m);
    // An acknowledgement that waits for running work follows as soon as that is over.
    if (told_ < engine_.cluster().sequence() && !watching_) watch();
  }

  void watch() {
    watching_ = true;
    loop_.timers().at(loop_.now() + kReconnectMs / 5, [this] {
      watching_ = false;
      touch();
      if (engine_.acknowledged_sequence() > told_)
        renew();
      else if (told_ < engine_.cluster().sequence())
        watch();
    });
    loop_.rearm();
  }

  void on_feed(std::string_view line) {
    touch();
    bool was = engine_.ready();
    if (!control_feed_.handle_line(loop_.now(), line)) return;
    if (!was && engine_.ready())
      log_.say("Ready with configuration " + std::to_string(engine_.cluster().configuration().revision) +
               ".");
    renew();
  }

  // Unready at once; serves until the platform has surely noticed, then ends what rests. From half of the
  // grace period on nothing new is run; what is at work is answered, in the last resort with what is known of
  // it.
  void leave() {
    touch();
    if (engine_.shutting_down()) return;
    log_.say("Asked to end: unready from now on.");
    engine_.begin_shutdown();
    const ExitSchedule schedule = ExitSchedule::of(settings_.grace_ms);
    const Millis now = loop_.now();
    stop_taking_at_ = now + schedule.stop_taking_after;
    exit_step(now + schedule.close_idle_after, "close idle", [this] {
      engine_.close_idle_sessions();
      front_->close();
      end_if_empty();
    });
    exit_step(stop_taking_at_, "stop taking", [this] { engine_.stop_accepting_statements(); });
    exit_step(now + schedule.give_up_after, "give up", [this] { engine_.abort_sessions(); });
    exit_step(now + schedule.end_after, "end", [this] { loop_.stop(); });
    loop_.rearm();
  }

  void exit_step(Millis at, const char* name, std::function<void()> step) {
    loop_.timers().at(at, [this, name, step = std::move(step)] {
      touch();
      log_exit_step(name);
      step();
    });
  }

  void log_exit_step(const char* step) {
    const auto activity = engine_.activity(stop_taking_at_);
    log_.say("ending: step=" + std::string(step) + " sessions=" + std::to_string(activity.sessions) +
             " in_transaction=" + std::to_string(activity.in_transaction) + " at_database=" +
             std::to_string(activity.at_database) + " waiting=" + std::to_string(activity.waiting) +
             " begun_after_half=" + std::to_string(activity.begun_since));
  }

  // Once no session is left, and the last answers have reached their clients.
  void end_if_empty() {
    std::erase_if(ending_, [](const LineConnection::Ptr& connection) { return !connection->open(); });
    if (engine_.session_count() == 0 && ending_.empty()) {
      log_.say("All sessions have ended.");
      return loop_.stop();
    }
    loop_.timers().at(loop_.now() + kExitPollMs, [this] { end_if_empty(); });
    loop_.rearm();
  }

  Log log_{"pooler"};
  Settings settings_;
  EventLoop loop_;
  pooler::Engine engine_;
  pooler::ControlFeed control_feed_{engine_};
  std::unique_ptr<HttpServer> ready_;
  std::unique_ptr<Acceptor> front_;
  std::unordered_map<SessionId, LineConnection::Ptr> clients_;
  std::vector<LineConnection::Ptr> ending_;  // of sessions that this side has ended, while it leaves
  std::unordered_map<ConnectionId, LineConnection::Ptr> servers_;
  std::set<ConnectionId> opening_, abandoned_;
  struct Told {  // to the core, of a database
    Millis at = 0;
    bool once = false;
  };
  std::map<InstanceId, Told> suspected_;
  std::set<SessionId> held_back_;
  SessionId last_session_ = 0;
  const std::string incarnation_ =
      std::to_string(std::uint64_t(std::random_device{}()) << 32 | std::random_device{}());
  AgentLink agent_link_{loop_,
                        settings_.agent_endpoint(),
                        {[this](std::string_view line) { on_feed(line); },
                         [this] {
                           control_feed_.on_link_up(loop_.now());
                           renew();
                         }}};
  std::uint64_t told_ = 0;
  bool watching_ = false;
  Millis stop_taking_at_ = 0;  // of a process that was asked to end
};

int run_pooler() {
  return run_role("pooler", [](Settings s) { return Pooler(std::move(s)).run(); });
}

const RegisterCommand kPoolerCommand("pooler", "serves client sessions on an edge machine", run_pooler);

}  // namespace
}  // namespace pebblespindle
