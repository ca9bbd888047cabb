#include "net/http_reader.h"

#include <strings.h>

#include <algorithm>

namespace pebblespindle {

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* find_field(const HttpFields& fields, std::string_view name) {
  for (auto& [n, v] : fields)
    if (same_name(n, name)) return &v;
  return nullptr;
}

std::size_t count_fields(const HttpFields& fields, std::string_view name) {
  return std::size_t(
      std::count_if(fields.begin(), fields.end(), [&](auto& f) { return same_name(f.first, name); }));
}

HttpReader::HttpReader(Kind kind, std::size_t head_bytes, std::size_t body_bytes)
    : head_most_(head_bytes), body_most_(body_bytes), strict_(kind == Kind::kRequests) {
  http_parser_init(&parser_, kind == Kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  http_parser_settings_init(&settings_);
  settings_.on_message_begin = [](http_parser* p) {
    auto& r = self(p);
    r.message_ = {};
    r.head_size_ = 0;
    r.in_value_ = r.head_done_ = false;
    r.begun_ = true;
    return 0;
  };
  settings_.on_url = [](http_parser* p, const char* at, std::size_t n) {
    return self(p).grow(self(p).message_.target, at, n);
  };
  settings_.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
    auto& r = self(p);
    if (r.head_done_) return 0;  // a trailer: nothing behind a body changes what was said before it
    if (r.in_value_ || r.message_.fields.empty()) r.message_.fields.emplace_back();
    r.in_value_ = false;
    return r.grow(r.message_.fields.back().first, at, n);
  };
  settings_.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
    auto& r = self(p);
    if (r.head_done_) return 0;
    if (std::find(at, at + n, '\0') != at + n) return 1;  // the library lets it pass at a value's start
    r.in_value_ = true;
    return r.grow(r.message_.fields.back().second, at, n);
  };
  settings_.on_headers_complete = [](http_parser* p) {
    auto& r = self(p);
    r.head_done_ = true;
    // The library goes by a length even where the status says that there is no body.
    const unsigned status = p->type == HTTP_RESPONSE ? p->status_code : 200;
    return r.no_body_ || status / 100 == 1 || status == 204 || status == 304 ? 1 : 0;
  };
  settings_.on_body = [](http_parser* p, const char* at, std::size_t n) {
    auto& r = self(p);
    if (r.message_.body.size() + n > r.body_most_) {
      r.state_ = State::kBodyTooLong;
      return 1;
    }
    r.message_.body.append(at, n);
    return 0;
  };
  settings_.on_message_complete = [](http_parser* p) {
    auto& r = self(p);
    r.message_.method = http_method_str(http_method(p->method));
    r.message_.status = int(p->status_code);
    r.message_.keep_alive = http_should_keep_alive(p) != 0;
    r.state_ = State::kDone;
    r.begun_ = false;
    http_parser_pause(p, 1);
    return 0;
  };
}

int HttpReader::grow(std::string& s, const char* at, std::size_t n) {
  head_size_ += n;
  if (head_size_ > head_most_) {
    state_ = State::kHeadTooLong;
    return 1;
  }
  s.append(at, n);
  return 0;
}

// Lines of a request's head end in CR LF: a bare LF is a line's end to one reader and not to another.
bool HttpReader::well_ended_lines(std::string_view bytes) {
  for (char c : bytes) {
    if (c == '\n') {
      if (last_ != '\r') return false;
      if (line_ == 0 && begun_) return true;  // the head ends
      line_ = 0;
    } else if (c != '\r') {
      if (last_ == '\r') return false;
      ++line_;
      begun_ = true;
    }
    last_ = c;
  }
  return true;
}

HttpReader::State HttpReader::feed(std::string_view bytes, std::size_t& took) {
  state_ = State::kMore;
  took = 0;
  if (strict_ && !(begun_ && head_done_)) {
    if (!begun_) line_ = 0, last_ = 0, head_done_ = false;
    if (!well_ended_lines(bytes)) return state_ = State::kBad;
  }
  took = http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
  if (state_ == State::kDone) {
    http_parser_pause(&parser_, 0);
    return state_;
  }
  if (state_ == State::kMore && HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
    state_ = HTTP_PARSER_ERRNO(&parser_) == HPE_HEADER_OVERFLOW ? State::kHeadTooLong : State::kBad;
  // A response that ends with its connection is never complete here: a cut could not be told from its end.
  return state_;
}

HttpMessage HttpReader::take() {
  return std::exchange(message_, {});
}

}  // namespace pebblespindle
