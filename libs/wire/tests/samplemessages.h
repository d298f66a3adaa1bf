#ifndef MAGNOLIA_WIRE_SAMPLEMESSAGES_H
#define MAGNOLIA_WIRE_SAMPLEMESSAGES_H

#include "wire/messages.h"

#include <vector>

namespace magnolia::wire
{

/** One message of each type with each field set, and one of each with every field at its default. */
std::vector<Message> sampleMessages();

Dispatch sampleDispatch();
Chunk sampleChunk();
LoadReport sampleLoadReport();

} // namespace magnolia::wire

#endif
