// An invalid PATCH that is handled together with a valid change, then the kill of the controller that had both. After
// that, two changes on top of the same version must not both be acknowledged.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kRounds = 8;
constexpr double kRestartMs = 400;  // killed processes of the core may return within a second
constexpr double kBeatMs = 1500;

struct Call {
  int fd = -1;
  std::string bytes, what;
  int status = 0;
};

Call prepare(const std::string& host, const std::string& method, int base, const std::string& body,
             const std::string& what) {
  Call call;
  call.fd = connect_to(host, kControlPort, 1000);
  call.what = what;
  call.bytes = method + " /configuration HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nIf-Match: " +
               std::to_string(base) + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
  return call;
}

void finish(Call& call) {
  Lines connection(call.fd);
  std::string line;
  if (connection.read(line, 1000) == 1 && line.size() > 11) call.status = std::atoi(line.c_str() + 9);
  note(call.what + ": " + (call.status ? std::to_string(call.status) : "no answer"));
}

// A whole configuration, with a route that only this version has.
std::string version(int revision) {
  const std::string name = "only-in-" + std::to_string(revision);
  return mesh_configuration(revision, "{\"Name\":\"" + name + "\",\"Hostname\":\"" + name +
                                          ".example\",\"PathPrefix\":\"/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":1000,"
                                          "\"TargetLatencyMs\":200,\"Priority\":1,\"TargetService\":\"status-svc\","
                                          "\"MaxAttempts\":2},");
}

std::string words(const std::string& who, int revision, int base) {
  return who + ", PUT revision " + std::to_string(revision) + " on " + std::to_string(base);
}

// Sent to one node after the other until a clear answer comes.
int order(Deployment& deployment, int base, int revision, const std::string& who) {
  for (int step = 0; step < 12; ++step) {
    const int status = deployment.change(step % kCores, "PUT", base, version(revision)).status;
    note(words(who, revision, base) + ", to " + Deployment::core_name(step % kCores) + ": " + std::to_string(status));
    if (status == 200 || status == 400 || status == 412) return status;
    sleep_ms(100 * (step + 1));
  }
  return 0;
}

// The application database beside sidecar-0: it listens, and sends its heartbeats to the sidecar.
class Application {
 public:
  explicit Application(Deployment& deployment) : deployment_(deployment) {}
  ~Application() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
    if (listener_ >= 0) ::close(listener_);
  }
  bool start() {
    listener_ = listen_at(deployment_.edge_host(0), kApplicationPort);
    if (listener_ < 0) return false;
    thread_ = std::thread([this] {
      for (double next = 0; !stopping_; sleep_ms(20)) {
        if (now_ms() < next && !restarted_.exchange(false)) continue;
        next = now_ms() + kBeatMs;
        beat();
      }
    });
    return true;
  }
  // Every start of a database is a new life with a new id.
  void restart() {
    ++life_;
    acknowledged_ = false;
    restarted_ = true;
    note("the database beside sidecar-0 starts anew, id=" + id());
  }
  bool acknowledged(double timeout_ms) const {
    for (const double until = now_ms() + timeout_ms; now_ms() < until; sleep_ms(20))
      if (acknowledged_) return true;
    return false;
  }

 private:
  std::string id() const { return "i-" + std::to_string(10000000 + life_.load()); }
  void beat() {
    const int life = life_;
    const std::string host = deployment_.edge_host(0);
    const int status =
        http(host, kControlPort, "PUT", "/instances/" + id(),
             "{\"TargetService\":\"status-svc\",\"Address\":\"" + host + ":" + std::to_string(kApplicationPort) +
                 "\",\"Zone\":\"" + Deployment::zone(0) +
                 "\",\"Revision\":\"v1\",\"Capacity\":12,\"State\":\"available\",\"WarmupRemainingMs\":0,\"CallCount\":" +
                 std::to_string(++count_) + "}")
            .status;
    if (status == 200 && life == life_ && !acknowledged_.exchange(true)) note("its heartbeat is acknowledged: id=" + id());
  }
  Deployment& deployment_;
  std::thread thread_;
  std::atomic<bool> stopping_{false}, restarted_{false}, acknowledged_{false};
  std::atomic<int> life_{1};
  int listener_ = -1, count_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  open_record(argv[2]);
  const char* mode = std::getenv("TROUBLE");
  const bool kill_only = mode && std::string(mode) == "kill";  // a control: the kill without the unreadable order
  Deployment deployment(argv[1], kRestartMs, true);
  if (!deployment.usable()) return verdict(false, false, "no free loopback network");
  deployment.start_cores();
  if (!deployment.first_configuration(mesh_configuration(1))) return verdict(false, false, "no configuration was taken");
  deployment.start_sidecar(0, "status-svc");
  if (!deployment.edge_ready(0, 15000)) return verdict(false, false, "the sidecar did not become ready");
  Application application(deployment);
  if (!application.start() || !application.acknowledged(10000))
    return verdict(false, false, "the database was not taken");
  sleep_ms(2000);

  int current = 1, broken = 0, rounds = 0;
  while (rounds < (trouble() ? kRounds : 2) && broken == 0) {
    note("round " + std::to_string(++rounds) + ": version " + std::to_string(current) + " is in place");
    // Operator 1 sends three orders in quick succession to one node: a change, one on top of it, and right behind
    // these an invalid PATCH on top of both.
    const int one = current + 1, two = current + 2, three = current + 3;
    const std::string body =
        trouble() && !kill_only
            ? "{\"Revision\":" + std::to_string(three) + ",\"Remove\":{\"Limits\":[\"IdleTimeoutMs\"]}}"
            : "{\"Revision\":" + std::to_string(three) + ",\"Upsert\":{\"Routes\":[{\"Name\":\"r-x\",\"Hostname\":\"x.example\","
              "\"RouteType\":\"idempotent\",\"TimeoutMs\":1000,\"TargetService\":\"nobody\"}]}}";
    const std::string host = deployment.core_host(1);
    Call calls[] = {prepare(host, "PUT", current, version(one), words("operator 1", one, current)),
                    prepare(host, "PUT", one, version(two), words("operator 1", two, one)),
                    prepare(host, "PATCH", two, body, "operator 1, invalid PATCH on " + std::to_string(two) + " " + body)};
    for (auto& call : calls)
      if (call.fd < 0) return verdict(false, false, "a core machine is not there");
    for (auto& call : calls) {
      send_all(call.fd, call.bytes);
      sleep_ms(0.3);
    }
    std::vector<std::thread> waiting;
    for (auto& call : calls) waiting.emplace_back([&call] { finish(call); });
    for (auto& thread : waiting) thread.join();
    // What got no clear answer is sent again, as it was.
    if (calls[0].status != 200 && order(deployment, current, one, "operator 1 again") != 200)
      return verdict(false, false, "a valid change was not acknowledged");
    if (calls[1].status != 200 && order(deployment, one, two, "operator 1 again") != 200)
      return verdict(false, false, "a valid change was not acknowledged");
    application.restart();
    if (!application.acknowledged(10000)) return verdict(false, false, "the database was not taken");
    sleep_ms(500);
    if (trouble()) {
      note("the controller of core-0 is killed; the platform starts it again");
      deployment.processes->signal("core-0", SIGKILL);
    }
    sleep_ms(5000);
    const int rival = current + 4;
    if (order(deployment, one, rival, "operator 2") == 200) {
      ++broken;
      note("two changes on top of version " + std::to_string(one) + " are both acknowledged: revisions " +
           std::to_string(two) + " and " + std::to_string(rival));
    }
    current = two;
  }
  deployment.note_logs("not understood");
  deployment.note_logs("disk lost rows");
  std::string ended;
  for (auto& process : deployment.processes->ended_by_themselves()) ended += " " + process.name;
  if (!ended.empty()) note("processes that ended by themselves:" + ended);
  return verdict(true, broken > 0, "rounds played: " + std::to_string(rounds) +
                                       ", pairs of changes on one version that were both acknowledged: " +
                                       std::to_string(broken));
}
