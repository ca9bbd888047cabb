// What this replica knows of the others, from their heartbeats. Nothing of it is on the disk.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "replication/messages.h"

namespace pebblespindle::replication {

struct Peer {
  std::optional<Instant> last_heard{};
  std::optional<Instant> heard_since{};                      // without a gap
  ViewNumber view = 0, synced_view = 0, caught_up_view = 0;  // as in its last heartbeat
  bool not_participating = false, leaving = false;
  std::optional<Instant> without_lease_since{};
  std::optional<Instant> out_of_sync_since{};  // although its predecessor could give it the state
};

class PeerTable {
 public:
  PeerTable(std::string own_host, Instant started) : own_host_(std::move(own_host)), started_(started) {}

  // Another host of the group, by whatever way it became known.
  void add_host(const std::string& host);
  const std::set<std::string>& hosts() const { return hosts_; }
  // The identity that was heard last from a host; the host itself while none was.
  ReplicaId current_id_at(const std::string& host) const;
  // False when another identity was heard from its host since.
  bool is_current_id(const ReplicaId& id) const;

  void on_heartbeat(Instant now, const ReplicaId& from, const Heartbeat& heartbeat);
  void on_new_view();
  Peer& at(const ReplicaId& id) { return peers_[id]; }
  const Peer* find(const ReplicaId& id) const;  // null when it was never heard of
  const std::map<ReplicaId, Peer>& all() const { return peers_; }
  std::map<ReplicaId, Peer>& all() { return peers_; }

  bool heard_within(Instant now, const ReplicaId& id, Millis duration) const;
  // Silent for longer than the time-out, or its disk is lost: another identity speaks from its host.
  bool is_lost(Instant now, const ReplicaId& id, Millis timeout) const;

 private:
  std::string own_host_;
  Instant started_;
  std::set<std::string> hosts_;
  std::map<ReplicaId, Peer> peers_;
  std::map<std::string, ReplicaId> id_by_host_;
};

}  // namespace pebblespindle::replication
