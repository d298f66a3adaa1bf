#include "wire/linksession.h"

#include "handshake.h"
#include "wire/codec.h"

#include <algorithm>
#include <utility>

namespace magnolia::wire
{

namespace
{

// No peer, however wrong, may make this side wait for ever: the longest intervals that settings and pacing allow.
constexpr Duration LongestInterval{60'000};

// The peer is told another spacing when the one that it knows is this much off. Telling it each small change would cost
// nothing on the wire, but a link that is told a shorter one has to wait for the peer to follow.
bool isWorthTelling(Duration told, Duration present)
{
    return present * 20 > told * 21 || present * 4 < told * 3;
}

} // namespace

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
        hello_ = introduce(HelloType);
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
    if (now >= lastHeard_ + silenceTimeout()) {
        return die(ErrorCode::ConnectionLost, "the peer fell silent");
    }
    Step step;
    if (now >= nextHeartbeat()) {
        step.frames.push_back(makeHeartbeat(now));
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
        return std::min(lastHeard_ + silenceTimeout(), nextHeartbeat());
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
    peerInterval_ = std::min(introduction->heartbeatInterval, LongestInterval);
    peerSpacing_ = std::min(introduction->spacing, LongestInterval);
    return std::nullopt;
}

LinkSession::Step LinkSession::takeHello(std::span<const std::uint8_t> frame)
{
    if (auto failure = readIntroduction(frame, HelloType)) {
        return die(std::move(*failure));
    }
    hello_.assign(frame.begin(), frame.end());
    challenge_ = introduce(ChallengeType);
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
    const Duration grace = side_ == Side::Listener ? heartbeatInterval() / 4 : Duration::zero();
    return lastSent_ + heartbeatInterval() + grace;
}

LinkSession::Step LinkSession::addHeartbeat(Step step, MonoTime now)
{
    if (state_ == State::Ready && now >= lastSent_ + heartbeatInterval() / 2) {
        step.frames.push_back(makeHeartbeat(now));
    }
    return step;
}

// A peer that was not told to wait longer would take this side for silent, and close a link that works with all its
// requests. So the new spacing goes out in place of the heartbeat that is due, and holds from then on.
LinkSession::Frame LinkSession::makeHeartbeat(MonoTime now)
{
    noteSent(now);
    const Duration present = ownSpacing();
    if (!peer_.isPaced || !isWorthTelling(toldSpacing_, present)) {
        return {};
    }
    const Duration before = silenceTimeout();
    toldSpacing_ = present;
    // The peer's last sign of life may be older than what is demanded from now on: it goes on at the old pace until this
    // frame reaches it. It has the new timeout from now, but no longer than it had before.
    const Duration shortened = before - silenceTimeout();
    if (shortened > Duration::zero()) {
        lastHeard_ = std::max(lastHeard_, std::min<MonoTime>(lastHeard_ + shortened, now));
    }
    return encodePace(present);
}

LinkSession::Frame LinkSession::introduce(std::uint8_t type)
{
    toldSpacing_ = ownSpacing();
    return encodeIntroduction(type,
                              {.protocolVersion = ProtocolVersion,
                               .nonce = nonce_,
                               .self = options_->self,
                               .heartbeatInterval = options_->heartbeatInterval,
                               .spacing = toldSpacing_});
}

void LinkSession::takePace(std::span<const std::uint8_t> frame)
{
    if (const auto spacing = decodePace(frame)) {
        peerSpacing_ = std::min(*spacing, LongestInterval);
    }
}

Duration LinkSession::ownSpacing() const
{
    return options_->pacing ? options_->pacing->spacing() : Duration::zero();
}

// A peer of before links were paced knows nothing of all this: it keeps to the settings, and so does this side towards it.
Duration LinkSession::spacing() const
{
    return peer_.isPaced ? std::max(toldSpacing_, peerSpacing_) : Duration::zero();
}

Duration LinkSession::heartbeatInterval() const
{
    return std::max({options_->heartbeatInterval, peerInterval_, spacing()});
}

// One heartbeat may be late or lost by the settings' margin, as with few links.
Duration LinkSession::silenceTimeout() const
{
    return options_->silenceTimeout + 2 * (heartbeatInterval() - options_->heartbeatInterval);
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
        takePace(frame);
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
