// Collects the nodes' reports of databases that don't reply or reply too slowly, and decides when there are
// enough of them to act.
//
// A single node is not enough, because its link may be faulty. The controller queries a primary only when
// nodes of two zones miss its replies or a node's connection was refused, and replaces a slow primary only
// when half of all nodes, in more than one zone, have reported it as slow for a while.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "base/types.h"

namespace pebblespindle::failover {

class Suspicions {
 public:
  // A node got no reply from the database. refused: its connection was refused. single_miss: the node queries
  // the database rarely, and the report is based on one missed reply.
  void report_missed_reply(Instant now, const InstanceId& id, const std::string& zone,
                           const std::string& node, bool refused, bool single_miss = false);
  void report_slow(Instant now, const InstanceId& id, const std::string& zone, const std::string& node);
  // The node has had a reply from the database again.
  void clear_missed_reply(const InstanceId& id, const std::string& node);
  void clear(const InstanceId& id) { reports_.erase(id); }
  void clear_all() { reports_.clear(); }

  // Whether the controller should query the database itself. False while a query is under way and shortly
  // after the database has answered one.
  bool should_query(Instant now, const InstanceId& id);
  void on_query_sent(const InstanceId& id) { reports_[id].query_under_way = true; }
  void on_query_ended(const InstanceId& id) { reports_[id].query_under_way = false; }
  // The database has answered the query: the reports received so far are discarded.
  void on_query_answered(Instant now, const InstanceId& id);
  // The number of zones with nodes that currently miss the database's replies.
  std::size_t zones_missing_replies(Instant now, const InstanceId& id);
  // Whether enough nodes have reported the database as slow for long enough. nodes: the number of all nodes.
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
