#include "config/config_delivery.h"

#include "config/constants.h"
#include "config/update_validation.h"

namespace pebblespindle {

void Delivery::greet(std::uint64_t have) {
  sent_ = have;
  greeted_ = true;
  feeding_ = nullptr;
}

void Delivery::go_on(const StateTable& state, std::uint64_t committed, bool settled, News& news,
                     const Send& send) {
  for (;;) {
    // Bulk goes in pieces, and the next one only as a node takes them: leases are not held up behind it.
    while (feeding_ && next_ < feeding_->size() && next_ < taken_ + kFeedChunksAhead)
      send((*feeding_)[next_++]);
    if (feeding_ && feeding_->size() > 1 && taken_ < feeding_->size()) return;
    feeding_ = nullptr;
    // Only whole, committed states go out: between two changes of a row there is nothing to send.
    if (!greeted_ || !settled || sent_ >= committed) return;
    if (sent_ < state.compacted_to()) sent_ = 0;  // what is gone is no longer named: it takes the state whole
    if (news.from != sent_ || news.to != committed || news.life != state.generation())
      news = {sent_, committed, state.generation(),
              std::make_shared<const std::vector<std::string>>(
                  feed_lines(sent_, committed, state.rows_after(sent_)))};
    sent_ = committed;
    feeding_ = news.lines;
    next_ = taken_ = 0;
  }
}

}  // namespace pebblespindle
