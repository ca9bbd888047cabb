// What a database says on one connection, as answers. No I/O.
#pragma once
#include "base/types.h"
#include "sidecar/call.h"

namespace pebblespindle::sidecar {

class AppResponseReader {
 public:
  AppResponseReader();
  struct Response {
    Reply reply;
    Millis keep_alive_ms =
        0;  // how long the connection may rest; 0: not said; below 0: it ends with this answer
  };
  void request_sent(bool head_only) {
    reader_.no_body(head_only);
  }  // a request leaves; whether it asks for a head only
  // False: what came is not HTTP. What was complete before it is in `out`.
  bool feed(std::string_view bytes, std::vector<Response>& out);

 private:
  HttpReader reader_;
};

}  // namespace pebblespindle::sidecar
