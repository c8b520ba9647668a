#include "dispatch/duration_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace parsleyline::dispatch {

class DurationModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DurationModelTest);
  CPPUNIT_TEST(Predict_NothingObserved_IsDeclaredDuration);
  CPPUNIT_TEST(Predict_DeclaredHalfOfActual_LearnsFactor);
  CPPUNIT_TEST(Predict_DeclaredAtRandom_IsMeanDuration);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Predict_NothingObserved_IsDeclaredDuration() {
    CPPUNIT_ASSERT(DurationModel().Predict(Milliseconds(700)) == Duration(Milliseconds(700)));
  }

  void Predict_DeclaredHalfOfActual_LearnsFactor() {
    DurationModel model;
    for (int i = 1; i <= 100; ++i) {
      model.Observe(Milliseconds(10 * i), Milliseconds(20 * i));
    }
    const Duration predicted = model.Predict(Milliseconds(500));
    CPPUNIT_ASSERT(predicted > Milliseconds(900) && predicted < Milliseconds(1100));
  }

  // Guards against treating work as expired because its declared duration is ten times too low.
  void Predict_DeclaredAtRandom_IsMeanDuration() {
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
