// Goodput of a simulated mesh under overload, in steps of a millisecond: the real Inbound and Outbound of
// every sidecar, links of a limited rate, databases with slots, and one service that calls another.
#include <gtest/gtest.h>

#include <cmath>

#include "config/command_validation.h"
#include "config/configuration_reader.h"
#include "config/state_rows.h"
#include "membership/constants.h"
#include "sidecar/frame.h"
#include "sidecar/inbound.h"
#include "sidecar/outbound.h"

namespace pebblespindle::test::overload {
namespace {

using namespace sidecar;

constexpr int kFrontMachines = 10, kBackMachines = 6, kMachines = kFrontMachines + kBackMachines;
constexpr int kSlots = 4;
constexpr Millis kFrontWorkMs = 60, kBackWorkMs = 25;  // means
constexpr Millis kFrontTargetLatencyMs = 400, kBackTargetLatencyMs = 120, kFrontTimeoutMs = 1500,
                 kBackTimeoutMs = 400;
constexpr Millis kLinkMs = 1;
constexpr double kLinkBytesPerMs = 400;
constexpr std::size_t kClientBytes = 250;  // a request or response with its head
constexpr double kServablePerMs = kFrontMachines * kSlots / double(kFrontWorkMs + kBackWorkMs + 2 * kLinkMs);
constexpr Millis kWarmUpMs = 3000, kMeasuredMs = 10000;

class Simulation;

class Machine : public OutboundPort, public InboundPort {
 public:
  Machine(Simulation& simulation, int number);
  void call(CallId id, const std::string& request_id, bool front);
  void set_time();

  void answer(CallId id, Reply reply) override;
  bool is_linked(const Endpoint& at) override;
  void connect(const Endpoint& at) override;
  void offer(const Endpoint& at, const Json& frame) override;
  bool withdraw(const Endpoint& at, std::uint64_t number) override;
  void reply(LinkId link, const Json& frame) override;
  void open_app_connection(ConnId id) override;
  void send_to_app(ConnId id, const Call& call) override;
  void close_app_connection(ConnId id) override { open_connections_.erase(id); }

  TimerQueue timers;
  ClusterState cluster;
  Outbound out;
  Inbound in;
  bool alive = true;
  double link_free_at = 0;  // when all sent bytes have left
  std::set<Endpoint> linked, dialling;

 private:
  void work_done(ConnId id, const std::string& request_id, int status);

  Simulation& simulation_;
  const int number_;
  std::set<ConnId> open_connections_;
};

struct Load {
  double offered_per_ms = 0;
  int requests_sent = 0, within_target = 0;  // while measured
  double per_second(int count, Millis span) const { return count * 1000.0 / double(span); }
};

class Simulation {
 public:
  explicit Simulation(std::uint32_t seed) : random(seed) {
    Json configuration{{"Revision", 1}, {"Services", {{{"Name", "front"}}, {{"Name", "back"}}}}};
    configuration["Routes"] = Json::array({route("front", kFrontTimeoutMs, kFrontTargetLatencyMs),
                                           route("back", kBackTimeoutMs, kBackTargetLatencyMs)});
    for (auto& [key, value] : encode_configuration(*read_configuration(configuration.dump())))
      rows.push_back({key, value, 1, false});
    for (int i = 0; i < kMachines; ++i) {
      const Instance instance = instance_of(i);
      rows.push_back({instance_key(instance.id), encode_instance(instance), 1, false});
    }
    for (int i = 0; i < kMachines; ++i) machines.push_back(std::make_unique<Machine>(*this, i));
    for (int i = 0; i < kMachines; ++i) machines[std::size_t(i)]->in.set_database(instance_of(i));
  }
  static Json route(const std::string& service, Millis timeout, Millis target_latency) {
    return {{"Name", service},
            {"Hostname", "h"},
            {"PathPrefix", "/" + service + "/"},
            {"TimeoutMs", timeout},
            {"MaxAttempts", 2},
            {"RouteType", "idempotent"},
            {"TargetService", service},
            {"TargetLatencyMs", target_latency}};
  }
  static bool is_front(int machine) { return machine < kFrontMachines; }
  static Instance instance_of(int machine) {
    return {{"db" + std::to_string(machine)},
            is_front(machine) ? "front" : "back",
            "z" + std::to_string(machine % 2),
            address_of(machine),
            kSlots,
            false,
            false,
            1};
  }
  static Endpoint address_of(int machine) { return {"10.0.0." + std::to_string(machine + 1), 7002}; }
  static int machine_at(const Endpoint& at) { return std::stoi(at.host.substr(7)) - 1; }
  void schedule(double delay_ms, std::function<void()> event) {
    events.emplace(double(now) + delay_ms, std::move(event));
  }
  // Delay until bytes that are sent now have passed the link of a machine.
  double through_link(int machine, std::size_t bytes) {
    double& free_at = machines[std::size_t(machine)]->link_free_at;
    free_at = std::max(free_at, double(now)) + double(bytes) / kLinkBytesPerMs;
    return free_at - double(now);
  }
  double draw_work(Millis mean) { return double(mean) * std::uniform_real_distribution<>(0.3, 1.7)(random); }

  // One request of a client, which tries once more after a refusal.
  void ask(Millis started_at, int tries_left) {
    const int number = pick_alive();
    const CallId id = ++last_call;
    const std::string request_id = "q" + std::to_string(id);
    clients[id] = {started_at, tries_left};
    schedule(through_link(number, kClientBytes), [this, number, id, request_id] {
      if (machines[std::size_t(number)]->alive) machines[std::size_t(number)]->call(id, request_id, true);
    });
  }
  int pick_alive() {
    while (true) {
      const int number = int(random() % kMachines);
      if (machines[std::size_t(number)]->alive) return number;
    }
  }
  void answered(CallId id, int status) {
    const auto client = clients.find(id);
    if (client == clients.end()) return;
    const auto [started_at, tries_left] = client->second;
    clients.erase(client);
    if (status == 200 && now <= started_at + kFrontTargetLatencyMs && is_measured(started_at))
      ++load.within_target;
    if (status == 503 && tries_left > 0)
      schedule(double(kRetryAfterMs),
               [this, started_at = started_at, left = tries_left - 1] { ask(started_at, left); });
  }
  bool is_measured(Millis started_at) const {
    return started_at >= measured_from && started_at < measured_until;
  }

  void run(Millis until, double offered_per_ms) {
    std::exponential_distribution<> gap(offered_per_ms);
    double next_at = double(now) + gap(random);
    while (now < until) {
      ++now;
      for (; next_at <= double(now); next_at += gap(random)) {
        if (is_measured(now)) ++load.requests_sent;
        ask(now, 1);
      }
      for (auto& machine : machines) {
        machine->set_time();
        if (machine->alive) machine->timers.run(now);
      }
      while (!events.empty() && events.begin()->first <= double(now))
        events.extract(events.begin()).mapped()();
    }
  }
  // Requests per second that are answered within their latency target.
  double goodput(double offered_per_ms) {
    measured_from = now + kWarmUpMs;
    measured_until = measured_from + kMeasuredMs;
    load = {offered_per_ms};
    run(measured_until + kFrontTimeoutMs, offered_per_ms);
    return load.per_second(load.within_target, kMeasuredMs);
  }
  // Removes a machine and its database without notice.
  void remove(int number) {
    machines[std::size_t(number)]->alive = false;
    for (auto& machine : machines) {
      if (machine->linked.erase(address_of(number)) == 0) continue;
      machine->set_time();
      machine->out.link_down(address_of(number), true);
    }
  }
  void restore(int number) {
    machines[std::size_t(number)] = std::make_unique<Machine>(*this, number);
    machines[std::size_t(number)]->in.set_database(instance_of(number));
  }

  std::mt19937 random;
  Millis now = 1000;
  std::multimap<double, std::function<void()>> events;
  std::vector<Row> rows;
  std::vector<std::unique_ptr<Machine>> machines;
  struct Client {
    Millis started_at = 0;
    int tries_left = 0;
  };
  std::map<CallId, Client> clients;
  std::map<CallId, std::function<void(int status)>> database_calls;  // callbacks of calls by databases
  CallId last_call = 0;
  Millis measured_from = 0, measured_until = 0;
  Load load;
};

Machine::Machine(Simulation& simulation, int number)
    : out(*this, timers, cluster,
          {"z" + std::to_string(number % 2), "caller", 0.2, 70.0, 10000, std::uint32_t(number + 1)}),
      in(*this, timers),
      simulation_(simulation),
      number_(number) {
  cluster.apply(1, simulation.rows);
  set_time();
  out.set_node_count(kMachines);
  out.set_state_current(true);
}

void Machine::set_time() {
  out.set_time(simulation_.now);
  in.set_time(simulation_.now);
}

void Machine::call(CallId id, const std::string& request_id, bool front) {
  set_time();
  out.start_call(id,
                 {"GET", front ? "/front/x" : "/back/x", "", {{"Host", "h"}, {kRequestIdField, request_id}}});
}

void Machine::answer(CallId id, Reply reply) {
  const auto database_call = simulation_.database_calls.find(id);
  if (database_call == simulation_.database_calls.end()) {
    simulation_.through_link(number_, kClientBytes);
    return simulation_.answered(id, reply.status);
  }
  auto on_response = std::move(database_call->second);
  simulation_.database_calls.erase(database_call);
  on_response(reply.status);
}

bool Machine::is_linked(const Endpoint& at) {
  return at == Simulation::address_of(number_) || linked.count(at) > 0;
}

void Machine::connect(const Endpoint& at) {
  if (is_linked(at) || !dialling.insert(at).second) return;
  const bool succeeds = simulation_.machines[std::size_t(Simulation::machine_at(at))]->alive;
  simulation_.schedule(double(succeeds ? 2 * kLinkMs : kPeerConnectTimeoutMs), [this, at, succeeds] {
    dialling.erase(at);
    set_time();
    if (succeeds)
      linked.insert(at);
    else
      out.link_down(at, false);
  });
}

void Machine::offer(const Endpoint& at, const Json& frame) {
  connect(at);
  const int to = Simulation::machine_at(at);
  const double bytes_out = double(encode_frame(frame).size());
  const double delay = to == number_ ? 0 : simulation_.through_link(number_, std::size_t(bytes_out));
  simulation_.schedule(delay, [this, to, frame, bytes_out] {
    const double arrival = to == number_ ? 0 : simulation_.through_link(to, std::size_t(bytes_out)) + kLinkMs;
    simulation_.schedule(arrival, [this, to, frame] {
      Machine& peer = *simulation_.machines[std::size_t(to)];
      if (!peer.alive) return;
      peer.set_time();
      if (text_field(frame, "t") == "q")
        peer.in.offer(LinkId(number_ + 1), frame);
      else
        peer.in.cancel(LinkId(number_ + 1), sidecar::unsigned_field(frame, "n"));
    });
  });
}

bool Machine::withdraw(const Endpoint& at, std::uint64_t number) {
  if (is_linked(at)) offer(at, {{"t", "x"}, {"n", number}});
  return false;
}

void Machine::reply(LinkId link, const Json& frame) {
  const int to = int(link) - 1;
  const std::size_t bytes = encode_frame(frame).size();
  const double delay = to == number_ ? 0 : simulation_.through_link(number_, bytes);
  simulation_.schedule(delay, [this, to, frame, bytes] {
    const double arrival = to == number_ ? 0 : simulation_.through_link(to, bytes) + kLinkMs;
    simulation_.schedule(arrival, [this, to, frame] {
      Machine& peer = *simulation_.machines[std::size_t(to)];
      if (!peer.alive) return;
      peer.set_time();
      peer.out.handle_frame(Simulation::address_of(number_), frame);
    });
  });
}

void Machine::open_app_connection(ConnId id) {
  open_connections_.insert(id);
  simulation_.schedule(1, [this, id] {
    if (open_connections_.count(id) == 0) return;
    set_time();
    in.app_connection_up(id);
  });
}

// A database of the front service calls the back service at the end of its work.
void Machine::send_to_app(ConnId id, const Call& call) {
  const std::string request_id = *find_field(call.fields, kRequestIdField);
  const bool front = Simulation::is_front(number_);
  const double work_ms = simulation_.draw_work(front ? kFrontWorkMs : kBackWorkMs);
  simulation_.schedule(work_ms, [this, id, request_id, front] {
    if (!alive || open_connections_.count(id) == 0) return;
    if (!front) return work_done(id, request_id, 200);
    const CallId back_call = ++simulation_.last_call;
    simulation_.database_calls[back_call] = [this, id, request_id](int status) {
      work_done(id, request_id, status == 200 ? 200 : 500);
    };
    this->call(back_call, request_id + ".1", false);
  });
}

void Machine::work_done(ConnId id, const std::string& request_id, int status) {
  if (!alive || open_connections_.count(id) == 0) return;
  set_time();
  in.app_reply_received(
      id, {status, std::string(400, 'b'), {{kRequestIdField, request_id}, {kResponseSealField, "s"}}}, 10000);
}

TEST(Overload, GoodputHoldsUnderFourTimesOfWhatCanBeServed) {
  std::map<double, double> goodput;
  for (double load_factor : {0.5, 1.0, 2.0, 4.0}) {
    goodput[load_factor] = Simulation(1).goodput(load_factor * kServablePerMs);
    std::printf("offered %.1f of %.0f/s: %.0f/s within the latency target\n", load_factor,
                kServablePerMs * 1000, goodput[load_factor]);
  }
  EXPECT_GE(goodput[4.0], 0.9 * goodput[1.0]);
  EXPECT_GE(goodput[2.0], 0.9 * goodput[1.0]);
  EXPECT_GE(goodput[0.5], 0.95 * 0.5 * kServablePerMs * 1000);
}

TEST(Overload, HalfOfTheMachinesServeNearlyHalfAndAllServeAllOnceTheyAreBack) {
  Simulation mesh(2);
  const double all = mesh.goodput(kServablePerMs);
  for (int i = 0; i < kMachines; i += 2) mesh.remove(i);
  const double half_removed = mesh.goodput(kServablePerMs);
  for (int i = 0; i < kMachines; i += 2) mesh.restore(i);
  const double restored = mesh.goodput(kServablePerMs);
  std::printf("all %.0f/s, half of the machines %.0f/s, all restored %.0f/s within the latency target\n", all,
              half_removed, restored);
  EXPECT_GE(half_removed, 0.9 * 0.5 * all);
  EXPECT_GE(restored, 0.95 * all);
}

}  // namespace
}  // namespace pebblespindle::test::overload
