#ifndef MAGNOLIA_CTL_DAEMONS_H
#define MAGNOLIA_CTL_DAEMONS_H

#include "base/failure.h"
#include "ctl/waitprogress.h"
#include "http/httpclient.h"
#include "settings/sections.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace magnolia::ctl
{

/**
 * The daemons' operators' addresses.
 *
 * Each call runs the loop until all daemons have answered or run out of time. One thread.
 */
class Daemons
{
public:
    Daemons(event_base *loop, settings::DaemonsSettings settings);
    ~Daemons();

    /** Adds an address that the settings do not name; a second copy is ignored. */
    void add(const std::string &address);

    /** Asks all of them at once, in the order of their addresses. */
    std::vector<DaemonReport> reports();

    /** Asks one daemon to stop as planned. */
    Result<void> drain(const std::string &address);

    /** @return the first answer that a daemon gives to POST /explain; NotFound if none of them is an entry. */
    Result<std::string> explain(const std::string &question);

private:
    struct Daemon;
    event_base *loop_;
    settings::DaemonsSettings settings_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

/** Reads a daemon's answer to GET /status; what is absent or of another type stays empty. */
DaemonReport readReport(const std::string &address, std::string_view body);

} // namespace magnolia::ctl

#endif
