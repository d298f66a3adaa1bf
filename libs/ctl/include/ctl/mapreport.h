#ifndef MAGNOLIA_CTL_MAPREPORT_H
#define MAGNOLIA_CTL_MAPREPORT_H

#include "base/failure.h"
#include "manifest/manifest.h"

#include <optional>
#include <string>

namespace magnolia::ctl
{

/**
 * Tells a group's expert map: which ranks hold a replica of which expert, and the step-time skew predicted for it if all
 * experts are equally popular and all ranks equally fast (popularity is known to the agents only).
 *
 * @param row the table's row map/GROUP; nothing if none was recorded: then the map is the one that ranks start from
 * @return a JSON document
 */
Result<std::string> mapReport(const manifest::Group &group, const std::optional<std::string> &row);

} // namespace magnolia::ctl

#endif
