#include "core/BufferAccount.h"

#include <algorithm>
#include <utility>

namespace limpetpond {

namespace {

    constexpr std::size_t answersPerMemory = 4; ///< Answers may take this part of the memory; growing a buffer holds its old and its new memory for a moment.
    constexpr std::size_t bodiesPerMemory = 6; ///< The kernel may hold as much again of the bodies that are sent to targets.
    constexpr std::size_t unwrittenAnswersPerMemory = 8;
    constexpr Duration maxStall = std::chrono::seconds(1);
    constexpr std::size_t maxSpareBytes = 1024;
    constexpr std::size_t smallBodiesPerLimit = 1024; ///< About the connections of callers.
    constexpr std::size_t maxGrowth = 1U << 20; ///< Bytes. Doubling large buffers would take twice the memory that is needed.

    constexpr std::size_t minBlockBytes = 1024;
    constexpr std::size_t maxBlockBytes = 16384; ///< Small enough for the heap, in which a free block serves any other body.

} // namespace

std::size_t answerBufferLimit(std::size_t memoryBytes) { return memoryBytes / answersPerMemory; }

std::size_t requestBodyLimit(std::size_t memoryBytes) { return memoryBytes / bodiesPerMemory; }

std::size_t unwrittenAnswerLimit(std::size_t memoryBytes) { return memoryBytes / unwrittenAnswersPerMemory; }

Duration allowedStall(const BufferAccount& account)
{
    if (!account.isExceeded())
        return maxStall;
    double room = static_cast<double>(account.limit) / static_cast<double>(account.used);
    return std::chrono::duration_cast<Duration>(maxStall * room * room);
}

std::size_t heapMemory(const std::string& text) { return text.capacity() > std::string().capacity() ? text.capacity() : 0; }

void releaseSpareMemory(std::string& text)
{
    if (text.capacity() > text.size() + std::max(text.size(), maxSpareBytes))
        text.shrink_to_fit();
}

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

BlockBuffer::BlockBuffer(std::shared_ptr<BufferAccount> account)
    : m_memory(std::move(account))
{
}

void BlockBuffer::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == m_blocks.back().capacity()) {
            m_blocks.emplace_back().reserve(std::clamp(std::max(bytes.size(), m_held), minBlockBytes, maxBlockBytes));
            m_held += m_blocks.back().capacity();
        }
        std::vector<char>& block = m_blocks.back();
        std::string_view part = bytes.substr(0, block.capacity() - block.size());
        block.insert(block.end(), part.begin(), part.end());
        m_size += part.size();
        bytes.remove_prefix(part.size());
    }
    m_memory.set(m_held);
}

void BlockBuffer::release()
{
    m_blocks = std::vector<std::vector<char>>();
    m_size = 0;
    m_held = 0;
    m_memory.set(0);
}

std::string BlockBuffer::text() const
{
    std::string text;
    text.reserve(m_size);
    for (const std::vector<char>& block : m_blocks)
        text.append(block.data(), block.size());
    return text;
}

} // namespace limpetpond
