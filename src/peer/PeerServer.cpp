#include "peer/PeerServer.h"

#include "base/Hash.h"
#include "base/Log.h"
#include "peer/PeerConversion.h"
#include <thrift/TOutput.h>
#include <thrift/processor/TMultiplexedProcessor.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <thrift/transport/TTransportException.h>

namespace limpetpond {

namespace {

    using namespace apache::thrift;

    /// Frames the messages of a connection, limits their size and counts them.
    class BoundedTransportFactory final : public transport::TTransportFactory {
    public:
        BoundedTransportFactory(ByteCount maxMessage, ThriftTraffic* traffic)
            : m_maxMessage(static_cast<int>(maxMessage.count()))
            , m_traffic(traffic)
        {
        }

        std::shared_ptr<transport::TTransport> getTransport(std::shared_ptr<transport::TTransport> inner) override
        {
            auto configuration = std::make_shared<TConfiguration>(m_maxMessage, m_maxMessage);
            return std::make_shared<transport::TFramedTransport>(detail::countingTransport(std::move(inner), m_traffic), configuration);
        }

    private:
        int m_maxMessage;
        ThriftTraffic* m_traffic;
    };

    /// Ignores repeated calls of `listen`. PeerServer::start calls it to report a port in use, and `serve` calls it again.
    class ListenOnceSocket final : public transport::TServerSocket {
    public:
        using TServerSocket::TServerSocket;

        void listen() override
        {
            if (!m_isListening)
                TServerSocket::listen();
            m_isListening = true;
        }

    private:
        bool m_isListening { false };
    };

    [[noreturn]] void refuse(const char* code, const std::string& detail)
    {
        rpc::PeerRefused refused;
        refused.code = code;
        refused.detail = detail;
        throw refused;
    }

    class PeerHandler final : public rpc::PeerServiceIf {
    public:
        explicit PeerHandler(PeerHandlerOptions options)
            : m_options(std::move(options))
        {
        }

        void heartbeat(rpc::Heartbeat& answer, const std::string& secret, const rpc::Heartbeat& received) override
        {
            checkSecret(secret);
            m_options.observeLogicalTime(static_cast<std::uint64_t>(std::max<std::int64_t>(received.logicalTime, 0)));
            auto own = m_options.heartbeat(fromThrift(received));
            if (!own)
                refuse("timeout", "the control thread did not answer in time");
            answer = toThrift(*own);
            answer.logicalTime = static_cast<std::int64_t>(m_options.logicalTime());
        }

        void fetchSettings(rpc::SettingsUpdate& update, const std::string& secret, const std::int64_t afterVersion) override
        {
            checkSecret(secret);
            SettingsVersion after { static_cast<std::uint64_t>(std::max<std::int64_t>(afterVersion, 0)) };
            boost::leaf::try_handle_all(
                [&]() -> Result<void> {
                    BOOST_LEAF_ASSIGN(update, m_options.fetchSettings(after));
                    return {};
                },
                [](const CallError& error) { refuse("unavailable", error.detail); },
                [] { refuse("unavailable", "the settings are not available"); });
        }

    private:
        void checkSecret(const std::string& given) const
        {
            if (!m_options.secret.isSet() || !constantTimeEquals(given, m_options.secret.reveal()))
                refuse("unauthorized", "the peer secret is wrong or not set");
        }

        PeerHandlerOptions m_options;
    };

    void logThriftOutput(const char* text)
    {
        logLine(LogLevel::Debug, "thrift", { { "detail", text } });
    }

} // namespace

PeerServer::PeerServer(PeerServerOptions options)
    : m_options(std::move(options))
    , m_processor(std::make_shared<TMultiplexedProcessor>())
{
    GlobalOutput.setOutputFunction(logThriftOutput);
}

PeerServer::~PeerServer() { stop(); }

void PeerServer::addService(const std::string& name, std::shared_ptr<TProcessor> processor)
{
    m_processor->registerProcessor(name, std::move(processor));
}

Result<int> PeerServer::start()
{
    auto socket = std::make_shared<ListenOnceSocket>(m_options.listen.host, m_options.listen.port);
    auto idleTimeoutMs = static_cast<int>(m_options.idleTimeout.count());
    socket->setSendTimeout(idleTimeoutMs);
    socket->setRecvTimeout(idleTimeoutMs);
    try {
        socket->listen();
    } catch (const transport::TTransportException&) {
        return boost::leaf::new_error(InvalidSetting { "--peer_port",
            m_options.listen.host + ":" + std::to_string(m_options.listen.port), "a free port at an address of this machine" });
    }
    int port = socket->getPort();
    // The size limits must be set: without them the library's check of a received length overflows.
    const int maxMessage = static_cast<int>(m_options.maxMessage.count());
    m_server = std::make_unique<server::TThreadedServer>(m_processor, socket,
        std::make_shared<BoundedTransportFactory>(m_options.maxMessage, &m_traffic),
        std::make_shared<protocol::TCompactProtocolFactory>(maxMessage, maxMessage));
    m_server->setConcurrentClientLimit(m_options.maxConnections);
    m_thread = std::thread([this] { m_server->serve(); });
    return port;
}

void PeerServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->stop();
    m_thread.join();
}

std::shared_ptr<TProcessor> makePeerProcessor(PeerHandlerOptions options)
{
    return std::make_shared<rpc::PeerServiceProcessor>(std::make_shared<PeerHandler>(std::move(options)));
}

} // namespace limpetpond
