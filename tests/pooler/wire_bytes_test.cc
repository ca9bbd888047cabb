// Bytes of the wire through the pooler: what a client sends reaches its database, and what a database answers
// reaches the client, with equal bytes or not at all. Seeded; PEBBLESPINDLE_FUZZ multiplies the number of
// rounds.
#include "net/constants.h"
#include "net/framing.h"
#include "pooler/input_generator.h"
#include "pooler/manual_databases.h"

namespace pebblespindle::test {
namespace {

const char* const kIdle = "IDLE I 1.2";

// The messages that a peer reads out of these bytes, by the page: CR LF ends each.
std::vector<std::string> messages_in(const std::string& bytes) {
  const FrameDecoder decoder(Framing::kCrLfLines, kMaxMessageBytes);
  std::vector<std::string> messages;
  std::size_t from = 0;
  std::string_view message;
  while (decoder.next(bytes, from, message) == FrameDecoder::Outcome::kItem) messages.emplace_back(message);
  EXPECT_EQ(from, bytes.size()) << "the end of a message is missing";
  return messages;
}

// Databases that read what the engine sends byte by byte.
struct WireDatabases : ManualDatabases {
  WireDatabases() {
    feed();
    lease();
    connect(kSession);
    take_output(kSession);
  }
  void send_to_database(ConnectionId id, std::string bytes) override {
    for (auto& message : messages_in(bytes)) {
      written.push_back(message);
      connections[id].pending.push_back(message);
    }
  }
  // What a client writes, as the reader of its connection delivers it.
  void client_writes(const std::string& bytes) {
    for (auto& message : messages_in(bytes)) engine.on_client_line(kSession, message);
  }
  // What a database writes, likewise.
  bool database_answers(const std::string& statement, const std::string& bytes) {
    return answer_to(statement, messages_in(bytes));
  }
  bool has_written(const std::string& message) const {
    return std::find(written.begin(), written.end(), message) != written.end();
  }
  static constexpr SessionId kSession = 1;
};

// Data that looks like messages, verbs or ends of lines, and random bytes; all but CR LF may stand in a
// field.
std::string any_data(InputGenerator& generator) {
  static const char* const kHard[] = {"tower 7\nQUERY ff STORE balance 0",
                                      "x\rIDLE I 9.9",
                                      "\n",
                                      "\r",
                                      "RESET",
                                      "x BEGIN",
                                      "BEGIN FETCH",
                                      "WAITFOR 1.1 BEGIN",
                                      "  two  blanks  "};
  std::string data = generator.pick(3) ? generator.random(80) : kHard[generator.pick(int(std::size(kHard)))];
  for (std::size_t at; (at = data.find("\r\n")) != std::string::npos;) data.erase(at, 1);
  return data.empty() ? "x" : data;
}

// Guards against statements that a database runs though no client sent them: a field's bytes became a
// message.
TEST(PoolerWire, AStatementReachesItsDatabaseWithEqualBytes) {
  for (int round = 0; round < fuzz_rounds(300); ++round) {
    InputGenerator generator{std::uint32_t(round)};
    WireDatabases databases;
    const std::string data = any_data(generator);
    databases.client_writes("QUERY q1 STORE k " + data + "\r\n");
    ASSERT_TRUE(databases.database_answers("q1", std::string("COMPLETE s\r\n") + kIdle + "\r\n")) << round;
    EXPECT_TRUE(databases.has_written("QUERY q1 STORE k " + data)) << round;
    databases.client_writes("QUERY q2 PREPARE n STORE " + data + "\r\nQUERY q3 EXECUTE n k " + data + "\r\n");
    ASSERT_TRUE(databases.database_answers("q3", std::string("COMPLETE s\r\n") + kIdle + "\r\n")) << round;
    EXPECT_TRUE(databases.has_written("QUERY - PREPARE p1 STORE " + data)) << round;
    EXPECT_TRUE(databases.has_written("QUERY q3 EXECUTE p1 k " + data)) << round;
    databases.client_writes("QUERY q4 CONFIGURE v " + data + "\r\nQUERY q5 STORE k x\r\n");
    ASSERT_TRUE(databases.database_answers("q5", std::string("COMPLETE s\r\n") + kIdle + "\r\n")) << round;
    EXPECT_TRUE(databases.has_written("QUERY - CONFIGURE v " + data)) << round;
    for (auto& message : databases.written)
      EXPECT_TRUE(message.starts_with("CONNECT s ") || message.starts_with("QUERY q1 ") ||
                  message.starts_with("QUERY q3 ") || message.starts_with("QUERY q5 ") ||
                  message.starts_with("QUERY - "))
          << round << ": " << message;
  }
}

// Guards against a statement that fails on each try: a value that ended in BEGIN passed for a BEGIN, and the
// connection was dropped since no transaction was open after it.
TEST(PoolerWire, AValueOrAShapeThatEndsInAVerbIsNoStatement) {
  for (const char* data : {"x BEGIN", "BEGIN FETCH", "WAITFOR 1.1 BEGIN", "RESET"}) {
    WireDatabases databases;
    databases.client_writes(std::string("QUERY q1 CONFIGURE v ") + data + "\r\nQUERY q2 PREPARE n STORE " +
                            data + "\r\nQUERY q3 EXECUTE n k\r\n");
    EXPECT_TRUE(databases.database_answers("q3", std::string("COMPLETE s\r\n") + kIdle + "\r\n")) << data;
    EXPECT_EQ(databases.connections.size(), 1u) << data << ": the first connection was dropped";
  }
}

// Guards against rows that are read as several lines of an answer.
TEST(PoolerWire, ARowReachesItsClientWithEqualBytes) {
  for (int round = 0; round < fuzz_rounds(300); ++round) {
    InputGenerator generator{std::uint32_t(1000 + round)};
    WireDatabases databases;
    const std::string data = any_data(generator);
    databases.client_writes("QUERY q1 FETCH k\r\n");
    ASSERT_TRUE(databases.database_answers(
        "q1", "DATAROW " + data + "\r\nDATAROW \r\nCOMPLETE s\r\n" + kIdle + "\r\n"))
        << round;
    EXPECT_EQ(databases.take_output(WireDatabases::kSession),
              "DATAROW " + data + "\r\nDATAROW \r\nCOMPLETE s\r\nIDLE I -\r\n")
        << round;
  }
}

// A message over the limit is refused by name. Behind a statement at work the refusal would be that
// statement's answer.
TEST(PoolerWire, AMessageThatIsTooLongIsRefusedAndEndsTheSession) {
  ManualDatabases databases;
  databases.feed();
  databases.lease();
  databases.engine.on_client_connected(1);
  databases.engine.on_client_line_too_long(1);
  EXPECT_EQ(databases.take_output(1), "STMTERR MALFORMED a message holds at most 1 MiB\r\n");
  databases.connect(2);
  databases.take_output(2);
  databases.engine.on_client_line_too_long(2);
  EXPECT_EQ(databases.take_output(2), "STMTERR MALFORMED a message holds at most 1 MiB\r\nIDLE I -\r\n");
  databases.connect(3);
  databases.take_output(3);
  databases.send_line(3, "QUERY q1 STORE k v");
  databases.engine.on_client_line_too_long(3);
  EXPECT_EQ(databases.take_output(3), "");
  EXPECT_EQ(databases.ended, (std::set<SessionId>{1, 2, 3}));
}

}  // namespace
}  // namespace pebblespindle::test
