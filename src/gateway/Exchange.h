#pragma once

/// One request of a caller, from its arrival to its final answer, and the answer on its way through.
///
/// The exchange keeps what is known and passes bytes on; what happens next (wait, send, send again, give
/// up) is decided by its owner.

#include "core/EventScanner.h"
#include "core/RouteIndex.h"
#include "core/SendProgress.h"
#include "core/WaitingLine.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "traffic/HttpClientConnection.h"
#include "traffic/HttpServerConnection.h"
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetpond {

/// What the gateway read out of a request.
struct RequestFacts {
    std::string id; ///< As the caller named this attempt.
    std::shared_ptr<const SettingsInForce> settings; ///< Those that the request is served by.
    const RouteSettings* route { nullptr };
    std::string account; ///< Empty for a public route.
    PoolId pool;
    int rank { 0 };
    double promptTokens { 0 };
    double expectedAnswerTokens { 0 };
    double quotaUnits { 0 };
    SteadyTime arrivedAt;
    SteadyTime deadline; ///< The earlier of the caller's and the route's.
};

/// How one send to a target ended.
enum class AttemptEnd {
    Answered, ///< The answer was passed on whole.
    NotRun, ///< The target says that it did not run the request.
    WrongTarget, ///< The address belongs to another target now; not run.
    FailedAnswer, ///< A whole answer with a server error; held, not yet passed on.
    BadAnswer, ///< An answer that isn't the target's whole own one.
    NotConnected, ///< Nothing was written.
    Broken, ///< The connection ended before the answer did.
    Stalled, ///< No answer, or no further event, for too long.
};

class Exchange;

/// Decides about exchanges.
class ExchangeOwner {
public:
    virtual ~ExchangeOwner() = default;
    virtual void onAttemptEnd(Exchange&, AttemptEnd) = 0;
    virtual bool keepsCallerConnections() const = 0;
};

/// The send that is in progress.
struct Attempt {
    std::shared_ptr<HttpClientConnection> connection;
    TargetId target;
    SteadyTime sentAt;
    std::optional<SteadyTime> firstEventAt;
    SteadyTime lastProgressAt;
    int events { 0 };
    bool isPromptRead { false }; ///< Its prompt no longer counts as work ahead at the target.
};

class Exchange final : public ExchangeHandler, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(ExchangeOwner&, const Clock&, WaitTicket, std::shared_ptr<HttpServerConnection>, ReceivedRequest, RequestFacts);

    WaitTicket ticket() const { return m_ticket; }
    const RequestFacts& facts() const { return m_facts; }
    const ReceivedRequest& request() const { return m_request; }
    HttpServerConnection& caller() { return *m_caller; }

    std::optional<Attempt>& attempt() { return m_attempt; }
    std::vector<TargetId>& triedTargets() { return m_triedTargets; }
    int targetsSent() const { return m_targetsSent; }
    /// True where some target may have run the request.
    bool mayHaveRun() const { return m_mayHaveRun; }
    bool isStreaming() const { return m_facts.route->kind == CallKind::Streaming; }

    /// True once some of the answer went to the caller: only the rest may follow.
    bool hasBegunAnswer() const { return m_hasBegunAnswer; }

    /// The id of the last whole event, after which a further send has to go on; nothing before any.
    std::optional<std::uint64_t> resumePoint() const { return m_scanner.lastId; }

    /// Begins a send on the connection.
    void send(const std::shared_ptr<HttpClientConnection>&, const TargetId&, std::string bytes);

    /// Ends the send in progress from this side and closes its connection.
    void abandonAttempt();

    /// Ends the send as stalled; the owner is told.
    void stall();

    /// Passes on the failed answer that is held.
    void passOnFailedAnswer();

    /// The caller took what was written.
    void resumeReading();

private:
    void onHead(HttpAnswerHead&&) override;
    void onBody(std::string_view) override;
    void onReadProcessed() override;
    void onComplete() override;
    void onFailure(ExchangeFailure, bool wroteBytes) override;

    enum class Mode {
        Held, ///< The body is kept until it is whole.
        Events, ///< Whole events are passed on as they come.
    };

    bool isOwnAnswer() const;
    bool mayKeepCaller() const;
    void beginEvents();
    bool continuesStream(const ScannedEvents&);
    void takeEvents(std::string_view);
    void writeEvents();
    void writeHeldAnswer();
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
    int m_targetsSent { 0 };
    bool m_mayHaveRun { false };
    bool m_hasBegunAnswer { false };

    Mode m_mode { Mode::Held };
    bool m_hasHead { false };
    bool m_isBadAnswer { false };
    HttpAnswerHead m_head;
    std::string m_body;
    EventScanner m_scanner;
    std::string m_events; ///< Whole events that are not yet written to the caller.
    bool m_checksContinuation { false };
    std::optional<std::uint64_t> m_resumedAfter; ///< The last event passed on before the send in progress.
    bool m_keepsCaller { true }; ///< What the head of the answer in progress told the caller.
};

} // namespace limpetpond
