#ifndef MAGNOLIA_CTL_COMMANDS_H
#define MAGNOLIA_CTL_COMMANDS_H

#include "ctl/commandline.h"
#include "ctl/daemons.h"
#include "ctl/output.h"
#include "manifest/manifest.h"

#include <tl/expected.hpp>

#include <string>

/** The commands that need no platform. Each prints its result and returns how magnoliactl shall end. */
namespace magnolia::ctl
{

/** Reads and checks a manifest file; prints what is wrong. */
tl::expected<manifest::Manifest, ExitCode> readManifestFile(const std::string &file, Output &output);

ExitCode validate(const CommandLine &line, Output &output);
ExitCode diffFiles(const CommandLine &line, Output &output);
ExitCode status(Daemons &daemons, Output &output);
ExitCode drain(const CommandLine &line, Daemons &daemons, Output &output);
ExitCode explain(const CommandLine &line, Daemons &daemons, Output &output);

} // namespace magnolia::ctl

#endif
