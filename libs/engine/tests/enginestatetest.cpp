#include "engine/enginestate.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace magnolia;
using namespace magnolia::engine;

BOOST_AUTO_TEST_SUITE(EngineStateTest)

BOOST_AUTO_TEST_CASE(publishedState_parsed_isTaken)
{
    const auto state = parseEngineState(R"({"boot":"b1","role":"any","fence":4,"models":[{"name":"chat","version":"7","state":"loading",
        "adapters":[{"name":"karoo","version":"2"}]}],"load":{"running":2,"waiting":1},"new_field":null})");
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST(state->boot == "b1");
    BOOST_TEST(state->fence == 4U);
    BOOST_REQUIRE(state->model("chat") != nullptr);
    BOOST_TEST(!state->model("chat")->serving);
    BOOST_TEST(state->model("chat")->adapters.front().version == "2");
    BOOST_TEST(state->model("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(malformedState_parsed_isAProtocolError)
{
    const std::array<std::string_view, 5> malformed = {"", "[]", R"({"boot":1,"models":[]})", R"({"boot":"b"})", R"({"boot":"b","models":[{"name":"x"}]})"};
    for (const std::string_view text : malformed) {
        const auto state = parseEngineState(text);
        BOOST_REQUIRE_MESSAGE(!state.has_value(), text);
        BOOST_TEST((state.error().code == ErrorCode::ProtocolError), text);
    }
}

BOOST_AUTO_TEST_CASE(order_encoded_hasOnlyItsFields)
{
    BOOST_TEST(encodeOrder({.kind = OrderKind::LoadModel, .model = "chat", .version = "7"}, 3)
               == R"({"fence":3,"model":"chat","order":"load_model","version":"7"})");
    BOOST_TEST(describe({.kind = OrderKind::LoadAdapter, .model = "chat", .version = "2", .adapter = "karoo"}) == "load_adapter chat/karoo@2");
}

BOOST_AUTO_TEST_SUITE_END()
