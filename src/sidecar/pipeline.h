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
  struct Asked {
    CallId id;
    Call call;
  };
  // Takes what was received; the ids of new requests are drawn from `last`. What may be written now is added
  // to `out`.
  std::vector<Asked> read(std::string_view bytes, CallId& last, std::string& out);
  // What may be written now that this is answered: whole answers only, in their order.
  std::string answer(CallId id, Reply r);
  // No request is read beyond those that have begun; the last answer closes.
  void leave() { leaving_ = true; }
  void limits(const Limits& l);

  // What the client has to do next, and so the limit that counts.
  enum class Waits { kNothing, kHead, kBody, kRest };
  Waits waits() const;
  // It took too long over it. What may be written now; nothing more is read.
  std::string expired();
  bool over() const { return closing_ && places_.empty(); }  // to be closed once all is written
  bool resting() const { return places_.empty() && !reader_.begun(); }
  std::size_t waiting() const { return places_.size(); }
  std::vector<CallId> open() const;  // requests without an answer

 private:
  struct Place {  // in the order of the requests
    CallId id = 0;
    bool done = false, no_body = false;
    Reply reply;
  };
  void refuse(int status);
  void take(HttpMessage m, CallId& last, std::vector<Asked>& asked);
  std::string flush();
  HttpReader reader_;
  std::deque<Place> places_;
  bool closing_ = false, leaving_ = false;
};

}  // namespace pebblespindle::sidecar
