// Each half of a sidecar on its own, with its output recorded for the test.
#pragma once
#include "sidecar/constants.h"
#include "sidecar/scripted_databases.h"

namespace pebblespindle::test::mesh {

struct OutboundHalf : OutboundPort {
  TimerQueue timers;
  ClusterState cluster;
  Millis now = 1000;
  std::map<CallId, Reply> answers;
  std::vector<std::pair<Endpoint, Json>> offers;
  std::vector<std::uint64_t> withdrawn;
  std::set<Endpoint> unlinked;
  std::vector<Endpoint> connected;
  std::set<std::uint64_t> held;  // offers whose link is being established
  Outbound out{*this, timers, cluster, {"z0", "caller", 0.2, 3.0, 10000, 7}};
  OutboundHalf() {
    MeshSimulation simulation(1);
    for (int node : {5, 6}) {  // so that there is always another database to try
      Instance instance{
          {"more" + std::to_string(node)}, "s", "z0", MeshSimulation::address_of(node), 2, false, false, 1};
      simulation.rows.push_back({instance_key(instance.id), encode_instance(instance), 1, false});
    }
    cluster.apply(1, simulation.rows);
    step(0);
    out.set_node_count(1);
    out.set_state_current(true);
  }
  void answer(CallId id, Reply reply) override {
    EXPECT_FALSE(answers.count(id));
    answers[id] = std::move(reply);
  }
  void offer(const Endpoint& at, const Json& frame) override { offers.emplace_back(at, frame); }
  bool is_linked(const Endpoint& at) override { return unlinked.count(at) == 0; }
  void connect(const Endpoint& at) override { connected.push_back(at); }
  bool withdraw(const Endpoint&, std::uint64_t offer_number) override {
    withdrawn.push_back(offer_number);
    return held.count(offer_number) > 0;
  }
  void step(Millis ms) {
    for (Millis end = now + ms; now < end;) {
      out.set_time(++now);
      timers.run(now);
    }
    out.set_time(now);
  }
  void ask(CallId id, bool idempotent) {
    out.start_call(
        id, {"GET", idempotent ? "/s/safe/x" : "/s/once/x", "", {{"Host", "h"}, {kRequestIdField, "q"}}});
  }
  std::uint64_t offer_number(std::size_t offer_index) const {
    return sidecar::unsigned_field(offers.at(offer_index).second, "n");
  }
  void reply_to(std::size_t offer_index, Json frame) {
    frame["n"] = offer_number(offer_index);
    out.handle_frame(offers.at(offer_index).first, frame);
  }
  int status(CallId id) const { return answers.count(id) ? answers.at(id).status : 0; }
};

inline const Json kOk{{"t", "a"}, {"s", 200}, {"b", "ok"}};
inline const Json kNotRun{{"t", "a"}, {"s", 503}, {"x", true}};
inline const Json kFailed{{"t", "fail"}};
inline const Json kGone{{"t", "no"}, {"y", "gone"}};

struct InboundHalf : InboundPort {
  TimerQueue timers;
  Millis now = 1000;
  Inbound in{*this, timers};
  std::map<std::uint64_t, Json> replies;
  std::vector<ConnId> opened, closed;
  std::vector<std::pair<ConnId, Call>> written;
  InboundHalf() {
    step(0);
    in.set_database(instance("a"));
  }
  static Instance instance(const std::string& id, int slots = 2) {
    return {{id}, "s", "z0", MeshSimulation::address_of(0), slots, false, false, 1};
  }
  void reply(LinkId, const Json& frame) override {
    EXPECT_FALSE(replies.count(frame["n"])) << "more than one reply to an offer";
    replies[frame["n"]] = frame;
  }
  void open_app_connection(ConnId id) override { opened.push_back(id); }
  void send_to_app(ConnId id, const Call& call) override { written.emplace_back(id, call); }
  void close_app_connection(ConnId id) override { closed.push_back(id); }
  void step(Millis ms) {
    now += ms;
    in.set_time(now);
    timers.run(now);
  }
  void offer(std::uint64_t offer_number, bool idempotent, const std::string& method = "GET",
             Millis max_wait_ms = 0, int priority = 1) {
    in.offer(1, {{"t", "q"},
                 {"n", offer_number},
                 {"i", in.database()->id.value},
                 {"m", method},
                 {"u", "/x"},
                 {"h", Json::array({"Host", "h", kRequestIdField, "q" + std::to_string(offer_number)})},
                 {"b", ""},
                 {"d", 500},
                 {"w", max_wait_ms},
                 {"a", 200},
                 {"p", priority},
                 {"s", idempotent}});
  }
  void answer(ConnId conn, const std::string& id, int status = 200,
              HttpFields fields = {{kResponseSealField, "s"}}) {
    if (!id.empty()) fields.emplace_back(kRequestIdField, id);
    in.app_reply_received(conn, {status, "of " + id, fields}, 0);
  }
  std::string reply_type(std::uint64_t offer_number) {
    return replies.count(offer_number) ? text_field(replies[offer_number], "t") : "";
  }
  // A connection that has served request q1 and is idle.
  ConnId idle_connection() {
    offer(1, true);
    in.app_connection_up(opened.back());
    answer(opened.back(), "q1");
    step(5);
    return opened.back();
  }
  bool is_closed(ConnId id) { return std::count(closed.begin(), closed.end(), id) > 0; }
};

}  // namespace pebblespindle::test::mesh
