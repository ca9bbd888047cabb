// A client's statement whose data holds a line feed. A message ends with CR LF, so the line feed belongs to the data.
#include "databases.h"

using namespace rig;

namespace {

struct Sent {
  std::string id, text;
};

// One statement; "" where no whole answer came.
std::string ask(Lines& session, std::vector<Sent>& sent, const std::string& id, const std::string& text) {
  sent.push_back({id, text});
  note("client sends one message: QUERY " + id + " " + shown(text) + "\\r\\n");
  session.send("QUERY " + id + " " + text + "\r\n");
  std::string all, line;
  while (session.read(line, 2500) == 1) {
    note("client gets: " + shown(line));
    all += line + "\r\n";
    if (line.rfind("IDLE", 0) == 0) return all;
  }
  note("client gets no whole answer");
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  open_record(argv[2]);
  Deployment deployment(argv[1], 400);
  if (!deployment.usable()) return verdict(false, false, "no free loopback network");
  deployment.start_cores();
  if (!deployment.first_configuration(configuration(1))) return verdict(false, false, "no configuration was taken");
  Databases databases(deployment, "store");
  if (!databases.start()) return verdict(false, false, "the databases could not listen");
  for (int step = 0; step < 100 && !databases.all_registered(); ++step) sleep_ms(100);
  deployment.start_edge(0);
  if (!deployment.edge_ready(0, 15000)) return verdict(false, false, "the pooler did not become ready");
  sleep_ms(1500);

  std::vector<Sent> sent;
  std::string line;
  Lines session(connect_to(deployment.edge_host(0), kFrontPort, 1000));
  session.send("CONNECT primary-store u1\r\n");
  if (session.read(line, 2000) != 1 || line.rfind("IDLE I", 0) != 0)
    return verdict(false, false, "no session was opened: " + shown(line));
  const std::string first = ask(session, sent, "00000000000000a1", "STORE balance 100");
  if (first.find("COMPLETE") == std::string::npos) return verdict(false, false, "an ordinary write was not taken");
  // What a technician typed into a form: two lines of text. The second one looks like a message.
  const std::string join = trouble() ? "\n" : " ";
  ask(session, sent, "00000000000000a2", "STORE note tower 7 inspected" + join + "QUERY 00000000000000ff STORE balance 0");
  sleep_ms(1000);
  session.close();
  Lines other(connect_to(deployment.edge_host(0), kFrontPort, 1000));
  other.send("CONNECT primary-store u2\r\n");
  if (other.read(line, 2000) == 1) {
    ask(other, sent, "00000000000000b1", "FETCH balance");
    ask(other, sent, "00000000000000b2", "FETCH note");
  }
  sleep_ms(500);

  int changed = 0, unasked = 0;
  for (auto& run : databases.runs()) {
    const Sent* asked = nullptr;
    for (auto& one : sent)
      if (one.id == run.id) asked = &one;
    if (!asked) {
      ++unasked;
      note("a database ran a statement that no client sent: " + run.id + " " + shown(run.text));
    } else if (run.text != asked->text && !run.text.ends_with(" " + asked->text)) {
      ++changed;
      note("a database ran a statement whose text was changed: " + run.id + " " + shown(run.text));
    }
  }
  return verdict(true, changed + unasked > 0,
                 "statements that no client sent: " + std::to_string(unasked) +
                     ", statements with changed text: " + std::to_string(changed));
}
