#include "wire/codec.h"

#include "fieldreader.h"
#include "fieldwriter.h"

#include <type_traits>
#include <utility>

namespace magnolia::wire
{

namespace
{

/** Numbers of the messages on the wire. They are never reused; new ones go at the end. */
enum class MessageType : std::uint8_t {
    Dispatch = 1,
    Cancel = 2,
    Query = 3,
    QueryAnswer = 4,
    Attach = 5,
    Chunk = 6,
    Finish = 7,
    LoadReport = 8,
    ManifestHead = 9,
    ChunkRequest = 10,
    ChunkData = 11,
    SwitchMessage = 12,
    RankReport = 13,
    RankCommand = 14,
    ProofQuestion = 15,
    ProofAnswer = 16,
};

template<typename T>
constexpr MessageType TypeOf{};
template<>
constexpr MessageType TypeOf<Dispatch> = MessageType::Dispatch;
template<>
constexpr MessageType TypeOf<Cancel> = MessageType::Cancel;
template<>
constexpr MessageType TypeOf<Query> = MessageType::Query;
template<>
constexpr MessageType TypeOf<QueryAnswer> = MessageType::QueryAnswer;
template<>
constexpr MessageType TypeOf<Attach> = MessageType::Attach;
template<>
constexpr MessageType TypeOf<Chunk> = MessageType::Chunk;
template<>
constexpr MessageType TypeOf<Finish> = MessageType::Finish;
template<>
constexpr MessageType TypeOf<LoadReport> = MessageType::LoadReport;
template<>
constexpr MessageType TypeOf<ManifestHead> = MessageType::ManifestHead;
template<>
constexpr MessageType TypeOf<ChunkRequest> = MessageType::ChunkRequest;
template<>
constexpr MessageType TypeOf<ChunkData> = MessageType::ChunkData;
template<>
constexpr MessageType TypeOf<SwitchMessage> = MessageType::SwitchMessage;
template<>
constexpr MessageType TypeOf<RankReport> = MessageType::RankReport;
template<>
constexpr MessageType TypeOf<RankCommand> = MessageType::RankCommand;
template<>
constexpr MessageType TypeOf<ProofQuestion> = MessageType::ProofQuestion;
template<>
constexpr MessageType TypeOf<ProofAnswer> = MessageType::ProofAnswer;

constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxHttpStatus = 999;

constexpr auto Required = Presence::Required;
constexpr auto Optional = Presence::Optional;

/** True for T and const T: each list of fields below serves the reader and the writer. */
template<typename M, typename T>
concept Either = std::same_as<std::remove_const_t<M>, T>;

// What comes from HTTP (methods, paths, headers, keys, bodies) travels as byte strings, since nothing says that it is
// UTF-8; names that the manifest gives are text.

template<typename F, typename M>
void attemptFields(F &fields, M &id)
{
    fields.requestId("q", id.request);
    fields.number("a", id.attempt, Optional);
}

template<typename F, Either<Dispatch> M>
void visitFields(F &fields, M &message)
{
    attemptFields(fields, message.id);
    fields.number("n", message.incarnation, Required);
    fields.text("o", message.organisation, Required);
    fields.choice("c", message.priorityClass, PriorityClass::Trial);
    fields.number("w", message.weight, Required, Range<std::uint32_t>{.lowest = 1, .highest = MaxWeight});
    fields.text("m", message.model, Optional);
    fields.text("ad", message.adapter, Optional);
    fields.text("v", message.version, Optional);
    fields.text("s", message.service, Optional);
    fields.bytes("mt", message.method, Optional);
    fields.bytes("p", message.path, Optional);
    fields.byteMap("h", message.headers);
    fields.bytes("b", message.body, Optional);
    fields.flag("st", message.stream, Optional);
    fields.flag("id", message.idempotent, Required);
    fields.bytes("k", message.idempotencyKey, Optional);
    fields.number("r", message.resumeAfter, Optional);
    fields.duration("d", message.timeLeft, Required);
    fields.number("pt", message.promptTokens, Optional);
    fields.bytes("tp", message.traceparent, Optional);
    fields.number("mv", message.manifestVersion, Required);
}

template<typename F, Either<Cancel> M>
void visitFields(F &fields, M &message)
{
    attemptFields(fields, message.id);
}

template<typename F, Either<Query> M>
void visitFields(F &fields, M &message)
{
    attemptFields(fields, message.id);
    fields.number("n", message.incarnation, Required);
}

template<typename F, Either<QueryAnswer> M>
void visitFields(F &fields, M &message)
{
    attemptFields(fields, message.id);
    fields.number("n", message.incarnation, Required);
    fields.choice("vd", message.verdict, Verdict::Ran);
    fields.flag("r", message.running, Required);
}

template<typename F, Either<Attach> M>
void visitFields(F &fields, M &message)
{
    attemptFields(fields, message.id);
    fields.number("i", message.fromChunk, Required);
}

template<typename F, Either<Chunk> M>
void visitFields(F &fields, M &message)
{
    attemptFields(fields, message.id);
    fields.number("i", message.index, Required);
    fields.bytes("d", message.data, Required);
}

template<typename F, Either<Finish> M>
void visitFields(F &fields, M &message)
{
    attemptFields(fields, message.id);
    fields.choice("vd", message.verdict, Verdict::Ran);
    fields.number("s", message.status, Optional, Range<std::uint32_t>{.lowest = 0, .highest = MaxHttpStatus});
    fields.bytes("ct", message.contentType, Optional);
    fields.text("e", message.errorCode, Optional);
    fields.text("dt", message.detail, Optional);
    fields.duration("ra", message.retryAfter, Optional);
    fields.number("i", message.chunks, Required);
    fields.flag("rp", message.replayed, Optional);
}

template<typename F, Either<LoadReport> M>
void visitFields(F &fields, M &message)
{
    fields.text("e", message.endpoint, Required);
    fields.number("n", message.incarnation, Required);
    fields.number("r", message.running, Optional);
    fields.number("qp", message.queuedPaying, Optional);
    fields.number("qt", message.queuedTrial, Optional);
    fields.number("l", message.limit, Required);
    fields.duration("wp", message.waitPaying, Optional);
    fields.duration("wt", message.waitTrial, Optional);
    fields.flag("lv", message.leaving, Optional);
    fields.flag("sv", message.serving, Optional);
    fields.texts("ld", message.loaded);
    fields.number("mv", message.manifestVersion, Required);
    fields.flag("sl", message.sameLoaded, Optional);
}

template<typename F, Either<ManifestHead> M>
void visitFields(F &fields, M &message)
{
    fields.number("mv", message.version, Required);
    fields.text("rt", message.root, Required);
}

template<typename F, Either<ChunkRequest> M>
void visitFields(F &fields, M &message)
{
    fields.text("ch", message.hash, Required);
}

template<typename F, Either<ChunkData> M>
void visitFields(F &fields, M &message)
{
    fields.text("ch", message.hash, Required);
    fields.bytes("d", message.data, Optional);
}

template<typename F, Either<SwitchMessage> M>
void visitFields(F &fields, M &message)
{
    fields.text("g", message.group, Required);
    fields.number("ep", message.epoch, Required);
    fields.number("mp", message.map, Required);
    fields.number("fr", message.fromRank, Required);
    fields.number("to", message.toRank, Required);
    fields.number("tn", message.toIncarnation, Required);
    fields.number("fn", message.fromIncarnation, Required);
    fields.number("kd", message.kind, Required);
    fields.number("sp", message.step, Required);
    fields.bytes("d", message.payload, Optional);
}

template<typename F, Either<RankReport> M>
void visitFields(F &fields, M &message)
{
    fields.text("g", message.group, Required);
    fields.number("ep", message.epoch, Required);
    fields.number("rk", message.rank, Required);
    fields.number("sz", message.size, Required);
    fields.number("tm", message.term, Required);
    fields.flag("op", message.isOpen, Required);
    fields.number("sp", message.step, Required);
    fields.number("mp", message.map, Required);
    fields.number("pr", message.prepared, Optional);
    fields.number("av", message.armedVersion, Optional);
    fields.number("as", message.armedStep, Optional);
    fields.flag("ih", message.isHeld, Optional);
    fields.number("hs", message.heldStep, Optional);
    fields.number("r", message.running, Optional);
    fields.number("w", message.waiting, Optional);
    fields.number("pc", message.paceThousandths, Optional);
    fields.bytes("c", message.counts, Optional);
    fields.number("xv", message.expertsVersion, Optional);
    fields.bytes("x", message.experts, Optional);
    fields.number("tv", message.toldVersion, Optional);
    fields.flag("tf", message.isToldFresh, Optional);
    fields.number("km", message.knownMap, Optional);
    fields.number("pv", message.peerArmVersion, Optional);
    fields.number("pe", message.peerArmEpoch, Optional);
    fields.number("ps", message.peerArmStep, Optional);
    fields.number("pk", message.peerArmRank, Optional);
    fields.flag("pa", message.isPeerArmAccepted, Optional);
}

template<typename F, Either<RankCommand> M>
void visitFields(F &fields, M &message)
{
    fields.text("g", message.group, Required);
    fields.number("tm", message.term, Required);
    fields.number("kd", message.kind, Required);
    fields.number("ep", message.epoch, Optional);
    fields.number("v", message.version, Optional);
    fields.number("sp", message.step, Optional);
    fields.number("b", message.mapBase, Optional);
    fields.bytes("x", message.map, Optional);
    fields.flag("f", message.isFresh, Optional);
    fields.number("co", message.coordinator, Optional);
    fields.text("pn", message.peerEngine, Optional);
    fields.number("pk", message.peerRank, Optional);
}

template<typename F, Either<ProofQuestion> M>
void visitFields(F &fields, M &message)
{
    fields.number("sj", message.subject, Optional);
    fields.number("v", message.version, Optional);
    fields.number("at", message.askedAt, Required);
}

template<typename F, Either<ProofAnswer> M>
void visitFields(F &fields, M &message)
{
    fields.number("sj", message.subject, Optional);
    fields.number("at", message.askedAt, Required);
    fields.number("v", message.version, Optional);
    fields.duration("ag", message.age, Required);
    fields.bytes("d", message.document, Optional);
}

template<typename T>
Result<Message> read(FieldReader &fields)
{
    T message;
    visitFields(fields, message);
    if (!fields.fault().empty()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, fields.fault());
    }
    return Message(std::move(message));
}

template<std::size_t... Index>
Result<Message> readByType(std::uint8_t type, FieldReader &fields, std::index_sequence<Index...> /*indices*/)
{
    Result<Message> result = fail(ErrorCode::NotFound, Verdict::NotRun, "the message type is not known");
    const auto tryOne = [&]<typename T>(std::type_identity<T> /*tag*/) {
        if (type == static_cast<std::uint8_t>(TypeOf<T>)) {
            result = read<T>(fields);
        }
    };
    (tryOne(std::type_identity<std::variant_alternative_t<Index, Message>>{}), ...);
    return result;
}

} // namespace

std::vector<std::uint8_t> encode(const Message &message)
{
    return std::visit(
        []<typename T>(const T &value) {
            FieldWriter fields(static_cast<std::uint8_t>(TypeOf<T>));
            visitFields(fields, value);
            return fields.finish();
        },
        message);
}

Result<Message> decode(std::span<const std::uint8_t> bytes)
{
    auto fields = FieldReader::parse(bytes);
    if (!fields) {
        return tl::unexpected(fields.error());
    }
    const std::uint8_t type = fields->type();
    if (type == 0) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "the message has no type");
    }
    return readByType(type, *fields, std::make_index_sequence<std::variant_size_v<Message>>{});
}

} // namespace magnolia::wire
