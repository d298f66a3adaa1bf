// Prints what it costs to encode and decode the messages that are sent most, and their bytes on the wire.
#include "samplemessages.h"
#include "wire/codec.h"

#include <chrono>
#include <cstdio>

namespace
{

using namespace magnolia::wire;

constexpr int Rounds = 20'000;
constexpr int Repeats = 5;

void measure(const char *name, const Message &message)
{
    using Clock = std::chrono::steady_clock;
    std::size_t bytes = 0;
    double best = 0;
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        const auto start = Clock::now();
        for (int i = 0; i < Rounds; ++i) {
            const auto frame = encode(message);
            bytes = frame.size();
            if (!decode(frame)) {
                std::abort();
            }
        }
        const std::chrono::duration<double, std::nano> spent = Clock::now() - start;
        const double each = spent.count() / Rounds;
        best = repeat == 0 ? each : std::min(best, each);
    }
    std::printf("RESULT wire_%s_encode_decode %.0f ns\n", name, best);
    std::printf("RESULT wire_%s_size %zu bytes\n", name, bytes);
}

} // namespace

int main()
{
    measure("dispatch", sampleDispatch());
    measure("chunk", sampleChunk());
    measure("load_report", sampleLoadReport());
    LoadReport idle;
    idle.endpoint = "engine-1";
    idle.incarnation = sampleLoadReport().incarnation;
    idle.limit = 16;
    idle.serving = true;
    idle.manifestVersion = 1301;
    measure("load_report_without_models", idle);
}
