#pragma once

/// The platform's list of the system's own instances, as Kubernetes EndpointSlices. The list may be out of date.

#include "core/Messages.h"
#include "http/HttpClient.h"
#include <string>
#include <string_view>

namespace limpetpond {

/// Where to read the list.
struct InstanceListOptions {
    std::string path { "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices?labelSelector=kubernetes.io%2Fservice-name%3Dlimpetpond" };
    std::string portName { "peer" }; ///< The name of the port in the slice that peers listen on.
};

/// Reads the list once. An instance is leaving when its endpoint is terminating or not ready.
///
///     Result<InstanceListRead> list = readInstanceList(pool, {});
Result<InstanceListRead> readInstanceList(HttpConnectionPool&, const InstanceListOptions&);

/// Parses an EndpointSliceList or a single EndpointSlice. Errors: `CallError` Malformed.
///
///     Result<InstanceListRead> list = parseInstanceList(json, "peer");
Result<InstanceListRead> parseInstanceList(std::string_view json, std::string_view portName);

} // namespace limpetpond
