// Ends of a connection, over real sockets on loopback.
#include "net/line_connection.h"

#include <gtest/gtest.h>

#include <thread>

#include "net/constants.h"

namespace pebblespindle {
namespace {

using asio::ip::tcp;

struct LineConnectionEnd : testing::Test {
  LineConnectionEnd() {
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    client.connect(acceptor.local_endpoint());
    connection = std::make_shared<LineConnection>(acceptor.accept(), Framing::kCrLfLines, kMaxMessageBytes);
    connection->start({[this](std::string_view line) { lines.emplace_back(line); },
                       [this](LineConnection::End why) {
                         ++ends;
                         if (on_end) on_end(why);
                       },
                       {}});
  }
  void run(Millis ms) {
    io.restart();
    io.run_for(std::chrono::milliseconds(ms));
  }
  // All that the client can still read; `reset` when the connection was broken instead of ended.
  std::size_t drain(bool& reset) {
    client.non_blocking(true);
    std::size_t total = 0;
    std::array<char, 65536> chunk{};
    for (int turn = 0; turn < 2000; ++turn) {
      asio::error_code ec;
      total += client.read_some(asio::buffer(chunk), ec);
      reset = ec == asio::error::connection_reset;
      if (reset || ec == asio::error::eof) break;
      run(1);
    }
    return total;
  }
  asio::io_context io;
  tcp::socket client{io};
  LineConnection::Ptr connection;
  std::vector<std::string> lines;
  int ends = 0;
  std::function<void(LineConnection::End)> on_end;  // of the test
};

// Guards against a statement smuggled inside the data of another one, over a real socket.
TEST_F(LineConnectionEnd, ALineFeedInAMessageIsData) {
  const std::string message = "QUERY a2 STORE note tower 7 inspected\nQUERY ff STORE balance 0";
  asio::write(client, asio::buffer(message + "\r\nQUERY a3 FETCH k\r\n"));
  run(20);
  EXPECT_EQ(lines, (std::vector<std::string>{message, "QUERY a3 FETCH k"}));
}

// Guards against a message over the limit that is cut off without a word: the connection was closed before
// its owner could answer.
TEST_F(LineConnectionEnd, AMessageThatIsTooLongIsAnsweredBeforeTheEnd) {
  const std::string answer = "STMTERR MALFORMED a message holds at most 1 MiB\r\n";
  on_end = [&](LineConnection::End why) {
    EXPECT_EQ(why, LineConnection::End::kTooLong);
    connection->send(answer);
  };
  client.non_blocking(true);
  const std::string message(2 * kMaxMessageBytes, 'x');
  for (std::size_t sent = 0; sent < message.size() && ends == 0; run(1)) {
    asio::error_code full;
    sent += client.write_some(asio::buffer(message.data() + sent, message.size() - sent), full);
  }
  bool reset = false;
  EXPECT_EQ(drain(reset), answer.size());
  EXPECT_FALSE(reset);
  EXPECT_TRUE(lines.empty());
  run(kLingerMs);
  EXPECT_FALSE(connection->open());
  EXPECT_EQ(ends, 1);
}

constexpr std::size_t kAnswerBytes = 8 << 20;  // more than the kernel takes at once

// Guards against an answer lost to a reset: its client had sent on, and the connection was closed unread.
TEST_F(LineConnectionEnd, AnAnswerIsReadWholeThoughItsClientSendsOn) {
  connection->send(std::string(kAnswerBytes, 'x'));
  connection->close_lingering();
  run(5);
  for (int i = 0; i < 100; ++i) asio::write(client, asio::buffer(std::string("QUERY late FETCH k\r\n")));
  bool reset = false;
  EXPECT_EQ(drain(reset), kAnswerBytes);
  EXPECT_FALSE(reset);
  EXPECT_TRUE(lines.empty()) << "what comes after the end is not read";
  client.close();
  run(kLingerMs + 20);
  EXPECT_FALSE(connection->open());
  EXPECT_EQ(ends, 1);
}

TEST_F(LineConnectionEnd, APeerThatNeverEndsIsWaitedForOnlySoLong) {
  connection->close_lingering();
  run(kLingerMs / 2);
  EXPECT_TRUE(connection->open());
  run(kLingerMs);
  EXPECT_FALSE(connection->open());
  EXPECT_EQ(ends, 1);
}

// Guards against a process that crashes as it ends: the client had closed already, and the owner of the
// connection was called back while it was ending it.
TEST_F(LineConnectionEnd, AnEndIsToldOfLaterAndNotFromWithinTheCall) {
  client.close();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  connection->close_lingering();
  EXPECT_EQ(ends, 0);
  run(20);
  EXPECT_EQ(ends, 1);
  EXPECT_FALSE(connection->open());
}

TEST_F(LineConnectionEnd, APausedConnectionEndsToo) {
  connection->pause(true);
  connection->close_lingering();
  client.close();
  run(20);
  EXPECT_FALSE(connection->open());
}

}  // namespace
}  // namespace pebblespindle
