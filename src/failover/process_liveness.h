// What asking a database has shown of whether the process with that ID has ended.
#pragma once
#include <map>
#include <optional>

#include "base/types.h"
#include "failover/database_reply.h"

namespace pebblespindle::failover {

struct ProcessLiveness {
  int refusals = 0;                     // in a row; a single one may be a connection's reset
  std::optional<Instant> silent_since;  // it has not answered since then
  InstanceId replaced_by;               // another process answers at its address
  bool operator==(const ProcessLiveness&) const = default;

  bool refuses() const;
  // Nothing runs under that ID any more.
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
