#include "sidecar/app_response_reader.h"

#include <charconv>

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

AppResponseReader::AppResponseReader()
    : reader_(HttpReader::Kind::kResponses, kMaxResponseHeadBytes, kMaxCallBytes) {}

bool AppResponseReader::feed(std::string_view bytes, std::vector<Response>& out) {
  while (!bytes.empty()) {
    std::size_t took = 0;
    auto state = reader_.feed(bytes, took);
    if (state == HttpReader::State::kMore) return true;
    if (state != HttpReader::State::kDone) return false;
    bytes.remove_prefix(took);
    HttpMessage m = reader_.take();
    if (m.status >= 100 && m.status < 200) continue;
    // More after a whole answer: nothing after it counts.
    Millis keep = m.keep_alive && bytes.empty() ? 0 : -1;
    if (auto* k = find_field(m.fields, "Keep-Alive"); k && keep == 0)
      if (auto at = k->find("timeout="); at != std::string::npos) {
        unsigned s = 0;
        if (std::from_chars(k->data() + at + 8, k->data() + k->size(), s).ec == std::errc())
          keep = s == 0 ? -1 : Millis(s) * 1000;
      }
    out.push_back({{m.status, std::move(m.body), std::move(m.fields)}, keep});
  }
  return true;
}

}  // namespace pebblespindle::sidecar
