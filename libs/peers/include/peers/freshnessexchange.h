#ifndef MAGNOLIA_PEERS_FRESHNESSEXCHANGE_H
#define MAGNOLIA_PEERS_FRESHNESSEXCHANGE_H

#include "base/clock.h"
#include "base/failure.h"
#include "base/random.h"
#include "http/timer.h"
#include "wire/link.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace magnolia::peers
{

/** This process's version of a document to which it and its peers subscribe. */
struct DocumentState {
    std::uint64_t version = 0; ///< 0: none.
    BootTime provedAt; ///< When that version was last proven to be the newest.
    std::string_view document; ///< Valid until the next call to the owner of the document.
};

/**
 * Exchanges proofs of freshness of documents between peers, so that a process that the store does not answer can go on serving.
 *
 * A process may trust its version of a document only for a bounded time after the last proof that it was the newest. A peer that the store still
 * answers sends the age of its own proof and any newer version to the others. The asking process subtracts this age from the time of its question, by
 * its own clock, which includes suspension. As the answer was made after the question, no delay, suspension or clock difference makes a proof look
 * younger than it is. Links to peers are dialled only when the own proof is old, and closed when the store answers again, so that there is no cost in
 * normal operation. Lives on one event loop.
 *
 * @code
 * auto exchange = FreshnessExchange::start(loop, options, {{.name = "routes", .current = ..., .onNewer = ..., .onProved = ...}});
 * (*exchange)->setPeers({"10.0.0.5:7341"});
 * (*exchange)->onStoreAnswered(); // on each answer of the store
 * @endcode
 */
class FreshnessExchange
{
public:
    struct Options {
        std::string listenAddress{}; ///< "IP:PORT"
        wire::LinkOptions links{};
        Duration storeSilenceLimit{2000}; ///< Peers are asked after this time without an answer of the store; longer than the timeout of a request to it.
        Duration askInterval{700};
        std::size_t maxAskedPeers = 3; ///< Asked at a time; several, since the store may not answer some of them either.
    };

    /** One of the documents to which the process subscribes. */
    struct FollowedDocument {
        std::string name{}; ///< For log lines.
        std::function<DocumentState()> current;
        std::function<void(std::string_view document)> onNewer; ///< Called with a peer's newer version.
        std::function<void(BootTime asOf)> onProved; ///< Called when the current version is proven to have been the newest at that time.
    };

    /**
     * @param documents in an order that is the same for all peers; they are asked for in reverse.
     * @return Unavailable if the process cannot listen on the address.
     */
    static Result<std::unique_ptr<FreshnessExchange>> start(event_base *loop, Options options, std::vector<FollowedDocument> documents);

    FreshnessExchange(const FreshnessExchange &) = delete;
    FreshnessExchange &operator=(const FreshnessExchange &) = delete;

    void setPeers(std::vector<std::string> addresses);

    /** The store has just proven the first document to be the newest. Stops asking peers until the store is silent again. */
    void onStoreAnswered();

    std::string address() const
    {
        return listener_->address();
    }

private:
    FreshnessExchange(event_base *loop, Options options, std::vector<FollowedDocument> documents);

    Result<void> listen();
    wire::Link::Callbacks onLink(std::unique_ptr<wire::Link> link);
    void answer(wire::Link &link, const wire::ProofQuestion &question) const;
    void askPeers();
    void sendQuestions(wire::LinkDialer &dialer) const;
    void dialPeer(const std::string &address);
    void onAnswer(const wire::ProofAnswer &answer);

    event_base *loop_;
    Options options_;
    std::vector<FollowedDocument> documents_;
    Random random_;
    http::Timer timer_;
    std::unique_ptr<wire::LinkListener> listener_;
    std::map<std::uint64_t, std::unique_ptr<wire::Link>> askingLinks_; ///< Links accepted from peers that ask this process.
    std::uint64_t lastLink_ = 0;
    std::vector<std::string> peers_;
    std::map<std::string, std::unique_ptr<wire::LinkDialer>> askedPeers_; ///< Peers that this process asks; key: address.
    bool isHelpedByPeers_ = false; ///< A peer has given a proof since the store's last answer.
    int roundsWithoutHelp_ = 0; ///< Consecutive rounds of questions without a proof.
};

} // namespace magnolia::peers

#endif
