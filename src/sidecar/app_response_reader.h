// Parses the responses of the database on one connection. Does no I/O of its own.
#pragma once
#include "base/types.h"
#include "sidecar/call.h"

namespace pebblespindle::sidecar {

class AppResponseReader {
 public:
  AppResponseReader();
  struct Response {
    Reply reply;
    Millis keep_alive_ms = 0;  // allowed idle time; 0: not stated; below 0: not to be reused
  };
  void request_sent(bool head_only) {
    reader_.no_body(head_only);
  }  // true for HEAD, whose response has no body
  // Appends complete responses to `out`. False: the bytes after them are not valid HTTP.
  bool feed(std::string_view bytes, std::vector<Response>& out);

 private:
  HttpReader reader_;
};

}  // namespace pebblespindle::sidecar
