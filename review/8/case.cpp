// An engine leaves without a word, and a write of its registration that got no answer is performed afterwards.
#define BOOST_TEST_MODULE case8 // NOLINT(readability-identifier-naming): the library's name
#include <boost/test/included/unit_test.hpp>

#include "../standins-2/deployment.h"

#include <array>
#include <atomic>

namespace magnolia::review
{

namespace
{

constexpr std::size_t Engines = 3;
constexpr std::size_t Leaving = 2; ///< Index of the engine that leaves.
constexpr Duration HeartbeatInterval{1200};
constexpr Duration TimeToLeave{3300}; ///< From the write without an answer to the removal, over the stable window of 3,000 ms.
constexpr Duration LateBy{5900}; ///< From that write to its performance; the pages say 1 to 6 s.
constexpr Duration DrainBound{2000};

struct Engine {
    std::mutex mutex;
    std::vector<MonoTime> arrivals;
    std::unique_ptr<Server> server;
    int sequence = 0;
    bool isWriting = true;
};

} // namespace

BOOST_AUTO_TEST_CASE(engine_leftAndItsOldRegistrationIsPerformedLate_getsNoRequests)
{
    Deployment deployment;
    std::array<Engine, Engines> engines;
    for (std::size_t index = 0; index < Engines; ++index) {
        engines[index].server = std::make_unique<Server>([&, index](Connection &connection, const Message &request) {
            {
                const std::lock_guard lock(engines[index].mutex);
                engines[index].arrivals.push_back(MonoClock::now());
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            return connection.send("HTTP/1.1 200 OK\r\n" + deployment.protocol.requestId + ": " + request.header(deployment.protocol.requestId) + "\r\n"
                                   + deployment.protocol.answerProof + ": p\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok");
        });
    }
    const auto write = [&](std::size_t index) {
        deployment.putEndpoint("i-" + std::to_string(index), "s2", engines[index].server->address(), engines[index].sequence);
    };
    http::Timer heartbeats(deployment.loop.get(), [&] {
        for (std::size_t index = 0; index < Engines; ++index) {
            if (engines[index].isWriting) {
                ++engines[index].sequence;
                write(index);
            }
        }
        heartbeats.start(HeartbeatInterval);
    });
    heartbeats.start(Duration(0));
    BOOST_REQUIRE(deployment.isReadyInTime());

    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    constexpr int Clients = 4;
    std::vector<std::thread> clients;
    clients.reserve(Clients);
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; !isOver; ++number) {
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
                served += deployment.call(deployment.request("POST /y/book HTTP/1.1", id, "body", 1500)).status() == 200 ? 1 : 0;
            }
        });
    }
    deployment.runFor(Duration(2000));

    Engine &leaving = engines[Leaving];
    const int lateSequence = ++leaving.sequence;
    const std::string late = Deployment::registration("s2", leaving.server->address(), lateSequence);
    deployment.record.write("i-2 writes its registration, sequence ", lateSequence, ", and gets no answer");
    deployment.runFor(TimeToLeave);
    leaving.isWriting = false;
    deployment.store.remove(adapters::EndpointTable, "i-2");
    const MonoTime removedAt = MonoClock::now();
    deployment.record.write("i-2 leaves: its registration is removed, last sequence ", leaving.sequence, "; it serves on");
    deployment.runFor(LateBy - TimeToLeave);
    if (hasTrouble()) {
        deployment.store.put(adapters::EndpointTable, "i-2", late);
        deployment.record.write("the write of sequence ", lateSequence, " is performed");
    }
    deployment.runFor(3 * HeartbeatInterval); // Then the registration lapses.
    deployment.store.remove(adapters::EndpointTable, "i-2");
    deployment.record.write("the registration of i-2 lapses");
    deployment.runFor(Duration(500));
    isOver = true;
    deployment.runFor(Duration(300));
    for (std::thread &client : clients) {
        client.join();
    }
    const std::lock_guard lock(leaving.mutex);
    const auto arrivedBefore = std::count_if(leaving.arrivals.begin(), leaving.arrivals.end(), [&](MonoTime at) { return at < removedAt; });
    const auto arrivedLate = std::count_if(leaving.arrivals.begin(), leaving.arrivals.end(), [&](MonoTime at) { return at > removedAt + DrainBound; });
    deployment.record.write(
        served, " requests were answered 200; ", arrivedBefore, " reached i-2 before it left, ", arrivedLate, " more than 2,000 ms after that");
    BOOST_TEST(arrivedLate == 0, arrivedLate << " requests reached an engine more than 2,000 ms after it was gone");
    BOOST_REQUIRE(arrivedBefore > 0);
}

} // namespace magnolia::review
