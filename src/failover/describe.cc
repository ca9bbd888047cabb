#include "failover/describe.h"

namespace pebblespindle::failover {

std::string describe(const InstanceId& id, const DatabaseReply& reply) {
  static const char* const kind_names[] = {"row", "error", "error", "refused", "silent"};
  if (reply.kind != DatabaseReply::Kind::kRow)
    return id.value + ":" + kind_names[int(reply.kind)] +
           (reply.error.empty() ? "" : "(" + reply.error + ")");
  const auto& info = reply.info;
  return id.value + ":" + (info.primary ? "primary" : "replica") + "@" + info.received.text() + "/term" +
         std::to_string(info.term) + "/held" + std::to_string(info.held);
}

std::string describe(const std::map<InstanceId, DatabaseReply>& replies) {
  std::string text;
  for (auto& [id, reply] : replies) text += (text.empty() ? "" : ",") + describe(id, reply);
  return text;
}

std::string describe(PromoteOutcome outcome) {
  static const char* const names[] = {"accepted", "refused", "throttled", "not sent", "unknown"};
  return names[int(outcome)];
}

}  // namespace pebblespindle::failover
