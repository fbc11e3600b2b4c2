#pragma once

/// Bounds the memory that the buffered answers of all requests take together, and that of the bodies of all requests.
///
/// Load pattern: targets in trouble send bytes without an end on many connections at once, or many callers send large bodies
/// at once. A limit on each alone leaves their sum unbounded.

#include "limpetpond/Clock.h"
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpetpond {

/// The memory of all buffers that count in it. Bytes.
struct BufferAccount {
    std::size_t limit { 0 };
    std::size_t used { 0 };

    bool isExceeded() const { return used > limit; }
};

/// The limit for buffered answers of an instance with so much memory.
///
///     account->limit = answerBufferLimit(256 << 20);
std::size_t answerBufferLimit(std::size_t memoryBytes);

/// The limit for the bodies of all requests of an instance with so much memory.
///
///     account->limit = requestBodyLimit(256 << 20);
std::size_t requestBodyLimit(std::size_t memoryBytes);

/// Whether a body that takes so much memory is refused, so that those of other requests find room. Small bodies never are.
///
///     if (mustRefuseBody(*account, body.capacity())) refuse();
bool mustRefuseBody(const BufferAccount&, std::size_t bodyMemory);

/// The limit for bytes of answers that callers haven't taken, with the begun events of streams, of an instance with so much memory.
///
///     account->limit = unwrittenAnswerLimit(256 << 20);
std::size_t unwrittenAnswerLimit(std::size_t memoryBytes);

/// For how long a caller may take nothing of its answer while all answers together have room in their account or not. The
/// more they exceed it, the shorter: many callers that read nothing may come within a second.
///
///     if (now - takenAt > allowedStall(*account)) close();
Duration allowedStall(const BufferAccount&);

/// The memory that a string has allocated, in bytes; 0 where its bytes are held in the object itself.
std::size_t heapMemory(const std::string&);

/// Frees the memory that a string holds beyond its bytes, unless it is little. Erasing bytes and assigning an empty string keep it.
///
///     input.erase(0, used);
///     releaseSpareMemory(input);
void releaseSpareMemory(std::string&);

/// Counts memory that is held elsewhere. It moves along with that memory.
class CountedMemory {
public:
    CountedMemory() = default;
    /// Without an account nothing is counted.
    explicit CountedMemory(std::shared_ptr<BufferAccount>);
    CountedMemory(CountedMemory&&) noexcept;
    CountedMemory& operator=(CountedMemory&&) noexcept;
    ~CountedMemory();

    void set(std::size_t bytes);

private:
    std::shared_ptr<BufferAccount> m_account;
    std::size_t m_counted { 0 };
};

/// A growing buffer that counts in an account with the memory that it holds, not only with the bytes in use.
///
///     AccountedBuffer body(account);
///     body.append(bytes);
class AccountedBuffer {
public:
    explicit AccountedBuffer(std::shared_ptr<BufferAccount>);

    void append(std::string_view);

    /// Removes all bytes and frees their memory.
    void release();

    std::string_view bytes() const { return { m_bytes.data(), m_bytes.size() }; }
    std::size_t size() const { return m_bytes.size(); }
    /// What it counts with in the account.
    std::size_t memory() const { return m_bytes.capacity(); }

private:
    std::vector<char> m_bytes; ///< Unlike a string, it reserves no more than it is told to.
    CountedMemory m_memory; ///< Of `m_bytes`.
};

/// Bytes in blocks, which count in an account with the memory that they hold. Growing copies nothing and needs no memory
/// beside the next block.
///
///     BlockBuffer body(account);
///     body.append(bytes);
class BlockBuffer {
public:
    explicit BlockBuffer(std::shared_ptr<BufferAccount>);

    void append(std::string_view);

    /// Removes all bytes and frees their memory.
    void release();

    const std::vector<std::vector<char>>& blocks() const { return m_blocks; }
    std::size_t size() const { return m_size; }
    /// What it counts with in the account.
    std::size_t memory() const { return m_held; }
    /// A copy of all bytes.
    std::string text() const;

private:
    std::vector<std::vector<char>> m_blocks; ///< None grows beyond what it has reserved.
    std::size_t m_size { 0 };
    std::size_t m_held { 0 }; ///< Reserved by all blocks.
    CountedMemory m_memory; ///< Of `m_held`.
};

} // namespace limpetpond
