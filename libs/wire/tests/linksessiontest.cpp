#include "wire/linksession.h"
#include "handshake.h"
#include "samplemessages.h"
#include "wire/codec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::wire
{

namespace
{

using namespace std::chrono_literals;
using Side = LinkSession::Side;
using Frame = LinkSession::Frame;
using Step = LinkSession::Step;

const LinkKey OldKey{.id = "2026-11", .secret = "the old secret"};
const LinkKey NewKey{.id = "2026-12", .secret = "the new secret"};

LinkOptions optionsOf(Role role, std::vector<LinkKey> keys)
{
    const std::string instance = role == Role::Entry ? "entry-a" : "agent-a";
    return {
        .self = {.role = role, .instance = instance, .dataCentre = "north", .endpoint = "", .incarnation = 1},
        .keys = std::move(keys),
    };
}

LinkSession::Nonce nonceOf(std::uint8_t seed)
{
    LinkSession::Nonce nonce{};
    nonce.fill(seed);
    return nonce;
}

/** Two sessions on one clock that is moved by hand. */
struct SessionFixture {
    LinkSession makeSession(Side side, const LinkOptions &options, std::uint8_t nonceSeed) const
    {
        return {side, std::make_shared<const LinkOptions>(options), nonceOf(nonceSeed), now};
    }

    LinkSession makeDialer(std::vector<LinkKey> keys = {NewKey}, std::uint8_t nonceSeed = 1) const
    {
        return makeSession(Side::Dialer, optionsOf(Role::Entry, std::move(keys)), nonceSeed);
    }

    LinkSession makeListener(std::vector<LinkKey> keys = {NewKey}, std::uint8_t nonceSeed = 2) const
    {
        return makeSession(Side::Listener, optionsOf(Role::Agent, std::move(keys)), nonceSeed);
    }

    /** Carries frames between the two until neither answers. Keeps all frames, and the failure of the side that refused. */
    void shakeHands(LinkSession &dialer, LinkSession &listener)
    {
        Step step = dialer.open(now);
        bool fromDialer = true;
        while (!step.frames.empty()) {
            const Frame frame = step.frames.front();
            (fromDialer ? dialerFrames : listenerFrames).push_back(frame);
            step = (fromDialer ? listener : dialer).receive(frame, now);
            fromDialer = !fromDialer;
            if (step.failure) {
                failure = step.failure;
            }
        }
    }

    /** Options of a side that holds so many links. */
    static LinkOptions pacedOptions(Role role, std::size_t links)
    {
        LinkOptions options = optionsOf(role, {NewKey});
        options.pacing = std::make_shared<LinkPacing>(LinkPacing::Options{});
        setLinks(*options.pacing, links);
        return options;
    }

    static void setLinks(LinkPacing &pacing, std::size_t links)
    {
        while (pacing.links() < links) {
            pacing.noteOpened();
        }
        while (pacing.links() > links) {
            pacing.noteClosed();
        }
    }

    /** Carries frames both ways, each after the delay, until the time is over. @return frames sent, or nothing if a side gave up. */
    std::optional<int> runFor(LinkSession &dialer, LinkSession &listener, Duration time, Duration delay = 20ms)
    {
        std::vector<std::pair<MonoTime, Frame>> toDialer;
        std::vector<std::pair<MonoTime, Frame>> toListener;
        int sent = 0;
        const auto act = [&](const Step &step, auto &out) {
            for (const Frame &frame : step.frames) {
                out.emplace_back(now + delay, frame);
                ++sent;
            }
            return !step.failure.has_value();
        };
        const auto deliver = [&](LinkSession &to, auto &in, auto &out) {
            while (!in.empty() && in.front().first <= now) {
                const Frame frame = in.front().second;
                in.erase(in.begin());
                act(to.receive(frame, now), out);
            }
            return act(to.tick(now), out);
        };
        for (const MonoTime end = now + time; now < end; now += 10ms) {
            if (!deliver(dialer, toDialer, toListener) || !deliver(listener, toListener, toDialer)) {
                return std::nullopt;
            }
        }
        return sent;
    }

    MonoTime now{1h};
    std::vector<Frame> dialerFrames;
    std::vector<Frame> listenerFrames;
    std::optional<Failure> failure;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkSessionTest, SessionFixture)

BOOST_AUTO_TEST_CASE(sameKey_handshake_makesBothReady)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    BOOST_TEST(dialer.isReady());
    BOOST_TEST(listener.isReady());
    BOOST_TEST(dialer.peer().instance == "agent-a");
    BOOST_TEST(listener.peer().instance == "entry-a");
    for (const Frame &frame : dialerFrames) {
        BOOST_TEST(frame.size() <= LinkSession::MaxHandshakeFrameBytes);
    }
}

BOOST_AUTO_TEST_CASE(keyTable_handshake_acceptsOnlyKeysValidOnBothSides)
{
    const LinkKey sameIdOtherSecret{.id = NewKey.id, .secret = "guessed"};
    const LinkKey empty{.id = NewKey.id, .secret = ""};
    struct Case {
        std::string name;
        std::vector<LinkKey> dialer;
        std::vector<LinkKey> listener;
        bool accepted;
    };
    const std::vector<Case> cases = {
        {"rolling, first step at the listener", {OldKey}, {OldKey, NewKey}, true},
        {"rolling, first step at the dialer", {OldKey, NewKey}, {OldKey}, true},
        {"rolling, listener proves the new key", {OldKey, NewKey}, {NewKey, OldKey}, true},
        {"rolling, dialer proves the new key", {NewKey, OldKey}, {OldKey, NewKey}, true},
        {"rolling, last step", {NewKey}, {NewKey, OldKey}, true},
        {"old key withdrawn at the listener", {OldKey}, {NewKey}, false},
        {"old key withdrawn at the dialer", {NewKey}, {OldKey, NewKey}, false},
        {"wrong secret", {sameIdOtherSecret}, {NewKey}, false},
        {"listener with a wrong secret", {NewKey}, {sameIdOtherSecret, NewKey}, false},
        {"empty secrets", {empty}, {empty}, false},
        {"empty secret against a good one", {empty}, {NewKey}, false},
        {"no keys", {}, {}, false},
        {"no key at the dialer", {}, {NewKey}, false},
    };
    for (const Case &one : cases) {
        LinkSession dialer = makeDialer(one.dialer);
        LinkSession listener = makeListener(one.listener);
        failure.reset();
        shakeHands(dialer, listener);
        BOOST_TEST((dialer.isReady() && listener.isReady()) == one.accepted, one.name);
        if (!one.accepted) {
            BOOST_REQUIRE_MESSAGE(failure.has_value(), one.name);
            BOOST_TEST((failure->code == ErrorCode::Unauthorised), one.name);
            BOOST_TEST((failure->verdict == Verdict::NotRun), one.name);
        }
    }
}

// Symptom: somebody without a key gets a link and may dispatch requests.
// Sequence: a whole handshake is recorded on the network; later its dialer's frames are played to the listener again.
// Cause: a proof that holds nothing that is fresh on the listener's side.
BOOST_AUTO_TEST_CASE(recordedDialer_replayed_isRefused)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener({NewKey}, 2);
    shakeHands(dialer, listener);
    BOOST_REQUIRE(listener.isReady());

    LinkSession later = makeListener({NewKey}, 3);
    BOOST_TEST(!later.receive(dialerFrames[0], now).failure.has_value());
    const Step step = later.receive(dialerFrames[1], now);
    BOOST_REQUIRE(step.failure.has_value());
    BOOST_TEST((step.failure->code == ErrorCode::Unauthorised));
    BOOST_TEST(!later.isReady());
}

// As above, with the listener's frames played to a dialer.
BOOST_AUTO_TEST_CASE(recordedListener_replayed_isRefused)
{
    LinkSession dialer = makeDialer({NewKey}, 1);
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);

    LinkSession later = makeDialer({NewKey}, 4);
    later.open(now);
    BOOST_TEST(!later.receive(listenerFrames[0], now).failure.has_value());
    const Step step = later.receive(listenerFrames[1], now);
    BOOST_REQUIRE(step.failure.has_value());
    BOOST_TEST((step.failure->code == ErrorCode::Unauthorised));
}

// Symptom: a dialer takes somebody without a key for an agent, and sends him requests.
// Sequence: he answers the dialer's hello by a challenge of his own and the dialer's proof by that same proof.
// Cause: a proof that doesn't say which side made it.
BOOST_AUTO_TEST_CASE(ownProof_reflected_isRefused)
{
    LinkSession dialer = makeDialer();
    LinkSession stranger = makeListener({{.id = "any", .secret = "other"}});
    const Step hello = dialer.open(now);
    const Step challenge = stranger.receive(hello.frames.front(), now);
    const Step proof = dialer.receive(challenge.frames.front(), now);
    const Step step = dialer.receive(proof.frames.front(), now);
    BOOST_REQUIRE(step.failure.has_value());
    BOOST_TEST((step.failure->code == ErrorCode::Unauthorised));
}

// Symptom: a link whose peer is another than it says, though both know the key.
// Sequence: something between the two changes a byte of the hello or the challenge (the incarnation, the instance).
// Cause: a proof that covers the nonces only.
BOOST_AUTO_TEST_CASE(anyByteOfHelloOrChallenge_changedOnTheWay_neverMakesBothReady)
{
    LinkSession unchanged = makeDialer();
    const std::size_t size = unchanged.open(now).frames.front().size();
    for (std::size_t at = 0; at < size; ++at) {
        LinkSession dialer = makeDialer();
        LinkSession listener = makeListener();
        Frame hello = dialer.open(now).frames.front();
        hello[at] ^= 1U;
        const Step challenge = listener.receive(hello, now);
        if (challenge.failure) {
            continue;
        }
        const Step proof = dialer.receive(challenge.frames.front(), now);
        BOOST_REQUIRE(!proof.frames.empty());
        BOOST_TEST(listener.receive(proof.frames.front(), now).failure.has_value(), "byte " << at);
        BOOST_TEST(!listener.isReady());
    }
}

BOOST_AUTO_TEST_CASE(otherProtocolVersion_hello_isRefusedWithItsNumber)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    Frame hello = dialer.open(now).frames.front();
    const std::string field = "bpv"; // a text of two bytes, then the version in one byte
    const auto found = std::search(hello.begin(), hello.end(), field.begin(), field.end());
    BOOST_REQUIRE((found != hello.end()));
    *(found + static_cast<std::ptrdiff_t>(field.size())) = 2;
    const Step step = listener.receive(hello, now);
    BOOST_REQUIRE(step.failure.has_value());
    BOOST_TEST((step.failure->code == ErrorCode::ProtocolError));
    BOOST_TEST(step.failure->detail.find("version 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(frameTable_beforeTheHandshakeIsDone_isRefused)
{
    LinkSession dialer = makeDialer();
    const Frame hello = dialer.open(now).frames.front();
    struct Case {
        std::string name;
        Frame frame;
        ErrorCode code;
    };
    const std::vector<Case> cases = {
        {"a message", encode(sampleChunk()), ErrorCode::ProtocolError},
        {"a heartbeat", {}, ErrorCode::BadInput},
        {"garbage", {0xff, 0x00, 0x13}, ErrorCode::BadInput},
        {"oversize", Frame(LinkSession::MaxHandshakeFrameBytes + 1, 0x40), ErrorCode::TooLarge},
        {"a hello cut off", Frame(hello.begin(), hello.end() - 1), ErrorCode::BadInput},
    };
    for (const Case &one : cases) {
        LinkSession atHello = makeListener();
        const Step first = atHello.receive(one.frame, now);
        BOOST_REQUIRE_MESSAGE(first.failure.has_value(), one.name);
        BOOST_TEST((first.failure->code == one.code), one.name);
        BOOST_TEST(!first.message.has_value(), one.name);

        LinkSession atProof = makeListener();
        atProof.receive(hello, now);
        const Step second = atProof.receive(one.frame, now);
        BOOST_REQUIRE_MESSAGE(second.failure.has_value(), one.name);
        BOOST_TEST((second.failure->code == one.code), one.name);
        BOOST_TEST(!atProof.receive(encode(sampleChunk()), now).message.has_value(), one.name);
    }
}

BOOST_AUTO_TEST_CASE(unfinishedHandshake_timeout_isRefusedWhateverArrives)
{
    LinkSession listener = makeListener();
    listener.noteHeard(now + 1999ms);
    BOOST_TEST(!listener.tick(now + 1999ms).failure.has_value());
    BOOST_TEST((listener.nextTick() == now + 2000ms));
    const Step step = listener.tick(now + 2000ms);
    BOOST_REQUIRE(step.failure.has_value());
    BOOST_TEST((step.failure->verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(idleLink_heartbeats_keepItAlive)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    for (int i = 0; i < 100; ++i) {
        now += 500ms;
        const Step beat = dialer.tick(now);
        BOOST_REQUIRE(beat.frames.size() == 1);
        BOOST_TEST(beat.frames.front().empty());
        const Step answer = listener.receive(beat.frames.front(), now);
        BOOST_REQUIRE(answer.frames.size() == 1);
        BOOST_TEST(!dialer.receive(answer.frames.front(), now).failure.has_value());
        BOOST_TEST(listener.tick(now).frames.empty());
        BOOST_TEST((dialer.nextTick() < listener.nextTick())); // so that the next beat is the dialer's again
    }
    BOOST_TEST(dialer.isReady());
    BOOST_TEST(listener.isReady());
}

// Symptom: an idle link takes all the network it can get.
// Sequence: each side answers the other's heartbeat at once.
// Cause: heartbeats that are answered without regard to when the last one was sent.
BOOST_AUTO_TEST_CASE(heartbeat_soonAfterOwn_isNotAnswered)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    now += 500ms;
    const Step beat = dialer.tick(now);
    const Step answer = listener.receive(beat.frames.front(), now);
    BOOST_TEST(dialer.receive(answer.frames.front(), now).frames.empty());
    BOOST_TEST(listener.receive(Frame{}, now + 249ms).frames.empty());
    BOOST_TEST(listener.receive(Frame{}, now + 250ms).frames.size() == 1U);
}

// Symptom: a link whose other direction is dead stays open, since this side sends.
// Sequence: this side sends messages all the time and hears nothing.
BOOST_AUTO_TEST_CASE(silentPeer_whileThisSideSends_endsTheLink)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    for (int i = 0; i < 19; ++i) {
        now += 100ms;
        dialer.noteSent(now);
        BOOST_TEST(!dialer.tick(now).failure.has_value());
    }
    BOOST_TEST(dialer.tick(now + 100ms).failure.has_value());
}

BOOST_AUTO_TEST_CASE(busyLink_ticks_sendNoHeartbeats)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    for (int i = 0; i < 20; ++i) {
        now += 400ms;
        dialer.noteSent(now);
        dialer.noteHeard(now);
        BOOST_TEST(dialer.tick(now).frames.empty());
    }
}

// Symptom: requests go into a link that looks open and never come back.
// Sequence: something between the two ends loses track of the connection; no FIN or RST ever arrives.
// Cause: trust in TCP to report the loss.
BOOST_AUTO_TEST_CASE(silentPeer_timeout_endsTheLinkAsMayHaveRun)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    const MonoTime start = now;
    BOOST_TEST(!dialer.tick(start + 1999ms).failure.has_value());
    BOOST_TEST((dialer.nextTick() == start + 2000ms));
    const Step step = dialer.tick(start + 2000ms);
    BOOST_REQUIRE(step.failure.has_value());
    BOOST_TEST((step.failure->code == ErrorCode::ConnectionLost));
    BOOST_TEST((step.failure->verdict == Verdict::MayHaveRun));
    BOOST_TEST(!dialer.isReady());
    BOOST_TEST(dialer.tick(start + 1h).frames.empty());
}

// Symptom: a large chunk of a manifest never gets through a slow line: the link is closed for silence again and again.
// Sequence: one frame takes longer than the silence timeout to arrive, piece by piece.
// Cause: only whole frames counted as signs of life.
BOOST_AUTO_TEST_CASE(longFrame_arrivingInPieces_isNoSilence)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    for (int i = 0; i < 10; ++i) {
        now += 1s;
        dialer.noteHeard(now);
        BOOST_TEST(!dialer.tick(now).failure.has_value());
    }
}

// Symptom: an entry with 130 links loses link after link, though all peers are well.
// Sequence: the entry beats more slowly, to keep its budget; its peers, with few links, go on expecting it each 500 ms.
// Cause: a pace that the peer doesn't know of.
BOOST_AUTO_TEST_CASE(sideWithManyLinks_idle_isNotTakenForSilent)
{
    for (const std::size_t links : {27U, 130U, 420U, 5000U}) {
        const LinkOptions entry = pacedOptions(Role::Entry, links);
        LinkSession dialer = makeSession(Side::Dialer, entry, 1);
        LinkSession listener = makeSession(Side::Listener, pacedOptions(Role::Agent, 1), 2);
        shakeHands(dialer, listener);
        BOOST_TEST((dialer.heartbeatInterval() == std::max(Duration(500), entry.pacing->spacing())));
        BOOST_TEST((listener.heartbeatInterval() == dialer.heartbeatInterval()));
        const auto sent = runFor(dialer, listener, 60s);
        BOOST_REQUIRE(sent.has_value());
        const double intervals = 60'000.0 / static_cast<double>(dialer.heartbeatInterval().count());
        BOOST_TEST(*sent <= 2 * intervals + 2, links << " links: " << *sent << " frames");
    }
}

// Symptom, sequence and cause as above; here the links come and go while the link is open, on either side.
BOOST_AUTO_TEST_CASE(linksThatComeAndGo_idle_paceFollowsOnBothSides)
{
    const LinkOptions entry = pacedOptions(Role::Entry, 1);
    const LinkOptions agent = pacedOptions(Role::Agent, 1);
    LinkSession dialer = makeSession(Side::Dialer, entry, 1);
    LinkSession listener = makeSession(Side::Listener, agent, 2);
    shakeHands(dialer, listener);
    for (const auto &[own, other] : {std::pair{130U, 3U}, {420U, 3U}, {3U, 3U}, {3U, 420U}, {420U, 420U}, {3U, 3U}, {130U, 420U}, {27U, 27U}}) {
        setLinks(*entry.pacing, own);
        setLinks(*agent.pacing, other);
        BOOST_REQUIRE_MESSAGE(runFor(dialer, listener, 20s, 200ms), own << " and " << other << " links");
        const Duration wanted = std::max({Duration(500), entry.pacing->spacing(), agent.pacing->spacing()});
        BOOST_TEST((dialer.heartbeatInterval() == listener.heartbeatInterval()));
        BOOST_TEST(dialer.heartbeatInterval().count() >= wanted.count() * 95 / 100);
        BOOST_TEST(dialer.heartbeatInterval().count() <= wanted.count() * 4 / 3);
    }
}

// Symptom: requests wait on a dead link for as long as it once was slow, although few links are left.
// Sequence: the number of links falls; the peer dies before it hears of the new pace.
// Cause: the timeout of the old pace kept until the peer answers.
BOOST_AUTO_TEST_CASE(peerDeadAsThePaceQuickens_silence_isNoticedInTheNewTimeout)
{
    const LinkOptions entry = pacedOptions(Role::Entry, 420);
    LinkSession dialer = makeSession(Side::Dialer, entry, 1);
    LinkSession listener = makeSession(Side::Listener, pacedOptions(Role::Agent, 1), 2);
    shakeHands(dialer, listener);
    BOOST_REQUIRE(runFor(dialer, listener, 60s));
    setLinks(*entry.pacing, 3);
    const MonoTime told = std::max(dialer.nextTick(), now);
    BOOST_REQUIRE(!dialer.tick(told).failure.has_value());
    BOOST_TEST((dialer.silenceTimeout() == 2000ms));
    BOOST_TEST(!dialer.tick(told + 1990ms).failure.has_value());
    BOOST_TEST(dialer.tick(told + 2000ms).failure.has_value());
}

// Symptom: a dead peer is not noticed for minutes on the instances that hold most links.
// Sequence: a peer goes silent on a link of a process with hundreds of links, or one that tells an absurd spacing.
// Cause: a silence timeout that grows with the links without bound.
BOOST_AUTO_TEST_CASE(silentPeer_manyLinks_isNoticedInBoundedTime)
{
    for (const auto &[links, limit] : {std::pair{27U, 2000ms}, {130U, 4500ms}, {420U, 12000ms}, {100'000U, 13000ms}}) {
        LinkSession dialer = makeSession(Side::Dialer, pacedOptions(Role::Entry, links), 1);
        LinkSession listener = makeListener();
        shakeHands(dialer, listener);
        BOOST_TEST(dialer.tick(now + limit).failure.has_value(), links << " links");
    }
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    static_cast<void>(dialer.receive(encodePace(24h), now));
    BOOST_TEST((dialer.silenceTimeout() <= 3min));
}

// Symptom: during a rollout links between old and new processes break every two seconds.
// Sequence: a new process with many links stretches its pace; an old peer does not know what it is told.
// Cause: a pace kept towards peers that cannot follow it.
BOOST_AUTO_TEST_CASE(peerOfBeforePacing_manyLinks_keepsThePaceOfTheSettings)
{
    const LinkOptions entry = pacedOptions(Role::Entry, 420);
    LinkSession dialer = makeSession(Side::Dialer, entry, 1);
    dialer.open(now);
    const Frame challenge = encodeIntroduction(ChallengeType, {.nonce = nonceOf(2), .self = optionsOf(Role::Agent, {}).self});
    BOOST_REQUIRE(!dialer.receive(challenge, now).failure.has_value());
    BOOST_TEST(!dialer.peer().isPaced);
    BOOST_TEST((dialer.heartbeatInterval() == 500ms));
    BOOST_TEST((dialer.silenceTimeout() == 2000ms));
}

BOOST_AUTO_TEST_CASE(readyLink_unknownMessageType_isIgnored)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    const Frame unknown{0xa1, 0x61, 't', 0x18, 0xc8}; // {"t": 200}
    const Step step = dialer.receive(unknown, now);
    BOOST_TEST(!step.failure.has_value());
    BOOST_TEST(!step.message.has_value());
    BOOST_TEST(dialer.receive(encode(sampleChunk()), now).message.has_value());
}

BOOST_AUTO_TEST_CASE(readyLink_malformedMessage_endsTheLink)
{
    LinkSession dialer = makeDialer();
    LinkSession listener = makeListener();
    shakeHands(dialer, listener);
    const Step step = dialer.receive(Frame{0xff}, now);
    BOOST_REQUIRE(step.failure.has_value());
    BOOST_TEST((step.failure->code == ErrorCode::BadInput));
    BOOST_TEST((step.failure->verdict == Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::wire
