#include "peer/ThriftConnection.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/protocol/TMultiplexedProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TTransportException.h>
#include <thrift/transport/TVirtualTransport.h>

namespace limpetpond {

namespace {

    using namespace apache::thrift;

    /// Counts bytes and messages between the socket and the framed transport, which flushes once for each message.
    class CountingTransport final : public transport::TVirtualTransport<CountingTransport> {
    public:
        CountingTransport(std::shared_ptr<transport::TTransport> inner, ThriftTraffic* traffic)
            : m_inner(std::move(inner))
            , m_traffic(traffic)
        {
        }

        bool isOpen() const override { return m_inner->isOpen(); }
        bool peek() override { return m_inner->peek(); }
        void open() override { m_inner->open(); }
        void close() override { m_inner->close(); }

        std::uint32_t read(std::uint8_t* buffer, std::uint32_t length)
        {
            std::uint32_t count = m_inner->read(buffer, length);
            m_traffic->bytes.fetch_add(count, std::memory_order_relaxed);
            return count;
        }

        void write(const std::uint8_t* buffer, std::uint32_t length)
        {
            m_inner->write(buffer, length);
            m_traffic->bytes.fetch_add(length, std::memory_order_relaxed);
        }

        void flush() override
        {
            m_inner->flush();
            m_traffic->messages.fetch_add(1, std::memory_order_relaxed);
        }

    private:
        std::shared_ptr<transport::TTransport> m_inner;
        ThriftTraffic* m_traffic;
    };

} // namespace

namespace detail {

    std::shared_ptr<transport::TTransport> countingTransport(std::shared_ptr<transport::TTransport> inner, ThriftTraffic* traffic)
    {
        if (!traffic)
            return inner;
        return std::make_shared<CountingTransport>(std::move(inner), traffic);
    }

} // namespace detail

Result<ThriftConnection> connectThrift(const Endpoint& endpoint, const std::string& service, const ThriftLimits& limits, ThriftTraffic* traffic)
{
    const int maxMessage = static_cast<int>(limits.maxMessage.count());
    auto configuration = std::make_shared<TConfiguration>(maxMessage, maxMessage);
    ThriftConnection connection;
    connection.socket = std::make_shared<transport::TSocket>(endpoint.host, endpoint.port, configuration);
    connection.socket->setConnTimeout(static_cast<int>(limits.connectTimeout.count()));
    connection.socket->setRecvTimeout(static_cast<int>(limits.callTimeout.count()));
    connection.socket->setSendTimeout(static_cast<int>(limits.callTimeout.count()));
    connection.transport = std::make_shared<transport::TFramedTransport>(detail::countingTransport(connection.socket, traffic), configuration);
    auto compact = std::make_shared<protocol::TCompactProtocol>(connection.transport, maxMessage, maxMessage);
    connection.protocol = std::make_shared<protocol::TMultiplexedProtocol>(compact, service);
    try {
        connection.transport->open();
    } catch (const transport::TTransportException& exception) {
        return boost::leaf::new_error(CallError { .failure = CallFailure::NotSent, .detail = exception.what() });
    }
    return connection;
}

} // namespace limpetpond
