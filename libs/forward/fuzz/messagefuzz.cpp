// Checks what reads the bytes of callers and endpoints on valid input that is spoilt at random: bounded, seeded, the same inputs each time.
#include "eventsplitter.h"
#include "http/messageparser.h"
#include "mutation.h"

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace magnolia;
using http::MessageParser;

namespace
{

const std::vector<std::string> Requests = {
    "POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\nX-Twice: 1\r\nX-Twice: 2\r\nContent-Length: 5\r\n\r\nhello",
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nTrailer: t\r\n\r\n",
    "GET http://x.example:80/a?b HTTP/1.1\r\nHost: y\r\nConnection: close\r\n\r\n",
    "HEAD /a HTTP/1.0\r\nExpect: 100-continue\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
    "OPTIONS * HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n",
};
const std::vector<std::string> Answers = {
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
    "HTTP/1.0 200 OK\r\nKeep-Alive: timeout=5\r\n\r\nuntil the end",
    "HTTP/1.1 503 X\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\nsurplus",
};
const std::vector<std::string> Streams = {
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
    "id: 1\r\ndata: a\r\n\r\n: comment\r\n\r\nid: 2\r\n\r\n",
    "data: without\n\nid: x\ndata: y\n\nid: 18446744073709551615\n\n",
};

constexpr std::string_view MessageTokens[] = {"\r\n",
                                              "\n",
                                              "\r\n\r\n",
                                              ":",
                                              " ",
                                              "\t",
                                              "chunked",
                                              "Content-Length: 3\r\n",
                                              "Transfer-Encoding: chunked\r\n",
                                              "0\r\n\r\n",
                                              "ffffffffffffffff\r\n",
                                              "-1",
                                              "18446744073709551616",
                                              "HTTP/1.1",
                                              "http://",
                                              "\xff",
                                              std::string_view("\0", 1)};
constexpr std::string_view StreamTokens[] =
    {"\n\n", "\r\n", "\r", "id:", "id: 1", "id: -1", "data:", ":", "18446744073709551616", "\xff", std::string_view("\0", 1)};

[[noreturn]] void fail(const char *what, std::uint64_t seed, std::uint64_t run, std::string_view text)
{
    std::fprintf(
        stderr, "forward_message_fuzz: %s, seed %llu, run %llu, input:\n", what, static_cast<unsigned long long>(seed), static_cast<unsigned long long>(run));
    std::fwrite(text.data(), 1, text.size(), stderr);
    std::abort();
}

/** What a parser has made of some bytes. */
struct Reading {
    bool isBroken = false;
    bool isComplete = false;
    std::size_t taken = 0;
    std::size_t headBytes = 0;
    http::MessageHead head;
    std::string body;
};

/** @param pieceBytes longest piece in which the bytes are fed; 0: all at once. */
Reading read(MessageParser::Kind kind, std::string_view bytes, std::size_t pieceBytes, Random &random)
{
    MessageParser parser(kind);
    Reading reading;
    while (!bytes.empty() && !parser.isBroken() && !parser.isComplete()) {
        const std::size_t size = pieceBytes == 0 ? bytes.size() : 1 + fuzz::below(random, pieceBytes);
        const std::string piece(bytes.substr(0, size)); // A copy, so that a read beyond its end is seen.
        reading.taken += parser.feed(piece, [&](std::string_view part) { reading.body.append(part); });
        bytes.remove_prefix(std::min(size, bytes.size()));
    }
    if (!parser.isComplete()) {
        parser.finish();
    }
    reading.isBroken = parser.isBroken();
    reading.isComplete = parser.isComplete();
    reading.headBytes = parser.headBytes();
    reading.head = parser.head();
    return reading;
}

bool isSame(const Reading &one, const Reading &other)
{
    if (one.isBroken != other.isBroken || one.isComplete != other.isComplete) {
        return false;
    }
    if (!one.isComplete) {
        return true;
    }
    std::string oneFields;
    std::string otherFields;
    one.head.headers.appendTo(oneFields);
    other.head.headers.appendTo(otherFields);
    return one.taken == other.taken && one.headBytes == other.headBytes && one.body == other.body && one.head.method == other.head.method
        && one.head.target == other.head.target && one.head.status == other.head.status && oneFields == otherFields;
}

/** @return why the reading can't be right; null if it can. */
const char *faultOf(const Reading &reading, std::size_t bytes)
{
    if (reading.taken > bytes || reading.headBytes > bytes) {
        return "more bytes were taken than there are";
    }
    if (!reading.isComplete) {
        return nullptr;
    }
    if (reading.headBytes > reading.taken || reading.body.size() > reading.taken - reading.headBytes) {
        return "the body is longer than what was taken for it";
    }
    for (const http::HeaderField &field : reading.head.headers.fields()) {
        const bool isClean = field.name.find_first_of(" \r\n:") == std::string::npos && field.value.find_first_of("\r\n") == std::string::npos;
        if (!isClean) {
            return "a field would be read as another one by the next reader";
        }
    }
    if (reading.head.target.find_first_of(" \r\n") != std::string::npos) {
        return "the target would be read as another one by the next reader";
    }
    return nullptr;
}

void checkMessage(MessageParser::Kind kind, const std::vector<std::string> &inputs, std::uint64_t seed, std::uint64_t run)
{
    constexpr std::size_t MaxPieceBytes = 12;
    Random random(seed, run);
    const std::string text = fuzz::mutatedInput({.inputs = inputs, .tokens = MessageTokens}, random, run);
    const Reading whole = read(kind, text, 0, random);
    if (const char *fault = faultOf(whole, text.size())) {
        fail(fault, seed, run, text);
    }
    if (!isSame(whole, read(kind, text, MaxPieceBytes, random))) {
        fail("the pieces in which a message comes make a difference", seed, run, text);
    }
}

struct Events {
    std::string relayed;
    std::optional<std::uint64_t> lastId;
    bool hasGap = false;
};

Events split(std::string_view bytes, std::size_t pieceBytes, Random &random)
{
    forward::EventSplitter splitter;
    Events events;
    while (!bytes.empty() && !splitter.hasGap()) {
        const std::size_t size = pieceBytes == 0 ? bytes.size() : 1 + fuzz::below(random, pieceBytes);
        events.relayed.append(splitter.feed(bytes.substr(0, size)));
        bytes.remove_prefix(std::min(size, bytes.size()));
    }
    events.lastId = splitter.lastId();
    events.hasGap = splitter.hasGap();
    return events;
}

void checkStream(std::uint64_t seed, std::uint64_t run)
{
    constexpr std::size_t MaxPieceBytes = 7;
    Random random(seed, run);
    const std::string text = fuzz::mutatedInput({.inputs = Streams, .tokens = StreamTokens}, random, run);
    const Events whole = split(text, 0, random);
    const Events pieces = split(text, MaxPieceBytes, random);
    if (whole.relayed.size() > text.size()) {
        fail("more was relayed than received", seed, run, text);
    }
    if (whole.hasGap != pieces.hasGap || whole.lastId != pieces.lastId || whole.relayed != pieces.relayed) {
        fail("the pieces in which a stream comes make a difference", seed, run, text);
    }
}

} // namespace

// Arguments: a seed, the number of inputs of each kind.
int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fputs("usage: forward_message_fuzz SEED RUNS\n", stderr);
        return EXIT_FAILURE;
    }
    const auto seed = std::strtoull(argv[1], nullptr, 10);
    const auto runs = std::strtoull(argv[2], nullptr, 10);
    for (std::uint64_t run = 0; run < runs; ++run) {
        checkMessage(MessageParser::Kind::Request, Requests, seed, run);
        checkMessage(MessageParser::Kind::Answer, Answers, seed, run);
        checkStream(seed, run);
    }
    std::printf("forward_message_fuzz: %llu inputs of each kind, seed %llu\n", runs, seed);
    return EXIT_SUCCESS;
}
