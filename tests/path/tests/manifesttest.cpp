#include "streamingload.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

// What the brief calls "within seconds", and the target states as a number.
constexpr Duration InForceLimit{5000};

struct ManifestFixture {
    ManifestFixture()
    {
        deployment.start();
    }

    Json &organisation(const std::string &name)
    {
        for (Json &organisation : deployment.manifest["organisations"]) {
            if (organisation["name"] == name) {
                return organisation;
            }
        }
        throw std::runtime_error("no organisation " + name);
    }

    void apply()
    {
        const CtlResult applied = deployment.apply(deployment.manifest);
        BOOST_REQUIRE_MESSAGE(applied.exitCode == 0, applied.output);
    }

    int statusAt(std::size_t entry, const CallerRequest &request)
    {
        return deployment.caller.call(deployment.entry(entry).work.address(), request).status;
    }

    /** @return whether both entries answer a request so, within the limit. */
    bool isAnsweredEverywhere(const CallerRequest &request, int status)
    {
        return deployment.loop.runUntil([&] { return statusAt(0, request) == status && statusAt(1, request) == status; }, InForceLimit);
    }

    void requireNoFaults(StreamingLoad &load)
    {
        load.finish();
        BOOST_TEST(load.wholeAnswers() > 0);
        for (const std::string &fault : load.faults()) {
            BOOST_ERROR(fault);
        }
    }

    Json engineState(std::size_t engine)
    {
        return Json::parse(deployment.caller.get(deployment.engine(engine).work.address(), "/control/state").body);
    }

    bool servesVersion(std::size_t engine, const std::string &version)
    {
        const Json state = engineState(engine);
        return std::any_of(state["models"].begin(), state["models"].end(), [&version](const Json &model) {
            return model["name"] == "guide" && model["version"] == version && model["state"] == "serving";
        });
    }

    Deployment deployment{{.entries = 2, .engines = 3, .hasBooking = false, .engineArguments = {"--load-ms", "150"}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ManifestPath, ManifestFixture)

BOOST_AUTO_TEST_CASE(key_withdrawnUnderLoad_isRefusedEverywhereAndOthersGoOn)
{
    StreamingLoad load(deployment, {});
    BOOST_REQUIRE(load.waitForAnswers(20));
    organisation("visitor")["key_hashes"] = {keyHash("the visitor's next key")};
    apply();
    BOOST_TEST(isAnsweredEverywhere(chatRequest(TrialKey, "guide", "withdrawn", true), 401));
    BOOST_TEST(isAnsweredEverywhere(chatRequest("the visitor's next key", "guide", "next", true), 200));
    BOOST_REQUIRE(load.waitForAnswers(20));
    requireNoFaults(load);
}

BOOST_AUTO_TEST_CASE(organisation_turnedFromTrialToPayingUnderLoad_isServedThroughout)
{
    StreamingLoad load(deployment, {.key = std::string(TrialKey)});
    BOOST_REQUIRE(load.waitForAnswers(20));
    organisation("visitor")["tier"] = "paying";
    organisation("visitor")["models"][0]["adapters"] = {"*"};
    apply();
    BOOST_TEST(isAnsweredEverywhere(chatRequest(TrialKey, "guide/labels", "paying", true), 200));
    BOOST_REQUIRE(load.waitForAnswers(20));
    requireNoFaults(load);
}

BOOST_AUTO_TEST_CASE(modelVersion_movedUnderLoad_reachesAllEnginesWithNoRequestFailed)
{
    StreamingLoad load(deployment, {});
    BOOST_REQUIRE(load.waitForAnswers(20));
    deployment.manifest["models"][0]["version"] = "2";
    apply();
    const auto isMoved = [this] { return servesVersion(0, "2") && servesVersion(1, "2") && servesVersion(2, "2"); };
    BOOST_TEST(deployment.loop.runUntil(isMoved, Duration{20000}));
    BOOST_TEST(isAnsweredEverywhere(chatRequest(PayingKey, "guide@2", "moved", true), 200));
    BOOST_REQUIRE(load.waitForAnswers(20));
    requireNoFaults(load);
}

BOOST_AUTO_TEST_CASE(endpoint_addedUnderLoad_takesWork)
{
    StreamingLoad load(deployment, {});
    BOOST_REQUIRE(load.waitForAnswers(20));
    deployment.addEngine();
    deployment.manifest = standardManifest({.engines = 4, .hasBooking = false});
    apply();
    const std::string added = deployment.engine(3).work.address();
    const auto takesWork = [&] { return deployment.caller.get(added, "/test/counts").body.find("load-") != std::string::npos; };
    BOOST_TEST(deployment.loop.runUntil(takesWork, Duration{20000}));
    requireNoFaults(load);
}

BOOST_AUTO_TEST_CASE(manifest_thatIsNotValid_isRefusedWithThePlaceAndChangesNothing)
{
    Json broken = deployment.manifest;
    broken["organisations"][0]["models"][0]["model"] = "oracle";
    const CtlResult refused = deployment.apply(broken);
    BOOST_TEST(refused.exitCode != 0);
    BOOST_TEST(refused.output.find("oracle") != std::string::npos);
    BOOST_TEST(statusAt(0, chatRequest(PayingKey, "guide", "unchanged", true)) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
