#include "peers/freshnessexchange.h"

#include "observe/log.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace magnolia::peers
{

namespace
{

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("peers");
    return instance;
}

// Peers that have not helped by then are turned away too, or gone: others are asked.
constexpr int MostRoundsWithoutHelp = 2;

std::uint64_t numberOf(BootTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

BootTime timeOf(std::uint64_t number)
{
    return BootTime(BootClock::duration(static_cast<BootClock::rep>(number)));
}

} // namespace

FreshnessExchange::FreshnessExchange(event_base *loop, Options options, std::vector<FollowedDocument> followed)
    : loop_(loop), options_(std::move(options)), followed_(std::move(followed)), random_(seededRandom()), timer_(loop, [this] { ask(); })
{
}

Result<std::unique_ptr<FreshnessExchange>> FreshnessExchange::start(event_base *loop, Options options, std::vector<FollowedDocument> followed)
{
    std::unique_ptr<FreshnessExchange> exchange(new FreshnessExchange(loop, std::move(options), std::move(followed)));
    if (const auto listening = exchange->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    exchange->timer_.start(exchange->options_.storeSilenceLimit);
    return exchange;
}

Result<void> FreshnessExchange::listen()
{
    auto listener = wire::LinkListener::listen(
        loop_, options_.listenAddress, options_.links, [this](std::unique_ptr<wire::Link> link) { return takeLink(std::move(link)); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    return {};
}

wire::Link::Callbacks FreshnessExchange::takeLink(std::unique_ptr<wire::Link> link)
{
    const std::uint64_t number = ++lastLink_;
    wire::Link *taken = link.get();
    asking_.emplace(number, std::move(link));
    return {.onReady = {},
            .onMessage =
                [this, taken](wire::Message &&message) {
                    if (const auto *question = std::get_if<wire::ProofQuestion>(&message)) {
                        answer(*taken, *question);
                    }
                },
            .onClosed = [this, number](const Failure &) { asking_.erase(number); }};
}

void FreshnessExchange::answer(wire::Link &link, const wire::ProofQuestion &question) const
{
    if (question.subject >= followed_.size()) {
        return; // A peer of a newer version follows more.
    }
    const DocumentState known = followed_[question.subject].current();
    wire::ProofAnswer answer;
    answer.subject = question.subject;
    answer.askedAt = question.askedAt;
    answer.version = known.version;
    // Rounded up: a proof is never told to be younger than it is.
    answer.age = std::chrono::ceil<Duration>(BootClock::now() - known.provedAt);
    if (known.version > question.version) {
        answer.document = known.document;
    }
    link.send(answer);
}

void FreshnessExchange::setPeers(std::vector<std::string> addresses)
{
    peers_ = std::move(addresses);
}

void FreshnessExchange::onStoreAnswered()
{
    timer_.start(options_.storeSilenceLimit);
    asked_.clear();
    roundsWithoutHelp_ = 0;
    if (std::exchange(isHelped_, false)) {
        log()->info("Peers are not needed any more");
    }
}

void FreshnessExchange::ask()
{
    timer_.start(options_.askInterval);
    if (++roundsWithoutHelp_ > MostRoundsWithoutHelp) {
        roundsWithoutHelp_ = 1;
        asked_.clear();
    }
    std::shuffle(peers_.begin(), peers_.end(), random_);
    for (const std::string &peer : peers_) {
        const bool isRoomLeft = asked_.size() < options_.maxAskedPeers;
        if (isRoomLeft && !asked_.contains(peer)) {
            askPeer(peer);
        }
    }
    for (const auto &[address, dialer] : asked_) {
        askOver(*dialer); // One that is not up yet is asked as soon as it is.
    }
}

void FreshnessExchange::askOver(wire::LinkDialer &dialer) const
{
    for (std::size_t subject = 0; subject < followed_.size(); ++subject) {
        dialer.send(wire::ProofQuestion{
            .subject = static_cast<std::uint8_t>(subject), .version = followed_[subject].current().version, .askedAt = numberOf(BootClock::now())});
    }
}

void FreshnessExchange::askPeer(const std::string &address)
{
    wire::LinkDialer::Callbacks callbacks;
    callbacks.onUp = [this, address](const wire::PeerInfo &) { askOver(*asked_.at(address)); };
    callbacks.onMessage = [this](wire::Message &&message) {
        if (const auto *answer = std::get_if<wire::ProofAnswer>(&message)) {
            takeAnswer(*answer);
        }
    };
    callbacks.onDown = [](const Failure &) {};
    callbacks.onPeerLost = [address](const Failure &failure) { log()->info("Peer does not answer address={} cause={}", address, failure.detail); };
    asked_.emplace(address, wire::LinkDialer::dial(loop_, address, options_.links, std::move(callbacks)));
}

void FreshnessExchange::takeAnswer(const wire::ProofAnswer &answer)
{
    if (answer.version == 0 || answer.subject >= followed_.size()) {
        return;
    }
    const FollowedDocument &followed = followed_[answer.subject];
    const std::uint64_t own = followed.current().version;
    if (answer.version > own) {
        log()->info("A peer has a newer version document={} version={} own={}", followed.name, answer.version, own);
        followed.onNewer(answer.document);
    }
    // A version that is not known here proves nothing: it may be the one that took something away.
    if (followed.current().version < answer.version) {
        return;
    }
    const BootTime asOf = timeOf(answer.askedAt) - answer.age;
    if (!std::exchange(isHelped_, true)) {
        log()->info("A peer proves what the store does not document={} version={} age_ms={}", followed.name, answer.version, answer.age.count());
    }
    roundsWithoutHelp_ = 0;
    followed.onProved(asOf);
}

} // namespace magnolia::peers
