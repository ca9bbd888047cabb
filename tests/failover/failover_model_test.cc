// Explores the orders of events of failover_model.h breadth-first, up to a number of states. To explore more
// states by hand:
//   PEBBLESPINDLE_STATES=3000000 target/pebblespindle_tests --gtest_filter=FailoverModel.*
#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <chrono>
#include <deque>
#include <unordered_set>

#include "failover/failover_model.h"

namespace pebblespindle::test {
namespace {

constexpr std::size_t kStatesInCi = 40000;
// In one of this many states, all faults are ended to check that the service gets a primary again.
constexpr std::size_t kRecoveryCheckInterval = 16;

std::size_t max_states_from_environment() {
  const char* text = std::getenv("PEBBLESPINDLE_STATES");
  return text ? std::size_t(std::atoll(text)) : kStatesInCi;
}

struct Exploration {
  std::size_t states = 0, recovered_count = 0, depth = 0;
  bool complete = false;
  std::string violation;
  std::vector<std::string> trace;
};

// Whether, in a sample of the states, all faults are ended to check that the service gets a primary.
enum class RecoveryCheck { kSampled, kNone };

class Explorer {
 public:
  explicit Explorer(RecoveryCheck recovery_check) : recovery_check_(recovery_check) {}
  Exploration explore(const FailoverModel& initial, std::size_t max_states) {
    visit(initial, 0, 0, "");
    while (!queue_.empty() && result_.states < max_states && result_.violation.empty()) {
      const Entry entry = std::move(queue_.front());
      queue_.pop_front();
      for (auto& event : entry.model.events()) {
        FailoverModel next = entry.model;
        next.apply(event);
        visit(next, entry.depth + 1, entry.index, event);
        if (!result_.violation.empty()) break;
      }
    }
    result_.complete = queue_.empty() && result_.violation.empty();
    return result_;
  }

 private:
  struct Entry {
    FailoverModel model;
    std::size_t depth, index;
  };
  struct Origin {
    std::size_t parent;
    std::string event;
  };

  void visit(const FailoverModel& model, std::size_t depth, std::size_t parent, const std::string& event) {
    const std::string key = model.key();
    if (!seen_.insert(XXH3_64bits(key.data(), key.size())).second) return;
    origins_.push_back({parent, event});
    ++result_.states;
    result_.depth = std::max(result_.depth, depth);
    const std::size_t index = origins_.size() - 1;
    if (!model.violation().empty()) return record_violation(model, index, model.violation());
    if (recovery_check_ == RecoveryCheck::kSampled && result_.states % kRecoveryCheckInterval == 0) {
      FailoverModel recovered = model;
      const bool recovers = recovered.recovers();
      if (!recovered.violation().empty())
        return record_violation(recovered, index, recovered.violation() + " (after all faults have ended)");
      if (!recovers) return record_violation(recovered, index, "no primary although all databases are back");
      ++result_.recovered_count;
    }
    queue_.push_back({model, depth, index});
  }

  void record_violation(const FailoverModel& model, std::size_t index, const std::string& violation) {
    result_.violation = violation;
    result_.trace.push_back(model.describe());
    for (; index > 0; index = origins_[index].parent)
      result_.trace.insert(result_.trace.begin(), origins_[index].event);
  }

  RecoveryCheck recovery_check_;
  std::deque<Entry> queue_;
  std::vector<Origin> origins_;
  std::unordered_set<std::uint64_t> seen_;
  Exploration result_;
};

Exploration explore(InjectedFault fault, const EventLimits& limits, int sync_replicas,
                    std::size_t max_states) {
  const auto started = std::chrono::steady_clock::now();
  const auto result = Explorer(fault == InjectedFault::kNone ? RecoveryCheck::kSampled : RecoveryCheck::kNone)
                          .explore(FailoverModel(fault, limits, sync_replicas), max_states);
  const auto duration =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started);
  std::printf("%zu states, depth %zu, %s, recovery checked in %zu, %lld ms\n", result.states, result.depth,
              result.complete ? "all" : "bounded", result.recovered_count,
              static_cast<long long>(duration.count()));
  if (!result.violation.empty()) {
    std::printf("%s\n", result.violation.c_str());
    for (auto& event : result.trace) std::printf("    %s\n", event.c_str());
  }
  return result;
}

EventLimits make_limits(int departures, int duty_moves, int late_promotes) {
  return {.writes = 1,
          .crashes = 1,
          .departures = departures,
          .duty_moves = duty_moves,
          .lost_replies = 0,
          .late_promotes = late_promotes,
          .ticks = 6};
}

TEST(FailoverModel, NoOrderOfEventsLosesAnAcknowledgedCommit) {
  for (const EventLimits& limits : {make_limits(0, 1, 1), make_limits(1, 1, 0), EventLimits{}}) {
    const auto result = explore(InjectedFault::kNone, limits, 1, max_states_from_environment());
    EXPECT_EQ(result.violation, "");
  }
}

TEST(FailoverModel, WithoutSyncReplicasAPrimaryIsFoundAgain) {
  EXPECT_EQ(explore(InjectedFault::kNone, make_limits(1, 1, 1), 0, max_states_from_environment()).violation,
            "");
}

TEST(FailoverModel, FindsALogThatIsForgottenWithItsDatabase) {
  EXPECT_TRUE(explore(InjectedFault::kIgnoresDeparted, make_limits(1, 0, 0), 1, 4 * kStatesInCi)
                  .violation.starts_with("LOST"));
}

TEST(FailoverModel, FindsALogThatIsDroppedWhenItsDatabaseIsBackUnderANewId) {
  EventLimits limits = make_limits(0, 0, 0);
  limits.crashes = 2;
  EXPECT_TRUE(
      explore(InjectedFault::kDropsRestarted, limits, 1, 4 * kStatesInCi).violation.starts_with("LOST"));
}

TEST(FailoverModel, FindsAPromoteThatIsForgottenBeforeItTakesEffect) {
  EXPECT_TRUE(explore(InjectedFault::kIgnoresCalls, make_limits(0, 0, 1), 1, 4 * kStatesInCi)
                  .violation.starts_with("LOST"));
}

}  // namespace
}  // namespace pebblespindle::test
