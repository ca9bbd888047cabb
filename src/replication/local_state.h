// The durable state of this replica: its view, its Paxos promises and the replicated rows; also whether the
// replica participates.
//
// Invariant: while is_participating(), memory and disk hold the same, so whatever this replica says in
// messages is on its disk. update() is the only way to change the members: it applies a change in memory and
// writes it to disk. If anything throws or fails on the way, the replica stops participating until load() has
// read the members from disk again.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>

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
  // Changes members in memory and adds to the batch what has to be written for it: rows and staged rows; the
  // metadata is added by update().
  using Change = std::function<void(WriteBatch& batch)>;

  // on_update_failed: called with the reason after update() has failed; the replica no longer participates by
  // then.
  LocalState(ReplicaId initial_id, Storage& storage,
             std::function<void(const std::string& reason)> on_update_failed)
      : self(std::move(initial_id)), storage_(storage), on_update_failed_(std::move(on_update_failed)) {}

  // Reads all members from disk. Returns kIoError if they cannot be read; the replica does not participate
  // then.
  Status load();
  // Applies the change and writes its batch together with all metadata, in one commit; writes nothing if
  // nothing has changed. Returns kIoError if the change throws or the disk refuses; see the invariant above.
  Status update(const Change& change);
  // Returns ok if the disk accepts writes again; the caller then has to call load().
  Status reopen();
  // Drops a partly received state from memory, and from disk once the batch is written.
  void drop_transfer(WriteBatch& batch);

  bool is_participating() const { return !disk_failed_ && !stopped; }
  // Whether memory may differ from the disk.
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
  Status apply_and_write(const Change& change);
  Status read_members();
  Storage& storage_;
  std::function<void(const std::string&)> on_update_failed_;
  std::map<std::string, std::string> written_metadata_;
  bool disk_failed_ = false;
};

}  // namespace pebblespindle::replication
