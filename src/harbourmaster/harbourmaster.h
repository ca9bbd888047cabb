// The core's process: joins chain, registry, roster and duty to sockets and the disk.
#pragma once
#include <deque>
#include <map>
#include <memory>

#include "chain/node.h"
#include "duty/failover.h"
#include "harbourmaster/db_caller.h"
#include "keel/http.h"
#include "keel/line_conn.h"
#include "keel/log.h"
#include "keel/loop.h"
#include "ledger/sqlite_disk.h"
#include "lookout/lookout.h"
#include "ordinance/delivery.h"
#include "roster/roster.h"
#include "roster/soundings.h"
#include "tally/purser.h"

namespace pebblespindle {

class Harbourmaster : public chain::Outlet {
 public:
  Harbourmaster(Settings settings, std::unique_ptr<SqliteDisk> disk);
  int run();

  // chain::Outlet
  void send(const std::string& to, const Json& message) override;
  chain::Verdict judge(const Ledger& ledger, const Json& update) override {
    return judge_update(ledger, update);
  }
  void committed(std::uint64_t number) override;
  void note(const std::string& sentence) override;  // an event: logged, and shown by status

 private:
  struct Peer {  // another core: this side's connection to it
    LineConn::Ptr conn;
    bool dialling = false;
    Millis dial_at = 0;
    std::string name, zone;
    std::uint64_t acked = 0;  // by all nodes it gave leases to
    std::uint64_t view = 0;   // in which it said so
    std::size_t nodes = 0;
    Millis told = -100000;
  };
  struct Tender {
    LineConn::Ptr conn;
    std::string node, zone;
    Delivery delivery;
  };
  static chain::Verdict judge_update(const Ledger& ledger, const Json& update);

  // links
  void accept_inner(asio::ip::tcp::socket socket);
  void on_inner(const std::shared_ptr<Tender>& link, std::string_view line);
  bool on_core(const std::string& from, const Json& m);  // false: malformed
  void refuse(const std::shared_ptr<Tender>& link);
  void on_tender(const std::shared_ptr<Tender>& t, const Json& m);
  void dial(const std::string& host);
  void feed(Tender& t);
  void feed_all();
  void tighten(const InstanceId& id, Tender* teller);
  void tell_nodes(const char* what, const std::string& id, const std::string& zone = {});
  void tell_peers(bool always);
  Json core_list() const;
  bool in_view(const std::string& host) const;

  // control plane
  void on_http(HttpRequest r, HttpDone done);
  void on_beat(const std::string& id, const HttpRequest& r, HttpDone done);
  void on_config(const HttpRequest& r, HttpDone done);
  std::string beat_answer(const Instance& i) const;
  Json status(bool whole) const;  // whole: every node, database and service by name

  void part();
  void tick();
  bool may_grant() const;
  std::size_t members() const;  // nodes with a live lease, here and at the other cores
  bool all_acknowledged(std::uint64_t number) const;
  void on_suspect(const Json& report);
  void on_relayed_beat(const std::shared_ptr<Tender>& t, const Json& m);
  void on_pay(const Json& m, const std::function<void(const Json&)>& answer);
  void keep_tally();
  void on_soundings(const Tender& t, const Json& met);

  Log log_{"harbourmaster"};
  Settings settings_;
  Loop loop_;
  std::unique_ptr<SqliteDisk> disk_;
  std::unique_ptr<chain::Node> node_;
  std::unique_ptr<duty::Failover> failover_;
  DbCaller db_{loop_};
  Roster roster_;
  Soundings soundings_;
  std::uint64_t life_ = 0;             // names this process
  std::map<std::string, Peer> peers_;  // by host
  std::map<std::shared_ptr<Tender>, bool> tenders_;
  std::unique_ptr<Acceptor> inner_;
  std::unique_ptr<HttpServer> control_;
  std::unique_ptr<tally::Purser> purser_;
  std::map<std::string, std::string> purser_hosts_;  // by holder: the core it is at
  Millis sums_at_ = 0;
  Delivery::News news_;
  std::map<InstanceId, Millis> tight_;  // databases that turned connections away, and since when
  Lookout lookout_{[this](const std::string& s) { note(s); },
                   [this](const std::string& id, const std::string& zone) { tell_nodes("avoid", id, zone); }};
  struct Event {
    Millis at = 0;
    std::string sentence;
  };
  std::deque<Event> events_;  // the newest last
  Chart chart_;               // of what the ledger holds
  std::uint64_t told_acked_ = 0, told_view_ = 0;
  std::size_t told_nodes_ = 0;
  Millis told_at_ = 0, born_ = loop_.now(), seated_at_, last_tick_ = 0, part_by_ = 0;
  bool held_duty_ = false, ending_ = false;
};

}  // namespace pebblespindle
