// The sidecar process: connects the inbound and outbound halves to sockets, to the agent, and to the
// heartbeats of the database on its machine.
#include <csignal>

#include "base/clock.h"
#include "base/log.h"
#include "cli/command_registry.h"
#include "membership/constants.h"
#include "net/constants.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "proxy/agent_link.h"
#include "proxy/exit_schedule.h"
#include "settings/run_role.h"
#include "sidecar/client_listener.h"
#include "sidecar/connections.h"
#include "sidecar/inbound.h"
#include "sidecar/instance_heartbeats.h"
#include "sidecar/outbound.h"

namespace pebblespindle {
namespace {

using namespace sidecar;

class Sidecar : public OutboundPort, public InboundPort {
 public:
  explicit Sidecar(Settings s)
      : settings_(std::move(s)),
        clients_(loop_, {[this](CallId id, Call call) {
                           update_time();
                           outbound_.start_call(id, std::move(call));
                         },
                         [this](CallId id) {
                           update_time();
                           outbound_.client_gone(id);
                         },
                         [this]() -> const Limits& { return cluster_.configuration().limits; }}),
        links_(loop_, {[this](const Endpoint& from, const Json& frame) {
                         update_time();
                         outbound_.handle_frame(from, frame);
                       },
                       [this](const Endpoint& at, bool sent) {
                         update_time();
                         outbound_.link_down(at, sent);
                       },
                       [this](const Endpoint& at) {
                         log_.say("peer ends: address=" + at.text());
                         outbound_.peer_shutting_down(at);
                       },
                       [this](LinkId link, const Json& frame) { on_offer(link, frame); },
                       [this](LinkId link) {
                         update_time();
                         inbound_.link_closed(link);
                       }}),
        app_(loop_, settings_.app,
             {[this](ConnId id) {
                update_time();
                inbound_.app_connection_up(id);
              },
              [this](ConnId id) {
                update_time();
                inbound_.app_bytes_received(id);
              },
              [this](ConnId id, Reply reply, Millis keep_alive_ms) {
                update_time();
                inbound_.app_reply_received(id, std::move(reply), keep_alive_ms);
              },
              [this](ConnId id, bool refused) {
                update_time();
                inbound_.app_connection_down(id, refused);
              }}),
        outbound_(*this, loop_.timers(), cluster_,
                  {settings_.zone, settings_.target_service, settings_.retry_ratio, settings_.retry_slack,
                   settings_.retry_window_ms, std::random_device{}()}),
        inbound_(*this, loop_.timers()) {}

  int run() {
    auto listener = [this](const char* name) {
      auto it = settings_.listeners.find(name);
      return it == settings_.listeners.end() ? Endpoint{} : it->second;
    };
    if (settings_.internal_port_last < settings_.internal_port_first + 2)
      return fail_start("InternalPortRange: needs at least three ports.");
    auto ready = HttpServer::listen(
        loop_.io(), listener("Readiness"), [this](const HttpRequest& request, HttpDone done) {
          if (request.path != "/readiness") return done({404, "", {}});
          done({cluster_.has_configuration() && !shutting_down_ ? 200 : 503, "", {}});
        });
    if (!ready) return fail_start(ready.status().message());
    auto control = HttpServer::listen(
        loop_.io(), listener("ControlPlane"),
        [this](const HttpRequest& request, HttpDone done) { on_heartbeat(request, std::move(done)); });
    if (!control) return fail_start(control.status().message());
    if (auto why = links_.listen(settings_.sidecar_endpoint()); !why.empty()) return fail_start(why);
    if (auto why = clients_.listen(listener("OutboundAddr")); !why.empty()) return fail_start(why);
    loop_.on_signal(SIGTERM, [this] { begin_shutdown(); });
    loop_.on_signal(SIGHUP, [this] {
      auto loaded = load_settings(settings_path());
      log_.say(loaded ? "Settings read again." : "Settings not taken: " + loaded.status().message());
    });
    log_.say("Sidecar " + settings_.node_name + " runs next to service " + settings_.target_service + ".");
    loop_.every(kNodeRenewalMs, [this] { request_lease(); });
    agent_link_.start();
    loop_.run();
    return 0;
  }

  // OutboundPort
  void answer(CallId id, Reply reply) override { clients_.answer(id, std::move(reply)); }
  void offer(const Endpoint& at, const Json& frame) override {
    if (at != settings_.sidecar_endpoint()) return links_.send(at, frame);
    asio::post(loop_.io(), [this, frame] {
      on_offer(0, frame);
      loop_.rearm();
    });
  }
  bool is_linked(const Endpoint& at) override {
    return at == settings_.sidecar_endpoint() || links_.is_linked(at);
  }
  void connect(const Endpoint& at) override { links_.connect(at); }
  bool withdraw(const Endpoint& at, std::uint64_t offer_number) override {
    if (at != settings_.sidecar_endpoint()) return links_.withdraw(at, offer_number);
    offer(at, {{"t", "x"}, {"n", offer_number}});
    return false;
  }
  // InboundPort
  void reply(LinkId link, const Json& frame) override {
    if (link != 0) return links_.reply(link, frame);
    asio::post(loop_.io(), [this, frame] {
      update_time();
      outbound_.handle_frame(settings_.sidecar_endpoint(), frame);
      loop_.rearm();
    });
  }
  void open_app_connection(ConnId id) override { app_.open(id); }
  void send_to_app(ConnId id, const Call& call) override { app_.send(id, call); }
  void close_app_connection(ConnId id) override { app_.close(id); }

 private:
  int fail_start(const std::string& why) {
    log_.say(why);
    return 1;
  }
  void update_time() {
    Millis now = loop_.now();
    outbound_.set_time(now);
    outbound_.set_state_current(now < lease_until_ && cluster_.sequence() >= lease_sequence_);
    inbound_.set_time(now);
  }

  void on_offer(LinkId link, const Json& frame) {
    update_time();
    if (text_field(frame, "t") == "q")
      inbound_.offer(link, frame);
    else if (text_field(frame, "t") == "x")
      inbound_.cancel(link, unsigned_field(frame, "n"));
  }

  // --- heartbeats of the database -----------------------------------------------

  void on_heartbeat(const HttpRequest& request, HttpDone done) {
    const std::string prefix = "/instances/";
    if (!request.path.starts_with(prefix) || request.path.size() == prefix.size()) return done({404, "", {}});
    InstanceId id{request.path.substr(prefix.size())};
    update_time();
    if (request.method == "DELETE") {
      if (inbound_.database() && inbound_.database()->id == id) inbound_.set_database(std::nullopt);
      departed_ = id;
      return forward_to_core({{"t", "leave"}, {"id", id.value}}, id, InstanceHeartbeats::kDepartureNumber,
                             std::move(done));
    }
    if (request.method != "PUT") return done({404, "", {}});
    auto beat = read_instance_heartbeat(id.value, request.body);
    if (!beat) return done({400, Json{{"ErrorMessage", beat.status().message()}}.dump(), {}});
    Instance instance = *beat;
    // Other machines reach the database through this sidecar.
    instance.address = settings_.sidecar_endpoint();
    if (!(departed_ == id)) inbound_.set_database(instance);
    const Instance* known = cluster_.instance(id);
    if (known && known->equals_ignoring_call_count(instance) && has_lease()) return done({200, "", {}});
    forward_to_core({{"t", "beat"}, {"id", id.value}, {"v", encode_instance(instance)}}, id,
                    instance.call_count, std::move(done));
  }

  bool has_lease() const { return loop_.now() < lease_until_; }

  // Sends a heartbeat or departure to the core. The database gets its answer once the core has confirmed it.
  void forward_to_core(const Json& frame, const InstanceId& id, std::uint64_t number, HttpDone done) {
    if (!agent_link_.up()) return done({503, "", {}});
    heartbeats_.await_answer(loop_.now(), id, number, [done](int status) { done({status, "", {}}); });
    Json message = frame;
    message["calls"] = number;
    agent_link_.send(message);
    loop_.rearm();
  }

  // --- messages of the agent --------------------------------------------------

  void request_lease() {
    agent_link_.send(Json{{"t", "renew"}, {"at", loop_.now()}, {"ack", cluster_.sequence()}});
  }

  void on_agent_line(std::string_view line) {
    Json message = parse_message(line);
    if (!message.is_object()) return;
    const std::string type = message.value("t", "");
    if (type == "up") {
      auto rows = decode_rows(message["r"]);
      if (!rows) return;
      bool was_ready = cluster_.has_configuration();
      std::uint64_t sequence = message.value("k", std::uint64_t(0));
      if (message.value("whole", false)) *rows = cluster_.diff_to_snapshot(sequence, std::move(*rows));
      cluster_.apply(sequence, *rows);
      if (!was_ready && cluster_.has_configuration())
        log_.say("Ready with configuration " + std::to_string(cluster_.configuration().revision) + ".");
      update_time();
      if (!inbound_.database())  // this process has restarted, the database has not
        for (auto& [id, instance] : cluster_.instances())
          if (instance.address == settings_.sidecar_endpoint() && !(departed_ == id))
            inbound_.set_database(instance);
      request_lease();
    } else if (type == "grant") {
      lease_until_ = std::max(lease_until_, message.value("at", Millis(0)) + message.value("ms", Millis(0)) -
                                                kClockDriftMarginMs);
      lease_sequence_ = message.value("k", std::uint64_t(0));
      outbound_.set_node_count(message.value("n", std::size_t(1)));
    } else if (type == "beaten") {
      heartbeats_.on_answer({message.value("id", "")}, message.value("calls", std::uint64_t(0)),
                            message.value("s", 503));
    }
  }

  // Graceful shutdown. Readiness fails at once. New offers for the database on this machine are refused once
  // the platform has had time to notice, and new requests of clients from half of the grace period on.
  // Pending requests still run; those without a response at the end are answered with an error.
  void begin_shutdown() {
    if (shutting_down_) return;
    log_.say("SIGTERM received: no longer ready.");
    shutting_down_ = true;
    const ExitSchedule schedule = ExitSchedule::of(settings_.grace_ms);
    const Millis now = loop_.now();
    schedule_exit_step(now + schedule.close_idle_after, "stop taking offers", [this] {
      inbound_.stop_accepting();
      links_.announce_shutdown();
    });
    schedule_exit_step(now + schedule.stop_taking_after, "stop taking requests", [this] {
      outbound_.stop_accepting();
      clients_.drain();
      stop_when_idle();
    });
    schedule_exit_step(now + schedule.give_up_after, "give up", [this] {
      outbound_.fail_pending();
      inbound_.fail_pending();
    });
    schedule_exit_step(now + schedule.end_after, "end", [this] { loop_.stop(); });
    loop_.rearm();
  }

  void schedule_exit_step(Millis at, const char* name, std::function<void()> step) {
    loop_.timers().at(at, [this, name, step = std::move(step)] {
      update_time();
      log_.say("ending: step=" + std::string(name) + " requests=" + std::to_string(outbound_.open_calls()) +
               " at_database=" + std::to_string(inbound_.pending_count()));
      step();
    });
  }

  void stop_when_idle() {
    if (clients_.pending_count() == 0 && inbound_.pending_count() == 0 && !links_.has_unsent()) {
      log_.say("All requests have finished, exiting.");
      return loop_.stop();
    }
    loop_.timers().at(loop_.now() + kExitPollMs, [this] { stop_when_idle(); });
    loop_.rearm();
  }

  Log log_{"sidecar"};
  Settings settings_;
  EventLoop loop_;
  ClusterState cluster_;
  ClientListener clients_;
  PeerLinks links_;
  AppConnections app_;
  Outbound outbound_;
  Inbound inbound_;
  AgentLink agent_link_{
      loop_,
      settings_.agent_endpoint(),
      {[this](std::string_view line) { on_agent_line(line); }, [this] { request_lease(); }}};
  InstanceId departed_;
  InstanceHeartbeats heartbeats_{loop_.timers()};
  Millis lease_until_ = 0;
  std::uint64_t lease_sequence_ = 0;
  bool shutting_down_ = false;
};

int run_sidecar() {
  return run_role("sidecar", [](Settings s) { return Sidecar(std::move(s)).run(); });
}

const RegisterCommand kSidecarCommand("sidecar", "carries the requests of the service on its machine",
                                      run_sidecar);

}  // namespace
}  // namespace pebblespindle
