#pragma once

/// A lock-free mailbox with many senders and one receiver, which waits on a file descriptor.

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>
#include <vector>

namespace limpetpond {

/// Why a wait ended. Neither is set after the timeout.
struct MailboxWait {
    bool hasMessages { false }; ///< There may be messages.
    bool peerClosed { false }; ///< The watched socket was closed by the other side.
};

/// Messages are received in the order in which they were posted.
///
///     Mailbox<int> mailbox;
///     mailbox.post(1);
template <typename T>
class Mailbox {
public:
    Mailbox()
        : m_eventFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        if (m_eventFd < 0)
            throw std::system_error(errno, std::generic_category(), "eventfd");
    }

    ~Mailbox()
    {
        take();
        ::close(m_eventFd);
    }

    Mailbox(const Mailbox&) = delete;
    Mailbox& operator=(const Mailbox&) = delete;

    /// Adds a message. May be called from any thread; never blocks.
    void post(T value)
    {
        Node* before = m_head.load(std::memory_order_relaxed);
        Node* node = new Node { std::move(value), before };
        while (!m_head.compare_exchange_weak(before, node, std::memory_order_release, std::memory_order_relaxed))
            node->next = before;
        // Only the first message after a take has to wake the receiver.
        if (!before)
            wake();
    }

    /// Removes all messages and returns them, oldest first. Only the receiver may call it.
    std::vector<T> take()
    {
        clearWake();
        std::vector<T> messages;
        Node* node = reversed(m_head.exchange(nullptr, std::memory_order_acquire));
        while (node) {
            messages.push_back(std::move(node->value));
            Node* next = node->next;
            delete node;
            node = next;
        }
        return messages;
    }

    /// Waits until there are messages, the peer closes `watchedSocket` (-1 for none) or the timeout expires.
    MailboxWait wait(std::chrono::milliseconds timeout, int watchedSocket = -1)
    {
        pollfd watched[2] = { { m_eventFd, POLLIN, 0 }, { watchedSocket, POLLRDHUP, 0 } };
        if (::poll(watched, watchedSocket < 0 ? 1 : 2, static_cast<int>(timeout.count())) <= 0)
            return {};
        return { .hasMessages = watched[0].revents != 0, .peerClosed = watched[1].revents != 0 };
    }

private:
    struct Node {
        T value;
        Node* next;
    };

    static Node* reversed(Node* node)
    {
        Node* previous = nullptr;
        while (node) {
            Node* next = node->next;
            node->next = previous;
            previous = node;
            node = next;
        }
        return previous;
    }

    void wake()
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] ssize_t written = ::write(m_eventFd, &one, sizeof one);
    }

    void clearWake()
    {
        std::uint64_t count = 0;
        [[maybe_unused]] ssize_t length = ::read(m_eventFd, &count, sizeof count);
    }

    std::atomic<Node*> m_head { nullptr };
    int m_eventFd;
};

} // namespace limpetpond
