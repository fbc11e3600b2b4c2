#pragma once

/// A TCP client for tests that sends arbitrary bytes to a server on loopback.

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace limpetpond {

/// Reads complete answers, by `Content-Length` or chunked encoding; a read times out after five seconds.
///
///     RawConnection connection(port);
///     connection.send("GET / HTTP/1.1\r\n\r\n");
class RawConnection {
public:
    explicit RawConnection(int port, const std::string& ip = "127.0.0.1")
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address))
            close();
    }
    ~RawConnection() { close(); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    void send(const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            ssize_t count = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return;
            sent += static_cast<std::size_t>(count);
        }
    }

    /// One complete answer, or the bytes received before the connection ended or a read timed out.
    std::string readAnswer()
    {
        while (!hasCompleteAnswer() && fill()) { }
        std::string answer = m_buffer.substr(0, m_answerLength);
        m_buffer.erase(0, m_answerLength);
        return answer;
    }

    /// The bytes up to and including `mark`, or up to the end of the connection or a timeout.
    std::string readUntil(const std::string& mark)
    {
        std::size_t at;
        while ((at = m_buffer.find(mark)) == std::string::npos && fill()) { }
        std::string text = m_buffer.substr(0, at == std::string::npos ? at : at + mark.size());
        m_buffer.erase(0, text.size());
        return text;
    }

    /// Reads up to 4 KiB into the buffer, from which the other functions return it. False at the end or after a timeout.
    bool readPiece() { return fill(); }

    /// Whether the peer closes the connection, with no pause of more than five seconds before.
    bool isClosed()
    {
        while (fill()) { }
        return m_ended;
    }

    void close()
    {
        if (m_socket >= 0)
            ::close(m_socket);
        m_socket = -1;
    }

private:
    bool hasCompleteAnswer()
    {
        m_answerLength = m_buffer.size();
        std::size_t headEnd = m_buffer.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return false;
        std::size_t bodyStart = headEnd + 4;
        std::string head = m_buffer.substr(0, bodyStart);
        if (head.find("Transfer-Encoding: chunked") != std::string::npos) {
            std::size_t end = m_buffer.find("0\r\n\r\n", bodyStart - 2);
            if (end == std::string::npos)
                return false;
            m_answerLength = end + 5;
            return true;
        }
        std::size_t length = head.find("Content-Length: ");
        std::size_t bodyLength = length == std::string::npos ? 0 : std::strtoul(head.c_str() + length + 16, nullptr, 10);
        if (m_buffer.size() < bodyStart + bodyLength)
            return false;
        m_answerLength = bodyStart + bodyLength;
        return true;
    }

    bool fill()
    {
        pollfd watched { m_socket, POLLIN, 0 };
        char piece[4096];
        if (m_socket < 0 || ::poll(&watched, 1, 5'000) <= 0)
            return false;
        ssize_t count = ::recv(m_socket, piece, sizeof piece, 0);
        m_ended = count <= 0;
        if (m_ended)
            return false;
        m_buffer.append(piece, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_buffer;
    std::size_t m_answerLength { 0 };
    bool m_ended { false };
};

} // namespace limpetpond
