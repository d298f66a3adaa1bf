#include "entry/stopsequence.h"

namespace magnolia::entry
{

void StopSequence::begin(MonoTime now)
{
    if (!begun_) {
        begun_ = now;
    }
}

StopSequence::Phase StopSequence::phase(MonoTime now) const
{
    if (!begun_) {
        return Phase::Serving;
    }
    return now - *begun_ < lag_ ? Phase::Lagging : Phase::Refusing;
}

bool StopSequence::mayEnd(MonoTime now, std::size_t inProgress) const
{
    return phase(now) == Phase::Refusing && inProgress == 0;
}

} // namespace magnolia::entry
