#include "mixedload.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <utility>

namespace magnolia::path
{

namespace
{

constexpr Duration PauseAfterRefusal{100};
constexpr Duration FinishLimit{30000};
constexpr Duration AnswerMargin{2000}; ///< How long after the deadline a caller still waits for the refusal.
constexpr int MaxTries = 8;
constexpr int TwoEntriesEvery = 4;
constexpr int StatusOk = 200;
constexpr std::array<std::string_view, 3> Verdicts = {"ran", "not-run", "may-have-run"};

bool isVerdict(const std::string &text)
{
    return std::find(Verdicts.begin(), Verdicts.end(), text) != Verdicts.end();
}

std::string describe(const std::string &marker, const Call &call)
{
    return fmt::format("{}: status {}, whole {}, failure '{}', verdict '{}', body '{}'",
                       marker,
                       call.status,
                       call.isWhole,
                       call.failure,
                       verdictOf(call),
                       call.body.size() > 500 ? call.body.substr(call.body.size() - 500) : call.body);
}

std::string outcomeOf(const Call &call)
{
    if (call.status == 0) {
        return "no answer";
    }
    if (call.status != StatusOk) {
        return fmt::format("{} {} {}", call.status, call.error("code"), verdictOf(call));
    }
    if (!call.isWhole) {
        return "200 cut off";
    }
    return call.body.find("event: error") == std::string::npos ? "200" : "200 ended by an error";
}

} // namespace

std::string verdictOf(const Call &call)
{
    constexpr std::string_view ErrorEvent = "event: error\ndata: ";
    const std::size_t at = call.body.find(ErrorEvent);
    if (at != std::string::npos) {
        const std::size_t from = at + ErrorEvent.size();
        const Json error = Json::parse(call.body.substr(from, call.body.find('\n', from) - from), nullptr, false);
        return error.is_object() && error.contains("error") ? error["error"].value("verdict", "") : std::string();
    }
    return call.header("x-verdict");
}

CallerRequest bookingRequest(const std::string &idempotencyKey, Duration timeout)
{
    CallerRequest request;
    request.path = "/services/bookings/slots";
    request.key = PayingKey;
    request.body = R"({"door": 7})";
    request.headers["idempotency-key"] = idempotencyKey;
    request.headers["x-request-timeout-ms"] = std::to_string(timeout.count());
    request.timeout = timeout + AnswerMargin;
    return request;
}

MixedLoad::MixedLoad(Deployment &deployment, Options options) : deployment_(deployment), options_(options)
{
    lanes_.resize(static_cast<std::size_t>(options_.payingStreams), {.kind = Kind::PayingStream});
    lanes_.resize(lanes_.size() + static_cast<std::size_t>(options_.trialStreams), {.kind = Kind::TrialStream});
    lanes_.resize(lanes_.size() + static_cast<std::size_t>(options_.bookings), {.kind = Kind::Booking});
    deployment_.loop.onTurn([this] { turn(); });
}

MixedLoad::~MixedLoad()
{
    deployment_.loop.onTurn(nullptr);
}

void MixedLoad::finish()
{
    isFinishing_ = true;
    const auto isIdle = [](const Lane &lane) { return lane.calls.empty(); };
    const bool hasEnded = deployment_.loop.runUntil([&] { return std::all_of(lanes_.begin(), lanes_.end(), isIdle); }, FinishLimit);
    ownAnswer_.check(hasEnded, "some calls have not ended");
}

void MixedLoad::turn()
{
    const MonoTime now = MonoClock::now();
    for (Lane &lane : lanes_) {
        const bool isOpen = std::any_of(lane.calls.begin(), lane.calls.end(), [](const CallPtr &call) { return !call->isEnded; });
        if (isOpen) {
            continue;
        }
        if (!lane.calls.empty()) {
            end(lane);
        }
        if (!isFinishing_ && now >= lane.notBefore) {
            begin(lane);
        }
    }
}

void MixedLoad::begin(Lane &lane)
{
    if (lane.marker.empty()) {
        lane.marker = fmt::format("{}-{}", lane.kind == Kind::Booking ? "door" : "stream", started_++);
        lane.tries = 0;
        told_[lane.marker].isBooking = lane.kind == Kind::Booking;
    }
    ++lane.tries;
    send(lane);
    if (lane.kind == Kind::Booking && started_ % TwoEntriesEvery == 0) {
        send(lane);
    }
}

void MixedLoad::send(Lane &lane)
{
    CallerRequest request = bookingRequest(lane.marker, options_.timeout);
    if (lane.kind != Kind::Booking) {
        const std::string_view key = lane.kind == Kind::PayingStream ? PayingKey : TrialKey;
        const CallerRequest chat = chatRequest(key, "guide", lane.marker, true);
        request.path = chat.path;
        request.key = chat.key;
        request.body = chat.body;
        request.headers.erase("idempotency-key");
    }
    lane.calls.push_back(deployment_.caller.start(nextEntry(), request));
}

void MixedLoad::end(Lane &lane)
{
    bool isAnswered = false;
    for (const CallPtr &call : lane.calls) {
        note(lane, *call);
        isAnswered = isAnswered || (call->status == StatusOk && call->isWhole);
    }
    lane.calls.clear();
    if (!isAnswered) {
        lane.notBefore = MonoClock::now() + PauseAfterRefusal;
    }
    const bool isTriedAgain = lane.kind == Kind::Booking && !isAnswered && lane.tries < MaxTries;
    if (!isTriedAgain) {
        answeredBookings_ += lane.kind == Kind::Booking && isAnswered ? 1 : 0;
        lane.marker.clear();
    }
}

void MixedLoad::note(const Lane &lane, const Call &call)
{
    ++outcomes_[outcomeOf(call)];
    if (call.status != 0 && call.status != StatusOk && call.isWhole) {
        verdictGiven_.check(isVerdict(verdictOf(call)), describe(lane.marker, call));
    }
    Told &told = told_[lane.marker];
    const bool isAnswer = call.status == StatusOk && call.isWhole && verdictOf(call) != "not-run";
    told.answered += isAnswer ? 1 : 0;
    (verdictOf(call) == "not-run" ? told.notRun : told.other) += 1;
    if (lane.kind == Kind::Booking) {
        const Json body = Json::parse(call.body, nullptr, false);
        const bool isOwn = call.status != StatusOk || !call.isWhole || (body.is_object() && body.value("marker", "") == lane.marker);
        ownAnswer_.check(isOwn, describe(lane.marker, call));
    } else if (call.status == StatusOk) {
        noteStream(lane, call);
    }
}

// A stream may break off when its entry is killed, or end in an error event; what it has brought is always the beginning
// of its own answer, and without an error it is all of it.
void MixedLoad::noteStream(const Lane &lane, const Call &call)
{
    const std::string expected = expectedContent(lane.marker, options_.pieces);
    const std::string content = call.content();
    const bool isWhole = call.isWhole && call.isDone();
    const bool isTruthful = isWhole ? content == expected : expected.starts_with(content);
    const bool isEndExplained = isWhole || !call.isWhole || isVerdict(verdictOf(call));
    ownAnswer_.check(isTruthful && isEndExplained, describe(lane.marker, call));
    wholeStreams_ += isWhole ? 1 : 0;
}

std::string MixedLoad::nextEntry()
{
    return deployment_.entry(turn_++ % deployment_.entryCount()).work.address();
}

std::vector<Promise> MixedLoad::judge()
{
    const std::map<std::string, int> begun = deployment_.timesBegun();
    Promise notRun{"not-run-is-true"};
    Promise once{"at-most-once"};
    Promise recorded{"answered-booking-ran"};
    for (const auto &[marker, told] : told_) {
        const auto found = begun.find(marker);
        const int times = found == begun.end() ? 0 : found->second;
        const std::string seen =
            fmt::format("{}: begun {} times; told not-run {}, answered {}, other {}", marker, times, told.notRun, told.answered, told.other - told.answered);
        if (told.notRun > 0 && told.other == 0) {
            notRun.check(times == 0, seen);
        }
        if (told.isBooking) {
            once.check(times <= 1, seen);
        }
        if (told.isBooking && told.answered > 0) {
            recorded.check(times == 1, seen);
        }
    }
    return {ownAnswer_, verdictGiven_, notRun, once, recorded};
}

} // namespace magnolia::path
