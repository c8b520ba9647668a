#include "base/log_writer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>
#include <utility>

namespace parsleyline {

/// The log of a daemon: complete, bounded under load, and never in the way of who writes to it.
class LogWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogWriterTest);
  CPPUNIT_TEST(Line_Written_HasTimeAndLevel);
  CPPUNIT_TEST(ManyLines_Written_ComeInPiecesOfWholeLines);
  CPPUNIT_TEST(Flood_AboveLimit_IsCutAndCounted);
  CPPUNIT_TEST(Flood_OfUsualLines_LeavesRoomForWarnings);
  CPPUNIT_TEST(Reader_ThatDoesNotRead_BlocksNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe(ends_.data())); }

  void tearDown() override {
    for (const int it : ends_) {
      if (it >= 0) close(it);
    }
  }

  void Line_Written_HasTimeAndLevel() {
    LogWriter(ends_[1]).Write("info", "event=start role=core", false);
    const std::string text = ReadAll();
    CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("time=20"));
    CPPUNIT_ASSERT_MESSAGE(text, text.ends_with("Z level=info event=start role=core\n"));
  }

  // Guards against lines that are torn where another process writes to the same pipe.
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

  // A process that logs each decision of a flood must not fill the disk of who collects the lines.
  void Flood_AboveLimit_IsCutAndCounted() {
    {
      LogWriter writer(ends_[1], Limits());
      for (int i = 0; i < 100; ++i) writer.Write("info", std::string(100, 'x'), false);
      CPPUNIT_ASSERT(writer.left_out() > 90);
      CPPUNIT_ASSERT(writer.left_out() < 100);
    }
    const std::string text = ReadAll();
    CPPUNIT_ASSERT(text.size() < 2000);
    CPPUNIT_ASSERT_MESSAGE(text,
                           text.find("event=log_lines_left_out count=9") != std::string::npos);
  }

  // The lines that explain a failure come while everything else is logged at the limit.
  void Flood_OfUsualLines_LeavesRoomForWarnings() {
    {
      LogWriter writer(ends_[1], Limits());
      for (int i = 0; i < 100; ++i) writer.Write("info", std::string(100, 'x'), false);
      writer.Write("warning", "event=worker_silent", true);
    }
    CPPUNIT_ASSERT(ReadAll().find("event=worker_silent") != std::string::npos);
  }

  // A collector that stops reading used to stop the process at its next line.
  void Reader_ThatDoesNotRead_BlocksNobody() {
    LogLimits limits;
    limits.bytes_per_second = std::size_t{64} << 20U;
    LogWriter writer(ends_[1], limits);
    for (int i = 0; i < 30'000; ++i) writer.Write("info", std::string(100, 'x'), false);
    CPPUNIT_ASSERT(writer.left_out() > 0);
    // The writer ends with an error instead of a signal.
    std::signal(SIGPIPE, SIG_IGN);
    close(std::exchange(ends_[0], -1));
  }

 private:
  static LogLimits Limits() {
    LogLimits limits;
    limits.bytes_per_second = 1000;
    limits.urgent_bytes_per_second = 1500;
    return limits;
  }

  std::string ReadAll() {
    close(ends_[1]);
    ends_[1] = -1;
    std::string text;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = read(ends_[0], buf.data(), buf.size())) > 0;) {
      text.append(buf.data(), static_cast<std::size_t>(n));
    }
    return text;
  }

  std::array<int, 2> ends_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

}  // namespace parsleyline
