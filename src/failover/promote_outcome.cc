#include "failover/promote_outcome.h"

namespace pebblespindle::failover {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;

}  // namespace

PromoteOutcome promote_outcome(int status) {
  if (status < 0) return PromoteOutcome::kNotSent;
  if (status >= 200 && status < 300) return PromoteOutcome::kAccepted;
  if (status == kTooManyRequests) return PromoteOutcome::kThrottled;
  if (status >= 400 && status < 500 && status != kRequestTimeout) return PromoteOutcome::kRefused;
  return PromoteOutcome::kUnknown;
}

}  // namespace pebblespindle::failover
