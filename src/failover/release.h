// Releases the databases of a service after a failover has ended or was abandoned: paused replicas resume
// replication, and a former primary steps down. The replicated state marks the service as releasing until all
// databases have replied, so that another controller that takes over the failover duty continues.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "failover/operation.h"

namespace pebblespindle::failover {

class Releases {
 public:
  // Called when all databases have replied: the service's assignment is then no longer releasing.
  using Finish = std::function<void(const std::string& service)>;

  Releases(QueryDatabase query, Finish finish) : query_(std::move(query)), finish_(std::move(finish)) {}
  void tick(const ServiceView& view, Instant now);
  void forget(const std::string& service) { releases_.erase(service); }
  void clear() { releases_.clear(); }

 private:
  struct Release {
    std::size_t awaited = 0, attempts = 0;  // awaited: replies that are outstanding
    std::uint64_t round = 0;                // replies to earlier rounds are ignored
    Instant retry_at = 0;
    bool second_pass = false;
    std::set<InstanceId> done;
    std::map<InstanceId, int> refusals;  // consecutive
  };
  void begin_second_pass(Release& release, Instant now);
  void release_instance(const std::string& service, const Instance& instance, std::uint64_t term,
                        std::uint64_t round);
  void on_released(const std::string& service, const InstanceId& id, std::uint64_t round,
                   const DatabaseReply& reply);

  QueryDatabase query_;
  Finish finish_;
  std::map<std::string, Release> releases_;  // by service
  std::uint64_t last_round_ = 0;
};

}  // namespace pebblespindle::failover
