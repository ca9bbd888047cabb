// Parses the pipelined requests of one client connection and releases the responses in the order of the
// requests. Does no I/O of its own.
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
  // Parses received bytes and returns the complete requests; their ids count up from `last_id`. Responses
  // that can be written now are appended to `out`.
  std::vector<NewCall> read(std::string_view bytes, CallId& last_id, std::string& out);
  // Stores the response to a request. Returns the responses that can be written now, each of them whole, in
  // the order of the requests. A second response to the same request is ignored.
  std::string answer(CallId id, Reply reply);
  // Reads no request after those that have begun; the last response closes the connection.
  void drain() { draining_ = true; }
  // Applies new limits, unless a request is being read.
  void set_limits(const Limits& limits);

  // What the client has to send next, which decides the timeout that applies. kNothing: the client waits for
  // a response, or the connection is closing.
  enum class Awaiting { kNothing, kHead, kBody, kRequest };
  Awaiting awaiting() const;
  // The client took too long to send that. Returns what can be written now; nothing more is read.
  std::string on_timeout();
  bool is_finished() const { return closing_ && entries_.empty(); }  // close it once all is written
  bool is_idle() const { return entries_.empty() && !reader_.begun(); }
  std::size_t pending_count() const { return entries_.size(); }
  std::vector<CallId> unanswered() const;  // requests without a response

 private:
  struct Entry {  // in the order of the requests
    CallId id = 0;
    bool answered = false, no_body = false;
    Reply reply;
  };
  void reject(int status);
  void accept_request(HttpMessage message, CallId& last_id, std::vector<NewCall>& new_calls);
  std::string flush();
  HttpReader reader_;
  std::deque<Entry> entries_;
  bool closing_ = false, draining_ = false;
};

}  // namespace pebblespindle::sidecar
