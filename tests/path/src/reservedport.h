#ifndef MAGNOLIA_PATH_RESERVEDPORT_H
#define MAGNOLIA_PATH_RESERVEDPORT_H

#include <cstdint>
#include <string>

namespace magnolia::path
{

/**
 * A port on 127.0.0.1 picked by the kernel and kept for one process of a test, also while that process is restarted.
 *
 * The socket stays bound but never listens, so a listener that sets SO_REUSEADDR can bind beside it, while the kernel
 * gives the port to nobody who asks for any free one.
 */
class ReservedPort
{
public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(ReservedPort &&other) noexcept;
    ReservedPort &operator=(ReservedPort &&) = delete;
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    std::string address() const; ///< "127.0.0.1:PORT"

private:
    int socket_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace magnolia::path

#endif
