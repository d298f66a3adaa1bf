#include "wire/linksession.h"

#include "handshake.h"
#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace magnolia::wire
{

LinkSession::LinkSession(Side side, std::shared_ptr<const LinkOptions> options, const Nonce &nonce, MonoTime now)
    : side_(side)
    , state_(side == Side::Dialer ? State::AwaitChallenge : State::AwaitHello)
    , options_(std::move(options))
    , nonce_(nonce)
    , opened_(now)
    , lastHeard_(now)
    , lastSent_(now)
{
}

LinkSession::Step LinkSession::open(MonoTime now)
{
    Step step;
    if (side_ == Side::Dialer) {
        hello_ = encodeIntroduction(HelloType, {.protocolVersion = ProtocolVersion, .nonce = nonce_, .self = options_->self});
        step.frames.push_back(hello_);
        noteSent(now);
    }
    return step;
}

LinkSession::Step LinkSession::receive(std::span<const std::uint8_t> frame, MonoTime now)
{
    noteHeard(now);
    if (state_ != State::Ready && state_ != State::Dead && frame.size() > MaxHandshakeFrameBytes) {
        return die(ErrorCode::TooLarge, "a frame of the handshake is too long");
    }
    switch (state_) {
    case State::AwaitHello:
        return takeHello(frame);
    case State::AwaitChallenge:
        return takeChallenge(frame);
    case State::AwaitDialerProof:
        return takeDialerProof(frame);
    case State::AwaitListenerProof:
        return takeListenerProof(frame);
    case State::Ready:
        return addHeartbeat(takeMessage(frame), now);
    case State::Dead:
        break;
    }
    return {};
}

LinkSession::Step LinkSession::tick(MonoTime now)
{
    if (state_ == State::Dead) {
        return {};
    }
    if (state_ != State::Ready) {
        return now < opened_ + options_->handshakeTimeout ? Step{} : die(ErrorCode::ConnectionLost, "the handshake took too long");
    }
    if (now >= lastHeard_ + options_->silenceTimeout) {
        return die(ErrorCode::ConnectionLost, "the peer fell silent");
    }
    Step step;
    if (now >= nextHeartbeat()) {
        step.frames.emplace_back();
        noteSent(now);
    }
    return step;
}

void LinkSession::noteHeard(MonoTime now)
{
    lastHeard_ = std::max(lastHeard_, now);
}

void LinkSession::noteSent(MonoTime now)
{
    lastSent_ = std::max(lastSent_, now);
}

MonoTime LinkSession::nextTick() const
{
    switch (state_) {
    case State::Dead:
        return MonoTime::max();
    case State::Ready:
        return std::min(lastHeard_ + options_->silenceTimeout, nextHeartbeat());
    default:
        return opened_ + options_->handshakeTimeout;
    }
}

bool LinkSession::isReady() const
{
    return state_ == State::Ready;
}

const PeerInfo &LinkSession::peer() const
{
    return peer_;
}

std::optional<Failure> LinkSession::readIntroduction(std::span<const std::uint8_t> frame, std::uint8_t type)
{
    auto introduction = decodeIntroduction(type, frame);
    if (!introduction) {
        return introduction.error();
    }
    peer_ = std::move(introduction->self);
    return std::nullopt;
}

LinkSession::Step LinkSession::takeHello(std::span<const std::uint8_t> frame)
{
    if (auto failure = readIntroduction(frame, HelloType)) {
        return die(std::move(*failure));
    }
    hello_.assign(frame.begin(), frame.end());
    challenge_ = encodeIntroduction(ChallengeType, {.protocolVersion = ProtocolVersion, .nonce = nonce_, .self = options_->self});
    state_ = State::AwaitDialerProof;
    Step step;
    step.frames.push_back(challenge_);
    return step;
}

LinkSession::Step LinkSession::takeChallenge(std::span<const std::uint8_t> frame)
{
    if (auto failure = readIntroduction(frame, ChallengeType)) {
        return die(std::move(*failure));
    }
    challenge_.assign(frame.begin(), frame.end());
    auto proof = prove();
    if (!proof) {
        return die(ErrorCode::Unauthorised, "this side has no key to prove");
    }
    state_ = State::AwaitListenerProof;
    Step step;
    step.frames.push_back(std::move(*proof));
    return step;
}

LinkSession::Step LinkSession::takeDialerProof(std::span<const std::uint8_t> frame)
{
    if (auto failure = checkProof(frame, Side::Dialer)) {
        return die(std::move(*failure));
    }
    auto proof = prove();
    if (!proof) {
        return die(ErrorCode::Unauthorised, "this side has no key to prove");
    }
    state_ = State::Ready;
    Step step;
    step.frames.push_back(std::move(*proof));
    step.ready = true;
    return step;
}

LinkSession::Step LinkSession::takeListenerProof(std::span<const std::uint8_t> frame)
{
    if (auto failure = checkProof(frame, Side::Listener)) {
        return die(std::move(*failure));
    }
    state_ = State::Ready;
    Step step;
    step.ready = true;
    return step;
}

// A heartbeat that is due before long is sent as soon as something arrives, so that it carries the acknowledgement which the
// kernel would otherwise send in a segment of its own: a segment's headers are ten times the size of a heartbeat. Both
// sides begin to count at the same moment, so that without the listener's grace their heartbeats would cross for ever, each
// acknowledged by itself: four segments for an exchange in place of three.
MonoTime LinkSession::nextHeartbeat() const
{
    const Duration grace = side_ == Side::Listener ? options_->heartbeatInterval / 4 : Duration::zero();
    return lastSent_ + options_->heartbeatInterval + grace;
}

LinkSession::Step LinkSession::addHeartbeat(Step step, MonoTime now)
{
    if (state_ == State::Ready && now >= lastSent_ + options_->heartbeatInterval / 2) {
        step.frames.emplace_back();
        noteSent(now);
    }
    return step;
}

LinkSession::Step LinkSession::takeMessage(std::span<const std::uint8_t> frame)
{
    if (frame.empty()) {
        return {}; // a heartbeat; that it came is all it says
    }
    auto message = decode(frame);
    if (message) {
        Step step;
        step.message = std::move(*message);
        return step;
    }
    // While a new version is rolled out, a newer peer may send messages that this one doesn't know yet. To close the
    // link for that would cost every request on it, again after each reconnection.
    if (message.error().code == ErrorCode::NotFound) {
        return {};
    }
    Failure failure = std::move(message.error());
    failure.verdict = Verdict::MayHaveRun; // of what was sent over this link before
    return die(std::move(failure));
}

std::optional<Failure> LinkSession::checkProof(std::span<const std::uint8_t> frame, Side prover) const
{
    const auto proof = decodeProof(frame);
    if (!proof) {
        return proof.error();
    }
    const auto key = std::find_if(
        options_->keys.begin(), options_->keys.end(), [&proof](const LinkKey &candidate) { return candidate.id == proof->keyId && !candidate.secret.empty(); });
    if (key == options_->keys.end()) {
        return fail(ErrorCode::Unauthorised, Verdict::NotRun, "the peer's key id is not valid here").value();
    }
    const auto expected = computeMac(*key, prover, {.hello = hello_, .challenge = challenge_});
    if (!expected || !equalInConstantTime(*expected, proof->mac)) {
        return fail(ErrorCode::Unauthorised, Verdict::NotRun, "the peer's proof of the key is wrong").value();
    }
    return std::nullopt;
}

std::optional<LinkSession::Frame> LinkSession::prove() const
{
    if (options_->keys.empty() || options_->keys.front().secret.empty()) {
        return std::nullopt;
    }
    const LinkKey &key = options_->keys.front();
    const auto mac = computeMac(key, side_, {.hello = hello_, .challenge = challenge_});
    if (!mac) {
        return std::nullopt;
    }
    return encodeProof({.keyId = key.id, .mac = *mac});
}

LinkSession::Step LinkSession::die(Failure failure)
{
    state_ = State::Dead;
    Step step;
    step.failure = std::move(failure);
    return step;
}

LinkSession::Step LinkSession::die(ErrorCode code, std::string detail)
{
    const Verdict verdict = state_ == State::Ready ? Verdict::MayHaveRun : Verdict::NotRun;
    return die(Failure{.code = code, .verdict = verdict, .detail = std::move(detail), .retryAfter = {}});
}

} // namespace magnolia::wire
