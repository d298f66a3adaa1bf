#include "policy/endpointchooser.h"
#include "policy/endpointhealth.h"
#include "policy/endpointsubset.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string>

using namespace std::chrono_literals;
using namespace magnolia;
using namespace magnolia::policy;

namespace
{

class EndpointChooserFixture
{
public:
    MonoTime now_ = MonoTime{} + 1h;
    Random random_{11};
    EndpointChooser chooser_{{}};

    std::vector<Candidate> candidates(std::size_t count, std::uint32_t reportedLoad = 4) const
    {
        std::vector<Candidate> made;
        for (std::size_t i = 0; i < count; ++i) {
            made.push_back({.endpoint = endpointKey("engine-" + std::to_string(i)), .reportedLoad = reportedLoad, .limit = 8, .reportedAt = now_});
        }
        return made;
    }

    /** @return how often an index is chosen first by a thousand entries that know the same. */
    int timesChosen(const ChoiceRequest &request, std::span<const Candidate> from, std::size_t index)
    {
        int times = 0;
        for (int i = 0; i < 1000; ++i) {
            EndpointChooser entry({});
            times += entry.choose(request, from, now_, random_).front().index == index ? 1 : 0;
        }
        return times;
    }
};

class EndpointSubsetFixture
{
public:
    static constexpr std::size_t Models = 15;
    std::array<std::uint32_t, Models> models_{};
    std::vector<SubsetEndpoint> endpoints_;

    EndpointSubsetFixture()
    {
        for (std::uint32_t i = 0; i < Models; ++i) {
            models_[i] = i;
        }
        for (std::size_t i = 0; i < 1300; ++i) {
            const std::size_t dataCentre = i % 10;
            const Distance distance = dataCentre == 0 ? Distance::SameDataCentre : dataCentre < 4 ? Distance::SameRegion : Distance::OtherRegion;
            // Half of the endpoints serve the first model; the last one has few.
            const std::size_t model = i % 2 == 0 ? 0 : (i / 2) % Models;
            endpoints_.push_back({.endpoint = endpointKey("engine-" + std::to_string(i)), .distance = distance, .services = {&models_[model], 1}});
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointChooserTest, EndpointChooserFixture)

BOOST_AUTO_TEST_CASE(noCandidates_chosen_givesNone)
{
    BOOST_TEST(chooser_.choose({}, {}, now_, random_).empty());
}

BOOST_AUTO_TEST_CASE(evenLoad_samePrefix_goesToTheSameEndpointInEveryEntry)
{
    const auto from = candidates(27);
    const ChoiceRequest request{.prefix = prefixHash("You help fitters"), .tried = {}, .cacheHints = {}};
    const auto first = chooser_.choose(request, from, now_, random_).front();
    BOOST_TEST((first.reason == ChoiceReason::PrefixAffinity));
    EndpointChooser other({});
    Random otherRandom(99);
    BOOST_TEST(other.choose(request, from, now_, otherRandom).front().index == first.index);
}

BOOST_AUTO_TEST_CASE(affineEndpointCrowded_chosen_goesElsewhere)
{
    auto from = candidates(27);
    const ChoiceRequest request{.prefix = 5, .tried = {}, .cacheHints = {}};
    const std::size_t affine = chooser_.choose(request, from, now_, random_).front().index;
    from[affine].reportedLoad = 40;
    BOOST_TEST(timesChosen(request, from, affine) == 0);
}

// Symptom: endpoints flip between idle and crowded once per load report.
// Sequence: a report shows the prefix's endpoint a little over the bound; all entries leave it until the next report.
// Cause: a sharp bound, judged by all entries from the same report.
BOOST_AUTO_TEST_CASE(affineEndpointJustOverTheBound_manyChoices_onlySomeLeave)
{
    auto from = candidates(27);
    const ChoiceRequest request{.prefix = 5, .tried = {}, .cacheHints = {}};
    const std::size_t affine = chooser_.choose(request, from, now_, random_).front().index;
    from[affine].reportedLoad = 7;
    const int stayed = timesChosen(request, from, affine);
    BOOST_TEST(stayed > 100);
    BOOST_TEST(stayed < 900);
}

// Symptom: an endpoint whose reports stopped while it was idle is given twice its share.
// Sequence: its last report, a minute old, shows nothing running; others report load.
// Cause: an old report is believed like a fresh one.
BOOST_AUTO_TEST_CASE(staleReportOfIdleEndpoint_twoChoices_isNotPreferred)
{
    auto from = candidates(11);
    for (std::size_t i = 0; i < from.size(); ++i) {
        from[i].reportedLoad = i % 2 == 0 ? 3 : 5;
    }
    from[3].reportedLoad = 0;
    BOOST_TEST(timesChosen({}, from, 3) >= 150);
    from[3].reportedAt = now_ - 60s;
    // An even share is 91.
    BOOST_TEST(timesChosen({}, from, 3) <= 125);
}

BOOST_AUTO_TEST_CASE(triedEndpoints_chosen_areLeftOut)
{
    const auto from = candidates(3);
    const std::array<EndpointKey, 2> tried = {from[0].endpoint, from[2].endpoint};
    const auto choices = chooser_.choose({.prefix = 5, .tried = tried, .cacheHints = {}}, from, now_, random_);
    BOOST_REQUIRE(choices.size() == 1U);
    BOOST_TEST(choices.front().index == 1U);
}

BOOST_AUTO_TEST_CASE(farEndpointsIdle_nearOnesModeratelyLoaded_staysNear)
{
    auto from = candidates(6, 2);
    for (std::size_t i = 3; i < 6; ++i) {
        from[i].distance = Distance::SameRegion;
        from[i].reportedLoad = 0;
    }
    BOOST_TEST(chooser_.choose({}, from, now_, random_).front().index < 3U);
    for (std::size_t i = 0; i < 3; ++i) {
        from[i].reportedLoad = 20;
    }
    BOOST_TEST(chooser_.choose({.prefix = 5, .tried = {}, .cacheHints = {}}, from, now_, random_).front().index >= 3U);
}

BOOST_AUTO_TEST_CASE(cacheHint_withinRendezvousOrder_goesFirst)
{
    const auto from = candidates(27);
    const auto plain = chooser_.choose({.prefix = 5, .tried = {}, .cacheHints = {}}, from, now_, random_);
    const std::size_t second = plain[1].index;
    const std::array<EndpointKey, 1> hints = {from[second].endpoint};
    const auto hinted = chooser_.choose({.prefix = 5, .tried = {}, .cacheHints = hints}, from, now_, random_);
    BOOST_TEST(hinted.front().index == second);
    BOOST_TEST((hinted.front().reason == ChoiceReason::CacheHint));
}

// Symptom: one endpoint is crowded as long as one prompt template is in fashion, although its neighbours are idle.
// Sequence: most requests share one prefix; load reports do not show yet what that does to its endpoint.
// Cause: a prefix has one home however many requests it has.
BOOST_AUTO_TEST_CASE(frequentPrefix_manyChoices_hasSeveralHomes)
{
    const auto from = candidates(27);
    std::set<std::size_t> homes;
    for (int i = 0; i < 1000; ++i) {
        const auto choice = chooser_.choose({.prefix = 5, .tried = {}, .cacheHints = {}}, from, now_, random_).front();
        BOOST_TEST((choice.reason == ChoiceReason::PrefixAffinity));
        homes.insert(choice.index);
    }
    BOOST_TEST(homes.size() == 4U);
}

// Symptom: an endpoint that fails at once gets more requests than any other.
// Sequence: its attempts end within milliseconds, so it has nothing in flight and reports no load.
// Cause: the choice goes by load alone.
BOOST_AUTO_TEST_CASE(suspectEndpointIdle_chosen_onlyIfNoneElseIsLeft)
{
    auto from = candidates(3);
    from[1].suspect = true;
    from[1].reportedLoad = 0;
    BOOST_TEST(timesChosen({}, from, 1) == 0);
    BOOST_TEST(chooser_.choose({}, from, now_, random_).size() == 2U);
    const std::array<EndpointKey, 2> tried = {from[0].endpoint, from[2].endpoint};
    const auto left = chooser_.choose({.prefix = {}, .tried = tried, .cacheHints = {}}, from, now_, random_);
    BOOST_REQUIRE(left.size() == 1U);
    BOOST_TEST(left.front().index == 1U);
}

BOOST_AUTO_TEST_CASE(failingEndpoint_probed_isSuspectUntilOneEndsWell)
{
    EndpointHealth health({.failuresToSuspect = 2, .probe = {.base = 500ms, .limit = 500ms}});
    health.failed(now_, random_);
    BOOST_TEST(!health.isSuspect());
    health.failed(now_, random_);
    BOOST_TEST(health.isSuspect());
    now_ += 501ms;
    BOOST_TEST(health.tryProbe(now_, random_));
    BOOST_TEST(!health.tryProbe(now_, random_));
    health.succeeded();
    BOOST_TEST(!health.isSuspect());
}

BOOST_AUTO_TEST_CASE(explained_listsEveryCandidateOnce_triedLast)
{
    const auto from = candidates(9);
    const std::array<EndpointKey, 1> tried = {from[4].endpoint};
    const auto all = chooser_.explain({.prefix = 5, .tried = tried, .cacheHints = {}}, from, now_, random_);
    std::set<std::size_t> indices;
    for (const Choice &choice : all) {
        indices.insert(choice.index);
    }
    BOOST_TEST(indices.size() == 9U);
    BOOST_TEST(all.back().index == 4U);
    BOOST_TEST((all.back().reason == ChoiceReason::Tried));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(EndpointSubsetTest, EndpointSubsetFixture)

BOOST_AUTO_TEST_CASE(fewEndpoints_selected_areAllKept)
{
    const EndpointSubset subset({});
    BOOST_TEST(subset.select("entry-a", std::span(endpoints_).first(27)).size() == 27U);
}

BOOST_AUTO_TEST_CASE(targetSize_selected_keepsEnoughOfEveryModelAndSpares)
{
    const EndpointSubset subset({});
    const auto kept = subset.select("entry-a", endpoints_);
    BOOST_TEST(kept.size() >= 110U);
    BOOST_TEST(kept.size() <= 190U);
    std::array<int, Models> perModel{};
    int remote = 0;
    for (const std::size_t index : kept) {
        ++perModel[endpoints_[index].services.front()];
        remote += endpoints_[index].distance == Distance::SameDataCentre ? 0 : 1;
    }
    for (const int links : perModel) {
        BOOST_TEST(links >= 6);
    }
    BOOST_TEST(remote >= 30);
}

BOOST_AUTO_TEST_CASE(oneEndpointGone_selectedAgain_changesFewLinks)
{
    const EndpointSubset subset({});
    const auto before = subset.select("entry-a", endpoints_);
    std::set<EndpointKey> keysBefore;
    for (const std::size_t index : before) {
        keysBefore.insert(endpoints_[index].endpoint);
    }
    std::size_t mostChanged = 0;
    for (std::size_t gone = 0; gone < endpoints_.size(); gone += 37) {
        auto fewer = endpoints_;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
        std::size_t added = 0;
        for (const std::size_t index : subset.select("entry-a", fewer)) {
            added += keysBefore.contains(fewer[index].endpoint) ? 0 : 1;
        }
        mostChanged = std::max(mostChanged, added);
    }
    BOOST_TEST(mostChanged <= 2U);
}

BOOST_AUTO_TEST_CASE(manyEntries_selected_spreadOverTheEndpoints)
{
    const EndpointSubset subset({});
    std::set<std::size_t> used;
    for (int entry = 0; entry < 100; ++entry) {
        const auto kept = subset.select("entry-" + std::to_string(entry), endpoints_);
        used.insert(kept.begin(), kept.end());
    }
    BOOST_TEST(used.size() > 600U);
}

BOOST_AUTO_TEST_SUITE_END()
