// Throws two failures at once, drawn by seed, at a running deployment under mixed load. By itself a bounded run with a
// fixed seed; scripts/faults.sh passes others: `path_faults -- --seed N --seconds S [--plan]`.

#include "faultthrower.h"
#include "loadcheck.h"
#include "versionwatch.h"

#include <boost/test/unit_test.hpp>

#include <getopt.h>

#include <array>
#include <iostream>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

struct Arguments {
    std::uint64_t seed = 20261;
    Duration length{10000};
    bool isPlanOnly = false;
};

Arguments parseArguments()
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    Arguments arguments;
    const std::array<option, 4> known = {{
        {"seed", required_argument, nullptr, 'n'},
        {"seconds", required_argument, nullptr, 's'},
        {"plan", no_argument, nullptr, 'p'},
        {nullptr, 0, nullptr, 0},
    }};
    for (int found = 0; (found = getopt_long(suite.argc, suite.argv, "", known.data(), nullptr)) != -1;) {
        switch (found) {
        case 'n':
            arguments.seed = std::stoull(optarg);
            break;
        case 's':
            arguments.length = std::chrono::seconds(std::stol(optarg));
            break;
        case 'p':
            arguments.isPlanOnly = true;
            break;
        default:
            throw std::invalid_argument("usage: path_faults -- [--seed N] [--seconds S] [--plan]");
        }
    }
    return arguments;
}

constexpr Duration BackLimit{10000};
constexpr Duration InForceLimit{5000};

struct FaultsFixture {
    /** Both failures begin together; each is lifted in its time. */
    void throwBoth(const FaultRound &round)
    {
        const Fault &shorter = round.first.length <= round.second.length ? round.first : round.second;
        const Fault &longer = &shorter == &round.first ? round.second : round.first;
        const MonoTime from = MonoClock::now();
        thrower.begin(round.first);
        thrower.begin(round.second);
        watchUntil(from + shorter.length);
        thrower.lift(shorter);
        watchUntil(from + longer.length);
        thrower.lift(longer);
    }

    void watchUntil(MonoTime end)
    {
        while (MonoClock::now() < end) {
            watch.look();
            deployment.loop.runFor(std::min(Duration{100}, std::max(Duration{1}, std::chrono::duration_cast<Duration>(end - MonoClock::now()))));
        }
    }

    /** Each entry has to serve a stream and a booking again by itself. */
    void checkServiceIsBack(std::size_t round, const std::string &after)
    {
        const MonoTime from = MonoClock::now();
        for (std::size_t i = 0; i < deployment.entryCount(); ++i) {
            int tries = 0;
            const std::string entry = deployment.entry(i).work.address();
            const auto isServed = [&] {
                const std::string marker = "back-" + std::to_string(round) + "-" + std::to_string(i) + "-" + std::to_string(tries++);
                CallerRequest chat = chatRequest(PayingKey, "guide", marker, true);
                chat.timeout = Duration{2000};
                return deployment.caller.call(entry, chat).status == 200 && deployment.caller.call(entry, bookingRequest(marker, Duration{2000})).status == 200;
            };
            serviceBack.check(deployment.loop.runUntil(isServed, BackLimit), deployment.entry(i).name + " does not serve after " + after);
        }
        const auto took = std::chrono::duration_cast<Duration>(MonoClock::now() - from);
        longestBack = std::max(longestBack, took);
    }

    void checkChangeIsInForce(const std::string &after)
    {
        deployment.manifest["organisations"][0]["weight"] = 11 + deployment.manifest["organisations"][0]["weight"].get<int>() % 50;
        const CtlResult applied = deployment.runCtl({"apply", deployment.writeManifest(deployment.manifest)});
        inForce.check(applied.exitCode == 0, "apply after " + after + ": " + applied.output);
        ++version;
        const std::size_t daemons = deployment.entryCount() + deployment.agentCount();
        const bool isIn = deployment.loop.runUntil([&] { return watch.look() >= version && watch.latest().size() == daemons; }, InForceLimit);
        inForce.check(isIn, "version " + std::to_string(version) + " is not in force everywhere after " + after);
    }

    static constexpr int Pieces = 20;
    Deployment deployment{
        {.entries = 2, .engines = 3, .pieces = Pieces, .pieceInterval = Duration{10}, .engineArguments = {"--concurrency", "16"}, .hasRelays = true}};
    FaultThrower thrower{deployment};
    VersionWatch watch{deployment};
    Promise serviceBack{"service-back-by-itself"};
    Promise inForce{"manifest-in-force"};
    std::uint64_t version = 0;
    Duration longestBack{0};
};

void report(const std::vector<Promise> &promises)
{
    for (const Promise &promise : promises) {
        for (const std::string &line : promise.broken) {
            BOOST_ERROR(promise.name + ": " + line);
        }
    }
    for (const Promise &promise : promises) {
        std::cout << "PROMISE " << promise.name << " checked " << promise.checked << " broken " << promise.broken.size() << std::endl;
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(plan_drawnTwiceBySeed_isTheSame)
{
    const auto lines = [](std::uint64_t seed) {
        std::string text;
        for (const FaultRound &round : drawPlan(seed, Duration{60000})) {
            text += round.first.toString() + " and " + round.second.toString() + "\n";
        }
        return text;
    };
    BOOST_TEST(lines(7) == lines(7));
    BOOST_TEST(lines(7) != lines(8));
}

// Symptom: any promise is broken by two failures together that each alone leaves whole.
// Sequence: drawn by the seed that is printed; the same seed draws the same plan.
// Cause: a mechanism that relies on another being well.
BOOST_AUTO_TEST_CASE(twoFailuresAtOnce_drawnBySeed_breakNoPromise)
{
    const Arguments arguments = parseArguments();
    const std::vector<FaultRound> plan = drawPlan(arguments.seed, arguments.length);
    std::cout << "SEED " << arguments.seed << ", " << plan.size() << " rounds" << std::endl;
    if (arguments.isPlanOnly) {
        for (const FaultRound &round : plan) {
            std::cout << round.first.toString() << " and " << round.second.toString() << std::endl;
        }
        return;
    }
    FaultsFixture run;
    run.deployment.start();
    run.version = run.watch.look();
    MixedLoad load(run.deployment, {.payingStreams = 12, .trialStreams = 6, .bookings = 6, .pieces = FaultsFixture::Pieces});
    for (std::size_t i = 0; i < plan.size(); ++i) {
        const std::string failures = plan[i].first.toString() + " and " + plan[i].second.toString();
        std::cout << "round " << i << ": " << failures << std::endl;
        run.throwBoth(plan[i]);
        run.checkServiceIsBack(i, failures);
        run.checkChangeIsInForce(failures);
    }
    load.finish();
    for (const auto &[outcome, count] : load.outcomes()) {
        std::cout << "OUTCOME " << outcome << " " << count << std::endl;
    }
    std::cout << "RESULT whole streams " << load.wholeStreams() << ", bookings answered " << load.answeredBookings() << ", longest until service is back "
              << run.longestBack.count() << " ms" << std::endl;
    std::vector<Promise> promises = load.judge();
    promises.push_back(run.watch.promise());
    promises.push_back(run.inForce);
    promises.push_back(run.serviceBack);
    report(promises);
}
