// What failovers have to remember, as rows of the replicated state that controllers alone keep: one record
// for each service whose primary is being replaced, or for which an earlier promote may still take effect,
// and one row for each database that has left while its log may hold commits that no other database has.
//
// Installations hold rows of this form.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/instance.h"

namespace pebblespindle {

// Both begin with kAppliedChangesPrefix, so that no build feeds them to nodes.
inline const std::string kDepartedPrefix = "td/", kFailoverPrefix = "tf/";

// A call to the platform that is about to be made, or was made and may still take effect.
struct PromoteCall {
  std::uint64_t number = 0;  // tells this call from all others of the service
  InstanceId successor;
  std::uint64_t fencing_token = 0;  // the fencing token that it carries
  std::uint64_t term = 0;           // the newest term known before it: whoever it promotes leads a higher one
  bool operator==(const PromoteCall&) const = default;
};

struct FailoverRecord {
  std::string id;  // names the failover in the logs of all controllers; empty: there is no record
  std::string reason;
  std::uint64_t fencing_token = 0;     // of the holder that wrote it
  std::vector<PromoteCall> calls;      // those that may still take effect
  bool earlier_calls_unknown = false;  // a build that kept no records has begun this failover
  bool operator==(const FailoverRecord&) const = default;
};

// A database that is no longer registered.
struct DepartedInstance {
  Instance instance;
  // The database that registered itself at the same address after this one: it goes on with the log. Empty:
  // this one announced its end, serves on for a while, and then takes its log along.
  InstanceId replacement;
};

std::string failover_key(const std::string& service);
std::string departed_key(const InstanceId& id);

std::string encode_failover(const FailoverRecord& record);
std::optional<FailoverRecord> decode_failover(const std::string& value);
std::string encode_departed(const DepartedInstance& departed);
std::optional<DepartedInstance> decode_departed(const InstanceId& id, const std::string& value);

}  // namespace pebblespindle
