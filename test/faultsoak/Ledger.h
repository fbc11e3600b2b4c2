#pragma once

/// What callers and targets saw of each request, and the promises that this breaks.

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace limpetpond::faultsoak {

using Clock = std::chrono::steady_clock;

/// One broken promise.
struct Violation {
    std::string promise;
    std::string detail;
};

/// How requests ended for their callers.
struct Counts {
    int sent { 0 };
    int served { 0 };
    int refused { 0 };
    int failed { 0 };
    int cut { 0 };
};

/// Takes notes from many threads and compares them.
class Ledger {
public:
    /// The caller's request is about to be sent.
    void noteSent();

    /// A target began to work on the request.
    void noteRun(const std::string& request, bool mayRunAgain, const std::string& target);

    /// The caller was told that the request has not run and will not.
    void noteRefused(const std::string& request, int status, bool hasRetryAfter);

    /// The caller got a whole answer of success.
    void noteServed(const std::string& request);

    /// The caller got an answer that promises nothing, or a connection that ended.
    void noteFailed(bool wasCut);

    void violate(std::string promise, std::string detail);

    std::vector<Violation> violations() const;
    Counts counts() const;

private:
    struct Request {
        int runs { 0 };
        bool isRefused { false };
    };
    void violateLocked(std::string promise, std::string detail);

    mutable std::mutex m_mutex;
    std::map<std::string, Request> m_requests;
    std::vector<Violation> m_violations;
    Counts m_counts;
};

} // namespace limpetpond::faultsoak
