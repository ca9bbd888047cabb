// The encoded form of the messages between replicas, and of the parts of them that stand on the disk.
//
// Field names are one or two letters: they cross zones four times a second. Old and new builds talk to each
// other during an upgrade, so the form stays as it is; tests/data/replication_messages.txt holds examples.
#pragma once
#include "replication/messages.h"

namespace pebblespindle::replication {

Json encode(const Message& message);
// kInvalidArgument for a message that is malformed; one of an unknown type decodes to IgnoredMessage.
Result<Message> decode(const Json& encoded);

Json encode_progress(const TransferProgress& progress);
std::optional<TransferProgress> decode_progress(const Json& encoded);
Json encode_terms(const std::vector<TermStart>& terms);
std::optional<std::vector<TermStart>> decode_terms(const Json& encoded);

}  // namespace pebblespindle::replication
