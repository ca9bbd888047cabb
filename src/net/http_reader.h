// Reads HTTP/1.1 messages out of a byte stream, on the http-parser library.
#pragma once
#include <http_parser.h>

#include <string>
#include <utility>
#include <vector>

namespace pebblespindle {

using HttpFields = std::vector<std::pair<std::string, std::string>>;  // in the order they came

struct HttpMessage {
  std::string method, target, body;
  int status = 0;
  HttpFields fields;
  bool keep_alive = true;
};

// The value of a field whatever the case of its name; null when there is none.
const std::string* find_field(const HttpFields& fields, std::string_view name);
std::size_t count_fields(const HttpFields& fields, std::string_view name);
bool same_name(std::string_view a, std::string_view b);

class HttpReader {
 public:
  enum class Kind { kRequests, kResponses };
  enum class State { kMore, kDone, kBad, kHeadTooLong, kBodyTooLong };
  HttpReader(Kind kind, std::size_t head_bytes, std::size_t body_bytes);
  ~HttpReader() = default;
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  void bound(std::size_t head_bytes, std::size_t body_bytes) {
    head_most_ = head_bytes;
    body_most_ = body_bytes;
  }
  // Takes bytes up to the end of a message; `took` says how many.
  State feed(std::string_view bytes, std::size_t& took);
  HttpMessage take();                           // the message, once it is done
  void no_body(bool none) { no_body_ = none; }  // the next response answers a HEAD
  bool begun() const { return begun_; }         // part of a message has come
  bool head_done() const { return head_done_; }

 private:
  static HttpReader& self(http_parser* p) { return *static_cast<HttpReader*>(p->data); }
  bool well_ended_lines(std::string_view bytes);
  int grow(std::string& s, const char* at, std::size_t n);
  http_parser parser_;
  http_parser_settings settings_;
  HttpMessage message_;
  std::size_t head_most_, body_most_, head_size_ = 0, line_ = 0;
  char last_ = 0;
  State state_ = State::kMore;
  bool in_value_ = false, begun_ = false, head_done_ = false, no_body_ = false, strict_ = false;
};

}  // namespace pebblespindle
