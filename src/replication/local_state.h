// The durable state of this replica: its view, its Paxos promises and the replicated rows; also whether the
// replica participates.
//
// Invariant: while is_participating(), whatever this replica says in messages is on its disk. The members are
// changed in memory first and then saved; if the disk refuses the write, the replica stops participating
// until load() has read them from disk again.
#pragma once
#include <functional>
#include <optional>

#include "replication/messages.h"
#include "storage/state_table.h"
#include "storage/storage.h"

namespace pebblespindle::replication {

// Identifies a proposal in the agreement on view number `view`.
struct ProposalId {
  ViewNumber view = 0;
  ProposalNumber number = 0;
};

class LocalState {
 public:
  // on_write_refused: called after the disk has refused a write; the replica no longer participates by then.
  LocalState(ReplicaId initial_id, Storage& storage, std::function<void()> on_write_refused)
      : self(std::move(initial_id)), storage_(storage), on_write_refused_(std::move(on_write_refused)) {}

  void load();
  // Writes the batch together with all metadata (everything but the rows). Returns kIoError if the disk
  // refuses; see the invariant above.
  Status save(WriteBatch batch = {});
  // Returns ok if the disk accepts writes again; the caller then has to call load().
  Status reopen();
  // Drops a partly received state from memory, and from disk once the batch is written.
  void drop_transfer(WriteBatch& batch);

  bool is_participating() const { return !disk_failed_ && !stopped; }
  bool disk_failed() const { return disk_failed_; }
  bool is_member() const { return view.has_member(self); }
  bool is_head() const { return view.head() == self; }
  bool is_tail() const { return view.tail() == self; }
  // Whether this replica is a member that holds the whole state of the present view.
  bool in_sync() const {
    return is_participating() && view.number > 0 && synced_view == view.number && is_member();
  }
  bool may_vote() const { return is_participating() && view.has_voter(self); }

  ReplicaId self;
  View view;
  ProposalId promised, accepted;
  std::optional<View> accepted_view;
  ViewNumber synced_view = 0;  // the newest view whose state this replica holds in full
  StateTable table;
  TermHistory history;
  std::optional<TransferProgress> transfer;  // of the state that is being received; none: no transfer
  StateTable staged_table;                   // the rows received so far in that transfer
  bool stopped = false;                      // the process is about to exit; not stored on disk

 private:
  Json encode_durable() const;
  Storage& storage_;
  std::function<void()> on_write_refused_;
  bool disk_failed_ = false;
};

}  // namespace pebblespindle::replication
