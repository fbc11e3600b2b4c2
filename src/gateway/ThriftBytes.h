#pragma once

/// Encodes Thrift structs as bytes in the compact protocol, for messages between instances.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace limpetpond {

/// Encodes one struct.
///
///     std::string bytes = compactBytes(wire);
template <typename Wire>
std::string compactBytes(const Wire& wire)
{
    using apache::thrift::transport::TMemoryBuffer;
    auto buffer = std::make_shared<TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    wire.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes one struct; nothing for malformed bytes.
///
///     std::optional<rpc::InstanceNews> wire = fromCompactBytes<rpc::InstanceNews>(bytes);
template <typename Wire>
std::optional<Wire> fromCompactBytes(std::string_view bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    if (bytes.empty())
        return std::nullopt;
    try {
        auto* data = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(bytes.data()));
        auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
        // No string or list is longer than the message. Without these limits the library would allocate any length that
        // malformed bytes claim.
        const auto maxLength = static_cast<std::int32_t>(bytes.size());
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, maxLength, maxLength);
        Wire wire;
        wire.read(&protocol);
        return wire;
    } catch (const apache::thrift::TException&) {
        return std::nullopt;
    }
}

} // namespace limpetpond
