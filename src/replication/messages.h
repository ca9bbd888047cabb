// The messages between replicas. replication/codec.h encodes them.
//
// The transport does not acknowledge messages: each may be lost, repeated or delayed, and may come from a
// former view or a former process. Each message names the view or the request that it belongs to, and is
// ignored in any other.
#pragma once
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "replication/term_history.h"
#include "replication/view.h"
#include "storage/row.h"

namespace pebblespindle::replication {

// --- Liveness and leases ---

struct Heartbeat {
  ViewNumber view = 0;                         // the newest view that the sender knows
  ViewNumber synced_view = 0;                  // the newest view whose state the sender holds in full
  Instant sent_at = 0;                         // by the sender's clock
  std::optional<ViewNumber> caught_up_view{};  // from a standby: the view whose state it has caught up with
  bool without_lease = false;                  // from a member that holds no lease from a majority of voters
  bool not_participating = false;  // the sender's disk refuses writes, or its process is about to exit
  bool leaving = false;            // the sender wants to hand over its vote and exit
};

// Sent by a voter to grant a member of the present view a lease, which counts from the sending of the
// heartbeat.
struct LeaseGrant {
  ViewNumber view = 0;
  Instant heartbeat_sent_at = 0;  // by the lease holder's clock
};

// --- The chain ---

// The submission that a change came from. It travels with the change so that whichever replica is the tail by
// then can answer the submitter.
struct Origin {
  SequenceNumber sequence = 0;
  ReplicaId replica;
  RequestId request = 0;
};

// Rows that follow `base_sequence`: sent by the predecessor, or by any member in reply to a StateRequest.
struct Append {
  ViewNumber view = 0;
  std::optional<RequestId> in_reply_to{};  // the StateRequest that this replies to
  SequenceNumber base_sequence = 0;        // the sequence number that the rows follow
  TermNumber base_term = 0;
  SequenceNumber last_sequence = 0;
  std::vector<Row> rows;
  std::vector<TermStart> terms;  // those that start above base_sequence
  std::vector<Origin> origins;
};

// Sent by the successor: the tail has stored all rows up to `sequence`.
struct Commit {
  ViewNumber view = 0;
  SequenceNumber sequence = 0;
};

// --- State transfer ---

// Progress of a state transfer in chunks. The receiver keeps it, also on disk, and returns it with each
// StateRequest. A transfer scans all rows by key first and then the rows that have changed since by sequence
// number.
struct TransferProgress {
  bool whole_state = false;          // the transfer replaces the receiver's rows; else it adds to them
  bool keys_scanned = false;         // the scan by key is complete; the scan by sequence number follows
  std::string last_key;              // the last key that the scan by key has sent
  SequenceNumber next_sequence = 0;  // position of the scan by sequence number, with next_key
  std::string next_key;
  SequenceNumber source_sequence = 0;  // the last sequence number of the source when it sent the last chunk
  TermNumber source_term = 0;
  bool operator==(const TransferProgress&) const = default;
};

// Asks the successor to report its position with a StateRequest.
struct StateQuery {
  ViewNumber view = 0;
};

// Reports what the sender holds and asks for what it lacks.
struct StateRequest {
  ViewNumber view = 0;
  RequestId request = 0;
  ViewNumber synced_view = 0;
  SequenceNumber committed = 0;
  SequenceNumber last_sequence = 0;
  TermNumber last_term = 0;
  std::optional<TransferProgress> progress{};  // of a transfer that is under way
};

// Sent with the last chunk; lets the receiver check that the state is complete.
struct TransferEnd {
  // None: the field was unreadable; the receiver drops the state.
  std::optional<std::vector<TermStart>> terms{};
  SequenceNumber compacted_to = 0;
  std::size_t row_count = 0;
};

struct StateChunk {
  ViewNumber view = 0;
  RequestId in_reply_to = 0;
  bool is_first = false;  // begins a new transfer: the receiver drops what it has staged
  TransferProgress progress;
  std::vector<Row> rows;
  std::optional<TransferEnd> end{};
};

// --- Submissions and reads ---

// A change submitted to the head. The replicas do not interpret the command; Environment::validate turns it
// into rows.
struct SubmitRequest {
  RequestId request = 0;
  ViewNumber view = 0;        // the sender's view; the head ignores requests of other views
  std::uint64_t attempt = 0;  // how often the request has been sent, this time included
  Json command;
};

struct SubmitReply {
  RequestId request = 0;
  Status status;              // ok, kInvalidArgument, kConflict or kUnavailable
  std::uint64_t attempt = 0;  // the attempt that is refused; 0 if ok
};

struct ReadRequest {
  RequestId request = 0;
  std::string key;
};

struct ReadReply {
  RequestId request = 0;
  std::optional<std::string> value{};  // none: there is no row with this key
};

// --- Agreement on the next view (see replication/view_change.h) ---

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
  ViewNumber synced_view = 0;                  // the newest view whose state the sender holds in full
  std::optional<AcceptedProposal> accepted{};  // what the sender has accepted for this view
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

// A message of an unknown type (from a newer release) or without usable content. It has no effect.
struct IgnoredMessage {};

using Message = std::variant<IgnoredMessage, Heartbeat, LeaseGrant, Append, Commit, StateQuery, StateRequest,
                             StateChunk, SubmitRequest, SubmitReply, ReadRequest, ReadReply, Prepare, Promise,
                             Accept, Accepted, Decision>;

}  // namespace pebblespindle::replication
