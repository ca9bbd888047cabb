// The controller process: joins the replica of the control state, the leases of nodes, the failover duty,
// health and quotas to sockets, the clock and the disk. It decides nothing itself; each part does, on one
// event loop.
//
// What is answered or handed out from this controller's own state is so only while it holds its lease in the
// view: one without a majority says 503, feeds no node and grants nothing (docs/worst-days.md, 1).
#pragma once
#include <map>
#include <memory>
#include <set>

#include "controller/database_client.h"
#include "controller/event_log.h"
#include "controller/inbound_link.h"
#include "controller/peer_links.h"
#include "controller/status_report.h"
#include "failover/failover.h"
#include "net/http.h"
#include "storage/sqlite_store.h"

namespace pebblespindle {

class Controller : public replication::Environment {
 public:
  Controller(Settings settings, std::unique_ptr<SqliteStore> store);
  int run();  // until it is asked to end; an exit code

  // replication::Environment
  void send(const replication::ReplicaId& to, const replication::Message& message) override;
  replication::ValidationResult validate(const StateTable& state, const Json& command) override;
  void on_committed() override;
  void log_event(const std::string& event) override { events_.add(loop_.now(), event); }

 private:
  using Answer = std::function<void(const Json&)>;

  // the process
  replication::ReplicaOptions replica_options() const;
  failover::FailoverCallbacks failover_callbacks();
  void query_database(const Instance& instance, const std::string& statement,
                      std::function<void(failover::DatabaseReply)> done);
  void call_platform(const std::string& service, const InstanceId& id,
                     std::function<void(failover::PromoteOutcome)> done);
  Status listen();
  void reload_settings();
  void begin_leaving();
  void tick();
  void tick_replica(Instant now);
  void tick_failover(Instant now);
  void expire_reports(Instant now);
  void exit_when_handed_over(Instant now);
  void observe_lease(Instant now);
  void observe_duty(Instant now);

  // links of others to this one
  void accept(asio::ip::tcp::socket socket);
  void on_line(const InboundLink::Ptr& link, std::string_view line);
  void on_peer_hello(const InboundLink::Ptr& link, const Json& message);
  bool on_peer_message(const std::string& from, const Json& message);  // false: malformed
  void close_misunderstood(const InboundLink::Ptr& link);

  // agents
  void on_agent_message(const InboundLink::Ptr& link, const Json& message);
  void on_controllers_query(InboundLink& link);
  void on_agent_hello(InboundLink& link, const Json& message);
  void on_position_query(InboundLink& link, const Json& message);
  void on_lease_renewal(InboundLink& link, const Json& message);
  void on_positions(const InboundLink& link, const Json& positions);
  void on_health_report(const InboundLink& link, const Json& message);
  void on_relayed_heartbeat(const InboundLink::Ptr& link, const Json& message);
  void on_suspicion(const Json& report);
  void feed(InboundLink& link);
  void feed_all();
  void send_to_agents(const char* type, const std::string& id, const std::string& zone = {});
  Json controller_list() const;
  bool is_in_view(const std::string& host) const;

  // connection limits of databases
  void on_connection_limit(const InstanceId& id, InboundLink* reporter);

  // quotas
  void exchange_quotas(Instant now);
  void on_rights_request(const Json& message, const Answer& answer);

  // leases of nodes, over all controllers
  void report_leases(bool always);
  void report_changed_leases(Instant) { report_leases(false); }
  std::size_t node_count() const;
  bool acknowledged_by_all_nodes(SequenceNumber sequence) const;

  // the control plane (control_api.cc)
  void on_http(const HttpRequest& request, HttpDone done);
  void on_get_configuration(HttpDone done);
  void on_change_configuration(const HttpRequest& request, HttpDone done);
  Status refusal_on_stored_version(std::uint64_t base, const Json& command);
  void on_put_instance(const std::string& id, const HttpRequest& request, HttpDone done);
  void retire(const InstanceId& id, const replication::SubmitCallback& done);
  void on_delete_instance(const std::string& id, HttpDone done);
  void on_instance_stored(const Instance& instance, const std::string& event);
  std::string heartbeat_answer(const Instance& instance) const;
  Json status(bool verbose) const;

  bool holds_lease() const { return replica_->holds_lease(loop_.now()); }

  Log log_{"controller"};
  Settings settings_;
  EventLoop loop_;
  EventLog events_{log_};
  std::unique_ptr<SqliteStore> store_;
  std::uint64_t incarnation_;  // names this process
  std::unique_ptr<replication::Replica> replica_;
  std::unique_ptr<failover::Failover> failover_;
  DatabaseClient database_client_{loop_};
  NodeLeases node_leases_;
  PositionCache positions_;
  quota::QuotaAllocator quota_allocator_;
  std::map<std::string, std::string> quota_holder_hosts_;  // by holder
  PeerLinks peers_;
  std::set<InboundLink::Ptr> links_;
  std::unique_ptr<Acceptor> acceptor_;
  std::unique_ptr<HttpServer> control_server_;
  ConfigDelivery::SharedUpdate shared_feed_;
  std::map<InstanceId, Instant> connection_limited_at_;  // databases that turned connections away
  OutlierDetector outlier_detector_;
  ClusterState cluster_;
  SequenceNumber reported_acknowledged_ = 0;
  replication::ViewNumber reported_view_ = 0;
  std::size_t reported_nodes_ = 0;
  Instant reported_at_ = 0, quota_sums_sent_at_ = 0;
  const Instant started_ = loop_.now();
  Instant lease_held_at_, last_tick_ = 0, leave_by_ = 0;
  bool held_duty_ = false, exiting_ = false;
};

}  // namespace pebblespindle
