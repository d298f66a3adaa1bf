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

/** What this process knows of a document that it and its peers follow. */
struct DocumentState {
    std::uint64_t version = 0; ///< 0: none.
    BootTime provedAt; ///< As of when that version was the newest.
    std::string_view document; ///< Valid until the next call to its owner.
};

/**
 * Passes proofs between peers that the documents which they follow are the newest, so that one which the store turns away
 * goes on.
 *
 * A process must not trust what it knows for longer than a bound after it last knew that it was the newest. One that still
 * hears from the store proves that for those that don't: it tells the age of its own proof, and passes on a newer version.
 * The age counts from the moment at which the question was put, by the asking process's own clock that counts suspension:
 * the answer was made after that, so no delay, freeze or difference between clocks makes a proof look younger than it is.
 * Links to peers are dialled only while the own proof is old, and dropped when the store answers again: while all is well
 * the exchange costs nothing. Lives on one event loop.
 *
 * @code
 * auto exchange = ProofExchange::start(loop, options, {{.name = "routes", .known = ..., .newer = ..., .proved = ...}});
 * (*exchange)->setPeers({"10.0.0.5:7341"});
 * (*exchange)->storeAnswered(); // with each answer of the store
 * @endcode
 */
class FreshnessExchange
{
public:
    struct Options {
        std::string listenAddress{}; ///< "IP:PORT"
        wire::LinkOptions links{};
        Duration storeSilenceLimit{2000}; ///< Without an answer of the store: longer than a question to it waits.
        Duration askInterval{700};
        std::size_t maxAskedPeers = 3; ///< Peers at a time: some of them may be turned away too.
    };

    /** One of the documents that are followed. */
    struct FollowedDocument {
        std::string name{}; ///< For logs.
        std::function<DocumentState()> current;
        std::function<void(std::string_view document)> onNewer; ///< A peer has a newer version.
        std::function<void(BootTime asOf)> onProved; ///< What is known was the newest as of then.
    };

    /** @param followed the documents, in the order that all peers have them in. @return Unavailable if the address can't be listened on. */
    static Result<std::unique_ptr<FreshnessExchange>> start(event_base *loop, Options options, std::vector<FollowedDocument> followed);

    FreshnessExchange(const FreshnessExchange &) = delete;
    FreshnessExchange &operator=(const FreshnessExchange &) = delete;

    void setPeers(std::vector<std::string> addresses);

    /** The store has just proved the first of the documents: peers are not needed for a while. */
    void onStoreAnswered();

    std::string address() const
    {
        return listener_->address();
    }

private:
    FreshnessExchange(event_base *loop, Options options, std::vector<FollowedDocument> followed);

    Result<void> listen();
    wire::Link::Callbacks takeLink(std::unique_ptr<wire::Link> link);
    void answer(wire::Link &link, const wire::ProofQuestion &question) const;
    void ask();
    void askOver(wire::LinkDialer &dialer) const;
    void askPeer(const std::string &address);
    void takeAnswer(const wire::ProofAnswer &answer);

    event_base *loop_;
    Options options_;
    std::vector<FollowedDocument> followed_;
    Random random_;
    http::Timer timer_;
    std::unique_ptr<wire::LinkListener> listener_;
    std::map<std::uint64_t, std::unique_ptr<wire::Link>> asking_; ///< Links of peers that ask this process.
    std::uint64_t lastLink_ = 0;
    std::vector<std::string> peers_;
    std::map<std::string, std::unique_ptr<wire::LinkDialer>> asked_; ///< By address.
    bool isHelped_ = false; ///< Peers have proved what the store does not.
    int roundsWithoutHelp_ = 0; ///< Of questions, in a row.
};

} // namespace magnolia::peers

#endif
