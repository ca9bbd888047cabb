// One core's part in the chain and in the agreement on its view. No I/O: time, randomness, messages and
// disk are handed in, so that tests run this very code on a simulated network.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "base/constants.h"
#include "replication/term_history.h"
#include "replication/view.h"
#include "storage/state_table.h"
#include "storage/storage.h"

namespace pebblespindle::replication {

// What the head decides about an offered update.
struct Verdict {
  int status = 200;
  std::string reason;
  std::vector<Row> rows;  // without numbers; empty when nothing changes
};

struct Answer {
  int status = 0;  // 0: no clear answer
  std::string reason;
};

// What a node needs from the world around it.
class Outlet {
 public:
  virtual ~Outlet() = default;
  virtual void send(const CoreName& to, const Json& message) = 0;
  virtual Verdict judge(const StateTable& state, const Json& update) = 0;  // pure; run at the head
  virtual void committed(std::uint64_t number) = 0;                        // committed() rose
  virtual void note(const std::string& sentence) = 0;
};

class Node {
 public:
  struct Start {
    std::string host;
    std::vector<std::string> seeds;                         // hosts
    bool bootstrap = false;                                 // the very first start of the whole system
    std::size_t losses = 1;                                 // cores that may be lost at once
    std::uint64_t life = 0;                                 // drawn anew for each start of the process
    std::size_t piece_bytes = constants::kStatePieceBytes;  // of a state that goes to another core
  };
  Node(Start start, Storage& disk, Outlet& out, Millis now);

  void tick(Millis now);
  // A malformed message (chain/shape.h) changes nothing.
  void receive(Millis now, const CoreName& from, const Json& message);
  void submit(Millis now, Json update, std::function<void(Answer)> done);
  void read(Millis now, const std::string& key,
            std::function<void(std::optional<std::string>, bool ok)> done);
  void meet(const std::string& host);  // another core, by whatever way it became known
  // Wants to end: goes on as before, and asks the head to give its vote to a core that stands by.
  void part(Millis now);
  bool parting() const { return parting_; }
  bool may_go(Millis now) const;  // it has handed over, or nobody is there to hand over to
  // Takes no further part: the process is about to end. The others need not wait for its leases.
  void step_out(Millis now);
  void linked();  // a link to another core has come up: it hears of this one at once
  // What is gone and no longer of use is forgotten; acked: by all nodes with a lease here.
  void trim(Millis now, std::uint64_t acked);

  const View& view() const { return view_; }
  const StateTable& state() const { return state_; }
  std::uint64_t committed() const { return committed_; }
  bool settled() const { return in_step() && committed_ == state_.last_sequence(); }
  bool seated(Millis now, Millis guard = 0) const;  // holds its place by a majority's lease
  bool leads(Millis now) const;                     // holds the duty of the head, and may act on it
  // What the state holds may be handed out: all of it is committed, and no newer view can be at work.
  bool serves(Millis now) const { return settled() && seated(now); }
  // Hears from a majority of the voters that they stand at this very view: what it says of it is of today.
  bool in_touch(Millis now) const;
  bool in_step() const {
    return !sick_ && !leaving_ && view_.number > 0 && synced_ == view_.number && view_.has(self_);
  }
  bool in_step(const CoreName& peer) const;
  bool tail() const { return view_.tail() == self_; }
  bool sick() const { return sick_; }  // the disk refuses writes
  // As many voters as the losses to be borne ask for.
  bool full_strength() const { return view_.voters.size() >= target_; }
  std::set<std::string> hosts() const;  // all other cores worth a link
  const CoreName& self() const { return self_; }
  Millis heard(const CoreName& core) const;
  // Whether a state is being taken from another core, and how many rows of it are here.
  bool taking() const { return stage_.has_value(); }
  std::size_t taken() const { return staged_.size(); }
  Millis put_out_at() const { return put_out_at_; }  // when a member was last left out of the view

 private:
  struct Pending {
    Json update;
    std::function<void(Answer)> done;
    Millis first = 0, sent = 0;
    CoreName asked = {};      // the head it was offered to last
    std::uint64_t tries = 0;  // how often: a refusal counts for the last try only
  };
  struct PendingRead {
    std::string key;
    std::function<void(std::optional<std::string>, bool)> done;
    Millis first = 0, sent = 0;
    CoreName asked = {};  // the tail it was put to last
  };
  struct Origin {
    std::uint64_t number = 0;
    CoreName core;
    std::uint64_t id = 0;
    int status = 200;
    std::string reason;
    std::uint64_t tried = 0;  // the try that is answered
  };
  struct Ballot {
    std::uint64_t instance = 0, ballot = 0;
  };

  bool still_grants(const CoreName& to) const;
  bool may_vote() const { return !sick_ && !leaving_ && view_.votes(self_); }
  bool save(Millis now, WriteBatch b = {});
  void load();
  void recover(Millis now);

  // view agreement
  void propose(Millis now);
  bool lost(Millis now, const CoreName& core, Millis silence) const;
  bool is_fed(Millis now, const CoreName& member) const;  // the one before it has the state, and is heard
  bool departs(const CoreName& core) const;               // it has said that it wants to end
  std::optional<View> wanted(Millis now) const;
  void change_voters(Millis now, View& next, bool& changed) const;
  void on_prepare(Millis now, const CoreName& from, const Json& m);
  void on_promise(Millis now, const CoreName& from, const Json& m);
  void on_accept(Millis now, const CoreName& from, const Json& m);
  void on_accepted(Millis now, const CoreName& from, const Json& m);
  void decide(Millis now, const View& v);
  Json decision() const;
  void spread(const Json& m);
  void deliver(Millis now, const CoreName& to, const Json& m);

  // chain
  void beat(Millis now);
  void give_back(Millis now);
  void on_beat(Millis now, const CoreName& from, const Json& m);
  void take_waiting(Millis now);
  void head_takes(Millis now, const CoreName& origin, std::uint64_t id, std::uint64_t tried,
                  const Json& update);
  void take(Millis now, const CoreName& from, const Json& m);
  void on_offer(Millis now, const CoreName& from, const Json& m);
  void on_done(const CoreName& from, const Json& m);
  void on_value(const CoreName& from, const Json& m);
  void pass_on(Millis now);
  Json rows_after(std::uint64_t base, const std::vector<Row>& rows) const;
  void on_update(Millis now, const CoreName& from, const Json& m);
  void in_step_now(Millis now);
  void on_commit(Millis now, const CoreName& from, const Json& m);
  void commit_up_to(Millis now, std::uint64_t number);

  // catching up
  struct Stage {           // of a state that is being taken, until it is whole
    bool whole = false;    // it will replace what is held; else it adds to it
    bool scanned = false;  // all keys have been walked; what has changed since is still to come, by number
    std::string cursor;    // of the walk by key
    StateTable::Position place;       // of the walk by number
    std::uint64_t top = 0, term = 0;  // where the core stood that sent the last piece
    Json json() const;
    static std::optional<Stage> from(const Json& j);
  };
  CoreName source(Millis now) const;  // whom to take the state from; empty when there is nobody or no need
  void ask_state(Millis now);
  void on_have(Millis now, const CoreName& from, const Json& m);
  void give_state(const CoreName& to, const Json& m);
  void on_piece(Millis now, const CoreName& from, const Json& m);
  void drop_stage(WriteBatch& b);
  void answer_origins(Millis now);
  void finish(std::uint64_t id, Answer a);
  void offer(Millis now, std::uint64_t id, Pending& p);
  void ask_tail(Millis now, std::uint64_t id, PendingRead& r);
  void serve_read(Millis now, const CoreName& from, const Json& m);
  void repeat_unanswered(Millis now);

  CoreName self_;
  std::size_t target_;  // voters wanted
  std::size_t piece_bytes_;
  Storage& disk_;
  Outlet& out_;
  Millis born_;
  std::set<std::string> contacts_;  // hosts of other cores

  // durable
  View view_;
  Ballot promised_;
  Ballot accepted_;
  std::optional<View> accepted_view_;
  std::uint64_t synced_ = 0;  // the view whose state this core holds in full
  StateTable state_;
  History history_;
  std::optional<Stage> stage_;
  StateTable staged_;

  // of this life only
  std::optional<std::uint64_t> sent_;  // up to which the next member has been sent the rows; empty: not known
  std::optional<Json> have_waiting_;   // the next member's word, until this core is in step
  std::uint64_t asked_ = 0;            // the last question for the state, counted
  Millis asked_at_ = -100000, source_since_ = 0;
  std::size_t source_at_ = 0;  // a core outside the chain asks the tail, and others where that is silent
  std::uint64_t learned_ = 0;  // the view as of which this core, outside it, holds the state
  struct Mark {
    Millis at = 0;
    std::uint64_t number = 0;
  };
  std::vector<Mark> trims_;  // what was committed when
  bool sick_ = false, leaving_ = false, parting_ = false;
  Millis stepped_out_at_ = -1;  // leases asked for before this are given back
  Millis try_disk_at_ = 0;
  std::uint64_t committed_ = 0;
  Millis voters_changed_at_, put_out_at_;
  struct Peer {
    Millis heard = -1, since = -1;  // last heard; heard without a gap since
    std::uint64_t synced = 0, view = 0, learned = 0;
    bool out = false;      // it has said that it takes no part
    bool parting = false;  // it has said that it wants to end
    Millis unseated_since = -1, out_of_step_since = -1;
    Millis granted = -1, granted_at = -1;  // here, and by the clock of the one who asked
    Millis withheld_until = -1, leased_from = -1;
  };
  std::map<CoreName, Peer> peers_;
  std::map<std::string, CoreName> present_;  // by host: the identity heard last
  Millis next_beat_ = 0, last_progress_ = 0, last_proposal_ = -100000, unseated_since_, stuck_since_ = -1;
  std::uint64_t ballot_ = 0, proposing_ = 0;
  View proposal_;
  std::map<CoreName, Json> promises_;
  std::set<CoreName> accepts_;
  bool accepting_ = false;
  std::vector<Origin> origins_;
  struct Offer {
    CoreName core;
    std::uint64_t id = 0, tried = 0;
    Json update;
    Millis at = 0;
  };
  std::vector<Offer> waiting_;  // at the head, until what is on its way has been committed
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::uint64_t, PendingRead> reads_;
  std::uint64_t last_id_ = 0;
};

}  // namespace pebblespindle::replication
