#include "tool/OperatorClient.h"

#include "peer/ThriftConnection.h"
#include <random>
#include <thrift/Thrift.h>

namespace limpetpond::tool {

namespace detail {

    namespace {

        constexpr std::chrono::milliseconds connectTimeout { 1'000 };
        constexpr std::chrono::milliseconds callTimeout { 15'000 };

        /// Whether another instance may accept a change that one refused with this code.
        bool mayTryNextInstance(const std::string& code)
        {
            return code == "cut_off" || code == "store_unavailable" || code == "unknown_outcome";
        }

        std::string addressText(const Address& address)
        {
            return address.host + ":" + std::to_string(address.port);
        }

    } // namespace

} // namespace detail

OperatorClient::OperatorClient(const ToolOptions& options)
    : m_options(options)
{
}

Result<OperatorClient::Attempt> OperatorClient::tryCall(const Address& address, const Call& call, std::string& detail)
{
    ThriftLimits limits { .connectTimeout = detail::connectTimeout, .callTimeout = detail::callTimeout, .maxMessage = ByteCount(64L * 1024 * 1024) };
    Result<ThriftConnection> connection = connectThrift({ address.host, address.port }, operatorServiceName, limits);
    if (!connection) {
        detail += (detail.empty() ? "" : "; ") + detail::addressText(address) + " can't be reached";
        return Attempt::NotSent;
    }
    rpc::OperatorServiceClient client(connection->protocol);
    try {
        call(client);
        return Attempt::Done;
    } catch (const rpc::OperatorRefused& refused) {
        return boost::leaf::new_error(refused);
    } catch (const apache::thrift::TException& exception) {
        detail += (detail.empty() ? "" : "; ") + detail::addressText(address) + ": " + exception.what();
        return Attempt::NoAnswer;
    }
}

Result<void> OperatorClient::callFirstAvailable(const Call& call)
{
    std::string detail;
    for (const Address& address : m_options.instances) {
        BOOST_LEAF_AUTO(attempt, tryCall(address, call, detail));
        if (attempt == Attempt::Done)
            return {};
    }
    return boost::leaf::new_error(Unreachable { .detail = detail });
}

Result<void> OperatorClient::callInstance(const Address& address, const Call& call)
{
    std::string detail;
    BOOST_LEAF_AUTO(attempt, tryCall(address, call, detail));
    if (attempt == Attempt::Done)
        return {};
    return boost::leaf::new_error(Unreachable { .detail = detail });
}

Result<std::string> OperatorClient::tree(const std::string& path)
{
    std::string out;
    BOOST_LEAF_CHECK(callFirstAvailable([&](auto& client) { client.getTree(out, m_options.secret, path); }));
    return out;
}

Result<std::vector<rpc::ExplainedValue>> OperatorClient::explain(const std::string& path)
{
    std::vector<rpc::ExplainedValue> out;
    BOOST_LEAF_CHECK(callFirstAvailable([&](auto& client) { client.explain(out, m_options.secret, path); }));
    return out;
}

Result<std::vector<rpc::SettingsChange>> OperatorClient::history(std::int64_t after)
{
    std::vector<rpc::SettingsChange> all;
    while (true) {
        std::vector<rpc::SettingsChange> part;
        BOOST_LEAF_CHECK(callFirstAvailable([&](auto& client) { client.history(part, m_options.secret, after); }));
        if (part.empty())
            return all;
        after = part.back().version;
        all.insert(all.end(), part.begin(), part.end());
    }
}

Result<rpc::TargetStatus> OperatorClient::targetStatus(const std::string& target)
{
    rpc::TargetStatus out;
    BOOST_LEAF_CHECK(callFirstAvailable([&](auto& client) { client.targetStatus(out, m_options.secret, target); }));
    return out;
}

Result<rpc::ChangeReply> OperatorClient::change(const rpc::ChangeRequest& request)
{
    rpc::ChangeReply reply;
    std::string detail;
    bool isOutcomeUnknown = false;
    std::optional<rpc::OperatorRefused> definiteRefusal;
    for (const Address& address : m_options.instances) {
        std::optional<rpc::OperatorRefused> refused;
        Attempt attempt = boost::leaf::try_handle_all(
            [&] { return tryCall(
                      address, [&](auto& client) { client.change(reply, m_options.secret, request); }, detail); },
            [&](const rpc::OperatorRefused& error) {
                refused = error;
                return Attempt::NotSent;
            },
            [] { return Attempt::NoAnswer; });
        if (refused && !detail::mayTryNextInstance(refused->code))
            return boost::leaf::new_error(*refused);
        if (refused && refused->code != "unknown_outcome")
            definiteRefusal = refused;
        bool mayHaveCommitted = attempt == Attempt::NoAnswer || (refused && refused->code == "unknown_outcome");
        if (refused && mayHaveCommitted)
            detail += (detail.empty() ? "" : "; ") + refused->detail;
        isOutcomeUnknown = isOutcomeUnknown || mayHaveCommitted;
        if (attempt == Attempt::Done)
            return reply;
    }
    if (isOutcomeUnknown)
        return boost::leaf::new_error(ChangeOutcomeUnknown { .changeId = request.changeId, .detail = detail });
    if (definiteRefusal)
        return boost::leaf::new_error(*definiteRefusal);
    return boost::leaf::new_error(Unreachable { .detail = detail });
}

Result<rpc::ChangeReply> OperatorClient::raiseStore(const std::string& changeId)
{
    rpc::ChangeReply out;
    BOOST_LEAF_CHECK(callInstance(m_options.instances.front(), [&](auto& client) { client.raiseStore(out, m_options.secret, changeId, m_options.author); }));
    return out;
}

Result<std::string> OperatorClient::statusOf(const Address& address)
{
    std::string out;
    BOOST_LEAF_CHECK(callInstance(address, [&](auto& client) { client.status(out, m_options.secret); }));
    return out;
}

Result<std::vector<rpc::TimelineEvent>> OperatorClient::timelineOf(const Address& address, const std::string& request)
{
    std::vector<rpc::TimelineEvent> out;
    BOOST_LEAF_CHECK(callInstance(address, [&](auto& client) { client.timeline(out, m_options.secret, 0, request); }));
    return out;
}

std::string newChangeId()
{
    constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";
    std::random_device random;
    std::string id = "op-";
    for (int i = 0; i < 16; ++i)
        id += digits[random() % digits.size()];
    return id;
}

} // namespace limpetpond::tool
