#include "peer/PeerClient.h"

#include <algorithm>
#include <thrift/Thrift.h>

namespace limpetpond {

namespace {

    constexpr std::size_t maxIdleConnections = 64;

} // namespace

struct PeerClient::Connection {
    Connection(Endpoint peerEndpoint, ThriftConnection opened)
        : endpoint(std::move(peerEndpoint))
        , connection(std::move(opened))
        , client(connection.protocol)
    {
    }

    Endpoint endpoint;
    ThriftConnection connection;
    rpc::PeerServiceClient client;
};

void PeerDirectory::replace(std::map<InstanceId, Endpoint> endpoints)
{
    std::lock_guard lock(m_mutex);
    m_endpoints = std::move(endpoints);
}

std::optional<Endpoint> PeerDirectory::find(const InstanceId& instance) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_endpoints.find(instance);
    if (found == m_endpoints.end())
        return std::nullopt;
    return found->second;
}

PeerClient::PeerClient(PeerClientOptions options, const PeerDirectory& directory)
    : m_options(std::move(options))
    , m_directory(directory)
{
}

PeerClient::~PeerClient() = default;

std::unique_ptr<PeerClient::Connection> PeerClient::acquireIdle(const Endpoint& endpoint)
{
    std::lock_guard lock(m_mutex);
    auto found = std::find_if(m_idle.begin(), m_idle.end(), [&](const auto& idle) { return idle->endpoint == endpoint; });
    if (found == m_idle.end())
        return nullptr;
    std::unique_ptr<Connection> connection = std::move(*found);
    m_idle.erase(found);
    return connection;
}

Result<std::unique_ptr<PeerClient::Connection>> PeerClient::open(const Endpoint& endpoint)
{
    BOOST_LEAF_AUTO(opened, connectThrift(endpoint, peerServiceName, m_options.limits, &m_traffic));
    return std::make_unique<Connection>(endpoint, std::move(opened));
}

void PeerClient::release(std::unique_ptr<Connection> connection)
{
    std::lock_guard lock(m_mutex);
    if (m_idle.size() >= maxIdleConnections)
        m_idle.erase(m_idle.begin());
    m_idle.push_back(std::move(connection));
}

// Both calls of the service are idempotent, so a call that finds its pooled connection closed is retried once on a new one.
template <typename Call>
Result<void> PeerClient::call(const InstanceId& peer, Call&& makeCall)
{
    auto endpoint = m_directory.find(peer);
    if (!endpoint)
        return boost::leaf::new_error(CallError { .failure = CallFailure::NotSent, .detail = "the address of the instance is not known" });
    std::unique_ptr<Connection> connection = acquireIdle(*endpoint);
    bool wasIdle = connection != nullptr;
    for (;;) {
        if (!connection) {
            BOOST_LEAF_ASSIGN(connection, open(*endpoint));
        }
        try {
            makeCall(connection->client);
            release(std::move(connection));
            return {};
        } catch (const rpc::PeerRefused& refused) {
            release(std::move(connection));
            return boost::leaf::new_error(CallError { .failure = CallFailure::Refused, .detail = refused.code + ": " + refused.detail });
        } catch (const apache::thrift::transport::TTransportException& exception) {
            bool timedOut = exception.getType() == apache::thrift::transport::TTransportException::TIMED_OUT;
            if (!wasIdle || timedOut)
                return boost::leaf::new_error(CallError { .failure = CallFailure::NoAnswer, .detail = exception.what() });
            wasIdle = false;
            connection.reset();
        } catch (const apache::thrift::TException& exception) {
            return boost::leaf::new_error(CallError { .failure = CallFailure::Malformed, .detail = exception.what() });
        }
    }
}

Result<rpc::Heartbeat> PeerClient::heartbeat(const InstanceId& peer, const rpc::Heartbeat& update)
{
    rpc::Heartbeat answer;
    BOOST_LEAF_CHECK(call(peer, [&](rpc::PeerServiceClient& client) { client.heartbeat(answer, m_options.secret.reveal(), update); }));
    return answer;
}

Result<rpc::SettingsUpdate> PeerClient::fetchSettings(const InstanceId& peer, SettingsVersion after)
{
    rpc::SettingsUpdate update;
    BOOST_LEAF_CHECK(call(peer, [&](rpc::PeerServiceClient& client) {
        client.fetchSettings(update, m_options.secret.reveal(), static_cast<std::int64_t>(after.value()));
    }));
    return update;
}

} // namespace limpetpond
