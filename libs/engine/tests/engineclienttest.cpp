#include "engine/engineclient.h"

#include "http/eventhandles.h"
#include "http/httpserver.h"

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::engine;
using namespace std::chrono_literals;

namespace
{

using Json = nlohmann::json;

/** An engine of ten pieces whose connections can be made to fall silent. */
class SmallEngine
{
public:
    explicit SmallEngine(event_base *loop)
        : server_(http::HttpServer::listen(loop, {.address = "127.0.0.1:0"}, [this](std::shared_ptr<http::Exchange> exchange) {
                      handle(std::move(exchange));
                  }).value())
    {
    }

    std::string address() const
    {
        return server_->address();
    }

    static constexpr int Pieces = 10;
    int silentAfter = -1; ///< Streams give so many pieces and then nothing more; counted down by silentStreams.
    int silentStreams = 0;
    bool cutInstead = false; ///< Ends the stream there in place of falling silent.
    bool healthy = true;
    int orderStatus = 200;
    std::string retryAfter = "2"; ///< Of the answers to orders.
    std::vector<Json> requests;
    int plainCalls = 0;
    int hangups = 0;

private:
    void handle(std::shared_ptr<http::Exchange> exchange)
    {
        if (exchange->path() == "/health") {
            if (healthy) {
                exchange->reply(200, {}, "");
            } else {
                held_.push_back(std::move(exchange));
            }
        } else if (exchange->path() == "/control/orders") {
            exchange->reply(orderStatus, {{"retry-after", retryAfter}}, "{}");
        } else if (exchange->path() == "/v1/chat/completions") {
            stream(std::move(exchange));
        } else {
            ++plainCalls;
            held_.push_back(exchange);
            exchange->beginStream(200, {{"content-type", "text/plain"}});
            exchange->sendPiece("part");
        }
    }

    void stream(std::shared_ptr<http::Exchange> exchange)
    {
        requests.push_back(Json::parse(exchange->body()));
        exchange->onHangup([this] { ++hangups; });
        exchange->beginStream(200, {{"content-type", "text/event-stream"}});
        const bool silent = silentStreams > 0;
        for (int piece = requests.back().at("resume_after").get<int>(); piece < Pieces; ++piece) {
            if (silent && piece == silentAfter) {
                --silentStreams;
                if (cutInstead) {
                    exchange->endStream();
                }
                held_.push_back(std::move(exchange));
                return;
            }
            exchange->sendPiece("data: piece " + std::to_string(piece) + "\n\n");
        }
        exchange->sendPiece("data: [DONE]\n\n");
        exchange->endStream();
    }

    std::vector<std::shared_ptr<http::Exchange>> held_;
    std::unique_ptr<http::HttpServer> server_;
};

struct EngineFixture {
    http::EventBasePtr loop{event_base_new()};
    SmallEngine engine{loop.get()};
    EngineClient client{loop.get(), {.address = engine.address(), .silenceTimeout = 60ms, .probeTimeout = 60ms}};
    std::vector<std::string> pieces;
    std::vector<std::uint32_t> indices;
    std::optional<Result<Completion>> end;

    EngineClient::Callbacks callbacks()
    {
        return {
            .onChunk =
                [this](std::uint32_t index, std::string_view data) {
                    indices.push_back(index);
                    pieces.emplace_back(data);
                },
            .onEnd =
                [this](Result<Completion> result) {
                    BOOST_REQUIRE(!end.has_value());
                    end = std::move(result);
                },
        };
    }

    EngineClient::CallId runModel(std::uint32_t resumeAfter = 0, const std::string &body = R"({"messages":[]})")
    {
        return client.runModel({.path = "/v1/chat/completions", .body = body, .priority = 1, .resumeAfter = resumeAfter, .timeout = 5s}, callbacks());
    }

    template<typename Condition>
    void runUntil(Condition happened)
    {
        const MonoTime limit = MonoClock::now() + 10s;
        while (!happened() && MonoClock::now() < limit) {
            const timeval pause = http::toTimeval(10ms);
            event_base_loopexit(loop.get(), &pause);
            event_base_loop(loop.get(), EVLOOP_ONCE);
        }
        BOOST_REQUIRE(happened());
    }

    void runToEnd()
    {
        runUntil([this] { return end.has_value(); });
    }

    void checkPieces(int from)
    {
        BOOST_REQUIRE(pieces.size() == static_cast<std::size_t>(SmallEngine::Pieces - from));
        for (int i = from; i < SmallEngine::Pieces; ++i) {
            BOOST_TEST(pieces[static_cast<std::size_t>(i - from)] == "piece " + std::to_string(i));
            BOOST_TEST(indices[static_cast<std::size_t>(i - from)] == static_cast<std::uint32_t>(i));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineClientTest, EngineFixture)

BOOST_AUTO_TEST_CASE(modelStream_whole_givesEachPieceWithItsIndex)
{
    runModel(4);
    runToEnd();
    BOOST_REQUIRE(end->has_value());
    BOOST_TEST((*end)->chunks == 10U);
    checkPieces(4);
    BOOST_TEST(engine.requests.front().at("stream") == true);
    BOOST_TEST(engine.requests.front().at("priority") == 1);
}

// Symptom: a caller's answer hangs in mid-stream until its deadline though the engine is well.
// Sequence: something between agent and engine loses track of the open connection; nothing arrives and nothing closes,
// while fresh connections work.
// Cause: taking an open connection for a live one.
BOOST_AUTO_TEST_CASE(modelStream_silentTwiceWhileTheEngineAnswers_isResumedWithoutGapOrRepeat)
{
    engine.silentAfter = 3;
    engine.silentStreams = 1;
    runModel();
    runToEnd();
    BOOST_REQUIRE(end->has_value());
    checkPieces(0);
    BOOST_REQUIRE(engine.requests.size() == 2U);
    BOOST_TEST(engine.requests.back().at("resume_after") == 3);
    BOOST_TEST(engine.hangups == 1);
}

BOOST_AUTO_TEST_CASE(modelStream_silentAndTheEngineTooOnFreshConnections_endsAsMayHaveRun)
{
    engine.silentAfter = 3;
    engine.silentStreams = 1;
    engine.healthy = false;
    runModel();
    runToEnd();
    BOOST_REQUIRE(!end->has_value());
    BOOST_TEST((end->error().code == ErrorCode::ConnectionLost));
    BOOST_TEST((end->error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(pieces.size() == 3U);
    BOOST_TEST(engine.requests.size() == 1U);
}

// Symptom: a caller takes half an answer for the whole one.
// Sequence: the engine's process ends in mid-stream and its system closes the connection in good order.
// Cause: taking the end of the body for the end of the answer.
BOOST_AUTO_TEST_CASE(modelStream_endedWithoutItsEndMark_isNotWhole)
{
    engine.silentAfter = 3;
    engine.silentStreams = 1;
    engine.cutInstead = true;
    runModel();
    runToEnd();
    BOOST_REQUIRE(!end->has_value());
    BOOST_TEST((end->error().code == ErrorCode::ConnectionLost));
}

BOOST_AUTO_TEST_CASE(cancelledStream_atTheEngine_isAHangup)
{
    engine.silentAfter = 3;
    engine.silentStreams = 1;
    const auto call = runModel();
    runUntil([this] { return pieces.size() == 3U; });
    client.cancel(call);
    runUntil([this] { return engine.hangups == 1; });
    BOOST_TEST(!end.has_value());
}

BOOST_AUTO_TEST_CASE(bodyThatIsNoObject_isRefusedAsNotRun)
{
    runModel(0, "[1]");
    runToEnd();
    BOOST_REQUIRE(!end->has_value());
    BOOST_TEST((end->error().verdict == Verdict::NotRun));
    BOOST_TEST(engine.requests.empty());
}

// Symptom: a booking is made twice.
// Sequence: the service's answer stops half-way on a connection that went silent; the call is sent again.
// Cause: resuming what is no resumable stream.
BOOST_AUTO_TEST_CASE(plainCall_silentInMidAnswer_endsAsMayHaveRunAndIsSentOnce)
{
    client.runPlain({.method = "POST", .path = "/book", .headers = {}, .body = "x", .timeout = 2s}, callbacks());
    runToEnd();
    BOOST_REQUIRE(!end->has_value());
    BOOST_TEST((end->error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(engine.plainCalls == 1);
}

BOOST_AUTO_TEST_CASE(refusedOrders_byStatus_areToldApart)
{
    const std::map<int, ErrorCode> expected = {
        {409, ErrorCode::StaleFence}, {429, ErrorCode::RateLimited}, {404, ErrorCode::NotFound}, {500, ErrorCode::EndpointError}};
    for (const auto &[status, code] : expected) {
        engine.orderStatus = status;
        std::optional<Result<void>> result;
        client.order({.kind = OrderKind::LoadModel, .model = "chat", .version = "7"}, 3, [&](Result<void> answer) { result = std::move(answer); });
        runUntil([&] { return result.has_value(); });
        BOOST_REQUIRE(!result->has_value());
        BOOST_TEST((result->error().code == code));
    }
}

// Guards against loads that are repeated before the time that the weight store asked for, because the fraction of a second was dropped.
BOOST_AUTO_TEST_CASE(refusedLoad_statesFractionOfASecond_itIsKept)
{
    engine.orderStatus = 429;
    engine.retryAfter = "1.5";
    std::optional<Result<void>> result;
    client.order({.kind = OrderKind::LoadModel, .model = "chat", .version = "7"}, 3, [&](Result<void> answer) { result = std::move(answer); });
    runUntil([&] { return result.has_value(); });
    BOOST_REQUIRE(!result->has_value());
    BOOST_TEST(result->error().retryAfter.value_or(Duration(0)).count() == 1500);
}

BOOST_AUTO_TEST_SUITE_END()
