#include "streamingload.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

/** From the end of a fault until the engine is as the manifest wants it. */
constexpr Duration HealLimit{10000};

/** What an engine of the standard manifest has to hold, and nothing else. */
Json wantedModels(const std::string &guideVersion)
{
    const Json labels = {{"name", "labels"}, {"version", "1"}};
    return Json::array({{{"name", "guide"}, {"version", guideVersion}, {"state", "serving"}, {"adapters", Json::array({labels})}},
                        {{"name", "ledger"}, {"version", "1"}, {"state", "serving"}, {"adapters", Json::array()}}});
}

bool serves(const Json &state, const std::string &model)
{
    return std::any_of(
        state["models"].begin(), state["models"].end(), [&model](const Json &entry) { return entry["name"] == model && entry["state"] == "serving"; });
}

/** A deployment whose engines are judged by what they say themselves. */
class Reconciliation
{
public:
    /** @param prepare what to change before anything is started. */
    explicit Reconciliation(DeploymentOptions options, const std::function<void(Deployment &)> &prepare = {}) : deployment(std::move(options))
    {
        if (prepare) {
            prepare(deployment);
        }
        deployment.start();
        BOOST_REQUIRE(heals(HealLimit));
    }

    void setFaults(std::size_t engine, const Json &faults)
    {
        BOOST_REQUIRE(deployment.caller.post(deployment.engine(engine).work.address(), "/test/faults", faults).status == 200);
    }

    void setPlatformFaults(const Json &faults)
    {
        BOOST_REQUIRE(deployment.caller.post(deployment.platform().work.address(), "/test/faults", faults).status == 200);
    }

    /** Gives an engine an order past its agent, as one that came from who knows where. */
    void orderPastAgent(std::size_t engine, Json order)
    {
        order["fence"] = state(engine)["fence"];
        BOOST_REQUIRE(deployment.caller.post(deployment.engine(engine).work.address(), "/control/orders", order).status == 200);
    }

    Json state(std::size_t engine)
    {
        return Json::parse(deployment.caller.get(deployment.engine(engine).work.address(), "/control/state").body, nullptr, false);
    }

    bool isAsWanted(std::size_t engine)
    {
        const Json now = state(engine);
        return now.is_object() && now["role"] == "any" && now["models"] == wantedModels(guideVersion());
    }

    bool areAllAsWanted()
    {
        for (std::size_t i = 0; i < deployment.manifest["endpoints"].size(); ++i) {
            if (!isAsWanted(i)) {
                return false;
            }
        }
        return true;
    }

    bool heals(Duration limit)
    {
        return deployment.loop.runUntil([this] { return areAllAsWanted(); }, limit);
    }

    std::string guideVersion() const
    {
        return deployment.manifest["models"][0]["version"];
    }

    void apply()
    {
        const CtlResult applied = deployment.apply(deployment.manifest);
        BOOST_REQUIRE_MESSAGE(applied.exitCode == 0, applied.output);
    }

    /** @return the fencing number that stands in the table for an endpoint. */
    std::uint64_t fenceInTable(const std::string &endpoint)
    {
        const Call answer = deployment.caller.get(deployment.platform().work.address(), "/table/rows/fence%2F" + endpoint);
        return Json::parse(Json::parse(answer.body)["value"].get<std::string>())["fence"];
    }

    std::uint64_t staleOrdersTaken(std::size_t engine)
    {
        return Json::parse(deployment.caller.get(deployment.engine(engine).work.address(), "/test/counts").body)["stale_orders_taken"];
    }

    Deployment deployment;
};

struct ThreeEngines : Reconciliation {
    ThreeEngines() : Reconciliation({.entries = 1, .engines = 3, .hasBooking = false, .engineArguments = {"--load-ms", "100"}}) {}
};

/** Two endpoints whose agents are frozen right before they give an order, and replaced by others on other instances. */
class PausedAgents : public Reconciliation
{
public:
    static constexpr std::size_t Checking = 0; ///< Its engine refuses old fencing numbers.
    static constexpr std::size_t Ignoring = 1; ///< Its engine takes anybody's orders.

    PausedAgents()
        : Reconciliation({.entries = 1, .engines = 2, .hasBooking = false, .engineArguments = {"--load-ms", "100"}}, [](Deployment &prepared) {
            prepared.engine(Checking).command.arguments.emplace_back("--check-fencing");
            prepared.manifest["endpoints"][Checking]["checks_fencing"] = true;
        })
    {
    }

    /**
     * One old agent sleeps before it has the answer that shows it an empty engine; the other one has decided to load
     * version 1, and sleeps before it has the answer that nobody has taken over.
     */
    void freezeBeforeTheOrder()
    {
        setFaults(Checking, {{"delay_ms", AnswerDelay.count()}, {"restart", true}});
        setPlatformFaults({{"slow_ms", AnswerDelay.count()}});
        setFaults(Ignoring, {{"restart", true}});
        deployment.loop.runFor(LookTime);
        for (const std::size_t agent : {Checking, Ignoring}) {
            deployment.agent(agent).process->freeze();
        }
        deployment.loop.runFor(AnswerDelay);
        setFaults(Checking, {{"delay_ms", 0}});
        setPlatformFaults({{"slow_ms", 0}});
    }

    /** Other agents take over, and bring the engines to version 2. */
    void replaceAgents()
    {
        for (const std::size_t agent : {Checking, Ignoring}) {
            old_.push_back(deployment.replaceAgent(agent));
        }
        BOOST_REQUIRE(heals(HealLimit));
        deployment.manifest["models"][0]["version"] = "2";
        apply();
        BOOST_REQUIRE(heals(HealLimit));
    }

    void wakeOldAgents()
    {
        for (const auto &agent : old_) {
            agent->process->thaw();
        }
    }

private:
    /** Over the longest time between two looks of an agent at its engine: one has begun within it. */
    static constexpr Duration LookTime{1300};
    /** Over LookTime: what was asked for within it isn't answered yet at its end. */
    static constexpr Duration AnswerDelay{2000};

    std::vector<std::unique_ptr<Member>> old_;
};

/** Where one endpoint stands in a version change, by its slot's row and its engine's state. */
enum class Step { SlotTaken, Loading, Loaded };

constexpr std::array Steps = {Step::SlotTaken, Step::Loading, Step::Loaded};

/** Three engines of which two have to serve, watched closely. */
class RollingChange : public Reconciliation
{
public:
    // The table is slow, so that each step lasts long enough to be met, and two engines' steps are apart from each other.
    static constexpr Duration TableDelay{40};
    static constexpr Duration SampleLimit{60};
    static constexpr std::size_t Floor = 2;

    RollingChange() : Reconciliation({.entries = 1, .engines = 3, .hasBooking = false, .engineArguments = {"--load-ms", "300"}})
    {
        deployment.manifest["models"][0]["serving_floor"] = Floor;
        apply();
        setPlatformFaults({{"slow_ms", TableDelay.count()}});
    }

    /** Looks at all engines and slots at once. @return false if that took too long to be one moment. */
    bool sample()
    {
        const MonoTime from = MonoClock::now();
        std::vector<CallPtr> calls;
        for (std::size_t i = 0; i < EngineCount; ++i) {
            calls.push_back(deployment.caller.start(deployment.engine(i).work.address(), getRequest("/control/state")));
        }
        deployment.loop.runUntil([&calls] { return std::all_of(calls.begin(), calls.end(), [](const CallPtr &call) { return call->isEnded; }); });
        const bool isOneMoment = MonoClock::now() - from <= SampleLimit;
        states_.clear();
        for (const CallPtr &call : calls) {
            states_.push_back(Json::parse(call->body));
        }
        if (isOneMoment) {
            const auto serving =
                static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(), [](const Json &state) { return serves(state, "guide"); }));
            ++samples;
            fewestServing = std::min(fewestServing, serving);
        }
        return isOneMoment;
    }

    /** @return the step of the endpoint that holds the slot; nothing if none does. */
    std::optional<std::pair<std::size_t, Step>> holderStep()
    {
        const Call rows = deployment.caller.call(deployment.platform().work.address(), getRequest("/table/rows?prefix=rollout%2Fguide%2F"));
        const Json parsed = Json::parse(rows.body, nullptr, false);
        for (const Json &row : parsed.is_object() ? parsed["rows"] : Json::object()) {
            const std::string holder = Json::parse(row["value"].get<std::string>())["endpoint"];
            for (std::size_t i = 0; i < EngineCount; ++i) {
                if (holder == deployment.engine(i).name) {
                    return std::pair(i, stepOf(states_[i]));
                }
            }
        }
        return std::nullopt;
    }

    bool isDone()
    {
        return std::all_of(states_.begin(), states_.end(), [this](const Json &state) { return state["models"] == wantedModels(guideVersion()); });
    }

    void killAndRestart(std::size_t agent)
    {
        deployment.agent(agent).process->kill();
        BOOST_REQUIRE(deployment.waitForEnd(deployment.agent(agent)).has_value());
        deployment.startMember(deployment.agent(agent));
    }

    std::size_t samples = 0;
    std::size_t fewestServing = EngineCount;

private:
    static constexpr std::size_t EngineCount = 3;

    static CallerRequest getRequest(const std::string &path)
    {
        CallerRequest request;
        request.method = "GET";
        request.path = path;
        return request;
    }

    Step stepOf(const Json &state) const
    {
        for (const Json &model : state["models"]) {
            if (model["name"] == "guide" && model["version"] == guideVersion()) {
                return model["state"] == "serving" ? Step::Loaded : Step::Loading;
            }
        }
        return Step::SlotTaken;
    }

    std::vector<Json> states_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReconcilePath)

// Symptom: an endpoint serves nothing, or what nobody asked for, until a person looks.
// Sequence: the engine restarts empty, by itself or killed; or something past the agent changes what it holds.
// Cause: an agent that remembers what it has ordered in place of looking at what is there.
BOOST_FIXTURE_TEST_CASE(engine_thatDiffersFromTheManifest_isBroughtBackWithoutAPerson, ThreeEngines)
{
    setFaults(0, {{"restart", true}});
    BOOST_TEST(!isAsWanted(0));
    deployment.engine(1).process->kill();
    BOOST_REQUIRE(deployment.waitForEnd(deployment.engine(1)).has_value());
    deployment.startMember(deployment.engine(1));
    BOOST_TEST(deployment.loop.runUntil([this] { return state(1).is_object(); }));
    BOOST_TEST(heals(HealLimit), "restarted empty, and killed and started again");

    const std::vector<Json> unasked = {
        {{"order", "load_model"}, {"model", "oracle"}, {"version", "9"}},
        {{"order", "load_adapter"}, {"model", "guide"}, {"adapter", "unasked"}, {"version", "1"}},
        {{"order", "unload_adapter"}, {"model", "guide"}, {"adapter", "labels"}},
        {{"order", "unload_model"}, {"model", "ledger"}},
        {{"order", "load_model"}, {"model", "ledger"}, {"version", "0"}},
        {{"order", "set_role"}, {"role", "prefill"}},
    };
    for (std::size_t i = 0; i < unasked.size(); ++i) {
        const std::size_t engine = i % 3;
        orderPastAgent(engine, unasked[i]);
        BOOST_TEST(!isAsWanted(engine), unasked[i].dump());
        if (engine == 2) {
            BOOST_TEST(heals(HealLimit), "up to " << unasked[i].dump());
        }
    }
}

// Symptom: an engine stays empty for ever though it takes orders again.
// Sequence: it says yes to an order and forgets it; or it refuses an order after longer than the agent's time between two
// looks, whose timer has ended meanwhile and is not started again.
// Cause: taking an order's answer for its effect; an agent that looks again only after an order that went well.
BOOST_FIXTURE_TEST_CASE(engine_thatLosesOrRefusesOrders_isBroughtBackWhenItTakesThemAgain, ThreeEngines)
{
    setFaults(0, {{"ignore_orders", true}, {"restart", true}});
    setFaults(1, {{"refuse_orders", true}, {"delay_ms", 1400}, {"restart", true}});
    deployment.loop.runFor(Duration{4500});
    BOOST_TEST(!isAsWanted(0));
    setFaults(0, {{"ignore_orders", false}});
    setFaults(1, {{"refuse_orders", false}, {"delay_ms", 0}});
    BOOST_TEST(heals(HealLimit));
}

// Symptom: two agents of one endpoint take turns at ever higher fencing numbers; or an engine that takes anybody's orders
// serves an old version, and stays so.
// Sequence: the old agent is frozen with an order about to go; the next one takes over and changes the version; the old
// one wakes and gives its order.
// Cause: an agent whose order is refused as stale takes a number higher than its successor's, without looking who has
// taken over. Where the engine ignores the number the order is taken, so its effect has to be undone.
BOOST_FIXTURE_TEST_CASE(oldAgents_thatWakeAfterTheirSuccessors_areRefusedOrUndoneAndOrderNoMore, PausedAgents)
{
    freezeBeforeTheOrder();
    replaceAgents();
    const std::array fences = {fenceInTable("engine-1"), fenceInTable("engine-2")};
    wakeOldAgents();
    BOOST_TEST(deployment.loop.runUntil([this] { return staleOrdersTaken(Ignoring) == 1; }), "the late order is taken");
    BOOST_TEST(!isAsWanted(Ignoring));
    BOOST_TEST(heals(HealLimit));
    for (const std::size_t engine : {Checking, Ignoring}) {
        orderPastAgent(engine, {{"order", "load_model"}, {"model", "oracle"}, {"version", "9"}});
    }
    BOOST_TEST(heals(HealLimit));
    BOOST_TEST(staleOrdersTaken(Checking) == 0U);
    BOOST_TEST(staleOrdersTaken(Ignoring) == 1U);
    BOOST_TEST(fenceInTable("engine-1") == fences[0]);
    BOOST_TEST(fenceInTable("engine-2") == fences[1]);
}

// Symptom: a version change stands still after an agent was lost, or too few engines serve meanwhile.
// Sequence: each agent is killed at each step of its own endpoint's change, and another one that waits beside it.
// Cause: a step that only the agent's memory knows of; a slot that dies with its holder, or is taken while it stands.
BOOST_FIXTURE_TEST_CASE(versionChange_whoseAgentsAreKilledAtEachStep_endsAndKeepsTheFloor, RollingChange)
{
    deployment.manifest["models"][0]["version"] = "2";
    apply();
    std::set<std::pair<std::size_t, Step>> killed;
    std::map<Step, int> kills;
    const MonoTime end = MonoClock::now() + Duration{20000};
    do {
        sample();
        const auto step = holderStep();
        if (step && killed.insert(*step).second) {
            ++kills[step->second];
            killAndRestart(step->first);
            if (step->second == Step::Loading) {
                killAndRestart((step->first + 1) % 3);
            }
        }
    } while (!isDone() && MonoClock::now() < end);
    BOOST_TEST(isDone());
    BOOST_TEST(fewestServing >= Floor);
    BOOST_TEST(samples >= 50U);
    for (const Step step : Steps) {
        BOOST_TEST(kills[step] >= 1, "step " << static_cast<int>(step));
    }
    BOOST_TEST_MESSAGE(samples << " samples, " << fewestServing << " engines served at the least, kills by step " << kills[Step::SlotTaken] << ' '
                               << kills[Step::Loading] << ' ' << kills[Step::Loaded]);
}

// Symptom: a version change during a shortage at the weight store takes more endpoints out than it may, or stops for good.
// Sequence: the store refuses all loads from before the change until some seconds into it; callers go on.
// Cause: leaving service for a load that can't begin; an order that is not given again.
BOOST_FIXTURE_TEST_CASE(versionChange_whileTheWeightStoreRefuses_waitsAndEndsWithNoRequestFailed, ThreeEngines)
{
    StreamingLoad load(deployment, {});
    BOOST_REQUIRE(load.waitForAnswers(20));
    for (std::size_t i = 0; i < 3; ++i) {
        setFaults(i, {{"refuse_loads", true}});
    }
    deployment.manifest["models"][0]["version"] = "2";
    apply();
    const MonoTime until = MonoClock::now() + Duration{2000};
    while (MonoClock::now() < until) {
        std::size_t serving = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            serving += serves(state(i), "guide") ? 1 : 0;
        }
        BOOST_REQUIRE(serving == 3U);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        setFaults(i, {{"refuse_loads", false}});
    }
    BOOST_TEST(heals(Duration{20000}));
    BOOST_REQUIRE(load.waitForAnswers(20));
    load.finish();
    for (const std::string &fault : load.faults()) {
        BOOST_ERROR(fault);
    }
}

BOOST_AUTO_TEST_SUITE_END()
