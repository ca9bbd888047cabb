// The core's process: joins chain, registry, replica_leases and duty to sockets and the disk.
#pragma once
#include <deque>
#include <map>
#include <memory>

#include "base/log.h"
#include "config/config_delivery.h"
#include "controller/database_client.h"
#include "failover/failover.h"
#include "health/outlier_detector.h"
#include "membership/node_leases.h"
#include "membership/position_cache.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "net/line_connection.h"
#include "quota/quota_allocator.h"
#include "replication/codec.h"
#include "replication/replica.h"
#include "storage/sqlite_store.h"
#include "storage/store_recovery.h"

namespace pebblespindle {

class Controller : public replication::Environment {
 public:
  Controller(Settings settings, std::unique_ptr<SqliteStore> disk);
  int run();

  // replication::Environment
  void send(const std::string& to, const replication::Message& message) override {
    send(to, replication::encode(message));
  }
  replication::ValidationResult validate(const StateTable& state, const Json& update) override {
    return validate_command(state, update);
  }
  void on_committed() override;
  void log_event(const std::string& event) override { note(event); }
  void note(const std::string& sentence);  // an event: logged, and shown by status

 private:
  struct Peer {  // another core: this side's connection to it
    LineConnection::Ptr conn;
    bool dialling = false;
    Millis dial_at = 0;
    std::string name, zone;
    std::uint64_t acked = 0;  // by all nodes it gave leases to
    std::uint64_t view = 0;   // in which it said so
    std::size_t nodes = 0;
    Millis told = -100000;
  };
  struct Agent {
    LineConnection::Ptr conn;
    std::string node, zone;
    ConfigDelivery delivery;
  };
  static replication::ValidationResult validate_command(const StateTable& state, const Json& update);

  // links
  void send(const std::string& to, const Json& message);
  void accept_inner(asio::ip::tcp::socket socket);
  void on_inner(const std::shared_ptr<Agent>& link, std::string_view line);
  bool on_core(const std::string& from, const Json& m);  // false: malformed
  void refuse(const std::shared_ptr<Agent>& link);
  void on_agent(const std::shared_ptr<Agent>& t, const Json& m);
  void dial(const std::string& host);
  void feed(Agent& t);
  void feed_all();
  void tighten(const InstanceId& id, Agent* teller);
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
  void on_relayed_beat(const std::shared_ptr<Agent>& t, const Json& m);
  void on_pay(const Json& m, const std::function<void(const Json&)>& answer);
  void update_quotas();
  void on_positions(const Agent& t, const Json& met);

  Log log_{"controller"};
  Settings settings_;
  EventLoop loop_;
  std::unique_ptr<SqliteStore> disk_;
  std::unique_ptr<replication::Replica> replica_;
  std::unique_ptr<failover::Failover> failover_;
  DatabaseClient db_{loop_};
  NodeLeases node_leases_;
  PositionCache met_positions_;
  std::uint64_t life_ = 0;             // names this process
  std::map<std::string, Peer> peers_;  // by host
  std::map<std::shared_ptr<Agent>, bool> agents_;
  std::unique_ptr<Acceptor> inner_;
  std::unique_ptr<HttpServer> control_;
  std::unique_ptr<quota::QuotaAllocator> quota_allocator_;
  std::map<std::string, std::string> quota_holder_hosts_;  // by holder: the core it is at
  Millis sums_at_ = 0;
  ConfigDelivery::SharedFeed news_;
  std::map<InstanceId, Millis> tight_;  // databases that turned connections away, and since when
  OutlierDetector outlier_detector_{
      [this](const std::string& s) { note(s); },
      [this](const std::string& id, const std::string& zone) { tell_nodes("avoid", id, zone); }};
  struct Event {
    Millis at = 0;
    std::string sentence;
  };
  std::deque<Event> events_;  // the newest last
  ClusterState cluster_;      // of what the state holds
  std::uint64_t told_acked_ = 0, told_view_ = 0;
  std::size_t told_nodes_ = 0;
  Millis told_at_ = 0, born_ = loop_.now(), seated_at_, last_tick_ = 0, part_by_ = 0;
  bool held_duty_ = false, ending_ = false;
};

}  // namespace pebblespindle
