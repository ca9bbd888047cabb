// The pooler process: connects the engine to sockets, to the agent and to the readiness probe.
#include <csignal>
#include <random>
#include <set>

#include "base/exception_barrier.h"
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
  explicit Pooler(Settings settings)
      : settings_(std::move(settings)),
        engine_(*this, loop_.timers(), settings_.zone, settings_.drain_ms, std::random_device{}()) {}

  int run() {
    auto frontend = settings_.listeners.find("Frontend");
    auto ready = settings_.listeners.find("Readiness");
    if (frontend == settings_.listeners.end() || ready == settings_.listeners.end()) {
      log_.say("The settings have no Frontend or no Readiness listener.");
      return 1;
    }
    auto http =
        HttpServer::listen(loop_.io(), ready->second, [this](const HttpRequest& request, HttpDone done) {
          if (request.path != "/readiness") return done({404, "", {}});
          update_time();
          done({engine_.ready() ? 200 : 503, "", {}});
        });
    if (!http) return fail_startup(http.status().message());
    readiness_server_ = std::move(*http);
    auto clients = Acceptor::listen(loop_.io(), frontend->second, [this](asio::ip::tcp::socket socket) {
      accept_client(std::move(socket));
    });
    if (!clients) return fail_startup(clients.status().message());
    acceptor_ = std::move(*clients);
    loop_.on_signal(SIGTERM, [this] { begin_shutdown(); });
    loop_.on_signal(SIGHUP, [this] {
      auto reloaded = load_settings(settings_path());
      log_.say(reloaded ? "Settings reloaded." : "Settings not reloaded: " + reloaded.status().message());
    });
    log_.say("Pooler " + settings_.node_name + " listens on " + frontend->second.text() + ".");
    loop_.every(kNodeRenewalMs, [this] { send_renewal(); });
    loop_.every(kLatencyWindowMs, [this] {
      update_time();
      engine_.check_primary_latency();
    });
    loop_.every(kIdleCheckIntervalMs, [this] {
      update_time();
      engine_.close_idle_connections();
    });
    loop_.every(kHealthWindowMs, [this] {
      update_time();
      Json health_report = engine_.take_health_report();
      if (!health_report.is_null()) agent_link_.send(health_report);
    });
    agent_link_.start();
    loop_.run();
    return 0;
  }

  // pooler::EngineCallbacks
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
    closing_clients_.push_back(connection);
    connection->close_lingering();  // the client may be sending, and a reset could lose its last answer
  }
  void open_connection(ConnectionId id, const Endpoint& at) override {
    LineConnection::connect(
        loop_.io(), at, kServerConnectMs, Framing::kCrLfLines, kMaxMessageBytes,
        [this, id](LineConnection::Ptr conn, const asio::error_code& ec) {
          update_time();
          opening_.erase(id);
          bool discarded = discarded_.erase(id) > 0;
          if (!conn) {
            engine_.on_connection_lost(
                id, ec == asio::error::connection_refused || ec == asio::error::connection_reset, false);
          } else if (discarded) {
            conn->close();
          } else {
            start_connection(id, conn);
          }
          loop_.rearm();
        });
    opening_.insert(id);
  }
  void send_to_database(ConnectionId id, std::string bytes) override {
    auto it = connections_.find(id);
    if (it != connections_.end()) it->second->send(bytes);
  }
  void close_connection(ConnectionId id, bool orderly) override {
    auto it = connections_.find(id);
    if (it == connections_.end()) {
      if (opening_.count(id)) discarded_.insert(id);
      return;
    }
    if (orderly) {
      it->second->send("CLOSE\r\n");
      it->second->close_after_flush();
    } else {
      it->second->close();
    }
    connections_.erase(it);
  }
  void report_recovered(const InstanceId& id) override {
    auto report = reported_failing_.find(id);
    if (report == reported_failing_.end()) return;
    if (!report->second.single_timeout) log_.say("Database " + id.value + " answers again.");
    reported_failing_.erase(report);
    agent_link_.send(Json{{"t", "sus"}, {"id", id.value}, {"ok", true}});
  }
  void report_connection_limit(const InstanceId& id) override {
    agent_link_.send(Json{{"t", "full"}, {"id", id.value}});
  }
  void report_slow_primary(const InstanceId& id) override {
    agent_link_.send(Json{{"t", "sus"}, {"id", id.value}, {"slow", true}});
  }
  void report_failure(const InstanceId& id, FailureKind kind) override {
    Millis now = loop_.now();
    bool refused = kind == FailureKind::kConnectionRefused,
         single_timeout = kind == FailureKind::kSingleTimeout;
    auto& last = reported_failing_[id];
    if (last.at != 0 && now - last.at < replication::kPeerTimeoutMs &&
        (single_timeout || !last.single_timeout))
      return;
    if (!single_timeout && (last.at == 0 || last.single_timeout))
      log_.say("Database " + id.value + (refused ? " refuses connections." : " gives no answers."));
    last = {now, single_timeout};
    if (!agent_link_.up()) return;
    Json message{{"t", "sus"}, {"id", id.value}, {"r", refused}};
    if (single_timeout) message["once"] = true;
    agent_link_.send(message);
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
  int fail_startup(const std::string& why) {
    log_.say(why);
    return 1;
  }
  void update_time() { engine_.set_time(loop_.now()); }

  void accept_client(asio::ip::tcp::socket socket) {
    update_time();
    set_silence_limit(socket, kServerConnectMs * 10);
    SessionId id = ++last_session_;
    auto conn = std::make_shared<LineConnection>(std::move(socket), Framing::kCrLfLines, kMaxMessageBytes);
    clients_[id] = conn;
    engine_.on_client_connected(id);
    conn->start({[this, id](std::string_view line) {
                   update_time();
                   engine_.on_client_line(id, line);
                   if (has_backlog(id)) pause_client(id);
                 },
                 [this, id](LineConnection::End end) {
                   update_time();
                   if (end == LineConnection::End::kTooLong) engine_.on_client_line_too_long(id);
                   if (end == LineConnection::End::kFailed)
                     run_guarded(Boundary::kConnection, [&] { engine_.on_client_failed(id); });
                   clients_.erase(id);
                   engine_.on_client_closed(id);
                   loop_.rearm();
                 },
                 [this, id] {
                   engine_.on_client_read_end(id);
                   loop_.rearm();
                 }});
  }

  // Whether reading from the client should pause: it has sent too much ahead of its answers, or does not read
  // them.
  bool has_backlog(SessionId id) {
    auto it = clients_.find(id);
    return it != clients_.end() && (engine_.has_backlog(id) || it->second->queued() > kBackpressureBytes);
  }
  void pause_client(SessionId id) {
    clients_[id]->pause(true);
    if (paused_clients_.empty())
      loop_.timers().at(loop_.now() + kReconnectMs / 4, [this] { resume_clients(); });
    paused_clients_.insert(id);
  }
  void resume_clients() {
    std::erase_if(paused_clients_, [this](SessionId id) {
      if (has_backlog(id)) return false;
      if (auto it = clients_.find(id); it != clients_.end()) it->second->pause(false);
      return true;
    });
    if (!paused_clients_.empty())
      loop_.timers().at(loop_.now() + kReconnectMs / 4, [this] { resume_clients(); });
  }

  void start_connection(ConnectionId id, const LineConnection::Ptr& conn) {
    connections_[id] = conn;
    conn->start({[this, id](std::string_view line) {
                   update_time();
                   engine_.on_database_line(id, line);
                 },
                 [this, id](LineConnection::End) {
                   update_time();
                   connections_.erase(id);
                   engine_.on_connection_lost(id, false, false);
                   loop_.rearm();
                 },
                 [this, id] {
                   engine_.on_database_read_end(id);
                   loop_.rearm();
                 }});
    engine_.on_connection_up(id);
  }

  void send_renewal() {
    update_time();
    if (!agent_link_.up()) return;
    acknowledged_ = engine_.acknowledged_sequence();
    Json message{{"t", "renew"}, {"at", loop_.now()}, {"ack", acknowledged_}};
    if (Json positions = engine_.take_observed_positions(); !positions.is_null())
      message["met"] = std::move(positions);
    agent_link_.send(message);
    // An acknowledgement that waits for running statements is sent as soon as they have ended.
    if (acknowledged_ < engine_.cluster().sequence() && !acknowledgement_poll_pending_)
      poll_acknowledgement();
  }

  void poll_acknowledgement() {
    acknowledgement_poll_pending_ = true;
    loop_.timers().at(loop_.now() + kReconnectMs / 5, [this] {
      acknowledgement_poll_pending_ = false;
      update_time();
      if (engine_.acknowledged_sequence() > acknowledged_)
        send_renewal();
      else if (acknowledged_ < engine_.cluster().sequence())
        poll_acknowledgement();
    });
    loop_.rearm();
  }

  void on_agent_line(std::string_view line) {
    update_time();
    bool was_ready = engine_.ready();
    if (!control_feed_.handle_line(loop_.now(), line)) return;
    if (!was_ready && engine_.ready())
      log_.say("Ready with configuration " + std::to_string(engine_.cluster().configuration().revision) +
               ".");
    send_renewal();
  }

  // Handles SIGTERM. The process is unready at once, and serves until the platform must have noticed; then it
  // closes idle sessions. From half of the grace period on it runs nothing new. Running statements are
  // answered, in the last resort with what is known of their outcome.
  void begin_shutdown() {
    update_time();
    if (engine_.shutting_down()) return;
    log_.say("Received SIGTERM: reporting unready from now on.");
    const ExitSchedule schedule = ExitSchedule::of(settings_.grace_ms);
    const Millis now = loop_.now();
    stop_accepting_at_ = now + schedule.stop_taking_after;
    schedule_exit_step(now + schedule.close_idle_after, "close idle", [this] {
      engine_.close_idle_sessions();
      acceptor_->close();
      stop_when_sessions_ended();
    });
    schedule_exit_step(stop_accepting_at_, "stop taking", [this] { engine_.stop_accepting_statements(); });
    schedule_exit_step(now + schedule.give_up_after, "give up", [this] { engine_.abort_sessions(); });
    schedule_exit_step(now + schedule.end_after, "end", [this] { loop_.stop(); });
    loop_.rearm();
    engine_.begin_shutdown();
  }

  void schedule_exit_step(Millis at, const char* name, std::function<void()> step) {
    loop_.timers().at(at, [this, name, step = std::move(step)] {
      update_time();
      log_exit_step(name);
      step();
    });
  }

  void log_exit_step(const char* step) {
    const auto activity = engine_.activity(stop_accepting_at_);
    log_.say("ending: step=" + std::string(step) + " sessions=" + std::to_string(activity.sessions) +
             " in_transaction=" + std::to_string(activity.in_transaction) + " at_database=" +
             std::to_string(activity.at_database) + " waiting=" + std::to_string(activity.waiting) +
             " begun_after_half=" + std::to_string(activity.begun_since));
  }

  // Stops the process once no session is left and the last answers have reached their clients.
  void stop_when_sessions_ended() {
    std::erase_if(closing_clients_,
                  [](const LineConnection::Ptr& connection) { return !connection->open(); });
    if (engine_.session_count() == 0 && closing_clients_.empty()) {
      log_.say("All sessions have ended.");
      return loop_.stop();
    }
    loop_.timers().at(loop_.now() + kExitPollMs, [this] { stop_when_sessions_ended(); });
    loop_.rearm();
  }

  Log log_{"pooler"};
  Settings settings_;
  EventLoop loop_;
  pooler::Engine engine_;
  pooler::ControlFeed control_feed_{engine_};
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<Acceptor> acceptor_;
  std::unordered_map<SessionId, LineConnection::Ptr> clients_;
  // Connections of sessions that this process ended in its shutdown, until they are closed.
  std::vector<LineConnection::Ptr> closing_clients_;
  std::unordered_map<ConnectionId, LineConnection::Ptr> connections_;
  std::set<ConnectionId> opening_, discarded_;
  struct LastReport {  // the last failure report of a database
    Millis at = 0;
    bool single_timeout = false;
  };
  std::map<InstanceId, LastReport> reported_failing_;
  std::set<SessionId> paused_clients_;
  SessionId last_session_ = 0;
  const std::string incarnation_ =
      std::to_string(std::uint64_t(std::random_device{}()) << 32 | std::random_device{}());
  AgentLink agent_link_{loop_,
                        settings_.agent_endpoint(),
                        {[this](std::string_view line) { on_agent_line(line); },
                         [this] {
                           control_feed_.on_link_up(loop_.now());
                           send_renewal();
                         }}};
  std::uint64_t acknowledged_ = 0;
  bool acknowledgement_poll_pending_ = false;
  Millis stop_accepting_at_ = 0;  // set on SIGTERM
};

int run_pooler() {
  return run_role("pooler", [](Settings settings) { return Pooler(std::move(settings)).run(); });
}

const RegisterCommand kPoolerCommand("pooler", "serves client sessions on an edge machine", run_pooler);

}  // namespace
}  // namespace pebblespindle
