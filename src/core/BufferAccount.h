#pragma once

/// Bounds the memory that the buffered answers of all requests take together.
///
/// Load pattern: targets in trouble send bytes without an end on many connections at once. A limit on each answer alone
/// leaves their sum unbounded.

#include <cstddef>
#include <memory>
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

/// A growing buffer that counts in an account with the memory that it holds, not only with the bytes in use.
///
///     AccountedBuffer body(account);
///     body.append(bytes);
class AccountedBuffer {
public:
    explicit AccountedBuffer(std::shared_ptr<BufferAccount>);
    ~AccountedBuffer();

    AccountedBuffer(const AccountedBuffer&) = delete;
    AccountedBuffer& operator=(const AccountedBuffer&) = delete;

    void append(std::string_view);

    /// Removes all bytes and frees their memory.
    void release();

    std::string_view bytes() const { return { m_bytes.data(), m_bytes.size() }; }
    std::size_t size() const { return m_bytes.size(); }
    /// What it counts with in the account.
    std::size_t memory() const { return m_counted; }

private:
    void count();

    std::shared_ptr<BufferAccount> m_account;
    std::vector<char> m_bytes; ///< Unlike a string, it reserves no more than it is told to.
    std::size_t m_counted { 0 };
};

} // namespace limpetpond
