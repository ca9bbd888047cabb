// One replica of the control state: chain replication among the members of a view, and agreement on the next
// view among its voters. The class does no I/O: time, randomness, messages and storage are passed in, so that
// tests run the same code on a simulated network.
//
// Each component has its own state, and its header states its contract: LocalState (durable state), PeerTable
// (liveness), ViewLease, ViewPlanner, ViewChange, Chain, StateSender and StateReceiver (state transfer),
// SubmissionQueue, PendingRequests. Replica dispatches each message to its component and passes the
// consequences on to the others. All calls must come from one event loop.
#pragma once
#include <memory>
#include <set>

#include "replication/chain.h"
#include "replication/environment.h"
#include "replication/pending_requests.h"
#include "replication/state_receiver.h"
#include "replication/submission_queue.h"
#include "replication/view_change.h"
#include "replication/view_lease.h"
#include "replication/view_planner.h"

namespace pebblespindle::replication {

// Bytes of a state that are sent to another replica in one message; small enough that heartbeats and changes
// are not held up behind it.
constexpr std::size_t kStateChunkBytes = 65536;

struct ReplicaOptions {
  std::string host;
  std::vector<std::string> seeds;  // hosts to contact first; with `bootstrap` also the first members
  bool bootstrap = false;          // this is the first start of the whole system
  std::size_t tolerated_losses = 1;
  std::uint64_t incarnation = 0;  // a random number, drawn at each start of the process
  std::size_t chunk_bytes = kStateChunkBytes;
};

class Replica : private Outbox {
 public:
  // storage and environment must outlive the replica.
  Replica(const ReplicaOptions& options, Storage& storage, Environment& environment, Instant now);

  // --- Driven by the process ---

  void tick(Instant now);  // to be called several times per kHeartbeatMs
  void receive(Instant now, const ReplicaId& from, const Message& message);
  // Called when a link to another replica is established: the next tick sends a heartbeat and, if this
  // replica lacks state, a StateRequest.
  void on_link_established();
  void add_host(const std::string& host) { peers_.add_host(host); }

  // --- For the callers of this process ---

  // Submits a command to the chain. done is called exactly once, possibly before submit() returns.
  void submit(Instant now, Json command, SubmitCallback done);
  // Validates a command on this replica's state; writes nothing. An exception concerns the command that
  // raised it alone: the command is refused. The same command would raise it at each head, so its submitter
  // is not told to try again, unless memory ran out.
  ValidationResult validate(const Json& command);
  // Reads the committed value of a key at the tail.
  void read(Instant now, const std::string& key, ReadCallback done);

  // --- Graceful shutdown ---

  // Announces that this replica is going to exit. It goes on as before and asks for its vote to be given to a
  // standby.
  void begin_leaving(Instant now);
  bool is_leaving() const { return leaving_; }
  // Whether this replica has handed over its vote, or there is no standby to hand it to.
  bool may_exit(Instant now) const;
  // Ends all participation, as the process is about to exit, and gives its leases back, so that the others
  // need not wait for them to expire.
  void stop(Instant now);

  // Removes tombstones that are older than kCompactAfterMs. acknowledged: the sequence number up to which all
  // nodes with a lease from this controller have acknowledged the changes; tombstones above it stay.
  void compact(Instant now, SequenceNumber acknowledged);

  // --- State of the replica ---

  // Whether self() is final: the disk, which holds the id, has been read. Until then this replica must not be
  // announced to others.
  bool has_identity() const { return has_read_disk_; }
  const ReplicaId& self() const { return state_.self; }
  const View& view() const { return state_.view; }
  const StateTable& state() const { return state_.table; }
  SequenceNumber committed() const { return chain_.committed(); }
  // Whether this replica is a member that holds the state of the view, and all of it is committed.
  bool all_committed() const { return chain_.all_committed(); }
  // Whether a majority of the voters has granted this member a lease that lasts for at least `guard` longer.
  bool holds_lease(Instant now, Millis guard = 0) const { return lease_.is_held(now, guard); }
  // Whether this replica is the head and its lease guarantees that no other replica acts as head.
  bool is_leader(Instant now) const;
  // Whether this replica may serve its state: all of it is committed, and its lease guarantees that no newer
  // view is in effect.
  bool may_serve(Instant now) const { return all_committed() && holds_lease(now); }
  // Whether a majority of the voters has recently reported this replica's view, so that the view is current.
  bool hears_majority(Instant now) const;
  bool in_sync() const { return state_.in_sync(); }
  bool is_peer_in_sync(const ReplicaId& peer) const { return planner_.is_peer_in_sync(peer); }
  bool is_tail() const { return state_.is_tail(); }
  bool disk_failed() const { return state_.disk_failed(); }
  // The number of commands whose validation threw an exception; each was refused and left nothing behind.
  std::uint64_t failed_validation_count() const { return failed_validation_count_; }
  bool has_all_voters() const { return planner_.has_all_voters(); }
  // The hosts of the peers, to which the process should keep links.
  const std::set<std::string>& hosts() const { return peers_.hosts(); }
  bool is_receiving_state() const { return state_.transfer.has_value(); }
  // The number of rows received so far in the transfer under way.
  std::size_t received_row_count() const { return state_.staged_table.size(); }
  // When a member was last removed from the view; the start of this process if none was.
  Instant member_removed_at() const { return member_removed_at_; }

 private:
  // Outbox:
  void send(const ReplicaId& to, const Message& message) override;
  void send_to_others(const Message& message) override;

  // Message handlers, one for each type.
  void handle(const ReplicaId&, const IgnoredMessage&) {}
  void handle(const ReplicaId& from, const Heartbeat& heartbeat);
  void handle(const ReplicaId& from, const LeaseGrant& grant);
  void handle(const ReplicaId& from, const Append& append);
  void handle(const ReplicaId& from, const Commit& commit);
  void handle(const ReplicaId& from, const StateQuery& query);
  void handle(const ReplicaId& from, const StateRequest& request);
  void handle(const ReplicaId& from, const StateChunk& chunk);
  void handle(const ReplicaId& from, const SubmitRequest& request);
  void handle(const ReplicaId& from, const SubmitReply& reply);
  void handle(const ReplicaId& from, const ReadRequest& request);
  void handle(const ReplicaId& from, const ReadReply& reply);
  void handle(const ReplicaId& from, const Prepare& prepare);
  void handle(const ReplicaId& from, const Promise& promise);
  void handle(const ReplicaId& from, const Accept& accept);
  void handle(const ReplicaId& from, const Accepted& accepted);
  void handle(const ReplicaId& from, const Decision& decision);

  void begin_without_state();
  void bootstrap();
  Status load_state();
  void retry_disk();
  void on_update_failed(const std::string& reason);
  void relinquish_leases();
  void send_heartbeat();
  void observe_lease();
  void propose_next_view();
  void adopt(const View& decided);
  void log_view(const View& decided, const std::string& removed) const;
  void on_in_sync();
  void on_successor_in_sync(const ReplicaId& from, const StateRequest& request);
  void commit_up_to(SequenceNumber sequence);
  void answer_submissions();
  void process_queued_submissions();
  void validate_submission(const SubmissionQueue::Submission& submission, WriteBatch& batch);

  const ReplicaOptions options_;
  Environment& environment_;
  Instant now_;  // the time of the call that is being handled
  bool leaving_ = false;
  LocalState state_;
  PeerTable peers_;
  ViewLease lease_;
  ViewPlanner planner_;
  ViewChange view_change_;
  SubmissionQueue submissions_;
  StateSender sender_;
  StateReceiver receiver_;
  Chain chain_;
  PendingRequests requests_;
  std::optional<StateRequest>
      successor_request_;  // received before this member was in sync; handled once it is
  Instant next_heartbeat_at_ = 0, next_disk_attempt_at_ = 0;
  bool has_read_disk_ = false;  // at least once in the life of this process
  std::uint64_t failed_validation_count_ = 0;
  std::optional<Instant> without_lease_since_;
  Instant member_removed_at_;
  struct CommitPoint {
    Instant at = 0;
    SequenceNumber sequence = 0;
  };
  std::vector<CommitPoint> commit_points_;  // past commit points with their times, for compact()
};

}  // namespace pebblespindle::replication
