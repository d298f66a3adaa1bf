#include "manifest/parser.h"

#include "manifest/manifestindex.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

using namespace magnolia::manifest;

namespace
{

struct Fault {
    std::string_view name;
    Format format;
    std::string text;
    std::string_view place;
    std::string_view message; ///< Part of it.
};

std::string repeated(std::string_view text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

constexpr std::string_view Hash = "00000000000000000000000000000000000000000000000000000000000000aa";

std::string organisationWith(std::string_view key, std::string_view value)
{
    return "[[organisations]]\nname = \"a\"\ntier = \"trial\"\n" + std::string(key) + " = " + std::string(value) + "\n";
}

std::string modelWithEndpoint(std::string_view modelExtra, std::string_view endpointExtra)
{
    return "[[models]]\nname = \"m\"\nversion = \"1\"\n" + std::string(modelExtra) + "\n[[endpoints]]\nname = \"e\"\ndata_centre = \"d\"\nmodels = [\"m\"]\n"
        + std::string(endpointExtra) + "\n";
}

std::string group(std::string_view sizes, std::string_view ranks)
{
    std::string text = "[[models]]\nname = \"m\"\nversion = \"1\"\n[[groups]]\nname = \"g\"\n" + std::string(sizes) + "\n";
    for (const char rank : ranks) {
        text += "[[endpoints]]\nname = \"e" + std::to_string(text.size()) + "\"\ndata_centre = \"d\"\nmodels = [\"m\"]\ngroup = \"g\"\nrank = ";
        text += rank;
        text += "\n";
    }
    return text;
}

const std::vector<Fault> &faults()
{
    static const std::string hash(Hash);
    static const std::vector<Fault> table = {
        {"unknown key", Format::Toml, organisationWith("colour", "\"red\""), "line 4, column 10", "unknown key \"colour\""},
        {"unknown section", Format::Json, R"({"models": [], "modles": []})", "/modles", "unknown key"},
        {"missing key", Format::Toml, "\n[[organisations]]\ntier = \"trial\"\n", "line 2, column 1", "\"name\" is missing"},
        {"wrong type", Format::Json, R"({"organisations": [{"name": 3, "tier": "trial"}]})", "/organisations/0/name", "expected a string, found an integer"},
        {"date", Format::Toml, organisationWith("weight", "2026-12-02"), "line 4, column 10", "found a date"},
        {"section of wrong type", Format::Toml, "models = 3\n", "line 1, column 10", "expected an array"},
        {"out of range", Format::Toml, organisationWith("weight", "1001"), "line 4, column 10", "expected 1 to 1000"},
        {"negative", Format::Toml, organisationWith("weight", "-1"), "line 4, column 10", "expected 1 to 1000"},
        {"not a number", Format::Toml, organisationWith("burst", "nan"), "line 4, column 9", "out of range"},
        {"huge number", Format::Json, R"({"organisations": [{"name": "a", "tier": "trial", "burst": 1e999}]})", "line 1, column 1", "number overflow"},
        {"unknown word", Format::Json, R"({"organisations": [{"name": "a", "tier": "free"}]})", "/organisations/0/tier", "not one of paying, trial"},
        {"name with slash", Format::Json, R"({"organisations": [{"name": "a/b", "tier": "trial"}]})", "/organisations/0/name", "is no name"},
        {"key in place of hash", Format::Toml, organisationWith("key_hashes", "[\"my-secret\"]"), "line 4, column 15", "found 9 bytes of another form"},
        {"upper-case hash", Format::Toml, organisationWith("key_hashes", "[\"" + std::string(62, '0') + "AA\"]"), "line 4, column 15", "lower-case"},
        {"shared key",
         Format::Json,
         R"({"organisations": [{"name": "a", "tier": "trial", "key_hashes": [")" + hash + R"("]}, {"name": "b", "tier": "trial", "key_hashes": [")" + hash
             + R"("]}]})",
         "/organisations/1/key_hashes/0",
         "stands at organisation \"a\" already"},
        {"same name twice", Format::Json, R"({"services": [{"name": "s"}, {"name": "s"}]})", "/services/1/name", "named twice"},
        {"same key twice", Format::Json, R"({"services": [{"name": "s", "name": "t"}]})", "/services/0/name", "stands twice"},
        {"same key twice", Format::Toml, "[[services]]\nname = \"s\"\nname = \"t\"\n", "line 3, column 8", "redefine"},
        {"unknown model",
         Format::Json,
         R"({"organisations": [{"name": "a", "tier": "trial", "models": [{"model": "x"}]}]})",
         "/organisations/0/models/0/model",
         "unknown model \"x\""},
        {"unknown adapter",
         Format::Toml,
         modelWithEndpoint("", "") + organisationWith("models", "[{model = \"m\", adapters = [\"z\"]}]"),
         "line 13, column 37",
         "no adapter \"z\""},
        {"unknown service", Format::Toml, organisationWith("services", "[\"s\"]"), "line 4, column 13", "unknown service \"s\""},
        {"unknown group", Format::Toml, modelWithEndpoint("", "group = \"g\""), "line 9, column 9", "unknown group"},
        {"model endpoint without models", Format::Json, R"({"endpoints": [{"name": "e", "data_centre": "d"}]})", "/endpoints/0", "needs \"models\""},
        {"service endpoint without service",
         Format::Json,
         R"({"endpoints": [{"name": "e", "data_centre": "d", "kind": "service"}]})",
         "/endpoints/0",
         "needs \"service\""},
        {"rank without group", Format::Toml, modelWithEndpoint("", "rank = 1"), "line 9, column 8", "needs a \"group\""},
        {"floor above endpoints", Format::Toml, modelWithEndpoint("serving_floor = 2", ""), "line 1, column 1", "above the 1 endpoints"},
        {"rank lacking", Format::Toml, group("ranks = 3\nexperts = 4\nslots_per_rank = 2", "02"), "line 4, column 1", "lacks 1 of 3 ranks: 1"},
        {"rank doubled", Format::Toml, group("ranks = 2\nexperts = 4\nslots_per_rank = 2", "011"), "line 26, column 8", "rank 1 of group \"g\" is endpoint"},
        {"rank too high", Format::Toml, group("ranks = 2\nexperts = 4\nslots_per_rank = 2", "012"), "line 26, column 8", "rank 2 is out of range"},
        {"too few slots", Format::Toml, group("ranks = 2\nexperts = 5\nslots_per_rank = 2", "01"), "line 8, column 18", "fewer than 5 experts"},
        {"more slots than experts", Format::Toml, group("ranks = 2\nexperts = 5\nslots_per_rank = 6", "01"), "line 8, column 18", "more than the 5 experts"},
        {"truncated", Format::Toml, "[[models]]\nname = \"m", "line 2, column 10", ""},
        {"truncated", Format::Json, "{\"models\": [\n{\"name\"", "line 2, column 8", "syntax error"},
        {"empty", Format::Json, "", "line 1, column 1", "syntax error"},
        {"invalid UTF-8", Format::Toml, "[[models]]\nname = \"m\xff\"\n", "line 2, column 9", ""},
        {"invalid UTF-8", Format::Json, "{\"models\": [{\"name\": \"\xff\"}]}", "line 1, column 23", "UTF-8"},
        {"deep nesting", Format::Toml, "a = " + repeated("[", 200000), "line 1, column 261", ""},
        {"deep nesting", Format::Json, repeated("[", 200000) + repeated("]", 200000), "line 1, column 1", "deeper than 32"},
        {"deep nesting within bounds of the parser", Format::Toml, "a = " + repeated("[", 40) + repeated("]", 40), "line 1, column 1", "deeper than 32"},
    };
    return table;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ParserTest)

BOOST_AUTO_TEST_CASE(faultyManifest_parsed_namesPlaceAndExpectation)
{
    for (const Fault &fault : faults()) {
        BOOST_TEST_CONTEXT(fault.name << (fault.format == Format::Toml ? " (TOML)" : " (JSON)"))
        {
            const auto manifest = parseManifest(fault.text, fault.format);
            BOOST_REQUIRE(!manifest.has_value());
            const Problem &problem = manifest.error().front();
            BOOST_TEST(problem.place == fault.place);
            BOOST_TEST(problem.message.find(fault.message) != std::string::npos, problem.message);
        }
    }
}

BOOST_AUTO_TEST_CASE(manifestWithManyFaults_parsed_reportsAllAtOnce)
{
    const auto manifest = parseManifest("colour = 1\n[[organisations]]\ntier = \"free\"\nweight = 0\nservices = [\"s\"]\n", Format::Toml);
    BOOST_REQUIRE(!manifest.has_value());
    BOOST_TEST(manifest.error().size() == 5U); // Key, name, tier, weight, service.
}

BOOST_AUTO_TEST_CASE(manifestWithTooManyFaults_parsed_stopsAtLimit)
{
    const auto manifest = parseManifest(repeated("[[models]]\n", 1000), Format::Toml, {.maxProblems = 7});
    BOOST_REQUIRE(!manifest.has_value());
    BOOST_TEST(manifest.error().size() == 7U);
    BOOST_TEST(manifest.error().back().message.find("too many problems") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(oversizeManifest_parsed_isRefusedUnread)
{
    const auto manifest = parseManifest(std::string(101, ' '), Format::Toml, {.maxBytes = 100});
    BOOST_REQUIRE(!manifest.has_value());
    BOOST_TEST(manifest.error().front().message == "101 bytes are over the limit of 100");
}

BOOST_AUTO_TEST_CASE(exampleManifest_parsed_servesTheKeysOfItsComments)
{
    const auto manifest = parseManifest(readFile(MAGNOLIA_EXAMPLES "/manifest.toml"), Format::Toml);
    BOOST_REQUIRE(manifest.has_value());
    const auto index = ManifestIndex::build(*manifest);
    const Organisation *paying = index->organisationOfKey("flue-commons-example-key");
    const Organisation *trial = index->organisationOfKey("visitor-example-key");
    BOOST_REQUIRE(paying != nullptr);
    BOOST_REQUIRE(trial != nullptr);
    BOOST_TEST((paying->tier == Tier::Paying));
    BOOST_TEST((trial->tier == Tier::Trial));
    BOOST_TEST(index->endpointsOfModel("guide").size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
