#include "manifest/pollbudget.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <limits>
#include <vector>

using namespace magnolia;
using namespace magnolia::manifest;

namespace
{

struct IntervalCase {
    std::size_t daemons = 0;
    PollBudget budget;
    std::int64_t milliseconds = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PollBudgetTest)

BOOST_AUTO_TEST_CASE(pollInterval_byNumberOfDaemons_keepsTheBudgetAndItsLimits)
{
    const PollBudget usual;
    const PollBudget quick{.readsPerSecond = 170, .least = Duration(1000), .most = Duration(300)};
    const PollBudget none{.readsPerSecond = 0, .least = Duration(1000), .most = Duration(10000)};
    const std::vector<IntervalCase> cases = {
        {.daemons = 0, .budget = usual, .milliseconds = 10000}, // Not known.
        {.daemons = 1, .budget = usual, .milliseconds = 1000},
        {.daemons = 30, .budget = usual, .milliseconds = 1000},
        {.daemons = 170, .budget = usual, .milliseconds = 1000},
        {.daemons = 171, .budget = usual, .milliseconds = 1005},
        {.daemons = 850, .budget = usual, .milliseconds = 5000},
        {.daemons = 1699, .budget = usual, .milliseconds = 9994},
        {.daemons = 1720, .budget = usual, .milliseconds = 10000},
        {.daemons = std::numeric_limits<std::size_t>::max(), .budget = usual, .milliseconds = 10000},
        {.daemons = 1, .budget = quick, .milliseconds = 300}, // The setting goes before the floor.
        {.daemons = 3, .budget = none, .milliseconds = 3000}, // One read a second at least.
    };
    for (const IntervalCase &entry : cases) {
        BOOST_TEST_CONTEXT("daemons " << entry.daemons << ", at most " << entry.budget.most.count() << " ms")
        {
            BOOST_TEST(pollIntervalFor(entry.daemons, entry.budget).count() == entry.milliseconds);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
