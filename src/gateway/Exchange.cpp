#include "gateway/Exchange.h"

#include "core/Guard.h"
#include "gateway/HttpText.h"

namespace limpetpond {

using platform::Field;

namespace {

    constexpr std::size_t maxBufferedBodyBytes = 16U << 20; ///< A larger answer ends the attempt.
    constexpr int firstServerError = 500;

    bool isEventStream(const HttpAnswerHead& head)
    {
        constexpr std::string_view eventStream = "text/event-stream";
        return fieldValue(head.fields, Field::ContentType).substr(0, eventStream.size()) == eventStream;
    }

} // namespace

Exchange::Exchange(ExchangeOwner& owner, const Clock& clock, WaitTicket ticket, std::shared_ptr<HttpServerConnection> caller, ReceivedRequest request, RequestFacts facts)
    : m_owner(owner)
    , m_clock(clock)
    , m_ticket(ticket)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
    , m_facts(std::move(facts))
    , m_body(owner.answerBuffers())
    , m_eventMemory(owner.unwrittenBuffers())
{
}

void Exchange::send(const std::shared_ptr<HttpClientConnection>& connection, const TargetId& target, std::string head)
{
    SteadyTime now = m_clock.steadyNow();
    m_attempt = Attempt { .connection = connection, .target = target, .sentAt = now, .lastProgressAt = now };
    m_triedTargets.push_back(target);
    m_usedConnections.push_back(connection);
    ++m_sendCount;
    m_returnSends += isReturning();
    m_mayHaveRunBefore = m_mayHaveRun;
    m_isPaused = false;
    m_hasHead = false;
    m_isBadAnswer = false;
    m_mode = Mode::Buffered;
    m_body.release();
    dropPartialEvent(m_scanner);
    m_eventMemory.set(0);
    bool answerHasNoBody = m_request.method == "HEAD";
    connection->send(std::move(head), m_request.body, m_facts.id, answerHasNoBody, *this);
}

void Exchange::abandonAttempt()
{
    if (!m_attempt)
        return;
    m_mayHaveRun = m_mayHaveRun || m_attempt->connection->isConnected();
    m_attempt->connection->close();
}

void Exchange::endAsStalled()
{
    abandonAttempt();
    endAttempt(AttemptEnd::Stalled);
}

void Exchange::endAsBad()
{
    m_body.release();
    m_attempt->connection->close();
    m_mayHaveRun = true;
    endAttempt(AttemptEnd::BadAnswer);
}

void Exchange::onHead(HttpAnswerHead&& head)
{
    m_attempt->lastProgressAt = m_clock.steadyNow();
    m_owner.onAnswerHead(*this, *m_attempt, head);
    m_hasHead = true;
    m_endsWithConnection = head.isCloseDelimited;
    m_mode = isStreaming() && head.status == 200 && isEventStream(head) ? Mode::Events : Mode::Buffered;
    if (m_mode == Mode::Events && !isSignedByTarget(head))
        m_isBadAnswer = true;
    if (m_hasBegunAnswer && m_mode == Mode::Events)
        return; // The caller already has the head of the first answer.
    m_head = std::move(head);
}

bool Exchange::hasOwnRequestId(const HttpAnswerHead& head) const
{
    if (isGuardDisabled(GuardId::AnswerOfOtherRequestDropped))
        return hasField(head.fields, Field::RequestId);
    return fieldValue(head.fields, Field::RequestId) == m_facts.id;
}

bool Exchange::isSignedByTarget(const HttpAnswerHead& head) const { return hasField(head.fields, Field::TargetSignature) && hasOwnRequestId(head); }

void Exchange::onBody(std::string_view bytes)
{
    if (!m_attempt || m_isBadAnswer)
        return;
    if (m_mode == Mode::Events) {
        handleEvents(bytes);
        return;
    }
    m_attempt->lastProgressAt = m_clock.steadyNow();
    if (m_body.size() + bytes.size() > maxBufferedBodyBytes)
        m_isBadAnswer = true;
    else
        m_body.append(bytes);
}

void Exchange::handleEvents(std::string_view bytes)
{
    ScannedEvents scanned = scanEvents(m_scanner, bytes);
    m_isBadAnswer = m_scanner.isTooLong || m_scanner.isOutOfOrder;
    if (!scanned.count)
        return;
    // Only whole events are progress: a stalled target may still send a byte now and then.
    m_attempt->lastProgressAt = m_clock.steadyNow();
    if (!m_attempt->firstEventAt)
        m_attempt->firstEventAt = m_clock.steadyNow();
    m_attempt->events += scanned.count;
    m_events += scanned.whole;
}

void Exchange::onReadProcessed()
{
    if (!m_attempt)
        return;
    writeEvents();
    m_eventMemory.set(heldEventMemory());
    if (m_isBadAnswer) {
        endAsBad();
        return;
    }
    if (m_owner.answerBuffers()->isExceeded()) {
        m_owner.onAnswerBuffersExceeded();
        return;
    }
    if (m_owner.mayReadMore(*this))
        return;
    m_isPaused = true;
    m_attempt->connection->setPaused(true);
}

void Exchange::resumeReading()
{
    if (!m_attempt || !m_isPaused)
        return;
    m_isPaused = false;
    m_attempt->lastProgressAt = m_clock.steadyNow();
    m_attempt->connection->setPaused(false);
}

void Exchange::writeEvents()
{
    if (m_events.empty())
        return;
    if (!m_hasBegunAnswer)
        beginEvents();
    std::string chunk;
    appendChunk(chunk, m_events);
    std::string().swap(m_events);
    m_caller->write(chunk);
}

void Exchange::beginEvents()
{
    m_hasBegunAnswer = true;
    m_keepsCallerConnection = mayKeepCallerConnection();
    m_caller->write(callerAnswerHead(m_head, BodyFraming::Chunks, 0, m_keepsCallerConnection));
}

bool Exchange::mayKeepCallerConnection() const { return m_request.keepAlive && m_owner.keepsCallerConnections(); }

void Exchange::onComplete()
{
    // Without this request's id, it may be an earlier refusal, and the target may run the request all the same.
    bool mayBeRefusal = !m_isBadAnswer && m_mode == Mode::Buffered && hasOwnRequestId(m_head);
    if (mayBeRefusal && m_head.status == platform::wrongTargetStatus) {
        endAttempt(AttemptEnd::WrongTarget);
        return;
    }
    if (mayBeRefusal && hasField(m_head.fields, Field::NotRun)) {
        endAttempt(AttemptEnd::NotRun);
        return;
    }
    m_mayHaveRun = true;
    bool isValidAnswer = !m_isBadAnswer && (m_mode == Mode::Events || (!m_hasBegunAnswer && isSignedByTarget(m_head)));
    if (!isValidAnswer) {
        writeEvents();
        endAttempt(AttemptEnd::BadAnswer);
    } else if (m_mode == Mode::Events) {
        endEvents();
    } else if (m_head.status >= firstServerError) {
        endAttempt(AttemptEnd::FailedAnswer);
    } else {
        writeBufferedAnswer();
        endAttempt(AttemptEnd::Answered);
    }
}

void Exchange::endEvents()
{
    writeEvents();
    // A target that crashes right after the head ends the connection in the same way as one that has sent all events.
    bool isEmpty = m_endsWithConnection && m_attempt->events == 0;
    if (isMidEvent(m_scanner) || isEmpty) {
        endAttempt(AttemptEnd::Broken);
        return;
    }
    if (!m_hasBegunAnswer)
        beginEvents();
    m_caller->write(lastChunk);
    m_caller->finishAnswer(m_keepsCallerConnection);
    endAttempt(AttemptEnd::Answered);
}

void Exchange::passOnFailedAnswer() { writeBufferedAnswer(); }

void Exchange::writeBufferedAnswer()
{
    bool keepAlive = mayKeepCallerConnection();
    BodyFraming framing = m_request.method == "HEAD" ? BodyFraming::None : BodyFraming::Length;
    m_hasBegunAnswer = true;
    std::string text = callerAnswerHead(m_head, framing, m_body.size(), keepAlive).append(m_body.bytes());
    m_body.release();
    m_caller->write(text);
    m_caller->finishAnswer(keepAlive);
}

void Exchange::onFailure(ExchangeFailure failure, bool wroteBytes)
{
    if (!m_attempt)
        return;
    if (failure == ExchangeFailure::NotConnected && !wroteBytes) {
        --m_sendCount;
        m_returnSends -= isReturning();
        endAttempt(AttemptEnd::NotConnected);
        return;
    }
    if (m_hasHead && m_mode == Mode::Buffered && isGuardDisabled(GuardId::BrokenAnswerHeldBack)) {
        onComplete();
        return;
    }
    m_mayHaveRun = true;
    writeEvents();
    endAttempt(failure == ExchangeFailure::Malformed ? AttemptEnd::BadAnswer : AttemptEnd::Broken);
}

void Exchange::endAttempt(AttemptEnd end) { m_owner.onAttemptEnd(*this, end); }

} // namespace limpetpond
