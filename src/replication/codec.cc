#include "replication/codec.h"

#include <map>

#include "base/json_fields.h"

namespace pebblespindle::replication {
namespace {

bool is_count(const Json& value) {
  if (!value.is_number_integer()) return false;
  if (!value.is_number_unsigned() && value.get<std::int64_t>() < 0) return false;
  return value.get<std::uint64_t>() <= kMaxWireNumber;
}

// Reads the fields of one message. A required field that is missing, or a field of the wrong type, marks the
// message as malformed; values read after that are meaningless.
class FieldReader {
 public:
  explicit FieldReader(const Json& fields) : fields_(fields) {}

  bool well_formed() const { return well_formed_; }
  void require(bool condition) { well_formed_ = well_formed_ && condition; }
  bool has(const char* name) const { return fields_.contains(name); }

  std::uint64_t number(const char* name) { return optional_number(name, true).value_or(0); }
  std::optional<std::uint64_t> optional_number(const char* name, bool required = false) {
    const Json* value = find(name, required, is_count);
    return value ? std::optional(value->get<std::uint64_t>()) : std::nullopt;
  }
  std::string text(const char* name) { return optional_text(name, true).value_or(""); }
  std::optional<std::string> optional_text(const char* name, bool required = false) {
    const Json* value = find(name, required, [](const Json& field) { return field.is_string(); });
    return value ? std::optional(value->get<std::string>()) : std::nullopt;
  }
  bool flag(const char* name) {
    const Json* value = find(name, false, [](const Json& field) { return field.is_boolean(); });
    return value && value->get<bool>();
  }
  // An empty list if the field is missing.
  Json list(const char* name, bool required = false) {
    const Json* value = find(name, required, [](const Json& field) { return field.is_array(); });
    return value ? *value : Json::array();
  }
  Json object(const char* name) {
    const Json* value = find(name, true, [](const Json& field) { return field.is_object(); });
    return value ? *value : Json::object();
  }
  View view(const char* name) { return optional_view(name, true).value_or(View()); }
  std::optional<View> optional_view(const char* name, bool required = false) {
    const Json* value =
        find(name, required, [](const Json& field) { return decode_view(field).has_value(); });
    return value ? decode_view(*value) : std::nullopt;
  }
  // The field without any check; null if it is missing.
  Json any(const char* name) const { return fields_.value(name, Json()); }

 private:
  template <class Check>
  const Json* find(const char* name, bool required, Check check) {
    auto it = fields_.find(name);
    if (it == fields_.end()) {
      require(!required);
      return nullptr;
    }
    require(check(*it));
    return well_formed_ ? &*it : nullptr;
  }
  const Json& fields_;
  bool well_formed_ = true;
};

// --- Status codes in messages; the numbers are those of HTTP ---

constexpr int kEncodedOk = 200;
constexpr int kEncodedInvalid = 400;
constexpr int kEncodedConflict = 412;
constexpr int kEncodedUnavailable = 503;

int encode_code(StatusCode code) {
  switch (code) {
    case StatusCode::kOk:
      return kEncodedOk;
    case StatusCode::kInvalidArgument:
      return kEncodedInvalid;
    case StatusCode::kConflict:
      return kEncodedConflict;
    default:
      return kEncodedUnavailable;
  }
}

Status decode_status(std::uint64_t code, std::string reason) {
  switch (code) {
    case kEncodedOk:
      return Status::ok();
    case kEncodedInvalid:
      return Status::invalid_argument(std::move(reason));
    case kEncodedConflict:
      return Status::conflict(std::move(reason));
    default:
      return Status::unavailable(std::move(reason));
  }
}

// --- Encoding ---

Json encode_fields(const IgnoredMessage&) {
  return Json{{"t", "ignored"}};
}

Json encode_fields(const Heartbeat& heartbeat) {
  Json fields{{"t", "b"}, {"v", heartbeat.view}, {"s", heartbeat.synced_view}, {"at", heartbeat.sent_at}};
  if (heartbeat.without_lease) fields["u"] = true;
  if (heartbeat.caught_up_view) fields["l"] = *heartbeat.caught_up_view;
  if (heartbeat.not_participating) fields["x"] = true;
  if (heartbeat.leaving) fields["w"] = true;
  return fields;
}

Json encode_fields(const LeaseGrant& grant) {
  return {{"t", "a"}, {"v", grant.view}, {"at", grant.heartbeat_sent_at}};
}

Json encode_fields(const Append& append) {
  Json fields{{"t", "up"},
              {"n", append.view},
              {"base", append.base_sequence},
              {"bt", append.base_term},
              {"k", append.last_sequence},
              {"r", encode_rows(append.rows)}};
  if (append.in_reply_to) fields["q"] = *append.in_reply_to;
  if (!append.terms.empty()) fields["e"] = encode_terms(append.terms);
  Json origins = Json::array();
  for (auto& origin : append.origins)
    origins.push_back(Json::array({origin.sequence, origin.replica, origin.request}));
  if (!origins.empty()) fields["o"] = std::move(origins);
  return fields;
}

Json encode_fields(const Commit& commit) {
  return {{"t", "com"}, {"n", commit.view}, {"k", commit.sequence}};
}

Json encode_fields(const StateQuery& query) {
  return {{"t", "ask"}, {"n", query.view}};
}

Json encode_fields(const StateRequest& request) {
  Json fields{{"t", "have"},
              {"n", request.view},
              {"q", request.request},
              {"s", request.synced_view},
              {"c", request.committed},
              {"k", request.last_sequence},
              {"kt", request.last_term}};
  if (request.progress) fields["st"] = encode_progress(*request.progress);
  return fields;
}

Json encode_fields(const StateChunk& chunk) {
  Json fields{{"t", "pc"},
              {"n", chunk.view},
              {"q", chunk.in_reply_to},
              {"st", encode_progress(chunk.progress)},
              {"r", encode_rows(chunk.rows)}};
  if (chunk.is_first) fields["new"] = true;
  if (chunk.end) {
    fields["e"] = encode_terms(chunk.end->terms.value_or(std::vector<TermStart>()));
    fields["trimmed"] = chunk.end->compacted_to;
    fields["size"] = chunk.end->row_count;
  }
  return fields;
}

Json encode_fields(const SubmitRequest& request) {
  return {{"t", "sub"},
          {"id", request.request},
          {"n", request.view},
          {"q", request.attempt},
          {"u", request.command}};
}

Json encode_fields(const SubmitReply& reply) {
  Json fields{{"t", "done"}, {"id", reply.request}, {"s", encode_code(reply.status.code())}};
  if (!reply.status.is_ok()) {
    fields["why"] = reply.status.message();
    fields["q"] = reply.attempt;
  }
  return fields;
}

Json encode_fields(const ReadRequest& request) {
  return {{"t", "read"}, {"id", request.request}, {"key", request.key}};
}

Json encode_fields(const ReadReply& reply) {
  Json fields{{"t", "val"}, {"id", reply.request}};
  if (reply.value) fields["v"] = *reply.value;
  return fields;
}

Json encode_fields(const Prepare& prepare) {
  return {{"t", "prep"}, {"n", prepare.view}, {"b", prepare.proposal}};
}

Json encode_fields(const Promise& promise) {
  Json fields{{"t", "prom"}, {"n", promise.view}, {"b", promise.proposal}, {"s", promise.synced_view}};
  if (promise.accepted) {
    fields["ab"] = promise.accepted->proposal;
    fields["av"] = encode_view(promise.accepted->view);
  }
  return fields;
}

Json encode_fields(const Accept& accept) {
  return {
      {"t", "acc"}, {"n", accept.view.number}, {"b", accept.proposal}, {"view", encode_view(accept.view)}};
}

Json encode_fields(const Accepted& accepted) {
  return {{"t", "accd"}, {"n", accepted.view}, {"b", accepted.proposal}};
}

Json encode_fields(const Decision& decision) {
  return {{"t", "dec"}, {"view", encode_view(decision.view)}};
}

// --- Decoding ---

Message decode_heartbeat(FieldReader& fields) {
  Heartbeat heartbeat;
  heartbeat.view = fields.number("v");
  heartbeat.synced_view = fields.number("s");
  heartbeat.sent_at = Instant(fields.number("at"));
  heartbeat.caught_up_view = fields.optional_number("l");
  heartbeat.without_lease = fields.flag("u");
  heartbeat.not_participating = fields.flag("x");
  heartbeat.leaving = fields.flag("w");
  return heartbeat;
}

Message decode_lease_grant(FieldReader& fields) {
  const ViewNumber view = fields.number("v");
  return LeaseGrant{view, Instant(fields.number("at"))};
}

std::vector<Origin> decode_origins(FieldReader& fields) {
  std::vector<Origin> origins;
  for (auto& origin : fields.list("o")) {
    const bool valid = origin.is_array() && origin.size() == 3 && is_count(origin[0]) &&
                       origin[1].is_string() && is_count(origin[2]);
    fields.require(valid);
    if (valid) origins.push_back({origin[0], origin[1], origin[2]});
  }
  return origins;
}

Message decode_append(FieldReader& fields) {
  Append append;
  append.view = fields.number("n");
  append.in_reply_to = fields.optional_number("q");
  append.base_sequence = fields.number("base");
  append.base_term = fields.number("bt");
  append.last_sequence = fields.number("k");
  auto rows = decode_rows(fields.list("r", true));
  append.terms = decode_terms(fields.list("e")).value_or(std::vector<TermStart>());
  fields.require(append.base_sequence <= append.last_sequence);
  append.origins = decode_origins(fields);
  if (!rows) return IgnoredMessage();
  append.rows = std::move(*rows);
  return append;
}

Message decode_commit(FieldReader& fields) {
  const ViewNumber view = fields.number("n");
  return Commit{view, fields.number("k")};
}

Message decode_state_query(FieldReader& fields) {
  return StateQuery{fields.number("n")};
}

Message decode_state_request(FieldReader& fields) {
  StateRequest request;
  request.view = fields.number("n");
  request.request = fields.number("q");
  request.synced_view = fields.number("s");
  request.committed = fields.number("c");
  request.last_sequence = fields.number("k");
  request.last_term = fields.number("kt");
  request.progress = decode_progress(fields.any("st"));
  return request;
}

Message decode_state_chunk(FieldReader& fields) {
  StateChunk chunk;
  chunk.view = fields.number("n");
  chunk.in_reply_to = fields.number("q");
  chunk.is_first = fields.has("new");
  (void)fields.flag("new");
  auto rows = decode_rows(fields.list("r", true));
  const SequenceNumber compacted_to = fields.optional_number("trimmed").value_or(0);
  const std::size_t row_count = fields.optional_number("size").value_or(0);
  if (fields.has("e")) chunk.end = TransferEnd{decode_terms(fields.list("e")), compacted_to, row_count};
  auto progress = decode_progress(fields.any("st"));
  if (!progress || !rows) return IgnoredMessage();
  chunk.progress = std::move(*progress);
  chunk.rows = std::move(*rows);
  return chunk;
}

Message decode_submit_request(FieldReader& fields) {
  SubmitRequest request;
  request.request = fields.number("id");
  request.view = fields.number("n");
  request.attempt = fields.number("q");
  request.command = fields.object("u");
  return request;
}

Message decode_submit_reply(FieldReader& fields) {
  SubmitReply reply;
  reply.request = fields.number("id");
  const std::uint64_t code = fields.number("s");
  fields.require(code >= 100 && code < 600);
  reply.status = decode_status(code, fields.optional_text("why").value_or(""));
  reply.attempt = fields.optional_number("q").value_or(0);
  return reply;
}

Message decode_read_request(FieldReader& fields) {
  const RequestId request = fields.number("id");
  return ReadRequest{request, fields.text("key")};
}

Message decode_read_reply(FieldReader& fields) {
  const RequestId request = fields.number("id");
  return ReadReply{request, fields.optional_text("v")};
}

Message decode_prepare(FieldReader& fields) {
  const ViewNumber view = fields.number("n");
  return Prepare{view, fields.number("b")};
}

Message decode_promise(FieldReader& fields) {
  Promise promise;
  promise.view = fields.number("n");
  promise.proposal = fields.number("b");
  promise.synced_view = fields.number("s");
  const auto accepted = fields.optional_number("ab");
  auto view = fields.optional_view("av");
  fields.require(accepted.has_value() == view.has_value());
  if (accepted && view) promise.accepted = AcceptedProposal{*accepted, std::move(*view)};
  return promise;
}

Message decode_accept(FieldReader& fields) {
  const ViewNumber number = fields.number("n");
  const ProposalNumber proposal = fields.number("b");
  View view = fields.view("view");
  fields.require(view.number == number);
  return Accept{proposal, std::move(view)};
}

Message decode_accepted(FieldReader& fields) {
  const ViewNumber view = fields.number("n");
  return Accepted{view, fields.number("b")};
}

Message decode_decision(FieldReader& fields) {
  return Decision{fields.view("view")};
}

using Decoder = Message (*)(FieldReader&);

const std::map<std::string, Decoder>& decoders() {
  static const std::map<std::string, Decoder> by_type{
      {"b", decode_heartbeat},       {"a", decode_lease_grant},      {"up", decode_append},
      {"com", decode_commit},        {"ask", decode_state_query},    {"have", decode_state_request},
      {"pc", decode_state_chunk},    {"sub", decode_submit_request}, {"done", decode_submit_reply},
      {"read", decode_read_request}, {"val", decode_read_reply},     {"prep", decode_prepare},
      {"prom", decode_promise},      {"acc", decode_accept},         {"accd", decode_accepted},
      {"dec", decode_decision},
  };
  return by_type;
}

}  // namespace

Json encode(const Message& message) {
  return std::visit([](auto& typed) { return encode_fields(typed); }, message);
}

Result<Message> decode(const Json& encoded) {
  const std::string type = encoded.is_object() ? field<std::string>(encoded, "t", "") : "";
  if (type.empty()) return Status::invalid_argument("a message without a type");
  auto decoder = decoders().find(type);
  if (decoder == decoders().end()) return Message(IgnoredMessage());
  FieldReader fields(encoded);
  Message message = decoder->second(fields);
  if (!fields.well_formed()) return Status::invalid_argument("a malformed message of type " + type);
  return message;
}

Json encode_progress(const TransferProgress& progress) {
  return {{"w", progress.whole_state},   {"e", progress.keys_scanned}, {"c", progress.last_key},
          {"b", progress.next_sequence}, {"bk", progress.next_key},    {"k", progress.source_sequence},
          {"kt", progress.source_term}};
}

std::optional<TransferProgress> decode_progress(const Json& encoded) {
  const auto is_number = [&](const char* name) {
    return encoded.contains(name) && encoded[name].is_number_unsigned();
  };
  if (!encoded.is_object() || !is_number("b") || !is_number("k") || !is_number("kt")) return std::nullopt;
  TransferProgress progress;
  progress.whole_state = field<bool>(encoded, "w", false);
  progress.keys_scanned = field<bool>(encoded, "e", false);
  progress.last_key = field<std::string>(encoded, "c", "");
  progress.next_sequence = number(encoded, "b");
  progress.next_key = field<std::string>(encoded, "bk", "");
  progress.source_sequence = number(encoded, "k");
  progress.source_term = number(encoded, "kt");
  return progress;
}

Json encode_terms(const std::vector<TermStart>& terms) {
  Json encoded = Json::array();
  for (auto& start : terms) encoded.push_back(Json::array({start.term, start.first_sequence}));
  return encoded;
}

std::optional<std::vector<TermStart>> decode_terms(const Json& encoded) {
  if (!encoded.is_array()) return std::nullopt;
  std::vector<TermStart> terms;
  for (auto& start : encoded) {
    if (!start.is_array() || start.size() != 2 || !start[0].is_number_unsigned() ||
        !start[1].is_number_unsigned())
      return std::nullopt;
    terms.push_back({start[0], start[1]});
  }
  return terms;
}

}  // namespace pebblespindle::replication
