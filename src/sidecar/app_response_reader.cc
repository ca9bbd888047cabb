#include "sidecar/app_response_reader.h"

#include <charconv>

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

AppResponseReader::AppResponseReader()
    : reader_(HttpReader::Kind::kResponses, kMaxResponseHeadBytes, kMaxCallBytes) {}

bool AppResponseReader::feed(std::string_view bytes, std::vector<Response>& out) {
  while (!bytes.empty()) {
    std::size_t consumed = 0;
    auto state = reader_.feed(bytes, consumed);
    if (state == HttpReader::State::kMore) return true;
    if (state != HttpReader::State::kDone) return false;
    bytes.remove_prefix(consumed);
    HttpMessage message = reader_.take();
    if (message.status >= 100 && message.status < 200) continue;
    // Bytes after a complete response were not requested: the connection is not to be reused.
    Millis keep_alive_ms = message.keep_alive && bytes.empty() ? 0 : -1;
    if (auto* value = find_field(message.fields, "Keep-Alive"); value && keep_alive_ms == 0)
      if (auto at = value->find("timeout="); at != std::string::npos) {
        unsigned seconds = 0;
        if (std::from_chars(value->data() + at + 8, value->data() + value->size(), seconds).ec == std::errc())
          keep_alive_ms = seconds == 0 ? -1 : Millis(seconds) * 1000;
      }
    out.push_back({{message.status, std::move(message.body), std::move(message.fields)}, keep_alive_ms});
  }
  return true;
}

}  // namespace pebblespindle::sidecar
