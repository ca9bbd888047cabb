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

inline constexpr const char *kRequestIdField = "X-Pebblespindle-Request-Id",
                            *kDeadlineField = "X-Pebblespindle-Deadline-Ms",
                            *kResponseSealField = "X-Pebblespindle-Response-Seal",
                            *kTargetInstanceField = "X-Pebblespindle-Target-Instance",
                            *kCallerServiceField = "X-Pebblespindle-Caller-Service",
                            *kNotExecutedField = "X-Pebblespindle-Not-Executed",
                            *kServerLoadField = "X-Pebblespindle-Server-Load";

// Without the fields that concern one connection only, those its Connection field names among them.
HttpFields end_to_end_fields(const HttpFields& fields);
void set_field(HttpFields& fields, const char* name, std::string value);

Json fields_to_json(const HttpFields& fields);
HttpFields fields_from_json(const Json& j);

// An answer of this system's own. `again_ms`: when to come back; below 0: no word of that.
Reply local_reply(int status, Millis retry_after_ms = -1);
std::string serialize_request(const Call& c);
std::string serialize_reply(const Reply& r, bool close, bool no_body);

}  // namespace pebblespindle::sidecar
