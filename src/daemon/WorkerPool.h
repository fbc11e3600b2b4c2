#pragma once

/// Threads that run jobs in the order of their arrival, made as they are needed.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace limpetpond {

struct WorkerPoolOptions {
    std::size_t maxThreads { 8 };
    std::size_t maxQueued { 4'096 }; ///< Jobs that wait for a thread.
};

/// Runs jobs; the lock covers one insertion or removal, never a job.
///
///     WorkerPool pool({ .maxThreads = 4 });
///     pool.submit([] { work(); });
class WorkerPool {
public:
    explicit WorkerPool(WorkerPoolOptions);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// False when the queue is full or the pool was stopped; the job was not taken.
    bool submit(std::function<void()>);

    /// Runs what is queued and waits for the threads.
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
