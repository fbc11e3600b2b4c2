#include "bench/AllocationCounter.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations { 0 };
std::atomic<std::int64_t> held { 0 };

void release(void* memory)
{
    held.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    std::free(memory);
}

} // namespace

void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    void* memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    held.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    return memory;
}

void operator delete(void* memory) noexcept
{
    release(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    release(memory);
}

namespace limpetpond::bench {

std::uint64_t allocationsSoFar()
{
    return allocations.load();
}

std::int64_t bytesHeld()
{
    return held.load();
}

} // namespace limpetpond::bench
