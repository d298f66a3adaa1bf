#ifndef MAGNOLIA_SETTINGS_SECTIONS_H
#define MAGNOLIA_SETTINGS_SECTIONS_H

#include "base/clock.h"
#include "observe/log.h"
#include "observe/secret.h"

#include <cstddef>
#include <string>
#include <vector>

/** The sections that settings files are made of. docs/CONFIGURATION.md gives each key's unit, range and default. */
namespace magnolia::settings
{

/** [instance]: who this process is. */
struct InstanceSettings {
    std::string name;
    std::string dataCentre;
};

/** [callers]: the entry's side towards callers. */
struct CallersSettings {
    std::string address; ///< "IP:PORT"; port 0 picks a free one.
    std::size_t maxBodyBytes = 4U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxConnections = 4096;
    Duration defaultTimeout{60000}; ///< Deadline of a request that states none.
};

/** [operators] of a daemon: where operators and metrics scrapers reach it. */
struct OperatorsSettings {
    std::string address; ///< "IP:PORT"; port 0 picks a free one.
    observe::Secret key; ///< Bearer key for POST /drain.
};

/** One of [links] keys. */
struct LinkKeySettings {
    std::string id;
    observe::Secret secret;
};

/** [links]: the connections between our own processes. */
struct LinksSettings {
    std::string address; ///< Where an agent accepts links, "IP:PORT"; empty for an entry.
    std::vector<LinkKeySettings> keys; ///< At least one; the first proves, any is accepted.
    Duration heartbeatInterval{500};
    Duration silenceTimeout{2000};
    Duration handshakeTimeout{2000};
    double capacityMegabits = 0; ///< Of the instance's network interface, a second; 0: not known. Bulky messages leave room for urgent ones.
    std::size_t controlBytesPerSecond = 22'000; ///< Of all links together; heartbeats and load reports keep to it.
    std::size_t maxFrameBytes = 16U << 20U;
};

/** [platform]: the platform's services. */
struct PlatformSettings {
    std::string table; ///< "IP:PORT"
    std::string objects; ///< "IP:PORT"
    std::string instances; ///< "IP:PORT"
    Duration pollInterval{10000}; ///< Mean time between reads of the manifest's head and of the list.
};

/** [traces] */
struct TracesSettings {
    std::string file; ///< OTLP JSON lines go here; empty: none.
    double samplingRatio = 1; ///< Share of new traces, 0 to 1.
};

/** [stop]: how a daemon ends after SIGTERM or /drain. */
struct StopSettings {
    Duration lag{3000}; ///< Listeners stay open for so long after "not ready", for the balancer.
    Duration warnAfter{60000}; ///< Work that is still in progress after this is named in the log; it is not cut off.
};

/** [endpoint]: the engine or plain service that an agent stands beside. */
struct EndpointSettings {
    std::string name; ///< The manifest's name of it.
    std::string address; ///< "IP:PORT"
    Duration silenceTimeout{3000}; ///< A stream with nothing for so long is checked over a fresh connection.
};

/** [operators] of magnoliactl: the daemons that it asks. */
struct DaemonsSettings {
    std::vector<std::string> addresses; ///< Operators' addresses of the daemons, "IP:PORT" each.
    observe::Secret key; ///< Bearer key for POST /drain.
    Duration timeout{2000}; ///< For one call to one daemon.
};

/** [callers] and [readiness] of an entry that passes requests on: where it listens, and where the balancer asks. */
struct ListenSettings {
    std::string address; ///< "IP:PORT"
};

/** [store]: the platform's store that holds routes and the list of endpoints. */
struct StoreSettings {
    std::string address; ///< "IP:PORT"
};

/** [endpoints]: what the platform states of the list of endpoints. */
struct EndpointsSettings {
    Duration renewalInterval{1200}; ///< Between two renewals of an entry by its endpoint; entries lapse after three are missed.
};

/** [engine]: the engine that an agent stands beside, as a rank of its group. */
struct EngineSettings {
    std::string address; ///< "IP:PORT"
    std::string service; ///< The service that it belongs to.
};

/** [keys]: how long a caller's key is trusted. */
struct KeysSettings {
    Duration revocationBound{5000}; ///< Within which a key that was taken away is refused everywhere.
    bool failClosed = true; ///< Refuse keys if it can't be proved that they are still valid.
};

/** [retries]: the budget that all instances share. */
struct RetriesSettings {
    double share = 0.2; ///< Sendings beyond the first of each request, for each request of a service.
    double constant = 0; ///< Such sendings in a window besides.
    Duration window{10000};
};

/** [cold]: how far the requests that a cold endpoint gets in any one second may exceed its service's rate, from all instances together. */
struct ColdSettings {
    bool isEnabled = false; ///< The section exists.
    double overshoot = 1; ///< Times the rate.
    double slack = 0; ///< Requests in a second besides.
};

/** [quarantine]: of requests under which endpoints end. */
struct QuarantineSettings {
    std::size_t limit = 2; ///< Endpoints that have to end under a request, one after the other.
    Duration time{600000}; ///< For which it is sent to none then; twice as long after each further one.
};

/** [metrics]: where they are served. */
struct MetricsSettings {
    std::string address; ///< "IP:PORT"; empty: nowhere.
};

/** [memory]: of the process. */
struct MemorySettings {
    double limitMebibytes = 256; ///< Beyond it the process is ended; a part of it bounds the answers that are held.
};

/** [grace]: from the order to stop to the end of the process. */
struct GraceSettings {
    Duration time{8000};
};

} // namespace magnolia::settings

#endif
