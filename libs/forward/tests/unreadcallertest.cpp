#include "silencefixture.h"

#include <cstddef>
#include <string>

namespace magnolia::forward
{

BOOST_FIXTURE_TEST_SUITE(UnreadCallerTest, SilenceFixture)

// Guards against work that goes on since its caller is not read any more, so that nobody sees it leave.
BOOST_AUTO_TEST_CASE(caller_sendsMuchAheadAndLeaves_itsWorkEnds)
{
    constexpr std::size_t MuchAhead = 80U << 10U;
    const RawPeer &endpoint = addEndpoint([](int) -> RawPeer::Answer { return {}; });
    RawCaller &caller = call(streamRequest("r1") + "GET /" + std::string(MuchAhead, 'x'));
    runFor(EventInterval);
    BOOST_REQUIRE(endpoint.requests() == 1);
    BOOST_REQUIRE(endpoint.open() == 1);
    caller.reset();
    runFor(5 * EventInterval);
    BOOST_TEST(endpoint.open() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
