#pragma once

/// Many callers at once whose requests don't keep to the limits, or never end. All of them stay connected.

#include <cstddef>
#include <string>
#include <vector>

namespace limpetpond {

/// What each caller of a crowd sends.
struct CrowdOptions {
    int port { 0 };
    std::size_t callers { 0 };
    int receiveBufferBytes { 0 }; ///< Of each caller; 0 for the kernel's own size.
    std::string head; ///< `NUMBER` in it is replaced by the caller's number.
    std::string piece; ///< Sent `pieces` times after the head.
    std::size_t pieces { 0 };
    std::string tail; ///< Sent last.
    bool takesTurns { false }; ///< Each caller sends one piece, then the next caller does; otherwise each sends what its socket takes.
};

class Crowd {
public:
    /// Connects all callers.
    explicit Crowd(CrowdOptions);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Sends until every caller has sent all or was cut off, or until nothing more can be sent for some time. Answers
    /// are read and dropped.
    void send();

    /// Callers that have sent all that they have.
    std::size_t finished() const;
    /// Callers that got at least one byte of an answer.
    std::size_t answered() const;

    /// Whether an answer that has arrived has a status other than these.
    bool hasOtherStatusThan(const std::vector<std::string>& allowed) const;

private:
    struct Caller {
        int socket { -1 };
        std::string head;
        std::size_t part { 0 }; ///< The head is part 0, the tail the last one.
        std::size_t offset { 0 }; ///< Bytes of the part that were sent.
        std::string status; ///< The first bytes of what was received.
        bool hasEnded { false };
    };

    bool isDone(const Caller&) const;
    const std::string& partOf(const Caller&) const;
    /// Sends what the socket takes, up to the end of one part when callers take turns. False if nothing was sent.
    bool sendSome(Caller&) const;
    /// Reads what has arrived. False if there was nothing.
    static bool readSome(Caller&);

    CrowdOptions m_options;
    std::vector<Caller> m_callers;
};

} // namespace limpetpond
