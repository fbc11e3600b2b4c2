#include "daemon/WorkerPool.h"

namespace limpetpond {

WorkerPool::WorkerPool(WorkerPoolOptions options)
    : m_options(options)
{
}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::submit(std::function<void()> job)
{
    std::lock_guard lock(m_mutex);
    if (m_stopping || m_jobs.size() >= m_options.maxQueued)
        return false;
    m_jobs.push_back(std::move(job));
    if (m_jobs.size() > m_idle && m_threads.size() < m_options.maxThreads)
        m_threads.emplace_back([this] { run(); });
    m_wake.notify_one();
    return true;
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_wake.notify_all();
    for (std::thread& thread : threads)
        thread.join();
}

void WorkerPool::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_wake.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        --m_idle;
        if (m_jobs.empty())
            return;
        std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        job = nullptr;
        lock.lock();
    }
}

} // namespace limpetpond
