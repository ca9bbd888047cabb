// The operator sends an invalid PATCH, as it sends every order: again and to another node while no clear answer comes.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kRestartMs = 1200;  // the platform starts again what has ended
constexpr int kTries = 24;

bool is_final(int status) {
  return status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

// The answer of the call, or 0 where it never came to a clear one.
int order(Deployment& deployment, const std::string& method, int base, const std::string& body) {
  for (int step = 0; step < kTries; ++step) {
    const int core = step % kCores;
    const double began = now_ms();
    const int status = deployment.change(core, method, base, body).status;
    note("operator: " + method + " /configuration, If-Match " + std::to_string(base) + ", to " +
         Deployment::core_name(core) + ": " + (status ? std::to_string(status) : "no answer") + " after " +
         std::to_string(int(now_ms() - began)) + " ms");
    if (is_final(status)) return status;
    sleep_ms(std::min(1000, 100 * (step + 1)));  // a pause that grows
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  open_record(argv[2]);
  Deployment deployment(argv[1], kRestartMs, true);
  if (!deployment.usable()) return verdict(false, false, "no free loopback network");
  deployment.start_cores();
  if (!deployment.first_configuration(mesh_configuration(1))) return verdict(false, false, "no configuration was taken");
  sleep_ms(2000);
  const std::string good =
      "{\"Revision\":2,\"Upsert\":{\"Limits\":{\"IdleTimeoutMs\":14000}},\"Remove\":{\"Routes\":[\"r-gone\"]}}";
  if (order(deployment, "PATCH", 1, good) != 200) return verdict(false, false, "a valid PATCH was not taken");
  // Without the disruption: an invalid one of a kind that is recognised, a route to an unknown service.
  const std::string bad =
      trouble() ? "{\"Revision\":3,\"Remove\":{\"Limits\":[\"IdleTimeoutMs\"]}}"
                : "{\"Revision\":3,\"Upsert\":{\"Routes\":[{\"Name\":\"r-new\",\"Hostname\":\"new.example\",\"PathPrefix\":"
                  "\"/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":1000,\"TargetService\":\"nobody\"}]}}";
  note("operator sends an invalid order: PATCH " + bad);
  const int status = order(deployment, "PATCH", 2, bad);
  sleep_ms(2500);
  const int later = order(deployment, "PATCH", status == 200 ? 3 : 2,
                          "{\"Revision\":9,\"Upsert\":{\"Limits\":{\"IdleTimeoutMs\":13000}}}");
  std::map<std::string, int> ends;
  for (auto& ended : deployment.processes->ended_by_themselves()) ++ends[ended.name];
  deployment.note_logs("what():");
  std::string text;
  for (auto& [name, count] : ends) text += " " + name + " " + std::to_string(count) + " times";
  if (text.empty()) text = " none";
  return verdict(true, !ends.empty(), "processes that ended by themselves:" + text + "; the invalid order got " +
                                          (status ? std::to_string(status) : "no clear answer") +
                                          ", a valid one after it got " + std::to_string(later));
}
