// After a failover, or one abandoned: whoever is paused receives again, and a former primary learns that it
// is one. The state says so until all have answered, so that the next controller goes on where this one
// stops.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "failover/operation.h"

namespace pebblespindle::failover {

class Releases {
 public:
  // All have answered: the assignment may say so.
  using Finish = std::function<void(const std::string& service)>;

  Releases(QueryDatabase query, Finish finish) : query_(std::move(query)), finish_(std::move(finish)) {}
  void tick(const ServiceView& view, Instant now);
  void forget(const std::string& service) { releases_.erase(service); }
  void clear() { releases_.clear(); }

 private:
  struct Release {
    std::size_t awaited = 0, attempts = 0;
    std::uint64_t round = 0;
    Instant retry_at = 0;
    bool second_pass = false;
    std::set<InstanceId> done;
    std::map<InstanceId, int> refusals;  // in a row
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
