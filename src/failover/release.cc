#include "failover/release.h"

#include <algorithm>

#include "failover/constants.h"

namespace pebblespindle::failover {

void Releases::tick(const ServiceView& view, Instant now) {
  Release& release = releases_[view.service];
  if (release.awaited > 0 || now < release.retry_at) return;
  auto remaining = view.registered;
  std::erase_if(remaining, [&](auto& database) {
    return database.id == view.assignment.primary || release.done.count(database.id) > 0;
  });
  if (remaining.empty() && !release.second_pass) return begin_second_pass(release, now);
  if (remaining.empty()) {
    release.retry_at = now + kFailoverRetryMs;
    return finish_(view.service);
  }
  release.awaited = remaining.size();
  release.retry_at = now + kFailoverRetryMs * Millis(std::min<std::size_t>(++release.attempts, 5));
  const std::uint64_t round = release.round = ++last_round_;
  for (auto& database : remaining) release_instance(view.service, database, view.assignment.term, round);
}

// A PAUSE whose reply timed out may reach its database after the first CONTINUE, so CONTINUE is sent again
// once no such statement can be on its way.
void Releases::begin_second_pass(Release& release, Instant now) {
  release.second_pass = true;
  release.attempts = 0;
  release.done.clear();
  release.refusals.clear();
  release.retry_at = now + kMaxStatementDelayMs;
}

void Releases::release_instance(const std::string& service, const Instance& instance, std::uint64_t term,
                                std::uint64_t round) {
  const auto done = [this, service, round, id = instance.id](const DatabaseReply& reply) {
    on_released(service, id, round, reply);
  };
  if (!instance.primary) return query_(instance, "CONTINUE", done);
  // The instance was registered as primary, which may be outdated: it may still lead, or be paused by now. So
  // it gets STEPDOWN and then CONTINUE.
  query_(instance, "STEPDOWN " + std::to_string(term),
         [this, instance, service, round, done](const DatabaseReply& reply) {
           auto it = releases_.find(service);
           if (it == releases_.end() || it->second.round != round) return;  // a later round or failover
           if (reply.kind == DatabaseReply::Kind::kRow)
             query_(instance, "CONTINUE", done);
           else
             done(reply);
         });
}

void Releases::on_released(const std::string& service, const InstanceId& id, std::uint64_t round,
                           const DatabaseReply& reply) {
  auto it = releases_.find(service);
  if (it == releases_.end() || it->second.round != round) return;
  Release& release = it->second;
  --release.awaited;
  // A process that has ended needs no release, and a restarted one is not paused.
  int& refusals = release.refusals[id];
  refusals = reply.kind == DatabaseReply::Kind::kRefused ? refusals + 1 : 0;
  const bool has_ended = refusals >= kRefusalsUntilEnded || reply.kind == DatabaseReply::Kind::kWrongNode;
  if (reply.kind == DatabaseReply::Kind::kRow || has_ended) release.done.insert(id);
}

}  // namespace pebblespindle::failover
