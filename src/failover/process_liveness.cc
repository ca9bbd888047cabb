#include "failover/process_liveness.h"

#include "failover/constants.h"

namespace pebblespindle::failover {

bool ProcessLiveness::refuses() const {
  return refusals >= kRefusalsUntilEnded;
}

void ProcessLivenessTable::on_reply(Instant now, const InstanceId& id, const DatabaseReply& reply) {
  ProcessLiveness& liveness = entries_[id];
  if (reply.kind == DatabaseReply::Kind::kSilent) {
    if (!liveness.silent_since) liveness.silent_since = now;
    liveness.refusals = 0;
    return;
  }
  liveness.silent_since.reset();
  liveness.refusals = reply.kind == DatabaseReply::Kind::kRefused ? liveness.refusals + 1 : 0;
  if (reply.kind == DatabaseReply::Kind::kWrongNode) liveness.replaced_by = reply.answering_id;
}

void ProcessLivenessTable::copy(const ProcessLivenessTable& from, const InstanceId& id) {
  auto it = from.entries_.find(id);
  if (it != from.entries_.end()) entries_[id] = it->second;
}

const ProcessLiveness& ProcessLivenessTable::of(const InstanceId& id) const {
  static const ProcessLiveness none;
  auto it = entries_.find(id);
  return it == entries_.end() ? none : it->second;
}

}  // namespace pebblespindle::failover
