#ifndef MAGNOLIA_PATH_FAULTTHROWER_H
#define MAGNOLIA_PATH_FAULTTHROWER_H

#include "deployment.h"
#include "faultplan.h"

#include <map>

namespace magnolia::path
{

/** Makes the failures of a plan happen to a deployment, and lifts them. */
class FaultThrower
{
public:
    explicit FaultThrower(Deployment &deployment) : deployment_(deployment) {}

    void begin(const Fault &fault);

    /** Starts again what is down, thaws what is frozen; what is silent for good stays so. */
    void lift(const Fault &fault);

private:
    Member &memberOf(const Fault &fault);
    void startAgain(FaultKind kind, Member &member);

    Deployment &deployment_;
    std::map<FaultKind, const Process *> hit_; ///< The process that each failure befell.
};

} // namespace magnolia::path

#endif
