#pragma once

/// Reassembles an answer from pieces that may arrive late, repeatedly, out of order or from another attempt.

#include "limpetpond/Ids.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace limpetpond {

/// One piece of an answer's stream. Positions start at 1 and increase by 1.
struct AnswerPiece {
    AttemptId attempt;
    std::uint64_t position { 0 };
    std::string data;
    bool last { false }; ///< The stream's end marker.
    bool operator==(const AnswerPiece&) const = default;
};

/// Counts of dropped pieces, by reason.
struct DroppedPieces {
    std::uint64_t repeated { 0 }; ///< A piece of the same position was accepted before.
    std::uint64_t foreign { 0 }; ///< Of another attempt.
    std::uint64_t beyondWindow { 0 }; ///< Too far ahead of the next expected position.
    std::uint64_t afterEnd { 0 }; ///< After the end marker.
    std::uint64_t malformed { 0 }; ///< Without a position, or different from an earlier piece of the same position.
    std::uint64_t total() const { return repeated + foreign + beyondWindow + afterEnd + malformed; }
};

/// The state of an answer during reassembly.
enum class AnswerState {
    Open, ///< More pieces are expected.
    Whole, ///< The end marker and everything before it was returned.
    Broken, ///< The source sent two different pieces for one position; no further piece is returned.
};

struct StreamAssemblerOptions {
    AttemptId attempt;
    std::size_t window { 64 }; ///< Number of positions, from the next expected one, whose pieces are accepted.
};

/// Orders the pieces of one attempt by position and returns each once.
///
///     StreamAssembler assembler({ .attempt = attempt });
///     for (const AnswerPiece& piece : assembler.add(arrived)) forward(piece.data);
class StreamAssembler {
public:
    explicit StreamAssembler(StreamAssemblerOptions);

    /// Accepts a piece and returns those that can now be passed on in order, including the end marker.
    std::vector<AnswerPiece> add(AnswerPiece);

    AnswerState state() const { return m_state; }

    /// The position of the last piece that was returned; 0 for none. A resumed stream begins after it.
    std::uint64_t lastPosition() const { return m_next - 1; }

    /// Whether pieces are held because an earlier one is missing.
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
    void markReturned(const AnswerPiece&);
    bool contradicts(const AnswerPiece&) const;
    void remember(const AnswerPiece&);
    static Digest digestOf(const AnswerPiece&);
    void close();

    StreamAssemblerOptions m_options;
    std::uint64_t m_next { 1 };
    AnswerState m_state { AnswerState::Open };
    std::map<std::uint64_t, AnswerPiece> m_held;
    std::deque<Digest> m_returned; ///< Of the last returned pieces, to detect a source that sends a different piece for one position.
    DroppedPieces m_dropped;
};

} // namespace limpetpond
