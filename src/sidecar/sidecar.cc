// The sidecar proxy's process: joins its two halves to sockets, to the agent's feed, and to the beats of the
// database beside it.
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
        front_(loop_, {[this](CallId id, Call c) {
                         touch();
                         out_.start_call(id, std::move(c));
                       },
                       [this](CallId id) {
                         touch();
                         out_.client_gone(id);
                       },
                       [this]() -> const Limits& { return cluster_.configuration().limits; }}),
        links_(loop_, {[this](const Endpoint& from, const Json& m) {
                         touch();
                         out_.handle_frame(from, m);
                       },
                       [this](const Endpoint& at, bool sent) {
                         touch();
                         out_.link_down(at, sent);
                       },
                       [this](const Endpoint& at) {
                         log_.say("peer ends: address=" + at.text());
                         out_.peer_shutting_down(at);
                       },
                       [this](LinkId link, const Json& m) { on_offer(link, m); },
                       [this](LinkId link) {
                         touch();
                         in_.link_closed(link);
                       }}),
        app_(loop_, settings_.app,
             {[this](ConnId id) {
                touch();
                in_.app_connection_up(id);
              },
              [this](ConnId id) {
                touch();
                in_.app_bytes_received(id);
              },
              [this](ConnId id, Reply r, Millis keep) {
                touch();
                in_.app_reply_received(id, std::move(r), keep);
              },
              [this](ConnId id, bool refused) {
                touch();
                in_.app_connection_down(id, refused);
              }}),
        out_(*this, loop_.timers(), cluster_,
             {settings_.zone, settings_.target_service, settings_.retry_ratio, settings_.retry_slack,
              settings_.retry_window_ms, std::random_device{}()}),
        in_(*this, loop_.timers()) {}

  int run() {
    auto listener = [this](const char* name) {
      auto it = settings_.listeners.find(name);
      return it == settings_.listeners.end() ? Endpoint{} : it->second;
    };
    if (settings_.internal_port_last < settings_.internal_port_first + 2)
      return refuse("InternalPortRange: wants three ports.");
    auto ready =
        HttpServer::listen(loop_.io(), listener("Readiness"), [this](const HttpRequest& r, HttpDone done) {
          if (r.path != "/readiness") return done({404, "", {}});
          done({cluster_.has_configuration() && !leaving_ ? 200 : 503, "", {}});
        });
    if (!ready) return refuse(ready.status().message());
    auto control =
        HttpServer::listen(loop_.io(), listener("ControlPlane"),
                           [this](const HttpRequest& r, HttpDone done) { on_beat(r, std::move(done)); });
    if (!control) return refuse(control.status().message());
    if (auto why = links_.listen(settings_.sidecar_endpoint()); !why.empty()) return refuse(why);
    if (auto why = front_.listen(listener("OutboundAddr")); !why.empty()) return refuse(why);
    loop_.on_signal(SIGTERM, [this] { leave(); });
    loop_.on_signal(SIGHUP, [this] {
      auto s = load_settings(settings_path());
      log_.say(s ? "Settings read again." : "Settings not taken: " + s.status().message());
    });
    log_.say("Sidecar " + settings_.node_name + " serves beside " + settings_.target_service + ".");
    loop_.every(kNodeRenewalMs, [this] { renew(); });
    feed_.start();
    loop_.run();
    return 0;
  }

  // OutPort
  void answer(CallId id, Reply r) override { front_.answer(id, std::move(r)); }
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
  bool withdraw(const Endpoint& at, std::uint64_t n) override {
    if (at != settings_.sidecar_endpoint()) return links_.withdraw(at, n);
    offer(at, {{"t", "x"}, {"n", n}});
    return false;
  }
  // InPort
  void reply(LinkId link, const Json& frame) override {
    if (link != 0) return links_.reply(link, frame);
    asio::post(loop_.io(), [this, frame] {
      touch();
      out_.handle_frame(settings_.sidecar_endpoint(), frame);
      loop_.rearm();
    });
  }
  void open_app_connection(ConnId id) override { app_.open(id); }
  void send_to_app(ConnId id, const Call& c) override { app_.send(id, c); }
  void close_app_connection(ConnId id) override { app_.close(id); }

 private:
  int refuse(const std::string& why) {
    log_.say(why);
    return 1;
  }
  void touch() {
    Millis now = loop_.now();
    out_.set_time(now);
    out_.set_state_current(now < lease_until_ && cluster_.sequence() >= lease_number_);
    in_.set_time(now);
  }

  void on_offer(LinkId link, const Json& m) {
    touch();
    if (text_field(m, "t") == "q")
      in_.offer(link, m);
    else if (text_field(m, "t") == "x")
      in_.cancel(link, unsigned_field(m, "n"));
  }

  // --- the database's beats -----------------------------------------------------

  void on_beat(const HttpRequest& r, HttpDone done) {
    const std::string prefix = "/instances/";
    if (!r.path.starts_with(prefix) || r.path.size() == prefix.size()) return done({404, "", {}});
    InstanceId id{r.path.substr(prefix.size())};
    touch();
    if (r.method == "DELETE") {
      if (in_.database() && in_.database()->id == id) in_.set_database(std::nullopt);
      left_ = id;
      return tell_core({{"t", "leave"}, {"id", id.value}}, id, InstanceHeartbeats::kDepartureNumber,
                       std::move(done));
    }
    if (r.method != "PUT") return done({404, "", {}});
    auto beat = read_instance_heartbeat(id.value, r.body);
    if (!beat) return done({400, Json{{"ErrorMessage", beat.status().message()}}.dump(), {}});
    Instance i = *beat;
    // Others reach it through here.
    i.address = settings_.sidecar_endpoint();
    if (!(left_ == id)) in_.set_database(i);
    const Instance* known = cluster_.instance(id);
    if (known && known->equals_ignoring_call_count(i) && now_leased()) return done({200, "", {}});
    tell_core({{"t", "beat"}, {"id", id.value}, {"v", encode_instance(i)}}, id, i.call_count,
              std::move(done));
  }

  bool now_leased() const { return loop_.now() < lease_until_; }

  // What the core must know is acknowledged only once it has said so.
  void tell_core(const Json& m, const InstanceId& id, std::uint64_t number, HttpDone done) {
    if (!feed_.up()) return done({503, "", {}});
    beats_.await_answer(loop_.now(), id, number, [done](int status) { done({status, "", {}}); });
    Json told = m;
    told["calls"] = number;
    feed_.send(told);
    loop_.rearm();
  }

  // --- the feed ---------------------------------------------------------------

  void renew() { feed_.send(Json{{"t", "renew"}, {"at", loop_.now()}, {"ack", cluster_.sequence()}}); }

  void on_feed(std::string_view line) {
    Json m = Json::parse(line, nullptr, false);
    if (!m.is_object()) return;
    const std::string t = m.value("t", "");
    if (t == "up") {
      auto rows = decode_rows(m["r"]);
      if (!rows) return;
      bool was = cluster_.has_configuration();
      std::uint64_t k = m.value("k", std::uint64_t(0));
      if (m.value("whole", false)) *rows = cluster_.diff_to_snapshot(k, std::move(*rows));
      cluster_.apply(k, *rows);
      if (!was && cluster_.has_configuration())
        log_.say("Ready with configuration " + std::to_string(cluster_.configuration().revision) + ".");
      touch();
      if (!in_.database())  // this process is new, the database is not
        for (auto& [id, i] : cluster_.instances())
          if (i.address == settings_.sidecar_endpoint() && !(left_ == id)) in_.set_database(i);
      renew();
    } else if (t == "grant") {
      lease_until_ =
          std::max(lease_until_, m.value("at", Millis(0)) + m.value("ms", Millis(0)) - kClockDriftMarginMs);
      lease_number_ = m.value("k", std::uint64_t(0));
      out_.set_node_count(m.value("n", std::size_t(1)));
    } else if (t == "beaten") {
      beats_.on_answer({m.value("id", "")}, m.value("calls", std::uint64_t(0)), m.value("s", 503));
    }
  }

  // Unready at once. The database beside it is asked for no more once the platform has surely noticed; at
  // half of the grace period clients are no longer served. What is under way is answered, in the last resort
  // with what is known of it.
  void leave() {
    if (leaving_) return;
    log_.say("Asked to end: unready from now on.");
    leaving_ = true;
    const ExitSchedule schedule = ExitSchedule::of(settings_.grace_ms);
    const Millis now = loop_.now();
    exit_step(now + schedule.close_idle_after, "stop taking offers", [this] {
      in_.stop_accepting();
      links_.announce_shutdown();
    });
    exit_step(now + schedule.stop_taking_after, "stop taking requests", [this] {
      out_.stop_accepting();
      front_.drain();
      end_if_empty();
    });
    exit_step(now + schedule.give_up_after, "give up", [this] {
      out_.fail_pending();
      in_.fail_pending();
    });
    exit_step(now + schedule.end_after, "end", [this] { loop_.stop(); });
    loop_.rearm();
  }

  void exit_step(Millis at, const char* name, std::function<void()> step) {
    loop_.timers().at(at, [this, name, step = std::move(step)] {
      touch();
      log_.say("ending: step=" + std::string(name) + " requests=" + std::to_string(out_.open_calls()) +
               " at_database=" + std::to_string(in_.pending_count()));
      step();
    });
  }

  void end_if_empty() {
    if (front_.pending_count() == 0 && in_.pending_count() == 0 && !links_.has_unsent()) {
      log_.say("All requests have ended.");
      return loop_.stop();
    }
    loop_.timers().at(loop_.now() + kExitPollMs, [this] { end_if_empty(); });
    loop_.rearm();
  }

  Log log_{"sidecar"};
  Settings settings_;
  EventLoop loop_;
  ClusterState cluster_;
  ClientListener front_;
  PeerLinks links_;
  AppConnections app_;
  Outbound out_;
  Inbound in_;
  AgentLink feed_{loop_,
                  settings_.agent_endpoint(),
                  {[this](std::string_view line) { on_feed(line); }, [this] { renew(); }}};
  InstanceId left_;
  InstanceHeartbeats beats_{loop_.timers()};
  Millis lease_until_ = 0;
  std::uint64_t lease_number_ = 0;
  bool leaving_ = false;
};

int run_sidecar() {
  return run_role("sidecar", [](Settings s) { return Sidecar(std::move(s)).run(); });
}

const RegisterCommand kSidecarCommand("sidecar", "carries the requests of the service on its machine",
                                      run_sidecar);

}  // namespace
}  // namespace pebblespindle
