// One core's part in the chain and in the agreement on its view. No I/O: time, messages and disk
// are handed in, so that tests run this very code on a simulated network.
#pragma once
#include <functional>
#include <map>
#include <set>

#include "chain/view.h"
#include "ledger/ledger.h"

namespace pebblespindle::chain {

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
  virtual Verdict judge(const Ledger& ledger, const Json& update) = 0;  // pure; run at the head
  virtual void committed(std::uint64_t number) = 0;                     // committed() rose
  virtual void disk_failed() = 0;                                       // a sync failed: stop this process
  virtual void note(const std::string& sentence) = 0;
};

class Node {
 public:
  Node(CoreName self, std::vector<CoreName> founders, bool bootstrap, Disk& disk, Outlet& out, Millis now);

  void tick(Millis now);
  void receive(Millis now, const CoreName& from, const Json& message);
  void submit(Millis now, Json update, std::function<void(Answer)> done);
  void read(Millis now, const std::string& key,
            std::function<void(std::optional<std::string>, bool ok)> done);

  const View& view() const { return view_; }
  const Ledger& ledger() const { return ledger_; }
  std::uint64_t committed() const { return committed_; }
  bool settled() const { return in_step() && committed_ == ledger_.stored(); }
  bool seated(Millis now) const;  // holds its place by a majority's lease
  bool in_step() const { return view_.number > 0 && synced_ == view_.number && view_.has(self_); }
  bool tail() const { return view_.tail() == self_; }
  const std::vector<CoreName>& founders() const { return founders_; }
  const CoreName& self() const { return self_; }
  Millis heard(const CoreName& core) const;
  bool remembers() const { return remembers_; }

 private:
  struct Pending {
    Json update;
    std::function<void(Answer)> done;
    Millis first = 0, sent = 0;
  };
  struct PendingRead {
    std::string key;
    std::function<void(std::optional<std::string>, bool)> done;
    Millis first = 0;
  };
  struct Origin {
    std::uint64_t number = 0;
    CoreName core;
    std::uint64_t id = 0;
    int status = 200;
    std::string reason;
  };
  struct Ballot {
    std::uint64_t instance = 0, ballot = 0;
  };

  std::size_t majority() const { return founders_.size() / 2 + 1; }
  std::uint64_t index() const;
  bool may_vote() const;
  bool save(Batch b);

  // view agreement
  void propose(Millis now);
  void learn_what_was_forgotten(const CoreName& from, std::uint64_t v);
  std::optional<View> wanted(Millis now) const;
  void on_prepare(Millis now, const CoreName& from, const Json& m);
  void on_promise(Millis now, const CoreName& from, const Json& m);
  void on_accept(Millis now, const CoreName& from, const Json& m);
  void on_accepted(Millis now, const CoreName& from, const Json& m);
  void decide(Millis now, const View& v);
  void spread(const Json& m);
  void deliver(Millis now, const CoreName& to, const Json& m);

  // chain
  void beat(Millis now);
  void on_beat(Millis now, const CoreName& from, const Json& m);
  void head_takes(Millis now, const CoreName& origin, std::uint64_t id, const Json& update);
  void pass_on(Millis now, std::uint64_t base);
  void on_update(Millis now, const CoreName& from, const Json& m);
  void on_commit(Millis now, const CoreName& from, const Json& m);
  void commit_up_to(Millis now, std::uint64_t number);
  void answer_origins(Millis now);
  void finish(std::uint64_t id, Answer a);
  void offer(Millis now, std::uint64_t id, Pending& p);
  void serve_read(Millis now, const CoreName& from, const Json& m);

  CoreName self_;
  std::vector<CoreName> founders_;
  Disk& disk_;
  Outlet& out_;
  Millis born_;

  // durable
  View view_;
  Ballot promised_;
  Ballot accepted_;
  std::optional<View> accepted_view_;
  std::uint64_t synced_ = 0;        // the view whose state this core holds in full
  bool remembers_ = true;           // false: the disk was lost; abstains until a later view
  std::uint64_t forgot_until_ = 0;  // the newest view in which a lost disk may have held a vote
  Ledger ledger_;

  // of this life only
  std::uint64_t committed_ = 0;
  std::map<CoreName, Millis> heard_, heard_since_, granted_, withheld_, leased_from_;
  std::map<CoreName, std::uint64_t> peer_synced_, peer_view_;
  std::map<CoreName, bool> peer_mute_;
  std::map<CoreName, Millis> out_of_step_since_;
  Millis next_beat_ = 0, last_progress_ = 0, last_proposal_ = -100000;
  std::uint64_t ballot_ = 0, proposing_ = 0;
  View proposal_;
  std::map<CoreName, Json> promises_;
  std::set<CoreName> accepts_;
  bool accepting_ = false;
  std::vector<Origin> origins_;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::uint64_t, PendingRead> reads_;
  std::uint64_t last_id_ = 0;
};

}  // namespace pebblespindle::chain
