#include "sessioncheck.h"

#include "wire/linksession.h"

#include <algorithm>
#include <cstdlib>
#include <string>

namespace magnolia::wire
{

namespace
{

using Side = LinkSession::Side;
using Frame = LinkSession::Frame;

constexpr MonoTime Start{};

LinkSession makeSession(Side side, const std::string &secret)
{
    LinkOptions options;
    options.self.instance = "fuzzed";
    options.keys = {{.id = "2026-12", .secret = secret}};
    LinkSession::Nonce nonce{};
    nonce.fill(side == Side::Dialer ? 1 : 2);
    return {side, std::make_shared<const LinkOptions>(options), nonce, Start};
}

std::vector<Frame> splitFrames(std::span<const std::uint8_t> bytes)
{
    std::vector<Frame> frames;
    while (bytes.size() >= 2) {
        const std::size_t told = bytes[0] + (std::size_t{bytes[1]} << 8U);
        bytes = bytes.subspan(2);
        const std::size_t size = std::min(told, bytes.size());
        frames.emplace_back(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
        bytes = bytes.subspan(size);
    }
    return frames;
}

std::size_t playFrames(Side side, const std::vector<Frame> &frames)
{
    LinkSession session = makeSession(side, "the secret that no input knows");
    session.open(Start);
    std::size_t taken = 0;
    for (const Frame &frame : frames) {
        const auto step = session.receive(frame, Start);
        if (step.ready || step.message || session.isReady()) {
            std::abort();
        }
        if (step.failure) {
            break;
        }
        ++taken;
    }
    return taken;
}

void appendFrame(std::vector<std::uint8_t> &bytes, const Frame &frame)
{
    bytes.push_back(static_cast<std::uint8_t>(frame.size()));
    bytes.push_back(static_cast<std::uint8_t>(frame.size() >> 8U));
    bytes.insert(bytes.end(), frame.begin(), frame.end());
}

} // namespace

std::size_t checkSession(std::span<const std::uint8_t> bytes)
{
    const auto frames = splitFrames(bytes);
    return playFrames(Side::Dialer, frames) + playFrames(Side::Listener, frames);
}

std::vector<std::vector<std::uint8_t>> recordedHandshakes()
{
    LinkSession dialer = makeSession(Side::Dialer, "another secret");
    LinkSession listener = makeSession(Side::Listener, "another secret");
    const Frame hello = dialer.open(Start).frames.front();
    const Frame challenge = listener.receive(hello, Start).frames.front();
    const Frame dialerProof = dialer.receive(challenge, Start).frames.front();
    const Frame listenerProof = listener.receive(dialerProof, Start).frames.front();
    std::vector<std::vector<std::uint8_t>> recorded(2);
    appendFrame(recorded[0], hello);
    appendFrame(recorded[0], dialerProof);
    appendFrame(recorded[1], challenge);
    appendFrame(recorded[1], listenerProof);
    return recorded;
}

} // namespace magnolia::wire
