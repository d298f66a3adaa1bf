#include "manifest/assembly.h"
#include "manifest/chunks.h"
#include "manifest/diff.h"
#include "manifest/manifestindex.h"
#include "samplemanifest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string_view>

using namespace magnolia;
using namespace magnolia::manifest;

namespace
{

void addAll(Assembly &assembly, const ChunkSet &set)
{
    while (!assembly.isComplete()) {
        for (const Digest &hash : assembly.missing()) {
            BOOST_REQUIRE(assembly.add(hash, set.chunks.at(hash)).has_value());
        }
    }
}

ErrorCode codeOf(const Failure &failure)
{
    return static_cast<ErrorCode>(failure.code.value());
}

/** A chunk set whose root lists something else in place of one section. */
ChunkSet withSection(const Manifest &manifest, std::string_view from, std::string_view to)
{
    ChunkSet set = split(manifest);
    std::string root = set.chunks.at(set.root);
    root.replace(root.find(from), from.size(), to);
    set.root = Digest::of(root);
    set.chunks.emplace(set.root, root);
    return set;
}

} // namespace

BOOST_AUTO_TEST_SUITE(IndexTest)

BOOST_AUTO_TEST_CASE(sameManifest_writtenInAnotherOrder_hasTheSameRoot)
{
    const Manifest manifest = sampleManifest(100);
    Manifest shuffled = manifest;
    std::reverse(shuffled.organisations.begin(), shuffled.organisations.end());
    std::reverse(shuffled.models.begin(), shuffled.models.end());
    std::reverse(shuffled.models.back().adapters.begin(), shuffled.models.back().adapters.end());
    std::reverse(shuffled.endpoints.begin(), shuffled.endpoints.end());
    BOOST_TEST((split(manifest).root == split(shuffled).root));
    shuffled.version = 2;
    BOOST_TEST((split(manifest).root != split(shuffled).root));
}

BOOST_AUTO_TEST_CASE(manifest_splitAndAssembled_isTheSame)
{
    const Manifest manifest = sampleManifest(500, 3);
    const Manifest back = ManifestIndex::build(manifest)->toManifest();
    BOOST_TEST(back.version == 3U);
    BOOST_TEST(diffManifests(manifest, back).empty());
}

BOOST_AUTO_TEST_CASE(oneOrganisationOfThousand_changed_needsRootBranchAndShardOnly)
{
    Manifest manifest = sampleManifest(1000);
    const auto before = ManifestIndex::build(manifest);
    const Organisation *unchanged = before->organisation("organisation-1");
    manifest.version = 2;
    manifest.organisations[501].tier = Tier::Paying;
    const ChunkSet set = split(manifest);
    Assembly assembly({.version = 2, .root = set.root}, before);
    std::size_t fetched = 0;
    while (!assembly.isComplete()) {
        const auto missing = assembly.missing();
        fetched += missing.size();
        for (const Digest &hash : missing) {
            BOOST_REQUIRE(assembly.add(hash, set.chunks.at(hash)).has_value());
        }
    }
    BOOST_TEST(fetched == 3U);
    const auto after = assembly.finish();
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST(((*after)->organisation("organisation-501")->tier == Tier::Paying));
    BOOST_TEST((*after)->organisation("organisation-1") == unchanged); // Shared, not copied.
    BOOST_TEST((*after)->chunk(set.root).value() == set.chunks.at(set.root));
}

BOOST_AUTO_TEST_CASE(chunkOfWrongContent_added_isRefusedAndStillMissing)
{
    const ChunkSet set = split(sampleManifest(3));
    Assembly assembly({.version = 1, .root = set.root});
    std::string bitFlipped = set.chunks.at(set.root);
    bitFlipped.back() ^= 1;
    const auto added = assembly.add(set.root, bitFlipped);
    BOOST_REQUIRE(!added.has_value());
    BOOST_TEST((codeOf(added.error()) == ErrorCode::ProtocolError));
    BOOST_TEST(assembly.missing().size() == 1U);
}

BOOST_AUTO_TEST_CASE(brokenRoot_assembled_isRefused)
{
    const Manifest manifest = sampleManifest(1000);
    struct Case {
        std::string_view name;
        ChunkSet set;
    };
    const std::vector<Case> cases = {
        {"other version", withSection(manifest, "\"version\":1", "\"version\":2")},
        {"other count", withSection(manifest, "\"organisations\":1000", "\"organisations\":1001")},
        {"other shard bits", withSection(manifest, "\"shard_bits\":2", "\"shard_bits\":4")},
        {"shard bits out of range", withSection(manifest, "\"shard_bits\":2", "\"shard_bits\":40")},
        {"later format", withSection(manifest, "\"format\":1", "\"format\":2")},
        {"unknown key", withSection(manifest, "\"format\":1", "\"format\":1,\"x\":1")},
    };
    for (const Case &broken : cases) {
        BOOST_TEST_CONTEXT(broken.name)
        {
            Assembly assembly({.version = 1, .root = broken.set.root});
            bool refused = false;
            while (!refused && !assembly.isComplete()) {
                const Digest hash = assembly.missing().front();
                refused = !assembly.add(hash, broken.set.chunks.at(hash)).has_value();
            }
            BOOST_TEST((refused || !assembly.finish().has_value()));
        }
    }
}

BOOST_AUTO_TEST_CASE(organisationInWrongShard_assembled_isRefused)
{
    // Two shards swapped: each chunk fits its hash, yet lookups by name would miss.
    const Manifest manifest = sampleManifest(1000);
    ChunkSet set = split(manifest);
    std::string branch;
    for (const auto &[hash, bytes] : set.chunks) {
        if (bytes.find("\"branch\"") != std::string::npos) {
            branch = bytes;
        }
    }
    const std::size_t first = branch.find('[') + 2;
    const std::size_t second = first + 67;
    std::string swapped = branch;
    swapped.replace(first, 64, branch.substr(second, 64));
    swapped.replace(second, 64, branch.substr(first, 64));
    std::string root = set.chunks.at(set.root);
    root.replace(root.find(Digest::of(branch).toString()), 64, Digest::of(swapped).toString());
    set.root = Digest::of(root);
    set.chunks.emplace(set.root, root);
    set.chunks.emplace(Digest::of(swapped), swapped);
    Assembly assembly({.version = 1, .root = set.root});
    addAll(assembly, set);
    BOOST_TEST(!assembly.finish().has_value());
}

BOOST_AUTO_TEST_CASE(bearerKey_lookedUp_findsItsOrganisationOnly)
{
    const auto index = ManifestIndex::build(sampleManifest(1000));
    BOOST_TEST(index->organisationOfKey(sampleKey(123))->name == "organisation-123");
    BOOST_TEST(index->organisationOfKey("key-1000") == nullptr);
    BOOST_TEST(index->organisationOfKey("") == nullptr);
    BOOST_TEST(index->organisation("organisation-999")->weight == 10U);
    BOOST_TEST(index->organisation("organisation-1000") == nullptr);
    BOOST_TEST(index->organisationCount() == 1000U);
}

BOOST_AUTO_TEST_CASE(requestedModel_resolved_tells400And403And404Apart)
{
    Manifest manifest = sampleManifest(1);
    manifest.organisations.emplace_back().name = "pinned";
    manifest.organisations.back().models = {{.model = "guide", .adapters = {"*"}, .versions = {"6"}}};
    const auto index = ManifestIndex::build(manifest);
    struct Case {
        std::string_view organisation;
        std::string_view requested;
        ErrorCode code;
        std::string_view version;
    };
    const std::vector<Case> cases = {
        {"organisation-0", "guide", ErrorCode::Ok, "7"},
        {"organisation-0", "guide@7", ErrorCode::Ok, "7"},
        {"organisation-0", "guide/labels", ErrorCode::Ok, "2"},
        {"organisation-0", "guide/labels@2", ErrorCode::Ok, "2"},
        {"organisation-0", "guide@6", ErrorCode::NotFound, ""},
        {"organisation-0", "guide/labels@7", ErrorCode::NotFound, ""},
        {"organisation-0", "guide/nothing", ErrorCode::NotFound, ""},
        {"organisation-0", "nothing", ErrorCode::NotFound, ""},
        {"organisation-0", "guide/torque", ErrorCode::Forbidden, ""},
        {"organisation-0", "quotes", ErrorCode::Forbidden, ""},
        {"pinned", "guide", ErrorCode::Forbidden, ""},
        {"pinned", "guide/torque", ErrorCode::Ok, "1"},
        {"organisation-0", "", ErrorCode::BadInput, ""},
        {"organisation-0", "guide@", ErrorCode::BadInput, ""},
        {"organisation-0", "guide/", ErrorCode::BadInput, ""},
        {"organisation-0", "guide/a/b", ErrorCode::BadInput, ""},
        {"organisation-0", "guide@1@2", ErrorCode::BadInput, ""},
        {"organisation-0", "gu\xffide", ErrorCode::BadInput, ""},
    };
    for (const Case &one : cases) {
        BOOST_TEST_CONTEXT(one.organisation << " " << one.requested)
        {
            const auto target = index->resolveModel(*index->organisation(one.organisation), one.requested);
            BOOST_TEST((target ? ErrorCode::Ok : codeOf(target.error())) == one.code);
            if (target) {
                BOOST_TEST(target->version == one.version);
            } else {
                BOOST_TEST((target.error().verdict == Verdict::NotRun));
            }
        }
    }
    const std::vector<std::string> expected = {"guide", "guide/labels"};
    BOOST_TEST(index->reachableModels(*index->organisation("organisation-0")) == expected);
}

BOOST_AUTO_TEST_CASE(endpointsAndServices_lookedUp_areThoseOfTheManifest)
{
    const auto index = ManifestIndex::build(sampleManifest(1));
    const Organisation &organisation = *index->organisation("organisation-0");
    BOOST_TEST(index->resolveService(organisation, "bookings").value()->name == "bookings");
    BOOST_TEST((codeOf(index->resolveService(organisation, "records").error()) == ErrorCode::Forbidden));
    BOOST_TEST((codeOf(index->resolveService(organisation, "x").error()) == ErrorCode::NotFound));
    BOOST_TEST(index->endpointsOfModel("guide").size() == 2U);
    BOOST_TEST(index->endpointsOfModel("x").empty());
    BOOST_TEST(index->endpointsOfService("bookings").front()->name == "bookings-1");
    BOOST_TEST(index->ranksOfGroup("g").front()->name == "engine-1"); // Rank 0.
    BOOST_TEST(index->endpoint("engine-2")->group == "");
    BOOST_TEST(index->group("g")->slotsPerRank == 6U);
}

BOOST_AUTO_TEST_CASE(twoManifests_compared_nameWhatChanged)
{
    const Manifest before = sampleManifest(3);
    Manifest after = before;
    after.organisations[1].tier = Tier::Paying;
    after.organisations.erase(after.organisations.begin());
    after.models[1].version = "4";
    after.services.emplace_back().name = "z";
    std::vector<std::string> lines;
    for (const Change &change : diffManifests(before, after)) {
        lines.push_back(toString(change));
    }
    const std::vector<std::string> expected = {
        "- organisations/organisation-0",
        "~ organisations/organisation-1 tier: \"trial\" -> \"paying\"",
        "~ models/quotes version: \"3\" -> \"4\"",
        "+ services/z {\"name\":\"z\"}",
    };
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
