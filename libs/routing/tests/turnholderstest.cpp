#include "routing/turnholders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace magnolia::routing
{

namespace
{

constexpr std::size_t MaxHolders = 8;
constexpr std::size_t Endpoints = 200;

/** Entries that each know the same names. */
struct TurnHoldersFixture {
    static std::vector<std::string> names(std::size_t count)
    {
        std::vector<std::string> result;
        for (std::size_t index = 0; index < count; ++index) {
            result.push_back("entry-" + std::to_string(index));
        }
        return result;
    }

    static std::string endpoint(std::size_t index)
    {
        return "endpoint-" + std::to_string(index);
    }

    /** @return the entries that take themselves for holders of an endpoint. */
    static std::set<std::string> holdersOf(const std::string &endpoint, const std::vector<std::string> &entries)
    {
        std::set<std::string> result;
        for (const std::string &own : entries) {
            std::vector<std::string> others = entries;
            std::erase(others, own);
            TurnHolders holders;
            holders.setInstances(own, others);
            if (holders.shareOf(endpoint, MaxHolders).isHolder) {
                result.insert(own);
            }
        }
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TurnHoldersTest, TurnHoldersFixture)

BOOST_AUTO_TEST_CASE(entries_sameNames_asManyAsAllowedHoldEachEndpoint)
{
    for (const std::size_t count : {1, 5, 16, 60}) {
        for (std::size_t index = 0; index < Endpoints / 10; ++index) {
            BOOST_TEST(holdersOf(endpoint(index), names(count)).size() == std::min(count, MaxHolders));
        }
    }
}

BOOST_AUTO_TEST_CASE(entries_manyEndpoints_eachHoldsAFairNumberOfThem)
{
    std::size_t held = 0;
    TurnHolders holders;
    std::vector<std::string> others = names(16);
    holders.setInstances(others.back(), {others.begin(), others.end() - 1});
    for (std::size_t index = 0; index < Endpoints; ++index) {
        held += holders.shareOf(endpoint(index), MaxHolders).isHolder ? 1 : 0;
    }
    BOOST_TEST(held > Endpoints / 3);
    BOOST_TEST(held < Endpoints * 2 / 3);
}

// Guards against an entry that comes or goes exchanging all holders at once.
BOOST_AUTO_TEST_CASE(entries_oneIsAdded_atMostOneHolderOfAnEndpointChanges)
{
    std::vector<std::string> more = names(20);
    more.emplace_back("entry-added");
    for (std::size_t index = 0; index < Endpoints / 10; ++index) {
        const auto before = holdersOf(endpoint(index), names(20));
        const auto after = holdersOf(endpoint(index), more);
        std::vector<std::string> added;
        std::set_difference(after.begin(), after.end(), before.begin(), before.end(), std::back_inserter(added));
        BOOST_TEST(added.size() <= 1U);
    }
}

// Guards against an entry that has just started taking the whole rate because it knows no others yet.
BOOST_AUTO_TEST_CASE(entry_namesNotKnown_holdsNothing)
{
    BOOST_TEST(!TurnHolders().shareOf(endpoint(0), MaxHolders).isHolder);
}

BOOST_AUTO_TEST_CASE(entry_sameNamesInOtherOrderOrRepeated_nothingChanges)
{
    TurnHolders holders;
    holders.setInstances("a", {"b", "c"});
    const auto generation = holders.generation();
    holders.setInstances("a", {"c", "a", "b", "c"});
    BOOST_TEST(holders.generation() == generation);
    holders.setInstances("a", {"c"});
    BOOST_TEST(holders.generation() != generation);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
