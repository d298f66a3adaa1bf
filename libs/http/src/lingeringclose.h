#ifndef MAGNOLIA_HTTP_LINGERINGCLOSE_H
#define MAGNOLIA_HTTP_LINGERINGCLOSE_H

#include "http/eventhandles.h"

#include <cstddef>
#include <list>
#include <memory>
#include <string_view>

namespace magnolia::http
{

/**
 * Refuses connections with a last answer that their callers get to read.
 *
 * Closing a socket with unread bytes sends a reset, which may destroy the answer before the caller has read it. So the
 * socket is shut down for sending and read dry for a moment first. Lives on one event loop.
 */
class LingeringClose
{
public:
    explicit LingeringClose(event_base *loop);
    ~LingeringClose();

    /** Sends the answer on the socket. The caller keeps its own descriptor and closes that as it likes. */
    void refuse(int fd, std::string_view answer);

private:
    struct Socket;

    static void onReadable(int fd, short what, void *socket);
    void drop(Socket *socket);

    event_base *loop_;
    std::list<std::unique_ptr<Socket>> sockets_;
};

} // namespace magnolia::http

#endif
