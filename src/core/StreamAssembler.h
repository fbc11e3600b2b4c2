#pragma once

/// Whole answers out of pieces that come late, twice, out of order or from another stream.

#include "limpetpond/Ids.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace limpetpond {

/// One piece of an answer's stream. Positions start at 1 and rise by 1.
struct AnswerPiece {
    AttemptId attempt;
    std::uint64_t position { 0 };
    std::string data;
    bool last { false }; ///< The stream's end marker.
    bool operator==(const AnswerPiece&) const = default;
};

/// Counts of pieces that were dropped.
struct DroppedPieces {
    std::uint64_t repeated { 0 }; ///< The position was taken before.
    std::uint64_t foreign { 0 }; ///< Of another attempt.
    std::uint64_t beyondWindow { 0 }; ///< Too far ahead of the next wanted position.
    std::uint64_t afterEnd { 0 }; ///< Behind the end marker.
    std::uint64_t malformed { 0 }; ///< Without a position, or two pieces that differ at one position.
    std::uint64_t total() const { return repeated + foreign + beyondWindow + afterEnd + malformed; }
};

enum class AnswerState {
    Open, ///< More pieces are wanted.
    Whole, ///< The end marker and everything before it was given out.
    Broken, ///< The source sent two pieces that differ at one position; no further piece is given out.
};

struct StreamAssemblerOptions {
    AttemptId attempt;
    std::size_t window { 64 }; ///< Positions ahead of the next wanted one that are held.
};

/// Binds the pieces of one attempt by position and gives each out once, in order.
///
///     StreamAssembler assembler({ .attempt = attempt });
///     for (const AnswerPiece& piece : assembler.take(arrived)) passOn(piece.data);
class StreamAssembler {
public:
    explicit StreamAssembler(StreamAssemblerOptions);

    /// Takes a piece and returns those that are now in order, the end marker included.
    std::vector<AnswerPiece> take(AnswerPiece);

    AnswerState state() const { return m_state; }

    /// The position of the last piece that was given out; 0 for none. A resume asks for what follows.
    std::uint64_t lastPosition() const { return m_next - 1; }

    /// Pieces are held whose predecessors are missing.
    bool hasGap() const { return !m_held.empty(); }

    const DroppedPieces& dropped() const { return m_dropped; }

private:
    struct Digest {
        std::uint64_t position { 0 };
        std::size_t hash { 0 };
        bool last { false };
        bool operator==(const Digest&) const = default;
    };

    bool accept(const AnswerPiece&);
    bool isNext(std::uint64_t position) const;
    void giveOut(const AnswerPiece&);
    bool contradicts(const AnswerPiece&) const;
    void remember(const AnswerPiece&);
    static Digest digestOf(const AnswerPiece&);
    void close();

    StreamAssemblerOptions m_options;
    std::uint64_t m_next { 1 };
    AnswerState m_state { AnswerState::Open };
    std::map<std::uint64_t, AnswerPiece> m_held;
    std::deque<Digest> m_given; ///< Of the last pieces given out, to find a source that contradicts itself.
    DroppedPieces m_dropped;
};

} // namespace limpetpond
