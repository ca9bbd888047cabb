// Evidence from replies to queries of whether the process of a database has ended. Each process has its own
// ID: a database gets a new one when it restarts.
#pragma once
#include <map>
#include <optional>

#include "base/types.h"
#include "failover/database_reply.h"

namespace pebblespindle::failover {

struct ProcessLiveness {
  int refusals = 0;                     // consecutive; a single one may be a connection reset
  std::optional<Instant> silent_since;  // unset once the database replies
  InstanceId replaced_by;  // the ID of another process that runs at its address; empty: none seen
  bool operator==(const ProcessLiveness&) const = default;

  bool refuses() const;
  // Whether the process with this ID is known to have ended.
  bool has_ended() const { return refuses() || !replaced_by.empty(); }
};

class ProcessLivenessTable {
 public:
  void on_reply(Instant now, const InstanceId& id, const DatabaseReply& reply);
  const ProcessLiveness& of(const InstanceId& id) const;
  const std::map<InstanceId, ProcessLiveness>& all() const { return entries_; }
  void copy(const ProcessLivenessTable& from, const InstanceId& id);
  void forget(const InstanceId& id) { entries_.erase(id); }
  void forget_all() { entries_.clear(); }
  bool operator==(const ProcessLivenessTable&) const = default;

 private:
  std::map<InstanceId, ProcessLiveness> entries_;
};

}  // namespace pebblespindle::failover
