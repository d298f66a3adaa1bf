#include "group/passmodel.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using Milliseconds = PassModel::Milliseconds;

constexpr Milliseconds Base{35};
constexpr double ExpertShare = 0.85;
constexpr Milliseconds Work{25};
constexpr int Samples = 100;

/** A group whose passes have the given work besides a base time of 35 ms. */
struct PassModelFixture {
    static Milliseconds passTime(double load)
    {
        return Base + Work * (1 - ExpertShare + ExpertShare * load);
    }

    PassModel model{{.baseTime = Base, .expertShare = ExpertShare}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PassModelTest, PassModelFixture)

BOOST_AUTO_TEST_CASE(passes_measuredUnderOneLoad_predictsThoseOfAnother)
{
    model.learn(passTime(2.4), 2.4);
    BOOST_TEST(model.predict(2.4).count() == passTime(2.4).count(), boost::test_tools::tolerance(1e-6));
    BOOST_TEST(model.predict(1.1).count() == passTime(1.1).count(), boost::test_tools::tolerance(1e-6));
}

// Guards against changes of map that come too late while requests increase.
BOOST_AUTO_TEST_CASE(requests_more_workIsLearntAtOnce)
{
    model.learn(passTime(1.1), 1.1);
    model.learn(Base + 2 * (passTime(1.1) - Base), 1.1);
    BOOST_TEST(model.predict(2.2).count() == (Base + 2 * (passTime(2.2) - Base)).count(), boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(requests_fewer_workIsLearntAfterAWhile)
{
    model.learn(passTime(1.1), 1.1);
    for (int sample = 0; sample < Samples; ++sample) {
        model.learn(Base + (passTime(1.1) - Base) / 2, 1.1);
    }
    BOOST_TEST(model.predict(2.2).count() == (Base + (passTime(2.2) - Base) / 2).count(), boost::test_tools::tolerance(1e-3));
}

// Guards against a predicted gain of nothing just after a shift: the load is known to have doubled, while the measured passes are still from before.
BOOST_AUTO_TEST_CASE(load_doublesBeforePassesDo_gainIsStillPredicted)
{
    for (int sample = 0; sample < Samples; ++sample) {
        model.learn(passTime(1.1), 1.1);
    }
    model.learn(passTime(1.1), 2.4);
    const Milliseconds gain = model.predict(2.4) - model.predict(1.1);
    BOOST_TEST(gain.count() > 0.9 * (passTime(2.4) - passTime(1.1)).count());
}

BOOST_AUTO_TEST_CASE(pass_shorterThanTheBaseTime_predictsTheBaseTime)
{
    model.learn(Milliseconds(10), 1.5);
    BOOST_TEST(model.predict(3).count() == Base.count());
}

BOOST_AUTO_TEST_CASE(model_withoutConfiguration_isProportionalToTheLoad)
{
    PassModel plain{PassModel::Options{}};
    plain.learn(Milliseconds(60), 1.5);
    BOOST_TEST(plain.predict(3).count() == 120.0, boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
