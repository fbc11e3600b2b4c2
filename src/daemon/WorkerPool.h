#pragma once

/// A thread pool that starts jobs in the order of submission and creates threads on demand.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace limpetpond {

struct WorkerPoolOptions {
    std::size_t maxThreads { 8 };
    std::size_t maxQueued { 4'096 }; ///< Jobs waiting for a thread.
};

/// Runs jobs. The lock is held for one insertion or removal, not while a job runs.
///
///     WorkerPool pool({ .maxThreads = 4 });
///     pool.submit([] { work(); });
class WorkerPool {
public:
    explicit WorkerPool(WorkerPoolOptions);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Returns false and drops the job if the queue is full or the pool was stopped.
    bool submit(std::function<void()>);

    /// Runs the queued jobs and joins the threads.
    void stop();

private:
    void run();

    WorkerPoolOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idle { 0 };
    bool m_stopping { false };
};

} // namespace limpetpond
