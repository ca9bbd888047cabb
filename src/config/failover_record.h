// The state of failovers, stored as rows of the replicated state that only controllers hold: one record for
// each service whose primary is being replaced or for which an earlier promote call may still take effect,
// and one row for each departed database whose log may hold commits that no other database has.
//
// Existing installations hold rows in this format, so it has to stay readable.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/instance.h"

namespace pebblespindle {

// Both start with kAppliedChangesPrefix, so that older builds do not send these rows to nodes either.
inline const std::string kDepartedPrefix = "td/", kFailoverPrefix = "tf/";

// A promote call to the platform that is about to be made, or that was made and may still take effect.
struct PromoteCall {
  std::uint64_t number = 0;  // unique among the calls of the service
  InstanceId successor;
  std::uint64_t fencing_token = 0;  // sent with the call
  std::uint64_t term =
      0;  // the newest term known before the call; the promoted database leads in a higher one
  bool operator==(const PromoteCall&) const = default;
};

struct FailoverRecord {
  std::string id;  // identifies the failover in the logs of all controllers; empty: no record
  std::string reason;
  std::uint64_t fencing_token = 0;     // of the controller that wrote the record
  std::vector<PromoteCall> calls;      // that may still take effect
  bool earlier_calls_unknown = false;  // the failover was started by a build without records
  bool operator==(const FailoverRecord&) const = default;
};

// A database that is no longer registered.
struct DepartedInstance {
  Instance instance;
  // The database that registered at the same address afterwards and continues with the same log. Empty if
  // this database announced its shutdown: it serves for a while longer, and its log is gone when it ends.
  InstanceId replacement;
};

std::string failover_key(const std::string& service);
std::string departed_key(const InstanceId& id);

std::string encode_failover(const FailoverRecord& record);
std::optional<FailoverRecord> decode_failover(const std::string& value);
std::string encode_departed(const DepartedInstance& departed);
std::optional<DepartedInstance> decode_departed(const InstanceId& id, const std::string& value);

}  // namespace pebblespindle
