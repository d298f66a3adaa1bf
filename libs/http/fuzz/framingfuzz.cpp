// Compares how requests are framed with a small reference of RFC 9112, section 6, on generated requests that are partly spoilt: seeded, the same inputs each
// time. Each byte must be of the request, of the next one, or behind an error.
#include "http/messageparser.h"
#include "mutation.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace magnolia;
using http::MessageParser;

namespace
{

/** How the reference reads some bytes. */
struct Expectation {
    bool isRejected = false;
    std::string body;
    std::size_t length = 0; ///< Of the whole request.
};

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return result;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(" \t") + 1 - begin);
}

/** Reads a chunked body. @return nothing if it is malformed or incomplete. */
std::optional<Expectation> readChunks(std::string_view bytes)
{
    Expectation read;
    while (true) {
        const std::size_t line = bytes.find("\r\n", read.length);
        if (line == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view text = bytes.substr(read.length, line - read.length);
        std::size_t size = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), size, 16);
        const bool isSize = parsed.ec == std::errc() && parsed.ptr != text.data() && (parsed.ptr == text.data() + text.size() || *parsed.ptr == ';');
        read.length = line + 2;
        if (!isSize) {
            return std::nullopt;
        }
        if (size == 0) {
            break;
        }
        if (bytes.size() < read.length + size + 2 || bytes.substr(read.length + size, 2) != "\r\n") {
            return std::nullopt;
        }
        read.body += bytes.substr(read.length, size);
        read.length += size + 2;
    }
    // Trailers, whose lines may end with a line feed alone.
    for (std::size_t end = bytes.find('\n', read.length); end != std::string_view::npos; end = bytes.find('\n', read.length)) {
        const std::string_view line = bytes.substr(read.length, end - read.length);
        read.length = end + 1;
        if (line.empty() || line == "\r") {
            return read;
        }
    }
    return std::nullopt;
}

/** Whether a field stands there as RFC 9110, 5.1 and 5.5 have it. */
std::optional<std::pair<std::string, std::string>> readField(std::string_view line)
{
    constexpr std::string_view NameCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz";
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const std::string name = lowered(line.substr(0, colon));
    if (name.find_first_not_of(NameCharacters) != std::string::npos) {
        return std::nullopt;
    }
    return std::pair(name, std::string(trimmed(line.substr(colon + 1))));
}

struct Head {
    std::vector<std::string> lines; ///< At least one; a field that goes on in another line is one line (RFC 9112, 5.2).
    std::size_t length = 0; ///< With the empty line behind it.
};

/** A line may end with a line feed alone (RFC 9112, 2.2), and empty lines may come first. @return nothing if the head is incomplete. */
std::optional<Head> readHead(std::string_view bytes)
{
    Head head;
    for (std::size_t end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', head.length)) {
        std::string_view line = bytes.substr(head.length, end - head.length);
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
        head.length = end + 1;
        const bool isFolded = line.starts_with(' ') || line.starts_with('\t');
        if (line.empty() && !head.lines.empty()) {
            return head;
        }
        if (isFolded && head.lines.size() > 1) {
            head.lines.back().append(" ").append(trimmed(line));
        } else if (!line.empty()) {
            head.lines.emplace_back(line);
        }
    }
    return std::nullopt;
}

/** @return nothing if the reference has no opinion: the head is incomplete, or spoilt where this is not about framing. */
std::optional<Expectation> expectationOf(std::string_view bytes)
{
    const auto head = readHead(bytes);
    if (!head) {
        return std::nullopt;
    }
    const Expectation rejected{.isRejected = true, .body = {}, .length = 0};
    const std::string_view first = head->lines.front();
    const bool isHttp10 = first.ends_with(" HTTP/1.0");
    std::vector<std::string> lengths;
    std::vector<std::string> codings;
    for (const std::string &line : std::span(head->lines).subspan(1)) {
        const auto field = readField(line);
        if (!field || line.find('\r') != std::string::npos) {
            return rejected;
        }
        if (field->first == "content-length") {
            lengths.push_back(field->second);
        } else if (field->first == "transfer-encoding") {
            codings.push_back(lowered(field->second));
        }
    }
    const std::string_view rest = bytes.substr(head->length);
    const bool isAmbiguous = lengths.size() > 1 || (!lengths.empty() && !codings.empty()) || (isHttp10 && !codings.empty()) || codings.size() > 1;
    if (isAmbiguous || first.starts_with("CONNECT ") || (!codings.empty() && codings.front() != "chunked")) {
        return rejected;
    }
    if (!codings.empty()) {
        auto chunks = readChunks(rest);
        if (!chunks) {
            return std::nullopt; // Spoilt or incomplete: only its end must not be found elsewhere, which the caller checks.
        }
        chunks->length += head->length;
        return chunks;
    }
    std::size_t length = 0;
    if (!lengths.empty()) {
        const std::string &text = lengths.front();
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
        if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos || parsed.ec != std::errc()) {
            return rejected;
        }
    }
    if (rest.size() < length) {
        return std::nullopt;
    }
    return Expectation{.isRejected = false, .body = std::string(rest.substr(0, length)), .length = head->length + length};
}

struct Reading {
    bool isBroken = false;
    bool isComplete = false;
    std::string body;
    std::size_t taken = 0;
};

/** @param pieceBytes longest piece in which the bytes are fed; 0: all at once. */
Reading read(std::string_view bytes, std::size_t pieceBytes, Random &random)
{
    MessageParser parser(MessageParser::Kind::Request);
    Reading reading;
    while (reading.taken < bytes.size() && !parser.isBroken() && !parser.isComplete()) {
        const std::size_t length = pieceBytes == 0 ? bytes.size() : 1 + fuzz::below(random, pieceBytes);
        const std::size_t taken = parser.feed(bytes.substr(reading.taken, length), [&](std::string_view piece) { reading.body.append(piece); });
        reading.taken += taken;
        if (taken == 0) {
            break;
        }
    }
    reading.isBroken = parser.isBroken();
    reading.isComplete = parser.isComplete();
    return reading;
}

template<std::size_t Count>
std::string_view pick(const std::string_view (&from)[Count], Random &random)
{
    return from[fuzz::below(random, Count)];
}

constexpr std::string_view Methods[] = {"GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "PATCH", "CONNECT", "TRACE", "PROPFIND", "LOCK", "SUBSCRIBE"};
constexpr std::string_view Targets[] = {"/a/b", "/", "*", "http://h/a?b", "/a?b=c"};
constexpr std::string_view TunnelTargets[] = {"h:80", "/a/b"};
constexpr std::string_view Versions[] = {"HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0"};
constexpr std::string_view Fields[] = {"Host: h\r\n",
                                       "X-A: b\r\n",
                                       "Connection: Upgrade\r\n",
                                       "Upgrade: websocket\r\n",
                                       "Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n",
                                       "Connection: close\r\n",
                                       "Expect: 100-continue\r\n",
                                       "Trailer: X\r\n",
                                       "TE: trailers\r\n",
                                       "X-Content-Length: 3\r\n",
                                       "Proxy-Connection: keep-alive\r\n"};
constexpr std::string_view Framings[] = {"",
                                         "Content-Length: 5\r\n",
                                         "content-length:5\r\n",
                                         "Content-Length: 5 \r\n",
                                         "Content-Length: 0\r\n",
                                         "Content-Length: 05\r\n",
                                         "Content-Length: +5\r\n",
                                         "Content-Length: -5\r\n",
                                         "Content-Length: 5, 5\r\n",
                                         "Content-Length: 0x5\r\n",
                                         "Content-Length: 5 5\r\n",
                                         "Content-Length:\r\n",
                                         "Content-Length: 5\r\nContent-Length: 5\r\n",
                                         "Content-Length: 5\r\nContent-Length: 3\r\n",
                                         "Content-Length : 5\r\n",
                                         "Content-Length: 99999999999999999999\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         "transfer-encoding:\tCHUNKED\r\n",
                                         "Transfer-Encoding: chunked \r\n",
                                         "Transfer-Encoding: gzip, chunked\r\n",
                                         "Transfer-Encoding: chunked, gzip\r\n",
                                         "Transfer-Encoding: chunked, chunked\r\n",
                                         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                                         "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                                         "Transfer-Encoding: identity\r\n",
                                         "Transfer-Encoding: xchunked\r\n",
                                         "Transfer-Encoding: chunkedx\r\n",
                                         "Transfer-Encoding:\r\n",
                                         "Transfer-Encoding: \"chunked\"\r\n",
                                         "Transfer-Encoding : chunked\r\n",
                                         "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                                         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                         "Transfer-Encoding:\r\n chunked\r\n",
                                         "Content-Length:\r\n 5\r\n",
                                         "X-A: b\r\n Content-Length: 5\r\n"};
constexpr std::string_view Bodies[] = {"hello",
                                       "",
                                       "5\r\nhello\r\n0\r\n\r\n",
                                       "5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
                                       "05\r\nhello\r\n000\r\n\r\n",
                                       "5 \r\nhello\r\n0\r\n\r\n",
                                       "+5\r\nhello\r\n0\r\n\r\n",
                                       "0x5\r\nhello\r\n0\r\n\r\n",
                                       "5\nhello\n0\n\n",
                                       "fffffffffffffffff\r\nhello\r\n0\r\n\r\n",
                                       "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"};
constexpr std::string_view Next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view Tokens[] = {"\r\n", "\n", "\r", ":", " ", "\t", ",", "0", "5", "chunked", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"};

std::string generated(Random &random)
{
    const std::string_view method = pick(Methods, random);
    const std::string_view target = method == "CONNECT" ? pick(TunnelTargets, random) : pick(Targets, random);
    std::string text = std::string(method) + " " + std::string(target) + " " + std::string(pick(Versions, random)) + "\r\n";
    for (std::size_t count = fuzz::below(random, 4); count > 0; --count) {
        text += pick(Fields, random);
    }
    text += pick(Framings, random);
    text += "\r\n";
    text += pick(Bodies, random);
    return text + std::string(Next);
}

[[noreturn]] void fail(const char *what, std::uint64_t seed, std::uint64_t run, std::string_view text)
{
    std::fprintf(
        stderr, "http_framing_fuzz: %s, seed %llu, run %llu, input:\n", what, static_cast<unsigned long long>(seed), static_cast<unsigned long long>(run));
    std::fwrite(text.data(), 1, text.size(), stderr);
    std::abort();
}

/** @param isSpoilt other things than the framing may be wrong with it, so it may be rejected although the reference doesn't. */
void check(const std::string &text, bool isSpoilt, Random &random, std::uint64_t seed, std::uint64_t run)
{
    constexpr std::size_t LongestPiece = 9;
    const Reading whole = read(text, 0, random);
    const Reading inPieces = read(text, LongestPiece, random);
    if (whole.isBroken != inPieces.isBroken || whole.isComplete != inPieces.isComplete || (whole.isComplete && whole.body != inPieces.body)) {
        fail("read otherwise in pieces", seed, run, text);
    }
    const auto expected = expectationOf(text);
    if (!expected) {
        return;
    }
    if (expected->isRejected) {
        if (whole.isComplete) {
            fail("a request whose end can't be told was read", seed, run, text);
        }
        return;
    }
    if (whole.isComplete && (whole.body != expected->body || whole.taken != expected->length)) {
        fail("framed otherwise", seed, run, text);
    }
    if (!isSpoilt && !whole.isComplete) {
        fail("a sound request was rejected", seed, run, text);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: http_framing_fuzz SEED RUNS\n");
        return 2;
    }
    const std::uint64_t seed = std::strtoull(argv[1], nullptr, 10);
    const std::uint64_t runs = std::strtoull(argv[2], nullptr, 10);
    Random random(seed);
    for (std::uint64_t run = 0; run < runs; ++run) {
        std::string text = generated(random);
        const bool isSpoilt = run % 2 == 1;
        if (isSpoilt) {
            const std::vector<std::string> others{generated(random)};
            for (std::size_t count = 1 + fuzz::below(random, 3); count > 0; --count) {
                fuzz::mutate(text, {.inputs = others, .tokens = Tokens}, random);
            }
        }
        check(text, isSpoilt, random, seed, run);
    }
    return 0;
}
