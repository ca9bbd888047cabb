#include "sidecar/call.h"

#include <algorithm>

#include "sidecar/frame.h"

namespace pebblespindle::sidecar {

HttpFields end_to_end_fields(const HttpFields& fields) {
  std::vector<std::string> named;
  for (auto& [name, value] : fields)
    if (same_name(name, "Connection"))
      for (std::size_t at = 0; at <= value.size();) {
        auto comma = std::min(value.find(',', at), value.size());
        auto from = value.find_first_not_of(" \t", at),
             to = value.find_last_not_of(" \t", comma - (comma > 0));
        if (from < comma && to != std::string::npos && to >= from)
          named.push_back(value.substr(from, to - from + 1));
        at = comma + 1;
      }
  HttpFields out;
  for (auto& f : fields) {
    auto is = [&](std::string_view n) { return same_name(f.first, n); };
    bool drop = is("Connection") || is("Keep-Alive") || is("Proxy-Connection") || is("TE") || is("Trailer") ||
                is("Transfer-Encoding") || is("Upgrade") || is("Content-Length") || is("Expect");
    for (auto& n : named) drop = drop || is(n);
    if (!drop) out.push_back(f);
  }
  return out;
}

void set_field(HttpFields& fields, const char* name, std::string value) {
  std::erase_if(fields, [&](auto& f) { return same_name(f.first, name); });
  fields.emplace_back(name, std::move(value));
}

Json fields_to_json(const HttpFields& fields) {
  Json j = Json::array();
  for (auto& [name, value] : fields) {
    j.push_back(name);
    j.push_back(value);
  }
  return j;
}

HttpFields fields_from_json(const Json& j) {
  HttpFields out;
  if (!j.is_array()) return out;
  for (std::size_t i = 0; i + 1 < j.size(); i += 2)
    if (j[i].is_string() && j[i + 1].is_string()) {
      std::string name = j[i], value = j[i + 1];
      if (is_single_word(name) && is_single_line(value)) out.emplace_back(std::move(name), std::move(value));
    }
  return out;
}

Reply local_reply(int status, Millis retry_after_ms) {
  Reply r;
  r.status = status;
  if (retry_after_ms >= 0) {
    std::string ms = std::to_string(retry_after_ms % 1000);
    r.fields.emplace_back("Retry-After",
                          std::to_string(retry_after_ms / 1000) + "." + std::string(3 - ms.size(), '0') + ms);
  }
  return r;
}

namespace {

void append_fields(std::string& out, const HttpFields& fields) {
  for (auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

std::string serialize_request(const Call& c) {
  std::string out = c.method + " " + c.target + " HTTP/1.1\r\n";
  append_fields(out, c.fields);
  bool bodied = !c.body.empty() || c.method == "POST" || c.method == "PUT" || c.method == "PATCH";
  if (bodied) out += "Content-Length: " + std::to_string(c.body.size()) + "\r\n";
  return out + "\r\n" + c.body;
}

std::string serialize_reply(const Reply& r, bool close, bool no_body) {
  const char* reason = ::http_status_str(http_status(r.status));
  std::string out = "HTTP/1.1 " + std::to_string(r.status) + " " + (reason ? reason : "Status") + "\r\n";
  append_fields(out, r.fields);
  if (close) out += "Connection: close\r\n";
  // The answer to a HEAD has no body here to take a length from.
  if (!no_body && r.status != 204 && r.status != 304)
    out += "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
  out += "\r\n";
  if (!no_body && r.status != 204 && r.status != 304) out += r.body;
  return out;
}

}  // namespace pebblespindle::sidecar
