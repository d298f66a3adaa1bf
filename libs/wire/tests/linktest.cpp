#include "linkfixture.h"
#include "samplemessages.h"
#include "wire/codec.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::wire
{

BOOST_FIXTURE_TEST_SUITE(LinkTest, LinkFixture)

BOOST_AUTO_TEST_CASE(loopbackLink_handshake_tellsEachSideWhoTheOtherIs)
{
    listen(optionsOf(Role::Agent, "agent-a"));
    const auto link = connect(optionsOf(Role::Entry, "entry-a"));
    BOOST_TEST(!link->send(Cancel{}));
    BOOST_REQUIRE(runUntil([&] { return dialerLog.ups.size() == 1 && listenerLog.ups.size() == 1; }));
    BOOST_TEST(link->isReady());
    BOOST_TEST(link->peer().instance == "agent-a");
    BOOST_TEST(link->peer().endpoint == "engine-1");
    BOOST_TEST(link->peer().incarnation == 5U);
    BOOST_TEST(listenerLog.ups.front().instance == "entry-a");
    BOOST_TEST((listenerLog.ups.front().role == Role::Entry));
}

BOOST_AUTO_TEST_CASE(loopbackLink_messagesBothWays_arriveInOrder)
{
    listen(optionsOf(Role::Agent, "agent-a"));
    const auto link = connect(optionsOf(Role::Entry, "entry-a"));
    BOOST_REQUIRE(runUntil([&] { return link->isReady() && accepted.size() == 1; }));
    const auto samples = sampleMessages();
    for (const Message &message : samples) {
        BOOST_TEST(link->send(message));
        BOOST_TEST(accepted.front()->send(message));
    }
    BOOST_REQUIRE(runUntil([&] { return dialerLog.messages.size() == samples.size() && listenerLog.messages.size() == samples.size(); }));
    for (std::size_t i = 0; i < samples.size(); ++i) {
        BOOST_TEST(encode(dialerLog.messages[i]) == encode(samples[i]));
        BOOST_TEST(encode(listenerLog.messages[i]) == encode(samples[i]));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::wire
