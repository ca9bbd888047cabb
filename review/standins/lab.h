// Stand-ins for a small deployment on loopback addresses: databases that replicate, the platform, the operator,
// clients; and the project's own processes, started with settings files like those of a deployment.
// The databases behave as the pages say; where a page is silent, like a sound server. One process, many threads.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;
using Ms = std::int64_t;

// --- time, record, random ---------------------------------------------------------------------------------------

inline const auto kStart = std::chrono::steady_clock::now();
inline Ms now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - kStart).count();
}
inline Ms now_ms() { return now_us() / 1000; }
inline void sleep_us(Ms us) {
  if (us > 0) std::this_thread::sleep_for(std::chrono::microseconds(us));
}
inline void sleep_ms(Ms ms) { sleep_us(ms * 1000); }
inline void sleep_until_ms(Ms at) { sleep_ms(at - now_ms()); }

class Record {
 public:
  void open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2000];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    std::lock_guard lock(mutex_);
    char head[40];
    snprintf(head, sizeof head, "%9.3f ", double(now_us()) / 1e6);
    file_ << head << text << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
inline Record record;

inline double uniform() {
  static thread_local std::mt19937_64 engine(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

// --- sockets ------------------------------------------------------------------------------------------------------

struct Address {
  std::string host;
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
  static Address parse(const std::string& text) {
    auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
  }
};

inline sockaddr_in socket_address(const Address& a) {
  sockaddr_in s{};
  s.sin_family = AF_INET;
  s.sin_port = htons(std::uint16_t(a.port));
  inet_pton(AF_INET, a.host.c_str(), &s.sin_addr);
  return s;
}

inline int listen_at(const Address& a) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  auto s = socket_address(a);
  if (bind(fd, reinterpret_cast<sockaddr*>(&s), sizeof s) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int connect_to(const Address& a, Ms timeout_ms) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto s = socket_address(a);
  int rc = connect(fd, reinterpret_cast<sockaddr*>(&s), sizeof s);
  if (rc != 0 && errno == EINPROGRESS) {
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&p, 1, int(timeout_ms)) == 1 && getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0)
      rc = 0;
  }
  if (rc != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    auto n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += std::size_t(n);
  }
  return true;
}

class Lines {
 public:
  explicit Lines(int fd) : fd_(fd) {}
  // False at the end, or when nothing came for timeout_ms (below 0: for ever).
  bool next(std::string& line, Ms timeout_ms = -1) {
    const Ms until = now_ms() + timeout_ms;
    for (;;) {
      auto nl = in_.find('\n');
      if (nl != std::string::npos) {
        line = in_.substr(0, nl);
        in_.erase(0, nl + 1);
        if (!line.empty() && line.back() == '\r') line.pop_back();
        return true;
      }
      pollfd p{fd_, POLLIN, 0};
      if (poll(&p, 1, timeout_ms < 0 ? -1 : int(std::max<Ms>(0, until - now_ms()))) != 1) return false;
      char chunk[8192];
      auto n = recv(fd_, chunk, sizeof chunk, 0);
      if (n <= 0) return false;
      in_.append(chunk, std::size_t(n));
    }
  }

 private:
  int fd_;
  std::string in_;
};

inline std::string word(std::string& rest) {
  auto blank = rest.find(' ');
  std::string first = rest.substr(0, blank);
  rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
  return first;
}

// --- HTTP ---------------------------------------------------------------------------------------------------------

struct HttpAnswer {
  int status = 0;  // 0: none
  std::string body;
};

inline HttpAnswer http(const Address& to, const std::string& method, const std::string& path, const std::string& body,
                       const std::string& more = "", Ms timeout_ms = 1000) {
  const Ms until = now_ms() + timeout_ms;
  int fd = connect_to(to, timeout_ms);
  if (fd < 0) return {};
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + to.text() + "\r\nConnection: close\r\n" + more;
  if (!body.empty()) out += "Content-Type: application/json\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  send_all(fd, out);
  std::string in;
  for (;;) {
    pollfd p{fd, POLLIN, 0};
    if (poll(&p, 1, int(std::max<Ms>(0, until - now_ms()))) != 1) break;
    char chunk[8192];
    auto n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) break;
    in.append(chunk, std::size_t(n));
    auto head = in.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    auto length = in.find("Content-Length: ");
    if (length != std::string::npos && in.size() >= head + 4 + std::size_t(std::atoi(in.c_str() + length + 16))) break;
  }
  close(fd);
  auto head = in.find("\r\n\r\n");
  if (head == std::string::npos || in.size() < 12) return {};
  return {std::atoi(in.c_str() + 9), in.substr(head + 4)};
}

// --- the project's own processes ----------------------------------------------------------------------------------

class Processes {
 public:
  pid_t start(const std::string& binary, const std::string& command, const std::string& settings,
              const std::string& log) {
    pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int out = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("PEBBLESPINDLE_SETTINGS", settings.c_str(), 1);
      execl(binary.c_str(), binary.c_str(), command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    std::lock_guard lock(mutex_);
    pids_.insert(pid);
    return pid;
  }
  void signal(pid_t pid, int number) { ::kill(pid, number); }
  void kill_and_wait(pid_t pid) {
    ::kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    std::lock_guard lock(mutex_);
    pids_.erase(pid);
  }
  bool runs(pid_t pid) {
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == 0) return true;
    std::lock_guard lock(mutex_);
    pids_.erase(pid);
    return false;
  }
  void end_all() {
    std::set<pid_t> pids;
    {
      std::lock_guard lock(mutex_);
      pids.swap(pids_);
    }
    for (auto pid : pids) ::kill(pid, SIGKILL);
    for (auto pid : pids) waitpid(pid, nullptr, 0);
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> pids_;
};

inline const std::vector<std::string> kZones{"natal-hall", "mossoro-hall", "fortaleza-hall"};

// Three controllers and one edge machine (agent and pooler), with the bounds of the small deployment.
class Deployment {
 public:
  explicit Deployment(std::string binary) : binary_(std::move(binary)) {
    char name[] = "/tmp/pebblespindle-review-XXXXXX";
    folder = mkdtemp(name);
    for (int attempt = 0; attempt < 200; ++attempt) {
      net = "127." + std::to_string(10 + int(uniform() * 200)) + "." + std::to_string(1 + int(uniform() * 250));
      port = 20000 + int(uniform() * 200) * 50;
      if (is_free()) break;
    }
    for (int i = 0; i < 3; ++i) controllers.push_back({net + "." + std::to_string(i + 1), port + 20});
  }
  // Ends all processes and removes the folder; the logs are kept with KEEP=1.
  void end() {
    processes.end_all();
    const std::string command = "rm -rf '" + folder + "'";
    if (getenv("KEEP") == nullptr && std::system(command.c_str()) != 0) return;
  }

  Address node_address(int offset) const { return {net + ".10", port + offset}; }
  Address frontend() const { return node_address(21); }
  Address readiness() const { return node_address(22); }
  Address platform() const { return {net + ".200", port + 23}; }
  Address database(int number) const { return {net + "." + std::to_string(20 + number), port + 24}; }

  void start() {
    for (int i = 0; i < 3; ++i) {
      const std::string disk = folder + "/core-" + std::to_string(i);
      mkdir(disk.c_str(), 0755);
      Json s = common(controllers[std::size_t(i)].host, kZones[std::size_t(i)]);
      s["NodeName"] = "core-" + kZones[std::size_t(i)] + "-1";
      s["Role"] = "controller";
      s["MachineClass"] = "core";
      s["Serves"] = {"control_plane"};
      s["Listeners"] = {{"ControlPlane", controllers[std::size_t(i)].text()}};
      s["QuorumMember"] = true;
      s["DataDirectory"] = disk;
      s["Limits"] = {{"CpuFraction", 0.6}, {"CpuCores", 1}, {"MemoryMb", 256}, {"MaxOpenFiles", 4096}, {"DiskMb", 128}};
      std::ofstream(controller_settings(i)) << s.dump(1);
    }
    controller_pids.resize(3);
    for (int i = 0; i < 3; ++i) start_controller(i);
    // Bootstrap is true only at the very first start: the files of later starts say false.
    sleep_ms(1000);
    for (int i = 0; i < 3; ++i) {
      Json s;
      std::ifstream(controller_settings(i)) >> s;
      s["Bootstrap"] = false;
      std::ofstream(controller_settings(i)) << s.dump(1);
    }
    Json s = common(net + ".10", kZones[0]);
    s["NodeName"] = "edge-" + kZones[0] + "-1";
    s["Role"] = "pooler";
    s["MachineClass"] = "edge";
    s["Serves"] = {"edge"};
    s["Listeners"] = {{"Frontend", frontend().text()}, {"Readiness", readiness().text()}};
    s["QuorumMember"] = false;
    s["DataDirectory"] = nullptr;
    s["Limits"] = {{"CpuFraction", 0.25}, {"CpuCores", 1}, {"MemoryMb", 260}, {"MaxOpenFiles", 4200}, {"DiskMb", 0}};
    node_settings = folder + "/edge.json";
    std::ofstream(node_settings) << s.dump(1);
    start_node();
  }
  std::string controller_settings(int i) const { return folder + "/core-" + std::to_string(i) + ".json"; }
  void start_controller(int i) {
    controller_pids[std::size_t(i)] =
        processes.start(binary_, "controller", controller_settings(i), controller_settings(i) + ".log");
  }
  void start_node() {
    agent_pid = processes.start(binary_, "agent", node_settings, folder + "/agent.log");
    pooler_pid = processes.start(binary_, "pooler", node_settings, folder + "/pooler.log");
  }

  // The operator: to one controller after the other, until there is a clear answer.
  int put_configuration(const Json& configuration, int base, Ms for_ms = 15000) {
    const Ms until = now_ms() + for_ms;
    for (std::size_t attempt = 0; now_ms() < until; ++attempt) {
      auto answer = http(controllers[attempt % 3], "PUT", "/configuration", configuration.dump(),
                         "If-Match: " + std::to_string(base) + "\r\n");
      if (answer.status == 200 || answer.status == 400 || answer.status == 412) return answer.status;
      sleep_ms(200);
    }
    return 0;
  }
  bool wait_ready(Ms for_ms = 15000) {
    const Ms until = now_ms() + for_ms;
    while (now_ms() < until) {
      if (http(readiness(), "GET", "/readiness", "").status == 200) return true;
      sleep_ms(100);
    }
    return false;
  }

  std::string folder, net, node_settings;
  int port = 0;
  std::vector<Address> controllers;
  std::vector<pid_t> controller_pids;
  pid_t agent_pid = 0, pooler_pid = 0;
  Processes processes;

 private:
  bool is_free() const {
    std::vector<Address> wanted{{net + ".1", port},       {net + ".1", port + 20},  {net + ".2", port},
                                {net + ".3", port},       {"127.0.0.1", port + 1},  {net + ".10", port + 21},
                                {net + ".10", port + 22}, {net + ".200", port + 23}, {net + ".20", port + 24}};
    for (auto& a : wanted) {
      int fd = listen_at(a);
      if (fd < 0) return false;
      close(fd);
    }
    return true;
  }
  Json common(const std::string& ip, const std::string& zone) const {
    Json s;
    s["IpAddress"] = ip;
    s["Zone"] = zone;
    s["Region"] = "nordeste";
    for (auto& z : kZones) s["Zones"][z] = "nordeste";
    s["InternalPortRange"] = {port, port + 15};
    for (auto& c : controllers) s["SeedNodes"].push_back(c.text());
    s["Bootstrap"] = true;
    s["DiscoverySource"] = "self_registration";
    s["EntryType"] = "virtual_ip";
    s["HeartbeatMs"] = 1200;
    s["ActiveContracts"] = {"base", "drain", "config", "cost", "sql"};
    s["FaultTolerance"] = {{"MachineLosses", 1}, {"Zones", 0}, {"RegionLosses", 0}};
    s["Bounds"] = {{"SeedStalenessS", 3},    {"AddressReuseS", 2},       {"ContactMs", 4000},      {"AckTimeoutMs", 5000},
                   {"CatchUpS", 4},          {"DrainMs", 7000},          {"GracePeriodS", 6},      {"LossSlackMs", 200},
                   {"ConfigApplyMs", 3000},  {"DowngradeSlackMs", 250},  {"MaxStretchMs", 12000},  {"RecoveryS", 12},
                   {"FencingEnforced", false}, {"ThawSlackMs", 300}};
    s["PlatformApi"] = {{"Address", platform().text()}, {"RatePerS", 50.0}, {"Duties", {"failover"}}, {"DutyPerS", 50.0}};
    return s;
  }
  std::string binary_;
};

// --- databases ----------------------------------------------------------------------------------------------------

struct Place {
  std::uint64_t term = 0, number = 0;
  auto operator<=>(const Place&) const = default;
  std::string text() const { return std::to_string(term) + "." + std::to_string(number); }
  static Place parse(const std::string& text) {
    return {std::strtoull(text.c_str(), nullptr, 10), std::strtoull(text.c_str() + text.find('.') + 1, nullptr, 10)};
  }
};
constexpr Place kLogBegin{1, 1000};

struct Entry {
  Place place;
  std::vector<std::pair<std::string, std::string>> writes;
  std::string query;  // the id of the write or COMMIT that made it
  Ms at_us = 0;
};
using EntryPtr = std::shared_ptr<const Entry>;

class Service;

struct Database {
  std::string id, zone;
  Address address;
  bool primary = false, paused = false, draining = false, deaf = false;
  std::atomic<bool> alive{true};
  int life = 0;
  std::uint64_t term = 1, held = 0;
  std::vector<EntryPtr> log;
  std::map<std::string, std::string> data;
  Ms net_us = 1400;  // one way to the others
  Ms due_us = -1;    // when the next entry arrives here
  const Database* following = nullptr;
  std::uint64_t following_term = 0;
  Ms demote_at_us = -1;
  Ms leads_since_us = 0;
  int busy = 0;
  std::set<int> connections;
  int listener = -1;
  int calls = 0;
  bool beats = true;
  std::atomic<bool> beat_now{false};
  Place place() const { return log.empty() ? kLogBegin : log.back()->place; }
};
using DatabasePtr = std::shared_ptr<Database>;

// A primary and its replicas, which receive its log over a network with delay.
class Service {
 public:
  Service(Deployment& d, std::string name, Ms promote_ms, int slots, int connection_limit)
      : deployment(d), name(std::move(name)), promote_ms_(promote_ms), slots_(slots), limit_(connection_limit) {
    std::thread([this] { replicate(); }).detach();
  }

  // A replica that starts receives the primary's log from its begin.
  DatabasePtr start(const std::string& id, int number, const std::string& zone, bool primary) {
    auto db = std::make_shared<Database>();
    db->id = id;
    db->zone = zone;
    db->address = deployment.database(number);
    db->primary = primary;
    {
      std::lock_guard lock(mutex);
      databases.push_back(db);
    }
    serve(db);
    std::thread([this, db] { beat(db); }).detach();
    return db;
  }

  std::function<Ms()> work_us = [] { return Ms(3000); };
  // Called for each statement of a client that reaches a database.
  std::function<void(Database&, const std::string& query, const std::string& text)> on_statement;

  // Its process ends; it comes back after for_ms (below 0: never), with its log and under a new name.
  void crash(const DatabasePtr& db, Ms for_ms) {
    record.say("database %s crashes, log at %s", db->id.c_str(), place_of(*db).c_str());
    end(db);
    if (for_ms < 0) return;
    std::thread([this, db, for_ms] {
      sleep_ms(for_ms);
      auto back = std::make_shared<Database>();
      {
        std::lock_guard lock(mutex);
        back->id = db->id + "b";
        back->zone = db->zone;
        back->address = db->address;
        back->term = db->term;
        back->log = db->log;
        back->net_us = db->net_us;
        back->primary = db->primary && promoted_term_ <= db->term;
        rebuild(*back);
        databases.push_back(back);
      }
      record.say("database %s is back as %s, a %s, log at %s", db->id.c_str(), back->id.c_str(),
                 back->primary ? "primary" : "replica", place_of(*back).c_str());
      serve(back);
      std::thread([this, back] { beat(back); }).detach();
    }).detach();
  }

  // Planned end: says draining, serves on for DrainMs after the acknowledgement and linger_ms longer, sends
  // DELETE and ends.
  void leave(const DatabasePtr& db, Ms linger_ms) {
    std::thread([this, db, linger_ms] {
      db->draining = true;
      record.say("database %s says draining", db->id.c_str());
      while (db->alive && !send_beat(db)) sleep_ms(100);
      draining_acknowledged_ms[db->id] = now_ms();
      record.say("database %s draining is acknowledged", db->id.c_str());
      sleep_ms(7000 + linger_ms);
      db->beats = false;
      send_end(db);
      record.say("database %s ends, log at %s", db->id.c_str(), place_of(*db).c_str());
      end(db);
    }).detach();
  }
  // Never says draining: sends DELETE first, serves on as long, and ends.
  void leave_at_once(const DatabasePtr& db, Ms linger_ms) {
    std::thread([this, db, linger_ms] {
      db->beats = false;
      record.say("database %s sends DELETE", db->id.c_str());
      send_end(db);
      record.say("database %s DELETE is acknowledged; it serves on for %d ms", db->id.c_str(), int(7000 + linger_ms));
      sleep_ms(7000 + linger_ms);
      record.say("database %s ends, log at %s", db->id.c_str(), place_of(*db).c_str());
      end(db);
    }).detach();
  }

  void set_deaf(const std::vector<DatabasePtr>& replicas, bool deaf) {
    std::lock_guard lock(mutex);
    for (auto& db : replicas) {
      db->deaf = deaf;
      record.say("replica %s %s, log at %s", db->id.c_str(), deaf ? "receives nothing from now on" : "receives again",
                 db->place().text().c_str());
    }
  }

  // The platform's call: the named database leads the next term with what it has received. 409: not running.
  int promote(const std::string& id) {
    {
      std::lock_guard lock(mutex);
      auto db = find(id);
      if (!db || !db->alive) return 409;
      if (db->primary && db->term >= promoted_term_) return 200;
    }
    std::thread([this, id] {
      sleep_ms(promote_ms_);
      std::lock_guard lock(mutex);
      auto db = find(id);
      if (!db || !db->alive || (db->primary && db->term >= promoted_term_)) return;
      std::uint64_t newest = promoted_term_;
      for (auto& each : databases) newest = std::max(newest, each->term);
      db->term = promoted_term_ = newest + 1;
      db->primary = true;
      db->paused = false;
      db->held = 0;
      db->leads_since_us = now_us();
      promotions.push_back({now_ms(), db->id, db->place(), db->log});
      record.say("PROMOTED database=%s term=%d log=%s", db->id.c_str(), int(db->term), db->place().text().c_str());
      for (auto& each : databases)
        if (each != db && each->alive && each->primary) each->demote_at_us = now_us() + 1000000;
      db->beat_now = true;
      changed.notify_all();
    }).detach();
    return 200;
  }
  struct Promotion {
    Ms at;
    std::string id;
    Place place;
    std::vector<EntryPtr> log;
  };
  std::vector<Promotion> promotions;
  std::map<std::string, Ms> draining_acknowledged_ms;
  std::map<std::string, Ms> committed_us;  // by query, when it got its number

  std::string place_of(const Database& db) {
    std::lock_guard lock(mutex);
    return db.place().text();
  }
  // The one that leads the newest term; null when none does.
  DatabasePtr leader() {
    DatabasePtr best;
    for (auto& db : databases)
      if (db->alive && db->primary && (!best || db->term > best->term)) best = db;
    return best;
  }

  Deployment& deployment;
  const std::string name;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<DatabasePtr> databases;

 private:
  DatabasePtr find(const std::string& id) {
    for (auto& db : databases)
      if (db->id == id) return db;
    return nullptr;
  }

  void end(const DatabasePtr& db) {
    std::lock_guard lock(mutex);
    db->alive = false;
    db->beats = false;
    ++db->life;
    if (db->listener >= 0) shutdown(db->listener, SHUT_RDWR), close(db->listener);
    db->listener = -1;
    for (int fd : db->connections) shutdown(fd, SHUT_RDWR);
    changed.notify_all();
  }

  // Replicas receive in order, each entry one way's delay and a little after it was made.
  void replicate() {
    for (;;) {
      sleep_us(300);
      std::lock_guard lock(mutex);
      const Ms now = now_us();
      bool news = false;
      for (auto& db : databases)
        if (db->primary && db->demote_at_us >= 0 && now >= db->demote_at_us) {
          step_down(*db);
          news = true;
        }
      auto lead = leader();
      if (!lead) continue;
      for (auto& db : databases) {
        if (!db->alive || db->primary || db->paused || db->deaf) continue;
        const bool other = db->following != lead.get() || db->following_term != lead->term;
        const Database* source = lead.get();
        if (other && db->following && now < lead->leads_since_us + db->net_us) {
          // It has not heard of the new primary yet, and follows the former one where that still leads.
          source = db->following;
          if (!source->alive || !source->primary || source->term != db->following_term) continue;
        } else if (other) {
          std::size_t same = 0;
          while (same < db->log.size() && same < lead->log.size() && db->log[same] == lead->log[same]) ++same;
          if (same < db->log.size())
            record.say("replica %s is cut back from %s", db->id.c_str(), db->place().text().c_str());
          db->log.resize(same);
          rebuild(*db);
          db->following = lead.get();
          db->following_term = db->term = lead->term;
          db->due_us = -1;
        }
        while (db->log.size() < source->log.size()) {
          auto& entry = source->log[db->log.size()];
          if (db->due_us < 0) db->due_us = std::max(entry->at_us + db->net_us + Ms(-300.0 * std::log(uniform())), now);
          if (db->due_us > now) break;
          db->log.push_back(entry);
          for (auto& [thing, value] : entry->writes) db->data[thing] = value;
          db->due_us = -1;
          news = true;
        }
      }
      if (news) changed.notify_all();
    }
  }
  void rebuild(Database& db) {
    db.data.clear();
    for (auto& entry : db.log)
      for (auto& [thing, value] : entry->writes) db.data[thing] = value;
  }
  void step_down(Database& db) {
    record.say("database %s leads no longer", db.id.c_str());
    db.primary = false;
    db.demote_at_us = -1;
    db.following = nullptr;
    db.beat_now = true;
  }

  // --- beats
  bool send_beat(const DatabasePtr& db) {
    Json body{{"TargetService", name},
              {"Address", db->address.text()},
              {"Zone", db->zone},
              {"Revision", "v1"},
              {"Capacity", slots_},
              {"State", db->draining ? "draining" : "available"},
              {"WarmupRemainingMs", 0},
              {"DatabaseRole", db->primary ? "primary" : "replica"},
              {"CallCount", ++db->calls}};
    for (int n = 0; n < 3; ++n) {
      const std::size_t which = std::size_t(uniform() * 3) % 3;
      if (http(deployment.controllers[which], "PUT", "/instances/" + db->id, body.dump()).status == 200) return true;
    }
    return false;
  }
  void send_end(const DatabasePtr& db) {
    for (int n = 0; n < 20; ++n)
      if (http(deployment.controllers[std::size_t(n) % 3], "DELETE", "/instances/" + db->id, "").status == 200) return;
  }
  void beat(const DatabasePtr& db) {
    const int life = db->life;
    while (db->alive && db->life == life && db->beats) {
      db->beat_now = false;
      const bool taken = send_beat(db);
      for (Ms until = now_ms() + (taken ? 1200 : 200); now_ms() < until && !db->beat_now && db->beats;) sleep_ms(5);
    }
  }

  // --- the wire
  void serve(const DatabasePtr& db) {
    int fd = listen_at(db->address);
    if (fd < 0) {
      record.say("cannot listen at %s", db->address.text().c_str());
      return;
    }
    db->listener = fd;
    std::thread([this, db, fd, life = db->life] {
      for (;;) {
        int c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (c < 0) return;
        int one = 1;
        setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::lock_guard lock(mutex);
        if (!db->alive || db->life != life) {
          close(c);
          return;
        }
        db->connections.insert(c);
        std::thread([this, db, c, life] {
          session(db, c, life);
          std::lock_guard inner(mutex);
          db->connections.erase(c);
          close(c);
        }).detach();
      }
    }).detach();
  }

  struct Transaction {
    bool open = false, read_only = false, failed = false;
    std::uint64_t term = 0;
    std::vector<std::pair<std::string, std::string>> writes;
  };
  struct Answer {
    std::string body;  // rows, and COMPLETE or STMTERR
    bool cut = false;  // none: the connection ends
  };

  bool lives(const DatabasePtr& db, int life) { return db->alive && db->life == life; }

  void session(const DatabasePtr& db, int fd, int life) {
    Lines lines(fd);
    std::string line;
    if (!lines.next(line)) return;
    std::string rest = line;
    if (word(rest) != "CONNECT") return;
    const std::string service = word(rest), who = word(rest), id = rest;
    if (service != name || (!id.empty() && id != db->id)) {
      send_all(fd, "STMTERR WRONGNODE " + db->id + "\r\n");
      return;
    }
    {
      std::lock_guard lock(mutex);
      if (int(db->connections.size()) > limit_) {
        send_all(fd, "STMTERR CONNLIMIT " + db->id + "\r\n");
        return;
      }
    }
    send_all(fd, "IDLE I " + place_of(*db) + "\r\n");
    Transaction tx;
    while (lines.next(line)) {
      rest = line;
      const std::string kind = word(rest);
      if (kind != "QUERY") return;
      const std::string query = word(rest);
      if (query != "-" && on_statement) on_statement(*db, query, rest);
      Answer answer = run(db, life, tx, query, rest);
      if (answer.cut || !lives(db, life)) return;
      const char state = !tx.open ? 'I' : tx.failed ? 'E' : 'T';
      if (!send_all(fd, answer.body + "IDLE " + std::string(1, state) + " " + place_of(*db) + "\r\n")) return;
    }
  }

  static Answer error(Transaction& tx, const std::string& text) {
    if (tx.open) tx.failed = true;
    return {"STMTERR " + text + "\r\n"};
  }
  static std::string stamp() {
    static std::atomic<std::uint64_t> last{0};
    return "7.1f3.c.2b." + std::to_string(++last);
  }

  // A slot for the time of the work.
  bool work(const DatabasePtr& db, int life) {
    {
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return !lives(db, life) || db->busy < slots_; });
      if (!lives(db, life)) return false;
      ++db->busy;
    }
    sleep_us(work_us());
    std::lock_guard lock(mutex);
    --db->busy;
    changed.notify_all();
    return lives(db, life);
  }

  std::string info_row(const Database& db) {
    return "DATAROW " + std::string(db.primary ? "primary" : "replica") + " " + std::to_string(db.term) + " " +
           db.place().text() + " " + std::to_string(db.held) + " 0 " + std::to_string(db.busy) + " " +
           std::to_string(db.connections.size()) + "\r\nCOMPLETE -\r\n";
  }

  Answer run(const DatabasePtr& db, int life, Transaction& tx, const std::string& query, std::string text) {
    std::optional<Place> wanted;
    if (text.starts_with("WAITFOR ")) {
      word(text);
      wanted = Place::parse(word(text));
    }
    std::string rest = text;
    const std::string verb = word(rest);
    {
      std::lock_guard lock(mutex);
      if (!lives(db, life)) return {"", true};
      if (wanted && db->place() < *wanted) return error(tx, "LAGGING " + db->id);
      if (verb == "INFO") return {info_row(*db)};
      if (verb == "PAUSE") {
        const std::uint64_t term = std::strtoull(rest.c_str(), nullptr, 10);
        if (!db->primary && term > db->term) db->paused = true, db->held = term;
        record.say("database %s %s, log at %s", db->id.c_str(), text.c_str(), db->place().text().c_str());
        return {info_row(*db)};
      }
      if (verb == "CONTINUE") {
        db->paused = false;
        db->held = 0;
        return {info_row(*db)};
      }
      if (verb == "STEPDOWN") {
        if (db->primary && std::strtoull(rest.c_str(), nullptr, 10) > db->term) step_down(*db);
        return {info_row(*db)};
      }
      if (tx.failed && verb != "ROLLBACK" && verb != "COMMIT") return error(tx, "MALFORMED the transaction has failed");
      if (verb == "ROLLBACK" || (verb == "COMMIT" && tx.failed)) {
        const bool failed = verb == "COMMIT";
        tx = {};
        return failed ? Answer{"STMTERR ABORTED " + db->id + "\r\n"} : Answer{"COMPLETE -\r\n"};
      }
      if (verb == "BEGIN") {
        if (rest.empty() && !db->primary) return error(tx, "READONLY " + db->id);
        tx = {true, !rest.empty(), false, db->term, {}};
        return {"COMPLETE -\r\n"};
      }
      if (verb == "CONFIGURE" || verb == "PREPARE" || verb == "RELEASE" || verb == "RESET") return {"COMPLETE -\r\n"};
    }
    if (verb != "FETCH" && verb != "STORE" && verb != "COMMIT") return error(tx, "MALFORMED not a statement");
    if (!work(db, life)) return {"", true};
    std::unique_lock lock(mutex);
    if (!lives(db, life)) return {"", true};
    const bool lost_lead = tx.open && !tx.read_only && (!db->primary || db->term != tx.term);
    if (lost_lead && !(verb == "COMMIT" && tx.writes.empty())) return error(tx, "READONLY " + db->id);
    if (verb == "FETCH") {
      auto known = db->data.find(rest);
      for (auto& [thing, value] : tx.writes)
        if (thing == rest) return {"DATAROW " + value + "\r\nCOMPLETE " + stamp() + "\r\n"};
      return {(known == db->data.end() ? "" : "DATAROW " + known->second + "\r\n") + "COMPLETE " + stamp() + "\r\n"};
    }
    if (verb == "STORE") {
      if (!db->primary) return error(tx, "READONLY " + db->id);
      const std::string thing = word(rest);
      if (tx.open) {
        tx.writes.emplace_back(thing, rest);
        return {"COMPLETE " + stamp() + "\r\n"};
      }
      return commit(lock, db, life, query, {{thing, rest}});
    }
    auto writes = std::move(tx.writes);
    tx = {};
    if (writes.empty()) return {"COMPLETE " + stamp() + "\r\n"};
    return commit(lock, db, life, query, std::move(writes));
  }

  // Answered once one replica has received it.
  Answer commit(std::unique_lock<std::mutex>& lock, const DatabasePtr& db, int life, const std::string& query,
                std::vector<std::pair<std::string, std::string>> writes) {
    auto entry = std::make_shared<Entry>();
    entry->place = {db->term, db->place().number + 1};
    entry->writes = std::move(writes);
    entry->query = query;
    entry->at_us = now_us();
    db->log.push_back(entry);
    committed_us[query] = entry->at_us;
    const std::size_t index = db->log.size() - 1;
    for (auto& [thing, value] : entry->writes) db->data[thing] = value;
    const Database* by = nullptr;
    changed.wait_for(lock, std::chrono::seconds(20), [&] {
      if (!lives(db, life) || !db->primary || db->log.size() <= index || db->log[index] != entry) return true;
      for (auto& other : databases)
        if (other != db && other->alive && other->log.size() > index && other->log[index] == entry) {
          by = other.get();
          return true;
        }
      return false;
    });
    if (!by) return {"", true};
    const std::string receiver = by->id;
    const Ms back = by->net_us;
    lock.unlock();
    sleep_us(back);
    if (!lives(db, life)) return {"", true};
    record.say("database %s commits %s at %s, received by %s", db->id.c_str(), query.c_str(),
               entry->place.text().c_str(), receiver.c_str());
    return {"COMPLETE " + stamp() + "\r\n"};
  }

  const Ms promote_ms_;
  const int slots_, limit_;
  std::uint64_t promoted_term_ = 0;
};

// --- the platform -------------------------------------------------------------------------------------------------

class Platform {
 public:
  // slow_ms: how long each call takes before it is carried out and answered.
  Platform(Deployment& d, std::vector<Service*> services, std::function<Ms()> slow_ms)
      : services_(std::move(services)), slow_ms_(std::move(slow_ms)) {
    int fd = listen_at(d.platform());
    std::thread([this, fd] {
      for (;;) {
        int c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (c < 0) return;
        std::thread([this, c] {
          serve(c);
          close(c);
        }).detach();
      }
    }).detach();
  }

 private:
  void serve(int fd) {
    std::string in;
    std::size_t head = std::string::npos, length = 0;
    for (;;) {
      char chunk[4096];
      auto n = recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) return;
      in.append(chunk, std::size_t(n));
      head = in.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      auto at = in.find("Content-Length: ");
      length = at == std::string::npos ? 0 : std::size_t(std::atoi(in.c_str() + at + 16));
      if (in.size() >= head + 4 + length) break;
    }
    auto field = [&](const std::string& name) {
      auto at = in.find(name + ": ");
      return at == std::string::npos ? std::string() : in.substr(at + name.size() + 2, in.find("\r\n", at) - at - name.size() - 2);
    };
    Json body = Json::parse(in.substr(head + 4, length), nullptr, false);
    if (!in.starts_with("POST /failovers") || !body.is_object()) {
      send_all(fd, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    const std::string id = body.value("InstanceId", ""), service = body.value("TargetService", "");
    record.say("platform: POST /failovers service=%s database=%s holder=%s fence=%s", service.c_str(), id.c_str(),
               field("X-Pebblespindle-Duty-Holder").c_str(), field("X-Pebblespindle-Fence-Token").c_str());
    sleep_ms(slow_ms_());
    int status = 400;
    for (auto* each : services_)
      if (each->name == service) status = each->promote(id);
    record.say("platform: answers %d to database=%s", status, id.c_str());
    send_all(fd, "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Length: 0\r\n\r\n");
  }
  std::vector<Service*> services_;
  std::function<Ms()> slow_ms_;
};

// --- clients ------------------------------------------------------------------------------------------------------

inline std::string draw_query_id() {
  char text[40];
  snprintf(text, sizeof text, "%08x%08x", unsigned(uniform() * 4294967295.0), unsigned(uniform() * 4294967295.0));
  return text;
}

// One session with a pooler.
class Session {
 public:
  Session(Address at, std::string host, std::string who) : at_(std::move(at)), host_(std::move(host)), who_(std::move(who)) {}
  ~Session() { drop(); }
  bool connected() const { return fd_ >= 0; }
  bool open() {
    drop();
    fd_ = connect_to(at_, 1000);
    if (fd_ < 0) return false;
    lines_ = std::make_unique<Lines>(fd_);
    std::string line;
    if (send_all(fd_, "CONNECT " + host_ + " " + who_ + "\r\n") && lines_->next(line, 2000) && line.starts_with("IDLE"))
      return true;
    drop();
    return false;
  }
  void drop() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  struct Result {
    bool answered = false;  // a whole answer came; else the connection ended or was silent too long
    bool closed = false;    // it ended
    std::string error;      // code; empty: success
    std::vector<std::string> rows;
    char state = 'I';
  };
  Result ask(const std::string& query, const std::string& text, Ms timeout_ms = 5000) {
    Result result;
    if (!send_all(fd_, "QUERY " + query + " " + text + "\r\n")) {
      drop();
      result.closed = true;
      return result;
    }
    const Ms until = now_ms() + timeout_ms;
    std::string line;
    while (lines_->next(line, std::max<Ms>(1, until - now_ms()))) {
      std::string rest = line;
      const std::string kind = word(rest);
      if (kind == "DATAROW") {
        result.rows.push_back(rest);
      } else if (kind == "STMTERR") {
        result.error = word(rest);
      } else if (kind == "IDLE") {
        result.answered = true;
        result.state = rest.empty() ? 'I' : rest[0];
        return result;
      }
    }
    result.closed = now_ms() < until;
    drop();
    return result;
  }

 private:
  Address at_;
  std::string host_, who_;
  int fd_ = -1;
  std::unique_ptr<Lines> lines_;
};

struct Acknowledged {
  std::string query;
  Ms at = 0;
};

}  // namespace lab
