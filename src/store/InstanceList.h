#pragma once

/// The platform's lagging list of the system's own instances, as Kubernetes EndpointSlices.

#include "core/Messages.h"
#include "http/HttpClient.h"
#include <string>
#include <string_view>

namespace limpetpond {

/// Where the list is read.
struct InstanceListOptions {
    std::string path { "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices?labelSelector=kubernetes.io%2Fservice-name%3Dlimpetpond" };
    std::string portName { "peer" }; ///< The port of the slice that peers are reached at.
};

/// Reads the list once. An endpoint is leaving when it terminates or is not ready.
///
///     Result<InstanceListRead> list = readInstanceList(pool, {});
Result<InstanceListRead> readInstanceList(HttpConnectionPool&, const InstanceListOptions&);

/// The instances of an EndpointSliceList or a single EndpointSlice.
///
///     Result<InstanceListRead> list = parseInstanceList(json, "peer");
Result<InstanceListRead> parseInstanceList(std::string_view json, std::string_view portName);

} // namespace limpetpond
