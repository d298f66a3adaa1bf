#ifndef MAGNOLIA_FORWARD_REQUESTBODY_H
#define MAGNOLIA_FORWARD_REQUESTBODY_H

#include "bodybudget.h"

#include <memory>
#include <string>

namespace magnolia::forward
{

/** The body of a caller's request, with the memory that is reserved for it. Shared by all that still have to send it. */
struct RequestBody {
    std::string bytes;
    std::unique_ptr<BodyBudget::Share> share; ///< Null for a small body.
};

} // namespace magnolia::forward

#endif
