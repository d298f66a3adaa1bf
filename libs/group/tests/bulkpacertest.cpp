#include "bulkpacer.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

/** A network interface with a FIFO queue. */
struct Interface {
    void send(std::size_t bytes, BootTime now)
    {
        const auto time = std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / BytesPerSecond));
        idleAt = std::max(idleAt, now) + time;
    }

    static constexpr double BytesPerSecond = 750'000; // 6 Mbit/s
    BootTime idleAt;
};

constexpr std::size_t Agents = 63;
constexpr Duration CoordinatorTimeout{700};

} // namespace

BOOST_AUTO_TEST_SUITE(BulkPacerTest)

// Guards against heartbeats queued behind maps: a map was sent to all agents of a large group at once, and again every 400 ms because no agent could have
// reported it as prepared. The next heartbeat waited behind all of it on the instance's interface, so the agents timed out, each coordinator was replaced, and
// no map was ever changed.
BOOST_AUTO_TEST_CASE(heartbeat_whileAFullMapIsSentToALargeGroup_isDelayedByLessThanAThirdOfTheTimeout)
{
    constexpr std::size_t MapBytes = 8000;
    constexpr std::size_t HeartbeatBytes = 150;
    Interface interface;
    BulkPacer pacer({.bytesPerSecond = Interface::BytesPerSecond / 2});
    std::size_t left = Agents;
    BootTime now(1h);
    BootTime lastSentAt;
    for (; left > 0; now += 10ms) {
        while (left > 0 && pacer.tryConsume(MapBytes, now)) {
            interface.send(MapBytes, now);
            --left;
        }
        lastSentAt = now;
        interface.send(HeartbeatBytes, now);
        BOOST_TEST((interface.idleAt - now < CoordinatorTimeout / 3));
    }
    // The maps are sent in little more than the time that their bytes take at the pacer's rate.
    BOOST_TEST((lastSentAt - BootTime(1h) < 1500ms));
}

BOOST_AUTO_TEST_CASE(bulk_rateUnknown_isNotLimited)
{
    BulkPacer pacer({.bytesPerSecond = 0});
    for (std::size_t agent = 0; agent < Agents; ++agent) {
        BOOST_TEST(pacer.tryConsume(8000, BootTime(1h)));
    }
}

BOOST_AUTO_TEST_CASE(bulk_afterALongPause_isLimitedToOneBurst)
{
    BulkPacer pacer({.bytesPerSecond = 100'000, .burst = 20ms});
    std::size_t sent = 0;
    while (pacer.tryConsume(500, BootTime(1h))) {
        ++sent;
    }
    BOOST_TEST(sent <= 5U); // 2,000 bytes in 20 ms, plus the message that exceeds it.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
