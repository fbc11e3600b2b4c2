#pragma once

/// One request of a caller, from its arrival to the end of its answer.
///
/// The exchange holds the request's state and passes the answer's bytes to the caller. Its owner decides when to wait,
/// to dispatch, to retry and to fail.

#include "core/BufferAccount.h"
#include "core/CrashingParts.h"
#include "core/EventScanner.h"
#include "core/PromptAffinity.h"
#include "core/RankedQueue.h"
#include "core/RouteIndex.h"
#include "core/SendProgress.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "traffic/HttpClientConnection.h"
#include "traffic/HttpServerConnection.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// What the gateway derives from a request, its route and its account.
struct RequestFacts {
    std::string id; ///< The id that the caller gave this attempt.
    std::shared_ptr<const IndexedSettings> settings; ///< The settings in force when the request arrived.
    const RouteSettings* route { nullptr };
    std::string account; ///< Empty for a public route.
    PoolId pool;
    int rank { 0 };
    double promptTokens { 0 };
    PromptParts promptParts; ///< All parts of the prompt without the last one, which is the request's own.
    std::vector<SharedPart> sharedParts; ///< The first ones of them, with their tokens.
    double expectedAnswerTokens { 0 };
    double quotaUnits { 0 };
    SteadyTime arrivedAt;
    SteadyTime deadline; ///< The earlier of the caller's and the route's.
};

/// How one attempt at a target ended.
enum class AttemptEnd {
    Answered, ///< The whole answer was passed on.
    NotRun, ///< The target answered that it did not run the request.
    WrongTarget, ///< The address now belongs to another target, which did not run the request.
    FailedAnswer, ///< A whole answer with a server error; it is buffered and not yet passed on.
    BadAnswer, ///< The answer is malformed, too large, not signed by the target or doesn't continue the stream.
    NotConnected, ///< No connection was established; nothing was written.
    Broken, ///< The connection closed before the answer was whole.
    Stalled, ///< No answer, or no further event, for too long.
};

class Exchange;

/// The attempt that is in progress.
struct Attempt {
    std::shared_ptr<HttpClientConnection> connection;
    TargetId target;
    std::int64_t targetStartedAt { 0 }; ///< The incarnation that it was sent to, as in `TargetEntry::startedAt`.
    SteadyTime sentAt;
    std::optional<SteadyTime> firstEventAt;
    SteadyTime lastProgressAt;
    double estimatedFirstEventMilliseconds { 0 }; ///< From sending, without queueing at the target; 0 for an answer without events.
    int events { 0 };
    bool isPromptRead { false }; ///< The prompt no longer counts as pending work at the target.
};

/// Decides how an exchange goes on after an attempt.
class ExchangeOwner {
public:
    virtual ~ExchangeOwner() = default;
    /// The head of the target's answer has arrived; the answer may still turn out to be bad.
    virtual void onAnswerHead(const Exchange&, const Attempt&, const HttpAnswerHead&) = 0;
    virtual void onAttemptEnd(Exchange&, AttemptEnd) = 0;
    virtual bool keepsCallerConnections() const = 0;
    /// Counts the buffered answers of all exchanges.
    virtual const std::shared_ptr<BufferAccount>& answerBuffers() const = 0;
    /// Counts the begun events of all streams, with the bytes that callers haven't taken.
    virtual const std::shared_ptr<BufferAccount>& unwrittenBuffers() const = 0;
    /// Whether there is memory for more of the answer; otherwise reading from the target pauses.
    virtual bool mayReadMore(const Exchange&) const = 0;
    /// The buffered answers exceed their limit. May end any exchange.
    virtual void onAnswerBuffersExceeded() = 0;
};

class Exchange final : public ExchangeHandler, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(ExchangeOwner&, const Clock&, WaitTicket, std::shared_ptr<HttpServerConnection>, ReceivedRequest, RequestFacts);

    WaitTicket ticket() const { return m_ticket; }
    const RequestFacts& facts() const { return m_facts; }
    const ReceivedRequest& request() const { return m_request; }
    HttpServerConnection& caller() { return *m_caller; }

    std::optional<Attempt>& attempt() { return m_attempt; }
    const std::optional<Attempt>& attempt() const { return m_attempt; }
    const std::vector<TargetId>& triedTargets() const { return m_triedTargets; }
    /// The connections of all attempts. A further attempt on one of them would have the same request id as the answers there.
    const std::vector<std::shared_ptr<HttpClientConnection>>& usedConnections() const { return m_usedConnections; }
    /// Attempts so far, without those that could not connect.
    int sendCount() const { return m_sendCount; }
    /// Targets that the request was sent to.
    int targetsSent() const { return m_sendCount - m_returnSends; }
    /// How often the request was given back to targets that were tried before.
    int returns() const { return m_returns; }
    /// From now on the request is sent only to targets that were tried before.
    void beginReturn() { ++m_returns; }
    bool isReturning() const { return m_returns > 0; }
    /// True while nothing is read from the target, since the caller reads slowly or memory is short.
    bool isPaused() const { return m_isPaused; }
    /// True where a target may have run the request.
    bool mayHaveRun() const { return m_mayHaveRun; }
    /// The same for the targets before that of the last attempt.
    bool mayHaveRunBefore() const { return m_mayHaveRunBefore; }
    bool isStreaming() const { return m_facts.route->kind == CallKind::Streaming; }

    /// True once a part of the answer was written to the caller: only the rest of it may follow.
    bool hasBegunAnswer() const { return m_hasBegunAnswer; }

    /// The id of the last whole event, after which a retry has to continue the stream; nothing before the first.
    std::optional<std::uint64_t> resumePoint() const { return m_scanner.lastId; }

    /// Whether the last answer whose head has arrived has neither a length nor chunks.
    bool endsWithConnection() const { return m_endsWithConnection; }

    /// The status of the last answer whose head has arrived; 0 before the first.
    int answerStatus() const { return m_head.status; }

    /// Starts an attempt on the connection, with this head and the request's body.
    void send(const std::shared_ptr<HttpClientConnection>&, const TargetId&, std::string head);

    /// Closes the connection of the attempt in progress; the owner isn't notified.
    void abandonAttempt();

    /// Ends the attempt in progress as stalled and notifies the owner.
    void endAsStalled();

    /// Ends the attempt in progress, whose answer is malformed or too large, and notifies the owner.
    void endAsBad();

    /// Passes on the buffered failed answer.
    void passOnFailedAnswer();

    /// Drops a buffered answer that isn't passed on.
    void dropBufferedAnswer() { m_body.release(); }

    /// The memory that the buffered answer takes, in bytes.
    std::size_t bufferedMemory() const { return m_body.memory(); }

    /// The memory of the event that has begun, in bytes.
    std::size_t heldEventMemory() const { return heapMemory(m_scanner.held); }

    /// Bytes that the caller hasn't taken yet.
    std::size_t unwrittenBytes() const { return m_caller->unwrittenBytes(); }

    /// Resumes reading from the target after a pause.
    void resumeReading();

private:
    void onHead(HttpAnswerHead&&) override;
    void onBody(std::string_view) override;
    void onReadProcessed() override;
    void onComplete() override;
    void onFailure(ExchangeFailure, bool wroteBytes) override;

    enum class Mode {
        Buffered, ///< The body is buffered until it is whole.
        Events, ///< Whole events are passed on as they arrive.
    };

    bool hasOwnRequestId(const HttpAnswerHead&) const;
    bool isSignedByTarget(const HttpAnswerHead&) const;
    bool mayKeepCallerConnection() const;
    void beginEvents();
    void handleEvents(std::string_view);
    void writeEvents();
    void writeBufferedAnswer();
    void endEvents();
    void endAttempt(AttemptEnd);

    ExchangeOwner& m_owner;
    const Clock& m_clock;
    WaitTicket m_ticket;
    std::shared_ptr<HttpServerConnection> m_caller;
    ReceivedRequest m_request;
    RequestFacts m_facts;
    std::optional<Attempt> m_attempt;
    std::vector<TargetId> m_triedTargets;
    std::vector<std::shared_ptr<HttpClientConnection>> m_usedConnections;
    int m_sendCount { 0 };
    int m_returns { 0 };
    int m_returnSends { 0 }; ///< Of `m_sendCount`.
    bool m_isPaused { false };
    bool m_mayHaveRun { false };
    bool m_mayHaveRunBefore { false };
    bool m_hasBegunAnswer { false };

    Mode m_mode { Mode::Buffered };
    bool m_hasHead { false };
    bool m_endsWithConnection { false };
    bool m_isBadAnswer { false };
    HttpAnswerHead m_head;
    AccountedBuffer m_body;
    EventScanner m_scanner;
    std::string m_events; ///< Whole events not yet written to the caller.
    CountedMemory m_eventMemory; ///< Of the event that has begun.
    bool m_keepsCallerConnection { true }; ///< As stated in the head of the answer in progress.
};

} // namespace limpetpond
