// The lease on the failover duty: granted by a majority of cores, with a token that rises with each holder.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "keel/schema.h"

namespace pebblespindle::duty {

class Lease {
 public:
  struct Out {
    std::function<void(const std::string& to, const Json&)> send;
    std::function<bool(std::uint64_t token, const std::string& holder)> persist;
  };
  Lease(std::string self, std::vector<std::string> cores, std::uint64_t token, std::string holder, Millis now,
        Out out)
      : self_(std::move(self)),
        cores_(std::move(cores)),
        out_(std::move(out)),
        born_(now),
        token_(token),
        holder_(std::move(holder)) {}

  // Called often; a core that wants the duty asks and renews, others only grant.
  void tick(Millis now, bool wants);
  void receive(Millis now, const std::string& from, const Json& m);
  bool holds(Millis now) const { return now < held_until_; }
  std::uint64_t token() const { return mine_; }
  const std::string& holder() const { return holder_; }

 private:
  void on_ask(Millis now, const std::string& from, std::uint64_t token, Millis at);
  void on_reply(Millis now, const std::string& from, const Json& m);
  std::string self_;
  std::vector<std::string> cores_;
  Out out_;
  Millis born_;
  std::uint64_t token_ = 0;  // newest granted here; durable
  std::string holder_;
  Millis granted_until_ = 0;
  std::uint64_t mine_ = 0;  // the token this core asks with
  Millis held_until_ = 0, next_ask_ = 0;
  std::map<std::string, Millis> grants_;
};

}  // namespace pebblespindle::duty
