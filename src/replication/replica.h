// One replica of the control state: chain replication among the members of a view, and the agreement on the
// next view among its voters. No I/O: time, randomness, messages and storage are handed in, so that tests run
// this very code on a simulated network.
//
// The parts, each with its own state, and what each promises, are in their own headers: LocalState (on the
// disk), PeerTable (liveness), ViewLease, ViewPlanner, ViewChange, Chain, StateSender and StateReceiver
// (state transfer), SubmissionQueue, PendingRequests. This class joins them: it hands each message to the
// part that it is for, and carries out what follows for the others. All calls come from one event loop.
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

// Bytes of a state that go to another replica in one message: heartbeats and updates pass in between.
constexpr std::size_t kStateChunkBytes = 65536;

struct ReplicaOptions {
  std::string host;
  std::vector<std::string> seeds;  // hosts
  bool bootstrap = false;          // the very first start of the whole system
  std::size_t tolerated_losses = 1;
  std::uint64_t incarnation = 0;  // drawn anew for each start of the process
  std::size_t chunk_bytes = kStateChunkBytes;
};

class Replica : private Outbox {
 public:
  // storage and environment outlive the replica.
  Replica(const ReplicaOptions& options, Storage& storage, Environment& environment, Instant now);

  // --- driven by the process
  // --------------------------------------------------------------------------------
  void tick(Instant now);  // several times a heartbeat
  void receive(Instant now, const ReplicaId& from, const Message& message);
  // A link to another replica has come up: it hears of this one at once.
  void on_link_established();
  void add_host(const std::string& host) { peers_.add_host(host); }

  // --- for the callers of this process
  // ---------------------------------------------------------------------- done is called once, perhaps
  // before submit() returns.
  void submit(Instant now, Json command, SubmitCallback done);
  // The committed value of a key, read at the tail.
  void read(Instant now, const std::string& key, ReadCallback done);

  // --- graceful shutdown
  // ------------------------------------------------------------------------------------ Wants to end: goes
  // on as before, and asks for its vote to be given to a standby.
  void begin_leaving(Instant now);
  bool is_leaving() const { return leaving_; }
  // It has handed over, or nobody is there to hand over to.
  bool may_exit(Instant now) const;
  // Takes no further part: the process is about to end. The others need not wait for its leases.
  void stop(Instant now);

  // Forgets tombstones that nobody asks for any more. acknowledged: by all nodes with a lease here.
  void compact(Instant now, SequenceNumber acknowledged);

  // --- what it knows
  // ----------------------------------------------------------------------------------------
  const ReplicaId& self() const { return state_.self; }
  const View& view() const { return state_.view; }
  const StateTable& state() const { return state_.table; }
  SequenceNumber committed() const { return chain_.committed(); }
  // A member that holds the state of the view, all of it committed.
  bool all_committed() const { return chain_.all_committed(); }
  // A majority of the voters has granted this member its place, for `guard` longer at least.
  bool holds_lease(Instant now, Millis guard = 0) const { return lease_.is_held(now, guard); }
  // The head, and may act as the only one.
  bool is_leader(Instant now) const;
  // What it holds may be handed out: all of it is committed, and no newer view can be at work.
  bool may_serve(Instant now) const { return all_committed() && holds_lease(now); }
  // A majority of the voters stands at this very view: what it says of the view is of today.
  bool hears_majority(Instant now) const;
  bool in_sync() const { return state_.in_sync(); }
  bool is_peer_in_sync(const ReplicaId& peer) const { return planner_.is_peer_in_sync(peer); }
  bool is_tail() const { return state_.is_tail(); }
  bool disk_failed() const { return state_.disk_failed(); }
  bool has_all_voters() const { return planner_.has_all_voters(); }
  const std::set<std::string>& hosts() const { return peers_.hosts(); }  // of others, worth a link
  bool is_receiving_state() const { return state_.transfer.has_value(); }
  std::size_t received_row_count() const {
    return state_.staged_table.size();
  }  // of a state that is being received
  // When a member was last left out of the view; the start of this process if none was.
  Instant member_removed_at() const { return member_removed_at_; }

 private:
  // Outbox
  void send(const ReplicaId& to, const Message& message) override;
  void send_to_others(const Message& message) override;

  // Messages, by type.
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

  void bootstrap(std::vector<std::string> seeds);
  void load_state();
  void retry_disk();
  void on_disk_refused();
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

  Environment& environment_;
  Instant now_;  // of the call that is being carried out
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
  std::optional<StateRequest> successor_request_;  // came before this member was in sync
  Instant next_heartbeat_at_ = 0, next_disk_attempt_at_ = 0;
  std::optional<Instant> without_lease_since_;
  Instant member_removed_at_;
  struct CommitPoint {
    Instant at = 0;
    SequenceNumber sequence = 0;
  };
  std::vector<CommitPoint> commit_points_;  // what was committed when; for compaction
};

}  // namespace pebblespindle::replication
