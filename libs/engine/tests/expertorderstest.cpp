#include "engine/expertorders.h"

#include "experts/expertmap.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

using namespace magnolia;
using namespace magnolia::engine;
using experts::EngineOrderKind;
using Json = nlohmann::json;

namespace
{

Json publishedStatus()
{
    return {{"group", "a"},
            {"rank", 3},
            {"epoch", 2},
            {"map", 41},
            {"pending", true},
            {"step", 90},
            {"load", {5}},
            {"loaded", {40, 41}},
            {"prepared", {{"map", 42}, {"hold_step", 120}, {"epoch", 2}}},
            {"extra", 1}};
}

experts::EngineOrder orderOf(EngineOrderKind kind)
{
    const auto map = experts::ExpertMap::roundRobin({.ranks = 2, .layers = 1, .experts = 2}, 1);
    return {.kind = kind, .epoch = 2, .map = 42, .step = 120, .payload = map.encode()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExpertOrdersTest)

BOOST_AUTO_TEST_CASE(publishedStatus_parsed_isTaken)
{
    const auto status = parseExpertStatus(publishedStatus().dump());
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(status->group == "a");
    BOOST_TEST(status->rank == 3U);
    BOOST_TEST(status->load.front() == 5U);
    const experts::EngineState expected{
        .epoch = 2, .map = 41, .isMapPending = true, .step = 90, .prepared = experts::PreparedMap{.map = 42, .holdStep = 120}, .loaded = {40, 41}};
    BOOST_TEST((status->state == expected));
}

// Symptom: a rank votes on a state that its engine never was in, and its group runs a step on two maps.
// Sequence: an engine of an older make leaves out "pending", or its numbers are signed or not whole; the agent takes a default.
// Cause: a state that lacks what the rules of the switch rest on is taken for one that allows the next map.
BOOST_AUTO_TEST_CASE(malformedStatus_parsed_isAProtocolError)
{
    const std::array<Json, 12> changes = {{
        {{"pending", nullptr}},
        {{"pending", 0}},
        {{"epoch", -1}},
        {{"map", "41"}},
        {{"step", 1.5}},
        {{"loaded", {41, 40}}},
        {{"loaded", {41, 41}}},
        {{"loaded", nullptr}},
        {{"prepared", {{"map", 42}, {"hold_step", 120}}}},
        {{"prepared", {{"map", 42}, {"hold_step", 120}, {"epoch", 1}}}},
        {{"prepared", 42}},
        {{"group", nullptr}},
    }};
    for (const Json &change : changes) {
        Json status = publishedStatus();
        status.update(change);
        const auto parsed = parseExpertStatus(status.dump());
        BOOST_REQUIRE_MESSAGE(!parsed.has_value(), change.dump());
        BOOST_TEST((parsed.error().code == ErrorCode::ProtocolError), change.dump());
    }
    for (const char *member : {"group", "rank", "epoch", "map", "pending", "step", "load", "loaded", "prepared"}) {
        Json status = publishedStatus();
        status.erase(member);
        BOOST_TEST(!parseExpertStatus(status.dump()).has_value(), member);
    }
    BOOST_TEST(!parseExpertStatus("").has_value());
    BOOST_TEST(!parseExpertStatus("[]").has_value());
}

BOOST_AUTO_TEST_CASE(eachOrder_encoded_hasItsPathAndFields)
{
    const Json base = {{"fence", 7}, {"map", 42}, {"epoch", 2}};
    const Json layers = {{"layers", {{{0}, {1}}}}};
    const Json holdStep = {{"hold_step", 120}};
    const Json step = {{"step", 120}};
    struct Row {
        EngineOrderKind kind;
        std::string path;
        std::vector<Json> additions;
    };
    const std::array<Row, 5> rows = {{
        {EngineOrderKind::Load, "/control/experts/load", {layers}},
        {EngineOrderKind::Prepare, "/control/experts/prepare", {holdStep}},
        {EngineOrderKind::Commit, "/control/experts/commit", {}},
        {EngineOrderKind::Abort, "/control/experts/abort", {}},
        {EngineOrderKind::Join, "/control/experts/join", {layers, step}},
    }};
    for (const Row &row : rows) {
        Json expected = base;
        for (const Json &addition : row.additions) {
            expected.update(addition);
        }
        const auto request = encodeExpertOrder(orderOf(row.kind), 7);
        BOOST_REQUIRE(request.has_value());
        BOOST_TEST(request->path == row.path);
        BOOST_TEST(Json::parse(request->body) == expected);
    }
}

BOOST_AUTO_TEST_CASE(whatIsNoOrder_encoded_isBadInput)
{
    BOOST_TEST(!encodeExpertOrder(orderOf(EngineOrderKind::ReadBack), 7).has_value());
    auto load = orderOf(EngineOrderKind::Load);
    load.payload = "no map";
    const auto request = encodeExpertOrder(load, 7);
    BOOST_REQUIRE(!request.has_value());
    BOOST_TEST((request.error().code == ErrorCode::BadInput));
    BOOST_TEST((request.error().verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()
