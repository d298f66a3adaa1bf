#include "samplemessages.h"

namespace magnolia::wire
{

namespace
{

constexpr AttemptId SampleId{.request = {.high = 0x0123456789abcdefU, .low = 0xfedcba9876543210U}, .attempt = 2};

} // namespace

Dispatch sampleDispatch()
{
    return {
        .id = SampleId,
        .incarnation = 1'700'000'000'123U,
        .organisation = "bottling-south",
        .priorityClass = PriorityClass::Paying,
        .weight = 10,
        .model = "changeover",
        .adapter = "labels",
        .version = "2026-11",
        .service = "",
        .method = "POST",
        .path = "/v1/chat/completions",
        .headers = {{"content-type", "application/json"}, {"x-odd", "\xff\xfe"}},
        .body = R"({"messages":[{"role":"user","content":"torque for the cap head?"}],"stream":true})",
        .stream = true,
        .idempotent = false,
        .idempotencyKey = "line-4-2026-12-02",
        .resumeAfter = 7,
        .timeLeft = Duration(59'000),
        .promptTokens = 120,
        .traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        .manifestVersion = 1301,
    };
}

Chunk sampleChunk()
{
    return {.id = SampleId, .index = 41, .data = R"({"choices":[{"index":0,"delta":{"content":" torque"}}]})"};
}

LoadReport sampleLoadReport()
{
    return {
        .endpoint = "engine-1",
        .incarnation = 1'700'000'000'123U,
        .running = 12,
        .queuedPaying = 1,
        .queuedTrial = 30,
        .limit = 16,
        .waitPaying = Duration(120),
        .waitTrial = Duration(2400),
        .leaving = false,
        .serving = true,
        .loaded = {"changeover@2026-11", "changeover/labels@2026-11"},
        .manifestVersion = 1301,
    };
}

std::vector<Message> sampleMessages()
{
    return {
        sampleDispatch(),
        Cancel{.id = SampleId},
        Query{.id = SampleId, .incarnation = 3},
        QueryAnswer{.id = SampleId, .incarnation = 4, .verdict = Verdict::Ran, .running = true},
        Attach{.id = SampleId, .fromChunk = 9},
        sampleChunk(),
        Finish{
            .id = SampleId,
            .verdict = Verdict::NotRun,
            .status = 503,
            .contentType = "application/json",
            .errorCode = "overloaded",
            .detail = "queue is full: délai",
            .retryAfter = Duration(1500),
            .chunks = 12,
            .replayed = true,
        },
        sampleLoadReport(),
        ManifestHead{.version = 1301, .root = "a1b2"},
        ChunkRequest{.hash = "a1b2"},
        ChunkData{.hash = "a1b2", .data = std::string("\0\x01\xff", 3)},
        SwitchMessage{
            .group = "g1",
            .epoch = 1,
            .map = 2,
            .fromRank = 3,
            .toRank = 4,
            .toIncarnation = 5,
            .fromIncarnation = 6,
            .kind = 7,
            .step = 8,
            .payload = std::string("\x00\xff", 2),
        },
        RankReport{
            .group = "g1",
            .epoch = 1,
            .rank = 2,
            .size = 12,
            .term = 29,
            .isOpen = true,
            .step = 812,
            .map = 3,
            .prepared = 4,
            .armedVersion = 4,
            .armedStep = 815,
            .isHeld = true,
            .heldStep = 815,
            .running = 7,
            .waiting = 1,
            .paceThousandths = 1250,
            .counts = std::string("\x82\x00\x01", 3),
            .expertsVersion = 3,
            .experts = std::string("\x80", 1),
            .toldVersion = 4,
            .isToldFresh = true,
            .knownMap = 3,
            .peerArmVersion = 4,
            .peerArmEpoch = 1,
            .peerArmStep = 815,
            .peerArmRank = 3,
            .isPeerArmAccepted = true,
        },
        RankCommand{.group = "g1",
                    .term = 29,
                    .kind = 1,
                    .epoch = 1,
                    .version = 4,
                    .step = 815,
                    .mapBase = 3,
                    .map = std::string("\x80", 1),
                    .isFresh = true,
                    .coordinator = 4,
                    .peerEngine = "10.0.0.9:80",
                    .peerRank = 3},
        ProofQuestion{.subject = 1, .version = 29, .askedAt = 812'000'000},
        ProofAnswer{.subject = 1, .askedAt = 812'000'000, .version = 30, .age = Duration(900), .document = "{}"},
        Dispatch{},
        Cancel{},
        Query{},
        QueryAnswer{},
        Attach{},
        Chunk{},
        Finish{},
        LoadReport{},
        LoadReport{.endpoint = "engine-1", .loaded = {}, .sameLoaded = true},
        ManifestHead{},
        ChunkRequest{},
        ChunkData{},
        SwitchMessage{},
        RankReport{},
        RankCommand{},
        ProofQuestion{},
        ProofAnswer{},
    };
}

} // namespace magnolia::wire
