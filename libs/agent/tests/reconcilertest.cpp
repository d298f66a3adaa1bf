#include "agent/reconciler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::agent;
using namespace magnolia::engine;

namespace
{

/** An engine as docs/INTERFACES.md has it; loading takes until settle(). */
struct EngineModel {
    EngineState state{.boot = "b1", .role = "any"};

    void take(const EngineOrder &order)
    {
        auto &models = state.models;
        const auto found = std::find_if(models.begin(), models.end(), [&](const ModelState &model) { return model.name == order.model; });
        switch (order.kind) {
        case OrderKind::SetRole:
            state.role = order.role;
            break;
        case OrderKind::LoadModel:
            if (found != models.end()) {
                models.erase(found);
            }
            models.push_back({.name = order.model, .version = order.version});
            break;
        case OrderKind::UnloadModel:
            models.erase(found);
            break;
        case OrderKind::LoadAdapter:
            BOOST_REQUIRE(found != models.end());
            std::erase_if(found->adapters, [&](const AdapterState &adapter) { return adapter.name == order.adapter; });
            found->adapters.push_back({.name = order.adapter, .version = order.version});
            break;
        case OrderKind::UnloadAdapter:
            std::erase_if(found->adapters, [&](const AdapterState &adapter) { return adapter.name == order.adapter; });
            break;
        }
    }

    void settle()
    {
        for (ModelState &model : state.models) {
            model.serving = true;
        }
    }
};

struct ReconcilerFixture {
    DesiredEngine desired{
        .role = "decode",
        .models = {{.name = "chat", .version = "7", .adapters = {{.name = "karoo", .version = "2"}, {.name = "flue", .version = "1"}}},
                   {.name = "code", .version = "3"}},
    };
    EngineModel engine;

    ReconcilePlan plan(const std::set<std::string> &mayReplace = {}, const std::map<std::string, std::uint32_t> &waiting = {}) const
    {
        return reconcile(desired, engine.state, waiting, mayReplace);
    }

    static bool contains(const ReconcilePlan &plan, const EngineOrder &order)
    {
        return std::find(plan.orders.begin(), plan.orders.end(), order) != plan.orders.end();
    }

    /** Orders are given one at a time; each second one is lost, each third one is done twice. */
    void converge()
    {
        int sent = 0;
        for (int round = 0; round < 60; ++round) {
            const ReconcilePlan next = plan({"chat", "code"});
            if (next.converged) {
                return;
            }
            engine.settle();
            if (next.orders.empty() || ++sent % 2 == 0) {
                continue;
            }
            engine.take(next.orders.front());
            if (sent % 3 == 0) {
                engine.take(next.orders.front());
            }
        }
        BOOST_FAIL("did not come to rest");
    }

    bool isAsDesired() const
    {
        return plan().converged && engine.state.role == "decode" && engine.state.models.size() == 2 && engine.state.model("chat")->adapters.size() == 2;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReconcilerTest, ReconcilerFixture)

// Symptom: an engine goes on without what the manifest asks for, or with what nobody asks for.
// Sequence: from each of these states, with orders lost and doubled on the way.
// Cause: working from what was ordered before in place of what is seen.
BOOST_AUTO_TEST_CASE(anyState_withOrdersLostAndDoubled_endsAsTheManifestSays)
{
    std::vector<EngineState> begins(6, EngineState{.boot = "b", .role = "any"});
    begins[1].models = {{.name = "chat", .version = "6", .serving = true, .adapters = {{.name = "karoo", .version = "1"}}}};
    begins[2].models = {{.name = "stray", .version = "1", .serving = true}, {.name = "code", .version = "3", .serving = true}};
    begins[3].models = {{.name = "chat", .version = "7", .serving = true, .adapters = {{.name = "old", .version = "1"}, {.name = "karoo", .version = "1"}}}};
    begins[4].models = {{.name = "chat", .version = "6", .serving = false}};
    begins[5].role = "prefill";
    for (const EngineState &begin : begins) {
        engine.state = begin;
        converge();
        BOOST_TEST(isAsDesired());
    }
    engine.state = begins[0]; // Restarted empty.
    converge();
    BOOST_TEST(isAsDesired());
}

BOOST_AUTO_TEST_CASE(servingModelOfAnotherVersion_withoutLeave_isNotTouched)
{
    engine.state.models = {{.name = "chat", .version = "6", .serving = true}};
    const ReconcilePlan without = plan();
    BOOST_TEST(without.replaces.contains("chat"));
    BOOST_TEST(!without.converged);
    BOOST_TEST(!contains(without, {.kind = OrderKind::LoadModel, .model = "chat", .version = "7"}));
    BOOST_TEST(contains(plan({"chat"}), {.kind = OrderKind::LoadModel, .model = "chat", .version = "7"}));
}

BOOST_AUTO_TEST_CASE(missingModels_whenCallersWaitForOne_areLoadedInThatOrder)
{
    engine.state.role = "decode";
    BOOST_TEST(plan().orders.front().model == "chat");
    BOOST_TEST(plan({}, {{"code", 3}, {"chat", 1}}).orders.front().model == "code");
}

BOOST_AUTO_TEST_CASE(loadingModel_untilItServes_getsNoAdapters)
{
    engine.state.models = {{.name = "chat", .version = "7", .serving = false}};
    for (const EngineOrder &order : plan().orders) {
        BOOST_TEST((order.kind != OrderKind::LoadAdapter));
    }
}

BOOST_AUTO_TEST_CASE(loadedNames_ofAState_areOfWhatServes)
{
    engine.state.models = {{.name = "chat", .version = "7", .serving = true, .adapters = {{.name = "karoo", .version = "2"}}},
                           {.name = "code", .version = "3"}};
    const std::vector<std::string> expected = {"chat@7", "chat/karoo@2"};
    BOOST_TEST(loadedNames(engine.state) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(endpointOutsideTheManifest_isWantedToHaveNothing)
{
    manifest::Manifest manifest;
    manifest.models = {{.name = "chat", .version = "7", .adapters = {}}};
    manifest.endpoints = {{.name = "engine-1", .dataCentre = "north", .models = {"chat"}, .service = {}, .role = "any", .group = {}}};
    const auto index = manifest::ManifestIndex::build(manifest);
    BOOST_TEST(desiredEngine(*index, "engine-1").models.size() == 1U);
    BOOST_TEST(desiredEngine(*index, "engine-2").models.empty());
}

BOOST_AUTO_TEST_SUITE_END()
