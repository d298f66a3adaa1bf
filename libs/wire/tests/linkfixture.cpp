#include "linkfixture.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace magnolia::wire
{

namespace
{

constexpr auto Patience = std::chrono::seconds(10);

} // namespace

LinkFixture::LinkFixture() : loop(event_base_new()) {}

LinkOptions LinkFixture::optionsOf(Role role, const std::string &instance)
{
    return {
        .self = {.role = role, .instance = instance, .dataCentre = "north", .endpoint = role == Role::Agent ? "engine-1" : "", .incarnation = 5},
        .keys = {{.id = "2026-12", .secret = "for tests only"}},
    };
}

bool LinkFixture::runUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + Patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        const timeval most{.tv_sec = 0, .tv_usec = 20'000};
        event_base_loopexit(loop.get(), &most);
        event_base_loop(loop.get(), EVLOOP_ONCE);
    }
    return true;
}

void LinkFixture::listen(const LinkOptions &options)
{
    const auto onLink = [this](std::unique_ptr<Link> link) {
        listenerLog.ups.push_back(link->peer());
        accepted.push_back(std::move(link));
        return logTo(listenerLog);
    };
    const auto onRefused = [this](const Failure &failure) { refusals.push_back(failure); };
    auto result = LinkListener::listen(loop.get(), "127.0.0.1:0", options, onLink, onRefused);
    BOOST_REQUIRE(result.has_value());
    listener = std::move(*result);
}

std::unique_ptr<Link> LinkFixture::connect(const LinkOptions &options)
{
    return connectLink(loop.get(), listener->address(), options, logTo(dialerLog));
}

std::unique_ptr<LinkDialer> LinkFixture::dial(const std::string &address, const LinkOptions &options)
{
    Link::Callbacks log = logTo(dialerLog);
    LinkDialer::Callbacks callbacks{
        .onUp = log.onReady,
        .onMessage = log.onMessage,
        .onDown = log.onClosed,
        .onPeerLost = [this](const Failure &failure) { dialerLog.losses.push_back(failure); },
    };
    return LinkDialer::dial(loop.get(), address, options, std::move(callbacks));
}

Link::Callbacks LinkFixture::logTo(EndLog &log)
{
    return {
        .onReady = [&log](const PeerInfo &peer) { log.ups.push_back(peer); },
        .onMessage = [&log](Message &&message) { log.messages.push_back(std::move(message)); },
        .onClosed = [&log](const Failure &failure) { log.closes.push_back(failure); },
    };
}

} // namespace magnolia::wire
