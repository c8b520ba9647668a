#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/cell/cell.h"
#include "tests/cell/load_oracle.h"

namespace parsleyline::cell {

/// Connections to workers that go silent. A program of its own while it is listed in KNOWN-RED.txt.
class SilenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilenceTest);
  CPPUNIT_TEST(Worker_ConnectionsGoSilent_RequestsAreResolved);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { cell_ = std::make_unique<Cell>(); }
  void tearDown() override { cell_.reset(); }

  // Guards against requests that hang, or run again, when established connections to a worker stop
  // carrying bytes while new ones work.
  void Worker_ConnectionsGoSilent_RequestsAreResolved() {
    constexpr std::chrono::seconds kLongestWait{5};
    cell_->Start();
    const std::vector<Sent> sent = RunLoad([this] {
      for (const std::uint16_t worker : cell_->worker_ports("suva")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        cell_->Call(worker, "POST", "/control", {{"silent", "existing"}});
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    });
    for (const Sent& it : sent) {
      CPPUNIT_ASSERT(it.ended - it.started < kLongestWait);
      // A gang that is not idempotent fails, and says so, if one of its tasks could not be started
      // while others ran. Everything else is done.
      const bool may_fail = it.kind == "gang" && !it.idempotent && it.error == "task_failed";
      CPPUNIT_ASSERT_MESSAGE(it.value + " " + it.kind + " " + it.outcome + " " + it.error,
                             it.outcome == "done" || may_fail);
    }
  }

 private:
  template <typename Faults>
  std::vector<Sent> RunLoad(Faults faults) {
    Load load(*cell_, 12, 7);
    load.Start();
    faults();
    const std::vector<Sent> sent = load.Finish();
    std::cout << " " << Summary(sent) << std::flush;
    std::string report;
    for (const std::string& line : FindViolations(*cell_, sent)) report += line + "\n";
    CPPUNIT_ASSERT_EQUAL(std::string(), report);
    return sent;
  }

  std::unique_ptr<Cell> cell_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilenceTest);

}  // namespace parsleyline::cell
