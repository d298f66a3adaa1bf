#include "manifest/manifestapplier.h"
#include "samplemanifest.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

using namespace magnolia;
using namespace magnolia::manifest;
using namespace std::chrono_literals;

namespace
{

/** A platform whose replies and effects each test can take away. */
struct Platform {
    std::optional<ManifestApplier::StoredRow> row;
    std::map<Digest, std::string> objects;
    std::size_t objectWrites = 0;
    bool isDown = false;

    /** Called before each write of the head row: may let a rival in, drop the effect or the reply. */
    struct HeadWriteFault {
        bool loseEffect = false;
        bool loseReply = false;
    };
    std::function<HeadWriteFault(std::size_t attempt)> onHeadWrite;
    std::size_t headWrites = 0;

    bool write(const std::optional<std::uint64_t> &revision, const std::string &value)
    {
        const bool fits = row ? revision == row->revision : !revision;
        if (fits) {
            row = {.value = value, .revision = row ? row->revision + 1 : 1};
        }
        return fits;
    }
};

struct Fixture {
    Platform platform;
    MonoTime now{1h};

    ApplyOutcome apply(const Manifest &manifest, const std::string &id, std::optional<std::uint64_t> base = {})
    {
        ManifestApplier applier(manifest, {.applyId = id, .base = base}, Random(3));
        applier.start(now);
        while (!applier.outcome()) {
            auto actions = applier.takeActions();
            for (ApplyAction &action : actions) {
                std::visit([this, &applier](const auto &wanted) { serve(applier, wanted); }, action);
            }
            if (actions.empty()) {
                now = std::max(now + 1ms, applier.nextTime());
                applier.onTime(now);
            }
        }
        return *applier.outcome();
    }

    void serve(ManifestApplier &applier, const ApplyReadHead &)
    {
        if (platform.isDown) {
            applier.onHeadRow(now, fail(ErrorCode::Unavailable, Verdict::NotRun, "down"));
        } else {
            applier.onHeadRow(now, platform.row);
        }
    }

    void serve(ManifestApplier &applier, const ApplyReadObject &read)
    {
        const auto object = platform.objects.find(read.hash);
        applier.onObject(now, read.hash, object == platform.objects.end() ? std::nullopt : std::optional(object->second));
    }

    void serve(ManifestApplier &applier, const ApplyWriteObject &write)
    {
        ++platform.objectWrites;
        platform.objects[write.hash] = write.data;
        applier.onObjectWritten(now, write.hash, {});
    }

    void serve(ManifestApplier &applier, const ApplyWriteHead &write)
    {
        ++platform.headWrites;
        const auto fault = platform.onHeadWrite ? platform.onHeadWrite(platform.headWrites) : Platform::HeadWriteFault{};
        const bool applied = !fault.loseEffect && platform.write(write.revision, write.value);
        if (!fault.loseReply && !fault.loseEffect) {
            applier.onHeadWritten(now, ManifestApplier::HeadWrite{.applied = applied, .current = platform.row});
        }
    }

    HeadRow head() const
    {
        return HeadRow::decode(platform.row->value).value();
    }
};

Manifest withTier(std::size_t organisation, Tier tier)
{
    Manifest manifest = sampleManifest(100);
    manifest.organisations[organisation].tier = tier;
    return manifest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ApplierTest)

BOOST_FIXTURE_TEST_CASE(emptyPlatform_applied_getsVersionOne, Fixture)
{
    const ApplyOutcome outcome = apply(sampleManifest(100), "a");
    BOOST_TEST((outcome.result == ApplyResult::Applied));
    BOOST_TEST(outcome.version == 1U);
    BOOST_TEST(head().head.applyId == "a");
    BOOST_TEST(platform.objects.contains(head().head.root));
}

BOOST_FIXTURE_TEST_CASE(oneOrganisation_changed_uploadsItsChunksOnly, Fixture)
{
    apply(sampleManifest(100), "a");
    const ApplyOutcome outcome = apply(withTier(1, Tier::Paying), "b");
    BOOST_TEST((outcome.result == ApplyResult::Applied));
    BOOST_TEST(outcome.version == 2U);
    BOOST_TEST(outcome.chunksWritten == 3U);
}

BOOST_FIXTURE_TEST_CASE(sameContent_appliedAgain_writesNothing, Fixture)
{
    apply(sampleManifest(100), "a");
    platform.objectWrites = 0;
    const ApplyOutcome outcome = apply(sampleManifest(100), "b");
    BOOST_TEST((outcome.result == ApplyResult::Unchanged));
    BOOST_TEST(outcome.version == 1U);
    BOOST_TEST(platform.objectWrites == 0U);
}

BOOST_FIXTURE_TEST_CASE(replyLostAfterEffect_settled_isAppliedOnce, Fixture)
{
    // Symptom: a version is put in force twice, or an apply that worked reports a conflict with itself. Sequence: the head
    // row is moved, the reply is lost, the write is sent again and refused. Cause: the refusal was taken at its word.
    apply(sampleManifest(100), "a");
    platform.headWrites = 0;
    platform.onHeadWrite = [](std::size_t attempt) { return Platform::HeadWriteFault{.loseReply = attempt == 1}; };
    const ApplyOutcome outcome = apply(withTier(1, Tier::Paying), "b");
    BOOST_TEST((outcome.result == ApplyResult::Applied));
    BOOST_TEST(outcome.version == 2U);
    BOOST_TEST(!outcome.superseded);
    BOOST_TEST(platform.headWrites == 2U);
    BOOST_TEST(head().head.version == 2U);
}

BOOST_FIXTURE_TEST_CASE(requestLostBeforeEffect_settled_isAppliedOnce, Fixture)
{
    platform.onHeadWrite = [](std::size_t attempt) { return Platform::HeadWriteFault{.loseEffect = attempt == 1}; };
    const ApplyOutcome outcome = apply(sampleManifest(100), "a");
    BOOST_TEST((outcome.result == ApplyResult::Applied));
    BOOST_TEST(head().head.version == 1U);
}

BOOST_FIXTURE_TEST_CASE(rivalInBetween_movesHead_conflictShowsWhatItChanged, Fixture)
{
    apply(sampleManifest(100), "a");
    platform.headWrites = 0;
    platform.onHeadWrite = [this](std::size_t attempt) {
        if (attempt == 1) {
            apply(withTier(2, Tier::Paying), "rival");
        }
        return Platform::HeadWriteFault{};
    };
    const ApplyOutcome outcome = apply(withTier(1, Tier::Paying), "b");
    BOOST_TEST((outcome.result == ApplyResult::Conflict));
    BOOST_TEST((outcome.verdict == Verdict::NotRun));
    BOOST_TEST(outcome.version == 2U);
    BOOST_REQUIRE(outcome.rivalChanges.size() == 1U);
    BOOST_TEST(toString(outcome.rivalChanges[0]) == "~ organisations/organisation-2 tier: \"trial\" -> \"paying\"");
    BOOST_TEST(head().head.applyId == "rival");
}

BOOST_FIXTURE_TEST_CASE(replyLostAndRivalFollows_settledByHistory_isAppliedAndSuperseded, Fixture)
{
    // Symptom: an apply that was in force for a moment reports that nothing of it ever was. Sequence: our write takes
    // effect, its reply is lost, a rival moves the head on. Cause: only the head's apply id was compared.
    apply(sampleManifest(100), "a");
    platform.headWrites = 0;
    platform.onHeadWrite = [this](std::size_t attempt) {
        if (attempt == 2) {
            apply(withTier(2, Tier::Paying), "rival");
        }
        return Platform::HeadWriteFault{.loseReply = attempt == 1};
    };
    const ApplyOutcome outcome = apply(withTier(1, Tier::Paying), "b");
    BOOST_TEST((outcome.result == ApplyResult::Applied));
    BOOST_TEST(outcome.superseded);
    BOOST_TEST(outcome.version == 2U);
    BOOST_TEST(head().head.version == 3U);
}

BOOST_FIXTURE_TEST_CASE(outageFromTheStart_applied_isUnavailableAndNotRun, Fixture)
{
    platform.isDown = true;
    const ApplyOutcome outcome = apply(sampleManifest(100), "a");
    BOOST_TEST((outcome.result == ApplyResult::Unavailable));
    BOOST_TEST((outcome.verdict == Verdict::NotRun));
}

BOOST_FIXTURE_TEST_CASE(outageAtHeadWrite_applied_saysThatItMayHaveRun, Fixture)
{
    platform.onHeadWrite = [](std::size_t) { return Platform::HeadWriteFault{.loseReply = true}; };
    const ApplyOutcome outcome = apply(sampleManifest(100), "a");
    BOOST_TEST((outcome.result == ApplyResult::Unavailable));
    BOOST_TEST((outcome.verdict == Verdict::MayHaveRun));
    BOOST_TEST(head().head.version == 1U);
}

BOOST_FIXTURE_TEST_CASE(manifestMadeFromOlderVersion_applied_isAConflict, Fixture)
{
    apply(sampleManifest(100), "a");
    apply(withTier(2, Tier::Paying), "rival");
    const ApplyOutcome outcome = apply(withTier(1, Tier::Paying), "b", 1);
    BOOST_TEST((outcome.result == ApplyResult::Conflict));
    BOOST_TEST(outcome.rivalChanges.size() == 1U);
    BOOST_TEST(head().head.version == 2U);
}

BOOST_FIXTURE_TEST_CASE(malformedHeadRow_applied_isBrokenAndLeftAlone, Fixture)
{
    platform.row = {.value = "{\"version\": -1}", .revision = 1};
    const ApplyOutcome outcome = apply(sampleManifest(1), "a");
    BOOST_TEST((outcome.result == ApplyResult::Broken));
    BOOST_TEST(platform.headWrites == 0U);
}

BOOST_FIXTURE_TEST_CASE(longHistory_writtenOn_isBounded, Fixture)
{
    for (std::size_t i = 0; i < 20; ++i) {
        apply(withTier(1, i % 2 == 0 ? Tier::Trial : Tier::Paying), "a" + std::to_string(i));
    }
    BOOST_TEST(head().head.version == 20U);
    BOOST_TEST(head().history.size() == HeadRow::MaxHistory);
    BOOST_TEST(head().find("a10")->version == 11U);
    BOOST_TEST(head().find("a1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
