#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdio>
#include <cstdlib>
#include <string>

// Runs every registered test, or only the one whose path is the first argument. Fails if no test
// ran.
int main(int argc, char** argv) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");

  CppUnit::CompilerOutputter outputter(&collector, CppUnit::stdCErr());
  outputter.write();
  return collector.wasSuccessful() && collector.runTests() > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
