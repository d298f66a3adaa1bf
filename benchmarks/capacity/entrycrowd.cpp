#include "entrycrowd.h"

#include <fmt/format.h>

#include <cstdio>
#include <vector>

namespace magnolia::capacity
{

class EntryCrowd::Impl
{
public:
    Impl(event_base *loop, const Options &options)
    {
        for (std::uint32_t index = 0; index < options.count; ++index) {
            wire::LinkOptions linkOptions;
            linkOptions.self.role = wire::Role::Entry;
            linkOptions.self.instance = fmt::format("crowd-entry-{}", index);
            linkOptions.self.dataCentre = "north";
            linkOptions.keys = {options.key};
            const wire::LinkDialer::Callbacks callbacks = {
                .onUp = [this](const wire::PeerInfo & /*peer*/) { countUp(); },
                .onMessage = [](wire::Message && /*message*/) {},
                .onDown = [](const Failure & /*failure*/) {},
                .onPeerLost = [](const Failure & /*failure*/) {},
            };
            dialers_.push_back(wire::LinkDialer::dial(loop, options.agent, linkOptions, callbacks));
        }
    }

private:
    void countUp()
    {
        if (++up_ == dialers_.size()) {
            std::printf("ready\n");
            std::fflush(stdout);
        }
    }

    std::vector<std::unique_ptr<wire::LinkDialer>> dialers_;
    std::size_t up_ = 0;
};

EntryCrowd::EntryCrowd(event_base *loop, const Options &options) : impl_(std::make_unique<Impl>(loop, options)) {}

EntryCrowd::~EntryCrowd() = default;

} // namespace magnolia::capacity
