#include "http/connection.h"
#include "loopfixture.h"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>

namespace magnolia::http
{

namespace
{

struct ConnectionFixture : LoopFixture {
    ConnectionFixture()
    {
        std::array<int, 2> ends{};
        BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        connection = Connection::adopt(loop.get(), ends[0]);
        far = ends[1];
        connection->setCallbacks({.onData = [this](std::string_view bytes) { received.append(bytes); }, .onEnd = [this](ConnectionEnd ended) { end = ended; }});
    }
    ~ConnectionFixture()
    {
        if (far >= 0) {
            close(far);
        }
    }
    ConnectionFixture(const ConnectionFixture &) = delete;
    ConnectionFixture &operator=(const ConnectionFixture &) = delete;

    std::string readFar() const
    {
        std::string bytes(1U << 20U, '\0');
        const ssize_t count = recv(far, bytes.data(), bytes.size(), 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }

    std::shared_ptr<Connection> connection;
    int far = -1;
    std::string received;
    std::optional<ConnectionEnd> end;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionTest, ConnectionFixture)

BOOST_AUTO_TEST_CASE(bytes_socketTakesThem_leaveWithoutTheLoop)
{
    connection->send("hello");
    BOOST_TEST(readFar() == "hello");
    BOOST_TEST(connection->pendingBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(farEnd_doesNotRead_bytesAreQueuedInOrder)
{
    const std::string much(4U << 20U, 'x');
    connection->send(much);
    BOOST_TEST(connection->pendingBytes() > 0U);
    connection->send("end");
    std::string all;
    BOOST_TEST(runUntil([&] {
        all += readFar();
        return all.size() == much.size() + 3;
    }));
    BOOST_TEST(all.ends_with("xend"));
}

BOOST_AUTO_TEST_CASE(farEnd_closes_isToldOnce)
{
    BOOST_TEST(::send(far, "bye", 3, 0) == 3);
    close(far);
    far = -1;
    BOOST_TEST(runUntil([&] { return end.has_value(); }));
    BOOST_TEST((end == ConnectionEnd::Closed));
    BOOST_TEST(received == "bye");
    BOOST_TEST(!connection->isOpen());
}

// Guards against a connection being used for a request while bytes that belong to none wait to be read on it.
BOOST_AUTO_TEST_CASE(farEnd_sendsOrCloses_isNotQuietBeforeThatIsRead)
{
    BOOST_TEST(connection->isQuiet());
    BOOST_TEST(::send(far, "bytes", 5, 0) == 5);
    BOOST_TEST(!connection->isQuiet());
    BOOST_TEST(runUntil([&] { return received == "bytes"; }));
    BOOST_TEST(connection->isQuiet());
    close(far);
    far = -1;
    BOOST_TEST(connection->isOpen());
    BOOST_TEST(!connection->isQuiet());
}

BOOST_AUTO_TEST_CASE(reading_off_bytesStayUntilItIsOn)
{
    connection->setReading(false);
    BOOST_TEST(::send(far, "later", 5, 0) == 5);
    runFor(Duration(20));
    BOOST_TEST(received.empty());
    connection->setReading(true);
    BOOST_TEST(runUntil([&] { return received == "later"; }));
}

BOOST_AUTO_TEST_CASE(closeWhenSent_outputQueued_closesBehindIt)
{
    const std::string much(4U << 20U, 'x');
    connection->send(much);
    connection->closeWhenSent();
    BOOST_TEST(connection->isOpen());
    std::size_t count = 0;
    BOOST_TEST(runUntil([&] {
        count += readFar().size();
        return !connection->isOpen();
    }));
    count += readFar().size();
    BOOST_TEST(count == much.size());
}

BOOST_AUTO_TEST_CASE(sendWithBody_largerThanTheSocketTakes_arrivesInOrderAndIsFreed)
{
    const std::string expected = "head" + std::string(4U << 20U, 'x') + "next";
    auto body = std::make_shared<const std::string>(4U << 20U, 'x');
    const std::weak_ptr<const std::string> freed = body;
    connection->send("head", std::move(body));
    std::string arrived;
    const auto receiveUntil = [&](std::size_t bytes) {
        return runUntil([&] {
            arrived += readFar();
            return arrived.size() >= bytes;
        });
    };
    BOOST_TEST(connection->pendingBytes() > 0);
    BOOST_TEST(receiveUntil(expected.size() - 4));
    BOOST_TEST(freed.expired());
    connection->send("next");
    BOOST_TEST(receiveUntil(expected.size()));
    BOOST_TEST((arrived == expected));
}

BOOST_AUTO_TEST_CASE(sendWithBody_moreIsSentBeforeItHasLeft_arrivesInOrder)
{
    const auto body = std::make_shared<const std::string>(1U << 20U, 'x');
    const std::string expected = "one" + *body + "two" + *body + "three";
    connection->send("one", body);
    connection->send("two", body);
    connection->send("three");
    std::string arrived;
    BOOST_TEST(runUntil([&] {
        arrived += readFar();
        return arrived.size() == expected.size();
    }));
    BOOST_TEST((arrived == expected));
    BOOST_TEST(connection->pendingBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(close_bodyQueued_isFreed)
{
    auto body = std::make_shared<const std::string>(4U << 20U, 'x');
    const std::weak_ptr<const std::string> freed = body;
    connection->send("head", std::move(body));
    BOOST_TEST(!freed.expired());
    connection->close();
    BOOST_TEST(freed.expired());
}

BOOST_AUTO_TEST_CASE(callback_closesTheConnection_noOtherFollows)
{
    connection->setCallbacks({.onData = [this](std::string_view) { connection->close(); }, .onEnd = [this](ConnectionEnd ended) { end = ended; }});
    BOOST_TEST(::send(far, "x", 1, 0) == 1);
    BOOST_TEST(runUntil([&] { return !connection->isOpen(); }));
    runFor(Duration(10));
    BOOST_TEST(!end.has_value());
}

// Guards against a peer that sends without a pause and keeps everything else on the loop waiting.
BOOST_AUTO_TEST_CASE(bytes_comeFasterThanTheyAreRead_othersOnTheLoopHaveTheirTurn)
{
    constexpr int MaxPieces = 1000; // So that the test ends if they don't.
    const std::string block(64U << 10U, 'x');
    std::array<int, 2> ends{};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    const auto other = Connection::adopt(loop.get(), ends[0]);
    int pieces = 0;
    connection->setCallbacks({.onData = [&](std::string_view) {
        if (++pieces == 1) {
            BOOST_TEST(::send(ends[1], "x", 1, 0) == 1);
        }
        if (pieces < MaxPieces) {
            (void)::send(far, block.data(), block.size(), 0);
        }
    }});
    int piecesBeforeTurn = MaxPieces;
    other->setCallbacks({.onData = [&](std::string_view) { piecesBeforeTurn = pieces; }});
    BOOST_TEST(::send(far, block.data(), block.size(), 0) > 0);
    BOOST_TEST(runUntil([&] { return pieces >= MaxPieces; }));
    BOOST_TEST(piecesBeforeTurn < MaxPieces);
    BOOST_TEST(received.empty());
    ::close(ends[1]);
}

BOOST_AUTO_TEST_CASE(dial_nobodyListens_isRefusedAndNothingWasSent)
{
    auto dialled = Connection::dial(loop.get(), SocketAddress::parse("127.0.0.1:1").value());
    BOOST_REQUIRE(dialled != nullptr);
    dialled->setCallbacks({.onEnd = [this](ConnectionEnd ended) { end = ended; }});
    dialled->send("request");
    BOOST_TEST(runUntil([&] { return end.has_value(); }));
    BOOST_TEST((end == ConnectionEnd::Refused));
    BOOST_TEST(!dialled->hasSent());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::http
