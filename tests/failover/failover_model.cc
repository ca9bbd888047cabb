#include "failover/failover_model.h"

#include <algorithm>

#include "config/state_rows.h"
#include "failover/describe.h"

namespace pebblespindle::test {
namespace {

using failover::DatabaseReply;

const char* const kService = "s";
// ms; the time that one tick event advances. It exceeds every short timer of the step machine and the lease
// of a node that doesn't know of a suspension.
constexpr Millis kTickMs = 1600;
constexpr Millis kDrainMs = 7000;

std::string database_name(int number) {
  return "db" + std::to_string(number);
}

std::uint64_t term_of(const std::string& statement) {
  const auto blank = statement.find(' ');
  return blank == std::string::npos ? 0 : std::stoull(statement.substr(blank + 1));
}

}  // namespace

FailoverModel::FailoverModel(InjectedFault fault, const EventLimits& limits, int sync_replicas)
    : fault_(fault), remaining_(limits), sync_replicas_(sync_replicas) {
  state_.put({kConfigurationHeadKey, "[1,3000]", 1, false});
  state_.put({kServicePrefix + kService, "[16," + std::to_string(sync_replicas) + "]", 1, false});
  for (int number = 0; number < 3; ++number) {
    ModelDatabase& database = databases_[database_name(number)];
    database.address = number;
    database.primary = number == 0;
    change(put_instance(instance_of(database_name(number))));
  }
}

Instance FailoverModel::instance_of(const std::string& id) const {
  const ModelDatabase& database = databases_.at(id);
  Instance instance;
  instance.id = {id};
  instance.service = kService;
  instance.zone = "z";
  instance.address = {"10.0.0.1", std::uint16_t(1 + database.address)};
  instance.primary = database.primary;
  instance.call_count = calls_;
  return instance;
}

bool FailoverModel::change(const Json& command) {
  ++calls_;
  auto result = validate_command(state_, command);
  const SequenceNumber sequence = state_.last_sequence() + 1;
  for (auto& row : result.rows) {
    row.sequence = sequence;
    state_.put(row);
  }
  if (!is_suspended()) nodes_blocked_ = false;
  return result.status.is_ok();
}

bool FailoverModel::is_suspended() const {
  const Row* row = state_.find(primary_key(kService));
  return row && decode_primary(row->value)->suspended;
}

failover::ServiceView FailoverModel::view() {
  ClusterState cluster;  // has pointers into itself, so it can't be copied with the model
  cluster.update_from(state_);
  auto view = failover::read_service_view(state_, cluster, kService);
  if (fault_ == InjectedFault::kIgnoresDeparted) view.departed.clear();
  if (fault_ == InjectedFault::kIgnoresCalls) {
    const bool made_by_this_controller = !view.record.calls.empty() &&
                                         view.record.calls.back().number == operation_.call_number &&
                                         operation_.step == failover::Step::kRecording;
    if (!made_by_this_controller) view.record.calls.clear();
  }
  return view;
}

void FailoverModel::handle(const failover::Event& event) {
  const auto known = view();
  const failover::Environment environment{now_, true, token_, nodes_blocked_, kDrainMs};
  for (auto& action : failover::StepMachine(known, environment, operation_).handle(event)) {
    if (auto* query = std::get_if<failover::Query>(&action)) queries_.push_back(*query);
    if (auto* submit = std::get_if<failover::Submit>(&action)) submissions_.push_back(*submit);
    if (auto* call = std::get_if<failover::CallPlatform>(&action)) call_ = *call;
  }
}

// --- the databases

std::string FailoverModel::leader() const {
  std::string best;
  for (auto& [id, database] : databases_)
    if (database.up && database.primary && (best.empty() || database.term > databases_.at(best).term))
      best = id;
  return best;
}

DatabaseReply FailoverModel::execute_statement(const std::string& id, const std::string& statement,
                                               bool lost) {
  const ModelDatabase& asked = databases_.at(id);
  for (auto& [other, database] : databases_)
    if (!asked.up && database.up && database.address == asked.address && other != id)
      return {DatabaseReply::Kind::kWrongNode, {}, "WRONGNODE " + other, {other}};
  if (!asked.up) return {DatabaseReply::Kind::kRefused, {}, {}};
  ModelDatabase& database = databases_.at(id);
  const std::uint64_t term = term_of(statement);
  if (statement.starts_with("PAUSE") && !database.primary)
    database.paused_term = std::max(database.paused_term, term);
  if (statement.starts_with("CONTINUE")) database.paused_term = 0;
  if (statement.starts_with("STEPDOWN") && database.primary && database.term < term) database.primary = false;
  if (lost) return {};
  return {DatabaseReply::Kind::kRow,
          {database.primary, database.term, database.position, database.paused_term, 0},
          {}};
}

void FailoverModel::run_round(const std::string& lost_id) {
  const auto queries = std::exchange(queries_, {});
  for (auto& query : queries) {
    const auto reply = execute_statement(query.to.id.value, query.statement, query.to.id.value == lost_id);
    handle(failover::Reply{query.round, query.to.id, reply});
  }
}

void FailoverModel::replicate(const std::string& id) {
  ModelDatabase& replica = databases_.at(id);
  const ModelDatabase& source = databases_.at(leader());
  replica.log = source.log;
  replica.position = source.position;
  replica.term = source.term;
  acknowledge(source);
}

void FailoverModel::write(const std::string& id) {
  ModelDatabase& database = databases_.at(id);
  database.log.push_back(next_commit_++);
  database.position = {database.term, database.position.number + 1};
}

// The primary acknowledges the commits that a replica has received, and nodes report this to clients unless
// they know of the suspension.
void FailoverModel::acknowledge(const ModelDatabase& leader) {
  const auto assignment = decode_primary(state_.find(primary_key(kService))->value);
  auto assigned = databases_.find(assignment->primary.value);
  if (nodes_blocked_ || assigned == databases_.end() || &assigned->second != &leader) return;
  for (int commit : leader.log) {
    if (std::count(acknowledged_.begin(), acknowledged_.end(), commit) > 0) continue;
    acknowledged_.push_back(commit);
    for (auto& [id, other] : databases_)
      if (other.primary && other.term > leader.term)
        violation_ = "ONE: acknowledged by a primary that was replaced";
  }
}

bool FailoverModel::is_lost_for_good(int commit) const {
  return std::none_of(databases_.begin(), databases_.end(), [&](auto& entry) {
    auto& log = entry.second.log;
    return !entry.second.ended && std::count(log.begin(), log.end(), commit) > 0;
  });
}

void FailoverModel::take_effect(const std::string& successor) {
  ModelDatabase& promoted = databases_.at(successor);
  if (!promoted.up || leader() == successor) return;
  for (int commit : acknowledged_) {
    const bool kept = std::count(promoted.log.begin(), promoted.log.end(), commit) > 0;
    if (!kept && sync_replicas_ > 0 && !is_lost_for_good(commit))
      violation_ = "LOST: " + successor + " was promoted without an acknowledged commit";
  }
  std::uint64_t newest = 0;
  for (auto& [id, database] : databases_) newest = std::max(newest, database.term);
  promoted.primary = true;
  promoted.paused_term = 0;
  promoted.term = newest + 1;
  promoted.position = {promoted.term, promoted.position.number};
  for (auto& [id, database] : databases_) {
    if (id == successor || database.primary || database.log.size() <= promoted.log.size()) continue;
    database.log.resize(promoted.log.size());
    database.position = std::min(database.position, promoted.position);
  }
}

void FailoverModel::restart(const std::string& id) {
  ModelDatabase& former = databases_.at(id);
  ModelDatabase next = former;
  next.up = true;
  next.paused_term = 0;
  next.registered = false;
  for (auto& [other, database] : databases_)
    if (database.term > next.term) next.primary = false;
  former.ended = true;
  databases_[database_name(next_id_++)] = next;
}

// --- events

void FailoverModel::commit_submission(bool reported) {
  const auto submissions = std::exchange(submissions_, {});
  for (auto& submission : submissions) change(submission.command);
  handle(failover::Submitted{submissions.front().round, reported});
}

void FailoverModel::call_platform(const std::string& how) {
  const auto call = *std::exchange(call_, std::nullopt);
  using failover::PromoteOutcome;
  if (how == "accepted" || how == "unanswered") take_effect(call.successor.value);
  if (how == "late") late_promotes_.push_back(call.successor.value);
  if (how == "accepted") handle(failover::PromoteAnswered{call.call_number, PromoteOutcome::kAccepted});
  if (how == "refused") handle(failover::PromoteAnswered{call.call_number, PromoteOutcome::kRefused});
}

// Another controller takes over the duty. Pending queries, submissions and calls of the former one are
// lost; late promotes may still take effect.
void FailoverModel::replace_controller() {
  ++token_;
  operation_ = {};
  queries_.clear();
  submissions_.clear();
  call_.reset();
}

std::vector<std::string> FailoverModel::events() const {
  std::vector<std::string> events;
  const auto add = [&](bool possible, const std::string& event) {
    if (possible) events.push_back(event);
  };
  const bool suspended = is_suspended();
  add(!queries_.empty(), "answer");
  for (auto& query : queries_) add(remaining_.lost_replies > 0, "lose " + query.to.id.value);
  add(!submissions_.empty(), "commit");
  add(!submissions_.empty() && remaining_.lost_replies > 0, "commit-untold");
  add(call_.has_value(), "platform accepted");
  add(call_.has_value() && remaining_.late_promotes > 0, "platform late");
  add(call_.has_value() && remaining_.late_promotes > 0, "platform unanswered");
  for (auto& successor : late_promotes_) add(databases_.at(successor).up, "effect " + successor);
  const bool idle = queries_.empty() && submissions_.empty() && !call_;
  add(idle && remaining_.ticks > 0 && (suspended || operation_.step != failover::Step::kIdle), "tick");
  add(suspended && !nodes_blocked_, "nodes");
  add(remaining_.duty_moves > 0 && suspended, "duty");
  const auto assignment = decode_primary(state_.find(primary_key(kService))->value);
  auto assigned = databases_.find(assignment->primary.value);
  const bool primary_lost =
      assigned == databases_.end() || !assigned->second.up || !assigned->second.registered;
  add(idle && !suspended && operation_.step == failover::Step::kIdle && primary_lost, "begin");
  add(idle && !suspended && operation_.step == failover::Step::kIdle && assigned != databases_.end() &&
          assigned->second.departed && assigned->second.up,
      "begin planned");
  const std::string leading = leader();
  for (auto& [id, database] : databases_) {
    add(remaining_.writes > 0 && database.up && id == leading, "write " + id);
    const bool follows = database.up && !database.primary && database.paused_term == 0 && !leading.empty() &&
                         database.term <= databases_.at(leading).term &&
                         database.log != databases_.at(leading).log;
    add(follows, "replicate " + id);
    add(database.up && database.paused_term > 0 && !suspended, "release " + id);
    add(remaining_.crashes > 0 && database.up && !database.departed, "crash " + id);
    add(!database.up && !database.ended && !database.departed, "restart " + id);
    add(database.up && !database.registered && !database.departed, "register " + id);
    add(remaining_.departures > 0 && database.up && database.registered && !database.departed, "leave " + id);
    add(database.up && database.departed, "end " + id);
    const bool superseded = database.up && database.primary && id != leading;
    add(superseded, "follow " + id);
  }
  return events;
}

void FailoverModel::apply(const std::string& event) {
  const std::string kind = event.substr(0, event.find(' '));
  const std::string argument = event.find(' ') == std::string::npos ? "" : event.substr(event.find(' ') + 1);
  if (kind == "answer") run_round("");
  if (kind == "lose") --remaining_.lost_replies, run_round(argument);
  if (kind == "commit") commit_submission(true);
  if (kind == "commit-untold") --remaining_.lost_replies, commit_submission(false);
  if (kind == "platform") remaining_.late_promotes -= argument != "accepted", call_platform(argument);
  if (kind == "effect") {
    late_promotes_.erase(std::find(late_promotes_.begin(), late_promotes_.end(), argument));
    take_effect(argument);
  }
  if (kind == "tick") {
    --remaining_.ticks;
    now_ += kTickMs;
    nodes_blocked_ = nodes_blocked_ || is_suspended();
    handle(failover::Tick{});
  }
  if (kind == "nodes") nodes_blocked_ = true;
  if (kind == "duty") --remaining_.duty_moves, replace_controller();
  if (kind == "begin")
    handle(failover::Begin{argument == "planned", argument == "planned" ? "leaves" : "is gone"});
  if (kind == "write") --remaining_.writes, write(argument);
  if (kind == "replicate") replicate(argument);
  if (kind == "release") databases_.at(argument).paused_term = 0;
  if (kind == "crash") --remaining_.crashes, databases_.at(argument).up = false;
  if (kind == "restart") restart(argument);
  if (kind == "register")
    databases_.at(argument).registered = true, change(put_instance(instance_of(argument)));
  if (kind == "leave")
    --remaining_.departures, databases_.at(argument).departed = true, change(retire_instance({argument}));
  if (kind == "end") databases_.at(argument).up = false, databases_.at(argument).ended = true;
  if (kind == "follow") databases_.at(argument).primary = false;
  if (fault_ == InjectedFault::kDropsRestarted)
    for (auto& [id, liveness] : operation_.liveness.all())
      if (!liveness.replaced_by.empty() && state_.find(instance_key(id))) change(remove_instance(id));
}

bool FailoverModel::recovers() {
  constexpr int kMaxSteps = 200;
  for (int step = 0; step < kMaxSteps; ++step) {
    for (const char* kind : {"restart", "register"})
      for (auto& event : events())
        if (event.starts_with(kind)) apply(event);
    nodes_blocked_ = nodes_blocked_ || is_suspended();
    remaining_.ticks = 1;
    const auto possible = events();
    const auto assignment = decode_primary(state_.find(primary_key(kService))->value);
    if (!is_suspended() && operation_.step == failover::Step::kIdle && leader() == assignment->primary.value)
      return true;
    auto next = std::find_if(possible.begin(), possible.end(), [](auto& event) {
      return event == "answer" || event == "commit" || event == "platform accepted" || event == "tick" ||
             event.starts_with("begin") || event.starts_with("effect") || event.starts_with("replicate");
    });
    if (next == possible.end()) return false;
    apply(*next);
  }
  return false;
}

std::string FailoverModel::key() const {
  std::string key;
  const auto add = [&](std::uint64_t value) { key += std::to_string(value) + ","; };
  for (auto& [id, database] : databases_) {
    key += id;
    add(std::uint64_t(database.address) << 8 | database.up << 5 | database.primary << 4 |
        database.registered << 3 | database.departed << 2 | database.ended << 1);
    for (auto value : {database.term, database.paused_term, database.position.term, database.position.number})
      add(value);
    for (int commit : database.log) add(std::uint64_t(commit));
    key += ";";
  }
  state_.for_each("", [&](const Row& row) { key += row.key + "=" + row.value + ";"; });
  for (auto& query : queries_) key += query.to.id.value + query.statement + ";";
  for (auto& submission : submissions_) key += submission.command.dump();
  if (call_) key += "call" + call_->successor.value;
  for (auto& successor : late_promotes_) key += "late" + successor;
  for (int commit : acknowledged_) add(std::uint64_t(commit));
  const auto& operation = operation_;
  add(std::uint64_t(operation.step));
  for (auto value : {operation.entered_at, operation.retry_at, operation.suspended_at})
    add(std::uint64_t(now_ - value));
  for (auto& [id, reply] : operation.replies) key += failover::describe(id, reply);
  for (auto& [id, liveness] : operation.liveness.all())
    key += id.value + std::to_string(liveness.refusals) + liveness.replaced_by.value +
           (liveness.silent_since ? "s" : "");
  key += operation.successor.value + operation.primary_committed.text();
  for (auto value : {operation.unknown_position_attempts, operation.replicas_behind_attempts,
                     int(operation.primary_follows), int(operation.primary_log_needed),
                     int(operation.successor_reported), int(nodes_blocked_)})
    add(std::uint64_t(value));
  for (auto number : operation.refused_calls) add(number);
  for (int limit : {remaining_.writes, remaining_.crashes, remaining_.departures, remaining_.duty_moves,
                    remaining_.lost_replies, remaining_.late_promotes, remaining_.ticks})
    add(std::uint64_t(limit));
  return key;
}

std::string FailoverModel::describe() const {
  std::string text;
  for (auto& [id, database] : databases_)
    text += "  " + id + (database.up ? "" : " down") + (database.primary ? " primary" : "") + "@" +
            database.position.text() + "/term" + std::to_string(database.term) + "/held" +
            std::to_string(database.paused_term);
  const Row* record = state_.find(failover_key(kService));
  return text + "  " + state_.find(primary_key(kService))->value + (record ? " " + record->value : "");
}

}  // namespace pebblespindle::test
