#include "manifest/followertask.h"
#include "samplemanifest.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

using namespace magnolia;
using namespace magnolia::manifest;

namespace
{

/** A table and an object store that answer when the test says so. */
struct Stores {
    std::optional<store::Row> head;
    std::map<std::string, std::string> objects;
    std::deque<std::function<void()>> replies;

    void read(const std::string &, store::ReadCallback done)
    {
        replies.emplace_back([this, done = std::move(done)] { done(head); });
    }
    void get(const std::string &name, store::GetCallback done)
    {
        replies.emplace_back([this, name, done = std::move(done)] { done(objects.contains(name) ? std::optional(objects.at(name)) : std::nullopt); });
    }
    void insert(const std::string &, const std::string &, const store::WriteCallback &) {}
    void replace(const std::string &, std::uint64_t, const std::string &, const store::WriteCallback &) {}
    void remove(const std::string &, std::uint64_t, const store::WriteCallback &) {}
    void list(const std::string &, const store::RowsCallback &) {}
    void put(const std::string &, const std::string &, const store::PutCallback &) {}

    void answerAll()
    {
        while (!replies.empty()) {
            const auto reply = std::move(replies.front());
            replies.pop_front();
            reply();
        }
    }
};

struct TaskFixture {
    http::EventBasePtr loop{event_base_new()};
    Stores stores;
    std::vector<std::uint64_t> inForce;
    std::vector<wire::Message> sent;
    using Task = FollowerTask<Stores, Stores>;
    std::unique_ptr<Task> task;

    TaskFixture()
    {
        const ChunkSet set = split(sampleManifest(50));
        const HeadRow row = HeadRow{}.next(set.root, "a");
        stores.head = store::Row{.value = row.encode(), .revision = 1};
        for (const auto &[hash, data] : set.chunks) {
            stores.objects[objectName(hash)] = data;
        }
        Task::Callbacks callbacks{
            .send = [this](const PeerName &, const wire::Message &message) { sent.push_back(message); },
            .putInForce =
                [this](const ManifestIndex::Pointer &index) {
                    inForce.push_back(index->version());
                    task->onPeerUp("called-from-within");
                },
            .warn = [](std::string_view) {},
        };
        task = std::make_unique<Task>(loop.get(), stores, stores, ManifestFollower::Options{}, Random(1), std::move(callbacks));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FollowerTaskTest, TaskFixture)

BOOST_AUTO_TEST_CASE(manifestInStores_followed_isPutInForceAndToldToPeers)
{
    task->start();
    stores.answerAll();
    BOOST_REQUIRE(inForce.size() == 1U);
    BOOST_TEST(inForce[0] == 1U);
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(std::holds_alternative<wire::ManifestHead>(sent[0]));
    BOOST_TEST(!task->onMessage("p", wire::Cancel{}));
}

BOOST_AUTO_TEST_CASE(repliesAfterTheEnd_dropped_reachNobody)
{
    task->start();
    task.reset();
    stores.answerAll();
    BOOST_TEST(inForce.empty());
}

BOOST_AUTO_TEST_SUITE_END()
