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
    std::string guarantee;
    std::string detail;
};

/// How requests ended for their callers.
struct Counts {
    int sent { 0 };
    int served { 0 };
    int rejected { 0 };
    int failed { 0 };
    int incomplete { 0 };
};

/// Takes notes from many threads and compares them.
class OutcomeChecker {
public:
    /// The caller's request is about to be sent.
    void recordSent();

    /// A target began to work on the request.
    void recordRun(const std::string& request, bool mayRunAgain, const std::string& target);

    /// The caller was told that the request has not run and will not.
    void recordRejected(const std::string& request, int status, bool hasRetryAfter);

    /// The caller got a whole answer of success.
    void recordServed(const std::string& request);

    /// The caller got an answer that promises nothing, or a connection that ended.
    void recordFailed(bool isIncomplete);

    void recordViolation(std::string guarantee, std::string detail);

    std::vector<Violation> violations() const;
    Counts counts() const;

private:
    struct Request {
        int runs { 0 };
        bool isRejected { false };
    };
    void recordViolationLocked(std::string guarantee, std::string detail);

    mutable std::mutex m_mutex;
    std::map<std::string, Request> m_requests;
    std::vector<Violation> m_violations;
    Counts m_counts;
};

} // namespace limpetpond::faultsoak
