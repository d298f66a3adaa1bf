#ifndef MAGNOLIA_PATH_LOADCHECK_H
#define MAGNOLIA_PATH_LOADCHECK_H

#include "mixedload.h"

namespace magnolia::path
{

/** Ends the load, prints what its callers met, and fails the test for each promise that was broken. */
void requirePromisesKept(MixedLoad &load);

} // namespace magnolia::path

#endif
