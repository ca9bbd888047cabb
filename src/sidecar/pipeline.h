// One client's connection: its requests as they are read, and its answers in the order of the requests. No
// I/O.
#pragma once
#include <deque>

#include "config/state_rows.h"
#include "sidecar/call.h"

namespace pebblespindle::sidecar {

class Pipeline {
 public:
  explicit Pipeline(const Limits& limits);
  struct NewCall {
    CallId id;
    Call call;
  };
  // Takes what was received; the ids of new requests are drawn from `last`. What may be written now is added
  // to `out`.
  std::vector<NewCall> read(std::string_view bytes, CallId& last, std::string& out);
  // What may be written now that this is answered: whole answers only, in their order.
  std::string answer(CallId id, Reply r);
  // No request is read beyond those that have begun; the last answer closes.
  void drain() { draining_ = true; }
  void set_limits(const Limits& l);

  // What the client has to do next, and so the limit that counts.
  enum class Awaiting { kNothing, kHead, kBody, kRequest };
  Awaiting awaiting() const;
  // It took too long over it. What may be written now; nothing more is read.
  std::string on_timeout();
  bool is_finished() const { return closing_ && places_.empty(); }  // to be closed once all is written
  bool is_idle() const { return places_.empty() && !reader_.begun(); }
  std::size_t pending_count() const { return places_.size(); }
  std::vector<CallId> unanswered() const;  // requests without an answer

 private:
  struct Place {  // in the order of the requests
    CallId id = 0;
    bool done = false, no_body = false;
    Reply reply;
  };
  void refuse(int status);
  void take(HttpMessage m, CallId& last, std::vector<NewCall>& asked);
  std::string flush();
  HttpReader reader_;
  std::deque<Place> places_;
  bool closing_ = false, draining_ = false;
};

}  // namespace pebblespindle::sidecar
