#include "streamingfixture.h"

#include <cstddef>
#include <string>

namespace magnolia::forward
{

BOOST_FIXTURE_TEST_SUITE(UnreadCallerTest, StreamingFixture)

// Guards against work going on for a caller that has disconnected, because the entry no longer reads its connection and does not see the close.
BOOST_AUTO_TEST_CASE(caller_pipelinesManyBytesAndDisconnects_itsRequestIsCancelled)
{
    constexpr std::size_t PipelinedBytes = 80U << 10U;
    const RawPeer &endpoint = addEndpoint([](int) -> RawPeer::Answer { return {}; });
    RawCaller &caller = addCaller(streamRequest("r1") + "GET /" + std::string(PipelinedBytes, 'x'));
    runFor(EventInterval);
    BOOST_REQUIRE(endpoint.requests() == 1);
    BOOST_REQUIRE(endpoint.open() == 1);
    caller.reset();
    runFor(5 * EventInterval);
    BOOST_TEST(endpoint.open() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
