#include "agent/agent.h"

#include <csignal>

#include "agent/constants.h"
#include "cli/command_registry.h"
#include "membership/constants.h"
#include "net/constants.h"
#include "proxy/exit_schedule.h"
#include "replication/timing.h"
#include "settings/run_role.h"

namespace pebblespindle {
namespace {

// While it is linked elsewhere, an agent asks this seldom whether the controller at home answers again.
constexpr Millis kHomeQueryMs = replication::kPeerTimeoutMs * 3;

}  // namespace

Agent::Agent(Settings settings)
    : settings_(std::move(settings)),
      directory_(settings_.node_name, settings_.zone, settings_.seeds),
      relay_(*this, settings_.node_name, settings_.zone) {}

int Agent::run() {
  auto acceptor = Acceptor::listen(loop_.io(), settings_.agent_endpoint(),
                                   [this](asio::ip::tcp::socket socket) { accept_proxy(std::move(socket)); });
  if (!acceptor) {
    log_.say("cannot listen: " + acceptor.status().message());
    return kExitFailure;
  }
  acceptor_ = std::move(*acceptor);
  loop_.on_signal(SIGTERM, [this] { begin_exit(); });
  loop_.on_signal(SIGHUP, [this] { reload_settings(); });
  loop_.every(kReconnectMs / 2, [this] { tick(); });
  query_next();
  loop_.run();
  return kExitOk;
}

// The proxy ends its work first; the link stays up for it until the grace period is nearly over.
void Agent::begin_exit() {
  log_.say("asked to end: signal=SIGTERM");
  if (!proxy_) loop_.stop();
  if (exiting_) return;
  exiting_ = true;
  loop_.timers().at(loop_.now() + ExitSchedule::of(settings_.grace_ms).end_after, [this] { loop_.stop(); });
}

void Agent::reload_settings() {
  auto settings = load_settings(settings_path());
  log_.say(settings ? "settings reloaded" : "settings rejected: " + settings.status().message());
  if (!settings) return;
  settings_.seeds = settings->seeds;
  directory_.set_seeds(settings_.seeds);
}

// --- the link to a controller
// ---------------------------------------------------------------------------------

void Agent::tick() {
  const Instant now = loop_.now();
  if (exiting_ && !proxy_) return loop_.stop();
  drop_silent_controller(now);
  look_for_controller(now);
  if (controller_ && !proxy_ && now >= next_renewal_at_) {
    next_renewal_at_ = now + kNodeRenewalMs;
    relay_.renew_without_proxy(now);
  }
  expire_candidates(now);
}

void Agent::drop_silent_controller(Instant now) {
  if (!controller_ || now - heard_at_ <= kControllerTimeoutMs) return;
  log_.say("controller silent: host=" + controller_host_);
  drop_controller();
}

void Agent::look_for_controller(Instant now) {
  // A renewal that gets no answer: others are asked while the link is kept.
  const bool waiting =
      controller_ && renewal_sent_at_ > heard_at_ && now - renewal_sent_at_ > kRenewalAnswerMs;
  if (!controller_ || waiting) {
    if (now >= next_query_at_) query_next();
  } else if (controller_zone_ != settings_.zone &&
             now >= next_home_query_at_) {  // home again once it answers
    next_home_query_at_ = now + kHomeQueryMs;
    for (auto& host : directory_.hosts_in_own_zone())
      if (host != controller_host_) query(host);
  }
}

void Agent::expire_candidates(Instant now) {
  std::erase_if(candidates_, [&](auto& entry) {
    const Candidate& candidate = entry.second;
    if (now - candidate.since < kControllerTimeoutMs) return false;
    if (candidate.connection) candidate.connection->close();
    return true;
  });
}

void Agent::drop_controller() {
  if (controller_) controller_->close();
  controller_ = nullptr;
  relay_.on_controller_down();
  query_next();
}

// Asks one controller after the other, a short while apart, whether it has a place; the first to say so is
// taken.
void Agent::query_next() {
  next_query_at_ = loop_.now() + kControllerQueryIntervalMs;
  const std::string host = directory_.next_host(linked_host());
  if (!host.empty()) query(host);
}

void Agent::query(const std::string& host) {
  if (candidates_.count(host)) return;
  candidates_[host].since = loop_.now();
  LineConnection::connect(loop_.io(), {host, settings_.internal_port_first}, kControllerConnectMs,
                          Framing::kLfLines, kMaxLinkBytes,
                          [this, host](const LineConnection::Ptr& connection, const asio::error_code&) {
                            on_connected(host, connection);
                          });
}

void Agent::on_connected(const std::string& host, const LineConnection::Ptr& connection) {
  auto candidate = candidates_.find(host);
  const bool awaited = candidate != candidates_.end() && !candidate->second.connection;
  if (!connection) {
    if (awaited) candidates_.erase(candidate);
    return;
  }
  if (!awaited) return connection->close();
  candidate->second.connection = connection;
  connection->start({[this, connection, host](std::string_view line) { on_line(connection, host, line); },
                     [this, connection, host](LineConnection::End) { on_end(connection, host); },
                     [this] { loop_.rearm(); }});
  connection->send(Json{{"t", "who"}}.dump() + "\n");
}

void Agent::on_end(const LineConnection::Ptr& connection, const std::string& host) {
  auto candidate = candidates_.find(host);
  if (candidate != candidates_.end() && candidate->second.connection == connection)
    candidates_.erase(candidate);
  if (controller_ == connection) drop_controller();
}

void Agent::on_line(const LineConnection::Ptr& connection, const std::string& host, std::string_view line) {
  if (controller_ != connection) return on_query_answer(connection, host, line);
  heard_at_ = loop_.now();
  relay_.on_controller_line(line);
}

void Agent::on_query_answer(const LineConnection::Ptr& connection, const std::string& host,
                            std::string_view line) {
  auto candidate = candidates_.find(host);
  if (candidate == candidates_.end() || candidate->second.connection != connection) return;
  Json message = parse_message(line);
  if (!message.is_object() || message.value("t", "") != "cores") return;
  directory_.replace_with(message["l"]);
  const bool at_home = directory_.zone_of(host) == settings_.zone;
  const bool wanted = !controller_ || (at_home && controller_zone_ != settings_.zone) ||
                      loop_.now() - heard_at_ > kRenewalAnswerMs;
  candidates_.erase(candidate);
  if (!message.value("ok", false) || !wanted) return connection->close();
  link_to(connection, host);
}

void Agent::link_to(const LineConnection::Ptr& connection, const std::string& host) {
  if (controller_) controller_->close();
  controller_ = connection;
  controller_host_ = host;
  controller_zone_ = directory_.zone_of(host);
  directory_.restart_turn();
  heard_at_ = loop_.now();
  next_home_query_at_ = heard_at_ + kHomeQueryMs;
  log_.say("linked to controller: host=" + controller_host_ + " zone=" + controller_zone_);
  if (controller_zone_ == settings_.zone) {
    for (auto& [other, candidate] : candidates_)
      if (candidate.connection) candidate.connection->close();
    candidates_.clear();
  }
  relay_.on_controller_up();
  loop_.rearm();
}

// --- Relay::Port
// ----------------------------------------------------------------------------------------------

void Agent::send_to_controller(const std::string& line) {
  if (controller_) controller_->send(line);
}

void Agent::send_to_proxy(const std::string& line) {
  if (proxy_) proxy_->send(line);
}

void Agent::on_renewal_sent() {
  if (renewal_sent_at_ <= heard_at_) renewal_sent_at_ = loop_.now();
}

void Agent::on_controller_list(const Json& list) {
  directory_.replace_with(list);
  controller_zone_ = directory_.zone_of(controller_host_);
}

void Agent::leave_controller() {
  if (controller_) controller_->close_after_flush();
  controller_ = nullptr;
  if (!exiting_) query_next();
}

// --- the proxy
// ------------------------------------------------------------------------------------------------

void Agent::accept_proxy(asio::ip::tcp::socket socket) {
  auto connection = std::make_shared<LineConnection>(std::move(socket), Framing::kLfLines, kMaxLinkBytes);
  if (proxy_) proxy_->close();
  proxy_ = connection;
  connection->start({[this, connection](std::string_view line) {
                       if (proxy_ == connection) relay_.on_proxy_line(line);
                     },
                     [this, connection](LineConnection::End) { on_proxy_end(connection); },
                     {}});
  relay_.on_proxy_up();
}

void Agent::on_proxy_end(const LineConnection::Ptr& connection) {
  if (proxy_ != connection) return;
  proxy_ = nullptr;
  relay_.on_proxy_down();
  if (exiting_) loop_.stop();
}

namespace {

int run_agent() {
  return run_role("agent", [](Settings settings) { return Agent(std::move(settings)).run(); });
}

const RegisterCommand kAgentCommand("agent", "keeps the link of an edge machine to a controller", run_agent);

}  // namespace
}  // namespace pebblespindle
