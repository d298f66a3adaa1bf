#ifndef MAGNOLIA_HTTP_ERRORBODY_H
#define MAGNOLIA_HTTP_ERRORBODY_H

#include "base/failure.h"

#include <string>
#include <string_view>

namespace magnolia::http
{

/** @return the JSON body of an error answer; docs/INTERFACES.md has its form. @param requestId left out if empty. */
std::string errorBody(const Failure &failure, std::string_view requestId = {});

} // namespace magnolia::http

#endif
