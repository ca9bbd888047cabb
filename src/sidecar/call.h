// What passes through a sidecar: a request, and what became of it.
#pragma once
#include "base/json_schema.h"
#include "net/http_reader.h"

namespace pebblespindle::sidecar {

using CallId = std::uint64_t;  // of a client's request here
using LinkId = std::uint64_t;  // a connection to another sidecar; 0: this machine's own two halves
using ConnId = std::uint64_t;  // a connection to the database beside

struct Call {
  std::string method, target, body;
  HttpFields fields;  // without those that concern one connection only
};

struct Reply {
  int status = 0;
  std::string body;
  HttpFields fields;
};

inline constexpr const char *kIdField = "X-Pebblespindle-Request-Id",
                            *kDeadlineField = "X-Pebblespindle-Deadline-Ms",
                            *kSealField = "X-Pebblespindle-Response-Seal",
                            *kTargetField = "X-Pebblespindle-Target-Instance",
                            *kCallerField = "X-Pebblespindle-Caller-Service",
                            *kNotRunField = "X-Pebblespindle-Not-Executed",
                            *kLoadField = "X-Pebblespindle-Server-Load";

// Without the fields that concern one connection only, those its Connection field names among them.
HttpFields end_to_end(const HttpFields& fields);
void set_field(HttpFields& fields, const char* name, std::string value);

Json fields_json(const HttpFields& fields);
HttpFields fields_from(const Json& j);

// An answer of this system's own. `again_ms`: when to come back; below 0: no word of that.
Reply own_reply(int status, Millis again_ms = -1);
std::string request_bytes(const Call& c);
std::string reply_bytes(const Reply& r, bool close, bool no_body);

}  // namespace pebblespindle::sidecar
