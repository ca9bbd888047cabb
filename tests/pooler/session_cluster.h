// A simulation around the pooler's engine with faults on connections at any moment: resets with bytes in
// flight, databases that stall and resume, answers that are duplicated, truncated or invalid, clients that
// disconnect, promotions, lapsed leases, restarts of the agent and of the pooler. The records of the
// databases and of the clients are kept separately and compared at each event.
#pragma once
#include <gtest/gtest.h>

#include <queue>
#include <random>

#include "agent/state_cache.h"
#include "config/command_validation.h"
#include "config/state_rows.h"
#include "pooler/engine.h"

namespace pebblespindle::test {

struct SessionFaultRates {  // probabilities of one run, per statement, connection or ms
  double reset = 0, stall = 0, duplicate = 0, trailing = 0, truncated = 0, invalid = 0, lost = 0, refuse = 0;
  double vanish = 0, promote = 0, lapse = 0, agent = 0, pooler = 0, stray = 0, leave = 0;
};

inline std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> out;
  for (std::size_t from = 0, line_end; (line_end = text.find("\r\n", from)) != std::string::npos;
       from = line_end + 2)
    out.push_back(text.substr(from, line_end - from));
  return out;
}

class SessionSimulation : public pooler::EngineCallbacks {
 public:
  SessionSimulation(std::uint32_t seed, SessionFaultRates faults);
  void step();
  void stop_faults();  // stalled databases resume
  void check_recovery();
  int served = 0, unknown = 0, refused_count = 0, commits = 0;

 private:
  using Names = std::map<std::string, std::string>;
  struct SentStatement {  // a statement that a client has sent
    int client = 0, transaction = 0;
    std::string text, shape;
    bool write = false, commit = false, runs = false;
    Names values;
    pooler::ConnectionId at = 0;  // the connection it was last written to
    bool not_run = true;          // the pooler knows that nothing of it has run
  };
  struct StatementAnswer {  // a line that a client has sent and what it has received of the answer
    std::string id, text;
    bool error = false, done = false;
    std::string code, stamp;
    std::vector<std::string> rows;
  };
  struct Client {
    int index = 0, transaction = 0, steps = 0;
    pooler::SessionId session = 0;
    bool open = false, failed = false;
    std::deque<StatementAnswer> unanswered;  // sent and not answered, in order
    Names values, prepared;                  // as the client set them, sent ones included
    std::vector<std::string> writes;         // of the open transaction
    Millis next = 0, since = 0;
    std::string tenant;
  };
  struct DatabaseConnection {  // a connection, at its database
    int db = 0;
    // open: the pooler has not closed or lost it; lost: it has ended at its database
    bool open = true, lost = false;
    std::string tenant;
    Names values, prepared, values_before, prepared_before;
    char state = 'I';
    int transaction = 0;
    std::vector<std::string> writes;
    std::deque<std::string> unread;  // not yet read by the database
    Millis last_sent = 0;
    int pending_answers = 0;  // answers that the pooler has not received in full
  };
  struct Database {
    std::string name;
    Millis stalled_until = 0;
    std::uint64_t term = 1;
    bool rollback_reverts_values = false;  // a rollback undoes the values and names set in it
  };
  struct Event {
    Millis at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  int pick(int count) { return int(rng_() % std::uint32_t(count)); }
  bool chance(double probability) { return probability > 0 && double(rng_()) < probability * 4294967296.0; }
  void later(Millis delay, std::function<void()> action) {
    events_.push({now_ + delay, ++last_event_, std::move(action)});
  }

  void start_pooler();
  void feed(const Json& update);
  void feed_engine();
  void grant();
  Instance instance(int db) const;
  void promote();
  void reset_connection(pooler::ConnectionId id);
  void read_at_database(pooler::ConnectionId id);
  void run(pooler::ConnectionId id, const std::string& line);
  std::string statement(DatabaseConnection& connection, Database& database, const std::string& statement_id,
                        std::string_view text, std::string& code, bool& wrote);
  void reply(pooler::ConnectionId id, std::vector<std::string> lines, const std::string& statement_id,
             const std::string& code);
  void deliver(pooler::ConnectionId id, std::vector<std::string> lines, const std::string& statement_id,
               const std::string& code, std::size_t answer_size);
  void commit(const std::vector<std::string>& writes);
  void step_client(Client& client);
  void send_statement(Client& client, const std::string& text, bool write = false,
                      const std::string& shape = {});
  void receive(Client& client, std::string_view line);
  void check_answer(Client& client, const StatementAnswer& answer, char state);
  void reset_client(Client& client);

  // pooler::EngineCallbacks
  void send_to_client(pooler::SessionId, std::string) override;
  void close_client(pooler::SessionId) override;
  void open_connection(pooler::ConnectionId, const Endpoint&) override;
  void send_to_database(pooler::ConnectionId, std::string) override;
  void close_connection(pooler::ConnectionId, bool orderly) override;
  void report_failure(const InstanceId&, FailureKind) override {}
  void request_position(const std::string&) override;
  void request_quota(const std::string&, quota::Rights) override;
  void report_connection_limit(const InstanceId&) override {}
  void report_slow_primary(const InstanceId&) override {}
  void report_recovered(const InstanceId&) override {}

  std::mt19937 rng_;
  SessionFaultRates faults_;
  Millis now_ = 1000;
  std::uint64_t last_event_ = 0;
  std::priority_queue<Event> events_;
  std::unique_ptr<TimerQueue> timers_;
  std::unique_ptr<pooler::Engine> engine_;
  StateTable controller_state_;
  StateCache agent_cache_;
  std::vector<Database> databases_;
  int primary_ = 0, removed_replica_ = -1;  // a replica that is removed for a while; -1: none
  bool suspended_ = false, shutting_down_ = false;
  std::map<std::string, quota::Rights> granted_quota_;  // to this run of the pooler
  Millis suspended_at_ = 0, lapse_until_ = 0;
  std::vector<Client> clients_;
  std::map<pooler::ConnectionId, DatabaseConnection> connections_;  // of this run of the pooler
  std::uint64_t incarnation_ = 0;
  std::map<std::string, SentStatement> statements_;
  std::map<std::string, std::pair<std::string, std::vector<std::string>>>
      executions_;  // by stamp: id and rows
  std::set<std::string> committed_, refused_as_not_run_;
  pooler::SessionId last_session_ = 0;
  int last_statement_id_ = 0, last_transaction_ = 0, last_run_ = 0;
};

}  // namespace pebblespindle::test
