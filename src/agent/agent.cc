// The agent beside a pooler: holds the machine's lease and the link to a core, and feeds the pooler.
#include <csignal>
#include <deque>

#include "agent/constants.h"
#include "agent/relay.h"
#include "base/log.h"
#include "cli/command_registry.h"
#include "controller/constants.h"
#include "membership/constants.h"
#include "net/constants.h"
#include "net/event_loop.h"
#include "net/line_connection.h"
#include "replication/timing.h"
#include "settings/run_role.h"

namespace pebblespindle {
namespace {

class Agent : public Relay::Port {
 public:
  explicit Agent(Settings s) : settings_(std::move(s)), relay_(*this, settings_.node_name, settings_.zone) {
    for (auto& seed : settings_.seeds) cores_.push_back({seed.host, ""});
  }

  int run() {
    auto feed = Acceptor::listen(loop_.io(), settings_.agent_endpoint(),
                                 [this](asio::ip::tcp::socket s) { accept_proxy(std::move(s)); });
    if (!feed) {
      log_.say(feed.status().message());
      return 1;
    }
    feed_ = std::move(*feed);
    loop_.on_signal(SIGTERM, [this] {
      // The pooler ends its work first; the link stays up for it until the grace period is nearly over.
      log_.say("Asked to end.");
      if (!pooler_) loop_.stop();
      if (ending_) return;
      ending_ = true;
      loop_.timers().at(loop_.now() + settings_.grace_ms - 2 * kReconnectMs, [this] { loop_.stop(); });
    });
    loop_.on_signal(SIGHUP, [this] {
      auto s = load_settings(settings_path());
      log_.say(s ? "Settings read again." : "Settings not taken: " + s.status().message());
      if (!s) return;
      settings_.seeds = s->seeds;
      for (auto& seed : settings_.seeds) add_core(seed.host, "");
    });
    loop_.every(kReconnectMs / 2, [this] { tick(); });
    ask_next();
    loop_.run();
    return 0;
  }

 private:
  struct Core {
    std::string host, zone;
  };

  // The cores in the view, as a core tells them, and the seeds: others are forgotten.
  void learn_cores(const Json& list) {
    if (!list.is_array() || list.empty()) return;
    cores_.clear();
    for (auto& c : list)
      if (c.is_array() && c.size() == 2 && c[0].is_string() && c[1].is_string()) add_core(c[0], c[1]);
    for (auto& seed : settings_.seeds) add_core(seed.host, "");
  }

  void add_core(const std::string& host, const std::string& zone) {
    for (auto& c : cores_)
      if (c.host == host) {
        if (!zone.empty()) c.zone = zone;
        return;
      }
    cores_.push_back({host, zone});
  }

  void tick() {
    Millis now = loop_.now();
    if (ending_ && !pooler_) return loop_.stop();
    if (core_ && now - heard_ > kControllerTimeoutMs) {
      log_.say("Core " + core_host_ + " is silent.");
      drop_core();
    }
    // A renewal that gets no answer: others are asked while the link is kept.
    bool waiting = core_ && asked_ > heard_ && now - asked_ > kRenewalAnswerMs;
    if (!core_ || waiting) {
      if (now >= ask_next_at_) ask_next();
    } else if (core_zone_ != settings_.zone && now >= try_home_at_) {  // home again once it answers
      try_home_at_ = now + replication::kPeerTimeoutMs * 3;
      for (auto& c : cores_)
        if (c.zone == settings_.zone && c.host != core_host_) ask(c.host);
    }
    if (core_ && !pooler_ && now >= next_renew_) {
      next_renew_ = now + kNodeRenewalMs;
      relay_.renew_alone(now);
    }
    std::erase_if(asked_cores_, [&](auto& a) {
      if (now - a.second.since < kControllerTimeoutMs) return false;
      if (a.second.conn) a.second.conn->close();
      return true;
    });
  }

  void drop_core() {
    if (core_) core_->close();
    core_ = nullptr;
    relay_.core_down();
    ask_next();
  }

  // Relay::Port
  void to_core(const std::string& line) override {
    if (core_) core_->send(line);
  }
  void to_proxy(const std::string& line) override {
    if (pooler_) pooler_->send(line);
  }
  void renewing() override {
    if (asked_ <= heard_) asked_ = loop_.now();  // the oldest renewal without an answer
  }
  void cores(const Json& list) override {
    learn_cores(list);
    core_zone_ = zone_of(core_host_);
  }
  void leave_core() override {
    if (core_) core_->close_after_flush();
    core_ = nullptr;
    if (!ending_) ask_next();
  }

  // Asks one core after the other, a short while apart, whether it has a place; the first to say so is taken.
  void ask_next() {
    ask_next_at_ = loop_.now() + kControllerQueryIntervalMs;
    std::size_t n = cores_.size();
    if (next_core_ == 0)
      for (auto& c : cores_)  // the one at home first
        if (c.zone == settings_.zone && !(core_ && c.host == core_host_)) {
          next_core_ = 1;
          return ask(c.host);
        }
    // Nodes spread over the cores while zones are not known yet.
    std::size_t start = std::hash<std::string>()(settings_.node_name);
    auto& host = cores_[(start + next_core_) % n].host;
    next_core_ = (next_core_ + 1) % (n + 1);
    if (!(core_ && host == core_host_)) ask(host);
  }

  void ask(const std::string& host) {
    if (asked_cores_.count(host)) return;
    asked_cores_[host].since = loop_.now();
    LineConnection::connect(
        loop_.io(), {host, settings_.internal_port_first}, kControllerConnectMs, kMaxLinkBytes,
        [this, host](LineConnection::Ptr conn, const asio::error_code&) {
          auto a = asked_cores_.find(host);
          if (!conn || a == asked_cores_.end() || a->second.conn) {
            if (conn) conn->close();
            if (!conn && a != asked_cores_.end() && !a->second.conn) asked_cores_.erase(a);
            return;
          }
          a->second.conn = conn;
          conn->start({[this, conn, host](std::string_view line) { on_line(conn, host, line); },
                       [this, conn, host](LineConnection::End) {
                         auto x = asked_cores_.find(host);
                         if (x != asked_cores_.end() && x->second.conn == conn) asked_cores_.erase(x);
                         if (core_ == conn) drop_core();
                       },
                       [this] { loop_.rearm(); }});
          conn->send(Json{{"t", "who"}}.dump() + "\n");
        });
  }

  void on_line(const LineConnection::Ptr& conn, const std::string& host, std::string_view line) {
    if (core_ == conn) return on_core(line);
    auto a = asked_cores_.find(host);
    if (a == asked_cores_.end() || a->second.conn != conn) return;
    Json m = Json::parse(line, nullptr, false);
    if (!m.is_object() || m.value("t", "") != "cores") return;
    learn_cores(m["l"]);
    bool home = zone_of(host) == settings_.zone;
    bool wanted = !core_ || (home && core_zone_ != settings_.zone) || loop_.now() - heard_ > kRenewalAnswerMs;
    asked_cores_.erase(a);
    if (!m.value("ok", false) || !wanted) return conn->close();
    take_core(conn, host);
  }

  std::string zone_of(const std::string& host) const {
    for (auto& c : cores_)
      if (c.host == host) return c.zone;
    return {};
  }

  void take_core(const LineConnection::Ptr& conn, const std::string& host) {
    if (core_) core_->close();
    core_ = conn;
    core_host_ = host;
    core_zone_ = zone_of(host);
    next_core_ = 0;
    heard_ = loop_.now();
    try_home_at_ = heard_ + replication::kPeerTimeoutMs * 3;
    log_.say("Linked to core " + core_host_ + " in zone " + core_zone_ + ".");
    for (auto& [other, a] : asked_cores_)
      if (a.conn && core_zone_ == settings_.zone) a.conn->close();
    if (core_zone_ == settings_.zone) asked_cores_.clear();
    relay_.core_up();
    loop_.rearm();
  }

  void on_core(std::string_view line) {
    heard_ = loop_.now();
    relay_.core_line(line);
  }

  void accept_proxy(asio::ip::tcp::socket socket) {
    auto conn = std::make_shared<LineConnection>(std::move(socket), kMaxLinkBytes);
    if (pooler_) pooler_->close();
    pooler_ = conn;
    conn->start({[this, conn](std::string_view line) {
                   if (pooler_ == conn) relay_.proxy_line(line);
                 },
                 [this, conn](LineConnection::End) {
                   if (pooler_ != conn) return;
                   pooler_ = nullptr;
                   relay_.proxy_down();
                   if (ending_) loop_.stop();
                 },
                 {}});
    relay_.proxy_up();
  }

  Log log_{"agent"};
  Settings settings_;
  EventLoop loop_;
  std::unique_ptr<Acceptor> feed_;
  std::vector<Core> cores_;
  LineConnection::Ptr core_, pooler_;
  std::string core_host_, core_zone_;
  std::size_t next_core_ = 0;
  struct Asked {
    LineConnection::Ptr conn;
    Millis since = 0;
  };
  std::map<std::string, Asked> asked_cores_;  // by host: asked for a place, no answer yet
  bool ending_ = false;
  Millis heard_ = 0, asked_ = 0, next_renew_ = 0, try_home_at_ = 0, ask_next_at_ = 0;
  Relay relay_;
};

int run_agent() {
  return run_role("agent", [](Settings s) { return Agent(std::move(s)).run(); });
}

const RegisterCommand kAgentCommand("agent", "keeps the link of an edge machine to a controller", run_agent);

}  // namespace
}  // namespace pebblespindle
