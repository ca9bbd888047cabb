// A service of one primary and two replicas, on the wire of our pages: a line ends with CR LF, and the last field
// extends to that end. Replicas have what the primary has committed at once. Nothing here ever fails.
#pragma once
#include "rig.h"

namespace rig {

struct Run {
  std::string database, id, text;  // a client's statement, as a database read it
  double at = 0;
};

class Databases {
 public:
  Databases(Deployment& deployment, std::string service) : deployment_(deployment), service_(std::move(service)) {}
  ~Databases() { stop(); }

  bool start() {
    for (int i = 0; i < 3; ++i) {
      const int fd = listen_at(deployment_.database_host(i), kDatabasePort);
      if (fd < 0) return false;
      threads_.emplace_back([this, i, fd] { accept_all(i, fd); });
      threads_.emplace_back([this, i] { beat(i); });
    }
    return true;
  }
  std::string heartbeat(int i, int count) const {
    return "{\"TargetService\":\"" + service_ + "\",\"Address\":\"" + deployment_.database_host(i) + ":" +
           std::to_string(kDatabasePort) + "\",\"Zone\":\"" + Deployment::zone(i) +
           "\",\"Revision\":\"v1\",\"Capacity\":7,\"State\":\"available\",\"WarmupRemainingMs\":0,\"DatabaseRole\":\"" +
           (i == 0 ? "primary" : "replica") + "\",\"CallCount\":" + std::to_string(count) + "}";
  }
  static std::string id_of(int i) { return "i-000000" + std::to_string(10 + i); }
  void stop() {
    if (stopping_.exchange(true)) return;
    for (auto& thread : threads_) thread.join();
    std::vector<std::thread> serving;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      serving.swap(serving_);
    }
    for (auto& thread : serving) thread.join();
  }
  std::vector<Run> runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }
  bool all_registered() const { return registered_ == 3; }

 private:
  void beat(int i) {
    bool known = false;
    for (int count = 1; !stopping_; ++count) {
      const std::string body = heartbeat(i, count);
      for (int step = 0; step < kCores; ++step) {
        const int status = http(deployment_.core_host((i + step) % kCores), kControlPort, "PUT",
                                "/instances/" + id_of(i), body)
                               .status;
        if (status < 200 || status > 299) continue;
        if (!known) ++registered_;
        known = true;
        break;
      }
      for (int step = 0; step < 12 && !stopping_; ++step) sleep_ms(100);
    }
  }
  void accept_all(int i, int listener) {
    while (!stopping_) {
      pollfd wait{listener, POLLIN, 0};
      if (::poll(&wait, 1, 50) != 1) continue;
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::lock_guard<std::mutex> lock(mutex_);
      serving_.emplace_back([this, i, fd] { serve(i, fd); });
    }
    ::close(listener);
  }
  std::string position() const { return "1." + std::to_string(commits_); }

  void serve(int i, int fd) {
    Lines connection(fd);
    std::string line;
    int got = 0;
    while (!stopping_ && (got = connection.read(line, 50)) == 0) {
    }
    if (got != 1 || line.rfind("CONNECT ", 0) != 0) return;
    const auto words = split(line);
    if (words.size() < 3 || words[1] != service_ || (words.size() > 3 && words[3] != id_of(i))) {
      connection.send("STMTERR WRONGNODE " + id_of(i) + "\r\n");
      return;
    }
    Session session;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      connection.send("IDLE I " + position() + "\r\n");
    }
    while (!stopping_) {
      got = connection.read(line, 50);
      if (got == 0) continue;
      if (got < 0 || line == "CLOSE") return;
      if (line.rfind("QUERY ", 0) != 0) return;
      const auto blank = line.find(' ', 6);
      if (blank == std::string::npos) return;
      const std::string id = line.substr(6, blank - 6), text = line.substr(blank + 1);
      std::lock_guard<std::mutex> lock(mutex_);
      const std::string rows = answer(i, session, id, text);
      connection.send(rows + "IDLE " + session.state + " " + position() + "\r\n");
    }
  }

  struct Session {
    char state = 'I';
    std::map<std::string, std::string> writes;
  };
  static std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> words;
    std::size_t at = 0;
    while (at < text.size()) {
      auto end = std::min(text.find(' ', at), text.size());
      if (end > at) words.push_back(text.substr(at, end - at));
      at = end + 1;
    }
    return words;
  }

  std::string answer(int i, Session& session, const std::string& id, std::string text) {
    if (id != "-") {
      runs_.push_back({id_of(i), id, text, now_ms()});
      note(id_of(i) + " runs: " + id + " " + shown(text));
    }
    auto words = split(text);
    if (words.size() > 2 && words[0] == "WAITFOR") {
      text.erase(0, text.find(' ', 8) + 1);
      words.erase(words.begin(), words.begin() + 2);
    }
    if (words.empty()) return "STMTERR MALFORMED empty\r\n";
    const std::string done = "COMPLETE " + id_of(i) + "." + id + "\r\n";
    if (id == "-") {
      if (words[0] == "INFO" || words[0] == "PAUSE" || words[0] == "CONTINUE" || words[0] == "STEPDOWN")
        return std::string("DATAROW ") + (i == 0 ? "primary" : "replica") + " 1 " + position() + " 0 0 0 1\r\nCOMPLETE -\r\n";
      if (words[0] == "BEGIN") session.state = 'T', session.writes.clear();
      if (words[0] == "ROLLBACK") session.state = 'I', session.writes.clear();
      return "COMPLETE -\r\n";
    }
    if (words[0] == "FETCH" && words.size() > 1) {
      auto kept = data_.find(words[1]);
      return (kept == data_.end() ? std::string() : "DATAROW " + kept->second + "\r\n") + done;
    }
    if (words[0] == "STORE" && words.size() > 1) {
      if (i != 0) return "STMTERR READONLY " + id_of(i) + "\r\n";
      const auto at = text.find(' ', 6);
      session.writes[words[1]] = at == std::string::npos ? std::string() : text.substr(at + 1);
      if (session.state == 'T') return done;
    } else if (words[0] != "COMMIT") {
      return "STMTERR MALFORMED not a statement\r\n";
    }
    session.state = 'I';
    if (!session.writes.empty()) ++commits_;
    for (auto& [thing, value] : session.writes) data_[thing] = value;
    session.writes.clear();
    return done;
  }

  Deployment& deployment_;
  const std::string service_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> registered_{0};
  std::vector<std::thread> threads_, serving_;
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::map<std::string, std::string> data_;
  int commits_ = 0;
};

}  // namespace rig
