#ifndef MAGNOLIA_WIRE_LINKSESSION_H
#define MAGNOLIA_WIRE_LINKSESSION_H

#include "base/clock.h"
#include "base/failure.h"
#include "wire/link.h"
#include "wire/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace magnolia::wire
{

/**
 * The rules of one link, apart from sockets and clocks: frames and the time come in, frames and events go out.
 *
 * The handshake takes four frames: the dialer's hello, the listener's challenge, the dialer's proof, the listener's
 * proof. Each proof is an HMAC-SHA-256 under the shared key over the prover's side and key id and over the hello and the
 * challenge as sent, which hold both fresh nonces, the protocol version and who the two are. Until the peer's proof has been checked
 * nothing but these frames is decoded. From then on a frame is a message, a heartbeat if it is empty, or a heartbeat that
 * tells the sender's spacing. The slower pace of the two ends holds for both, and each knows it: both say theirs in the
 * handshake and before they change it. Nobody waits for a sign of life sooner than the other has promised it.
 *
 * Lives as long as its connection. Any one thread may use it.
 *
 * @code
 * LinkSession session(LinkSession::Side::Dialer, options, nonce, now);
 * LinkSession::Step step = session.open(now);   // send step.frames
 * step = session.receive(frame, now);           // act on step.ready, step.message, step.failure
 * step = session.tick(now);                     // at session.nextTick(), or later
 * @endcode
 */
class LinkSession
{
public:
    enum class Side : std::uint8_t {
        Dialer,
        Listener,
    };

    using Frame = std::vector<std::uint8_t>;
    using Nonce = std::array<std::uint8_t, 32>;

    /** No frame of the handshake is longer. */
    static constexpr std::size_t MaxHandshakeFrameBytes = 4096;

    /** What the owner has to do, in this order. */
    struct Step {
        std::vector<Frame> frames; ///< To be sent.
        std::optional<Failure> failure; ///< The link has to be closed; the session is dead.
        bool ready = false; ///< The handshake has just been completed.
        std::optional<Message> message; ///< One that was received.
    };

    /** @param nonce fresh random bytes from a cryptographic generator, never used for another session. */
    LinkSession(Side side, std::shared_ptr<const LinkOptions> options, const Nonce &nonce, MonoTime now);

    /** Begins the handshake: the dialer's first frame; nothing for a listener. */
    Step open(MonoTime now);

    /** Takes one whole frame from the peer. */
    Step receive(std::span<const std::uint8_t> frame, MonoTime now);

    /** Sends a heartbeat or notices silence, if it is time. */
    Step tick(MonoTime now);

    /** Any bytes have arrived, be it a part of a frame only: the peer is alive. */
    void noteHeard(MonoTime now);

    /** A frame was sent, so that no heartbeat is needed for a while. */
    void noteSent(MonoTime now);

    /** @return when tick() has something to do at the earliest. */
    MonoTime nextTick() const;

    bool isReady() const;

    /** @return who is at the other end; meaningful once the link is ready. */
    const PeerInfo &peer() const;

    /** As Link::spacing(). */
    Duration spacing() const;

    /** As Link::heartbeatInterval(). */
    Duration heartbeatInterval() const;

    /** @return how long nothing may be received before the link is given up. */
    Duration silenceTimeout() const;

private:
    enum class State : std::uint8_t {
        AwaitHello,
        AwaitChallenge,
        AwaitDialerProof,
        AwaitListenerProof,
        Ready,
        Dead,
    };

    Step takeHello(std::span<const std::uint8_t> frame);
    Step takeChallenge(std::span<const std::uint8_t> frame);
    Step takeDialerProof(std::span<const std::uint8_t> frame);
    Step takeListenerProof(std::span<const std::uint8_t> frame);
    Step takeMessage(std::span<const std::uint8_t> frame);
    MonoTime nextHeartbeat() const;
    Step addHeartbeat(Step step, MonoTime now);
    Frame makeHeartbeat(MonoTime now);
    Frame introduce(std::uint8_t type);
    void takePace(std::span<const std::uint8_t> frame);
    Duration ownSpacing() const;
    std::optional<Failure> readIntroduction(std::span<const std::uint8_t> frame, std::uint8_t type);
    std::optional<Failure> checkProof(std::span<const std::uint8_t> frame, Side prover) const;
    std::optional<Frame> prove() const;
    Step die(Failure failure);
    Step die(ErrorCode code, std::string detail);

    Side side_;
    State state_;
    std::shared_ptr<const LinkOptions> options_;
    Nonce nonce_;
    MonoTime opened_;
    MonoTime lastHeard_;
    MonoTime lastSent_;
    PeerInfo peer_;
    Duration peerInterval_{0}; ///< Of the peer's settings.
    Duration peerSpacing_{0}; ///< As it told last.
    Duration toldSpacing_{0}; ///< As this side told last.
    Frame hello_;
    Frame challenge_;
};

} // namespace magnolia::wire

#endif
