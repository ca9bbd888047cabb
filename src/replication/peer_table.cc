#include "replication/peer_table.h"

#include <algorithm>

#include "replication/timing.h"

namespace pebblespindle::replication {

void PeerTable::add_host(const std::string& host) {
  if (!host.empty() && host != own_host_) hosts_.insert(host);
}

ReplicaId PeerTable::current_id_at(const std::string& host) const {
  auto it = id_by_host_.find(host);
  return it == id_by_host_.end() ? host : it->second;
}

bool PeerTable::is_current_id(const ReplicaId& id) const {
  auto it = id_by_host_.find(host_of(id));
  return it == id_by_host_.end() || it->second == id;
}

void PeerTable::on_heartbeat(Instant now, const ReplicaId& from, const Heartbeat& heartbeat) {
  Peer& peer = peers_[from];
  id_by_host_[host_of(from)] = from;
  add_host(host_of(from));
  if (!peer.last_heard || now - *peer.last_heard > kPeerTimeoutMs) peer.heard_since = now;
  peer.last_heard = now;
  peer.view = heartbeat.view;
  peer.synced_view = heartbeat.synced_view;
  peer.caught_up_view = heartbeat.caught_up_view.value_or(0);
  // A peer without the view's state can hold no lease; out_of_sync_since covers that case.
  if (!heartbeat.without_lease || peer.synced_view != peer.view)
    peer.without_lease_since.reset();
  else if (!peer.without_lease_since)
    peer.without_lease_since = now;
  peer.not_participating = heartbeat.not_participating;
  peer.leaving = heartbeat.leaving;
}

void PeerTable::on_new_view() {
  for (auto& [id, peer] : peers_) {
    peer.without_lease_since.reset();
    peer.out_of_sync_since.reset();
  }
}

const Peer* PeerTable::find(const ReplicaId& id) const {
  auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

bool PeerTable::heard_within(Instant now, const ReplicaId& id, Millis duration) const {
  const Peer* peer = find(id);
  return peer && peer->last_heard && now - *peer->last_heard <= duration;
}

bool PeerTable::is_lost(Instant now, const ReplicaId& id, Millis timeout) const {
  const Peer* peer = find(id);
  const Instant last = peer && peer->last_heard ? std::max(*peer->last_heard, started_) : started_;
  if (!is_current_id(id) && now - last > 2 * kHeartbeatMs) return true;
  return now - last > timeout;
}

}  // namespace pebblespindle::replication
