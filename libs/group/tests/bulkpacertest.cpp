#include "bulkpacer.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

/** A network interface that sends in the order of arrival. */
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
constexpr Duration Patience{700};

} // namespace

BOOST_AUTO_TEST_SUITE(BulkPacerTest)

// Symptom: no coordinator of a large group stayed for longer than its agents' patience, and no map was ever changed. Sequence: a map was told to all
// agents at once, and again each 400 ms, as none could have reported it prepared; the next heartbeat waited behind all of that on the instance's interface.
// Cause: a bulky order delays the heartbeat.
BOOST_AUTO_TEST_CASE(heartbeat_whileAWholeMapIsToldToALargeGroup_waitsForLessThanAThirdOfThePatience)
{
    constexpr std::size_t MapBytes = 8000;
    constexpr std::size_t HeartbeatBytes = 150;
    Interface interface;
    BulkPacer pacer({.bytesPerSecond = Interface::BytesPerSecond / 2});
    std::size_t left = Agents;
    BootTime now(1h);
    BootTime lastTold;
    for (; left > 0; now += 10ms) {
        while (left > 0 && pacer.tryConsume(MapBytes, now)) {
            interface.send(MapBytes, now);
            --left;
        }
        lastTold = now;
        interface.send(HeartbeatBytes, now);
        BOOST_TEST((interface.idleAt - now < Patience / 3));
    }
    // And it does end: in little more than the bytes take at the part of the interface that is left to bulk.
    BOOST_TEST((lastTold - BootTime(1h) < 1500ms));
}

BOOST_AUTO_TEST_CASE(bulk_noRateKnown_isNotHeldBack)
{
    BulkPacer pacer({.bytesPerSecond = 0});
    for (std::size_t agent = 0; agent < Agents; ++agent) {
        BOOST_TEST(pacer.tryConsume(8000, BootTime(1h)));
    }
}

BOOST_AUTO_TEST_CASE(bulk_afterALongPause_isNotSavedUpBeyondABurst)
{
    BulkPacer pacer({.bytesPerSecond = 100'000, .burst = 20ms});
    std::size_t sent = 0;
    while (pacer.tryConsume(500, BootTime(1h))) {
        ++sent;
    }
    BOOST_TEST(sent <= 5U); // 2,000 bytes in 20 ms, and the one that goes over it.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
