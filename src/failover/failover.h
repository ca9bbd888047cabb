// The failover duty: suspects, suspends, holds, promotes, announces. No I/O of its own.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "config/cluster_state.h"
#include "failover/constants.h"
#include "replication/replica.h"
#include "sql_protocol/sql_protocol.h"

namespace pebblespindle::failover {

// How a database answered a statement of the core's own.
struct DbReply {
  enum class Kind { kRow, kError, kRefused, kSilent } kind = Kind::kSilent;
  sql_protocol::Info info;
  std::string error;  // its code, for the log
};

class Failover {
 public:
  struct Out {
    std::function<bool()> holds;           // the duty lease, read right before each step that needs it
    std::function<std::uint64_t()> token;  // rises whenever the duty goes to another; 0: not this core's
    std::function<void(const Instance&, const std::string& statement, std::function<void(DbReply)>)> ask;
    std::function<void(const std::string& service, const InstanceId&, std::function<void(int status)>)>
        promote;
    std::function<void(Json update, std::function<void(Status)>)> submit;
    std::function<bool(std::uint64_t number)> all_acknowledged;  // by every node with a live lease
    std::function<std::size_t()> members;                        // nodes with a live lease
    std::function<void(const std::string&)> note;
  };
  Failover(const StateTable& state, Out out) : state_(state), out_(std::move(out)) {}

  void tick(Millis now);
  bool busy() const;  // a switch is under way
  // A node met trouble with a database. Once: it asks it seldom, and has missed one answer.
  void suspect(Millis now, const InstanceId& id, const std::string& zone, const std::string& node,
               bool refused, bool once = false);
  // A node finds that a primary answers, but far too slowly.
  void slow(Millis now, const InstanceId& id, const std::string& zone, const std::string& node);
  // The same node has an answer of it after all.
  void cleared(Millis now, const InstanceId& id, const std::string& node);
  // A database has told of itself (a beat came in).
  void told(Millis now, const Instance& i);

 private:
  enum class Step { kIdle, kAsking, kHolding, kSurvey, kPausing, kPromoting, kAwaiting, kFinishing };
  struct Job {
    Step step = Step::kIdle;
    Millis since = 0, retry_at = 0;
    std::uint64_t round = 0;  // answers of earlier rounds are dropped
    std::size_t awaited = 0;
    std::map<InstanceId, DbReply> replies;
    InstanceId successor;
    Millis held_since = 0;
    std::uint64_t held_number = 0;
    std::uint64_t term = 0;
    std::map<InstanceId, Position> logs;  // what the replicas told that they had received
    Position committed;             // where a living primary stood once nobody was told of commits any more
    int blind = 0;                  // tries in which a primary said to be alive did not tell that
    bool alive = false;             // the primary told in this round that it leads
    bool follows = false;           // the former primary told in this round that it does not lead any more
    std::uint64_t follow_term = 0;  // the newest term known then
    int unheard = 0;                // tries in which the others lacked what one that has ended had received
    bool called = false;            // a promote may have been taken
    bool told = false;
  };
  struct Reports {
    struct Miss {
      std::string zone;
      Millis at = 0;
      bool once = false;
    };
    std::map<std::string, Miss> nodes;  // who misses answers
    std::map<std::string, std::pair<std::string, Millis>> slow;
    Millis agreed_since = -1;  // half of the nodes have found it slow ever since
    Millis refused = -100000;
    Millis quiet_until = 0;
    bool asking = false;
  };
  std::vector<Instance> members(const std::string& service);
  std::vector<Instance> receivers(const std::string& service, const Job& job);
  std::optional<PrimaryAssignment> lead(const std::string& service);
  std::optional<Instance> instance(const InstanceId& id);
  const ClusterState& cluster();
  void consider(Millis now, const std::string& service, Job& job);
  void begin(Millis now, const std::string& service, const PrimaryAssignment& lead, bool planned,
             const std::string& why);
  void go(Job& job, Step step);
  void survey(Millis now, const std::string& service, Job& job);
  void surveyed(Millis now, const std::string& service, Job& job);
  void paused(Millis now, const std::string& service, Job& job);
  void receive_more(const std::string& service, Job& job, const std::vector<Instance>& whom);
  void promote(Millis now, const std::string& service, Job& job);
  void confirm_lead(Millis now, const std::string& service, Job& job);
  void announce(Millis now, const std::string& service, Job& job, const InstanceId& id, std::uint64_t term);
  void abandon(Millis now, const std::string& service, Job& job);
  void again(Millis now, Job& job);
  void release(Millis now, const std::string& service);
  void ask_all(const std::string& service, Job& job, const std::vector<Instance>& whom,
               const std::string& statement, std::function<void()> then);
  std::size_t zones_missing(const InstanceId& id);
  bool found_slow(const std::string& service, const InstanceId& id);
  int sync_replicas(const std::string& service);

  const StateTable& state_;
  ClusterState cluster_;
  struct Departed {
    Instance instance;
    Millis since = 0;
    int refusals = 0;  // in a row
    bool gone() const { return refusals >= kRefusalsUntilGone; }
  };
  Departed* departed(const InstanceId& id);
  void note_departing(const std::string& service, Job& job);
  std::map<InstanceId, Instance> known_;
  std::vector<Departed> departed_;
  Out out_;
  Millis now_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<InstanceId, Reports> reports_;
  struct Release {
    std::size_t awaited = 0, tries = 0;
    std::uint64_t serial = 0;
    Millis retry_at = 0;
    bool twice = false;
    std::set<InstanceId> done;
    std::map<InstanceId, int> refusals;  // in a row
  };
  std::map<std::string, Millis> handed_over_;  // by service: when its lead last moved for slowness
  std::map<std::string, Release> releases_;
  std::uint64_t last_release_ = 0, token_ = 0;
};

}  // namespace pebblespindle::failover
