#pragma once

/// The thread that owns the control state: it receives events through a mailbox, passes each to the decision core,
/// forwards the resulting actions and publishes an immutable view.

#include "base/Metrics.h"
#include "base/Timeline.h"
#include "core/ControlStatus.h"
#include "core/Messages.h"
#include "daemon/Mailbox.h"
#include "daemon/Published.h"
#include "daemon/RequestInbox.h"
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

namespace limpetpond {

/// The functions of the decision core; the daemon binds them to a `Control`.
struct ControlCore {
    std::function<void(const ControlEvent&, SteadyTime, ControlActions&)> handle;
    std::function<std::shared_ptr<const Settings>()> settings;
    std::function<bool(SteadyTime)> isReady;
    std::function<bool()> isDrained;
    std::function<ControlStatus(SteadyTime)> status;
};

/// Finds the client account of a bearer key. Built once for each settings version.
class AccountIndex {
public:
    AccountIndex() = default;
    explicit AccountIndex(const Settings&);

    /// The account whose key has this SHA-256 in lower-case hexadecimal; compared in constant time.
    std::optional<ClientAccountId> find(std::string_view keyHash) const;

private:
    struct Entry {
        std::string keyHash;
        ClientAccountId account;
    };
    std::unordered_map<std::string, std::vector<Entry>> m_entries; ///< Keyed by the first digits of the hash.
};

/// The view that traffic threads read. Immutable once published.
struct PublishedView {
    std::shared_ptr<const Settings> settings; ///< Null before the first settings arrived.
    std::shared_ptr<const AccountIndex> accounts;
    bool ready { false };
    bool drained { false };
    std::shared_ptr<const ControlStatus> status;
};

struct ControlThreadOptions {
    std::chrono::milliseconds tickPeriod { 20 }; ///< Between two `Tick` events.
    std::chrono::milliseconds statusPeriod { 500 }; ///< Between two status snapshots for operators.
};

/// Owns the core. Every public function may be called from any thread.
///
///     ControlThread control({ .tickPeriod = 20ms }, core, clock, carryOut, timeline, metrics);
///     control.start();
class ControlThread {
public:
    /// `carryOut` receives the actions that I/O threads execute. It must not block.
    ControlThread(ControlThreadOptions, ControlCore, const Clock&, std::function<void(const ControlAction&)> carryOut, Timeline&, Metrics&);
    ~ControlThread();
    ControlThread(const ControlThread&) = delete;
    ControlThread& operator=(const ControlThread&) = delete;

    void start();
    void stop();

    /// Queues an event for the core.
    void post(ControlEvent);

    /// Queues the arrival of a request; the decisions on it are posted to the inbox, the final answer last.
    void postArrival(RequestArrived, std::shared_ptr<RequestInbox>);

    /// Queues a peer's heartbeat for the core and waits for the answer; nullopt after the timeout.
    std::optional<Heartbeat> heartbeat(const Heartbeat&, std::chrono::milliseconds timeout);

    std::shared_ptr<const PublishedView> view() const { return m_view.load(); }

private:
    using HeartbeatReply = Mailbox<Heartbeat>;
    struct Message {
        ControlEvent event;
        std::shared_ptr<RequestInbox> inbox; ///< RequestArrived only.
        std::shared_ptr<HeartbeatReply> reply; ///< HeartbeatReceived only.
    };

    void run();
    void handle(const Message&);
    void carryOut(const ControlAction&, const Message&);
    void postToInbox(const RequestId&, RequestMessage);
    void publish(SteadyTime now);
    std::shared_ptr<const PublishedView> nextView(SteadyTime now);
    void record(const ControlEvent&);
    void record(const ControlAction&);

    ControlThreadOptions m_options;
    ControlCore m_core;
    const Clock& m_clock;
    std::function<void(const ControlAction&)> m_carryOut;
    Timeline& m_timeline;
    Metrics& m_metrics;
    Counter& m_events;
    Mailbox<Message> m_mailbox;
    std::unordered_map<RequestId, std::shared_ptr<RequestInbox>> m_inboxes;
    Published<PublishedView> m_view;
    std::shared_ptr<const PublishedView> m_newestView; ///< Readers see it once `m_isPublished` is true.
    bool m_isPublished { true };
    std::optional<SteadyTime> m_lastStatusAt;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace limpetpond
