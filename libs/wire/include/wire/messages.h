#ifndef MAGNOLIA_WIRE_MESSAGES_H
#define MAGNOLIA_WIRE_MESSAGES_H

#include "base/clock.h"
#include "base/failure.h"
#include "base/requestid.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * The messages of the inner protocol, as plain values. They travel as CBOR maps over WebSocket links; unknown fields are
 * ignored, missing required ones are an error. Durations are milliseconds, sizes are bytes.
 */
namespace magnolia::wire
{

/** Version of the inner protocol, carried in the handshake. Links between different major versions are refused. */
constexpr std::uint32_t ProtocolVersion = 1;

/** Grows each time that an agent process starts; a request is addressed to one incarnation. */
using Incarnation = std::uint64_t;

enum class Role : std::uint8_t {
    Entry = 0,
    Agent = 1,
};

enum class PriorityClass : std::uint8_t {
    Paying = 0,
    Trial = 1,
};

/** Names one attempt at a request. A second dispatch of the same request has the next attempt number. */
struct AttemptId {
    RequestId request;
    std::uint32_t attempt = 0;

    auto operator<=>(const AttemptId &) const = default; // NOLINT(modernize-use-nullptr): wrong for a defaulted comparison
};

/** Entry to agent: run this. */
struct Dispatch {
    AttemptId id;
    Incarnation incarnation = 0; ///< The agent's incarnation that this is addressed to; any other one refuses it.
    std::string organisation;
    PriorityClass priorityClass = PriorityClass::Trial;
    std::uint32_t weight = 1; ///< The organisation's share within its class, 1 to 1000.
    std::string model; ///< Empty for a plain service.
    std::string adapter; ///< Empty for the bare model.
    std::string version; ///< Empty: whatever the manifest says is current.
    std::string service; ///< Empty for a model request.
    std::string method; ///< HTTP method towards the endpoint.
    std::string path; ///< Path and query towards the endpoint, beginning with '/'.
    std::map<std::string, std::string> headers; ///< Headers for the endpoint; names in lower case.
    std::string body;
    bool stream = false; ///< The caller asked for server-sent events.
    bool idempotent = true; ///< False: at most one run, guarded by idempotencyKey.
    std::string idempotencyKey;
    std::uint32_t resumeAfter = 0; ///< Chunks the caller has already; the first new one has this index.
    Duration timeLeft{0}; ///< Until the caller's deadline, at the time of sending.
    std::uint32_t promptTokens = 0; ///< Estimate, for admission.
    std::string traceparent; ///< W3C trace context of the sending span.
    std::uint64_t manifestVersion = 0; ///< The version that the entry decided under.

    bool operator==(const Dispatch &) const = default;
};

/** Entry to agent: stop this attempt; its answer is no longer wanted. Leaves a tombstone if the attempt is unknown. */
struct Cancel {
    AttemptId id;

    bool operator==(const Cancel &) const = default;
};

/** Entry to agent, over a fresh link: what became of this attempt? Leaves a tombstone if it is unknown. */
struct Query {
    AttemptId id;
    Incarnation incarnation = 0;

    bool operator==(const Query &) const = default;
};

/** Agent to entry: the answer to a Query. */
struct QueryAnswer {
    AttemptId id;
    Incarnation incarnation = 0; ///< The agent's present one.
    Verdict verdict = Verdict::MayHaveRun;
    bool running = false; ///< The attempt is still queued or running; its chunks can be asked for by Attach.

    bool operator==(const QueryAnswer &) const = default;
};

/** Entry to agent, over a fresh link: send the chunks of this attempt from an index on, and its end, over this link. */
struct Attach {
    AttemptId id;
    std::uint32_t fromChunk = 0;

    bool operator==(const Attach &) const = default;
};

/** Agent to entry: a piece of the answer. Chunks have consecutive indices from Dispatch::resumeAfter on. */
struct Chunk {
    AttemptId id;
    std::uint32_t index = 0;
    std::string data; ///< For a model: one server-sent event's data. For a service: bytes of the body.

    bool operator==(const Chunk &) const = default;
};

/** Agent to entry: the attempt has ended; exactly one for each attempt. */
struct Finish {
    AttemptId id;
    Verdict verdict = Verdict::MayHaveRun;
    std::uint32_t status = 0; ///< HTTP status from the endpoint; 0 if there was none.
    std::string contentType;
    std::string errorCode; ///< Name of an ErrorCode; empty on success.
    std::string detail;
    Duration retryAfter{0}; ///< 0: none.
    std::uint32_t chunks = 0; ///< Index after the last chunk, to prove that the answer is whole.
    bool replayed = false; ///< The stored answer of an earlier run under the same idempotency key.

    bool operator==(const Finish &) const = default;
};

/** Agent to entry, about once a second, less often on many links, and after changes: the endpoint's load. */
struct LoadReport {
    std::string endpoint; ///< The manifest's name of it.
    Incarnation incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t queuedPaying = 0;
    std::uint32_t queuedTrial = 0;
    std::uint32_t limit = 1; ///< How many it runs at once.
    Duration waitPaying{0}; ///< Expected wait for the first token.
    Duration waitTrial{0};
    bool leaving = false;
    bool serving = false; ///< The endpoint answers and has what the manifest wants.
    std::vector<std::string> loaded; ///< "model", "model@version" or "model/adapter@version" that it serves now.
    std::uint64_t manifestVersion = 0; ///< In force at the agent.
    bool sameLoaded = false; ///< `loaded` is left out: it is as in the report before on this link. See LoadedList.

    bool operator==(const LoadReport &) const = default;
};

/** Both ways: the highest manifest version that the sender has in force. */
struct ManifestHead {
    std::uint64_t version = 0;
    std::string root; ///< Content hash of the root chunk.

    bool operator==(const ManifestHead &) const = default;
};

/** Both ways: please send this chunk. */
struct ChunkRequest {
    std::string hash;

    bool operator==(const ChunkRequest &) const = default;
};

/** Both ways: the answer to a ChunkRequest; empty data if the sender has it not. */
struct ChunkData {
    std::string hash;
    std::string data;

    bool operator==(const ChunkData &) const = default;
};

/** Agent to agent: a message of the expert map's switch protocol; its fields are defined in libs/experts. */
struct SwitchMessage {
    std::string group;
    std::uint64_t epoch = 0;
    std::uint64_t map = 0; ///< Number of the map that is being switched to.
    std::uint32_t fromRank = 0;
    std::uint32_t toRank = 0;
    Incarnation toIncarnation = 0;
    Incarnation fromIncarnation = 0;
    std::uint8_t kind = 0; ///< experts::SwitchKind
    std::uint64_t step = 0;
    std::string payload; ///< The encoded map, where the kind carries one.

    bool operator==(const SwitchMessage &) const = default;
};

/** Agent to the coordinator of its group, some times a second and after each command: its engine as a rank. */
struct RankReport {
    std::string group;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t size = 0; ///< Ranks of the group.
    std::uint64_t term = 0; ///< Highest term of a coordinator that the agent has heard of.
    bool isOpen = false;
    std::uint64_t step = 0; ///< The last pass that was begun.
    std::uint64_t map = 0;
    std::uint64_t prepared = 0; ///< 0: none.
    std::uint64_t armedVersion = 0; ///< 0: none.
    std::uint64_t armedStep = 0;
    bool isHeld = false;
    std::uint64_t heldStep = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t paceThousandths = 1000;
    std::string counts; ///< Packed: choices of each expert since the last report, set by set; empty: none.
    std::uint64_t expertsVersion = 0; ///< Of the map that `experts` is of.
    std::string experts; ///< Packed: experts of this rank by set; empty: as in the report before on this link.
    std::uint64_t toldVersion = 0; ///< That the agent was last told to prepare, in this run of its process; 0: none.
    bool isToldFresh = false; ///< As of RankCommand::isFresh.
    std::uint64_t knownMap = 0; ///< Version in use, if the agent was told that map; 0: it was not.
    std::uint64_t peerArmVersion = 0; ///< Of the last order to arm that the agent gave to another rank's engine; 0: none.
    std::uint64_t peerArmEpoch = 0;
    std::uint64_t peerArmStep = 0;
    std::uint32_t peerArmRank = 0; ///< Of that engine.
    bool isPeerArmAccepted = false; ///< That engine has said so.

    bool operator==(const RankReport &) const = default;
};

/** Coordinator to agent: an order for its engine, or only who coordinates. Agents heed the highest term that they know. */
struct RankCommand {
    std::string group; ///< Agents of other groups do not heed it.
    std::uint64_t term = 0;
    std::uint8_t kind = 0; ///< group::RankOrderKind
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::uint64_t step = 0;
    std::uint64_t mapBase = 0; ///< Version of the map that `map` only changes; 0: `map` is whole.
    std::string map; ///< Packed: experts by set, then by rank, or what differs from the base; empty if the kind carries none.
    bool isFresh = false; ///< No rank was armed or held when the change was begun; of a command to prepare.
    std::uint32_t coordinator = 0; ///< Rank beside the sender, counted from 1; 0: not known yet.
    std::string peerEngine{}; ///< "IP:PORT" of another rank's engine that the order is for; empty: the agent's own.
    std::uint32_t peerRank = 0; ///< Of that engine.

    bool operator==(const RankCommand &) const = default;
};

/** Process to a peer that follows the same documents: as of when did you last know that yours was the newest? */
struct ProofQuestion {
    std::uint8_t subject = 0; ///< Which of the documents is asked for, as counted by both.
    std::uint64_t version = 0; ///< That the asking process knows; 0: none.
    std::uint64_t askedAt = 0; ///< By the asking process's own clock, in ns; comes back in the answer.

    bool operator==(const ProofQuestion &) const = default;
};

/** Answer to a ProofQuestion. */
struct ProofAnswer {
    std::uint8_t subject = 0; ///< As in the question.
    std::uint64_t askedAt = 0; ///< As in the question.
    std::uint64_t version = 0; ///< That this process knows; 0: none, and the rest says nothing.
    Duration age{0}; ///< Since that version was last known to be the newest.
    std::string document; ///< That version, if the question named a lower one.

    bool operator==(const ProofAnswer &) const = default;
};

using Message = std::variant<Dispatch,
                             Cancel,
                             Query,
                             QueryAnswer,
                             Attach,
                             Chunk,
                             Finish,
                             LoadReport,
                             ManifestHead,
                             ChunkRequest,
                             ChunkData,
                             SwitchMessage,
                             RankReport,
                             RankCommand,
                             ProofQuestion,
                             ProofAnswer>;

} // namespace magnolia::wire

#endif
