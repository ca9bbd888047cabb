// The pooler's engine: client sessions, pooled database connections and routing. It does no I/O: sockets are
// behind EngineCallbacks, and the caller supplies the time and the timer queue.
#pragma once
#include <deque>
#include <list>
#include <unordered_map>

#include "config/cluster_state.h"
#include "health/constants.h"
#include "net/timer_queue.h"
#include "pooler/constants.h"
#include "pooler/freshness.h"
#include "pooler/latency_tracker.h"
#include "pooler/lvector.h"
#include "quota/quota_client.h"
#include "sql_protocol/sql_protocol.h"

namespace pebblespindle::pooler {

using SessionId = std::uint64_t;
using ConnectionId = std::uint64_t;

// What the engine needs from the process around it: sockets, and messages to the controller.
class EngineCallbacks {
 public:
  virtual ~EngineCallbacks() = default;
  virtual void send_to_client(SessionId, std::string bytes) = 0;
  virtual void close_client(SessionId) = 0;  // once everything sent to the client is written
  virtual void open_connection(ConnectionId, const Endpoint&) = 0;
  virtual void send_to_database(ConnectionId, std::string bytes) = 0;
  // orderly: with a CLOSE message to the database.
  virtual void close_connection(ConnectionId, bool orderly) = 0;
  // What this node met at a database: one missed answer from a database it rarely uses, several missed
  // answers in a row, or a refused connection.
  enum class FailureKind { kSingleTimeout, kNoAnswers, kConnectionRefused };
  virtual void report_failure(const InstanceId&, FailureKind) = 0;
  // Asks the controller for a recent log position of the service's primary.
  virtual void request_position(const std::string& service) = 0;
  // Asks the controller for rights to run operations of a tenant.
  virtual void request_quota(const std::string& tenant, quota::Rights want) = 0;
  virtual void report_connection_limit(const InstanceId&) = 0;  // the database refused one with CONNLIMIT
  virtual void report_slow_primary(const InstanceId&) = 0;      // a primary answers far slower than usual
  virtual void report_recovered(const InstanceId&) = 0;         // a database that was reported answers again
};

class Engine {
 public:
  // node_seed: a random number, by which nodes differ in the databases to which they keep idle connections
  // where connections are scarce.
  Engine(EngineCallbacks& callbacks, TimerQueue& timers, std::string zone, Millis drain_ms,
         std::uint64_t node_seed)
      : callbacks_(callbacks),
        timers_(timers),
        zone_(std::move(zone)),
        drain_ms_(drain_ms),
        node_seed_(node_seed) {}

  // Sets the current time; to be called before any other event is passed in and before timers run.
  void set_time(Millis now) { now_ = now; }

  void on_client_connected(SessionId);
  void on_client_line(SessionId, std::string_view line);
  void on_client_read_end(SessionId);  // all lines of one read from the socket have been passed in
  void on_client_closed(SessionId);
  void on_client_line_too_long(SessionId);
  // The processing of a line has thrown: tells the client that the outcome is not known, and ends the
  // session.
  void on_client_failed(SessionId);
  // Whether so many lines of the client are queued that the caller should stop reading from it.
  bool has_backlog(SessionId) const;

  void on_connection_up(ConnectionId);
  void on_database_line(ConnectionId, std::string_view line);
  void on_database_read_end(ConnectionId);  // all lines of one read from the socket have been passed in
  // refused: the database refused the connection; silent: it did not come up in time.
  void on_connection_lost(ConnectionId, bool refused, bool silent);

  // Applies changes of the control state up to a sequence number. is_snapshot: the rows are the whole state
  // and replace what the node has.
  void apply_update(std::uint64_t sequence, std::vector<Row> rows, bool is_snapshot = false);
  // Extends the lease until `until`. It is valid only while this node has applied the control state at least
  // up to `sequence`. node_count: the poolers that share the connections to the databases.
  void extend_lease(Millis until, std::uint64_t sequence, std::size_t node_count);

  // A database has refused connections to this or another node: fewer idle ones are kept to it for a while.
  void note_connection_limit(const InstanceId& id) {
    pools_[id].limit_reported_until = now_ + kConnectionLimitTtlMs;
  }
  // The nodes of this zone together found a database failing: reads prefer other databases for a while.
  void avoid_reads(const InstanceId& id) {
    auto& until = pools_[id].avoid_until;
    until = std::max(until, now_ + kReportedEjectionMs);
  }
  // Notes the controller's clock as just received; `incarnation` identifies the controller process it belongs
  // to.
  void note_controller_clock(std::uint64_t incarnation, Millis controller_time) {
    controller_incarnation_ = incarnation;
    controller_clock_offset_ = controller_time - (now_ + 1);
  }
  // Returns the positions of primaries observed since the last call, for the controller, which keeps them in
  // membership/position_cache.h; null when there are none.
  Json take_observed_positions();
  // The controller's reply to EngineCallbacks::request_position. Some node requested the position from the
  // primary at `requested_at` or later, by this node's clock. No position: the controller knows none.
  void on_position_reply(const std::string& service, Millis requested_at, std::optional<Position> position);
  // The controller's reply to EngineCallbacks::request_quota.
  void on_quota_granted(const std::string& tenant, const quota::HolderId& from, quota::Rights sum);
  quota::Rights known_quota(const std::string& tenant, const quota::HolderId& controller) const {
    return quota_client_.received_from(tenant, controller);
  }
  // Closes pooled connections that have been idle for too long. Once the node is unready for want of a lease,
  // also closes the idle sessions, so that their clients connect to another node.
  void close_idle_connections();
  // Returns the failures and slow answers since the last call, for the controller; null when there were none.
  Json take_health_report();
  // Closes the latency window of each primary and reports those that are slow.
  void check_primary_latency();

  bool ready() const;
  // The newest change that has taken full effect at this node. While sessions still use a suspended primary,
  // this is the change before the suspension.
  std::uint64_t acknowledged_sequence() const;
  // The steps of a shutdown, to be called in this order.
  bool shutting_down() const { return shutting_down_; }
  void begin_shutdown();       // reports unready and continues to serve
  void close_idle_sessions();  // ends idle sessions now, busy ones once they are idle
  // Statements read so far are still run and answered; later ones are refused and never reach a database.
  // Each session ends after its last answer, even inside a transaction.
  void stop_accepting_statements();
  // Answers every running statement with what is known of its outcome, and ends all sessions.
  void abort_sessions();
  std::size_t session_count() const { return sessions_.size(); }
  // Counts of what the sessions are doing, for the log of a shutdown.
  struct Activity {
    std::size_t sessions = 0;
    std::size_t in_transaction = 0;
    std::size_t at_database = 0;  // running a statement that was sent to a database
    std::size_t waiting = 0;      // with a statement not yet sent to a database
    std::size_t begun_since = 0;  // of at_database and waiting: begun after the given time
  };
  Activity activity(Millis since) const;
  const ClusterState& cluster() const { return cluster_; }

 private:
  struct Prepared {
    bool read = false;
    std::string shape;
  };
  using Values = std::map<std::string, std::string>;
  struct StatementState {
    bool active = false;
    std::string id, text;
    sql_protocol::Verb verb = sql_protocol::Verb::kBad;
    bool read = false;
    std::string prepared_shape;  // kind and shape of an EXECUTE
    std::string execute_arguments;
    int attempts = 0;
    Millis started_at = 0, sent_at = 0, deadline = 0;
    bool sent = false;  // the statement itself was sent, not only its setup
    std::vector<InstanceId> tried;
    std::string rows;                    // of the answer so far
    Position required_position;          // sent as WAITFOR in this attempt
    bool as_primary = false;             // this attempt goes to the primary, which takes a lease
    bool soft_timeout_extended = false;  // the soft timeout has passed once
    TimerQueue::Id deadline_timer = 0, soft_timer = 0, wait_timer = 0;
    InstanceId queued_for;            // waits for a connection to this database
    std::string awaits_primary_of;    // waits until this service has a primary
    std::string awaits_position_of;   // waits for a position of this service's primary
    std::string awaits_quota_of;      // waits for rights of this tenant
    bool position_requested = false;  // a position has been requested once
  };
  struct QueuedLine {
    std::string text;
    bool late = false;  // read after stop_accepting_statements()
  };
  struct Session {
    SessionId id = 0;
    std::string host, key;
    std::string tenant;    // of the current operation; empty: its route needs no key
    bool charged = false;  // the current operation has been charged to its tenant
    bool connect_received = false, busy = false, closing = false;
    char state = 'I';
    Values values;
    std::map<std::string, Prepared> prepared;
    LVector vector;
    std::string vector_service;
    std::deque<QueuedLine> lines;
    std::size_t queued_bytes = 0;        // of `lines`
    std::size_t stored_bytes = 0;        // of its values and prepared statements
    std::shared_ptr<const Route> route;  // of the current operation
    bool tx_read_only = false;
    bool tx_answered = false;  // a statement of the transaction has been answered
    bool tx_wrote = false;     // a write of the transaction may have run
    bool tx_lost = false;      // the transaction is gone; its next statement gets the error
    ConnectionId conn = 0;
    TimerQueue::Id rest_timer = 0;
    StatementState statement;
  };
  // A statement of the pooler's own that prepares a connection for a client's statement. Its kind is kept
  // beside its text: the text holds bytes of the client, which may look like any verb.
  struct SetupStep {
    enum class Kind { kReset, kConfigure, kPrepare, kBegin };
    static SetupStep reset() { return {Kind::kReset, "RESET", {}, {}}; }
    static SetupStep configure(const std::string& name, const std::string& value) {
      return {Kind::kConfigure, "CONFIGURE " + name + " " + value, name, value};
    }
    // shape: with its kind, FETCH or STORE
    static SetupStep prepare(const std::string& name, const std::string& shape) {
      return {Kind::kPrepare, "PREPARE " + name + " " + shape, name, shape};
    }
    static SetupStep begin(const std::string& text) { return {Kind::kBegin, text, {}, {}}; }
    Kind kind = Kind::kReset;
    std::string text;
    std::string name, value;  // of CONFIGURE and PREPARE
  };
  struct Connection {
    ConnectionId id = 0;
    InstanceId instance;
    std::string service, owner;  // owner: the tenant it was opened for, or "pooler"
    bool up = false, established = false;
    bool values_unknown = false;  // needs a RESET before its next use
    Values values;
    std::map<std::string, std::string> prepared;  // kind and shape -> name on this connection
    SessionId session = 0;
    std::deque<SetupStep> setup_steps;  // still to be answered; the first one may be under way
    enum class Stage { kIdle, kSetup, kStatement, kCleanup } stage = Stage::kIdle;
    bool in_tx = false;
    bool tx_configured = false;      // values or prepared statements were set in the open transaction
    bool observes_position = false;  // the statement was sent to the primary under a valid lease
    std::string error_code, error_text, stamp;
    bool completed = false;
    bool answered = false;  // an answer has ended within the current read
    Millis idle_since = 0, opened = 0, step_sent_at = 0;
    TimerQueue::Id timer = 0;
  };
  struct Pool {
    std::vector<ConnectionId> idle;
    std::size_t total = 0, opening = 0;
    std::deque<SessionId> waiting;
    Millis lagging_until = 0, limit_until = 0, limit_reported_until = 0;
    // While blocked, the database gets no sessions until a probe connection has come up.
    bool blocked = false;
    Millis probe_delay = 0, blocked_since = 0;
    Millis last_answer = 0;
    std::optional<Millis> drain_since;
    LVector vector;
    std::map<std::string, double> slowest;  // by route: slowest recent answer, ms, slowly decaying
    struct Latency {
      double mean = 0;
      Millis at = 0;
    };
    std::map<std::string, Latency> latency;  // by route
    LatencyTracker primary_latency;          // of statements on routes of type primary
    struct {
      int requests = 0, failures = 0;
      Millis total_ms = 0;
    } window;                 // for the next health report
    double failure_rate = 0;  // moving average, 0 to 1
    Millis avoid_until = 0, avoid_duration = 0;
    int timeouts_in_a_row = 0;
    bool reported_failing = false;
  };
  struct RoutingDecision {
    enum class Kind { kSend, kAwaitPrimary, kAwaitPosition, kRefuse } kind = Kind::kRefuse;
    InstanceId instance;
    Position required_position;
    bool as_primary = false;  // the database was chosen as the primary
    std::string code, text;
  };

  // sessions
  void complete_connect(SessionId id);
  void close_resting_sessions();
  void resume_session(Session& session);
  void process_lines(SessionId id);
  void close_if_done(SessionId id);
  void handle_line(Session& session, std::string_view line, bool late);
  void refuse_late(Session& session, sql_protocol::Verb verb);
  void send_answer(Session& session, std::string body);  // body, then IDLE in the session's state
  void fail_statement(Session& session, std::string_view code, std::string_view text);
  void fail_no_route(Session& session);
  std::pair<std::string, std::string> no_route_error(const std::string& host) const;
  void handle_local_statement(Session& session, const sql_protocol::Statement& parsed);
  void start_statement(Session& session, std::string_view id, std::string_view text,
                       const sql_protocol::Statement& parsed);
  void clear_statement(Session& session);
  void end_transaction(Session& session, char state);
  void close_session(SessionId id);
  void detach_connection(Connection& connection);
  void discard_transaction(Session& session);
  bool authorize(Session& session);
  void charge_quota(SessionId id);

  // routing
  Millis drain_start() const;
  void note_state_known();
  bool has_lease() const { return now_ < lease_until_ && cluster_.sequence() >= lease_sequence_; }
  bool usable(const Instance& instance) const;
  RoutingDecision choose_database(Session& session);
  RoutingDecision choose_primary(const std::string& service);
  double recent_latency(const InstanceId& id, const std::string& route) const;
  void route_statement(SessionId id);
  void await_primary(Session& session, const std::string& service);
  void resume_waiting_for_primary(const std::string& service);
  bool should_request_position(const std::string& service, const RoutingDecision& primary) const;
  void await_position(Session& session, const std::string& service);
  void refuse_statement(Session& session, const std::string& code, const std::string& why);
  bool is_primary_unreachable(const std::string& service) const;
  Millis wait_limit(const Session& session) const;
  bool may_send_update(Session& session, const InstanceId& primary);
  bool may_confirm_commits(const std::string& service, const InstanceId& id) const;

  // connection pools
  void acquire_connection(Session& session, const InstanceId& id);
  static const std::string& connection_owner(const Session& session);
  void open_or_evict(const InstanceId& id);
  void start_connection(const InstanceId& id);
  double fair_share(const InstanceId& id) const;
  std::size_t connection_share(const InstanceId& id) const;
  Millis idle_timeout(const InstanceId& id, const Pool& pool) const;
  void on_connection_limit(const InstanceId& id);
  void assign_idle_connections(const InstanceId& id);
  void return_connection(Connection& connection);
  void block_database(const InstanceId& id);
  void extend_block(const InstanceId& id);
  void probe_database(const InstanceId& id);
  void unblock_database(const InstanceId& id);
  Millis soft_timeout(const InstanceId& id, const Session& session) const;
  void discard_connection(ConnectionId id, bool orderly);
  void reroute_waiting(const InstanceId& id);

  // execution
  void dispatch(Session& session, Connection& connection);
  void send_next_step(Connection& connection);
  bool handle_answer_line(Connection& connection, std::string_view word, std::string_view line,
                          std::string_view rest);
  bool finish_step(Connection& connection, const sql_protocol::Idle& idle);
  static void record_setup(Connection& connection, const SetupStep& step);
  bool is_expected_state(const Connection& connection, char state) const;
  void on_setup_error(Connection& connection, char state);
  void finish_statement(Connection& connection, const sql_protocol::Idle& idle);
  void on_statement_lost(Session& session, bool sent);
  void record_result(const InstanceId& id, bool good, Millis took);
  void on_soft_timeout(SessionId id);
  void on_deadline(SessionId id);
  void abort_statement(Session& session, std::string_view why_not_sent);
  bool may_retry(const Session& session) const;
  Session* find_session(SessionId id);
  Connection* find_connection(ConnectionId id);

  EngineCallbacks& callbacks_;
  TimerQueue& timers_;
  std::string zone_;
  Millis drain_ms_;
  std::uint64_t node_seed_;
  Millis now_ = 0;
  ClusterState cluster_;
  Millis lease_until_ = 0;
  std::uint64_t lease_sequence_ = 0;
  std::optional<Millis> state_known_at_;  // when this node last had the newest state
  std::size_t node_count_ = 1;
  bool rest_closed_without_lease_ = false, shutting_down_ = false, closing_idle_ = false,
       accepting_statements_ = true;
  std::unordered_map<SessionId, Session> sessions_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::map<InstanceId, Pool> pools_;
  QuotaClient quota_client_;
  std::map<std::string, std::deque<SessionId>> waiting_for_quota_;     // by tenant
  std::map<std::string, Freshness> freshness_;                         // by service
  std::map<std::string, std::deque<SessionId>> waiting_for_primary_;   // by service
  std::map<std::string, std::deque<SessionId>> waiting_for_position_;  // by service
  struct ObservedPosition {
    Millis requested_at = 0;
    Position position;
  };
  std::map<std::string, ObservedPosition>
      observed_positions_;  // by service: since the last take_observed_positions()
  std::uint64_t controller_incarnation_ = 0;
  Millis controller_clock_offset_ = 0;  // lower bound on the controller's clock minus this node's
  std::map<std::string, Millis> suspended_since_;
  std::map<std::string, std::uint64_t> shape_names_;
  std::uint64_t last_shape_number_ = 0;
  struct RouteCounts {
    int requests = 0, refused = 0, failed = 0, late = 0;
  };
  std::map<std::string, RouteCounts> route_counts_;  // by route, for the next health report
  std::vector<SessionId> waiting_for_state_;         // sessions waiting for the first configuration and lease
  ConnectionId last_conn_ = 0;
  std::uint64_t sequence_before_suspension_ = 0;
};

}  // namespace pebblespindle::pooler
