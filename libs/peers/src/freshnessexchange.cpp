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

// Peers that gave no proof within this many rounds are down or have no answer from the store either; others are asked instead.
constexpr int MaxRoundsWithoutHelp = 2;

std::uint64_t toWireTime(BootTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

BootTime fromWireTime(std::uint64_t number)
{
    return BootTime(BootClock::duration(static_cast<BootClock::rep>(number)));
}

} // namespace

FreshnessExchange::FreshnessExchange(event_base *loop, Options options, std::vector<FollowedDocument> documents)
    : loop_(loop), options_(std::move(options)), documents_(std::move(documents)), random_(seededRandom()), timer_(loop, [this] { askPeers(); })
{
}

Result<std::unique_ptr<FreshnessExchange>> FreshnessExchange::start(event_base *loop, Options options, std::vector<FollowedDocument> documents)
{
    std::unique_ptr<FreshnessExchange> exchange(new FreshnessExchange(loop, std::move(options), std::move(documents)));
    if (const auto listening = exchange->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    exchange->timer_.start(exchange->options_.storeSilenceLimit);
    return exchange;
}

Result<void> FreshnessExchange::listen()
{
    auto listener =
        wire::LinkListener::listen(loop_, options_.listenAddress, options_.links, [this](std::unique_ptr<wire::Link> link) { return onLink(std::move(link)); });
    if (!listener) {
        return tl::unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    return {};
}

wire::Link::Callbacks FreshnessExchange::onLink(std::unique_ptr<wire::Link> link)
{
    const std::uint64_t number = ++lastLink_;
    wire::Link *taken = link.get();
    askingLinks_.emplace(number, std::move(link));
    return {.onReady = {},
            .onMessage =
                [this, taken](wire::Message &&message) {
                    if (const auto *question = std::get_if<wire::ProofQuestion>(&message)) {
                        answer(*taken, *question);
                    }
                },
            .onClosed = [this, number](const Failure &) { askingLinks_.erase(number); }};
}

void FreshnessExchange::answer(wire::Link &link, const wire::ProofQuestion &question) const
{
    if (question.subject >= documents_.size()) {
        return; // A peer of a newer version may subscribe to more documents.
    }
    const DocumentState known = documents_[question.subject].current();
    wire::ProofAnswer answer;
    answer.subject = question.subject;
    answer.askedAt = question.askedAt;
    answer.version = known.version;
    // Rounded up, so that a proof never looks younger than it is.
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
    askedPeers_.clear();
    roundsWithoutHelp_ = 0;
    if (std::exchange(isHelpedByPeers_, false)) {
        log()->info("Store answers again, peers are no longer asked");
    }
}

void FreshnessExchange::askPeers()
{
    timer_.start(options_.askInterval);
    if (++roundsWithoutHelp_ > MaxRoundsWithoutHelp) {
        roundsWithoutHelp_ = 1;
        askedPeers_.clear();
    }
    std::shuffle(peers_.begin(), peers_.end(), random_);
    for (const std::string &peer : peers_) {
        const bool hasRoom = askedPeers_.size() < options_.maxAskedPeers;
        if (hasRoom && !askedPeers_.contains(peer)) {
            dialPeer(peer);
        }
    }
    for (const auto &[address, dialer] : askedPeers_) {
        sendQuestions(*dialer); // Links that are still connecting send their questions in onUp.
    }
}

/** Asks for later documents first: they restrict what is done by earlier ones, which must not take effect alone at the start. */
void FreshnessExchange::sendQuestions(wire::LinkDialer &dialer) const
{
    for (std::size_t subject = documents_.size(); subject-- > 0;) {
        dialer.send(wire::ProofQuestion{
            .subject = static_cast<std::uint8_t>(subject), .version = documents_[subject].current().version, .askedAt = toWireTime(BootClock::now())});
    }
}

void FreshnessExchange::dialPeer(const std::string &address)
{
    wire::LinkDialer::Callbacks callbacks;
    callbacks.onUp = [this, address](const wire::PeerInfo &) { sendQuestions(*askedPeers_.at(address)); };
    callbacks.onMessage = [this](wire::Message &&message) {
        if (const auto *answer = std::get_if<wire::ProofAnswer>(&message)) {
            onAnswer(*answer);
        }
    };
    callbacks.onDown = [](const Failure &) {};
    callbacks.onPeerLost = [address](const Failure &failure) { log()->info("Peer is unreachable address={} cause={}", address, failure.detail); };
    askedPeers_.emplace(address, wire::LinkDialer::dial(loop_, address, options_.links, std::move(callbacks)));
}

void FreshnessExchange::onAnswer(const wire::ProofAnswer &answer)
{
    if (answer.version == 0 || answer.subject >= documents_.size()) {
        return;
    }
    const FollowedDocument &document = documents_[answer.subject];
    const std::uint64_t ownVersion = document.current().version;
    if (answer.version > ownVersion) {
        log()->info("Peer has a newer version document={} version={} own={}", document.name, answer.version, ownVersion);
        document.onNewer(answer.document);
    }
    // The proof is void if the newer version could not be applied, as it may be the one that revokes a key.
    if (document.current().version < answer.version) {
        return;
    }
    const BootTime asOf = fromWireTime(answer.askedAt) - answer.age;
    if (!std::exchange(isHelpedByPeers_, true)) {
        log()->info("Using proofs of freshness from peers document={} version={} age_ms={}", document.name, answer.version, answer.age.count());
    }
    roundsWithoutHelp_ = 0;
    document.onProved(asOf);
}

} // namespace magnolia::peers
