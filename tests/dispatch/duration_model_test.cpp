#include "dispatch/duration_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace parsleyline::dispatch {

class DurationModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DurationModelTest);
  CPPUNIT_TEST(Predict_NothingObserved_IsTheDeclaredTime);
  CPPUNIT_TEST(Predict_DeclaredTimesHalf_LearnsTheFactor);
  CPPUNIT_TEST(Predict_DeclaredTimesSayNothing_IsTheUsualTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Predict_NothingObserved_IsTheDeclaredTime() {
    CPPUNIT_ASSERT(DurationModel().Predict(Milliseconds(700)) == Duration(Milliseconds(700)));
  }

  void Predict_DeclaredTimesHalf_LearnsTheFactor() {
    DurationModel model;
    for (int i = 1; i <= 100; ++i) {
      model.Observe(Milliseconds(10 * i), Milliseconds(20 * i));
    }
    const Duration predicted = model.Predict(Milliseconds(500));
    CPPUNIT_ASSERT(predicted > Milliseconds(900) && predicted < Milliseconds(1100));
  }

  // Guards against work that counts as lost because its declared time is ten times too low.
  void Predict_DeclaredTimesSayNothing_IsTheUsualTime() {
    DurationModel model;
    std::mt19937 random(3);
    std::uniform_real_distribution<double> error(0.1, 1.9);
    for (int i = 0; i < 200; ++i) {
      model.Observe(Milliseconds(std::lround(4000 * error(random))), Milliseconds(4000));
    }
    const Duration predicted = model.Predict(Milliseconds(400));
    CPPUNIT_ASSERT(predicted > Milliseconds(3000) && predicted < Milliseconds(5000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DurationModelTest);

}  // namespace parsleyline::dispatch
