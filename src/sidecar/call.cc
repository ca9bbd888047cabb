#include "sidecar/call.h"

#include <algorithm>

#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

HttpFields end_to_end_fields(const HttpFields& fields) {
  std::vector<std::string> connection_fields;
  for (auto& [name, value] : fields)
    if (same_name(name, "Connection"))
      for (std::size_t at = 0; at <= value.size();) {
        auto comma = std::min(value.find(',', at), value.size());
        auto from = value.find_first_not_of(" \t", at),
             to = value.find_last_not_of(" \t", comma - (comma > 0));
        if (from < comma && to != std::string::npos && to >= from)
          connection_fields.push_back(value.substr(from, to - from + 1));
        at = comma + 1;
      }
  HttpFields out;
  for (auto& field : fields) {
    auto is_named = [&](std::string_view name) { return same_name(field.first, name); };
    bool drop = is_named("Connection") || is_named("Keep-Alive") || is_named("Proxy-Connection") ||
                is_named("TE") || is_named("Trailer") || is_named("Transfer-Encoding") ||
                is_named("Upgrade") || is_named("Content-Length") || is_named("Expect");
    for (auto& name : connection_fields) drop = drop || is_named(name);
    if (!drop) out.push_back(field);
  }
  return out;
}

void set_field(HttpFields& fields, const char* name, std::string value) {
  std::erase_if(fields, [&](auto& field) { return same_name(field.first, name); });
  fields.emplace_back(name, std::move(value));
}

Json fields_to_json(const HttpFields& fields) {
  Json json = Json::array();
  for (auto& [name, value] : fields) {
    json.push_back(name);
    json.push_back(value);
  }
  return json;
}

HttpFields fields_from_json(const Json& json) {
  HttpFields out;
  if (!json.is_array()) return out;
  for (std::size_t i = 0; i + 1 < json.size(); i += 2)
    if (json[i].is_string() && json[i + 1].is_string()) {
      std::string name = json[i], value = json[i + 1];
      if (is_single_word(name) && is_single_line(value)) out.emplace_back(std::move(name), std::move(value));
    }
  return out;
}

Reply local_reply(int status, Millis retry_after_ms) {
  Reply reply;
  reply.status = status;
  if (retry_after_ms >= 0) {
    std::string milliseconds = std::to_string(retry_after_ms % 1000);
    reply.fields.emplace_back("Retry-After", std::to_string(retry_after_ms / 1000) + "." +
                                                 std::string(3 - milliseconds.size(), '0') + milliseconds);
  }
  return reply;
}

namespace {

void append_fields(std::string& out, const HttpFields& fields) {
  for (auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string serialize_request(const Call& call) {
  std::string out = call.method + " " + call.target + " HTTP/1.1\r\n";
  append_fields(out, call.fields);
  bool has_body =
      !call.body.empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH";
  if (has_body) out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  return out + "\r\n" + call.body;
}

std::string serialize_reply(const Reply& reply, bool close, bool no_body) {
  const char* reason = ::http_status_str(http_status(reply.status));
  std::string out = "HTTP/1.1 " + std::to_string(reply.status) + " " + (reason ? reason : "Status") + "\r\n";
  append_fields(out, reply.fields);
  if (close) out += "Connection: close\r\n";
  // The body of a response to HEAD is not known here, so its length is not either.
  if (!no_body && reply.status != 204 && reply.status != 304)
    out += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
  out += "\r\n";
  if (!no_body && reply.status != 204 && reply.status != 304) out += reply.body;
  return out;
}

}  // namespace pebblespindle::sidecar
