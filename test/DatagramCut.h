#pragma once

/// Cuts the datagrams between instances that run in this process, as a network partition does, by filters on their sockets.

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <vector>

namespace limpetpond {

/// The socket of this process that receives datagrams at the address; negative for none.
inline int findDatagramSocket(const std::string& ip, int port)
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    for (int descriptor = 0; descriptor < static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 4096)); ++descriptor) {
        int type = 0;
        socklen_t length = sizeof type;
        sockaddr_in address {};
        socklen_t addressLength = sizeof address;
        if (::getsockopt(descriptor, SOL_SOCKET, SO_TYPE, &type, &length) || type != SOCK_DGRAM)
            continue;
        if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &addressLength) || address.sin_family != AF_INET)
            continue;
        if (address.sin_addr.s_addr == ::inet_addr(ip.c_str()) && ntohs(address.sin_port) == port)
            return descriptor;
    }
    return -1;
}

/// Lets the socket drop all datagrams from the sources. False where the filter can't be set.
inline bool dropDatagramsFrom(int socket, const std::vector<std::string>& sources)
{
    constexpr std::uint32_t sourceOffset = 12; // In the IPv4 header.
    std::vector<sock_filter> program { BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(SKF_NET_OFF) + sourceOffset) };
    for (std::size_t i = 0; i < sources.size(); ++i) {
        auto toDrop = static_cast<std::uint8_t>(sources.size() - i);
        program.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(::inet_addr(sources[i].c_str())), toDrop, 0));
    }
    program.push_back(BPF_STMT(BPF_RET | BPF_K, 0xffffffffU));
    program.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
    sock_fprog filter { .len = static_cast<unsigned short>(program.size()), .filter = program.data() };
    return !::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter);
}

/// Lets the socket receive all datagrams again.
inline void receiveAllDatagrams(int socket)
{
    int unused = 0;
    ::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

} // namespace limpetpond
