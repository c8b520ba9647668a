#include "cli/http_transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

#include "http/server.h"

namespace parsleyline::cli {

class HttpTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTransportTest);
  CPPUNIT_TEST(Send_RealServer_AnswersTimesOutOrRefuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a failure that is reported as unsent although the entry got the request.
  void Send_RealServer_AnswersTimesOutOrRefuses() {
    boost::asio::io_context io;
    std::vector<http::ResponseCallback> held;
    http::Server server(io, [&held](http::Request request, http::ResponseCallback respond) {
      if (request.path == "/held") return held.push_back(std::move(respond));
      respond({200, "application/json", request.method + request.body});
    });
    const std::uint16_t port = *server.Listen("127.0.0.1", 0);
    std::thread thread([&io] { io.run(); });
    HttpTransport transport;
    const auto done =
        transport.Send({"127.0.0.1", port}, {"PUT", "/x", {}, "body"}, Milliseconds(20000));
    const auto silent = transport.Send({"127.0.0.1", port}, {"GET", "/held"}, Milliseconds(50));
    io.stop();
    thread.join();
    CPPUNIT_ASSERT(done && done->status == 200 && done->body == "PUTbody");
    CPPUNIT_ASSERT(!silent && silent.error().sent == http::Sent::kMaybe);

    // A listener that is gone leaves a port on which nobody listens.
    boost::asio::io_context other_io;
    auto other = std::make_unique<http::Server>(other_io, [](auto, auto) {});
    const std::uint16_t closed_port = *other->Listen("127.0.0.1", 0);
    other->Shutdown([] {});
    other_io.run();
    other.reset();
    const auto refused =
        transport.Send({"127.0.0.1", closed_port}, {"GET", "/"}, Milliseconds(20000));
    CPPUNIT_ASSERT(!refused && refused.error().sent == http::Sent::kNo);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTransportTest);

}  // namespace parsleyline::cli
