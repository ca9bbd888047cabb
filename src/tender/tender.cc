// The agent beside a berth: holds the machine's lease and the link to a core, and feeds the berth.
#include <csignal>
#include <deque>

#include "keel/constants.h"
#include "keel/line_conn.h"
#include "keel/log.h"
#include "keel/loop.h"
#include "keel/registry.h"
#include "keel/role.h"
#include "ledger/ledger.h"

namespace pebblespindle {
namespace {

using namespace constants;

class Tender {
 public:
  explicit Tender(Settings s) : settings_(std::move(s)) {
    for (auto& seed : settings_.seeds) cores_.push_back({seed.host, ""});
  }

  int run() {
    auto feed = Acceptor::listen(loop_.io(), settings_.feed(),
                                 [this](asio::ip::tcp::socket s) { accept_berth(std::move(s)); });
    if (!feed) {
      log_.say(feed.reason);
      return 1;
    }
    feed_ = std::move(*feed.value);
    loop_.on_signal(SIGTERM, [this] {
      // The berth ends its work first; the link stays up for it until the grace period is nearly over.
      log_.say("Asked to end.");
      if (!berth_) loop_.stop();
      if (ending_) return;
      ending_ = true;
      loop_.timers().at(loop_.now() + settings_.grace_ms - 2 * kReconnectMs, [this] { loop_.stop(); });
    });
    loop_.on_signal(SIGHUP, [this] {
      auto s = load_settings(settings_path());
      log_.say(s ? "Settings read again." : "Settings not taken: " + s.reason);
      if (!s) return;
      settings_.seeds = s.value->seeds;
      for (auto& seed : settings_.seeds) add_core(seed.host, "");
    });
    loop_.every(kReconnectMs, [this] { tick(); });
    find_core();
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
    if (ending_ && !berth_) return loop_.stop();
    if (core_ && now - heard_ > kCoreSearchMs) {
      log_.say("Core " + core_host_ + " is silent.");
      drop_core();
    }
    if (!core_ && !dialling_) find_core();
    if (core_ && !berth_ && now >= next_renew_) {  // without a berth the machine's lease is kept all the same
      next_renew_ = now + kNodeRenewMs;
      renew(Json{{"t", "renew"}, {"at", now}, {"ack", number_}});
    }
    // Home again once the core of this zone answers others.
    if (core_ && core_zone_ != settings_.zone && now >= try_home_at_) {
      try_home_at_ = now + kCoreSilentMs * 3;
      for (auto& c : cores_)
        if (c.zone == settings_.zone && c.host != core_host_) return dial(c.host, true);
    }
  }

  void drop_core() {
    if (core_) core_->close();
    core_ = nullptr;
    ++next_core_;
    find_core();
  }

  void find_core() {
    if (dialling_ || core_) return;
    if (first_ || next_core_ % (cores_.size() + 1) == 0) {
      first_ = false;
      for (std::size_t i = 0; i < cores_.size(); ++i)
        if (cores_[i].zone == settings_.zone) return dial(cores_[i].host, false);
    }
    // Nodes spread over the cores while zones are not known yet.
    std::size_t start = std::hash<std::string>()(settings_.node_name);
    dial(cores_[(start + next_core_) % cores_.size()].host, false);
  }

  void dial(const std::string& host, bool move) {
    dialling_ = true;
    LineConn::connect(loop_.io(), {host, settings_.inner_first}, kCoreSearchMs, kMaxLinkBytes,
                      [this, host, move](LineConn::Ptr conn, const asio::error_code&) {
                        dialling_ = false;
                        if (!conn) {
                          if (!move) ++next_core_;
                          return;
                        }
                        if (core_) core_->close();
                        take_core(conn, host);
                      });
  }

  void take_core(const LineConn::Ptr& conn, const std::string& host) {
    core_ = conn;
    core_host_ = host;
    core_zone_.clear();
    for (auto& c : cores_)
      if (c.host == host) core_zone_ = c.zone;
    heard_ = loop_.now();
    conn->start({[this, conn](std::string_view line) {
                   if (core_ == conn) on_core(line);
                 },
                 [this, conn](LineConn::End) {
                   if (core_ == conn) drop_core();
                 },
                 [this] { loop_.rearm(); }});
    conn->send(
        Json{{"t", "hi"}, {"node", settings_.node_name}, {"zone", settings_.zone}, {"have", number_}}.dump() +
        "\n");
    if (!last_renew_.is_null()) renew(last_renew_);
    loop_.rearm();
  }

  void renew(const Json& m) {
    last_renew_ = m;
    if (core_) core_->send(m.dump() + "\n");
  }

  void on_core(std::string_view line) {
    heard_ = loop_.now();
    Json m = Json::parse(line, nullptr, false);
    if (!m.is_object()) return drop_core();
    const std::string t = m.value("t", "");
    if (t == "away") {
      learn_cores(m["l"]);
      drop_core();
    } else if (t == "cores" && m["l"].is_array()) {
      learn_cores(m["l"]);
      for (auto& c : cores_)
        if (c.host == core_host_) core_zone_ = c.zone;
      if (core_zone_ != settings_.zone) {
        for (auto& c : cores_)
          if (c.zone == settings_.zone && c.host != core_host_ && !dialling_ && try_home_at_ == 0) {
            try_home_at_ = loop_.now() + kCoreSilentMs * 3;
            return dial(c.host, true);
          }
      }
      log_.say("Linked to core " + core_host_ + " in zone " + core_zone_ + ".");
    } else if (t == "up") {
      auto rows = rows_from_json(m["r"]);
      std::uint64_t k = m.value("k", std::uint64_t(0));
      if (!rows || k < number_) return;  // never back
      for (auto& r : *rows.value) rows_.put(r);
      number_ = k;
      if (berth_) berth_->send(std::string(line) + "\n");
    } else if (t == "grant") {
      if (berth_) berth_->send(std::string(line) + "\n");
    }
  }

  void accept_berth(asio::ip::tcp::socket socket) {
    auto conn = std::make_shared<LineConn>(std::move(socket), kMaxLinkBytes);
    if (berth_) berth_->close();
    berth_ = conn;
    conn->start({[this, conn](std::string_view line) {
                   if (berth_ == conn) on_berth(line);
                 },
                 [this, conn](LineConn::End) {
                   if (berth_ != conn) return;
                   berth_ = nullptr;
                   if (core_) core_->send(Json{{"t", "bye"}}.dump() + "\n");
                   last_renew_ = Json();
                   if (ending_) loop_.stop();
                 },
                 {}});
    if (number_ > 0)
      conn->send(Json{{"t", "up"}, {"k", number_}, {"r", rows_to_json(rows_.since(0))}}.dump() + "\n");
  }

  void on_berth(std::string_view line) {
    Json m = Json::parse(line, nullptr, false);
    if (!m.is_object()) return;
    if (m.value("t", "") == "renew") return renew(m);
    if (core_) core_->send(std::string(line) + "\n");
  }

  Log log_{"tender"};
  Settings settings_;
  Loop loop_;
  std::unique_ptr<Acceptor> feed_;
  std::vector<Core> cores_;
  LineConn::Ptr core_, berth_;
  std::string core_host_, core_zone_;
  std::size_t next_core_ = 0;
  bool dialling_ = false, ending_ = false, first_ = true;
  Millis heard_ = 0, next_renew_ = 0, try_home_at_ = 0;
  Json last_renew_;
  Ledger rows_;
  std::uint64_t number_ = 0;
};

int run_tender(const std::string&) {
  return run_role("tender", [](Settings s) { return Tender(std::move(s)).run(); });
}

RegisterCommand tender_command("tender", {"keeps the link of an edge machine to the core", "", run_tender});

}  // namespace
}  // namespace pebblespindle
