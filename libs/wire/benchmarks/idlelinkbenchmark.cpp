// Prints what links cost that carry nothing but heartbeats and load reports: bytes, TCP segments and processor time for
// each link and second, over real loopback sockets. Segments are the kernel's own count (TCP_INFO).
#include "samplemessages.h"
#include "wire/link.h"
#include "wire/loadedlist.h"

#include <event2/event.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace magnolia;
using namespace magnolia::wire;
using std::chrono::steady_clock;

constexpr int LinkCount = 200;
constexpr int MostLinks = 420;
constexpr int TargetLinks = 130; // of one entry
constexpr auto Measured = std::chrono::seconds(6);
constexpr auto MeasuredPaced = std::chrono::seconds(20);
constexpr int HighestSocket = 2 * MostLinks + 100;
constexpr double HeaderBytes = 52; // IPv4 and TCP with time stamps, for each segment

struct Traffic {
    double segments = 0; // data and bare acknowledgements, sent by either end
    double bytes = 0; // TCP payload
};

/** Sums over all TCP connections of this process; both ends of each link are in it. */
Traffic sentSoFar()
{
    Traffic sum;
    for (int socket = 3; socket < HighestSocket; ++socket) {
        tcp_info info{};
        socklen_t size = sizeof info;
        if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == 1) { // established
            sum.segments += info.tcpi_segs_out;
            sum.bytes += static_cast<double>(info.tcpi_bytes_acked);
        }
    }
    return sum;
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class IdleLinks
{
public:
    /** @param pacing of the dialling ends, which are as one entry's; the accepting ends are as those of many agents. */
    explicit IdleLinks(Duration heartbeatInterval, int count = LinkCount, std::shared_ptr<LinkPacing> pacing = {}) : loop_(event_base_new())
    {
        LinkOptions options;
        options.self = {.role = Role::Agent, .instance = "agent-a", .dataCentre = "north", .endpoint = "engine-1", .incarnation = 1};
        options.keys = {{.id = "2026-12", .secret = "for measuring only"}};
        options.heartbeatInterval = heartbeatInterval;
        options.silenceTimeout = heartbeatInterval * 4;
        listener_ = *LinkListener::listen(loop_.get(), "127.0.0.1:0", options, [this](std::unique_ptr<Link> link) {
            accepted_.push_back(std::move(link));
            return Link::Callbacks{};
        });
        options.pacing = std::move(pacing);
        for (int i = 0; i < count; ++i) {
            dialled_.push_back(connectLink(loop_.get(), listener_->address(), options, {}));
        }
        while (accepted_.size() < static_cast<std::size_t>(count)) {
            event_base_loop(loop_.get(), EVLOOP_ONCE);
        }
        runFor(heartbeatInterval * 2);
    }

    /** Each accepted link, which is an agent's, sends a report in each second, spread over it. */
    void runReporting(std::chrono::milliseconds time)
    {
        const auto start = steady_clock::now();
        const Message report = sampleLoadReport();
        std::size_t sent = 0;
        while (steady_clock::now() - start < time) {
            const std::chrono::duration<double> spent = steady_clock::now() - start;
            const auto due = static_cast<std::size_t>(spent.count() * static_cast<double>(accepted_.size()));
            for (; sent < due; ++sent) {
                accepted_[sent % accepted_.size()]->send(report);
            }
            runFor(std::chrono::milliseconds(5));
        }
    }

    /** Each accepted link reports as an agent does: as its schedule says, without the list that has not changed. */
    void runPaced(std::chrono::milliseconds time)
    {
        constexpr Duration ReportInterval{1000};
        constexpr double MeanShare = 0.85; // agent::ReportSchedule sends a little before a heartbeat is due
        std::vector<LoadedList> lists(accepted_.size());
        std::vector<MonoTime> due(accepted_.size());
        const LoadReport whole = sampleLoadReport();
        const MonoTime start = MonoClock::now();
        for (std::size_t i = 0; i < accepted_.size(); ++i) {
            lists[i].noteSent(whole.loaded);
            // Spread over the link's own interval: were all sent at once first, a short run would count them once too often.
            const Duration interval = std::max(ReportInterval, accepted_[i]->heartbeatInterval());
            due[i] = start + interval * static_cast<int>(i) / static_cast<int>(accepted_.size());
        }
        while (MonoClock::now() - start < time) {
            const MonoTime now = MonoClock::now();
            for (std::size_t i = 0; i < accepted_.size(); ++i) {
                if (now >= due[i]) {
                    accepted_[i]->send(lists[i].abridge(whole));
                    const double mean = static_cast<double>(std::max(ReportInterval, accepted_[i]->heartbeatInterval()).count()) * MeanShare;
                    due[i] = now + Duration(static_cast<int>(mean));
                }
            }
            runFor(std::chrono::milliseconds(5));
        }
    }

    std::size_t linksReady() const
    {
        return static_cast<std::size_t>(std::count_if(dialled_.begin(), dialled_.end(), [](const auto &link) { return link->isReady(); }));
    }

    void runFor(std::chrono::milliseconds time)
    {
        const timeval wait{.tv_sec = time.count() / 1000, .tv_usec = time.count() % 1000 * 1000};
        event_base_loopexit(loop_.get(), &wait);
        event_base_dispatch(loop_.get());
    }

private:
    struct LoopDeleter {
        void operator()(event_base *loop) const
        {
            event_base_free(loop);
        }
    };

    std::unique_ptr<event_base, LoopDeleter> loop_;
    std::unique_ptr<LinkListener> listener_;
    std::vector<std::unique_ptr<Link>> accepted_;
    std::vector<std::unique_ptr<Link>> dialled_;
};

void measure(const std::string &name, Duration heartbeatInterval, bool reporting)
{
    IdleLinks links(heartbeatInterval);
    const Traffic before = sentSoFar();
    const double processorBefore = processorSeconds();
    if (reporting) {
        links.runReporting(Measured);
    } else {
        links.runFor(Measured);
    }
    const double processor = processorSeconds() - processorBefore;
    const Traffic after = sentSoFar();
    const double linkSeconds = LinkCount * std::chrono::duration<double>(Measured).count();
    const double segments = (after.segments - before.segments) / linkSeconds;
    const double bytes = (after.bytes - before.bytes) / linkSeconds;
    // Both directions of a link, as its one end sees them sent and received.
    std::printf("RESULT wire_%s_payload %.1f bytes/link/s\n", name.c_str(), bytes);
    std::printf("RESULT wire_%s_segments %.2f segments/link/s\n", name.c_str(), segments);
    std::printf("RESULT wire_%s_ip %.0f bytes/link/s\n", name.c_str(), bytes + segments * HeaderBytes);
    // Both ends run here; one end's part is about half.
    std::printf("RESULT wire_%s_processor %.1f us/link/s\n", name.c_str(), processor / 2 / linkSeconds * 1e6);
}

/** What one entry's links cost all together, with its agents reporting; the budget is 25 KB/s. */
void measurePaced(int count, bool isPaced)
{
    // Without pacing as it was: a whole report each second, and heartbeats each 500 ms.
    IdleLinks links(Duration(500), count, isPaced ? std::make_shared<LinkPacing>(LinkPacing::Options{}) : nullptr);
    links.runFor(std::chrono::seconds(2)); // all have told their pace
    const Traffic before = sentSoFar();
    const double processorBefore = processorSeconds();
    if (isPaced) {
        links.runPaced(MeasuredPaced);
    } else {
        links.runReporting(MeasuredPaced);
    }
    const double seconds = std::chrono::duration<double>(MeasuredPaced).count();
    const double processor = (processorSeconds() - processorBefore) / 2 / seconds;
    const Traffic after = sentSoFar();
    const double bytes = (after.bytes - before.bytes + (after.segments - before.segments) * HeaderBytes) / seconds;
    const char *name = isPaced ? "paced" : "unpaced";
    std::printf("RESULT wire_%s_%d_links_each_ip %.1f bytes/link/s\n", name, count, bytes / count);
    std::printf("RESULT wire_%s_%d_links_all_ip %.1f KB/s\n", name, count, bytes / 1000);
    std::printf("RESULT wire_%s_%d_links_processor %.3f %% of a core\n", name, count, processor * 100);
    std::printf("RESULT wire_%s_%d_links_kept %zu links\n", name, count, links.linksReady());
}

} // namespace

// Lines are shown as they come, also where the output is a file. With --quick only an entry's links at the target are measured,
// since each window has to be as long as several spacings of a paced link.
int main(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    if (argc > 1 && std::string_view(argv[1]) == "--quick") {
        measurePaced(TargetLinks, true);
        return 0;
    }
    for (const int count : {MostLinks, TargetLinks, 27}) {
        measurePaced(count, true);
        measurePaced(count, false);
    }
    measure("idle_500ms", Duration(500), false);
    measure("idle_1000ms", Duration(1000), false);
    measure("idle_2000ms", Duration(2000), false);
    measure("reports_1s_heartbeat_500ms", Duration(500), true);
    measure("reports_1s_heartbeat_1000ms", Duration(1000), true);
}
