#include "traffic/SocketOptions.h"

#include <algorithm>
#include <atomic>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace limpetpond {

using boost::asio::ip::tcp;

namespace {

    constexpr int maxUnsentBytes = 131072; ///< The kernel would hold megabytes for a peer that reads nothing; what is on its way doesn't count.
    constexpr int unacknowledgedTimeoutMilliseconds = 2000;
    constexpr int probeIdleSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    constexpr int probeCount = 2;
    /// Without a timeout for unacknowledged bytes the kernel counts the probes; with one it ends the connection at the second.
    constexpr int probeCountWithoutTimeout = 1;
    constexpr int maxBackoff = 16; ///< Keeps the interval between two probes within its type.

    /// Whether the kernel states when it last sent and when a peer last acknowledged: the same for all sockets, and known once
    /// one of them shows it.
    std::atomic<bool> doesKernelStateTimes { false };
    std::atomic<int> socketsWithoutTimes { 0 };
    constexpr int maxSocketsWithoutTimes = 100; ///< After so many the kernel counts as one that doesn't.

    bool isKernelKnown() { return doesKernelStateTimes || socketsWithoutTimes >= maxSocketsWithoutTimes; }

    void setOption(int socket, int level, int option, int value) { setsockopt(socket, level, option, &value, sizeof value); }

} // namespace

void setLivenessOptions(tcp::socket& socket)
{
    int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, IPPROTO_TCP, TCP_NOTSENT_LOWAT, maxUnsentBytes);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, probeIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMilliseconds);
}

bool disableUnacknowledgedTimeout(tcp::socket& socket)
{
    if (!doesKernelStateTimes)
        return false;
    int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, probeCountWithoutTimeout);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
    return true;
}

std::optional<TransmitFacts> transmitFacts(tcp::socket& socket)
{
    std::size_t queued = queuedBytes(socket);
    if (!queued && isKernelKnown())
        return TransmitFacts {};
    tcp_info info {};
    socklen_t size = sizeof info;
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) || size < sizeof info)
        return std::nullopt;
    int backoff = info.tcpi_probes > 0 ? std::min<int>(info.tcpi_backoff, maxBackoff) : 0;
    TransmitFacts facts {
        .queuedBytes = queued,
        .isInFlight = info.tcpi_unacked > 0,
        .unansweredProbes = info.tcpi_probes,
        .sinceSent = std::chrono::milliseconds(info.tcpi_last_data_sent),
        .sinceAcknowledged = std::chrono::milliseconds(info.tcpi_last_ack_recv),
        .resendInterval = std::chrono::microseconds(std::int64_t { info.tcpi_rto } << backoff),
    };
    if (areTimesKnown(facts))
        doesKernelStateTimes = true;
    else
        ++socketsWithoutTimes;
    return facts;
}

std::size_t queuedBytes(tcp::socket& socket)
{
    int count = 0;
    return ioctl(socket.native_handle(), SIOCOUTQ, &count) || count < 0 ? 0 : static_cast<std::size_t>(count);
}

void closeWithReset(tcp::socket& socket)
{
    linger none { .l_onoff = 1, .l_linger = 0 };
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    boost::system::error_code ignored; // A failed close needs no handling.
    socket.close(ignored);
}

} // namespace limpetpond
