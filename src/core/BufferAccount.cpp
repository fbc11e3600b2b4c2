#include "core/BufferAccount.h"

#include <algorithm>
#include <utility>

namespace limpetpond {

namespace {

    constexpr std::size_t answersPerMemory = 4; ///< Answers may take this part of the memory; growing a buffer holds its old and its new memory for a moment.
    constexpr std::size_t bodiesPerMemory = 6; ///< A body is held twice while it is sent to a target, and growing it holds it twice for a moment.
    constexpr std::size_t smallBodiesPerLimit = 1024; ///< About the connections of callers.
    constexpr std::size_t maxGrowth = 1U << 20; ///< Bytes. Doubling large buffers would take twice the memory that is needed.

} // namespace

std::size_t answerBufferLimit(std::size_t memoryBytes) { return memoryBytes / answersPerMemory; }

std::size_t requestBodyLimit(std::size_t memoryBytes) { return memoryBytes / bodiesPerMemory; }

bool mustRefuseBody(const BufferAccount& account, std::size_t bodyMemory) { return account.isExceeded() && bodyMemory > account.limit / smallBodiesPerLimit; }

CountedMemory::CountedMemory(std::shared_ptr<BufferAccount> account)
    : m_account(std::move(account))
{
}

CountedMemory::CountedMemory(CountedMemory&& other) noexcept
    : m_account(std::move(other.m_account))
    , m_counted(std::exchange(other.m_counted, 0))
{
}

CountedMemory& CountedMemory::operator=(CountedMemory&& other) noexcept
{
    set(0);
    m_account = std::move(other.m_account);
    m_counted = std::exchange(other.m_counted, 0);
    return *this;
}

CountedMemory::~CountedMemory() { set(0); }

void CountedMemory::set(std::size_t bytes)
{
    if (!m_account)
        return;
    m_account->used += bytes - m_counted;
    m_counted = bytes;
}

AccountedBuffer::AccountedBuffer(std::shared_ptr<BufferAccount> account)
    : m_memory(std::move(account))
{
}

void AccountedBuffer::append(std::string_view bytes)
{
    std::size_t needed = m_bytes.size() + bytes.size();
    if (needed > m_bytes.capacity())
        m_bytes.reserve(std::max(needed, m_bytes.capacity() + std::min(m_bytes.capacity(), maxGrowth)));
    m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.end());
    m_memory.set(m_bytes.capacity());
}

void AccountedBuffer::release()
{
    m_bytes = std::vector<char>();
    m_memory.set(0);
}

} // namespace limpetpond
