// What this replica knows of its peers from their heartbeats. Held in memory only.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "replication/messages.h"

namespace pebblespindle::replication {

struct Peer {
  std::optional<Instant> last_heard{};
  std::optional<Instant> heard_since{};  // since then heartbeats came without a gap of kPeerTimeoutMs
  ViewNumber view = 0, synced_view = 0, caught_up_view = 0;  // from the peer's last heartbeat
  bool not_participating = false, leaving = false;
  std::optional<Instant> without_lease_since{};
  std::optional<Instant> out_of_sync_since{};  // although its predecessor could send it the state
};

class PeerTable {
 public:
  PeerTable(std::string own_host, Instant started) : own_host_(std::move(own_host)), started_(started) {}

  // Adds another host of the group, whatever way it became known; the own host is ignored.
  void add_host(const std::string& host);
  const std::set<std::string>& hosts() const { return hosts_; }
  // The identity in the last heartbeat from a host; the host itself if there was none.
  ReplicaId current_id_at(const std::string& host) const;
  // Returns false if the last heartbeat from the replica's host carried another identity.
  bool is_current_id(const ReplicaId& id) const;

  void on_heartbeat(Instant now, const ReplicaId& from, const Heartbeat& heartbeat);
  void on_new_view();
  Peer& at(const ReplicaId& id) { return peers_[id]; }
  const Peer* find(const ReplicaId& id) const;  // null: the peer has sent no heartbeat
  const std::map<ReplicaId, Peer>& all() const { return peers_; }
  std::map<ReplicaId, Peer>& all() { return peers_; }

  bool heard_within(Instant now, const ReplicaId& id, Millis duration) const;
  // Whether the peer has been silent for longer than the timeout, or has lost its disk: its host now sends
  // heartbeats under another identity.
  bool is_lost(Instant now, const ReplicaId& id, Millis timeout) const;

 private:
  std::string own_host_;
  Instant started_;
  std::set<std::string> hosts_;
  std::map<ReplicaId, Peer> peers_;
  std::map<std::string, ReplicaId> id_by_host_;
};

}  // namespace pebblespindle::replication
