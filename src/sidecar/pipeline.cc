#include "sidecar/pipeline.h"

#include <algorithm>

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

Pipeline::Pipeline(const Limits& limits)
    : reader_(HttpReader::Kind::kRequests, limits.max_header_bytes,
              std::min(limits.max_body_bytes, kMaxCallBytes)) {}

void Pipeline::set_limits(const Limits& limits) {
  if (!reader_.begun())
    reader_.bound(limits.max_header_bytes, std::min(limits.max_body_bytes, kMaxCallBytes));
}

std::vector<Pipeline::NewCall> Pipeline::read(std::string_view bytes, CallId& last_id, std::string& out) {
  std::vector<NewCall> new_calls;
  while (!closing_ && !bytes.empty()) {
    std::size_t consumed = 0;
    switch (reader_.feed(bytes, consumed)) {
      case HttpReader::State::kMore:
        bytes = {};
        break;
      case HttpReader::State::kDone:
        bytes.remove_prefix(consumed);
        accept_request(reader_.take(), last_id, new_calls);
        break;
      case HttpReader::State::kBad:
        reject(400);
        break;
      case HttpReader::State::kHeadTooLong:
        reject(431);
        break;
      case HttpReader::State::kBodyTooLong:
        reject(413);
        break;
    }
  }
  out += flush();
  return new_calls;
}

// The error response follows those to all earlier requests and closes the connection.
void Pipeline::reject(int status) {
  closing_ = true;
  entries_.push_back({0, true, false, local_reply(status)});
}

void Pipeline::accept_request(HttpMessage message, CallId& last_id, std::vector<NewCall>& new_calls) {
  // With two lengths, two hosts, or a length next to a chunked body, two parsers may disagree on the end or
  // the target of a request (request smuggling). With two ids its response could not be told from another
  // one. After CONNECT the connection no longer carries HTTP.
  if (count_fields(message.fields, "Host") != 1 || count_fields(message.fields, "Content-Length") > 1 ||
      count_fields(message.fields, kRequestIdField) > 1 || message.method == "CONNECT" ||
      (find_field(message.fields, "Transfer-Encoding") && find_field(message.fields, "Content-Length")))
    return reject(400);
  const CallId id = ++last_id;
  // Nothing is read after a request whose response closes the connection: clients send the requests after it
  // again, even those that are not idempotent.
  closing_ = !message.keep_alive || draining_;
  entries_.push_back({id, false, message.method == "HEAD", {}});
  new_calls.push_back(
      {id, {message.method, message.target, std::move(message.body), end_to_end_fields(message.fields)}});
}

std::string Pipeline::answer(CallId id, Reply reply) {
  auto entry = std::find_if(entries_.begin(), entries_.end(),
                            [&](auto& candidate) { return candidate.id == id && !candidate.answered; });
  if (entry != entries_.end()) {
    entry->answered = true;
    entry->reply = std::move(reply);
  }
  return flush();
}

std::string Pipeline::flush() {
  std::string out;
  while (!entries_.empty() && entries_.front().answered) {
    Entry entry = std::move(entries_.front());
    entries_.pop_front();
    closing_ = closing_ || (draining_ && entries_.empty());
    out += serialize_reply(entry.reply, closing_ && entries_.empty(), entry.no_body);
  }
  return out;
}

Pipeline::Awaiting Pipeline::awaiting() const {
  if (closing_) return Awaiting::kNothing;
  if (reader_.begun()) return reader_.head_done() ? Awaiting::kBody : Awaiting::kHead;
  return entries_.empty() ? Awaiting::kRequest : Awaiting::kNothing;
}

std::string Pipeline::on_timeout() {
  if (awaiting() == Awaiting::kRequest)
    closing_ = true;
  else if (awaiting() != Awaiting::kNothing)
    reject(408);
  return flush();
}

std::vector<CallId> Pipeline::unanswered() const {
  std::vector<CallId> ids;
  for (auto& entry : entries_)
    if (!entry.answered) ids.push_back(entry.id);
  return ids;
}

}  // namespace pebblespindle::sidecar
