#include "replication/replica.h"

#include <algorithm>
#include <exception>
#include <new>
#include <utility>

#include "replication/timing.h"

namespace pebblespindle::replication {
namespace {

// The random start keeps replies to a former process from matching a request. The upper 16 bits are cleared
// so that the counter stays below kMaxWireNumber.
RequestId initial_request_id(std::uint64_t incarnation) {
  return incarnation << 16 >> 16;
}

std::string join(const std::vector<ReplicaId>& ids) {
  std::string text;
  for (auto& id : ids) text += (text.empty() ? "" : ",") + id;
  return text;
}

std::vector<ReplicaId> ids_of(const std::vector<View::Member>& members) {
  std::vector<ReplicaId> ids;
  ids.reserve(members.size());
  for (auto& member : members) ids.push_back(member.id);
  return ids;
}

}  // namespace

Replica::Replica(const ReplicaOptions& options, Storage& storage, Environment& environment, Instant now)
    : options_(options),
      environment_(environment),
      now_(now),
      state_(options.host, storage, [this](const std::string& reason) { on_update_failed(reason); }),
      peers_(options.host, now),
      lease_(state_, peers_, now),
      planner_(state_, peers_, 2 * options.tolerated_losses + 1),
      view_change_(state_, peers_, lease_, *this),
      sender_(state_, submissions_, options.chunk_bytes),
      receiver_(state_, *this, initial_request_id(options.incarnation)),
      chain_(state_, sender_, *this),
      requests_(*this, initial_request_id(options.incarnation)),
      without_lease_since_(now),
      member_removed_at_(now) {
  for (auto& seed : options.seeds) peers_.add_host(seed);
  if (Status loaded = load_state(); !loaded.is_ok()) on_update_failed(loaded.message());
}

// Called when the disk was read for the first time and holds no state.
void Replica::begin_without_state() {
  const auto& seeds = options_.seeds;
  if (options_.bootstrap && std::find(seeds.begin(), seeds.end(), options_.host) != seeds.end())
    return bootstrap();
  state_.self = new_replica_id(options_.host, options_.incarnation);
  environment_.log_event("empty disk: joins as a new replica, id=" + state_.self);
}

void Replica::bootstrap() {
  std::vector<std::string> seeds = options_.seeds;
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  // If this fails, on_update_failed() has been called.
  (void)state_.update([&](WriteBatch&) {
    View& view = state_.view;
    view.number = view.term = 1;
    for (auto& seed : seeds) view.members.push_back({seed, 1});
    view.voters = std::move(seeds);
    state_.synced_view = 1;
    state_.history.record(1, 1);
  });
}

// Loads the state from disk: at the start, and after an update of the state has failed.
Status Replica::load_state() {
  if (Status loaded = state_.load(); !loaded.is_ok()) return loaded;
  chain_.on_state_loaded();
  receiver_.on_state_loaded();
  submissions_.clear_in_flight();
  view_change_.abandon_proposal();
  successor_request_.reset();
  for (auto& member : state_.view.members) peers_.add_host(host_of(member.id));
  for (auto& voter : state_.view.voters) peers_.add_host(host_of(voter));
  if (!std::exchange(has_read_disk_, true) && state_.view.number == 0) begin_without_state();
  return Status::ok();
}

// --- The disk ---

// Memory may now differ from the disk, so this replica does not participate until it has read the disk again.
void Replica::on_update_failed(const std::string& reason) {
  relinquish_leases();
  environment_.log_event("state not stored: takes no part until the disk is read again, id=" + state_.self +
                         " reason=" + reason);
}

void Replica::retry_disk() {
  if (now_ < next_disk_attempt_at_) return;
  next_disk_attempt_at_ = now_ + kDiskRetryMs;
  if (!state_.reopen().is_ok() || !load_state().is_ok()) return;
  without_lease_since_ = now_;
  next_heartbeat_at_ = now_;
  environment_.log_event("disk read again: takes part, id=" + state_.self);
}

// --- Leases and liveness ---

bool Replica::is_leader(Instant now) const {
  return state_.is_head() && holds_lease(now, kLeaderGuardMs);
}

bool Replica::hears_majority(Instant now) const {
  const View& view = state_.view;
  std::size_t voters = view.has_voter(state_.self) ? 1 : 0;
  for (auto& [id, peer] : peers_.all()) {
    if (id == state_.self || !view.has_voter(id) || peer.view != view.number) continue;
    if (peers_.heard_within(now, id, kPeerTimeoutMs)) ++voters;
  }
  return view.number > 0 && voters >= view.majority();
}

// Stops using all leases and reports that in a heartbeat, so that the others need not wait for the leases to
// expire.
void Replica::relinquish_leases() {
  lease_.relinquish(now_);
  send_heartbeat();
}

void Replica::observe_lease() {
  if (holds_lease(now_) || !state_.is_member())
    without_lease_since_.reset();
  else if (!without_lease_since_)
    without_lease_since_ = now_;
}

void Replica::send_heartbeat() {
  Heartbeat heartbeat;
  heartbeat.view = state_.view.number;
  heartbeat.synced_view = state_.synced_view;
  heartbeat.sent_at = now_;
  heartbeat.without_lease = without_lease_since_.has_value();
  if (receiver_.is_caught_up() && !state_.is_member()) heartbeat.caught_up_view = receiver_.caught_up_view();
  heartbeat.not_participating = !state_.is_participating();
  heartbeat.leaving = leaving_;
  send_to_others(heartbeat);
}

void Replica::handle(const ReplicaId& from, const Heartbeat& heartbeat) {
  peers_.on_heartbeat(now_, from, heartbeat);
  const auto grant = lease_.grant(now_, from, heartbeat);
  if (heartbeat.not_participating) return;
  if (heartbeat.view < state_.view.number) return send(from, Decision{state_.view});
  if (grant) send(from, *grant);
}

void Replica::handle(const ReplicaId& from, const LeaseGrant& grant) {
  lease_.on_grant(now_, from, grant);
}

void Replica::on_link_established() {
  next_heartbeat_at_ = 0;
  receiver_.request_at_next_call();
}

// --- Graceful shutdown ---

void Replica::begin_leaving(Instant now) {
  now_ = now;
  leaving_ = true;
  send_heartbeat();
}

bool Replica::may_exit(Instant now) const {
  const View& view = state_.view;
  if (!state_.is_member()) return true;
  // Without a vote it waits until a majority of the voters knows this view, so that this survives the next
  // loss of a replica.
  if (!view.has_voter(state_.self)) {
    const auto has_this_view = [&](const ReplicaId& voter) {
      const Peer* peer = peers_.find(voter);
      return peer && peer->view >= view.number;
    };
    return std::size_t(std::count_if(view.voters.begin(), view.voters.end(), has_this_view)) >=
           view.majority();
  }
  const auto can_take_vote = [&](const ReplicaId& id, const Peer& peer) {
    return !view.has_voter(id) && !peer.not_participating && !peer.leaving &&
           peers_.heard_within(now, id, kPeerTimeoutMs) && peers_.is_current_id(id);
  };
  return std::none_of(peers_.all().begin(), peers_.all().end(),
                      [&](auto& entry) { return can_take_vote(entry.first, entry.second); });
}

void Replica::stop(Instant now) {
  now_ = now;
  state_.stopped = true;
  relinquish_leases();
  requests_.shut_down();
}

// --- The clock ---

void Replica::tick(Instant now) {
  now_ = now;
  if (state_.disk_failed()) retry_disk();
  if (state_.is_participating()) {
    if (now >= next_heartbeat_at_) {
      next_heartbeat_at_ = now + kHeartbeatMs;
      send_heartbeat();
    }
    observe_lease();
    planner_.track_out_of_sync_members(now);
    chain_.track_stalled_successor(now, holds_lease(now));
    propose_next_view();
    answer_submissions();  // replies that were held back while this member had no lease
    receiver_.request_state(now, committed());
    chain_.retry(now, is_peer_in_sync(state_.view.successor(state_.self)));
  }
  requests_.tick(now, state_.view);
}

void Replica::receive(Instant now, const ReplicaId& from, const Message& message) {
  if (from.empty()) return;
  now_ = now;
  std::visit([&](auto& typed) { handle(from, typed); }, message);
}

void Replica::send(const ReplicaId& to, const Message& message) {
  if (to == state_.self)
    receive(now_, state_.self, message);
  else
    environment_.send(to, message);
}

void Replica::send_to_others(const Message& message) {
  for (auto& host : peers_.hosts()) environment_.send(peers_.current_id_at(host), message);
}

// --- The next view ---

void Replica::propose_next_view() {
  if (!state_.may_vote() || !state_.is_member()) return;
  ViewPlanner::Conditions conditions;
  conditions.leaving = leaving_;
  conditions.stalled_since = chain_.stalled_since();
  conditions.accepted_view_is_stale = view_change_.is_proposal_older_than(now_, kPeerTimeoutMs);
  const auto next = planner_.next_view(now_, conditions);
  if (next && next->has_member(state_.self)) view_change_.propose(now_, *next);
}

void Replica::handle(const ReplicaId& from, const Prepare& prepare) {
  view_change_.on_prepare(from, prepare);
}

void Replica::handle(const ReplicaId& from, const Promise& promise) {
  view_change_.on_promise(from, promise);
}

void Replica::handle(const ReplicaId& from, const Accept& accept) {
  view_change_.on_accept(now_, from, accept);
}

void Replica::handle(const ReplicaId& from, const Accepted& accepted) {
  if (auto decided = view_change_.on_accepted(from, accepted)) adopt(*decided);
}

void Replica::handle(const ReplicaId&, const Decision& decision) {
  const View& view = state_.view;
  const bool is_next = decision.view.number == view.number + 1 && view.number > 0;
  if (state_.disk_failed() || (is_next && !decision.view.is_valid_successor_of(view))) return;
  adopt(decision.view);
}

void Replica::adopt(const View& decided) {
  const View former = state_.view;
  if (decided.number <= former.number) return;
  std::vector<ReplicaId> removed;
  for (auto& member : former.members)
    if (!decided.has_member(member.id)) removed.push_back(member.id);
  if (!removed.empty()) member_removed_at_ = now_;
  lease_.on_new_view(now_, decided.voters != former.voters);
  peers_.on_new_view();
  chain_.on_new_view(now_);
  receiver_.on_new_view(now_);
  without_lease_since_ = now_;
  successor_request_.reset();
  for (auto& member : decided.members) peers_.add_host(host_of(member.id));
  for (auto& voter : decided.voters) peers_.add_host(host_of(voter));
  // The state of the new view is the head's state; each other member obtains what it lacks from its
  // predecessor.
  const View::Member* own_entry = decided.find(state_.self);
  const bool is_synced_head =
      own_entry && decided.head() == state_.self && state_.synced_view >= own_entry->joined;
  const Status stored = state_.update([&](WriteBatch&) {
    state_.view = decided;
    if (!is_synced_head) return;
    state_.synced_view = decided.number;
    if (decided.term == decided.number) state_.history.record(decided.term, state_.table.last_sequence() + 1);
  });
  if (!stored.is_ok()) return;
  log_view(decided, join(removed));
  const bool was_head = former.head() == state_.self;
  // Changes in flight may never be committed if this replica left the view or lost the head's place.
  if (!own_entry || (was_head && !is_synced_head)) submissions_.clear_in_flight();
  if (is_synced_head) return on_in_sync();
  receiver_.request_state(now_, committed());
  send_heartbeat();
}

void Replica::log_view(const View& decided, const std::string& removed) const {
  std::string event = "view adopted: number=" + std::to_string(decided.number) +
                      " members=" + join(ids_of(decided.members)) + " voters=" + join(decided.voters);
  if (!removed.empty()) event += " removed=" + removed;
  environment_.log_event(event);
}

// --- The chain ---

void Replica::handle(const ReplicaId& from, const Append& append) {
  if (!state_.is_participating() || append.view != state_.view.number) return;
  const bool member = state_.is_member();
  // The predecessor sends Append messages unasked; from any other replica only a reply to the last request is
  // taken.
  const bool is_reply = receiver_.is_reply_to_last_request(append.in_reply_to);
  if (member ? state_.view.predecessor(state_.self) != from : !is_reply) return;
  if (!chain_.can_store(append)) {
    if (is_reply) return;
    receiver_.request_at_next_call();
    return receiver_.request_state(now_, committed());
  }
  const bool joining = state_.synced_view != state_.view.number;
  const bool is_new = append.last_sequence > state_.table.last_sequence();
  if (!chain_.store(append).is_ok()) return;
  if (!member) {
    if (receiver_.mark_caught_up()) send_heartbeat();  // reports that this standby can become a member
    return;
  }
  if (joining) submissions_.clear_in_flight();
  submissions_.add_origins(append.origins);
  if (joining) return on_in_sync();
  if (state_.is_tail())
    commit_up_to(state_.table.last_sequence());
  else if (is_new)
    chain_.forward(now_);
}

// Called when this member has come to hold the state of the view.
void Replica::on_in_sync() {
  chain_.record_progress(now_);
  if (state_.is_tail())
    commit_up_to(state_.table.last_sequence());
  else if (auto request = std::exchange(successor_request_, std::nullopt))
    handle(state_.view.successor(state_.self), *request);
  else
    chain_.forward(now_);
  send_heartbeat();
}

void Replica::handle(const ReplicaId& from, const Commit& commit) {
  if (!chain_.accepts(from, commit)) return;
  chain_.on_successor_progress();
  commit_up_to(commit.sequence);
}

void Replica::commit_up_to(SequenceNumber sequence) {
  const bool advanced = chain_.commit(now_, sequence);
  answer_submissions();
  if (advanced) environment_.on_committed();
  process_queued_submissions();
}

// --- State transfer ---

void Replica::handle(const ReplicaId& from, const StateQuery& query) {
  if (query.view != state_.view.number || state_.view.predecessor(state_.self) != from) return;
  receiver_.request_at_next_call();
  receiver_.request_state(now_, committed());
}

void Replica::handle(const ReplicaId& from, const StateRequest& request) {
  if (!state_.is_participating() || request.view != state_.view.number || !state_.is_member()) return;
  const bool is_successor = state_.view.successor(state_.self) == from;
  if (!is_successor && state_.view.has_member(from)) return;
  if (!state_.in_sync()) {
    if (is_successor) successor_request_ = request;
    return;
  }
  if (is_successor && request.synced_view == state_.view.number) return on_successor_in_sync(from, request);
  auto reply = sender_.reply_to(request);
  if (reply.complete && is_successor) chain_.mark_all_sent();
  send(from, reply.message);
}

void Replica::on_successor_in_sync(const ReplicaId& from, const StateRequest& request) {
  if (request.last_sequence > state_.table.last_sequence()) {
    // The successor holds rows that this replica does not: this disk was restored to an older copy, so its
    // rows are not the state of the view.
    environment_.log_event("disk lost rows that were sent on: takes the state anew, id=" + state_.self);
    (void)state_.update([&](WriteBatch&) { state_.synced_view = 0; });  // on failure: on_update_failed()
    return;
  }
  // The successor's rows are a prefix of this replica's rows.
  peers_.at(from).synced_view = state_.view.number;
  chain_.on_successor_position(now_, request.last_sequence);
  commit_up_to(request.committed);
}

void Replica::handle(const ReplicaId& from, const StateChunk& chunk) {
  switch (receiver_.on_chunk(from, chunk)) {
    case StateReceiver::ChunkOutcome::kIgnored:
    case StateReceiver::ChunkOutcome::kNotStored:
      return;
    case StateReceiver::ChunkOutcome::kMoreNeeded:
      return receiver_.request_state(now_, committed());
    case StateReceiver::ChunkOutcome::kDropped:
      return environment_.log_event("state transfer dropped: incomplete, from=" + from);
    case StateReceiver::ChunkOutcome::kComplete:
      break;
  }
  environment_.log_event("state transfer complete: from=" + from +
                         " sequence=" + std::to_string(state_.table.last_sequence()) +
                         " rows=" + std::to_string(receiver_.received_row_count()) +
                         (chunk.progress.whole_state ? " whole=true" : " whole=false"));
  submissions_.clear_in_flight();
  if (state_.is_member()) return on_in_sync();
  if (receiver_.mark_caught_up()) send_heartbeat();
}

void Replica::compact(Instant now, SequenceNumber acknowledged) {
  now_ = now;
  if (!in_sync()) return commit_points_.clear();
  if (!commit_points_.empty() && now < commit_points_.back().at + kCompactIntervalMs) return;
  commit_points_.push_back({now, committed()});
  SequenceNumber sequence = 0;
  while (commit_points_.front().at + kCompactAfterMs <= now) {
    sequence = commit_points_.front().sequence;
    commit_points_.erase(commit_points_.begin());
  }
  sequence = std::min(sequence, acknowledged);
  if (sequence <= state_.table.compacted_to()) return;
  (void)state_.update([&](WriteBatch& batch) {  // on failure: on_update_failed()
    state_.table.compact(sequence);
    batch.compact_to = sequence;
  });
}

// --- Submissions and reads ---

void Replica::submit(Instant now, Json command, SubmitCallback done) {
  now_ = now;
  requests_.submit(now, state_.view, std::move(command), std::move(done));
}

void Replica::read(Instant now, const std::string& key, ReadCallback done) {
  now_ = now;
  requests_.read(now, state_.view, key, std::move(done));
}

// A submission names the view that its sender knew. A delayed one from a former view is not taken: another
// head may have refused the same request since.
void Replica::handle(const ReplicaId& from, const SubmitRequest& request) {
  if (request.view < state_.view.number) return send(from, Decision{state_.view});
  if (request.view > state_.view.number || !state_.is_head() || !holds_lease(now_)) return;
  submissions_.enqueue({from, request.request, request.attempt, request.command, now_});
  process_queued_submissions();
}

void Replica::process_queued_submissions() {
  if (!submissions_.has_queued() || committed() < state_.table.last_sequence()) return;
  const auto queued = submissions_.take_queued();
  // The submitters send them again, here or to the new head.
  if (!state_.is_head() || !holds_lease(now_)) return;
  const SequenceNumber former_last = state_.table.last_sequence();
  const Status stored = state_.update([&](WriteBatch& batch) {
    for (auto& submission : queued)
      if (now_ < submission.received_at + kSubmitTimeoutMs)
        validate_submission(submission, batch);  // else the submitter has stopped waiting
  });
  if (!stored.is_ok()) return;
  if (state_.table.last_sequence() == former_last) return answer_submissions();
  if (state_.is_tail()) return commit_up_to(state_.table.last_sequence());
  chain_.forward(now_);
}

// Part of a LocalState::Change.
void Replica::validate_submission(const SubmissionQueue::Submission& submission, WriteBatch& batch) {
  auto result = validate(submission.command);
  const SequenceNumber last = state_.table.last_sequence();
  if (!result.status.is_ok()) return submissions_.add_refusal(submission, last, std::move(result.status));
  if (result.rows.empty()) return submissions_.add_unchanged(submission, last);
  for (auto& row : result.rows) {
    row.sequence = last + 1;
    state_.table.put(row);
    batch.rows.push_back(std::move(row));
  }
  submissions_.add_change(submission, last + 1);
}

ValidationResult Replica::validate(const Json& command) {
  const auto refuse = [&](Status status) {
    ++failed_validation_count_;
    environment_.log_event("command refused: its validation failed, reason=" + status.message());
    return ValidationResult{std::move(status), {}};
  };
  try {
    return environment_.validate(state_.table, command);
  } catch (const std::bad_alloc&) {
    return refuse(Status::unavailable("out of memory"));
  } catch (const std::exception& error) {
    return refuse(Status::invalid_argument(std::string("cannot be processed: ") + error.what()));
  }
}

void Replica::answer_submissions() {
  if (!submissions_.has_in_flight() || !holds_lease(now_)) return;
  for (auto& reply : submissions_.take_replies(committed(), state_.is_tail())) send(reply.to, reply.reply);
}

void Replica::handle(const ReplicaId& from, const SubmitReply& reply) {
  requests_.on_reply(from, state_.view, reply);
}

void Replica::handle(const ReplicaId& from, const ReadRequest& request) {
  if (!state_.is_tail() || !holds_lease(now_)) return;
  const Row* row = state_.table.find(request.key);
  send(from, ReadReply{request.request, row ? std::optional(row->value) : std::nullopt});
}

void Replica::handle(const ReplicaId& from, const ReadReply& reply) {
  requests_.on_reply(from, reply);
}

}  // namespace pebblespindle::replication
