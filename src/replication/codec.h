// JSON encoding of the messages between replicas, and of those parts of them that are stored on disk.
//
// Field names have one or two letters because heartbeats cross zones four times a second. During an upgrade
// old and new builds exchange messages, so the encoding must not change; tests/data/replication_messages.txt
// holds examples.
#pragma once
#include "replication/messages.h"

namespace pebblespindle::replication {

Json encode(const Message& message);
// Returns kInvalidArgument for a malformed message. A message of an unknown type decodes to IgnoredMessage.
Result<Message> decode(const Json& encoded);

Json encode_progress(const TransferProgress& progress);
std::optional<TransferProgress> decode_progress(const Json& encoded);
Json encode_terms(const std::vector<TermStart>& terms);
std::optional<std::vector<TermStart>> decode_terms(const Json& encoded);

}  // namespace pebblespindle::replication
