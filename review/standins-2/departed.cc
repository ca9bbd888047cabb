// A replica leaves by DELETE and serves on. For a moment the core cannot reach it (connections are reset). Then another
// replica receives nothing for a while, and the primary crashes meanwhile. Acknowledged commits must be kept.
#include "replicas.h"

using namespace rig;

namespace {

class Writer {
 public:
  Writer(Deployment& deployment, int edge, int number) : deployment_(deployment), edge_(edge), number_(number) {
    thread_ = std::thread([this] { run(); });
  }
  ~Writer() { stop(); }
  void stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  void record() const {
    for (auto& line : calls_) keep(line);
  }
  std::map<std::string, double> acknowledged() {
    std::lock_guard<std::mutex> lock(mutex_);
    return acknowledged_;
  }
  int sent() const { return sent_; }

 private:
  void run() {
    while (!stopping_) {
      Lines session(connect_to(deployment_.edge_host(edge_), kFrontPort, 1000));
      std::string line;
      session.send("CONNECT primary-store u" + std::to_string(number_) + "\r\n");
      if (session.read(line, 2000) != 1 || line.rfind("IDLE", 0) != 0) {
        sleep_ms(100);
        continue;
      }
      while (!stopping_ && session.open()) {
        char id[32];
        std::snprintf(id, sizeof id, "%08x%08x", number_ + 1, ++sent_);
        session.send(std::string("QUERY ") + id + " STORE thing" + std::to_string(number_) + " v" + std::to_string(sent_) +
                     "\r\n");
        const double sent_at = now_ms();
      std::string answer;
      bool success = false;
        int got = 0;
        while ((got = session.read(line, 2500)) == 1 && line.rfind("IDLE", 0) != 0) {
          answer = line;
          if (line.rfind("COMPLETE", 0) == 0) success = true;
        }
        calls_.push_back("sent at " + std::to_string(sent_at) + " ms by client " + std::to_string(number_) + ": " + id +
                         " STORE; answered at " + std::to_string(now_ms()) + " ms: " + (got == 1 ? answer : "nothing whole"));
        if (got != 1) break;
        if (success) {
          std::lock_guard<std::mutex> lock(mutex_);
          acknowledged_[id] = now_ms();
        }
        sleep_ms(success ? 25 : 100);
      }
    }
  }
  Deployment& deployment_;
  const int edge_, number_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_{0};
  std::mutex mutex_;
  std::map<std::string, double> acknowledged_;
  std::vector<std::string> calls_;  // of the thread, until it has ended
  std::thread thread_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  open_record(argv[2]);
  const char* mode = std::getenv("TROUBLE");
  const bool cut = trouble() && !(mode && std::string(mode) == "nocut");  // a control: all but the cut
  Deployment deployment(argv[1], 400);
  if (!deployment.usable()) return verdict(false, false, "no free loopback network");
  deployment.start_cores();
  if (!deployment.first_configuration(configuration(1))) return verdict(false, false, "no configuration was taken");
  Replicas databases(deployment, "store", 3);
  if (!databases.start()) return verdict(false, false, "the databases could not listen");
  for (int step = 0; step < 100 && !databases.all_registered(); ++step) sleep_ms(100);
  for (int i = 0; i < 3; ++i) deployment.start_edge(i);
  for (int i = 0; i < 3; ++i)
    if (!deployment.edge_ready(i, 15000)) return verdict(false, false, "a pooler did not become ready");
  sleep_ms(3000);
  std::vector<std::unique_ptr<Writer>> writers;
  for (int i = 0; i < 6; ++i) writers.push_back(std::make_unique<Writer>(deployment, i % 3, i));
  sleep_ms(2000);
  note("before:" + databases.describe());
  if (!databases.leave(1)) return verdict(false, false, "the leaving was not acknowledged");
  const double left_at = now_ms();
  note("DELETE /instances/i-10000002 is acknowledged; it serves on for 7 s and longer");
  sleep_ms(300);
  if (cut) {
    note("the links between the core and i-10000002 are cut for 1 s, with resets");
    databases.cut_from_core(1, true);
  }
  sleep_ms(1000);
  if (cut) {
    databases.cut_from_core(1, false);
    note("the links are whole again");
  }
  sleep_ms(1500);
  if (trouble()) {
    note("i-10000003 receives nothing from now on, for 6.5 s");
    databases.set_deaf(2, true);
  }
  sleep_ms(1500);
  note("now:" + databases.describe());
  if (trouble()) {
    note("the primary i-10000001 crashes; it is back in 4 s");
    databases.crash(0);
  }
  sleep_ms(4000);
  if (trouble()) databases.come_back(0);
  sleep_ms(std::max(0.0, left_at + 9000 - now_ms()));
  databases.set_deaf(2, false);
  note("i-10000002 ends, " + std::to_string(int(now_ms() - left_at)) + " ms after its DELETE");
  databases.crash(1);
  sleep_ms(6000);
  for (auto& writer : writers) writer->stop();
  for (auto& writer : writers) writer->record();
  databases.record_runs();
  note("after:" + databases.describe());

  std::size_t acknowledged = 0, lost = 0;
  const auto promotions = databases.promotions();
  for (auto& writer : writers)
    for (auto& [id, at] : writer->acknowledged()) {
      ++acknowledged;
      for (auto& promotion : promotions) {
        if (at >= promotion.at || promotion.kept.count(id)) continue;
        if (++lost <= 5)
          note("the log of " + promotion.id + ", promoted at " + std::to_string(int(promotion.at)) + " ms, lacks " + id +
               ", acknowledged at " + std::to_string(int(at)) + " ms");
        break;
      }
    }
  deployment.note_logs("failover");
  if (acknowledged < 50) return verdict(false, false, "hardly any write was acknowledged");
  return verdict(true, lost > 0, "acknowledged commits: " + std::to_string(acknowledged) + ", of these not in the log of the database that was promoted: " +
                                     std::to_string(lost) + ", promotes: " + std::to_string(databases.promotions().size()));
}
