// What this replica itself holds: its view, its part in the agreement, and the replicated state, all of which
// is on its disk, and whether it takes part.
//
// Invariant: what the members say while takes_part() is what the disk holds. They are changed first and then
// saved; where the disk refuses, the replica takes no part until load() has read them anew.
#pragma once
#include <functional>
#include <optional>

#include "replication/messages.h"
#include "storage/state_table.h"
#include "storage/storage.h"

namespace pebblespindle::replication {

// A proposal of the view that is voted on.
struct ProposalId {
  ViewNumber view = 0;
  ProposalNumber number = 0;
};

class LocalState {
 public:
  // on_refused: called when the disk has refused a write; the replica takes no part by then.
  LocalState(ReplicaId initial_id, Storage& storage, std::function<void()> on_write_refused)
      : self(std::move(initial_id)), storage_(storage), on_write_refused_(std::move(on_write_refused)) {}

  void load();
  // All that is small is written whole with each batch. kIoError: see the invariant above.
  Status save(WriteBatch batch = {});
  // Ok when the disk takes writes again; call load() then.
  Status reopen();
  // Drops the state that is being received, here and on the disk with the batch.
  void drop_transfer(WriteBatch& batch);

  bool is_participating() const { return !disk_failed_ && !stopped; }
  bool disk_failed() const { return disk_failed_; }
  bool is_member() const { return view.has_member(self); }
  bool is_head() const { return view.head() == self; }
  bool is_tail() const { return view.tail() == self; }
  // A member that holds the whole state of the present view.
  bool in_sync() const {
    return is_participating() && view.number > 0 && synced_view == view.number && is_member();
  }
  bool may_vote() const { return is_participating() && view.has_voter(self); }

  ReplicaId self;
  View view;
  ProposalId promised, accepted;
  std::optional<View> accepted_view;
  ViewNumber synced_view = 0;  // the newest view whose state is held in full
  StateTable table;
  TermHistory history;
  std::optional<TransferProgress> transfer;  // of a state that is being received
  StateTable staged_table;                   // what has been received of it
  bool stopped = false;                      // about to end; not on the disk

 private:
  Json encode_durable() const;
  Storage& storage_;
  std::function<void()> on_write_refused_;
  bool disk_failed_ = false;
};

}  // namespace pebblespindle::replication
