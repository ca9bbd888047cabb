#include "sidecar/pipeline.h"

#include <algorithm>

#include "sidecar/constants.h"

namespace pebblespindle::sidecar {

Pipeline::Pipeline(const Limits& l)
    : reader_(HttpReader::Kind::kRequests, l.max_header_bytes, std::min(l.max_body_bytes, kMaxCallBytes)) {}

void Pipeline::set_limits(const Limits& l) {
  if (!reader_.begun()) reader_.bound(l.max_header_bytes, std::min(l.max_body_bytes, kMaxCallBytes));
}

std::vector<Pipeline::NewCall> Pipeline::read(std::string_view bytes, CallId& last, std::string& out) {
  std::vector<NewCall> asked;
  while (!closing_ && !bytes.empty()) {
    std::size_t took = 0;
    switch (reader_.feed(bytes, took)) {
      case HttpReader::State::kMore:
        bytes = {};
        break;
      case HttpReader::State::kDone:
        bytes.remove_prefix(took);
        take(reader_.take(), last, asked);
        break;
      case HttpReader::State::kBad:
        refuse(400);
        break;
      case HttpReader::State::kHeadTooLong:
        refuse(431);
        break;
      case HttpReader::State::kBodyTooLong:
        refuse(413);
        break;
    }
  }
  out += flush();
  return asked;
}

// What cannot be understood is answered after all that came before it, and ends the connection.
void Pipeline::refuse(int status) {
  closing_ = true;
  places_.push_back({0, true, false, local_reply(status)});
}

void Pipeline::take(HttpMessage m, CallId& last, std::vector<NewCall>& asked) {
  // Two lengths, two hosts or a length beside pieces: what one reader takes for the end another may not. Two
  // ids: an answer could not be told from another's. CONNECT: what follows it is not HTTP.
  if (count_fields(m.fields, "Host") != 1 || count_fields(m.fields, "Content-Length") > 1 ||
      count_fields(m.fields, kRequestIdField) > 1 || m.method == "CONNECT" ||
      (find_field(m.fields, "Transfer-Encoding") && find_field(m.fields, "Content-Length")))
    return refuse(400);
  const CallId id = ++last;
  // Nothing is read behind one whose answer closes: clients send again what came behind it, of any kind.
  closing_ = !m.keep_alive || draining_;
  places_.push_back({id, false, m.method == "HEAD", {}});
  asked.push_back({id, {m.method, m.target, std::move(m.body), end_to_end_fields(m.fields)}});
}

std::string Pipeline::answer(CallId id, Reply r) {
  auto place = std::find_if(places_.begin(), places_.end(),
                            [&](auto& waiting) { return waiting.id == id && !waiting.done; });
  if (place != places_.end()) {
    place->done = true;
    place->reply = std::move(r);
  }
  return flush();
}

std::string Pipeline::flush() {
  std::string out;
  while (!places_.empty() && places_.front().done) {
    Place p = std::move(places_.front());
    places_.pop_front();
    closing_ = closing_ || (draining_ && places_.empty());
    out += serialize_reply(p.reply, closing_ && places_.empty(), p.no_body);
  }
  return out;
}

Pipeline::Awaiting Pipeline::awaiting() const {
  if (closing_) return Awaiting::kNothing;
  if (reader_.begun()) return reader_.head_done() ? Awaiting::kBody : Awaiting::kHead;
  return places_.empty() ? Awaiting::kRequest : Awaiting::kNothing;
}

std::string Pipeline::on_timeout() {
  if (awaiting() == Awaiting::kRequest)
    closing_ = true;
  else if (awaiting() != Awaiting::kNothing)
    refuse(408);
  return flush();
}

std::vector<CallId> Pipeline::unanswered() const {
  std::vector<CallId> ids;
  for (auto& p : places_)
    if (!p.done) ids.push_back(p.id);
  return ids;
}

}  // namespace pebblespindle::sidecar
