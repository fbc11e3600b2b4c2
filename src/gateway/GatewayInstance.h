#pragma once

/// One instance of the gateway: the listeners, store readers, peers, signals and timers around `Gateway`.

#include "core/StoreReaders.h"
#include "gateway/Gateway.h"
#include "gateway/PeerUpdates.h"
#include "gateway/ShortAnswerServer.h"
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

struct GatewayInstanceOptions {
    int logDescriptor { 1 }; ///< File descriptor of the log; negative for no log.
};

class GatewayInstance {
public:
    GatewayInstance(boost::asio::io_context&, const Clock&, const platform::BootSettings&, GatewayInstanceOptions = {});

    /// Opens all listeners and starts to read the store; returns an error text if a listener can't be opened.
    std::optional<std::string> start();

private:
    void acceptCallers();
    void onCallerAccepted(boost::system::error_code, boost::asio::ip::tcp::socket);
    /// Closes idle connections of callers where there are too many; true while another one may be accepted.
    bool makeRoomForCaller();
    void logWholeRead(std::string_view table, const TableUpdate&);
    void applySettingsRows(const TableUpdate&);
    void applyOrderRows(const TableUpdate&);
    void applyTargetRows(const TableUpdate&);
    void applyStoreCheck(const StoreCheck&);
    void applyInstanceRows(const TableUpdate&);
    /// Reads the tables again if the epoch shows that the store was restored from a copy.
    void applyStoreEpoch(StoreEpoch, std::string_view source);
    Duration spreadDelay(Duration perInstance) const;
    void applyRowsOfDepartedTargets(SteadyTime now);
    void applySuspectRow(const platform::Row&);
    void writeSuspectRows();
    void readOwnTable();
    void applyPeerUpdate(const InstanceUpdate&, const std::string& ip);
    void applyPeerSettings(const TableDelta&);
    void applyPeerTargets(const TableDelta&);
    void chooseReaders(SteadyTime now);
    void setCheckTurn(const std::optional<CheckTurn>&);
    ShortAnswer answerRows(const ReceivedRequest&) const;
    TableVersion targetsVersion() const;
    enum class RowEffect {
        Unchanged,
        Changed,
        Unreadable,
    };
    RowEffect putTargetRow(const platform::Row&, const EntryRead&);
    void dropTarget(const TargetId&, const TableVersion&, bool afterOutage);
    StoreReader makeReader(StoreReaderOptions);
    void recordReachability(const std::string& table, bool reachable, std::string_view reason);
    void waitForSignal();
    void beginShutdown();
    void checkShutdown(SteadyTime now);
    bool hasAnsweredLastRequests(SteadyTime now);
    void scheduleTick();
    void tick();
    Duration updateInterval() const;
    void sendUpdate(SteadyTime now);
    bool isStarting() const;
    bool isReady() const;
    ShortAnswer answerReadiness(const ReceivedRequest&) const;
    ShortAnswer answerMetrics(const ReceivedRequest&) const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    const platform::BootSettings& m_boot;
    RateLimitedLog m_log;
    Gateway m_gateway;
    PeerUpdates m_peers;
    boost::asio::ip::tcp::acceptor m_callerAcceptor;
    ShortAnswerServer m_readinessServer;
    ShortAnswerServer m_metricsServer;
    ShortAnswerServer m_rowsServer;
    TableCopy m_settingsRows; ///< The row of the settings in force; the copy has the settings' version.
    TableCopy m_targetRows;
    TableVersion m_checkedVersion; ///< No version of the store up to this one is a change of the targets that their reader hasn't been told of.
    std::optional<SteadyTime> m_storeCheckedAt; ///< When the store last answered a check by this instance; none without a turn.
    std::map<InstanceId, PeerReadState> m_peerReadStates;
    StoreReader m_settingsReader;
    StoreReader m_targetReader;
    StoreReader m_instanceReader;
    StoreWriter m_writer;
    TableFetcher m_settingsFetcher;
    TableFetcher m_targetFetcher;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    bool m_isRowWritten { false }; ///< The row with this instance's address.
    bool m_hasReadOwnTable { false };
    std::optional<StoreEpoch> m_storeEpoch; ///< The highest one that an answer of the store or a peer has stated.
    std::optional<SteadyTime> m_targetsRestoredAt; ///< When the targets were read from a restored store, until entries of departed ones have expired.
    SteadyTime m_startedAt;
    SteadyTime m_updateSentAt;
    SteadyTime m_allSentAt;
    bool m_isAcceptPaused { false }; ///< Until the next tick that finds room for another caller.
    std::optional<SteadyTime> m_shutdownStartedAt;
    std::optional<SteadyTime> m_listenerClosedAt;
};

} // namespace limpetpond
