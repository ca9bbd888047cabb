// Simulates the databases of one service, the platform and the controllers that hold the failover duty, on
// simulated time. After each step, the log of the primary with the newest term must hold every acknowledged
// commit.
#pragma once
#include <gtest/gtest.h>

#include <random>

#include "config/command_validation.h"
#include "failover/constants.h"
#include "failover/failover.h"
#include "replication/simulated_network.h"

namespace pebblespindle::test {

using failover::DatabaseReply;
using failover::Failover;
using failover::PromoteOutcome;

constexpr Millis kDrainMs = 7000;

struct SimulatedCluster {
  struct Database {
    bool up = true, unreachable = false, primary = false, draining = false, replication_blocked = false;
    bool connections_exhausted = false, ended = false;  // ended: the process doesn't come back
    Millis reset_at = 0;  // of the last reset; two in a row would look like a process that has ended
    std::uint64_t term = 1, paused_term = 0, reported_term = 0;  // reported_term: in its last reply
    Position received{1, 0};
    std::string replaced_by;  // the ID of the database that now runs at its address; empty: none
  };
  explicit SimulatedCluster(std::uint32_t seed, int count = 3) : rng(seed) {
    state.put({kConfigurationHeadKey, "[1,3000]", 1, false});
    state.put({kServicePrefix + "s", "[16,1]", 1, false});
    for (int i = 0; i < count; ++i) add_database(i, i == 0);
    databases["db0"].primary = true;
    replace_controller();
  }
  Instance instance(const std::string& name) {
    Instance instance;
    instance.id = {name};
    instance.service = "s";
    instance.zone = "z";
    auto address = addresses.find(name);
    instance.address = address != addresses.end()
                           ? address->second
                           : Endpoint{"10.0.0.1", std::uint16_t(1 + name.back() - '0')};
    instance.primary = databases[name].primary;
    instance.draining = databases[name].draining;
    instance.call_count = ++calls;
    return instance;
  }
  void add_database(int i, bool primary) {
    std::string name = "db" + std::to_string(i);
    databases[name].primary = primary;
    apply(put_instance(instance(name)));
  }
  Status submit(const Json& command) {
    auto validated = validate_command(state, command);
    std::uint64_t sequence = state.last_sequence() + 1;
    for (auto& row : validated.rows) {
      row.sequence = sequence;
      state.put(row);
    }
    return validated.status;
  }
  void apply(const Json& command) { EXPECT_TRUE(submit(command).is_ok()); }
  void schedule(Millis delay, std::function<void()> action) {
    events.emplace(now + delay, std::move(action));
  }
  bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(rng) < probability; }

  // Another controller takes over the duty, one that knows only the replicated state.
  void replace_controller() {
    failover = make_controller(++generation);
    standby = make_controller(generation + 1);
  }
  // Another controller takes over the duty, one that has been running all along without it.
  void switch_to_standby() {
    ++generation;
    failover = std::move(standby);
    standby = make_controller(generation + 1);
    // The next standby is only created now, which saves running the ticks of a third controller.
  }
  std::unique_ptr<Failover> make_controller(int controller_number) {
    failover::FailoverCallbacks callbacks;
    callbacks.is_leader = [this, controller_number] { return controller_number == generation && holds_duty; };
    callbacks.fencing_token = [this, controller_number] {
      return std::uint64_t(controller_number <= generation ? controller_number : 0);
    };
    callbacks.query = [this, controller_number](const Instance& instance, const std::string& statement,
                                                std::function<void(DatabaseReply)> done) {
      std::string name = instance.id.value;
      Database& database = databases[name];
      auto answer = [this, controller_number, done](Millis delay, DatabaseReply reply) {
        schedule(delay, [this, controller_number, done, reply] {
          if (controller_number == generation) done(reply);
        });
      };
      if (!database.replaced_by.empty())
        return answer(2, {DatabaseReply::Kind::kWrongNode,
                          {},
                          "WRONGNODE " + database.replaced_by,
                          {database.replaced_by}});
      if (database.unreachable) return answer(kInfoTimeoutMs, {DatabaseReply::Kind::kSilent, {}, {}});
      if (!database.up) return answer(2, {DatabaseReply::Kind::kRefused, {}, {}});
      if (reset_rate > 0 && now > database.reset_at + 1000 && chance(reset_rate))
        return database.reset_at = now, answer(2, {DatabaseReply::Kind::kRefused, {}, {}});
      if (database.connections_exhausted) return answer(3, {DatabaseReply::Kind::kError, {}, "CONNLIMIT"});
      if (late_statement_rate > 0 && chance(late_statement_rate)) {  // it arrives after the timeout
        schedule(kInfoTimeoutMs + Millis(rng() % 1500),
                 [this, name, statement] { execute_statement(databases[name], statement); });
        return answer(kInfoTimeoutMs, {DatabaseReply::Kind::kSilent, {}, {}});
      }
      if (chance(0.03)) return answer(3, {DatabaseReply::Kind::kError, {}, "THROTTLED"});
      if (statement.starts_with("PAUSE")) {
        if (database.primary) return answer(3, {DatabaseReply::Kind::kError, {}, "MALFORMED"});
        EXPECT_GT(term_of(statement), database.reported_term)
            << "PAUSE at a term that is not above the newest";
        if (term_of(statement) <= database.term)
          return answer(3, {DatabaseReply::Kind::kError, {}, "MALFORMED"});
      }
      execute_statement(database, statement);
      database.reported_term = database.term;
      answer(3 + Millis(rng() % 5),
             {DatabaseReply::Kind::kRow,
              {database.primary, database.term, database.received, database.paused_term, 0},
              {}});
    };
    callbacks.promote = [this, controller_number](const std::string&, const InstanceId& id,
                                                  std::function<void(PromoteOutcome)> done) {
      EXPECT_TRUE(holds_duty) << "the platform was called without holding the duty";
      auto answer = [this, controller_number, done](Millis delay, int status) {
        schedule(delay, [this, controller_number, done, status] {
          if (controller_number == generation) done(failover::promote_outcome(status));
        });
      };
      Database& database = databases[id.value];
      if (chance(platform_error_rate)) return answer(5, 429);
      if (!database.up || database.unreachable) return answer(5, 409);
      bool silent = chance(platform_error_rate);
      if (platform_delay_ms > 0) silent = true;
      schedule(300 + platform_delay_ms, [this, id] { apply_promote(id.value); });
      answer(silent ? kPromoteExpiryMs : 5, silent ? 0 : 200);
    };
    callbacks.submit = [this, controller_number](Json command, std::function<void(Status)> done) {
      schedule(10, [this, controller_number, command, done] {
        Status status = submit(command);
        if (controller_number == generation) done(std::move(status));
      });
    };
    callbacks.acknowledged_by_all_nodes = [this](std::uint64_t) { return nodes_know_suspension = true; };
    callbacks.node_count = [] { return std::size_t(4); };
    callbacks.log_event = [this](const std::string& event) {
      if (std::getenv("PEBBLESPINDLE_LOG"))
        std::printf("%lld %s\n", static_cast<long long>(now), event.c_str());
    };
    return std::make_unique<Failover>(state, std::move(callbacks), kDrainMs);
  }

  static std::uint64_t term_of(const std::string& statement) {
    return statement.find(' ') == std::string::npos ? 0
                                                    : std::stoull(statement.substr(statement.find(' ') + 1));
  }
  static void execute_statement(Database& database, const std::string& statement) {
    if (!database.up) return;
    std::uint64_t term = term_of(statement);
    if (statement.starts_with("PAUSE") && !database.primary && term > database.term)
      database.paused_term = std::max(database.paused_term, term);
    if (statement.starts_with("CONTINUE")) database.paused_term = 0;
    if (statement.starts_with("STEPDOWN") && database.primary && database.term < term)
      database.primary = false, database.paused_term = 0;
  }

  void apply_promote(const std::string& name) {
    Database& promoted = databases[name];
    if (!promoted.up || promoted.primary) return;
    ++promotes;
    EXPECT_GE(promoted.received, last_acknowledged)
        << "LOST: " << name << " was promoted without an acknowledged commit";
    std::uint64_t newest = 0;
    for (auto& [other_name, other] : databases) newest = std::max(newest, other.term);
    for (auto& [other_name, other] : databases)
      if (other_name != name && !other.primary) other.received = std::min(other.received, promoted.received);
    promoted.primary = true;
    promoted.paused_term = 0;
    promoted.term = newest + 1;
    newest_promoted_term = promoted.term;
    promoted.received = {promoted.term, promoted.received.number};
    schedule(50, [this, name] {
      apply(put_instance(instance(name))), failover->on_heartbeat(now, instance(name));
    });
  }

  void write() {  // a client's commit at each database that considers itself primary
    for (auto& [name, leader] : databases) {
      if (!leader.primary || !leader.up || leader.unreachable) continue;
      Position position{leader.term, leader.received.number + 1};
      leader.received = position;
      bool synced = false;
      for (auto& [other, replica] : databases) {
        bool follows = !replica.primary && replica.up && !replica.unreachable &&
                       !replica.replication_blocked && replica.paused_term == 0 &&
                       replica.term <= leader.term;
        bool newest = std::none_of(databases.begin(), databases.end(), [&](auto& entry) {
          return entry.second.primary && entry.second.term > leader.term;
        });
        if (other == name || !follows || !newest || chance(0.3)) continue;
        replica.received = position;
        replica.term = leader.term;
        synced = true;
      }
      auto assignment = decode_primary(state.find(primary_key("s"))->value);
      bool commit_reported = !assignment->suspended ||
                             !nodes_know_suspension;  // nodes that know of the suspension report no commit
      if (synced && commit_reported) last_acknowledged = std::max(last_acknowledged, position);
      if (!assignment->suspended) nodes_know_suspension = false;
    }
  }
  void step() {
    ++now;
    while (!events.empty() && events.begin()->first <= now) {
      auto action = std::move(events.begin()->second);
      events.erase(events.begin());
      action();
    }
    if (now % 7 == 0) write();
    if (now % 50 == 0) {
      for (auto& [name, database] : databases) {  // replicas that are not paused or blocked catch up
        auto leader = std::max_element(databases.begin(), databases.end(), [](auto& left, auto& right) {
          return (left.second.primary ? left.second.term : 0) <
                 (right.second.primary ? right.second.term : 0);
        });
        if (database.primary && database.term < leader->second.term && database.up && leader->second.up)
          database.primary = false;
        if (!database.primary && database.up && !database.unreachable && !database.replication_blocked &&
            database.paused_term == 0 && leader->second.primary && leader->second.up &&
            !leader->second.unreachable)
          database.received = leader->second.received, database.term = leader->second.term;
        if (database.primary && (!database.up || database.unreachable) && !suppress_reports)
          for (const char* zone : {"z0", "z1"})
            failover->suspicions().report_missed_reply(now, {name}, zone, std::string("n") + zone,
                                                       !database.unreachable);
      }
      failover->tick(now);
      standby->tick(now);
    }
    check_acknowledged_commits();
  }
  // The process restarts with its log under another ID, and has not registered itself yet.
  void restart_under_new_id(const std::string& name, const std::string& new_id) {
    Database& former = databases[name];
    databases[new_id] = former;
    databases[new_id].up = true;
    databases[new_id].paused_term = 0;
    former.up = former.primary = false;
    former.ended = true;
    former.replaced_by = new_id;
    addresses[new_id] = instance(name).address;
  }
  void announce_shutdown(const std::string& name) { apply(retire_instance({name})); }
  void end_process(const std::string& name) {
    databases[name].up = false, databases[name].ended = true, databases[name].paused_term = 0;
  }
  void register_database(const std::string& name) { apply(put_instance(instance(name))); }
  // Fails if an acknowledged commit is missing from the log of the primary with the newest term.
  void check_acknowledged_commits() const {
    const Database* newest = nullptr;
    for (auto& [name, database] : databases)
      if (database.primary && (!newest || database.term > newest->term)) newest = &database;
    if (newest && newest->term == newest_promoted_term && newest->received < last_acknowledged && !failed) {
      failed = true;
      ADD_FAILURE() << "LOST: the log of the primary ends at " << newest->received.text() << ", "
                    << last_acknowledged.text() << " was acknowledged";
    }
  }
  std::string assigned_primary() {
    auto assignment = decode_primary(state.find(primary_key("s"))->value);
    return assignment->suspended ? "" : assignment->primary.value;
  }

  Millis now = 1000;
  std::mt19937 rng;
  StateTable state;
  std::map<std::string, Database> databases;
  std::map<std::string, Endpoint> addresses;  // of databases that have replaced another one at its address
  std::unique_ptr<Failover> failover, standby;
  std::multimap<Millis, std::function<void()>> events;
  Position last_acknowledged{};
  std::uint64_t newest_promoted_term = 1;
  bool holds_duty = true, nodes_know_suspension = false,
       suppress_reports = false;  // nodes report nothing by themselves
  int generation = 0, promotes = 0;
  std::uint64_t calls = 0;
  double platform_error_rate = 0;
  double reset_rate = 0,
         late_statement_rate =
             0;  // shares of the controller's statements that are reset, or arrive after the timeout
  mutable bool failed = false;
  Millis platform_delay_ms =
      0;  // if positive, promote calls take effect this much later and are not answered
};

}  // namespace pebblespindle::test
