// Planned work alone: a replica leaves by DELETE and serves on; then the primary says that it is leaving, and the lead is
// handed over. Acknowledged commits must be kept.
#include <random>

#include "replicas.h"

using namespace rig;

namespace {

constexpr int kTenants = 72, kEdges = 6, kWriters = 18, kRounds = 16;
constexpr double kHandshakeMs = 32;  // of a new connection, as in the site file
constexpr double kServesOnMs = 8000;    // after its acknowledgement: DrainMs (7 s) and a little longer
constexpr double kRoundMs = 5000;

std::string tenants_configuration() {
  std::string text = configuration(1), tenants;
  for (int i = 0; i < kTenants; ++i)
    tenants += std::string(i ? "," : "") + "{\"Name\":\"tenant" + std::to_string(i) + "\",\"ApiKeys\":[\"key" +
               std::to_string(i) + "\"]}";
  text.pop_back();
  return text + ",\"Tenants\":[" + tenants + "]}";
}

// What is due later, while other things go on.
class Agenda {
 public:
  void add(double in_ms, std::function<void()> action) { due_.emplace(now_ms() + in_ms, std::move(action)); }
  void wait(double ms) {
    for (const double until = now_ms() + ms; now_ms() < until; sleep_ms(5))
      while (!due_.empty() && due_.begin()->first <= now_ms()) {
        auto action = due_.begin()->second;
        due_.erase(due_.begin());
        action();
      }
  }

 private:
  std::multimap<double, std::function<void()>> due_;
};

// Clients that each serve a single operation: a session, one write, the end.
class Writer {
 public:
  Writer(Deployment& deployment, int number) : deployment_(deployment), number_(number), random_(unsigned(number) + 1) {
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

 private:
  void run() {
    for (int sent = 1; !stopping_; ++sent) {
      sleep_ms(100 + random_() % 200);
      Lines session(connect_to(deployment_.edge_host(number_ % kEdges), kFrontPort, 1000));
      std::string line;
      session.send("CONNECT primary-store key" + std::to_string(random_() % kTenants) + "\r\n");
      if (session.read(line, 2000) != 1 || line.rfind("IDLE", 0) != 0) continue;
      char id[32];
      std::snprintf(id, sizeof id, "%08x%08x", number_ + 1, sent);
      session.send(std::string("QUERY ") + id + " STORE thing v" + std::to_string(sent) + "\r\n");
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
      if (got == 1 && success) {
        std::lock_guard<std::mutex> lock(mutex_);
        acknowledged_[id] = now_ms();
      }
      session.send("CLOSE\r\n");
    }
  }
  Deployment& deployment_;
  const int number_;
  std::mt19937 random_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<std::string, double> acknowledged_;
  std::vector<std::string> calls_;  // of the thread, until it has ended
  std::thread thread_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  open_record(argv[2]);
  Deployment deployment(argv[1], 400);
  if (!deployment.usable()) return verdict(false, false, "no free loopback network");
  deployment.start_cores();
  if (!deployment.first_configuration(tenants_configuration()))
    return verdict(false, false, "no configuration was taken");
  Replicas databases(deployment, "store", 3, kHandshakeMs, 2 * kRounds);
  if (!databases.start()) return verdict(false, false, "the databases could not listen");
  for (int step = 0; step < 100 && !databases.all_registered(); ++step) sleep_ms(100);
  for (int i = 0; i < kEdges; ++i) deployment.start_edge(i);
  for (int i = 0; i < kEdges; ++i)
    if (!deployment.edge_ready(i, 15000)) return verdict(false, false, "a pooler did not become ready");
  sleep_ms(3000);
  std::vector<std::unique_ptr<Writer>> writers;
  for (int i = 0; i < kWriters; ++i) writers.push_back(std::make_unique<Writer>(deployment, i));
  sleep_ms(2000);

  std::set<int> there{0, 1, 2};
  int next = 3;
  std::size_t lost = 0, rounds = 0;
  const auto count_lost = [&](bool say) {
    std::size_t count = 0;
    const auto promotions = databases.promotions();
    for (auto& writer : writers)
      for (auto& [id, at] : writer->acknowledged())
        for (auto& promotion : promotions) {
          if (at >= promotion.at || promotion.kept.count(id)) continue;
          ++count;
          if (say)
            note("the log of " + promotion.id + ", promoted at " + std::to_string(int(promotion.at)) + " ms, lacks " + id +
                 ", acknowledged at " + std::to_string(int(at)) + " ms");
          break;
        }
    return count;
  };
  Agenda agenda;
  for (; rounds < kRounds && lost == 0; ++rounds) {
    const int primary = databases.leader();
    int leaving = -1;
    for (int place : there)
      if (place != primary && leaving < 0) leaving = place;
    if (primary < 0 || leaving < 0) return verdict(false, false, "no primary");
    // The databases of the service are replaced one after the other: the new ones start first.
    const int before = databases.registered();
    for (int i = 0; i < (trouble() ? 2 : 1); ++i) {
      databases.add(next);
      there.insert(next++);
    }
    for (int step = 0; step < 50 && databases.registered() < before + (trouble() ? 2 : 1); ++step) agenda.wait(50);
    note("round " + std::to_string(rounds + 1) + ":" + databases.describe());
    if (trouble()) {
      if (!databases.leave(leaving)) return verdict(false, false, "the leaving was not acknowledged");
      note("DELETE of database " + std::to_string(leaving + 1) + " is acknowledged; it serves on");
      there.erase(leaving);
      agenda.add(kServesOnMs, [&databases, leaving] {
        note("database " + std::to_string(leaving + 1) + " ends");
        databases.crash(leaving);
      });
    }
    agenda.wait(1000);
    note("the primary, database " + std::to_string(primary + 1) + ", says that it is draining");
    databases.drain(primary);
    there.erase(primary);
    agenda.add(kServesOnMs, [&databases, primary] {
      databases.leave(primary);
      note("database " + std::to_string(primary + 1) + " ends");
      databases.crash(primary);
    });
    agenda.wait(kRoundMs - 1200);
    lost = count_lost(false);
  }
  for (auto& writer : writers) writer->stop();
  for (auto& writer : writers) writer->record();
  databases.record_runs();
  lost = count_lost(true);
  std::size_t acknowledged = 0;
  for (auto& writer : writers) acknowledged += writer->acknowledged().size();
  deployment.note_logs("failover");
  if (databases.promotions().empty() || acknowledged < 50) return verdict(false, false, "no hand-over, or hardly any write");
  return verdict(true, lost > 0, "hand-overs: " + std::to_string(databases.promotions().size()) + ", acknowledged commits: " +
                                     std::to_string(acknowledged) + ", of these not in the log of the database that was promoted: " +
                                     std::to_string(lost));
}
