// What the nodes tell of databases that do not answer, or answer too slowly, and when that is enough to act.
//
// One node alone is not believed: its link may be at fault. Nodes of two zones have to miss answers, or one
// has to be refused, before the primary is queried; half of all nodes, in more than one zone, have to find it
// slow for a while before it hands over.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "base/types.h"

namespace pebblespindle::failover {

class Suspicions {
 public:
  // A node missed an answer. refused: its connection was. once: it queries the database rarely, and has
  // missed one answer.
  void report_missed_reply(Instant now, const InstanceId& id, const std::string& zone,
                           const std::string& node, bool refused, bool single_miss = false);
  void report_slow(Instant now, const InstanceId& id, const std::string& zone, const std::string& node);
  // The node has an answer of it after all.
  void clear_missed_reply(const InstanceId& id, const std::string& node);
  void clear(const InstanceId& id) { reports_.erase(id); }
  void clear_all() { reports_.clear(); }

  // Whether the database should be queried; not while it is, nor shortly after it has answered.
  bool should_query(Instant now, const InstanceId& id);
  void on_query_sent(const InstanceId& id) { reports_[id].query_under_way = true; }
  void on_query_ended(const InstanceId& id) { reports_[id].query_under_way = false; }
  // It answers: what was told of it counts no more.
  void on_query_answered(Instant now, const InstanceId& id);
  // Zones whose nodes miss every answer of late.
  std::size_t zones_missing_replies(Instant now, const InstanceId& id);
  // Whether enough of all nodes have found it slow for long enough.
  bool nodes_agree_slow(Instant now, const InstanceId& id, std::size_t nodes);

 private:
  struct MissedReply {
    std::string zone;
    Instant at = 0;
    bool single_miss = false;
  };
  struct Slow {
    std::string zone;
    Instant at = 0;
  };
  struct Reports {
    std::map<std::string, MissedReply> missed_replies;  // by node
    std::map<std::string, Slow> slow;                   // by node
    std::optional<Instant> agreed_slow_since;
    std::optional<Instant> refused_at;
    Instant quiet_until = 0;
    bool query_under_way = false;
  };
  std::map<InstanceId, Reports> reports_;
};

}  // namespace pebblespindle::failover
