#pragma once

/// Records what callers and targets observe of each request and detects violated guarantees.

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace limpetpond::faultsoak {

using Clock = std::chrono::steady_clock;

/// A violation of one guarantee.
struct Violation {
    std::string guarantee;
    std::string detail;
};

/// The numbers of requests by their outcome for the caller.
struct Counts {
    int sent { 0 };
    int served { 0 };
    int rejected { 0 };
    int failed { 0 };
    int incomplete { 0 }; ///< The connection ended before the answer was complete.
};

/// Collects the observations of all callers and targets; thread-safe.
class OutcomeChecker {
public:
    /// A caller is about to send a request.
    void recordSent();

    /// A target started to run the request.
    void recordRun(const std::string& request, bool mayRunAgain, const std::string& target);

    /// The caller received an answer that says that the request has not run and won't.
    void recordRejected(const std::string& request, int status, bool hasRetryAfter);

    /// The caller received a complete answer of success.
    void recordServed(const std::string& request);

    /// The caller received an answer with an unknown outcome, or an incomplete one.
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
