#include "policy/endpointhealth.h"

namespace magnolia::policy
{

EndpointHealth::EndpointHealth(const Options &options) : options_(options), backoff_(options.probe) {}

void EndpointHealth::failed(MonoTime now, Random &random)
{
    ++failures_;
    if (failures_ == options_.failuresToSuspect) {
        nextProbe_ = now + backoff_.next(random);
    }
}

void EndpointHealth::succeeded()
{
    failures_ = 0;
    backoff_.reset();
}

bool EndpointHealth::isSuspect() const
{
    return failures_ >= options_.failuresToSuspect;
}

bool EndpointHealth::tryProbe(MonoTime now, Random &random)
{
    if (!isSuspect() || now < nextProbe_) {
        return false;
    }
    nextProbe_ = now + backoff_.next(random);
    return true;
}

} // namespace magnolia::policy
