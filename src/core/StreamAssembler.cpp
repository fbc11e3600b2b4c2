#include "core/StreamAssembler.h"

#include "core/Guard.h"
#include "core/Invariant.h"
#include <utility>

namespace limpetpond {

StreamAssembler::StreamAssembler(StreamAssemblerOptions options)
    : m_options(std::move(options))
{
}

std::vector<AnswerPiece> StreamAssembler::add(AnswerPiece piece)
{
    std::vector<AnswerPiece> ready;
    if (!accept(piece))
        return ready;

    m_held.emplace(piece.position, std::move(piece));
    while (m_state == AnswerState::Open && !m_held.empty() && isNext(m_held.begin()->first)) {
        ready.push_back(std::move(m_held.begin()->second));
        m_held.erase(m_held.begin());
        markReturned(ready.back());
    }
    return ready;
}

bool StreamAssembler::isNext(std::uint64_t position) const
{
    return position <= m_next || isGuardDisabled(GuardId::GapHeldBack);
}

void StreamAssembler::markReturned(const AnswerPiece& piece)
{
    checkInvariant(piece.attempt == m_options.attempt && piece.position == m_next, InvariantId::WholeAnswer);
    remember(piece);
    m_next = piece.position + 1;
    if (piece.last)
        close();
}

bool StreamAssembler::accept(const AnswerPiece& piece)
{
    if (piece.attempt != m_options.attempt && !isGuardDisabled(GuardId::ForeignPieceDropped)) {
        ++m_dropped.foreign;
        return false;
    }
    if (!piece.position) {
        ++m_dropped.malformed;
        return false;
    }
    if (contradicts(piece)) {
        ++m_dropped.malformed;
        if (m_state == AnswerState::Open)
            m_state = AnswerState::Broken;
        return false;
    }
    if (m_state != AnswerState::Open) {
        ++(piece.position < m_next ? m_dropped.repeated : m_dropped.afterEnd);
        return false;
    }
    bool repeated = piece.position < m_next && !isGuardDisabled(GuardId::RepeatedPieceDropped);
    if (repeated || m_held.contains(piece.position)) {
        ++m_dropped.repeated;
        return false;
    }
    if (piece.position > m_next && piece.position - m_next >= m_options.window) {
        ++m_dropped.beyondWindow;
        return false;
    }
    return true;
}

bool StreamAssembler::contradicts(const AnswerPiece& piece) const
{
    auto held = m_held.find(piece.position);
    if (held != m_held.end())
        return held->second != piece;
    for (const Digest& digest : m_returned) {
        if (digest.position == piece.position)
            return digest != digestOf(piece);
    }
    return false;
}

void StreamAssembler::remember(const AnswerPiece& piece)
{
    m_returned.push_back(digestOf(piece));
    if (m_returned.size() > m_options.window)
        m_returned.pop_front();
}

StreamAssembler::Digest StreamAssembler::digestOf(const AnswerPiece& piece)
{
    return { .position = piece.position, .hash = std::hash<std::string> {}(piece.data), .last = piece.last };
}

void StreamAssembler::close()
{
    m_state = AnswerState::Whole;
    m_dropped.afterEnd += m_held.size();
    m_held.clear();
}

} // namespace limpetpond
