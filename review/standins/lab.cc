// The cases of the review that are scripts: `lab CASE FOLDER BINARY`. Writes FOLDER/record.txt. Exit code: 1 the
// rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
#include <cmath>

#include "lab.h"

using namespace lab;

namespace {

bool with_trouble() {
  const char* told = getenv("TROUBLE");
  return !told || std::string(told) != "0";
}

int cannot_run(const std::string& why) {
  record.say("CANNOT RUN: %s", why.c_str());
  return 2;
}

Json route(const std::string& name, const std::string& host, const std::string& type, int timeout_ms, int target_ms,
           int stale_ms, const std::string& service = "store") {
  Json r{{"Name", name},          {"Hostname", host},      {"PathPrefix", "/"}, {"RouteType", type},
         {"TimeoutMs", timeout_ms}, {"TargetLatencyMs", target_ms}, {"Priority", 1}, {"TargetService", service},
         {"MaxAttempts", 2}};
  if (stale_ms > 0) r["stale_ms"] = stale_ms;
  return r;
}

Json service_item(const std::string& name, int max_connections) {
  return {{"Name", name}, {"HealthCheckPath", "/health"}, {"MaxConnections", max_connections}, {"Protocol", "h1"},
          {"TlsEnabled", false}, {"SyncReplicas", 1}};
}

Json configuration(int max_connections) {
  return {{"Revision", 1},
          {"Routes",
           {route("r-orders", "orders", "primary", 800, 100, 0), route("r-views", "views", "bounded", 2000, 600, 1500),
            route("r-orders2", "orders2", "primary", 800, 100, 0, "store2"),
            route("r-orders3", "orders3", "primary", 800, 100, 0, "store3")}},
          {"Services",
           {service_item("store", max_connections), service_item("store2", max_connections),
            service_item("store3", max_connections)}},
          {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 262144}, {"HeaderTimeoutMs", 3000},
                      {"IdleTimeoutMs", 15000}, {"TransactionIdleMs", 3000}}}};
}

bool wait_for_write(Deployment& d, const std::string& host = "orders") {
  Session s(d.frontend(), host, "u0");
  for (Ms until = now_ms() + 15000; now_ms() < until; sleep_ms(100)) {
    if (!s.connected() && !s.open()) continue;
    if (auto r = s.ask(draw_query_id(), "STORE probe x"); r.answered && r.error.empty()) return true;
  }
  return false;
}

// Clients that write, one statement after the other, each with a rest; what was acknowledged is kept.
class Writers {
 public:
  Writers(Deployment& d, int count, Ms rest_ms, const std::string& host = "orders") {
    for (int i = 0; i < count; ++i)
      threads_.emplace_back([this, &d, i, rest_ms, host] {
        Session s(d.frontend(), host, "u" + std::to_string(i + 1));
        for (int n = 0; !stop_; ++n) {
          if (!s.connected() && !s.open()) {
            sleep_ms(50);
            continue;
          }
          const std::string query = draw_query_id();
          auto r = s.ask(query, "STORE t" + std::to_string(i) + " v" + std::to_string(n), 1500);
          if (r.answered && r.error.empty()) {
            std::lock_guard lock(mutex_);
            acknowledged_.push_back({query, now_ms()});
            record.say("client %d: write %s acknowledged", i, query.c_str());
          } else {
            record.say("client %d: write %s: %s", i, query.c_str(),
                       !r.answered ? "no answer" : r.error.c_str());
            sleep_ms(50);
          }
          sleep_ms(rest_ms);
        }
      });
  }
  std::vector<Acknowledged> end() {
    stop_ = true;
    for (auto& t : threads_) t.join();
    return acknowledged_;
  }

 private:
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<Acknowledged> acknowledged_;
  std::vector<std::thread> threads_;
};

// LOST: the log of the database that is promoted lacks an acknowledged commit.
int judge_promotions(Service& service, const std::vector<Acknowledged>& acknowledged) {
  std::lock_guard lock(service.mutex);
  bool broken = false;
  for (auto& promotion : service.promotions) {
    std::set<std::string> held;
    for (auto& entry : promotion.log) held.insert(entry->query);
    std::size_t before = 0, lost = 0;
    for (auto& write : acknowledged) {
      if (write.at >= promotion.at) continue;
      ++before;
      if (held.count(write.query)) continue;
      if (++lost <= 20)
        record.say("LOST: write %s, acknowledged at %.3f, is not in the log of %s, promoted at %.3f",
                   write.query.c_str(), double(write.at) / 1e3, promotion.id.c_str(), double(promotion.at) / 1e3);
    }
    record.say("RESULT: promotion of %s at %s: %zu writes were acknowledged before, its log lacks %zu of them",
               promotion.id.c_str(), promotion.place.text().c_str(), before, lost);
    broken = broken || lost > 0;
  }
  record.say("RESULT: %zu writes acknowledged, %zu promotions: the rule %s", acknowledged.size(),
             service.promotions.size(), broken ? "is BROKEN" : "held");
  return broken ? 1 : 0;
}

Deployment* running = nullptr;  // what has to be ended

struct Store {
  Deployment deployment;
  Service service;
  Platform platform;
  DatabasePtr primary, first, second;

  Store(const std::string& binary, int limit, int slots, std::function<Ms()> platform_slow_ms)
      : deployment(binary), service(deployment, "store", 1000, slots, limit),
        platform(deployment, {&service}, std::move(platform_slow_ms)) {
    running = &deployment;
  }

  // Empty: everything runs.
  std::string start(int limit) {
    deployment.start();
    sleep_ms(1500);
    if (deployment.put_configuration(configuration(limit), 0) != 200) return "no configuration was acknowledged";
    primary = service.start("i-7f3a91c2", 0, kZones[0], true);
    first = service.start("i-8c21d004", 1, kZones[1], false);
    second = service.start("i-91b7e6aa", 2, kZones[2], false);
    if (!deployment.wait_ready()) return "the node is never ready";
    if (!wait_for_write(deployment)) return "no write succeeds";
    sleep_ms(4000);  // in touch
    record.say("all is up: controllers at %s and others, frontend %s", deployment.controllers[0].text().c_str(),
               deployment.frontend().text().c_str());
    return {};
  }
};

// Case: a replica leaves with DELETE first and serves on; ten seconds later the other replicas have received
// nothing for a while and the primary crashes.
int leaving_forgotten(const std::string& binary) {
  Store& store = *new Store(binary, 56, 4, [] { return Ms(100); });  // its threads run to the end
  if (auto why = store.start(56); !why.empty()) return cannot_run(why);
  Service& service = store.service;
  Writers writers(store.deployment, 6, 60);
  const Ms begin = now_ms();
  // Planned work: the second replica is replaced. The new one starts first.
  auto next = service.start("i-a3340f5b", 3, kZones[2], false);
  sleep_until_ms(begin + 1500);
  service.leave_at_once(store.second, 5000);  // ends at 13.5 s
  if (with_trouble()) {
    sleep_until_ms(begin + 7000);
    service.set_deaf({store.first, next}, true);
    sleep_until_ms(begin + 12500);
    service.crash(store.primary, 7000);
    sleep_until_ms(begin + 13500);
    service.set_deaf({store.first, next}, false);
  }
  sleep_until_ms(begin + 24000);
  return judge_promotions(service, writers.end());
}

// Case: a replica leaves in order, and has ended; the other replicas had received nothing meanwhile, and the
// primary crashes, for seven seconds.
int leaving_ended(const std::string& binary) {
  Store& store = *new Store(binary, 56, 4, [] { return Ms(100); });  // its threads run to the end
  if (auto why = store.start(56); !why.empty()) return cannot_run(why);
  Service& service = store.service;
  Writers writers(store.deployment, 6, 60);
  const Ms begin = now_ms();
  auto next = service.start("i-a3340f5b", 3, kZones[2], false);
  sleep_until_ms(begin + 1500);
  service.leave(store.second, 500);  // ends at 9.0 s
  if (with_trouble()) {
    sleep_until_ms(begin + 6000);
    service.set_deaf({store.first, next}, true);
    sleep_until_ms(begin + 9500);
    service.crash(store.primary, 7000);
    sleep_until_ms(begin + 12500);
    service.set_deaf({store.first, next}, false);
  }
  sleep_until_ms(begin + 24000);
  return judge_promotions(service, writers.end());
}

// Case: a replica leaves with DELETE first and serves on. The process of the controller that holds the duty is killed
// and starts again with its disk. Eight seconds after the DELETE, while the replica still runs, the others have received
// nothing for a while and the primary crashes. Without the trouble all of it happens but the kill of the controller.
int leaving_restarted(const std::string& binary) {
  Store& store = *new Store(binary, 56, 4, [] { return Ms(100); });  // its threads run to the end
  if (auto why = store.start(56); !why.empty()) return cannot_run(why);
  Service& service = store.service;
  Deployment& d = store.deployment;
  Writers writers(d, 6, 60);
  const Ms begin = now_ms();
  auto next = service.start("i-a3340f5b", 3, kZones[2], false);
  sleep_until_ms(begin + 1500);
  service.leave_at_once(store.second, 3000);  // ends at 11.5 s
  sleep_until_ms(begin + 2500);
  if (with_trouble()) {
    d.processes.kill_and_wait(d.controller_pids[0]);  // the first of the chain
    record.say("controller %s killed", d.controllers[0].host.c_str());
    sleep_ms(500);
    d.start_controller(0);
    record.say("it is started again, with its disk");
  }
  sleep_until_ms(begin + 5500);
  service.set_deaf({store.first, next}, true);
  sleep_until_ms(begin + 9500);
  service.crash(store.primary, 7000);
  sleep_until_ms(begin + 12000);
  service.set_deaf({store.first, next}, false);
  sleep_until_ms(begin + 24000);
  const int code = judge_promotions(service, writers.end());
  return service.promotions.empty() ? cannot_run("no database was promoted") : code;
}

// Case: a database is leaving; the processes of the edge machine are killed three seconds after that was
// acknowledged, and start again. Clients read as many at once as on a busy moment.
int draining_restart(const std::string& binary) {
  Store& store = *new Store(binary, 12, 4, [] { return Ms(100); });
  if (auto why = store.start(12); !why.empty()) return cannot_run(why);
  Service& service = store.service;
  Deployment& d = store.deployment;
  service.work_us = [] { return Ms(15000 + 50000 * uniform()); };
  std::atomic<bool> stop{false};
  std::atomic<Ms> started{-1000000};  // of the machine's processes
  std::atomic<int> late{0}, all{0};
  DatabasePtr leaving = store.second;
  service.on_statement = [&](Database& db, const std::string& query, const std::string& text) {
    ++all;
    if (&db != leaving.get()) return;
    const Ms acknowledged = service.draining_acknowledged_ms.count(db.id) ? service.draining_acknowledged_ms[db.id] : -1;
    if (acknowledged < 0) return;
    const Ms since = now_ms() - acknowledged;
    const bool in_touch = now_ms() > started + 4000;
    if (since > 7000 && in_touch && ++late <= 30)
      record.say("DRAIN: statement %s '%s' reaches %s %d ms after its draining was acknowledged; the machine's "
                 "processes have run for %d ms", query.c_str(), text.c_str(), db.id.c_str(), int(since),
                 int(now_ms() - started));
  };
  std::vector<std::thread> readers;
  std::atomic<int> served{0}, refused{0}, unanswered{0};
  for (int i = 0; i < 120; ++i)
    readers.emplace_back([&, i] {
      Session s(d.frontend(), "views", "u" + std::to_string(i));
      while (!stop) {
        if (!s.connected() && !s.open()) {
          sleep_ms(100);
          continue;
        }
        auto r = s.ask(draw_query_id(), "FETCH probe", 5000);
        ++(!r.answered ? unanswered : r.error.empty() ? served : refused);
        sleep_ms(r.answered && r.error.empty() ? 5 : 100);
      }
    });
  const Ms begin = now_ms();
  service.start("i-a3340f5b", 3, kZones[2], false);  // the new one starts first
  sleep_until_ms(begin + 2000);
  service.leave(leaving, 3000);
  sleep_until_ms(begin + 5000);
  if (with_trouble()) {
    d.processes.kill_and_wait(d.pooler_pid);
    d.processes.kill_and_wait(d.agent_pid);
    record.say("agent and pooler killed");
    sleep_ms(500);
    d.start_node();
    started = now_ms();
    record.say("agent and pooler started again");
  }
  sleep_until_ms(begin + 13500);
  stop = true;
  for (auto& t : readers) t.join();
  record.say("RESULT: reads served %d, refused %d, without answer %d; statements that reached a database %d",
             served.load(), refused.load(), unanswered.load(), all.load());
  record.say("RESULT: statements that reached the leaving database more than DrainMs after the acknowledgement, from a "
             "machine in touch: %d: the rule %s", late.load(), late > 0 ? "is BROKEN" : "held");
  if (service.draining_acknowledged_ms.empty() || served < 500) return cannot_run("too little was served");
  return late > 0 ? 1 : 0;
}

// Case: SIGTERM while clients are in transactions of twelve statements with pauses. Three times, each followed by a
// new start. Work as the site file has it for these reads: mean 40 ms, at most 300.
int term_transactions(const std::string& binary) {
  Store& store = *new Store(binary, 84, 7, [] { return Ms(100); });
  if (auto why = store.start(84); !why.empty()) return cannot_run(why);
  Deployment& d = store.deployment;
  store.service.work_us = [] {
    const double drawn = 40000 * std::exp(0.7 * std::sqrt(-2 * std::log(uniform())) * std::cos(6.2831853 * uniform()) - 0.245);
    return Ms(std::min(300000.0, uniform() < 0.01 ? 5 * drawn : drawn));
  };
  std::mutex mutex;
  std::map<std::string, Ms> reached;  // statements that have come to a database
  store.service.on_statement = [&](Database&, const std::string& query, const std::string&) {
    std::lock_guard lock(mutex);
    reached[query] = now_ms();
  };
  std::atomic<bool> stop{false};
  std::atomic<Ms> term{-1000000};
  std::atomic<int> served{0}, broken{0}, cut_between{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 290; ++i)
    clients.emplace_back([&, i] {
      Session s(d.frontend(), "views", "u" + std::to_string(i));
      while (!stop) {
        if (!s.connected() && !s.open()) {
          sleep_ms(200);
          continue;
        }
        bool going = s.ask(draw_query_id(), "BEGIN FETCH").answered;
        for (int n = 0; going && n < 13; ++n) {
          sleep_ms(Ms(150 + 300 * uniform()));
          if (stop) break;
          const std::string query = draw_query_id();
          const Ms sent = now_ms();
          auto r = s.ask(query, n < 12 ? "FETCH probe" : "COMMIT", 5000);
          const Ms after = now_ms() - term;
          if (r.answered) {
            ++served;
            going = r.error.empty();
            if (!going) s.drop();
            continue;
          }
          going = false;
          if (!r.closed || after > 7000) continue;
          std::lock_guard lock(mutex);
          auto at = reached.find(query);
          if (at == reached.end()) {
            ++cut_between;  // not passed on
          } else if (now_ms() - sent < 2000 && sent - term > 3000) {  // not the route's timeout; sent late
            ++broken;
            record.say("LOST: client %d: statement %s, sent %d ms after SIGTERM, reached a database; the connection "
                       "ended without an answer %d ms after it was sent, %d ms after SIGTERM", i, query.c_str(),
                       int(sent - term), int(now_ms() - sent), int(after));
          }
        }
      }
    });
  sleep_ms(6000);
  for (int round = 0; round < 3; ++round) {
    if (with_trouble()) {
      term = now_ms();
      record.say("SIGTERM to pooler and agent");
      const pid_t pooler = d.pooler_pid, agent = d.agent_pid;
      d.processes.signal(pooler, SIGTERM);
      d.processes.signal(agent, SIGTERM);
      const Ms until = term + 6000;  // GracePeriodS; then SIGKILL
      while (now_ms() < until && d.processes.runs(pooler)) sleep_ms(5);
      record.say("pooler has ended %d ms after SIGTERM", int(now_ms() - term));
      d.processes.signal(agent, SIGKILL);
      sleep_ms(500);
      d.processes.runs(agent);
      d.start_node();
    }
    sleep_ms(8000);
  }
  stop = true;
  for (auto& t : clients) t.join();
  record.say("RESULT: statements answered %d; connections that ended with a statement not passed on %d; with one that "
             "had been passed on, sent over 3 s after SIGTERM: %d: the rule %s", served.load(), cut_between.load(),
             broken.load(), broken > 0 ? "is BROKEN" : "held");
  if (served < 1000) return cannot_run("too little was served");
  return broken > 0 ? 1 : 0;
}

// Case: the primary crashes for two seconds, and the platform is slow: it carries out and answers a call after
// three. Clients write as fast as one database takes it. The same at each of the three services, one after the other.
int late_promote(const std::string& binary) {
  static std::atomic<bool> slow{false};
  Deployment& d = *new Deployment(binary);  // its threads run to the end
  running = &d;
  std::vector<Service*> services;
  for (const char* name : {"store", "store2", "store3"}) services.push_back(new Service(d, name, 1000, 4, 56));
  new Platform(d, services, [] { return Ms(slow ? 3000 : 100); });
  d.start();
  sleep_ms(1500);
  if (d.put_configuration(configuration(56), 0) != 200) return cannot_run("no configuration was acknowledged");
  const char* const names[3][3] = {{"i-7f3a91c2", "i-8c21d004", "i-91b7e6aa"},
                                   {"i-2b64d0f1", "i-5e90c7a3", "i-c3815d2e"},
                                   {"i-44a7be19", "i-d20f6c85", "i-e97b3a60"}};
  std::vector<DatabasePtr> primaries;
  for (int n = 0; n < 3; ++n)
    for (int i = 0; i < 3; ++i) {
      auto db = services[std::size_t(n)]->start(names[n][i], 3 * n + i, kZones[std::size_t(n + i) % 3], i == 0);
      if (i == 0) primaries.push_back(db);
    }
  if (!d.wait_ready()) return cannot_run("the node is never ready");
  const char* const hosts[3] = {"orders", "orders2", "orders3"};
  for (auto* host : hosts)
    if (!wait_for_write(d, host)) return cannot_run("no write succeeds");
  sleep_ms(4000);  // in touch
  slow = with_trouble();
  int all_lost = 0;
  std::size_t all_acknowledged = 0;
  for (std::size_t n = 0; n < 3; ++n) {
    Service& service = *services[n];
    Writers writers(d, 24, 0, hosts[n]);
    sleep_ms(1000);
    const Ms crashed = now_ms();
    if (with_trouble()) service.crash(primaries[n], 2000);
    sleep_until_ms(crashed + 6000);
    const auto acknowledged = writers.end();
    all_acknowledged += acknowledged.size();
    int served = 0, refused = 0;  // whether the service takes writes at all, five more seconds on
    Session s(d.frontend(), hosts[n], "u9");
    for (const Ms until = now_ms() + 5000; now_ms() < until; sleep_ms(100)) {
      if (!s.connected() && !s.open()) continue;
      auto r = s.ask(draw_query_id(), "STORE late x", 2000);
      ++(r.answered && r.error.empty() ? served : refused);
    }
    std::lock_guard lock(service.mutex);
    std::set<std::string> kept;  // in the log of who leads now
    if (auto lead = service.leader())
      for (auto& entry : lead->log) kept.insert(entry->query);
    int lost = 0;
    for (auto& write : acknowledged) {
      if (kept.count(write.query)) continue;
      ++lost;
      record.say("LOST: write %s, numbered at %.4f, acknowledged at %.3f, is not in the log of the promoted database",
                 write.query.c_str(), double(service.committed_us[write.query]) / 1e6, double(write.at) / 1e3);
    }
    all_lost += lost;
    record.say("RESULT: %s: %zu writes acknowledged, %zu promotions, %d acknowledged writes are lost; in the 5 s after "
               "that, with all databases up, %d writes succeeded and %d did not",
               service.name.c_str(), acknowledged.size(), service.promotions.size(), lost, served, refused);
  }
  record.say("RESULT: %zu writes acknowledged, %d of them lost: the rule %s", all_acknowledged, all_lost,
             all_lost > 0 ? "is BROKEN" : "held");
  return all_lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string which = argv[1];
  record.open(std::string(argv[2]) + "/record.txt");
  record.say("case %s, trouble: %s", which.c_str(), with_trouble() ? "yes" : "no");
  std::thread([] {  // it runs for 120 seconds at most
    sleep_ms(110000);
    record.say("CANNOT RUN: it takes too long");
    if (running) running->end();
    _exit(2);
  }).detach();
  const std::map<std::string, int (*)(const std::string&)> cases{{"leaving-forgotten", leaving_forgotten},
                                                                 {"leaving-ended", leaving_ended},
                                                                 {"draining-restart", draining_restart},
                                                                 {"term-transactions", term_transactions},
                                                                 {"late-promote", late_promote},
                                                                 {"leaving-restarted", leaving_restarted}};
  auto chosen = cases.find(which);
  const int code = chosen == cases.end() ? 2 : chosen->second(argv[3]);
  record.say("exit code %d", code);
  if (running) running->end();
  _exit(code);
}
