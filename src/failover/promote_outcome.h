// The effect of a promote call, as far as the platform's answer shows it.
#pragma once

namespace pebblespindle::failover {

enum class PromoteOutcome {
  kAccepted,   // the platform carries the call out
  kRefused,    // the call has no effect
  kThrottled,  // the call has no effect; a later one may be accepted
  kNotSent,    // the call did not reach the platform
  kUnknown,    // there was no answer, or one that leaves the effect open
};

// status: the HTTP status of the answer; 0 if there was none, negative if the request was not sent.
PromoteOutcome promote_outcome(int status);

}  // namespace pebblespindle::failover
