// The pooler's engine: sessions, pooled server connections, routing. No I/O: sockets are a Port,
// time and timers are handed in.
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
using ConnId = std::uint64_t;

class Port {
 public:
  virtual ~Port() = default;
  virtual void to_client(SessionId, std::string bytes) = 0;
  virtual void end_client(SessionId) = 0;  // after what was sent to it
  virtual void open_server(ConnId, const Endpoint&) = 0;
  virtual void to_server(ConnId, std::string bytes) = 0;
  virtual void close_server(ConnId, bool orderly) = 0;
  // How it was met: no answer once where few are asked for, no answers, connections refused.
  enum class Trouble { kOneMissed, kSilent, kRefused };
  virtual void suspect(const InstanceId&, Trouble) = 0;
  virtual void sound(const std::string& service) = 0;  // asks the core for a position of its primary
  // Asks the core for rights to run operations of a tenant.
  virtual void pay(const std::string& tenant, quota::Rights want) = 0;
  virtual void full(const InstanceId&) = 0;     // it takes no more connections
  virtual void slow(const InstanceId&) = 0;     // a primary answers, but far too slowly
  virtual void cleared(const InstanceId&) = 0;  // it answers after all
};

class Engine {
 public:
  // lot: drawn at random; nodes of different lots keep connections to different databases where they are few.
  Engine(Port& port, TimerQueue& timers, std::string zone, Millis drain_ms, std::uint64_t lot)
      : port_(port), timers_(timers), zone_(std::move(zone)), drain_ms_(drain_ms), lot_(lot) {}

  // Each call carries the time; timers call back with the time they were set for or later.
  void set_time(Millis now) { now_ = now; }

  void client_open(SessionId);
  void client_line(SessionId, std::string_view line);
  void client_read(SessionId);  // the lines of one read have all been handed in
  void client_closed(SessionId);
  void client_too_long(SessionId);
  bool pressed(SessionId) const;  // so much that it has sent waits for its turn that no more is wanted

  void server_up(ConnId);
  void server_line(ConnId, std::string_view line);
  void server_read(ConnId);  // the lines of one read have all been handed in
  void server_down(ConnId, bool refused, bool silent);

  // whole: the rows are all there are, and replace what is held.
  void feed(std::uint64_t number, std::vector<Row> rows, bool whole = false);
  // The lease runs until `until` and holds only for a cluster at least at `number`.
  void lease(Millis until, std::uint64_t number, std::size_t members);

  // A database has turned connections away somewhere: fewer are kept to it for a while.
  void tight(const InstanceId& id) { pools_[id].tight_until = now_ + kConnectionLimitTtlMs; }
  // The nodes of this zone together find that a database fails: reads go to its peers first for a while.
  void avoid(const InstanceId& id) {
    auto& until = pools_[id].avoid_until;
    until = std::max(until, now_ + kReportedEjectionMs);
  }
  // The core's clock, as just heard; `life` names the process whose clock it is.
  void hear_clock(std::uint64_t life, Millis core_time) {
    core_life_ = life;
    core_ahead_ = core_time - (now_ + 1);
  }
  // Positions of primaries met since the last call, for the core (node_leases/positions.h); null when there
  // are none.
  Json take_positions();
  // The core's answer to Port::sound: asked for at `asked` or later by this node's clock; none when it knows
  // none.
  void position_asked(const std::string& service, Millis asked, std::optional<Position> position);
  // The core's answer to Port::pay.
  void paid(const std::string& tenant, const quota::Holder& from, quota::Rights sum);
  quota::Rights known(const std::string& tenant, const quota::Holder& core) const {
    return quota_client_.known(tenant, core);
  }
  // Closes pooled connections that have been idle for too long, and without a lease the sessions that rest.
  void shed_idle();
  // What was out of the ordinary since the last call, for the core to see; null when nothing was.
  Json take_sights();
  // Closes the windows in which the pace of the primaries is taken.
  void take_pace();

  bool ready() const;
  std::uint64_t acknowledged() const;  // the change whose effect is complete here
  // The steps towards the end of the process, in this order.
  bool leaving() const { return leaving_; }
  void leave();       // unready; serves on for a while
  void close_idle();  // sessions that rest end now, the others when they are done
  // What has been read so far is still run and answered; what comes later is refused and never reaches a
  // database. Each session ends with its last answer, in a transaction or not.
  void stop_taking();
  // Whatever is still at work is answered with what is known of it, and all sessions end.
  void give_up();
  std::size_t sessions() const { return sessions_.size(); }
  // What the sessions are doing, for the log of a process that ends.
  struct Activity {
    std::size_t sessions = 0;
    std::size_t in_transaction = 0;
    std::size_t at_database = 0;  // with a statement that a database has
    std::size_t waiting = 0;      // with a statement that no database has yet
    std::size_t begun_since = 0;  // of those two: begun after a given moment
  };
  Activity activity(Millis since) const;
  const ClusterState& cluster() const { return cluster_; }

 private:
  struct Prepared {
    bool read = false;
    std::string shape;
  };
  using Values = std::map<std::string, std::string>;
  struct Work {
    bool active = false;
    std::string id, text;
    sql_protocol::Verb verb = sql_protocol::Verb::kBad;
    bool read = false;
    std::string prepared_key;  // kind and shape of an EXECUTE
    std::string execute_rest;
    int attempts = 0;
    Millis began = 0, sent_at = 0, deadline = 0;
    bool sent = false;  // the statement itself is at a database
    std::vector<InstanceId> tried;
    std::string rows;      // of the answer
    Position require;      // WAITFOR of this try
    bool by_lead = false;  // this try goes to the primary as such, by the lease
    bool warned = false;   // its patience has run out once
    TimerQueue::Id timer = 0, patience = 0, wait = 0;
    InstanceId queued_at;         // waits for a connection to it
    std::string held_for;         // waits for the lead of this service
    std::string position_of;      // waits for a position of this service's primary
    std::string unpaid;           // waits for rights of this tenant
    bool position_asked = false;  // has waited for one
  };
  struct QueuedLine {
    std::string text;
    bool late = false;  // read after this node stopped taking statements
  };
  struct Session {
    SessionId id = 0;
    std::string host, key;
    std::string tenant;  // of the operation under way; empty: none is asked for
    bool paid = false;   // the operation under way has been counted
    bool greeted = false, busy = false, closing = false;
    char state = 'I';
    Values values;
    std::map<std::string, Prepared> prepared;
    LVector vector;
    std::string vector_service;
    std::deque<QueuedLine> lines;
    std::size_t ahead = 0;               // bytes of them
    std::size_t kept = 0;                // bytes of its values and prepared names
    std::shared_ptr<const Route> route;  // of the operation under way
    bool tx_read_only = false;
    bool tx_touched = false;  // a statement of it has been answered
    bool tx_wrote = false;    // a write of it may have run
    bool tx_lost = false;
    ConnId conn = 0;
    TimerQueue::Id rest = 0;
    Work work;
  };
  struct Server {
    ConnId id = 0;
    InstanceId instance;
    std::string service, who;  // who it was opened for: a tenant, or this node
    bool up = false, greeted = false;
    bool values_unsure = false;  // RESET before the next use
    Values values;
    std::map<std::string, std::string> prepared;  // kind and shape -> its name here
    SessionId session = 0;
    std::deque<std::string> script;  // setup statements still to be sent
    enum class Stage { kIdle, kSetup, kStatement, kCleanup } stage = Stage::kIdle;
    bool in_tx = false;
    bool tx_configured = false;  // values or names were set inside the open transaction
    bool observing = false;      // the statement went out to the leader under a live lease
    std::string error_code, error_text, stamp;
    bool completed = false;
    bool answered = false;  // an answer has ended in the read that is under way
    Millis idle_since = 0, opened = 0, asked = 0;
    TimerQueue::Id timer = 0;
  };
  struct Pool {
    std::vector<ConnId> idle;
    std::size_t total = 0, opening = 0;
    std::deque<SessionId> waiting;
    Millis lagging_until = 0, limit_until = 0, tight_until = 0;
    // Closed off: a trial connection must come up before sessions are sent there again.
    bool closed_off = false;
    Millis trial_pause = 0, closed_since = 0;
    Millis last_answer = 0;
    std::optional<Millis> drain_since;
    LVector vector;
    std::map<std::string, double> worst;  // by route: the longest answer of late, ms, slowly forgotten
    struct Latency {
      double mean = 0;
      Millis at = 0;
    };
    std::map<std::string, Latency> latency;  // by route
    LatencyTracker pace;                     // of statements on primary routes
    struct {
      int asked = 0, bad = 0;
      Millis ms = 0;
    } seen;              // in this window
    double trouble = 0;  // share of what was asked of late that failed
    Millis avoid_until = 0, avoid_pause = 0;
    int silent = 0;
    bool suspected = false;
  };
  struct Choice {
    enum class Kind { kGo, kHold, kSound, kRefuse } kind = Kind::kRefuse;
    InstanceId instance;
    Position require;
    bool by_lead = false;  // because it leads
    std::string code, text;
  };

  // session side
  void greet(SessionId id);
  void close_resting();
  void pump(Session& s);
  void run_lines(SessionId id);
  void end_if_answered(SessionId id);
  void handle(Session& s, std::string_view line, bool late);
  void refuse_late(Session& s, sql_protocol::Verb verb);
  void answer(Session& s, std::string body);  // body, then IDLE in the session's state
  void fail(Session& s, std::string_view code, std::string_view text);
  void fail_unrouted(Session& s);
  std::pair<std::string, std::string> no_route(const std::string& host) const;
  void local_statement(Session& s, const sql_protocol::Statement& st);
  void begin_work(Session& s, std::string_view id, std::string_view text, const sql_protocol::Statement& st);
  void end_work(Session& s);
  void end_transaction(Session& s, char state);
  void drop(SessionId id);
  void orphan(Server& c);
  void lose_transaction(Session& s);
  bool admit_key(Session& s);
  void pay(SessionId id);

  // routing
  Millis drain_begin() const;
  void note_known_state();
  bool leased() const { return now_ < lease_until_ && cluster_.sequence() >= lease_number_; }
  bool usable(const Instance& i) const;
  Choice choose(Session& s);
  Choice choose_primary(const std::string& service);
  double latency(const InstanceId& id, const std::string& route) const;
  void attempt(SessionId id);
  void hold(Session& s, const std::string& service);
  void release_held(const std::string& service);
  bool worth_asking_position(const std::string& service, const Choice& primary) const;
  void sound(Session& s, const std::string& service);
  void refuse(Session& s, const std::string& code, const std::string& why);
  bool cut_off(const std::string& service) const;
  Millis hold_limit(const Session& s) const;
  bool update_allowed(Session& s, const InstanceId& primary);
  bool leads(const std::string& service, const InstanceId& id) const;

  // pool
  void acquire(Session& s, const InstanceId& id);
  static const std::string& who(const Session& s);
  void make_room(const InstanceId& id);
  void open(const InstanceId& id);
  double fair_share(const InstanceId& id) const;
  std::size_t share(const InstanceId& id) const;
  Millis keep(const InstanceId& id, const Pool& p) const;
  void limit(const InstanceId& id);
  void hand_out(const InstanceId& id);
  void give_back(Server& c);
  void close_off(const InstanceId& id);
  void close_off_longer(const InstanceId& id);
  void try_again(const InstanceId& id);
  void reopen(const InstanceId& id);
  Millis patience(const InstanceId& id, const Session& s) const;
  void drop_server(ConnId id, bool orderly);
  void redo_waiting(const InstanceId& id);

  // execution
  void dispatch(Session& s, Server& c);
  void next_step(Server& c);
  bool hear_answer(Server& c, std::string_view word, std::string_view line, std::string_view rest);
  bool step_done(Server& c, const sql_protocol::Idle& idle);
  bool fits(const Server& c, char state) const;
  void setup_failed(Server& c, char state);
  void statement_done(Server& c, const sql_protocol::Idle& idle);
  void work_lost(Session& s, bool sent);
  void met(const InstanceId& id, bool good, Millis took);
  void on_patience(SessionId id);
  void on_deadline(SessionId id);
  void break_off(Session& s, std::string_view why_not_sent);
  bool may_retry(const Session& s) const;
  Session* find(SessionId id);
  Server* server(ConnId id);

  Port& port_;
  TimerQueue& timers_;
  std::string zone_;
  Millis drain_ms_;
  std::uint64_t lot_;
  Millis now_ = 0;
  ClusterState cluster_;
  Millis lease_until_ = 0;
  std::uint64_t lease_number_ = 0;
  std::optional<Millis> state_known_at_;  // when this node last knew the newest state
  std::size_t members_ = 1;
  bool sent_away_ = false, leaving_ = false, closing_idle_ = false, taking_ = true;
  std::unordered_map<SessionId, Session> sessions_;
  std::unordered_map<ConnId, Server> servers_;
  std::map<InstanceId, Pool> pools_;
  QuotaClient quota_client_;
  std::map<std::string, std::deque<SessionId>> unpaid_;                // by tenant
  std::map<std::string, Freshness> fresh_;                             // by service
  std::map<std::string, std::deque<SessionId>> held_;                  // by service
  std::map<std::string, std::deque<SessionId>> waiting_for_position_;  // by service
  struct MetPosition {
    Millis asked = 0;
    Position position;
  };
  std::map<std::string, MetPosition> met_positions_;  // by service: met since the core was told
  std::uint64_t core_life_ = 0;
  Millis core_ahead_ = 0;  // the core's clock less this one's, at least
  std::map<std::string, Millis> suspended_since_;
  std::map<std::string, std::uint64_t> shape_names_;
  std::uint64_t last_shape_ = 0;
  struct RouteSeen {
    int asked = 0, refused = 0, failed = 0, late = 0;
  };
  std::map<std::string, RouteSeen> routes_seen_;  // in this window
  std::vector<SessionId> unfed_;                  // wait for the first feed
  ConnId last_conn_ = 0;
  std::uint64_t suspended_number_ = 0;
};

}  // namespace pebblespindle::pooler
