#ifndef MAGNOLIA_ENTRY_TESTS_FAKEAGENT_H
#define MAGNOLIA_ENTRY_TESTS_FAKEAGENT_H

#include "wire/link.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::entry::tests
{

inline wire::LinkOptions linkOptions(wire::PeerInfo self)
{
    wire::LinkOptions options;
    options.self = std::move(self);
    options.keys = {{.id = "test", .secret = "a secret of the tests"}};
    return options;
}

/** The agent's side of the links, played by the test: it notes what comes and answers as its script says. */
class FakeAgent
{
public:
    using Script = std::function<void(FakeAgent &, wire::Link &, const wire::Message &)>;

    FakeAgent(event_base *loop, std::string endpoint, wire::Incarnation incarnation) : loop_(loop), endpoint_(std::move(endpoint))
    {
        start("127.0.0.1:0", incarnation);
        address_ = listener_->address();
    }

    /** The process dies and another one takes its address. */
    void restart(wire::Incarnation incarnation)
    {
        stop();
        start(address_, incarnation);
    }

    /** The process dies. */
    void stop()
    {
        links_.clear();
        listener_.reset();
    }

    /** The open connections break; the process lives on. */
    void cutLinks()
    {
        links_.clear();
    }

    void send(const wire::Message &message)
    {
        for (const auto &link : links_) {
            link->send(message);
        }
    }

    /** @param sameLoaded leaves the list of what is loaded out. */
    void report(bool leaving = false, bool sameLoaded = false)
    {
        wire::LoadReport report;
        report.endpoint = endpoint_;
        report.incarnation = incarnation_;
        report.limit = 8;
        report.leaving = leaving;
        report.serving = true;
        report.sameLoaded = sameLoaded;
        if (!sameLoaded) {
            report.loaded = {"guide@3", "guide/labels@5"};
        }
        send(report);
    }

    template<typename T>
    std::vector<T> received() const
    {
        std::vector<T> found;
        for (const wire::Message &message : messages_) {
            if (const T *match = std::get_if<T>(&message)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    static wire::Chunk chunk(const wire::AttemptId &id, std::uint32_t index, std::string data)
    {
        return {.id = id, .index = index, .data = std::move(data)};
    }

    static wire::Finish whole(const wire::AttemptId &id, std::uint32_t chunks)
    {
        wire::Finish finish;
        finish.id = id;
        finish.verdict = Verdict::Ran;
        finish.status = 200;
        finish.chunks = chunks;
        return finish;
    }

    static wire::Finish refusal(const wire::AttemptId &id, Verdict verdict, std::string code)
    {
        wire::Finish finish;
        finish.id = id;
        finish.verdict = verdict;
        finish.errorCode = std::move(code);
        return finish;
    }

    const std::string &address() const
    {
        return address_;
    }
    const std::string &endpoint() const
    {
        return endpoint_;
    }
    std::size_t links() const
    {
        return links_.size();
    }

    Script script;

private:
    void start(const std::string &address, wire::Incarnation incarnation)
    {
        incarnation_ = incarnation;
        const auto options = linkOptions(
            {.role = wire::Role::Agent, .instance = "agent-of-" + endpoint_, .dataCentre = "north", .endpoint = endpoint_, .incarnation = incarnation});
        listener_ = std::move(
            wire::LinkListener::listen(loop_, address, options, [this](std::unique_ptr<wire::Link> link) { return accept(std::move(link)); }).value());
    }

    wire::Link::Callbacks accept(std::unique_ptr<wire::Link> link)
    {
        wire::Link *accepted = link.get();
        links_.push_back(std::move(link));
        return {
            .onReady = {},
            .onMessage =
                [this, accepted](wire::Message &&message) {
                    messages_.push_back(message);
                    if (script) {
                        script(*this, *accepted, messages_.back());
                    }
                },
            .onClosed = [this, accepted](const Failure &) { std::erase_if(links_, [accepted](const auto &known) { return known.get() == accepted; }); },
        };
    }

    event_base *loop_;
    std::string endpoint_;
    std::string address_;
    wire::Incarnation incarnation_ = 0;
    std::unique_ptr<wire::LinkListener> listener_;
    std::vector<std::unique_ptr<wire::Link>> links_;
    std::vector<wire::Message> messages_;
};

} // namespace magnolia::entry::tests

#endif
