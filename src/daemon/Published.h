#pragma once

/// A shared pointer that one thread replaces and many threads read.
///
/// `std::atomic<std::shared_ptr>` of GCC 12 unlocks its readers without release order, which is
/// a data race between a load and the next store.

#include <atomic>
#include <memory>
#include <thread>
#include <utility>

namespace limpetpond {

/// A flag guards the pointer while it is copied. Readers wait for the flag; the writer never does.
///
///     Published<View> view(std::make_shared<const View>());
///     std::shared_ptr<const View> current = view.load();
template <typename T>
class Published {
public:
    explicit Published(std::shared_ptr<const T> value)
        : m_value(std::move(value))
    {
    }

    std::shared_ptr<const T> load() const
    {
        while (m_busy.test_and_set(std::memory_order_acquire))
            std::this_thread::yield();
        std::shared_ptr<const T> value = m_value;
        m_busy.clear(std::memory_order_release);
        return value;
    }

    /// Returns false and stores nothing while a reader copies the pointer.
    bool tryStore(std::shared_ptr<const T> value)
    {
        if (m_busy.test_and_set(std::memory_order_acquire))
            return false;
        m_value.swap(value);
        m_busy.clear(std::memory_order_release);
        return true;
    }

private:
    mutable std::atomic_flag m_busy;
    std::shared_ptr<const T> m_value;
};

} // namespace limpetpond
