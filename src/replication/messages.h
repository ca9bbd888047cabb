// What replicas say to each other. replication/codec.h has the encoded form.
//
// Messages are not acknowledged by the transport: each may be lost, repeated, or come late, from a former
// view or a former process. Each names the view or the request it belongs to, and counts for nothing else.
#pragma once
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "replication/term_history.h"
#include "replication/view.h"
#include "storage/row.h"

namespace pebblespindle::replication {

// --- liveness and leases ----------------------------------------------------------------------------------

struct Heartbeat {
  ViewNumber view = 0;                         // the newest view that the sender knows
  ViewNumber synced_view = 0;                  // the newest view whose state it holds in full
  Instant sent_at = 0;                         // by the sender's clock
  std::optional<ViewNumber> caught_up_view{};  // a standby: the view as of which it holds the state
  bool without_lease = false;                  // a member that no majority has granted its place
  bool not_participating = false;              // its disk refuses writes, or it is about to end
  bool leaving = false;                        // it wants to hand over and end
};

// A voter's lease to a member of the present view, counted from when the heartbeat was sent.
struct LeaseGrant {
  ViewNumber view = 0;
  Instant heartbeat_sent_at = 0;  // by the clock of who holds the lease
};

// --- the chain
// ----------------------------------------------------------------------------------------------

// Which submission a change came from, so that its origin can be answered by whoever is the tail by then.
struct Origin {
  SequenceNumber sequence = 0;
  ReplicaId replica;
  RequestId request = 0;
};

// Rows that follow on a sequence number: from the predecessor, or as the answer to a StateRequest.
struct Append {
  ViewNumber view = 0;
  std::optional<RequestId> in_reply_to{};  // the StateRequest that it answers
  SequenceNumber base_sequence = 0;        // what it follows on
  TermNumber base_term = 0;
  SequenceNumber last_sequence = 0;
  std::vector<Row> rows;
  std::vector<TermStart> terms;  // that begin above the base
  std::vector<Origin> origins;
};

// From the successor: all up to here is stored by the tail.
struct Commit {
  ViewNumber view = 0;
  SequenceNumber sequence = 0;
};

// --- state transfer
// -----------------------------------------------------------------------------------------

// How far a state that goes in several chunks has come; kept by the receiver, also on its disk.
struct TransferProgress {
  bool whole_state = false;          // it will replace the rows; else it adds to them
  bool keys_scanned = false;         // all keys were walked; what has changed since follows, by sequence
  std::string last_key;              // where the walk by key stands
  SequenceNumber next_sequence = 0;  // where the walk by sequence stands
  std::string next_key;
  SequenceNumber source_sequence = 0;  // up to which the source stood that sent the last chunk
  TermNumber source_term = 0;
  bool operator==(const TransferProgress&) const = default;
};

// Asks the successor to say what it holds.
struct StateQuery {
  ViewNumber view = 0;
};

// What the sender holds; it wants what it lacks.
struct StateRequest {
  ViewNumber view = 0;
  RequestId request = 0;
  ViewNumber synced_view = 0;
  SequenceNumber committed = 0;
  SequenceNumber last_sequence = 0;
  TermNumber last_term = 0;
  std::optional<TransferProgress> progress{};  // of a transfer that has begun
};

// With the last chunk: what tells a complete state.
struct TransferEnd {
  std::optional<std::vector<TermStart>> terms{};  // none: unreadable, the state is dropped
  SequenceNumber compacted_to = 0;
  std::size_t row_count = 0;
};

struct StateChunk {
  ViewNumber view = 0;
  RequestId in_reply_to = 0;
  bool is_first = false;  // what was received before is dropped
  TransferProgress progress;
  std::vector<Row> rows;
  std::optional<TransferEnd> end{};
};

// --- submissions and reads
// ----------------------------------------------------------------------------------

// A change offered to the head. The command is opaque here; Environment::validate turns it into rows.
struct SubmitRequest {
  RequestId request = 0;
  ViewNumber view = 0;        // the view it is meant for
  std::uint64_t attempt = 0;  // counts how often it was sent
  Json command;
};

struct SubmitReply {
  RequestId request = 0;
  Status status;              // ok, kInvalidArgument, kConflict or kUnavailable
  std::uint64_t attempt = 0;  // that is refused; 0 when ok
};

struct ReadRequest {
  RequestId request = 0;
  std::string key;
};

struct ReadReply {
  RequestId request = 0;
  std::optional<std::string> value{};  // none: there is no such row
};

// --- agreement on the next view
// -----------------------------------------------------------------------------

struct Prepare {
  ViewNumber view = 0;
  ProposalNumber proposal = 0;
};

struct AcceptedProposal {
  ProposalNumber proposal = 0;
  View view;
};

struct Promise {
  ViewNumber view = 0;
  ProposalNumber proposal = 0;
  ViewNumber synced_view = 0;
  std::optional<AcceptedProposal> accepted{};
};

struct Accept {
  ProposalNumber proposal = 0;
  View view;
};

struct Accepted {
  ViewNumber view = 0;
  ProposalNumber proposal = 0;
};

struct Decision {
  View view;
};

// A message of a newer release, or one whose content means nothing here: no harm, and no effect.
struct IgnoredMessage {};

using Message = std::variant<IgnoredMessage, Heartbeat, LeaseGrant, Append, Commit, StateQuery, StateRequest,
                             StateChunk, SubmitRequest, SubmitReply, ReadRequest, ReadReply, Prepare, Promise,
                             Accept, Accepted, Decision>;

}  // namespace pebblespindle::replication
