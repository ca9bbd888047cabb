// A service of one primary and its replicas, as our pages describe it: a log that goes from the primary to the replicas,
// a commit that is answered once one replica has received it (SyncReplicas 1), INFO, PAUSE, CONTINUE, STEPDOWN, and the
// platform's promote. A replica that has sent DELETE serves on and counts until it ends.
#pragma once
#include <tuple>

#include "rig.h"

namespace rig {

struct Entry {
  int term = 0, number = 0;
  std::string id;
  bool operator==(const Entry&) const = default;
};

class Replicas {
 public:
  struct Database {
    int place = 0;
    std::string host, id;
    bool up = false, primary = false, deaf = false, paused = false, cut_from_core = false, beats = true, draining = false;
    int term = 1, held = 0, count = 0, listener = -1;
    std::vector<Entry> log;
    std::map<int, bool> connections;  // descriptor -> of a controller
  };
  struct Promotion {
    std::string id, holder;
    long fence = 0;
    double at = 0;
    std::set<std::string> kept;
  };

  // handshake_ms: how long a new connection takes. Databases beyond the first `count` start later, see add().
  Replicas(Deployment& deployment, std::string service, int count, double handshake_ms = 0, int later = 0)
      : deployment_(deployment), service_(std::move(service)), handshake_ms_(handshake_ms), first_count_(count) {
    for (int i = 0; i < count + later; ++i) {
      Database one;
      one.place = i;
      one.host = deployment.database_host(i);
      one.id = "i-" + std::to_string(10000001 + i);
      one.primary = i == 0;
      databases_.push_back(one);
    }
  }
  ~Replicas() { stop(); }

  bool start() {
    for (int i = 0; i < first_count_; ++i)
      if (!listen(databases_[std::size_t(i)])) return false;
    for (std::size_t i = 0; i < databases_.size(); ++i) threads_.emplace_back([this, i] { beat(i); });
    threads_.emplace_back([this] { replicate(); });
    platform_ = listen_at(deployment_.platform_host(), kPlatformPort);
    if (platform_ < 0) return false;
    threads_.emplace_back([this] { run_platform(); });
    return true;
  }
  void stop() {
    if (stopping_.exchange(true)) return;
    for (auto& thread : threads_) thread.join();
    for (;;) {
      std::vector<std::thread> serving;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        serving.swap(serving_);
      }
      if (serving.empty()) break;
      for (auto& thread : serving) thread.join();
    }
    for (auto& one : databases_)
      if (one.listener >= 0) ::close(one.listener);
    if (platform_ >= 0) ::close(platform_);
  }
  bool all_registered() const { return registered_ >= first_count_; }
  int registered() const { return registered_; }

  // --- what happens to them

  // A new replica starts, with the log of the primary.
  bool add(int place) {
    std::lock_guard<std::mutex> lock(mutex_);
    Database& one = databases_[std::size_t(place)];
    if (Database* leader = leader_locked()) catch_up(one, *leader);
    return listen(one);
  }
  // Its next heartbeats say `draining`.
  void drain(int place) {
    std::lock_guard<std::mutex> lock(mutex_);
    databases_[std::size_t(place)].draining = true;
  }
  int leader() {
    std::lock_guard<std::mutex> lock(mutex_);
    Database* one = leader_locked();
    return one ? one->place : -1;
  }

  // A planned end of one that never says `draining`: DELETE first; it serves on. True once it is acknowledged.
  bool leave(int place) {
    std::string id;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      databases_[std::size_t(place)].beats = false;
      id = databases_[std::size_t(place)].id;
    }
    for (int step = 0; step < 30; ++step) {
      const int status = http(deployment_.core_host(step % kCores), kControlPort, "DELETE", "/instances/" + id, "").status;
      if (status >= 200 && status < 300) return true;
      sleep_ms(100);
    }
    return false;
  }
  // The links between the core and this database: each connection is reset.
  void cut_from_core(int place, bool cut) {
    std::lock_guard<std::mutex> lock(mutex_);
    Database& one = databases_[std::size_t(place)];
    one.cut_from_core = cut;
    if (!cut) return;
    for (auto& [fd, of_core] : one.connections)
      if (of_core) reset(fd);
  }
  void set_deaf(int place, bool deaf) {
    std::lock_guard<std::mutex> lock(mutex_);
    databases_[std::size_t(place)].deaf = deaf;
  }
  // Its process ends: connections break, new ones are refused.
  void crash(int place) {
    std::lock_guard<std::mutex> lock(mutex_);
    Database& one = databases_[std::size_t(place)];
    one.up = false;
    ::close(one.listener);
    one.listener = -1;
    for (auto& [fd, of_core] : one.connections) reset(fd);
  }
  // It is back, with its log, under a new id; as a replica if another one leads by now.
  void come_back(int place) {
    std::lock_guard<std::mutex> lock(mutex_);
    Database& one = databases_[std::size_t(place)];
    one.id = "i-" + std::to_string(20000001 + place);
    one.count = 0;
    one.paused = false;
    if (Database* leader = leader_locked(); leader && leader != &one && leader->term > one.term) follow(one, *leader);
    listen(one);
    note(one.id + " is back as " + (one.primary ? "primary" : "replica"));
  }
  std::vector<Promotion> promotions() {
    std::lock_guard<std::mutex> lock(mutex_);
    return promotions_;
  }
  // What the databases ran for clients, as they read it: to the record, at the end of a run.
  void record_runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto& line : runs_) keep(line);
  }
  std::string describe() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::string text;
    for (auto& one : databases_)
      if (one.up)
        text += " " + one.id + (one.primary ? " primary" : " replica") + (one.beats ? "" : " (has left)") + " at " +
                position(one) + ";";
    return text;
  }

 private:
  static void reset(int fd) {
    linger hard{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::shutdown(fd, SHUT_RD);  // its thread wakes and closes, which resets
  }
  bool listen(Database& one) {
    one.listener = listen_at(one.host, kDatabasePort);
    one.up = one.listener >= 0;
    if (one.up)
      threads_late([this, place = std::size_t(one.place), fd = one.listener] { accept_all(place, fd); });
    return one.up;
  }
  void threads_late(std::function<void()> work) { serving_.emplace_back(std::move(work)); }

  static std::string position(const Database& one) {
    return one.log.empty() ? "1.0" : std::to_string(one.log.back().term) + "." + std::to_string(one.log.back().number);
  }
  Database* leader_locked() {
    Database* leader = nullptr;
    for (auto& one : databases_)
      if (one.up && one.primary && (!leader || one.term > leader->term)) leader = &one;
    return leader;
  }
  static std::size_t common(const Database& one, const Database& other) {
    // Logs that agree at a place agree before it.
    std::size_t n = std::min(one.log.size(), other.log.size());
    while (n > 0 && !(one.log[n - 1] == other.log[n - 1])) --n;
    return n;
  }
  static void follow(Database& one, const Database& leader) {
    one.primary = false;
    one.term = std::max(one.term, leader.term);
    one.log.resize(common(one, leader));
  }
  static bool receives(const Database& replica, const Database& source) {
    return replica.up && !replica.primary && !replica.deaf && !replica.paused && replica.term <= source.term;
  }
  static void catch_up(Database& replica, const Database& source) {
    replica.log.resize(common(replica, source));
    replica.log.insert(replica.log.end(), source.log.begin() + std::ptrdiff_t(replica.log.size()), source.log.end());
    replica.term = source.term;
  }
  void replicate() {
    while (!stopping_) {
      {
        std::lock_guard<std::mutex> lock(mutex_);
        for (auto& source : databases_)
          if (source.up && source.primary)
            for (auto& replica : databases_)
              if (&replica != &source && receives(replica, source)) catch_up(replica, source);
      }
      sleep_ms(2);
    }
  }
  // Returns once a replica has received it; false if this database ends or loses the lead before that.
  bool commit(std::size_t place, const std::string& id, const std::string& instance) {
    Entry entry;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      Database& one = databases_[place];
      if (!one.up || !one.primary || one.id != instance) return false;
      entry = {one.term, one.log.empty() ? 1 : one.log.back().number + 1, id};
      one.log.push_back(entry);
    }
    while (!stopping_) {
      sleep_ms(2);
      std::lock_guard<std::mutex> lock(mutex_);
      Database& one = databases_[place];
      if (!one.up || !one.primary || one.id != instance) return false;
      for (auto& replica : databases_)
        if (&replica != &one && replica.up && !replica.primary && replica.term <= one.term)
          for (auto it = replica.log.rbegin(); it != replica.log.rend() && it->number >= entry.number; ++it)
            if (*it == entry) return true;
    }
    return false;
  }

  void beat(std::size_t place) {
    bool known = false;
    while (!stopping_) {
      std::string body, id;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        Database& one = databases_[place];
        if (one.up && one.beats) {
          id = one.id;
          body = "{\"TargetService\":\"" + service_ + "\",\"Address\":\"" + one.host + ":" + std::to_string(kDatabasePort) +
                 "\",\"Zone\":\"" + Deployment::zone(one.place) +
                 "\",\"Revision\":\"v1\",\"Capacity\":7,\"State\":\"" +
                 (one.draining ? "draining" : "available") + "\",\"WarmupRemainingMs\":0,\"DatabaseRole\":\"" +
                 (one.primary ? "primary" : "replica") + "\",\"CallCount\":" + std::to_string(++one.count) + "}";
        }
      }
      for (int step = 0; step < kCores && !body.empty(); ++step) {
        const int status =
            http(deployment_.core_host((int(place) + step) % kCores), kControlPort, "PUT", "/instances/" + id, body).status;
        if (status < 200 || status > 299) continue;
        if (!known) ++registered_;
        known = true;
        break;
      }
      const auto state = told(place);  // a change is told at once
      for (int step = 0; step < 60 && !stopping_ && state == told(place); ++step) sleep_ms(20);
    }
  }
  std::tuple<bool, bool, bool> told(std::size_t place) {
    std::lock_guard<std::mutex> lock(mutex_);
    const Database& one = databases_[place];
    return {one.up && one.beats, one.primary, one.draining};
  }

  void accept_all(std::size_t place, int listener) {
    while (!stopping_) {
      pollfd wait{listener, POLLIN, 0};
      if (::poll(&wait, 1, 20) < 0) return;
      std::lock_guard<std::mutex> lock(mutex_);
      if (databases_[place].listener != listener) return;
      if (!(wait.revents & POLLIN)) continue;
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      databases_[place].connections[fd] = false;
      serving_.emplace_back([this, place, fd] {
        Lines connection(::dup(fd));
        serve(place, fd, connection);
        connection.close();
        std::lock_guard<std::mutex> relock(mutex_);
        databases_[place].connections.erase(fd);
        ::close(fd);
      });
    }
  }

  void serve(std::size_t place, int fd, Lines& connection) {
    std::string line, instance;
    int got = 0;
    while (!stopping_ && (got = connection.read(line, 20)) == 0) {
    }
    if (got != 1 || line.rfind("CONNECT ", 0) != 0) return;
    {
      const auto words = split(line);
      std::lock_guard<std::mutex> lock(mutex_);
      Database& one = databases_[place];
      if (words.size() < 3 || words[1] != service_ || (words.size() > 3 && words[3] != one.id)) {
        connection.send("STMTERR WRONGNODE " + one.id + "\r\n");
        return;
      }
      const bool of_core = words[2] == "controller";
      one.connections[fd] = of_core;
      if (of_core && one.cut_from_core) return reset(fd);
      instance = one.id;
    }
    sleep_ms(handshake_ms_);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!databases_[place].up || databases_[place].id != instance) return;
      connection.send("IDLE I " + position(databases_[place]) + "\r\n");
    }
    char state = 'I';
    std::vector<std::string> writes;
    while (!stopping_) {
      got = connection.read(line, 20);
      if (got == 0) {
        std::lock_guard<std::mutex> lock(mutex_);
        if (!databases_[place].up || databases_[place].id != instance) return;
        continue;
      }
      if (got < 0 || line == "CLOSE" || line.rfind("QUERY ", 0) != 0) return;
      const auto blank = line.find(' ', 6);
      if (blank == std::string::npos) return;
      const std::string answer = run(place, instance, line.substr(6, blank - 6), line.substr(blank + 1), state, writes);
      if (answer.empty()) return;
      std::lock_guard<std::mutex> lock(mutex_);
      Database& one = databases_[place];
      if (!one.up || one.id != instance) return;
      connection.send(answer + "IDLE " + state + " " + position(one) + "\r\n");
    }
  }
  static std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> words;
    for (std::size_t at = 0; at < text.size();) {
      auto end = std::min(text.find(' ', at), text.size());
      if (end > at) words.push_back(text.substr(at, end - at));
      at = end + 1;
    }
    return words;
  }

  // The lines before IDLE; "": the connection ends without an answer.
  std::string run(std::size_t place, const std::string& instance, const std::string& id, const std::string& text,
                  char& state, std::vector<std::string>& writes) {
    auto words = split(text);
    const std::string done = "COMPLETE " + instance + "." + id + "\r\n";
    bool writes_now = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      Database& one = databases_[place];
      if (!one.up || one.id != instance) return "";
      if (words.size() > 2 && words[0] == "WAITFOR") {
        int term = 0, number = 0;
        std::sscanf(words[1].c_str(), "%d.%d", &term, &number);
        const int own_term = one.log.empty() ? 1 : one.log.back().term, own = one.log.empty() ? 0 : one.log.back().number;
        if (std::pair(own_term, own) < std::pair(term, number)) return "STMTERR LAGGING later\r\n";
        words.erase(words.begin(), words.begin() + 2);
      }
      if (words.empty()) return "STMTERR MALFORMED empty\r\n";
      const std::string& verb = words[0];
      if (id != "-") runs_.push_back("run at " + std::to_string(now_ms()) + " ms by " + instance + ": " + id + " " + text);
      if (id == "-") {
        if (verb == "BEGIN") {
          if (words.size() == 1 && !one.primary) return "STMTERR READONLY " + instance + "\r\n";
          state = 'T', writes.clear();
        } else if (verb == "ROLLBACK") {
          state = 'I', writes.clear();
        } else if (verb == "PAUSE" && words.size() > 1) {
          const int term = std::atoi(words[1].c_str());
          if (!one.primary && term > one.term) one.paused = true, one.held = term;
        } else if (verb == "CONTINUE") {
          one.paused = false, one.held = 0;
        } else if (verb == "STEPDOWN" && words.size() > 1) {
          const int term = std::atoi(words[1].c_str());
          if (one.primary && one.term < term) {
            one.primary = false, one.term = term;
            if (Database* leader = leader_locked()) follow(one, *leader);
          }
        }
        if (verb == "INFO" || verb == "PAUSE" || verb == "CONTINUE" || verb == "STEPDOWN") {
          note(instance + " gets " + text + " and is " + (one.primary ? "primary" : "replica") + " at " + position(one));
          return std::string("DATAROW ") + (one.primary ? "primary " : "replica ") + std::to_string(one.term) + " " +
                 position(one) + " " + std::to_string(one.held) + " 0 0 " + std::to_string(one.connections.size()) +
                 "\r\nCOMPLETE -\r\n";
        }
        return "COMPLETE -\r\n";
      }
      if (verb == "FETCH") return "DATAROW x\r\n" + done;
      if (verb != "STORE" && verb != "COMMIT") return "STMTERR MALFORMED not a statement\r\n";
      if (verb == "STORE") {
        if (!one.primary) return "STMTERR READONLY " + instance + "\r\n";
        writes.push_back(id);
        if (state == 'T') return done;
      }
      writes_now = !writes.empty();
      state = 'I';
    }
    if (writes_now) {
      writes.clear();
      if (!commit(place, id, instance)) return "";  // it ended, or lost the lead: no one can tell
    }
    return done;
  }

  // --- the platform

  void run_platform() {
    while (!stopping_) {
      pollfd wait{platform_, POLLIN, 0};
      if (::poll(&wait, 1, 20) != 1) continue;
      const int fd = ::accept4(platform_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      Lines connection(fd);
      std::string line, holder, body;
      long fence = 0;
      std::size_t length = 0;
      while (connection.read(line, 1000) == 1 && !line.empty()) {
        std::string name = line.substr(0, line.find(':'));
        for (auto& c : name) c = char(std::tolower(static_cast<unsigned char>(c)));
        const std::string value = line.find(": ") == std::string::npos ? "" : line.substr(line.find(": ") + 2);
        if (name == "content-length") length = std::size_t(std::atol(value.c_str()));
        if (name == "x-pebblespindle-duty-holder") holder = value;
        if (name == "x-pebblespindle-fence-token") fence = std::atol(value.c_str());
      }
      body = connection.read_bytes(length, 1000);
      const auto at = body.find("\"InstanceId\":\"");
      const std::string id = at == std::string::npos ? "" : body.substr(at + 14, body.find('"', at + 14) - at - 14);
      note("platform: POST /failovers " + id + " by " + holder + " with fence " + std::to_string(fence));
      sleep_ms(kPromoteMs);
      connection.send("HTTP/1.1 " + std::string(promote(id, holder, fence) ? "200 OK" : "409 Conflict") +
                      "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
  }
  bool promote(const std::string& id, const std::string& holder, long fence) {
    std::lock_guard<std::mutex> lock(mutex_);
    Database* chosen = nullptr;
    int newest = 1;
    for (auto& one : databases_) {
      newest = std::max(newest, one.term);
      if (one.up && one.id == id) chosen = &one;
    }
    if (!chosen) return false;
    if (chosen == leader_locked()) return true;
    chosen->primary = true;
    chosen->term = newest + 1;
    chosen->paused = false;
    Promotion promotion{id, holder, fence, now_ms(), {}};
    for (auto& entry : chosen->log) promotion.kept.insert(entry.id);
    promotions_.push_back(promotion);
    note("platform: " + id + " leads term " + std::to_string(chosen->term) + " from " + position(*chosen));
    for (auto& other : databases_)
      if (&other != chosen && other.up && !other.primary && !other.deaf) follow(other, *chosen);
    return true;
  }

  static constexpr double kPromoteMs = 300;
  Deployment& deployment_;
  const std::string service_;
  const double handshake_ms_;
  const int first_count_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> registered_{0};
  int platform_ = -1;
  std::mutex mutex_;
  std::vector<std::thread> threads_, serving_;
  std::vector<Database> databases_;
  std::vector<Promotion> promotions_;
  std::vector<std::string> runs_;
};

}  // namespace rig
