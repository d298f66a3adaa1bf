#include "agent/rolloutpace.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace magnolia;
using namespace magnolia::agent;
using namespace std::chrono_literals;

namespace
{

/** Endpoints that change one after the other, each from when its look finds the slot free until some time later. */
class Queue
{
public:
    Queue(std::size_t count, Duration changeTime, std::uint64_t seed) : changeTime_(changeTime), random_(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            waiting_.push_back({.name = "engine-" + std::to_string(i), .pace = RolloutPace()});
        }
    }

    /** @param frozen an endpoint whose agent reports that it serves and looks no more. */
    Duration run(std::string_view frozen = {})
    {
        const std::size_t left = frozen.empty() ? 0 : 1;
        MonoTime now{};
        news(now);
        while (waiting_.size() > left || freeAt_) {
            if (freeAt_ && now >= *freeAt_) {
                freeAt_.reset();
            }
            if (backAt_ && now >= *backAt_) {
                backAt_.reset();
                news(now);
            }
            turn(now, frozen);
            now += 10ms;
        }
        return std::chrono::duration_cast<Duration>(now - MonoTime());
    }

    std::uint64_t reads() const
    {
        return reads_;
    }

private:
    struct Member {
        std::string name;
        RolloutPace pace;
    };

    /** What the peers' reports cause: all hear that somebody serves the new version. */
    void news(MonoTime now)
    {
        for (Member &member : waiting_) {
            std::set<std::string> others;
            for (const Member &other : waiting_) {
                if (other.name != member.name) {
                    others.insert(other.name);
                }
            }
            if (isNextToMove("guide", member.name, others, 1)) {
                member.pace.changeSeen(now, random_);
            }
        }
    }

    void turn(MonoTime now, std::string_view frozen)
    {
        for (auto member = waiting_.begin(); member != waiting_.end(); ++member) {
            if (member->name == frozen || now < member->pace.nextLook()) {
                continue;
            }
            ++reads_;
            if (!freeAt_) {
                // Its report goes out a little before the slot's row is freed.
                backAt_ = now + changeTime_;
                freeAt_ = *backAt_ + 400ms;
                waiting_.erase(member);
                return;
            }
            member->pace.lookedInVain(now, random_);
        }
    }

    Duration changeTime_;
    Random random_;
    std::vector<Member> waiting_;
    std::optional<MonoTime> backAt_;
    std::optional<MonoTime> freeAt_;
    std::uint64_t reads_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutPaceTest)

// Symptom: a version change of three endpoints takes now 6 s and now more than 20 s.
// Sequence: one endpoint is back in service and frees its slot; the next looks at the table up to 6 s later, each time.
// Cause: looks that are only paced by a timer, though the peer's report has told that the slot is about to be free.
BOOST_AUTO_TEST_CASE(slotsHolder_backInService_isFollowedByTheNextWithinASecond)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const Duration took = Queue(3, 1000ms, seed).run();
        BOOST_REQUIRE_MESSAGE(took <= 3 * (1000ms + 400ms + 600ms), "seed " << seed << ": " << took.count() << " ms");
    }
}

// Symptom: a version change of a large model takes the table's reads from everybody else.
// Sequence: one slot is freed, and each of the hundred that wait asks the table at once and often.
// Cause: news that wakes all, though only one can be next.
BOOST_AUTO_TEST_CASE(manyThatWait_forOneSlot_leaveTheTableItsReads)
{
    constexpr std::size_t Count = 87; // 1,300 engines, 15 models.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Queue queue(Count, 20000ms, seed);
        const Duration took = queue.run();
        const double readsPerSecond = static_cast<double>(queue.reads()) * 1000 / static_cast<double>(took.count());
        // A quarter of all that wait look each second without news; half of them wait on average.
        BOOST_TEST(readsPerSecond < 0.25 * Count / 2 * 1.2 + 1.5, "seed " << seed << ": " << readsPerSecond << " reads a second");
    }
}

// Symptom: a version change stands still behind one endpoint.
// Sequence: the agent of the endpoint that is next is frozen; it still counts as one that waits.
// Cause: a strict order of those that wait.
BOOST_AUTO_TEST_CASE(frozenAgent_thatIsNext_holdsUpNobody)
{
    for (int i = 0; i < 6; ++i) {
        const std::string frozen = "engine-" + std::to_string(i);
        const Duration took = Queue(6, 1000ms, 1).run(frozen);
        BOOST_TEST(took <= 5 * (1000ms + 400ms + 600ms), frozen << ": " << took.count() << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()
