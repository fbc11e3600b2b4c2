#pragma once

/// One instance of the gateway as a process: listeners, store readers, peers, signals and timers
/// around `Gateway`.

#include "core/StoreReaders.h"
#include "gateway/Gateway.h"
#include "gateway/PeerNews.h"
#include "gateway/SmallServer.h"
#include "gateway/StoreReader.h"
#include "gateway/StoreWriter.h"
#include "gateway/TableCopy.h"
#include "gateway/TableFetcher.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace limpetpond {

struct NodeOptions {
    int logDescriptor { 1 }; ///< Where log lines go; negative for nowhere.
};

class Node {
public:
    Node(boost::asio::io_context&, const Clock&, const platform::BootSettings&, NodeOptions = {});

    /// Opens all listeners and begins to read the store; an error text where a listener can't be opened.
    std::optional<std::string> start();

private:
    void acceptCallers();
    void takeSettingsRows(const TableNews&);
    void takeTargetRows(const TableNews&);
    void takeInstanceRows(const TableNews&);
    void takePeerNews(const InstanceNews&, const std::string& ip);
    void takePeerSettings(const TablePart&);
    void takePeerTargets(const TablePart&);
    void chooseReaders(SteadyTime now);
    SmallAnswer answerRows(const ReceivedRequest&) const;
    std::uint64_t targetsVersion() const;
    enum class RowEffect {
        Unchanged,
        Changed,
        Unreadable,
    };
    RowEffect putTargetRow(const platform::Row&);
    void dropTarget(const TargetId&, std::uint64_t version, bool afterOutage);
    StoreReader makeReader(StoreReaderOptions);
    void noteReachable(const std::string& table, bool reachable, std::string_view reason);
    void waitForSignal();
    void beginShutdown();
    void checkShutdown(SteadyTime now);
    void scheduleTick();
    void tick();
    void sendNews(SteadyTime now);
    bool isReady() const;
    SmallAnswer answerReadiness(const ReceivedRequest&) const;
    SmallAnswer answerMetrics(const ReceivedRequest&) const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const platform::BootSettings& m_boot;
    EventLog m_log;
    Gateway m_gateway;
    PeerNews m_peers;
    boost::asio::ip::tcp::acceptor m_callers;
    SmallServer m_readiness;
    SmallServer m_metricsServer;
    SmallServer m_rowsServer;
    TableCopy m_settingsRows; ///< Of the settings in force; its version is theirs.
    TableCopy m_targetRows;
    std::map<InstanceId, ReadingPeer> m_readingPeers;
    StoreReader m_settingsReader;
    StoreReader m_targetReader;
    StoreReader m_instanceReader;
    StoreWriter m_writer;
    TableFetcher m_settingsFetcher;
    TableFetcher m_targetFetcher;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_newsSequence { 0 };
    SteadyTime m_newsSentAt;
    std::optional<SteadyTime> m_shutdownBegan;
};

} // namespace limpetpond
