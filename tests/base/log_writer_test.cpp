#include "base/log_writer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>
#include <utility>

namespace parsleyline {

/// Checks that LogWriter writes whole lines, keeps its limits under load and never blocks the
/// threads that log.
class LogWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogWriterTest);
  CPPUNIT_TEST(Line_Written_HasTimeAndLevel);
  CPPUNIT_TEST(ManyLines_Written_ComeInPiecesOfWholeLines);
  CPPUNIT_TEST(Flood_AboveLimit_IsCutAndCounted);
  CPPUNIT_TEST(Flood_OfUsualLines_LeavesRoomForWarnings);
  CPPUNIT_TEST(Reader_ThatDoesNotRead_BlocksNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe(pipe_.data())); }

  void tearDown() override {
    for (const int it : pipe_) {
      if (it >= 0) close(it);
    }
  }

  void Line_Written_HasTimeAndLevel() {
    LogWriter(pipe_[1]).Write("info", "event=start role=core", false);
    const std::string text = ReadAll();
    CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("time=20"));
    CPPUNIT_ASSERT_MESSAGE(text, text.ends_with("Z level=info event=start role=core\n"));
  }

  // Guards against interleaved lines when several processes write to the same pipe: each write must
  // end with a line break and not exceed the 4096 bytes that a pipe takes atomically.
  void ManyLines_Written_ComeInPiecesOfWholeLines() {
    std::array<int, 2> packets{};
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_SEQPACKET, 0, packets.data()));
    {
      LogWriter writer(packets[1]);
      for (int i = 0; i < 200; ++i) writer.Write("info", std::string(100, 'x'), false);
    }
    close(packets[1]);
    std::array<char, 65536> buf{};
    int pieces = 0;
    for (ssize_t n = 0; (n = recv(packets[0], buf.data(), buf.size(), 0)) > 0; ++pieces) {
      CPPUNIT_ASSERT(n <= 4096);
      CPPUNIT_ASSERT_EQUAL('\n', buf.at(static_cast<std::size_t>(n - 1)));
    }
    CPPUNIT_ASSERT(pieces > 1);
    close(packets[0]);
  }

  // Guards against a process that logs each decision under overload and fills the disk of the log
  // collector.
  void Flood_AboveLimit_IsCutAndCounted() {
    {
      LogWriter writer(pipe_[1], Limits());
      for (int i = 0; i < 100; ++i) writer.Write("info", std::string(100, 'x'), false);
      CPPUNIT_ASSERT(writer.dropped_lines() > 90);
      CPPUNIT_ASSERT(writer.dropped_lines() < 100);
    }
    const std::string text = ReadAll();
    CPPUNIT_ASSERT(text.size() < 2000);
    CPPUNIT_ASSERT_MESSAGE(text,
                           text.find("event=log_lines_left_out count=9") != std::string::npos);
  }

  // Guards against dropped warnings, which explain a failure, while other lines use up their limit.
  void Flood_OfUsualLines_LeavesRoomForWarnings() {
    {
      LogWriter writer(pipe_[1], Limits());
      for (int i = 0; i < 100; ++i) writer.Write("info", std::string(100, 'x'), false);
      writer.Write("warning", "event=worker_silent", true);
    }
    CPPUNIT_ASSERT(ReadAll().find("event=worker_silent") != std::string::npos);
  }

  // Guards against a log collector that stops reading and thereby blocks the process at its next
  // line, as an earlier version did.
  void Reader_ThatDoesNotRead_BlocksNobody() {
    LogLimits limits;
    limits.bytes_per_second = std::size_t{64} << 20U;
    LogWriter writer(pipe_[1], limits);
    for (int i = 0; i < 30'000; ++i) writer.Write("info", std::string(100, 'x'), false);
    CPPUNIT_ASSERT(writer.dropped_lines() > 0);
    // The pending write fails with EPIPE instead of raising a signal, so the destructor returns.
    std::signal(SIGPIPE, SIG_IGN);
    close(std::exchange(pipe_[0], -1));
  }

 private:
  static LogLimits Limits() {
    LogLimits limits;
    limits.bytes_per_second = 1000;
    limits.urgent_bytes_per_second = 1500;
    return limits;
  }

  std::string ReadAll() {
    close(pipe_[1]);
    pipe_[1] = -1;
    std::string text;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = read(pipe_[0], buf.data(), buf.size())) > 0;) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }

  std::array<int, 2> pipe_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

}  // namespace parsleyline
