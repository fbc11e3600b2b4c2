#include "test/process/Crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace limpetpond {

namespace {

    constexpr int pollMilliseconds = 50;
    constexpr auto standstill = std::chrono::seconds(3); ///< After this time without a byte sent or received, the gateway takes nothing more.
    constexpr std::size_t maxBytesPerTurn = 1U << 20;
    constexpr std::size_t statusBytes = 12; ///< Of "HTTP/1.1 503".

    int connectTo(int port, int receiveBufferBytes)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBufferBytes > 0)
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (!::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address))
            return socket;
        ::close(socket);
        return -1;
    }

    std::string withNumber(std::string text, std::size_t number)
    {
        constexpr std::string_view mark = "NUMBER";
        std::size_t at = text.find(mark);
        if (at != std::string::npos)
            text.replace(at, mark.size(), std::to_string(number));
        return text;
    }

} // namespace

Crowd::Crowd(CrowdOptions options)
    : m_options(std::move(options))
{
    for (std::size_t i = 0; i < m_options.callers; ++i) {
        int socket = connectTo(m_options.port, m_options.receiveBufferBytes);
        m_callers.push_back({ .socket = socket, .head = withNumber(m_options.head, i), .hasEnded = socket < 0 });
    }
}

Crowd::~Crowd()
{
    for (const Caller& caller : m_callers) {
        if (caller.socket >= 0)
            ::close(caller.socket);
    }
}

bool Crowd::isDone(const Caller& caller) const { return caller.hasEnded || caller.part == m_options.pieces + 2; }

const std::string& Crowd::partOf(const Caller& caller) const
{
    if (caller.part == 0)
        return caller.head;
    return caller.part <= m_options.pieces ? m_options.piece : m_options.tail;
}

bool Crowd::sendSome(Caller& caller) const
{
    std::size_t total = 0;
    while (!isDone(caller) && total < maxBytesPerTurn) {
        const std::string& part = partOf(caller);
        if (caller.offset == part.size()) {
            ++caller.part;
            caller.offset = 0;
            if (m_options.takesTurns && total > 0)
                return true;
            continue;
        }
        ssize_t count = ::send(caller.socket, part.data() + caller.offset, part.size() - caller.offset, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            caller.hasEnded = errno != EAGAIN && errno != EINTR;
            return total > 0;
        }
        caller.offset += static_cast<std::size_t>(count);
        total += static_cast<std::size_t>(count);
    }
    return total > 0;
}

bool Crowd::readSome(Caller& caller)
{
    char piece[16384];
    ssize_t count = ::recv(caller.socket, piece, sizeof piece, MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return false;
    if (count <= 0) {
        caller.hasEnded = true;
        return false;
    }
    if (caller.status.size() < statusBytes)
        caller.status.append(piece, std::min(static_cast<std::size_t>(count), statusBytes - caller.status.size()));
    return true;
}

void Crowd::send()
{
    auto movedAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - movedAt < standstill) {
        std::vector<pollfd> watched;
        std::vector<Caller*> callers;
        for (Caller& caller : m_callers) {
            if (isDone(caller))
                continue;
            watched.push_back({ .fd = caller.socket, .events = POLLIN | POLLOUT, .revents = 0 });
            callers.push_back(&caller);
        }
        if (watched.empty())
            return;
        ::poll(watched.data(), watched.size(), pollMilliseconds);
        for (std::size_t i = 0; i < watched.size(); ++i) {
            bool hasMoved = watched[i].revents & (POLLIN | POLLHUP | POLLERR) && readSome(*callers[i]);
            hasMoved = (watched[i].revents & POLLOUT && sendSome(*callers[i])) || hasMoved;
            if (hasMoved)
                movedAt = std::chrono::steady_clock::now();
        }
    }
}

std::size_t Crowd::finished() const
{
    return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(), [this](const Caller& caller) { return caller.part == m_options.pieces + 2; }));
}

std::size_t Crowd::answered() const
{
    return static_cast<std::size_t>(std::count_if(m_callers.begin(), m_callers.end(), [](const Caller& caller) { return !caller.status.empty(); }));
}

bool Crowd::hasOtherStatusThan(const std::vector<std::string>& allowed) const
{
    return std::any_of(m_callers.begin(), m_callers.end(), [&](const Caller& caller) {
        return caller.status.size() == statusBytes && std::find(allowed.begin(), allowed.end(), caller.status.substr(9)) == allowed.end();
    });
}

} // namespace limpetpond
